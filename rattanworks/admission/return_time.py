"""When a caller that was turned away is asked to come back. Pure functions."""

MIN_RETURN_SECONDS = 0.05
# A caller keeps two thirds of its time for the answer.
PART_OF_TIME_LEFT = 1 / 3
# Returns are drawn from half to one and a half times the expected wait.
LEAST_PART = 0.5


def retry_after_seconds(expected_wait, time_left, fraction):
    """Return the seconds after which to come back; ``fraction`` is in [0, 1).

    Load pattern: a burst is turned away together and, told one time, comes back
    together as the next burst. The returns are spread around the time in which
    the queue is expected to drain, and leave the caller time for its answer.
    """
    wait = max(MIN_RETURN_SECONDS, expected_wait) * (LEAST_PART + fraction)
    return max(0.0, min(wait, time_left * PART_OF_TIME_LEFT))
