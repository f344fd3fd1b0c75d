"""Kinds of new versions and faults in the trials of moves, drawn by seed."""

import math
import random
from dataclasses import dataclass

ROUTES = ("/lookups", "/orders", "/uploads")
ROUTE_WEIGHTS = (0.6, 0.25, 0.15)
KINDS = (
    "good",
    "thin traffic (good)",
    "general disturbance",
    "cold start",
    "fails at once",
    "fails later",
    "slow by 1.5",
    "slow by 3",
    "under load only",
    "one route only",
    "thin traffic (bad)",
    "holder killed (good)",
    "holder killed (bad)",
)
THIN_CALLS_PER_SECOND = (2 / 60, 8 / 60)
THIN_MOVE_SECONDS = (900.0, 2400.0)
CALLS_PER_SECOND = (20.0, 90.0)
MOVE_SECONDS = (60.0, 180.0)
ENDPOINTS = (3, 5)
FAIL_SHARES = (0.1, 0.3, 1.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One trial: the traffic, how the new version is bad, and the faults.

    Times ending in ``_at`` or ``_from`` are in seconds from the move's start; -1 as
    ``disturbed_from`` or ``holder_killed_at`` stands for never. ``sigma`` is the
    standard deviation of the logarithm of latencies. The new version is bad from
    ``bad_from`` on ``bad_routes`` at endpoints whose load reaches ``load_threshold``, a
    fraction of the calls per second that an endpoint gets when its version has all the
    traffic. A disturbance affects both versions.
    """

    kind: str
    seed: int
    move_seconds: float
    calls_per_second: float
    endpoints: int
    sigma: float
    base_failure_share: float
    fail_share: float = 0.0
    slow_factor: float = 1.0
    bad_from: float = 0.0
    bad_routes: tuple[str, ...] = ROUTES
    load_threshold: float = 0.0
    disturbed_from: float = -1.0
    disturbed_seconds: float = 0.0
    disturbance_fail_share: float = 0.0
    disturbance_slow_factor: float = 1.0
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    holder_killed_at: float = -1.0

    @property
    def is_good(self):
        """Return whether the new version is good and its move must be done in time."""
        return self.fail_share == 0.0 and self.slow_factor == 1.0


def draw_scenario(kind, seed):
    """Return the Scenario of a kind for a seed."""
    rng = random.Random(f"{kind}/{seed}")
    is_thin = kind.startswith("thin")
    seconds = rng.uniform(*(THIN_MOVE_SECONDS if is_thin else MOVE_SECONDS))
    rate = rng.uniform(*(THIN_CALLS_PER_SECOND if is_thin else CALLS_PER_SECOND))
    return Scenario(
        kind=kind,
        seed=seed,
        move_seconds=seconds,
        calls_per_second=rate,
        endpoints=rng.choice(ENDPOINTS),
        sigma=rng.uniform(0.3, 0.6),
        base_failure_share=rng.choice((0.0, 0.001, 0.003)),
        **_DRAWS_BY_KIND[kind](rng, seconds),
    )


def _no_parameters(rng, seconds):
    return {}


def _fails(rng, seconds):
    return {"fail_share": rng.choice(FAIL_SHARES)}


def _fails_later(rng, seconds):
    return {**_fails(rng, seconds), "bad_from": rng.uniform(0.1, 0.8) * seconds}


def _slow(factor):
    return lambda rng, seconds: {"slow_factor": factor}


def _under_load(rng, seconds):
    threshold = {"load_threshold": rng.uniform(0.5, 0.9)}
    return {**rng.choice((_fails, _slow(3.0)))(rng, seconds), **threshold}


def _one_route(rng, seconds):
    return {
        **rng.choice((_fails, _slow(3.0)))(rng, seconds),
        "bad_routes": (rng.choice(ROUTES),),
    }


def _disturbance(rng, seconds):
    return {
        "disturbed_from": rng.uniform(0.1, 0.7) * seconds,
        "disturbed_seconds": rng.uniform(0.05, 0.2) * seconds,
        "disturbance_fail_share": rng.choice((0.0, 0.2, 0.7)),
        "disturbance_slow_factor": rng.choice((1.0, 2.0, 4.0)),
    }


def _cold(rng, seconds):
    return {"cold_seconds": rng.uniform(2, 9), "cold_factor": rng.uniform(2, 6)}


def _with_holder_killed(draw):
    return lambda rng, seconds: {
        **draw(rng, seconds),
        "holder_killed_at": rng.uniform(0.05, 0.8) * seconds,
    }


def _any_bad(rng, seconds):
    draws = (_fails, _fails_later, _slow(3.0), _one_route)
    return rng.choice(draws)(rng, seconds)


def _thin_bad(rng, seconds):
    return rng.choice((_fails, _slow(3.0)))(rng, seconds)


_DRAWS_BY_KIND = {
    "good": _no_parameters,
    "thin traffic (good)": _no_parameters,
    "general disturbance": _disturbance,
    "cold start": _cold,
    "fails at once": _fails,
    "fails later": _fails_later,
    "slow by 1.5": _slow(1.5),
    "slow by 3": _slow(3.0),
    "under load only": _under_load,
    "one route only": _one_route,
    "thin traffic (bad)": _thin_bad,
    "holder killed (good)": _with_holder_killed(_no_parameters),
    "holder killed (bad)": _with_holder_killed(_any_bad),
}


class ReferenceDetector:
    """Finds when a detector that knows how the version is bad would detect it.

    It is the standard by which the delay of the product's decision is measured: a
    cumulative sum (CUSUM) over the version's calls of the log-likelihood ratio of its
    true behaviour against that of a good version. The version counts as detectable once
    the sum reaches the threshold for an error rate of one in a thousand.
    """

    THRESHOLD = math.log(1000)
    GOOD_FAILURE_SHARE = 0.003

    def __init__(self, scenario):
        self._scenario = scenario
        self._sum = 0.0
        self.first_bad_call_at = None
        self.detectable_at = None

    def observe(self, now, fails, log_latency, may_be_cold):
        """Add a call made under the conditions in which the version is bad.

        The latency of calls that may be slow from a cold start is ignored.
        """
        if self.first_bad_call_at is None:
            self.first_bad_call_at = now
        self._sum = max(0.0, self._sum) + self._log_likelihood_ratio(
            fails, log_latency, may_be_cold
        )
        if self.detectable_at is None and self._sum >= self.THRESHOLD:
            self.detectable_at = now

    def _log_likelihood_ratio(self, fails, log_latency, may_be_cold):
        scenario = self._scenario
        ratio = 0.0
        if scenario.fail_share:
            bad, good = min(scenario.fail_share, 0.999), self.GOOD_FAILURE_SHARE
            ratio = math.log(bad / good if fails else (1 - bad) / (1 - good))
        if scenario.slow_factor > 1.0 and not (fails or may_be_cold):
            shift = math.log(scenario.slow_factor)
            ratio += (shift * log_latency - shift**2 / 2) / scenario.sigma**2
        return ratio
