"""When a refused caller is asked to retry. Pure functions."""

MIN_EXPECTED_WAIT_SECONDS = 0.05
# Leaves the caller two thirds of its time for the answer.
MAX_FRACTION_OF_TIME_LEFT = 1 / 3
# Retry times are drawn from half to one and a half times the expected wait.
MIN_JITTER_FACTOR = 0.5


def retry_after_seconds(expected_wait, time_left, fraction):
    """Return the seconds after which to retry; ``fraction`` is random in [0, 1).

    Load pattern: callers of a burst that are refused together and given the same
    time come back together as the next burst. The retries are spread around the
    time in which the queue is expected to drain, and leave the caller time for its
    answer.
    """
    wait = max(MIN_EXPECTED_WAIT_SECONDS, expected_wait) * (
        MIN_JITTER_FACTOR + fraction
    )
    return max(0.0, min(wait, time_left * MAX_FRACTION_OF_TIME_LEFT))
