"""Error rates and power of the comparison, on seeded random draws."""

import random
import unittest
from collections import Counter

from rattanworks.moves.collector import PairedSums, Sums
from rattanworks.moves.comparison import Comparison
from rattanworks.moves.histogram import latency_bucket
from rattanworks.moves.sequential import EventCounts, event_e_values
from rattanworks.settings.moves import MoveSettings

LOOKS = 120
ERROR_RATE = 0.05
RUNS = 60
SIGMA = 0.4


def draw(rng, calls, fail_share=0.002, factor=1.0):
    sums = Sums(calls, 0, Counter())
    for _ in range(calls):
        if rng.random() < fail_share:
            sums.failures += 1
        else:
            seconds = 0.01 * factor * rng.lognormvariate(0.0, SIGMA)
            sums.latency_counts[latency_bucket(seconds)] += 1
    return sums


def compare(seed, new_calls=3, old_calls=27, routes=("/a",), new=None, both=None):
    """Return the look at which a regression was found and its reason, or None."""
    rng = random.Random(seed)
    comparison = Comparison(MoveSettings(), LOOKS)
    for look in range(LOOKS):
        shared = both(look) if both else {}
        pairs = {
            route: PairedSums(
                draw(rng, new_calls, **{**shared, **(new(look, route) if new else {})}),
                draw(rng, old_calls, **shared),
            )
            for route in routes
        }
        comparison.add(pairs)
        reason = comparison.find_regression(ERROR_RATE)
        if reason:
            return look, reason
    return None


class ErrorRateTests(unittest.TestCase):
    def test_a_look_each_second_keeps_the_error_rate(self):
        alarms = sum(compare(seed) is not None for seed in range(RUNS))
        self.assertLessEqual(alarms, ERROR_RATE * RUNS)

    def test_a_disturbance_of_both_versions_is_no_regression(self):
        def both(look):
            return {"fail_share": 0.3, "factor": 3.0} if 20 <= look < 60 else {}

        alarms = sum(compare(seed, both=both) is not None for seed in range(RUNS))
        self.assertLessEqual(alarms, ERROR_RATE * RUNS)

    def test_exact_e_values_average_one_over_draws_without_replacement(self):
        rng = random.Random(1)
        calls = [1] * 8 + [0] * 52
        total = 0.0
        for _ in range(4000):
            rng.shuffle(calls)
            counts = EventCounts(sum(calls[:20]), 20, sum(calls[20:]), 40)
            total += event_e_values(counts, (0.9,))[0]
        self.assertAlmostEqual(total / 4000, 1.0, delta=0.05)


class PowerTests(unittest.TestCase):
    def assert_found(self, what, **arguments):
        for seed in range(5):
            found = compare(seed, **arguments)
            self.assertIsNotNone(found)
            self.assertIn(what, found[1])

    def test_a_failing_version_is_found(self):
        self.assert_found("fails", new=lambda look, route: {"fail_share": 0.3})

    def test_a_version_that_fails_later_is_found(self):
        def new(look, route):
            return {"fail_share": 0.5 if look > 80 else 0.002}

        self.assert_found("fails", new=new)

    def test_versions_slower_by_factors_of_3_and_1_5_are_found(self):
        for factor in (3.0, 1.5):
            new = {"factor": factor}
            self.assert_found("slower", new=lambda look, route, new=new: new)

    def test_one_bad_route_is_not_averaged_away(self):
        rng = random.Random(7)
        comparison = Comparison(MoveSettings(), LOOKS)
        for _ in range(15):
            busy = PairedSums(draw(rng, 300, 0.05), draw(rng, 2700, 0.05))
            bad = PairedSums(draw(rng, 1, 0.8), draw(rng, 9, 0.002))
            comparison.add({"/busy": busy, "/bad": bad})
        self.assertIn("/bad", comparison.find_regression(ERROR_RATE))


if __name__ == "__main__":
    unittest.main()
