"""A role that one node at a time holds under a store lease."""

import random
import threading
from dataclasses import dataclass

from rattanworks.exceptions import (
    HistoryLostError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
)
from rattanworks.model.call import return_true
from rattanworks.ports.base import era_of, revision_of
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

RETRY_SECONDS = 2.0
REACQUIRE_SECONDS = 0.5
BACKOFF_CAP_SECONDS = 8.0
# How long one watch of the lease holder's record by a standby node lasts.
STANDBY_WATCH_SECONDS = 10.0
# Answers of the store that a lease lasts for beside the time between two renewals:
# acquiring the role takes two and its first renewal one.
ANSWERS_IN_LEASE = 4


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long a lease lasts and how often it is renewed, in seconds."""

    lease_seconds: float
    renew_seconds: float

    def is_slow(self, answer_seconds):
        """Return whether leases must be longer where an answer takes so long."""
        return self.lease_seconds_at(answer_seconds) > self.lease_seconds

    def lease_seconds_at(self, answer_seconds):
        """Return how long a lease lasts whose store takes so long for an answer."""
        needed = self.renew_seconds + ANSWERS_IN_LEASE * answer_seconds
        return max(self.lease_seconds, needed)


# For roles whose work may pause for some seconds while the lease holder changes.
DEFAULT_TIMING = LeaseTiming(6.0, 2.0)
# For roles whose holders pass on the changes in the store, which no node learns of
# otherwise. When all holders die together, other nodes must take over within the 2 s
# in which a new version must be in force.
FAST_TIMING = LeaseTiming(1.4, 0.45)


class LeasedRole:
    """Acquires the role at ``key`` when it is free and renews its lease.

    The lease protects no write, as a node may still write after its lease expired.
    Code that writes under the role must fence each write: by compare-and-swap on the
    record it changes, with ``term`` in the record. The node asks for the role only
    while ``is_candidate()`` is true, so that the store calls of standby nodes do not
    grow with the fleet, and releases it when ``is_needed()`` is false. ``on_held`` is
    called after each acquisition and renewal.
    """

    def __init__(
        self,
        store,
        key,
        holder_value,
        clock,
        is_candidate=return_true,
        timing=DEFAULT_TIMING,
        is_needed=return_true,
    ):
        self._store = store
        self._timing = timing
        self._seen_revision = 0
        self._key = key
        self._holder_value = holder_value
        self._clock = clock
        self._is_candidate = is_candidate
        self._is_needed = is_needed
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._random = random.Random()
        self._backoff = FullJitterBackoff(RETRY_SECONDS, BACKOFF_CAP_SECONDS)
        self._lease_id = ""
        self._lease_seconds = timing.lease_seconds
        self._valid_until = 0.0
        self._term = 0
        self._thread = threading.Thread(target=self._run, name=key, daemon=True)
        self.on_held = lambda: None
        store.add_restore_listener(self._handle_restore)

    @property
    def key(self):
        """Return the key of the role's record."""
        return self._key

    @property
    def is_held(self):
        """Return whether this node holds an unexpired lease, by its own clock.

        A store that returns from an older copy has lost all leases.
        """
        return (
            bool(self._lease_id)
            and self._clock.monotonic() < self._valid_until
            and era_of(self._term) == self._store.era
        )

    @property
    def term(self):
        """Return a fencing token, which grows with each change of the lease holder."""
        return self._term

    def start(self):
        """Begin to compete for the role."""
        self._thread.start()

    def stop(self):
        """Release the role and stop competing for it."""
        self._stopped.set()
        self._wake.set()
        self._store.remove_restore_listener(self._handle_restore)
        with self._lock:
            lease_id, self._lease_id = self._lease_id, ""
            if lease_id:
                self._revoke(lease_id)

    def _run(self):
        # A random delay keeps nodes that start together from calling the store at once.
        self._stopped.wait(self._random.uniform(0, RETRY_SECONDS / 2))
        while not self._stopped.is_set():
            if not run_guarded(self._key, self._run_step):
                self._stopped.wait(self._timing.renew_seconds / 2)

    def _run_step(self):
        pause = self.step()
        if not self._watch_holder():
            self._wake.wait(pause)
            self._wake.clear()

    def _handle_restore(self):
        # Only the holder: its standby nodes need not all read the record at once.
        if self._lease_id:
            self._wake.set()

    def _watch_holder(self):
        """Wait for the lease holder's record to change.

        Return False when there is none to watch or the store failed.
        """
        if self._lease_id or not self._seen_revision:
            return False
        try:
            while self._may_wait():
                if self._await_change():
                    break
        except HistoryLostError:
            # The step that follows reads the record again, after a pause in case the
            # store keeps no history at all.
            self._stopped.wait(REACQUIRE_SECONDS)
            return True
        except StoreError as error:
            log_event("role-store-error", role=self._key, reason=str(error))
            return False
        return True

    def _may_wait(self):
        is_stopped = self._stopped.is_set()
        return not is_stopped and self._is_needed() and self._is_candidate()

    def _await_change(self):
        """Wait for one watch to end and return whether it shows a change.

        The next watch starts from the store's revision, not from that of the record:
        the store keeps its history for a limited time.
        """
        seen = self._seen_revision
        event = self._store.watch(self._key, seen, STANDBY_WATCH_SECONDS)
        self._seen_revision = event.revision
        return event.revision < seen or _find(self._key, event) is not None

    def step(self):
        """Acquire or renew once and return the seconds until the next step."""
        try:
            with self._lock:
                was_held = bool(self._lease_id)
                if not self._stopped.is_set():
                    self._hold() if was_held else self._acquire()
        except StoreError as error:
            log_event("role-store-error", role=self._key, reason=str(error))
            # The lease holder retries in time to renew; a standby node backs off.
            return (
                self._timing.renew_seconds / 2
                if was_held
                else self._backoff.next_delay()
            )
        self._backoff.reset()
        if self._lease_id:
            self.on_held()
        pause = self._timing.renew_seconds if self._lease_id else RETRY_SECONDS
        if was_held and not self._lease_id:
            # The lease was lost, as after an outage of the store. Retry soon: as few
            # nodes are candidates, this is little load.
            pause = REACQUIRE_SECONDS
        return pause * self._random.uniform(0.5, 1.0)

    def _acquire(self):
        self._seen_revision = 0
        if self._is_needed() and self._is_candidate():
            self._acquire_if_free()

    def _acquire_if_free(self):
        event, answer_seconds = self._list_timed()
        if self._timing.is_slow(answer_seconds):
            # A single slow answer may be a lost packet or a pause of this process, and
            # does not call for a lease that holds up a successor.
            event, again_seconds = self._list_timed()
            answer_seconds = min(answer_seconds, again_seconds)
        known = _find(self._key, event)
        if known is not None and known.value != self._holder_value:
            self._seen_revision = event.revision
            return
        # A record of this node itself is left from an earlier lease, as when the store
        # returned from an older copy: that lease need not end first.
        expected_revision = revision_of(known)
        started = self._clock.monotonic()
        lease_seconds = self._timing.lease_seconds_at(answer_seconds)
        lease_id = self._store.grant_lease(lease_seconds)
        try:
            entry = self._store.put(
                self._key, self._holder_value, expected_revision, lease_id
            )
        except StoreConflictError:
            self._revoke(lease_id)
            return
        except StoreAnswerLostError:
            # The record may have been written: revoking its lease deletes it, and
            # the next step tries again.
            self._revoke(lease_id)
            raise
        self._lease_seconds = lease_seconds
        self._valid_until = started + lease_seconds
        self._term = entry.revision
        self._lease_id = lease_id
        log_event("role-acquired", role=self._key, term=self._term)

    def _list_timed(self):
        started = self._clock.monotonic()
        event = self._store.list(self._key)
        return event, self._clock.monotonic() - started

    def _hold(self):
        if self._is_needed():
            self._renew()
            return
        lease_id, self._lease_id = self._lease_id, ""
        log_event("role-released", role=self._key, term=self._term)
        self._revoke(lease_id)

    def _renew(self):
        started = self._clock.monotonic()
        try:
            self._store.renew_lease(self._lease_id)
        except LeaseLostError:
            self._lease_id = ""
            is_restored = era_of(self._term) != self._store.era
            log_event(
                "role-lost", role=self._key, term=self._term, is_restored=is_restored
            )
            if is_restored:
                # The record is gone as well, and no other node waits for its end. A
                # holder need not be a candidate, also not to hold the role again.
                self._acquire_if_free()
            return
        self._valid_until = started + self._lease_seconds

    def _revoke(self, lease_id):
        # A lease that cannot be revoked expires by itself.
        try:
            self._store.revoke_lease(lease_id)
        except StoreError as error:
            log_event("role-not-released", role=self._key, reason=str(error))


def _find(key, event):
    # The watch of a key also reports longer keys that begin with it.
    return next((entry for entry in event.entries if entry.key == key), None)
