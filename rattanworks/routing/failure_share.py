"""The share of a service's calls that fail, as this entry sees it."""

import math
import threading
from dataclasses import dataclass

MEMORY_SECONDS = 2.0
# Calls of the memory below which the share says little.
MIN_CALLS = 5.0
# One grey endpoint of three that fails half of its calls makes a sixth fail.
MAX_SHARE_FOR_REPEATS = 0.25
MAX_SERVICES = 4096


@dataclass(slots=True)
class _Counts:
    at: float
    calls: float = 0.0
    failures: float = 0.0


class FailureShare:
    """Counts calls and failures by service; both fade over MEMORY_SECONDS."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_service = {}

    def record(self, service, is_failed):
        """Take in the end of one attempt."""
        with self._lock:
            counts = self._faded(service)
            counts.calls += 1.0
            counts.failures += is_failed

    def _faded(self, service):
        now = self._clock.monotonic()
        counts = self._counts_by_service.get(service)
        if counts is None:
            if len(self._counts_by_service) >= MAX_SERVICES:
                self._counts_by_service.clear()
            counts = self._counts_by_service[service] = _Counts(now)
        kept = math.exp((counts.at - now) / MEMORY_SECONDS)
        counts.calls *= kept
        counts.failures *= kept
        counts.at = now
        return counts

    def may_repeat(self, service):
        """Tell whether another endpoint is likely to do better than the last.

        Load pattern: a service whose endpoints all fail, for the service that
        they call is overloaded. Each repeat costs a run and its calls, keeps the
        overload going and fails as well; only failures of single endpoints are
        worth a repeat.
        """
        with self._lock:
            counts = self._faded(service)
            if counts.calls < MIN_CALLS:
                return True
            return counts.failures <= MAX_SHARE_FOR_REPEATS * counts.calls
