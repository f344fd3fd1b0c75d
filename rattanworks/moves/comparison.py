"""Compares the new version with the old, on each route and on all together."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from rattanworks.moves.collector import PairedSums
from rattanworks.moves.histogram import buckets_in, shifted
from rattanworks.moves.sequential import (
    FAILURE_FACTORS,
    FAILURE_TILTS,
    SLOW_TILTS,
    TAIL_TILTS,
    ChangeDetector,
    EventCounts,
    ScoredCalls,
    event_e_values,
    normal_scores,
    share_e_values,
    tilted_e_values,
)

# A block is full once each version has MIN_BLOCK_CALLS calls in it or, after
# MAX_BLOCK_LOOKS looks, at least one.
MIN_BLOCK_CALLS = 12
MAX_BLOCK_LOOKS = 600
# Normal score above which a call is among the slowest tenth.
TAIL_SCORE = 1.28
# Fraction of the error rate for the tests of all routes together; those of single
# routes share the rest.
ALL_ROUTES_FRACTION = 0.5
ALL_ROUTES = "all routes"
# Chance of taking back a version that fails more often than the old one, though
# within the tolerated share of failed calls. A version that fails no more often than
# the old one is not affected.
TOLERANCE_ERROR_RATE = 0.05


@dataclass(frozen=True, slots=True)
class EValues:
    """E-values of one block for each test, one per alternative."""

    failures: list[float]
    slow: list[float]
    tail: list[float]


NO_EVIDENCE = EValues(
    [1.0] * len(FAILURE_TILTS), [1.0] * len(SLOW_TILTS), [1.0] * len(TAIL_TILTS)
)


class LatencyScores:
    """Normal scores of latencies, by route, from the calls of both versions.

    The score of a latency does not depend on the version, and scores of different
    routes are on one scale, so that calls of all routes can be compared together.
    """

    def __init__(self, tolerated_buckets):
        self._tolerated_buckets = tolerated_buckets
        self._counts_by_route = defaultdict(Counter)
        self._score_by_bucket_by_route = {}

    def add(self, pairs_by_route):
        """Add the calls of one look and update the scores."""
        for route, pair in pairs_by_route.items():
            counts = self._counts_by_route[route]
            counts.update(self.shift_by_tolerance(pair.new.latency_counts))
            counts.update(pair.old.latency_counts)
            self._score_by_bucket_by_route[route] = normal_scores(counts)

    def shift_by_tolerance(self, counts):
        """Return a histogram with latencies shorter by the tolerated factor."""
        return shifted(counts, self._tolerated_buckets)

    def by_score(self, route, counts):
        """Return a route's histogram with scores in place of buckets."""
        scores = self._score_by_bucket_by_route[route]
        return Counter({scores[bucket]: n for bucket, n in counts.items() if n})


@dataclass(slots=True)
class Block:
    """Calls of one route, or of all, that are compared as one sample."""

    looks: int = 0
    pairs_by_route: dict = field(default_factory=dict)

    def add(self, pairs_by_route):
        """Add one look."""
        self.looks += 1
        for route, pair in pairs_by_route.items():
            total = self.pairs_by_route.setdefault(route, PairedSums())
            total.new.add(pair.new)
            total.old.add(pair.old)

    def _new_and_old_sums(self):
        pairs = self.pairs_by_route.values()
        return [pair.new for pair in pairs], [pair.old for pair in pairs]

    @property
    def is_full(self):
        """Return whether the block has enough calls of both versions."""
        fewest = min(
            sum(sums.calls for sums in route_sums)
            for route_sums in self._new_and_old_sums()
        )
        return fewest >= MIN_BLOCK_CALLS or (fewest and self.looks >= MAX_BLOCK_LOOKS)

    def e_values(self, scores):
        """Return the EValues of the calls in the block so far."""
        scored = self._scored_calls(scores)
        return EValues(
            event_e_values(self._failure_counts(), FAILURE_TILTS),
            tilted_e_values(scored, SLOW_TILTS),
            event_e_values(_tail_counts(scored), TAIL_TILTS),
        )

    def _failure_counts(self):
        new, old = self._new_and_old_sums()
        return EventCounts(*_failures_and_calls(new), *_failures_and_calls(old))

    def _scored_calls(self, scores):
        new, old = Counter(), Counter()
        for route, pair in self.pairs_by_route.items():
            counts = scores.shift_by_tolerance(pair.new.latency_counts)
            new.update(scores.by_score(route, counts))
            old.update(scores.by_score(route, pair.old.latency_counts))
        return ScoredCalls(new, old)


