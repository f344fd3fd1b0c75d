"""Time left for a call, also when the process or its host was suspended."""


class TimeLeft:
    """Measures the time until a deadline by two clocks and returns the lesser value.

    The monotonic clock stops while a host is suspended, and the wall clock may be
    set back. A clock that lags overstates the time left, so the lesser value counts.
    """

    def __init__(self, clock, deadline):
        self._clock = clock
        self._deadline = deadline
        self._wall_deadline = clock.now() + deadline - clock.monotonic()

    def seconds(self):
        """Return the seconds left; negative when the deadline has passed."""
        by_monotonic = self._deadline - self._clock.monotonic()
        by_wall = self._wall_deadline - self._clock.now()
        return min(by_monotonic, by_wall)
