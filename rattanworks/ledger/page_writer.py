"""Group commit: one write stores all changes of a page that wait for it."""

import threading
from concurrent.futures import Future
from dataclasses import dataclass, field, replace

from rattanworks.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from rattanworks.ledger.page import AcquireClaim, ReleaseClaim, apply_change
from rattanworks.model.claim import ClaimState
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import log_event

MAX_WRITE_ATTEMPTS = 8
BURST_WRITES = 4
MAX_PENDING_CHANGES = 4096
MAX_BATCH_CHANGES = 256
MAX_BATCH_BODY_BYTES = 512 * 1024
MAX_RETRIED_CHANGES = 128
MAX_RETRIED_BODY_BYTES = 4 * 1024
CONFLICT_BASE_SECONDS = 0.005
CONFLICT_CAP_SECONDS = 0.1
OUTAGE_BASE_SECONDS = 0.1
OUTAGE_CAP_SECONDS = 2.0


@dataclass(slots=True)
class _PendingChange:
    change: object
    future: Future = field(default_factory=Future)


class PageWriter:
    """Applies changes to one page, one write at a time.

    Writes are on average at least ``interval`` seconds apart, so that all pages
    together stay within the store's rate limit. After an idle time, writes may run
    ahead of this rate by BURST_WRITES.
    """

    def __init__(self, view, clock, executor, interval):
        self._view = view
        self._clock = clock
        self._executor = executor
        self._interval = interval
        self._lock = threading.Lock()
        self._pending = []
        self._is_active = False
        self._is_stopped = False
        self._next_write_at = float("-inf")
        self._pause = threading.Event()
        self._change_arrived = threading.Event()
        self._outage_backoff = FullJitterBackoff(
            OUTAGE_BASE_SECONDS, OUTAGE_CAP_SECONDS
        )

    def submit(self, change):
        """Queue a change; return a Future of the claim in force after it."""
        pending = _PendingChange(change)
        with self._lock:
            if len(self._pending) >= MAX_PENDING_CHANGES:
                raise StoreUnavailableError("too many claims wait; try again later")
            self._pending.append(pending)
            self._change_arrived.set()
            if self._is_active:
                return pending.future
            self._is_active = True
        try:
            self._executor.submit(self._write_pending)
        except RuntimeError as error:
            raise StoreUnavailableError("the node stops; ask another one") from error
        return pending.future

    def stop(self):
        """Retry no failed change from now on; queued changes are still tried."""
        self._is_stopped = True
        self._change_arrived.set()

    def _write_pending(self):
        while True:
            self._wait_for_write_slot()
            batch = self._next_batch()
            if batch is None:
                return
            try:
                self._commit(batch)
                self._outage_backoff.reset()
            except StoreError as error:
                self._fail(batch, error)
            except Exception as error:
                # One of the page's records came from another writer. Its claims are
                # refused until the record is restored.
                log_event("record-unreadable", key=self._view.key, reason=repr(error))
                self._fail(batch, StoreUnavailableError(f"unreadable page: {error}"))

    def _wait_for_write_slot(self):
        burst_seconds = BURST_WRITES * self._interval
        now = self._clock.monotonic()
        self._pause.wait(max(0.0, self._next_write_at - burst_seconds - now))

    def _next_batch(self):
        with self._lock:
            self._change_arrived.clear()
            if not self._pending:
                self._is_active = False
                return None
            count, size = 0, 0
            for pending in self._pending[:MAX_BATCH_CHANGES]:
                size += _body_bytes(pending.change)
                if count and size > MAX_BATCH_BODY_BYTES:
                    break
                count += 1
            batch, self._pending = self._pending[:count], self._pending[count:]
        return [item for item in batch if item.future.set_running_or_notify_cancel()]

    def _commit(self, batch):
        now = self._clock.monotonic()
        self._next_write_at = max(now, self._next_write_at) + self._interval
        backoff = FullJitterBackoff(CONFLICT_BASE_SECONDS, CONFLICT_CAP_SECONDS)
        is_write_in_doubt = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                results = self._try_commit(batch)
            except StoreConflictError:
                self._view.is_current = False
                self._pause.wait(backoff.next_delay())
            except StoreAnswerLostError:
                # The next read shows whether the write took effect.
                is_write_in_doubt = True
                if self._is_stopped:
                    break
            except StoreError as error:
                if is_write_in_doubt:
                    raise StoreAnswerLostError(str(error)) from error
                raise
            else:
                _resolve_futures(batch, results)
                return
        if is_write_in_doubt:
            raise StoreAnswerLostError("the store keeps losing answers; try later")
        raise StoreUnavailableError("other writers keep coming first; try again later")

    def _try_commit(self, batch):
        is_fresh = not self._view.is_current
        if is_fresh:
            self._view.read()
        changed, results = self._apply(batch)
        if changed or self._view.has_lost_claims:
            self._view.write(changed)
        elif not is_fresh:
            # Without a write, no compare-and-swap has checked that the head read
            # earlier is still current: read it again.
            self._view.is_current = False
            return self._try_commit(batch)
        return results

    def _apply(self, batch):
        """Return the changed claims by key and, per change, its claim or an error."""
        changed, results = {}, []
        for item in batch:
            key = item.change.claim.key
            current = changed.get(key) or self._view.find(key)
            claim = apply_change(item.change, current)
            error = None
            if claim != current:
                error = self._rejection(item.change)
                if error is None:
                    changed[key] = claim
            results.append(error or claim)
        return changed, results

    def _rejection(self, change):
        if not isinstance(change, AcquireClaim):
            return None
        if self._view.is_full:
            return StoreUnavailableError("the page of claims is full; try again later")
        if change.claim.expires_at <= self._clock.now():
            return StoreUnavailableError("the claim came after its deadline")
        return None

    def _fail(self, batch, error):
        # Claims are not retried. Outcomes and releases are, and a claim that may
        # have been stored is released.
        retried = []
        for item in batch:
            item.future.set_exception(error)
            if not isinstance(item.change, AcquireClaim):
                retried.append(_without_large_body(item.change))
            elif isinstance(error, StoreAnswerLostError):
                retried.append(ReleaseClaim(item.change.claim))
        if self._is_stopped:
            return
        with self._lock:
            kept = [_PendingChange(change) for change in retried[:MAX_RETRIED_CHANGES]]
            self._pending[:0] = kept
        if kept:
            self._change_arrived.wait(self._outage_backoff.next_delay())


def _resolve_futures(batch, results):
    for item, result in zip(batch, results, strict=True):
        if isinstance(result, StoreError):
            item.future.set_exception(result)
        else:
            item.future.set_result(result)


def _without_large_body(change):
    if _body_bytes(change) <= MAX_RETRIED_BODY_BYTES:
        return change
    answer = replace(change.claim.answer, body=b"")
    return replace(
        change, claim=replace(change.claim, answer=answer, is_body_kept=False)
    )


def _body_bytes(change):
    claim = change.claim
    if claim.state == ClaimState.CLAIMED or claim.answer is None:
        return 0
    return len(claim.answer.body)
