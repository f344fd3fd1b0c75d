"""Simulated time and its event queue."""

import heapq
import itertools

from rattanworks.ports.base import Clock


class Timeline(Clock):
    """Runs scheduled actions in the order of their simulated times."""

    def __init__(self):
        self._now = 0.0
        self._events = []
        self._event_numbers = itertools.count()

    def monotonic(self):
        """Return the simulated time in seconds."""
        return self._now

    def now(self):
        """Return the simulated time, which also serves as the time of day."""
        return self._now

    def call_later(self, seconds, action, *arguments):
        """Schedule ``action`` to run ``seconds`` from now."""
        event = (self._now + seconds, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self):
        """Run until no events are left."""
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
