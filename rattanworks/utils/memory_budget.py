"""A limit on the memory that a process holds for large bodies."""

import threading


class MemoryBudget:
    """Reserves up to ``limit`` bytes; callers release what they reserved."""

    def __init__(self, limit):
        self._limit = limit
        self._lock = threading.Lock()
        self.reserved = 0

    def try_reserve(self, size):
        """Reserve ``size`` bytes if they are free; return whether they were."""
        with self._lock:
            if self.reserved + size > self._limit:
                return False
            self.reserved += size
            return True

    def release(self, size):
        """Return ``size`` reserved bytes to the budget."""
        with self._lock:
            self.reserved -= size
