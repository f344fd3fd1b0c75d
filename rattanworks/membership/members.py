"""The node's own membership record and its view of all others."""

import threading
from dataclasses import replace

from rattanworks.model.endpoint import MAX_COUNTER, EndpointState
from rattanworks.utils.precedence_table import PrecedenceTable


def _is_gone(record):
    return record.state == EndpointState.GONE


class Members:
    """Membership records by node; only the node itself advances its own.

    ``silent`` holds the names of nodes that do not answer this node. It rests on
    this node's own evidence alone, and entries may avoid these nodes. The set is
    replaced as a whole, never changed in place.
    """

    def __init__(self, own_record):
        self._lock = threading.Lock()
        self._own = own_record
        self.silent = frozenset()
        self.table = PrecedenceTable(lambda record: record.node, _is_gone)
        self.table.add_listener(self._refute)
        self.table.merge((own_record,))

    @property
    def own(self):
        """Return the node's own record."""
        return self._own

    @property
    def by_node(self):
        """Return all records by node name."""
        return self.table.rows_by_name

    def present(self):
        """Return the records of nodes that are not gone."""
        return [record for record in self.by_node.values() if not _is_gone(record)]

    def update_own(self, **changes):
        """Change fields of the node's own record and advance its sequence."""
        with self._lock:
            self._own = replace(self._own, sequence=self._own.sequence + 1, **changes)
            own = self._own
        self.table.merge((own,))

    def announce_gone(self):
        """Advance the own record to its final state, because the node stops."""
        self.update_own(state=EndpointState.GONE)

    def remove(self, record):
        """Mark a record as gone unless its owner has advanced it meanwhile."""
        self.table.merge((replace(record, state=EndpointState.GONE),))

    def hiding_incarnation(self, node, incarnation):
        """Return the incarnation known here that hides a node's record.

        A record with ``incarnation`` is hidden when a later incarnation of the
        node is known, or when this one is known to be gone. Returns 0 when the
        record is not hidden.
        """
        known = self.table.precedence_of(node)
        if not known or known[0] < incarnation:
            return 0
        is_hidden = known[0] > incarnation or known[1] == EndpointState.GONE
        return known[0] if is_hidden else 0

    def raise_incarnation_above(self, incarnation):
        """Advance the own record past an incarnation that hides it.

        Does nothing if the node has announced that it is gone, if its incarnation
        is higher already, or if ``incarnation`` is the highest possible one.
        """
        with self._lock:
            if self._own.state == EndpointState.GONE:
                return
            if not self._own.incarnation <= incarnation < MAX_COUNTER:
                return
            self._own = replace(
                self._own,
                incarnation=incarnation + 1,
                sequence=self._own.sequence + 1,
            )
            own = self._own
        self.table.merge((own,))

    def _refute(self, updates):
        # Another node may have removed this one, or may know a higher incarnation
        # of it, as after a restart with a clock that went back. Only a higher
        # incarnation makes the own record current again.
        for record in updates:
            if record.node != self._own.node:
                continue
            if record.precedence > self._own.precedence:
                self.raise_incarnation_above(record.incarnation)
