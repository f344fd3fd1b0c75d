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


class Reservation:
    """The ``size`` bytes that one holder has reserved from a budget.

    Without a budget nothing is limited or reserved. What is not released before is
    released when the reservation is garbage-collected.
    """

    def __init__(self, budget):
        self._budget = budget
        self.size = 0

    def try_add(self, size):
        """Reserve ``size`` bytes more if they are free; return whether they were."""
        if self._budget is None:
            return True
        if not self._budget.try_reserve(size):
            return False
        self.size += size
        return True

    def try_cover(self, size):
        """Reserve what is missing up to ``size`` bytes; return whether it was free."""
        return size <= self.size or self.try_add(size - self.size)

    def release(self):
        """Return everything to the budget."""
        size, self.size = self.size, 0
        if size:
            self._budget.release(size)

    def __del__(self):
        self.release()
