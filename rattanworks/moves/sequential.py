"""Sequential tests whose evidence may be looked at every second.

A ``ChangeDetector`` holds an e-process: under the null hypothesis, that there is no
regression, its expected value is at most one whenever one looks, so the chance that
it ever reaches ``1 / rate`` is at most ``rate`` (Ville's inequality). It mixes
likelihood ratios over the time at which a regression begins, so that one that begins
late need not outweigh the good calls before it.
"""

import math
from collections import Counter
from dataclasses import dataclass
from statistics import NormalDist

MAX_VALUE = 1e15
# Prior probability that a regression is there from the start; the rest is spread over
# the looks.
PRIOR_AT_START = 0.5

# Alternatives that the tests look for: tilts of the odds of failing, as natural
# logarithms of the odds ratio;
FAILURE_TILTS = (0.9, 2.0, 4.0, 8.0)
# tilts of the latency, in standard deviations of its normal scores;
SLOW_TILTS = (0.2, 0.45, 0.9, 1.8)
# tilts of the odds of being among the slowest calls, as logarithms likewise;
TAIL_TILTS = (0.5, 1.0, 2.0)
# shares of failed calls of a bad version, as multiples of the tolerated share.
FAILURE_FACTORS = (3.0, 10.0, 30.0, 90.0)
MAX_FAILURE_SHARE = 0.95

_NORMAL = NormalDist()


class ChangeDetector:
    """An e-process for each alternative, mixed over the time of the change.

    ``looks`` is the number of looks that the prior of a late change is spread over.
    """

    def __init__(self, alternatives, looks):
        self._values = [0.0] * alternatives
        self._late_weight = (1.0 - PRIOR_AT_START) / max(1, looks)
        self._weight = PRIOR_AT_START

    @property
    def value(self):
        """Return the evidence against the null hypothesis."""
        return _mean(self._values)

    def add(self, e_values):
        """Add the e-values of one look or block, one per alternative."""
        self._values = self._updated(e_values)
        self._weight = self._late_weight

    def peek(self, e_values):
        """Return the value that ``add`` would lead to."""
        return _mean(self._updated(e_values))

    def _updated(self, e_values):
        return [
            min(MAX_VALUE, (self._weight + value) * e_value)
            for value, e_value in zip(self._values, e_values, strict=True)
        ]


def _mean(values):
    return sum(values) / len(values)


@dataclass(frozen=True, slots=True)
class ScoredCalls:
    """Numbers of calls of both versions by score; a higher score is slower."""

    new_by_score: dict[float, int]
    old_by_score: dict[float, int]


def tilted_e_values(scored, tilts):
    """Return an e-value for each tilt from the calls of the same seconds.

    Under the null hypothesis the calls of one version are drawn from those of
    both without replacement; the mean of exp(tilt * sum of scores) is then at
    most that of draws with replacement (Hoeffding), which is the divisor. A
    disturbance that affects both versions alike does not count as evidence. The
    version with fewer calls is the sample, which loses the least power.
    """
    new_calls = sum(scored.new_by_score.values())
    old_calls = sum(scored.old_by_score.values())
    if not new_calls or not old_calls:
        return [1.0] * len(tilts)
    sample, sign = scored.new_by_score, 1.0
    if new_calls > old_calls:
        sample, sign = scored.old_by_score, -1.0
    both = Counter(scored.new_by_score) + Counter(scored.old_by_score)
    return [_tilted_e_value(sample, both, sign * tilt) for tilt in tilts]


def _tilted_e_value(sample, both, tilt):
    calls = sum(sample.values())
    total = sum(both.values())
    weighted = sum(count * math.exp(tilt * score) for score, count in both.items())
    exponent = tilt * sum(score * count for score, count in sample.items())
    exponent -= calls * math.log(weighted / total)
    return math.exp(min(exponent, math.log(MAX_VALUE)))


@dataclass(frozen=True, slots=True)
class EventCounts:
    """Events and calls of both versions over the same seconds."""

    new_events: int
    new_calls: int
    old_events: int
    old_calls: int


def event_e_values(counts, tilts):
    """Return an e-value for each tilt of the odds of an event.

    Under the null hypothesis the new version's events are hypergeometric, given
    those of both; each e-value is the exact likelihood ratio.
    """
    events = counts.new_events + counts.old_events
    if not events or not counts.new_calls or not counts.old_calls:
        return [1.0] * len(tilts)
    weights = _hypergeometric_weights(counts, events)
    total = sum(weights.values())
    return [_event_e_value(counts.new_events, weights, total, tilt) for tilt in tilts]


def _hypergeometric_weights(counts, events):
    """Return the weight of each number of the new version's events.

    The largest weight is 1; those too small for a float are 0.
    """
    lowest = max(0, events - counts.old_calls)
    highest = min(events, counts.new_calls)
    logs = {
        count: _log_binomial(counts.new_calls, count)
        + _log_binomial(counts.old_calls, events - count)
        for count in range(lowest, highest + 1)
    }
    largest = max(logs.values())
    return {count: math.exp(value - largest) for count, value in logs.items()}


def _log_binomial(total, chosen):
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def _event_e_value(events, weights, total, tilt):
    # Dividing all terms by exp(tilt * events) keeps them within the range of a float.
    tilted = sum(
        weight * math.exp(min(500.0, tilt * (count - events)))
        for count, weight in weights.items()
    )
    return min(MAX_VALUE, total / tilted) if tilted else MAX_VALUE


def normal_scores(counts):
    """Return the normal score of the middle rank of each bucket of a histogram."""
    score_by_bucket = {}
    total, below = sum(counts.values()), 0
    for bucket in sorted(bucket for bucket, n in counts.items() if n):
        middle = (below + counts[bucket] / 2) / total
        score_by_bucket[bucket] = _NORMAL.inv_cdf(middle)
        below += counts[bucket]
    return score_by_bucket


def share_e_values(events, calls, tolerated_share):
    """Return the likelihood ratios of greater event shares to the tolerated share."""
    e_values = []
    for factor in FAILURE_FACTORS:
        share = min(MAX_FAILURE_SHARE, factor * tolerated_share)
        log_ratio = events * math.log(share / tolerated_share)
        log_ratio += (calls - events) * math.log(
            (1.0 - share) / (1.0 - tolerated_share)
        )
        e_values.append(math.exp(max(-500.0, min(log_ratio, 500.0))))
    return e_values
