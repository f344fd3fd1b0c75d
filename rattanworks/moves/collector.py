"""Adds up the evidence that owners and entries report on a move."""

import threading
from collections import Counter
from dataclasses import dataclass, field

# A lost host is weak evidence against the version it ran, so the unreachable calls
# that count for one node are capped.
MAX_UNREACHABLE_PER_NODE = 3
# Looks that wait for a sender without a new report.
MAX_SILENT_LOOKS = 2
UNREACHABLE_ROUTE = "(unreachable)"


@dataclass(slots=True)
class Sums:
    """Calls, failures and latency histogram of one version on one route."""

    calls: int = 0
    failures: int = 0
    latency_counts: Counter = field(default_factory=Counter)

    def add(self, other):
        """Add other sums to these."""
        self.calls += other.calls
        self.failures += other.failures
        self.latency_counts.update(other.latency_counts)


@dataclass(slots=True)
class PairedSums:
    """Sums of the new and of the old version over the same seconds."""

    new: Sums = field(default_factory=Sums)
    old: Sums = field(default_factory=Sums)


class EvidenceCollector:
    """Turns the cumulative sums of many senders into the increments of each look.

    A sender's sums start at zero with each stage and each start of the sender. For a
    new role holder, a sender's sums of the current stage so far are one increment.
    """

    def __init__(self, generation, to_version):
        self._generation = generation
        self._to_version = to_version
        self._lock = threading.Lock()
        self._latest_by_sender = {}
        self._unreachable = Counter()
        self._pairs_by_route = {}
        self._silent_looks_by_sender = {}
        self.knows_taken_back = False

    def receive(self, evidence):
        """Add one report of a sender; a report on another move is ignored."""
        if evidence.generation != self._generation:
            return
        with self._lock:
            self.knows_taken_back |= evidence.knows_taken_back
            self._add_unreachable(evidence)
            if evidence.version:
                self._add_sums(evidence)

    def _add_sums(self, evidence):
        base = self._latest_by_sender.get(evidence.sender)
        is_same_series = base is not None and _series(base) == _series(evidence)
        if is_same_series and _total(evidence) < _total(base):
            return
        self._latest_by_sender[evidence.sender] = evidence
        self._silent_looks_by_sender[evidence.sender] = 0
        base_by_route = (
            {sums.route: sums for sums in base.sums} if is_same_series else {}
        )
        for sums in evidence.sums:
            pair = self._pairs_by_route.setdefault(sums.route, PairedSums())
            is_new = evidence.version == self._to_version
            side = pair.new if is_new else pair.old
            side.add(_difference(sums, base_by_route.get(sums.route)))

    def _add_unreachable(self, evidence):
        for node, count in evidence.unreachable_by_node.items():
            counted = self._unreachable[node]
            added = min(count, MAX_UNREACHABLE_PER_NODE) - counted
            if added <= 0:
                continue
            self._unreachable[node] += added
            pair = self._pairs_by_route.setdefault(UNREACHABLE_ROUTE, PairedSums())
            pair.new.add(Sums(added, added))

    def is_complete(self):
        """Return whether every sender has reported since the last look.

        A look with the reports of some senders only would compare different seconds.
        If it is False, the look waits for the silent senders; after MAX_SILENT_LOOKS
        such looks a sender is left out until it reports again.
        """
        with self._lock:
            silent = [
                sender
                for sender, looks in self._silent_looks_by_sender.items()
                if 0 < looks <= MAX_SILENT_LOOKS
            ]
            for sender in silent:
                self._silent_looks_by_sender[sender] += 1
            return not silent

    def take(self):
        """Return and clear the PairedSums since the last look, by route."""
        with self._lock:
            for sender in self._silent_looks_by_sender:
                self._silent_looks_by_sender[sender] += 1
            pairs, self._pairs_by_route = self._pairs_by_route, {}
            return pairs


def _series(evidence):
    return (evidence.incarnation, evidence.stage, evidence.version)


def _total(evidence):
    return sum(sums.calls for sums in evidence.sums)


def _difference(sums, base):
    if base is None:
        return Sums(sums.calls, sums.failures, Counter(sums.latency_counts))
    counts = Counter(sums.latency_counts)
    counts.subtract(base.latency_counts)
    return Sums(sums.calls - base.calls, sums.failures - base.failures, +counts)
