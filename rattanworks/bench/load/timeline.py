"""Simulated time and the actions that are due in it."""

import heapq
import itertools

from rattanworks.ports.base import Clock


class Timeline(Clock):
    """Runs actions in the order of their simulated times, in seconds."""

    def __init__(self):
        self._now = 0.0
        self._due = []
        self._numbers = itertools.count()

    def monotonic(self):
        """Return the simulated time."""
        return self._now

    def now(self):
        """Return the simulated time, which is the time of day as well."""
        return self._now

    def after(self, seconds, action, *arguments):
        """Run ``action`` so many seconds from now."""
        entry = (self._now + seconds, next(self._numbers), action, arguments)
        heapq.heappush(self._due, entry)

    def run(self):
        """Run until nothing is due any longer."""
        while self._due:
            self._now, _, action, arguments = heapq.heappop(self._due)
            action(*arguments)
