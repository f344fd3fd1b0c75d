"""Choice of the few nodes that compete for a role, to limit calls to the store."""

import hashlib

CANDIDATES_PER_SLOT = 2
# With this many failure domains the watchers of the others stand in for one that fails.
DOMAINS_FOR_ONE_SLOT = 3


def _rank(group, name):
    return hashlib.blake2b(f"{group}/{name}".encode(), digest_size=8).digest()


def candidates(group, slot, slot_count, names):
    """Return the names that compete for slot ``slot`` of ``slot_count`` in a group.

    Nodes that know the same names compute the same result. The slots of a group
    have different candidates.
    """
    order = sorted(names, key=lambda name: _rank(group, name))
    return tuple(order[slot::slot_count][:CANDIDATES_PER_SLOT])


def needed_slots(domain_count, slot_count):
    """Return how many of a failure domain's ``slot_count`` slots are needed.

    Each watcher of the store costs a call for each change. One a domain suffices if
    enough domains have one: nodes also learn of changes from other domains.
    """
    return 1 if domain_count >= DOMAINS_FOR_ONE_SLOT else slot_count