def _failures_and_calls(route_sums):
    failures = sum(sums.failures for sums in route_sums)
    return failures, sum(sums.calls for sums in route_sums)


def _tail_counts(scored):
    def count_slow(by_score):
        return sum(n for score, n in by_score.items() if score > TAIL_SCORE)

    new, old = scored.new_by_score, scored.old_by_score
    return EventCounts(
        count_slow(new), sum(new.values()), count_slow(old), sum(old.values())
    )


class Detectors:
    """The tests on one route, or on all together."""

    def __init__(self, tolerated_share, looks):
        self._tolerated_share = tolerated_share
        self._failures = ChangeDetector(len(FAILURE_TILTS), looks)
        self._failure_share = ChangeDetector(len(FAILURE_FACTORS), looks)
        self._slow = ChangeDetector(len(SLOW_TILTS), looks)
        self._tail = ChangeDetector(len(TAIL_TILTS), looks)
        self.failure_value = 0.0
        self.slow_value = 0.0

    def add_calls(self, calls, failures):
        """Add the new version's calls of one look to the test of its failure share."""
        if calls:
            self._failure_share.add(
                share_e_values(failures, calls, self._tolerated_share)
            )

    def add_block(self, e_values, is_closed):
        """Update the values with a block's EValues, for good only if it is closed."""
        if is_closed:
            self._failures.add(e_values.failures)
            self._slow.add(e_values.slow)
            self._tail.add(e_values.tail)
            e_values = NO_EVIDENCE
        against_old = self._failures.peek(e_values.failures)
        is_tolerated = self._failure_share.value < 1.0 / TOLERANCE_ERROR_RATE
        self.failure_value = 0.0 if is_tolerated else against_old
        slow = self._slow.peek(e_values.slow)
        tail = self._tail.peek(e_values.tail)
        self.slow_value = (slow + tail) / 2


class Comparison:
    """All evidence on one move: on each route, and on all routes together.

    The error rate is split evenly between failures and slowness, and between
    all routes together and the single routes.
    """

    def __init__(self, settings, looks):
        self._settings = settings
        self._looks = looks
        self._scores = LatencyScores(buckets_in(settings.slow_tolerance))
        self._blocks_by_route = {}
        self._detectors_by_route = {}
        self._add_route(ALL_ROUTES)

    def _add_route(self, route):
        if route not in self._detectors_by_route:
            tolerated_share = self._settings.failure_tolerance
            self._detectors_by_route[route] = Detectors(tolerated_share, self._looks)
            self._blocks_by_route[route] = Block()

    def add(self, pairs_by_route):
        """Add the sums of one look, PairedSums by route."""
        self._scores.add(pairs_by_route)
        self._add_to(ALL_ROUTES, pairs_by_route)
        for route, pair in pairs_by_route.items():
            self._add_route(route)
            self._add_to(route, {route: pair})

    def _add_to(self, route, pairs_by_route):
        pairs = pairs_by_route.values()
        detectors, block = self._detectors_by_route[route], self._blocks_by_route[route]
        detectors.add_calls(
            sum(pair.new.calls for pair in pairs),
            sum(pair.new.failures for pair in pairs),
        )
        block.add(pairs_by_route)
        self._update_detectors(route, block.is_full)

    def _update_detectors(self, route, is_closed):
        e_values = self._blocks_by_route[route].e_values(self._scores)
        self._detectors_by_route[route].add_block(e_values, is_closed)
        if is_closed:
            self._blocks_by_route[route] = Block()

    def close_blocks(self):
        """Close every block, as calls at different shares cannot be compared."""
        for route in self._blocks_by_route:
            self._update_detectors(route, True)

    def find_regression(self, error_rate):
        """Return the regression found at an error rate, or an empty string."""
        for route, detectors in self._detectors_by_route.items():
            threshold = 1.0 / (error_rate * self._error_rate_fraction(route))
            if detectors.failure_value >= threshold:
                return f"fails more often than the old version on {route}"
            if detectors.slow_value >= threshold:
                return f"slower than the old version on {route}"
        return ""

    def _error_rate_fraction(self, route):
        if route == ALL_ROUTES:
            return ALL_ROUTES_FRACTION / 2
        single_routes = len(self._detectors_by_route) - 1
        return (1.0 - ALL_ROUTES_FRACTION) / 2 / single_routes
