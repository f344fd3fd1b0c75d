"""Choice of a node's neighbours: the few nodes that it exchanges messages with."""

import bisect
import hashlib

RINGS = 3
MIN_OTHER_DOMAINS = 2


def _position(ring, name):
    return hashlib.blake2b(f"{ring}/{name}".encode(), digest_size=8).digest()


class Rings:
    """Several hash rings of records; nodes that are adjacent on one are neighbours.

    Every node computes the same rings from the same members, so adjacency is
    mutual. Each ring is a sorted list of (position, name). A few additions or
    removals cost a binary search in each ring; many cost a rebuild of the list.
    """

    def __init__(self, records=(), rings=RINGS):
        self._records_by_node = {}
        self._rings = [[] for _ in range(rings)]
        self.update(records)

    def update(self, records):
        """Replace the members; return whether any node was added or removed."""
        by_node = {record.node: record for record in records}
        gone = self._records_by_node.keys() - by_node.keys()
        new = by_node.keys() - self._records_by_node.keys()
        for ring, entries in enumerate(self._rings):
            _remove(entries, ring, gone)
            _insert(entries, ring, new)
        self._records_by_node = by_node
        return bool(gone or new)

    def adjacent(self, name):
        """Return the records before and after a name on each ring."""
        chosen = {}
        for ring, entries in enumerate(self._rings):
            for node in _adjacent_names(entries, ring, name):
                chosen[node] = self._records_by_node[node]
        chosen.pop(name, None)
        return tuple(chosen.values())

    def neighbours(self, own):
        """Return the adjacent records and, where needed, some that are farther away.

        The latter ensure that the neighbours include nodes of at least
        MIN_OTHER_DOMAINS other failure domains and a node of another region, as
        far as such nodes exist.
        """
        chosen = {record.node: record for record in self.adjacent(own.node)}
        for _ in range(MIN_OTHER_DOMAINS):
            domains = {record.failure_domain for record in chosen.values()}
            domains.add(own.failure_domain)
            if len(domains) <= MIN_OTHER_DOMAINS:
                self._add_next_outside(chosen, own, "failure_domain", domains)
        regions = {record.region for record in chosen.values()}
        if regions <= {own.region}:
            self._add_next_outside(chosen, own, "region", {own.region})
        return tuple(chosen.values())

    def _add_next_outside(self, chosen, own, attribute, excluded):
        entries = self._rings[0]
        start = bisect.bisect_left(entries, (_position(0, own.node), own.node))
        for step in range(len(entries)):
            record = self._records_by_node[entries[(start + step) % len(entries)][1]]
            if getattr(record, attribute) not in excluded:
                chosen[record.node] = record
                return


def _remove(entries, ring, names):
    if len(names) * 8 > len(entries):
        entries[:] = [pair for pair in entries if pair[1] not in names]
        return
    for name in names:
        del entries[bisect.bisect_left(entries, (_position(ring, name), name))]


def _insert(entries, ring, names):
    pairs = [(_position(ring, name), name) for name in names]
    if len(pairs) * 8 > len(entries):
        entries.extend(pairs)
        entries.sort()
        return
    for pair in pairs:
        bisect.insort(entries, pair)


def _adjacent_names(entries, ring, name):
    pair = (_position(ring, name), name)
    position = bisect.bisect_left(entries, pair)
    is_member = position < len(entries) and entries[position] == pair
    if len(entries) <= is_member:
        return ()
    following = position + 1 if is_member else position
    return (entries[following % len(entries)][1], entries[position - 1][1])


def choose_neighbours(own, records):
    """Return the neighbours of a node among the given records."""
    return Rings(records).neighbours(own)
