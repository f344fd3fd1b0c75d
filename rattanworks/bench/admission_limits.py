"""Compares methods to enforce one customer's rate limit, in virtual time."""

import random
from dataclasses import dataclass

from rattanworks.admission.limits import PlanLimits
from rattanworks.model.lists import ServiceUse
from rattanworks.ports.base import Clock

USE = ServiceUse("catalogue", 40.0, 40, ("/catalogue",))
SECONDS = 120.0
CHURN_SECONDS = 5.0
OWNER_COUNTS = (5, 20)
ENTRIES = 20
OFFERED_LOADS = (0.8, 2.0)


class VirtualClock(Clock):
    """Time that the simulation sets."""

    def __init__(self):
        self.time = 0.0

    def monotonic(self):
        """Return the virtual time in seconds."""
        return self.time

    def now(self):
        """Return the virtual time in seconds."""
        return self.time


@dataclass(frozen=True, slots=True)
class Method:
    """A method to enforce a rate by limiters that each allow an equal part of it.

    A call that a limiter refuses may try others, ``max_attempts`` in all.
    """

    name: str
    min_burst: float
    max_attempts: int = 1


METHODS = (
    Method("owners_bare_part", 1.0),
    Method("owners_min_burst_4", 4.0),
    Method("owners_min_burst_8", 8.0),
    Method("owners_min_burst_4_two_tries", 4.0, max_attempts=2),
)
SPREADS_BY_NAME = {
    "even": lambda rng, count: rng.randrange(count),
    "half_on_one": lambda rng, count: 0 if rng.random() < 0.5 else rng.randrange(count),
    "all_on_one": lambda rng, count: 0,
}


def compare_limits(seed):
    """Return under- and over-admission by method, spread of calls, load and churn.

    A spread chooses the first limiter of each call. With churn, a random limiter is
    replaced by a new one at regular intervals.
    """
    figures = {}
    for offered in OFFERED_LOADS:
        for count in OWNER_COUNTS:
            for method in METHODS:
                for spread in ("even", "half_on_one"):
                    name = f"{method.name}_of_{count}_{spread}_offered_{offered}"
                    figures[name] = _simulate(seed, method, count, spread, offered)
        method = METHODS[1]
        name = f"{method.name}_of_20_churn_offered_{offered}"
        figures[name] = _simulate(seed, method, 20, "even", offered, CHURN_SECONDS)
        for spread in SPREADS_BY_NAME:
            name = f"entries_quota_of_{ENTRIES}_{spread}_offered_{offered}"
            figures[name] = _simulate(seed, METHODS[1], ENTRIES, spread, offered)
    return figures


def _simulate(seed, method, count, spread, offered, churn_seconds=0.0):
    rng = random.Random(seed)
    clock = VirtualClock()
    limiters = [PlanLimits(clock, method.min_burst) for _ in range(count)]
    next_churn = churn_seconds or SECONDS
    calls = admitted = 0
    while clock.time < SECONDS:
        clock.time += rng.expovariate(USE.calls_per_second * offered)
        if clock.time >= next_churn:
            next_churn += churn_seconds or SECONDS
            limiters[rng.randrange(count)] = PlanLimits(clock, method.min_burst)
        calls += 1
        first = SPREADS_BY_NAME[spread](rng, count)
        candidates = [
            limiters[(first + offset) % count] for offset in range(method.max_attempts)
        ]
        admitted += any(limiter.admit("shop", USE, count) for limiter in candidates)
    entitled = min(calls, USE.calls_per_second * SECONDS + USE.burst)
    return {
        "under": round(max(0.0, 1 - admitted / entitled), 4),
        "over": round(max(0.0, admitted / entitled - 1), 4),
    }
