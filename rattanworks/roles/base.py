"""A role that one node at a time holds under a store lease."""

import random
import threading
from dataclasses import dataclass

from rattanworks.exceptions import (
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
)
from rattanworks.ports.base import ABSENT
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import log_event

RETRY_SECONDS = 2.0
REGAIN_SECONDS = 0.5
FAILURE_CAP_SECONDS = 8.0
# A node that stands by waits on the store for the holder's record to go.
STAND_BY_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long a lease lasts and how often it is renewed, in seconds."""

    lease_seconds: float
    renew_seconds: float


# A role whose work may rest for some seconds.
DEFAULT_TIMING = LeaseTiming(6.0, 2.0)
# A role without which news of the store reach nobody: when all its holders die
# together, others must have it within the 2 s in which a version is to be in force.
FAST_TIMING = LeaseTiming(1.4, 0.45)


def always():
    """Let every node compete."""
    return True


class LeasedRole:
    """Takes the role at ``key`` when it is free and renews it while running.

    The lease protects no write: whoever holds the role must fence each write by
    compare-and-swap on the record it changes, with ``term`` in the record. Only
    while ``is_candidate()`` is true does the node ask the store for the role, so
    that the calls of standing by do not grow with the fleet. ``on_held`` is called
    after each acquisition and renewal.
    """

    def __init__(
        self,
        store,
        key,
        holder_value,
        clock,
        is_candidate=always,
        timing=DEFAULT_TIMING,
    ):
        self._store = store
        self._timing = timing
        self._seen_revision = 0
        self._key = key
        self._holder_value = holder_value
        self._clock = clock
        self._is_candidate = is_candidate
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._random = random.Random()
        self._backoff = FullJitterBackoff(RETRY_SECONDS, FAILURE_CAP_SECONDS)
        self._lease_id = ""
        self._valid_until = 0.0
        self._term = 0
        self._thread = threading.Thread(target=self._run, name=key, daemon=True)
        self.on_held = lambda: None

    @property
    def key(self):
        """Return the key of the role's record."""
        return self._key

    @property
    def is_held(self):
        """Tell whether this node holds the role, as far as it can know."""
        return bool(self._lease_id) and self._clock.monotonic() < self._valid_until

    @property
    def term(self):
        """Return a number that grows with each change of holder."""
        return self._term

    def start(self):
        """Begin to compete for the role."""
        self._thread.start()

    def stop(self):
        """Give the role up."""
        self._stopped.set()
        with self._lock:
            lease_id, self._lease_id = self._lease_id, ""
            if lease_id:
                self._revoke(lease_id)

    def _run(self):
        # A herd that starts together must not ask together.
        self._stopped.wait(self._random.uniform(0, RETRY_SECONDS / 2))
        while not self._stopped.is_set():
            pause = self.step()
            if not self._stand_by():
                self._stopped.wait(pause)

    def _stand_by(self):
        """Wait for the holder's record to change; tell whether that was possible."""
        if self._lease_id or not self._seen_revision:
            return False
        try:
            self._store.watch(self._key, self._seen_revision, STAND_BY_SECONDS)
        except StoreError as error:
            log_event("role-store-error", role=self._key, reason=str(error))
            return False
        return True

    def step(self):
        """Acquire or renew once and return the seconds until the next step."""
        try:
            with self._lock:
                was_held = bool(self._lease_id)
                if not self._stopped.is_set():
                    self._renew() if was_held else self._acquire()
        except StoreError as error:
            log_event("role-store-error", role=self._key, reason=str(error))
            # A holder must renew in time; whoever stands by backs off.
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
            # Lost, as after an outage: few others stand by, so try again soon.
            pause = REGAIN_SECONDS
        return pause * self._random.uniform(0.5, 1.0)

    def _acquire(self):
        self._seen_revision = 0
        if not self._is_candidate():
            return
        held = self._store.get(self._key)
        if held is not None:
            self._seen_revision = held.revision
            return
        started = self._clock.monotonic()
        lease_id = self._store.grant_lease(self._timing.lease_seconds)
        try:
            entry = self._store.put(self._key, self._holder_value, ABSENT, lease_id)
        except StoreConflictError:
            self._revoke(lease_id)
            return
        except StoreAnswerLostError:
            # The record may be there under this lease; both go, then try again.
            self._revoke(lease_id)
            raise
        self._valid_until = started + self._timing.lease_seconds
        self._term = entry.revision
        self._lease_id = lease_id
        log_event("role-acquired", role=self._key, term=self._term)

    def _renew(self):
        started = self._clock.monotonic()
        try:
            self._store.renew_lease(self._lease_id)
        except LeaseLostError:
            self._lease_id = ""
            log_event("role-lost", role=self._key, term=self._term)
            return
        self._valid_until = started + self._timing.lease_seconds

    def _revoke(self, lease_id):
        # A lease that cannot be revoked ends by itself in its time.
        try:
            self._store.revoke_lease(lease_id)
        except StoreError as error:
            log_event("role-not-released", role=self._key, reason=str(error))
