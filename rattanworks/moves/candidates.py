"""Selects the nodes that compete for a move's role and the one to report to."""

import hashlib

MAX_CANDIDATES = 3


def ranked_owners(state, records):
    """Return the records of a service's endpoints, best candidate first."""
    owners = [
        record
        for record in records
        if record.service == state.service and record.accepts_calls
    ]
    return sorted(owners, key=lambda record: _rank(state, record.node))


def _rank(state, node):
    text = f"{state.service}/{state.generation}/{node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def candidates(state, records):
    """Return the names of the nodes that compete for the role, best first."""
    return tuple(
        record.node for record in ranked_owners(state, records)[:MAX_CANDIDATES]
    )


def evidence_target(state, records):
    """Return the record of the node that evaluates the move, or None.

    It is the role holder; if that is gone and the store cannot grant the role to
    another node, it is the best candidate. Without the role a node may only take
    the move back (roll it back).
    """
    owners = ranked_owners(state, records)
    for record in owners:
        if record.node == state.move.holder:
            return record
    return owners[0] if owners else None
