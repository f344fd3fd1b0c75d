"""The era of the platform's store, which rises when it returns from an older copy."""

import threading

from rattanworks.utils.logging import log_event

ERA_HEADER = "store-era"
# Eras with more digits do not fit beside a revision in 64 bits.
MAX_ERA_DIGITS = 6


class EraTracker:
    """Finds the era of each answer and tells listeners of a later one.

    Answers without a readable era count as answers of the latest one.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._listeners = ()
        self._era = None

    @property
    def latest(self):
        """Return the latest era of any answer, 0 before the first."""
        return self._era or 0

    def add_listener(self, listener):
        """Call ``listener`` after each rise of the era, but not for the first era."""
        with self._lock:
            self._listeners = (*self._listeners, listener)

    def remove_listener(self, listener):
        """Call ``listener`` no more."""
        with self._lock:
            self._listeners = tuple(
                known for known in self._listeners if known != listener
            )

    def era_of(self, answer):
        """Return the era of an answer."""
        text = answer.header(ERA_HEADER)
        is_readable = text.isdecimal() and len(text) <= MAX_ERA_DIGITS
        return int(text) if is_readable else self.latest

    def observe(self, answer):
        """Take over an answer's era; return False if it is earlier than the latest."""
        era = self.era_of(answer)
        with self._lock:
            previous = self._era
            if previous is not None and era <= previous:
                return era == previous
            self._era = era
        if previous is not None:
            log_event("store-restored", era=era, previous=previous)
            for listener in self._listeners:
                listener()
        return True
