"""The rate of calls that a backend server names as the most it takes.

No threads, locks or clocks: callers serialize access and pass in the time, in seconds
of one monotonic clock.
"""

# Calls that a server in need gets at once after an idle time, in seconds of its rate.
BURST_SECONDS = 0.25
# Answers arrive out of order, so that a limit holds for this long after the last answer
# that named it.
HOLD_SECONDS = 1.0
# Even a server that names a lower rate gets as many calls, by whose answers the node
# learns that the limit was raised or is gone.
MIN_CALLS_PER_SECOND = 0.5


class RateLimit:
    """Spaces the calls to one backend server by the rate that it names.

    A generic cell rate algorithm: each call moves the time at which the server has
    caught up by one interval, and a call may start while that time is at most
    BURST_SECONDS ahead. Without a rate every call may start at once.
    """

    def __init__(self):
        self.calls_per_second = None
        self._named_at = 0.0
        self._caught_up_at = 0.0

    @property
    def interval_seconds(self):
        """Return the time between two calls, 0 without a rate."""
        return 1 / self.calls_per_second if self.calls_per_second else 0.0

    def update(self, calls_per_second, now):
        """Take the rate of the latest answer, None if it names none.

        Returns whether the rate in force has changed.
        """
        if calls_per_second is None:
            return self._lift(now)
        self._named_at = now
        rate = max(MIN_CALLS_PER_SECOND, calls_per_second)
        if rate == self.calls_per_second:
            return False
        self.calls_per_second = rate
        # What was sent at another rate is not made up for.
        latest = now + BURST_SECONDS + self.interval_seconds
        self._caught_up_at = min(self._caught_up_at, latest)
        return True

    def _lift(self, now):
        if self.calls_per_second is None or now - self._named_at < HOLD_SECONDS:
            return False
        self.calls_per_second = None
        return True

    def take(self, now):
        """Count a call that starts now."""
        self._caught_up_at = max(self._caught_up_at, now) + self.interval_seconds

    def wait_seconds(self, now, calls_ahead=0):
        """Return how long the next call must wait after ``calls_ahead`` others."""
        if self.calls_per_second is None:
            return 0.0
        ready_at = self._caught_up_at + calls_ahead * self.interval_seconds
        return max(0.0, ready_at - BURST_SECONDS - now)
