"""Writes states of services again that the store lost.

A store that returns from an older copy has older states than the nodes, or none. The
nodes keep the latest ones in memory, and those that watch the store write them again.
"""

from rattanworks.distribution.keys import service_key
from rattanworks.distribution.service_states import decode_state
from rattanworks.exceptions import StoreConflictError, StoreRecordError
from rattanworks.ports.base import revision_of
from rattanworks.utils.logging import log_event


class StateRestorer:
    """Compares the states that the store lists with those of the table ``services``."""

    def __init__(self, services, records, trail):
        self._services = services
        self._records = records
        self._trail = trail

    def handle_list(self, entries):
        """Write each state again of which ``entries`` have an older one or none.

        Raise StoreError; the caller then lists again.
        """
        entries_by_key = {entry.key: entry for entry in entries}
        for state in self._services.rows_by_name.values():
            entry = entries_by_key.get(service_key(state.service))
            if _is_older(entry, state):
                self._write(state, revision_of(entry))

    def _write(self, state, revision):
        try:
            self._records.write(state, revision)
        except StoreConflictError:
            # Another node was first, or a newer state was written meanwhile.
            return
        log_event(
            "service-state-restored",
            service=state.service,
            generation=state.generation,
        )
        self._trail.record(state)


def _is_older(entry, state):
    if entry is None:
        return True
    try:
        return decode_state(entry).precedence < state.precedence
    except StoreRecordError:
        # The watcher logs records that it cannot read; they are not replaced.
        return False
