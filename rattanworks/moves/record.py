"""Reads and writes the records of services and the audit trail of their moves."""

from dataclasses import dataclass

from rattanworks.distribution.keys import move_key, moves_prefix, service_key
from rattanworks.distribution.service_states import decode_state
from rattanworks.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
)
from rattanworks.model.service import Move, ServiceState
from rattanworks.ports.base import Write, revision_of
from rattanworks.utils.codec import DecodeError, decode_json, encode_json
from rattanworks.utils.logging import log_event

KEPT_MOVES = 20


@dataclass(frozen=True, slots=True)
class Recorded:
    """A service's state as the store holds it."""

    state: ServiceState
    revision: int


@dataclass(frozen=True, slots=True)
class MoveRecord:
    """One move in the audit trail."""

    service: str
    generation: int
    move: Move


class ServiceRecords:
    """The store's records of services; each write is a compare-and-swap."""

    def __init__(self, store):
        self._store = store

    def read(self, service):
        """Return the Recorded state or None; raise StoreError."""
        entry = self._store.get(service_key(service))
        if entry is None:
            return None
        return Recorded(decode_state(entry), entry.revision)

    def known_services(self):
        """Return the names of all services in the store."""
        prefix = service_key("")
        return sorted(
            entry.key[len(prefix) :] for entry in self._store.list(prefix).entries
        )

    def write(self, state, revision, extra_writes=()):
        """Write over ``revision`` and return the new Recorded state.

        ``extra_writes`` are Writes that are made in the same transaction. Raise
        StoreConflictError if a record changed meanwhile. A write whose answer was
        lost is resolved by reading the service's record, which shows whether the
        transaction, and so each of its writes, was made.
        """
        key = service_key(state.service)
        write = Write(key, encode_json(state), revision)
        try:
            entry = self._store.write_all((write, *extra_writes))[0]
            return Recorded(state, entry.revision)
        except StoreAnswerLostError:
            recorded = self.read(state.service)
            if recorded is not None and recorded.state == state:
                return recorded
            actual = revision_of(recorded)
            raise StoreConflictError(key, revision, actual) from None


class MoveTrail:
    """The audit trail of moves: one record per move, the KEPT_MOVES latest kept."""

    def __init__(self, store):
        self._store = store

    def record(self, state):
        """Write the move of a state to the trail; an error is logged, not raised.

        The service's own record is authoritative; the start of the next move writes
        the record of this one again.
        """
        if state.move is None:
            return
        record = MoveRecord(state.service, state.generation, state.move)
        try:
            self._put(move_key(state.service, state.generation), encode_json(record))
            self._trim(state.service)
        except StoreConflictError:
            # Another candidate recorded the same end at the same time.
            return
        except StoreError as error:
            log_event("move-not-in-trail", service=state.service, reason=str(error))

    def _put(self, key, value):
        entry = self._store.get(key)
        self._store.put(key, value, revision_of(entry))

    def _trim(self, service):
        entries = self._store.list(moves_prefix(service)).entries
        for entry in entries[:-KEPT_MOVES]:
            self._store.delete(entry.key, entry.revision)

    def moves(self, service=""):
        """Return the MoveRecords of a service, or of all, oldest first."""
        prefix = moves_prefix(service) if service else moves_prefix("")[:-1]
        records = []
        for entry in self._store.list(prefix).entries:
            try:
                records.append(decode_json(entry.value, MoveRecord))
            except DecodeError as error:
                log_event("record-unreadable", key=entry.key, reason=str(error))
        return sorted(records, key=lambda record: record.move.started_at)
