"""Answers that are due at a time, whatever the threads of their calls do."""

import math
import time
from dataclasses import dataclass
from typing import Any

# Answers become due together in steps of this time, which bounds the wake-ups.
STEP_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class DueAnswer:
    """A function to call at a monotonic time."""

    due: float
    answer: Any


class DueAnswers:
    """The answers of calls in progress by a key; one thread gives those that are due.

    Other threads add and discard answers. The thread waits no longer than it is told
    by ``seconds_to_next``.
    """

    def __init__(self, monotonic=time.monotonic):
        self._monotonic = monotonic
        self._by_key = {}
        self._next_look = 0.0

    def add(self, key, due, answer):
        """Call ``answer()`` soon after ``due``, unless the key is discarded before.

        Returns whether the thread looks too late and has to be woken.
        """
        self._by_key[key] = DueAnswer(due, answer)
        return due < self._next_look

    def discard(self, key):
        """Forget an answer; called when the call has its own."""
        self._by_key.pop(key, None)

    def seconds_to_next(self, limit):
        """Return for how long to wait, at most ``limit`` seconds."""
        now = self._monotonic()
        # Set before the look at the answers: one that is added during it is either
        # seen or wakes this thread.
        self._next_look = now + limit
        due = min((entry.due for entry in self._entries()), default=math.inf)
        seconds = min(limit, max(STEP_SECONDS, due - now))
        self._next_look = now + seconds
        return seconds

    def run_due(self):
        """Give the answers that are due."""
        now = self._monotonic()
        # Copies of keys and of values are taken at once; items() would not be, as other
        # threads may run while its pairs are allocated.
        for key in list(self._by_key):
            entry = self._by_key.get(key)
            if entry is not None and entry.due <= now:
                self._by_key.pop(key, None)
                entry.answer()

    def _entries(self):
        return list(self._by_key.values())
