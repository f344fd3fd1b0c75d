"""In-memory stand-in for the platform's key-value service.

The protocol is described in docs/developer-guide/standins.md.
"""

import threading
import time
import uuid
from dataclasses import dataclass, field, replace

from rattanworks.ports.base import StoreEntry, WatchEvent, revision_of

MAX_VALUE_BYTES = 1024 * 1024


class RevisionConflictError(Exception):
    """A record has another revision than expected; ``actual`` is its revision."""

    def __init__(self, actual):
        self.actual = actual
        super().__init__(actual)


class TransactionConflictError(RevisionConflictError):
    """A record of a transaction has another revision than expected.

    ``position`` is the index of its write in the transaction.
    """

    def __init__(self, position, actual):
        super().__init__(actual)
        self.position = position


class UnknownLeaseError(Exception):
    """The lease has expired, was revoked or never existed."""


@dataclass(slots=True)
class _Lease:
    ttl: float
    expires_at: float
    keys: set = field(default_factory=set)


class MemoryStore:
    """Thread-safe key-value store with revisions, leases and watches.

    A deleted record stays as a StoreEntry whose value is None, so that watchers see the
    deletion.
    """

    def __init__(self, monotonic=time.monotonic):
        self._monotonic = monotonic
        self._changed = threading.Condition()
        self._entries_by_key = {}
        self._leases_by_id = {}
        self._revision = 0

    def get(self, key):
        """Return the StoreEntry at ``key`` or None."""
        with self._changed:
            self._expire_leases()
            return self._get_live(key)

    def list(self, prefix):
        """Return a WatchEvent with the existing records under ``prefix``."""
        with self._changed:
            self._expire_leases()
            entries = tuple(
                entry
                for key, entry in sorted(self._entries_by_key.items())
                if key.startswith(prefix) and entry.value is not None
            )
            return WatchEvent(entries, self._revision)

    def put(self, key, value, expected_revision, lease_id=""):
        """Write by compare-and-swap and return the new StoreEntry.

        Raise RevisionConflictError when the record has another revision than
        ``expected_revision`` (ABSENT to create it), UnknownLeaseError when there is
        no such lease.
        """
        with self._changed:
            self._expire_leases()
            self._require_revision(key, expected_revision)
            lease = self._require_lease(lease_id) if lease_id else None
            self._attach(key, lease)
            return self._write_at_new_revision(key, value)

    def delete(self, key, expected_revision):
        """Delete by compare-and-swap and return the StoreEntry, whose value is None.

        Raise RevisionConflictError when the record has another revision than
        ``expected_revision``.
        """
        with self._changed:
            self._expire_leases()
            self._require_revision(key, expected_revision)
            return self._write_at_new_revision(key, None)

    def write_all(self, writes):
        """Make all the Writes at one new revision, or none, and return their Entries.

        Raise TransactionConflictError for the first write whose record has another
        revision than expected, UnknownLeaseError when a lease does not exist.
        """
        with self._changed:
            self._expire_leases()
            for position, write in enumerate(writes):
                self._require_write_revision(position, write)
            leases = [
                self._require_lease(w.lease_id) if w.lease_id else None for w in writes
            ]
            for write, lease in zip(writes, leases, strict=True):
                self._attach(write.key, lease)
            self._revision += 1
            return tuple(self._set_entry(write.key, write.value) for write in writes)

    def _require_write_revision(self, position, write):
        try:
            self._require_revision(write.key, write.expected_revision)
        except RevisionConflictError as error:
            raise TransactionConflictError(position, error.actual) from error

    def watch(self, prefix, after_revision, timeout):
        """Return the changes under ``prefix`` after a revision as a WatchEvent.

        Wait up to ``timeout`` seconds for the first change; without one, the event
        has no entries.
        """
        deadline = self._monotonic() + timeout
        with self._changed:
            while True:
                self._expire_leases()
                entries = self._find_changes(prefix, after_revision)
                seconds_left = deadline - self._monotonic()
                if entries or seconds_left <= 0:
                    return WatchEvent(entries, self._revision)
                self._changed.wait(min(seconds_left, self._seconds_to_expiry()))

    def grant_lease(self, ttl):
        """Return the id of a new lease with a time to live of ``ttl`` seconds."""
        with self._changed:
            lease_id = uuid.uuid4().hex
            self._leases_by_id[lease_id] = _Lease(ttl, self._monotonic() + ttl)
            return lease_id

    def renew_lease(self, lease_id):
        """Restart a lease's time to live; raise UnknownLeaseError if it is gone."""
        with self._changed:
            self._expire_leases()
            lease = self._require_lease(lease_id)
            lease.expires_at = self._monotonic() + lease.ttl

    def revoke_lease(self, lease_id):
        """End a lease and delete the records attached to it."""
        with self._changed:
            self._expire_leases()
            self._require_lease(lease_id)
            self._end_lease(lease_id)

    def expire_all_leases(self):
        """End every lease at once, as when all holders pause and fail to renew."""
        with self._changed:
            for lease_id in list(self._leases_by_id):
                self._end_lease(lease_id)

    def restore(self, entries, revision):
        """Replace the records and the revision with those of an earlier run."""
        with self._changed:
            self._entries_by_key = {entry.key: entry for entry in entries}
            self._revision = revision

    def copy(self):
        """Return the records and the revision, for a later ``restore``.

        The copy has no leases: records attached to one are left out.
        """
        with self._changed:
            self._expire_leases()
            leased = {
                key for lease in self._leases_by_id.values() for key in lease.keys
            }
            entries = tuple(
                entry
                for key, entry in self._entries_by_key.items()
                if key not in leased
            )
            return WatchEvent(entries, self._revision)

    def restore_copy(self, copy):
        """Return to the records and the revision of a ``copy``, without any lease.

        Watches that wait go on from the revision that they were given.
        """
        with self._changed:
            self._leases_by_id.clear()
            self.restore(copy.entries, copy.revision)

    def _get_live(self, key):
        entry = self._entries_by_key.get(key)
        return entry if entry and entry.value is not None else None

    def _require_revision(self, key, expected):
        entry = self._get_live(key)
        actual = revision_of(entry)
        if actual != expected:
            raise RevisionConflictError(actual)

    def _attach(self, key, lease):
        # A record has the lease that it was written with last.
        for other in self._leases_by_id.values():
            other.keys.discard(key)
        if lease is not None:
            lease.keys.add(key)

    def _write_at_new_revision(self, key, value):
        self._revision += 1
        return self._set_entry(key, value)

    def _set_entry(self, key, value):
        entry = StoreEntry(key, value, self._revision)
        self._entries_by_key[key] = entry
        self._changed.notify_all()
        return entry

    def _find_changes(self, prefix, after_revision):
        return tuple(
            entry
            for key, entry in sorted(self._entries_by_key.items())
            if key.startswith(prefix) and entry.revision > after_revision
        )

    def _require_lease(self, lease_id):
        try:
            return self._leases_by_id[lease_id]
        except KeyError:
            raise UnknownLeaseError(lease_id) from None

    def _expire_leases(self):
        now = self._monotonic()
        for lease_id, lease in list(self._leases_by_id.items()):
            if lease.expires_at <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        for key in self._leases_by_id.pop(lease_id).keys:
            if self._get_live(key):
                self._write_at_new_revision(key, None)

    def _seconds_to_expiry(self):
        now = self._monotonic()
        times = [lease.expires_at - now for lease in self._leases_by_id.values()]
        return max(0.005, min(times, default=3600))


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Faults that the stand-in injects.

    While ``is_down``, calls get status 503 and have no effect. ``delay_seconds`` is
    added to each call. The next ``lose_answers`` writes take effect, but their
    connections close without an answer. ``max_calls_per_second`` of 0 means no limit.
    """

    is_down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    max_calls_per_second: float = 0.0


class FaultController:
    """Holds the injected faults and counts calls by kind."""

    def __init__(self):
        self._lock = threading.Lock()
        self._faults = StoreFaults()
        self._window_start = 0.0
        self._window_calls = 0
        self._counts_by_kind = {"read": 0, "write": 0, "watch": 0, "rejected": 0}

    @property
    def faults(self):
        """Return the injected faults."""
        return self._faults

    def set(self, faults):
        """Replace the injected faults."""
        with self._lock:
            self._faults = faults

    def count(self, kind):
        """Count one call of a kind."""
        with self._lock:
            self._counts_by_kind[kind] += 1

    def counts(self):
        """Return the number of calls by kind."""
        with self._lock:
            return dict(self._counts_by_kind)

    def consume_lost_answer(self):
        """Return whether to lose the answer to this write.

        Each lost answer reduces ``lose_answers`` by one.
        """
        with self._lock:
            if not self._faults.lose_answers:
                return False
            self._faults = replace(
                self._faults, lose_answers=self._faults.lose_answers - 1
            )
            return True

    def is_over_rate(self):
        """Count this call and return whether it exceeds the rate limit."""
        with self._lock:
            limit = self._faults.max_calls_per_second
            now = time.monotonic()
            if now - self._window_start >= 1.0:
                self._window_start, self._window_calls = now, 0
            self._window_calls += 1
            return bool(limit) and self._window_calls > limit
