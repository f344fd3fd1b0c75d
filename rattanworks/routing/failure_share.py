"""The share of failed attempts of each service, as observed by this entry."""

import math
import threading
from dataclasses import dataclass

# Time constant of the exponential decay of the counts.
DECAY_SECONDS = 2.0
# With fewer attempts, after decay, the share is not meaningful.
MIN_CALLS = 5.0
# One of three endpoints that fails half of its calls (a gray failure) makes a
# share of 1/6; its calls must still be repeated.
MAX_SHARE_FOR_REPEATS = 0.25
MAX_SERVICES = 4096


@dataclass(slots=True)
class _Counts:
    updated_at: float
    calls: float = 0.0
    failures: float = 0.0


class FailureShare:
    """Counts attempts and failures by service, with exponential decay."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_service = {}

    def record(self, service, is_failed):
        """Record the end of one attempt."""
        with self._lock:
            counts = self._decayed(service)
            counts.calls += 1.0
            counts.failures += is_failed

    def _decayed(self, service):
        now = self._clock.monotonic()
        counts = self._counts_by_service.get(service)
        if counts is None:
            if len(self._counts_by_service) >= MAX_SERVICES:
                self._counts_by_service.clear()
            counts = self._counts_by_service[service] = _Counts(now)
        kept = math.exp((counts.updated_at - now) / DECAY_SECONDS)
        counts.calls *= kept
        counts.failures *= kept
        counts.updated_at = now
        return counts

    def may_repeat(self, service):
        """Return whether a failed call is likely to succeed at another endpoint.

        Load pattern: all endpoints of a service fail, because a service that they
        call is overloaded. Each repeat runs the call and its nested calls again,
        prolongs the overload and fails as well; only failures of single endpoints
        are worth a repeat.
        """
        with self._lock:
            counts = self._decayed(service)
            if counts.calls < MIN_CALLS:
                return True
            return counts.failures <= MAX_SHARE_FOR_REPEATS * counts.calls
