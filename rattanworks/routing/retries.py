"""Which attempts may be followed by another, and how many."""

import threading
from dataclasses import dataclass

from rattanworks.model.call import Outcome

RETRIED_REFUSALS = frozenset({502, 503})
FIRST_SERVER_FAULT = 500
MAX_SERVICES = 4096
# Attempts that repeats of outer levels may take in advance.
MAX_DEBT = 50.0


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """How many attempts beyond the first a service may get from this entry.

    ``share`` is a share of the service's recent calls; ``burst`` is the number
    of attempts that may come at once, and ``per_second`` is granted besides.
    ``mesh_burst``, unless 0, is the burst of all entries together: each gets an
    even part of it.
    """

    share: float = 0.2
    burst: float = 10.0
    per_second: float = 1.0
    mesh_burst: float = 0.0

    def burst_among(self, entries):
        """Return the burst of one of so many entries."""
        if not self.mesh_burst:
            return self.burst
        return min(self.burst, self.mesh_burst / max(1, entries))


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class RetryBudget:
    """Allows retries for a share of a service's calls and a trickle besides.

    Load pattern: a service that fails most calls is asked again for each, by
    every entry at once. Counting by service keeps one that fails from using up
    what another needs. ``count_entries()`` is the number of entries that share
    the budget.
    """

    def __init__(self, clock, settings=None, count_entries=lambda: 1):
        self._clock = clock
        self.settings = settings or RetrySettings()
        self._count_entries = count_entries
        self._lock = threading.Lock()
        self._buckets_by_service = {}

    def count_call(self, service, repeat_share=0.0):
        """Count a first attempt.

        ``repeat_share`` is the share of repeats among the calls that the backend
        server beside this entry runs: its own calls are repeats as often, and take
        from the budget of the service that they go to. In a chain of services the
        repeats of all levels thus stay within one budget.
        """
        with self._lock:
            bucket = self._filled(service)
            self._add(bucket, self.settings.share - repeat_share)

    def take(self, service):
        """Tell whether one more attempt is within the budget."""
        with self._lock:
            bucket = self._filled(service)
            if bucket.tokens < 1.0:
                return False
            bucket.tokens -= 1.0
            return True

    def _filled(self, service):
        now = self._clock.monotonic()
        bucket = self._buckets_by_service.get(service)
        if bucket is None:
            if len(self._buckets_by_service) >= MAX_SERVICES:
                self._buckets_by_service.clear()
            bucket = _Bucket(self._burst(), now)
            self._buckets_by_service[service] = bucket
        self._add(bucket, (now - bucket.filled_at) * self.settings.per_second)
        bucket.filled_at = now
        return bucket

    def _add(self, bucket, tokens):
        bucket.tokens = max(-MAX_DEBT, min(self._burst(), bucket.tokens + tokens))

    def _burst(self):
        return self.settings.burst_among(self._count_entries())


class RetryPolicy:
    """Decides whether a call goes to one more endpoint after an attempt."""

    def __init__(self, budget, failures):
        self._budget = budget
        self._failures = failures

    def is_retried(self, call, attempt, may_retry):
        """Tell whether the call is sent again; takes from the budget if need be."""
        if attempt.is_undelivered:
            # Nothing ran and nobody was there to be loaded: only another choice.
            return True
        if not may_retry or not is_retriable(call, attempt.answer):
            return False
        if not attempt.answer.is_offered:
            # The owner refused it unsent: its backend server has no load by it.
            return True
        has_run = attempt.answer.outcome != Outcome.NOT_RUN
        if has_run and not self._failures.may_repeat(call.service):
            return False
        return self._budget.take(call.service)


def is_failed(answer):
    """Tell whether an answer counts against the endpoint that gave it."""
    if answer.outcome == Outcome.UNKNOWN:
        return True
    return answer.outcome == Outcome.DONE and answer.status >= FIRST_SERVER_FAULT


def is_retriable(call, answer):
    """Tell whether running the call again can do no harm and may help."""
    if answer.outcome == Outcome.NOT_RUN:
        return answer.status in RETRIED_REFUSALS
    if answer.outcome == Outcome.DONE:
        # Another backend server may do better than one that fails.
        return call.is_idempotent and answer.status >= FIRST_SERVER_FAULT
    return call.is_idempotent
