"""Retries: which attempts may be followed by another, and how many."""

import threading
from dataclasses import dataclass

from rattanworks.model.call import Outcome
from rattanworks.utils.logging import log_event

RETRIABLE_REFUSAL_STATUSES = frozenset({502, 503})
MIN_SERVER_ERROR_STATUS = 500
MAX_SERVICES = 4096
# Retries by which the repeats of outer services may overdraw a budget.
MAX_OVERDRAFT = 50.0


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """How many retries this entry may send to a service.

    Each call adds ``share`` retries to the service's budget and each second adds
    ``per_second``; ``burst`` is the most that the budget holds. ``mesh_burst``,
    unless 0, is the burst of all entries together, of which each gets an equal
    part.
    """

    share: float = 0.2
    burst: float = 10.0
    per_second: float = 1.0
    mesh_burst: float = 0.0

    def burst_per_entry(self, entry_count):
        """Return the burst of each of ``entry_count`` entries."""
        if not self.mesh_burst:
            return self.burst
        return min(self.burst, self.mesh_burst / max(1, entry_count))


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class RetryBudget:
    """A token bucket of retries for each service.

    Load pattern: a service fails most calls, and every entry retries each of
    them at once. With a bucket for each service, one that fails does not use up
    the retries of another. ``count_entries()`` returns the number of entries that
    share the ``mesh_burst``; ``taken`` counts the retries taken so far.
    """

    def __init__(self, clock, settings=None, count_entries=lambda: 1):
        self._clock = clock
        self.settings = settings or RetrySettings()
        self._count_entries = count_entries
        self._lock = threading.Lock()
        self._buckets_by_service = {}
        self.taken = 0

    def count_call(self, service, repeat_share=0.0):
        """Add the share of one call to the budget; called for the first attempt.

        ``repeat_share`` is the share of repeats among the calls that the backend
        server beside this entry runs. The calls that it makes in turn are assumed
        to be repeats equally often, and are charged to the budget of the service
        that they go to. The repeats of all services in a chain thus stay within
        one budget.
        """
        with self._lock:
            bucket = self._refilled(service)
            self._add(bucket, self.settings.share - repeat_share)

    def take(self, service):
        """Take one retry from the budget; return whether there was one."""
        with self._lock:
            bucket = self._refilled(service)
            if bucket.tokens < 1.0:
                return False
            bucket.tokens -= 1.0
            self.taken += 1
            return True

    def _refilled(self, service):
        now = self._clock.monotonic()
        bucket = self._buckets_by_service.get(service)
        if bucket is None:
            if len(self._buckets_by_service) >= MAX_SERVICES:
                self._buckets_by_service.clear()
            bucket = _Bucket(self._burst(), now)
            self._buckets_by_service[service] = bucket
        self._add(bucket, (now - bucket.refilled_at) * self.settings.per_second)
        bucket.refilled_at = now
        return bucket

    def _add(self, bucket, tokens):
        bucket.tokens = max(-MAX_OVERDRAFT, min(self._burst(), bucket.tokens + tokens))

    def _burst(self):
        return self.settings.burst_per_entry(self._count_entries())


class RetryPolicy:
    """Decides whether a call goes to one more endpoint after an attempt."""

    def __init__(self, budget, failures):
        self._budget = budget
        self._failures = failures

    def is_retried(self, call, attempt, may_retry):
        """Return whether the call is sent again; may take a retry from the budget.

        ``may_retry`` is False when an entry further out in a chain of calls retries.
        """
        if attempt.is_undelivered:
            # No endpoint was reached: nothing ran and no server got load from it.
            return True
        if not may_retry or not is_retriable(call, attempt.answer):
            return False
        if not attempt.answer.is_offered:
            # The owner refused the call before sending it: no load on its server.
            return True
        has_run = attempt.answer.outcome != Outcome.NOT_RUN
        if has_run and not self._failures.may_repeat(call.service):
            _log_retry_refused(call, "too many calls of the service fail")
            return False
        return self.take_retry(call, attempt.answer.reason)

    def take_retry(self, call, reason):
        """Take a retry from the budget for a call that a server was sent before.

        Return whether there was one. ``reason`` says how the latest attempt ended.
        """
        if not self._budget.take(call.service):
            _log_retry_refused(call, "the retry budget is spent")
            return False
        log_event(
            "retry-taken",
            request_id=call.request_id,
            service=call.service,
            reason=reason,
        )
        return True


def _log_retry_refused(call, reason):
    log_event(
        "retry-refused",
        request_id=call.request_id,
        service=call.service,
        reason=reason,
    )


def is_failed(answer):
    """Return whether an answer counts as a failure of the endpoint that gave it."""
    if answer.outcome == Outcome.UNKNOWN:
        return True
    return answer.outcome == Outcome.DONE and answer.status >= MIN_SERVER_ERROR_STATUS


def is_retriable(call, answer):
    """Return whether running the call again is safe and may succeed."""
    if answer.outcome == Outcome.NOT_RUN:
        return answer.status in RETRIABLE_REFUSAL_STATUSES
    if answer.outcome == Outcome.DONE:
        # Another backend server may answer without an error.
        return call.is_idempotent and answer.status >= MIN_SERVER_ERROR_STATUS
    return call.is_idempotent
