"""Clock port over the operating system's clocks."""

import time

from rattanworks.ports.base import Clock


class SystemClock(Clock):
    """The system's monotonic clock, and a time of day that does not jump.

    The system's time of day may jump by seconds in either direction. It is read
    once, at the start; from then on the boot-time clock counts, which does not jump
    and includes the time for which the host was suspended.
    """

    def __init__(self, wall=time.time, boot_time=None):
        self._boot_time = boot_time or _boot_time
        self._offset = wall() - self._boot_time()

    def monotonic(self):
        """Return seconds that never go back."""
        return time.monotonic()

    def now(self):
        """Return seconds since the Unix epoch."""
        return self._boot_time() + self._offset


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
