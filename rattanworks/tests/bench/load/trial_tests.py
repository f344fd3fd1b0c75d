"""The load simulation is consistent, and each policy of the product pays off."""

import statistics
import unittest
from dataclasses import replace

from rattanworks.bench.load.policy import POLICIES_BY_NAME, Policy
from rattanworks.bench.load.scenario import Disturbance, DisturbanceKind
from rattanworks.bench.load.scenarios import SCENARIOS_BY_NAME
from rattanworks.bench.load.trial import simulate

SECONDS = 3.0
SEED = 1
SEEDS = (1, 2, 3, 4)
PRODUCT = Policy()


def scenario(name, **changes):
    return replace(SCENARIOS_BY_NAME[name], **{"seconds": SECONDS, **changes})


class ModelTests(unittest.TestCase):
    def test_a_seed_gives_the_same_figures_each_time(self):
        burst = scenario("burst", seconds=1.0)
        self.assertEqual(simulate(burst, PRODUCT, SEED), simulate(burst, PRODUCT, SEED))

    def test_seeds_differ(self):
        calm = scenario("calm", seconds=1.0)
        self.assertNotEqual(simulate(calm, PRODUCT, 1), simulate(calm, PRODUCT, 2))

    def test_every_request_ends_once(self):
        figures = simulate(scenario("lasting_overload", load=2.0), PRODUCT, SEED)
        for kind in figures["kinds"].values():
            ends = ("in_time", "late", "refused", "failed")
            self.assertAlmostEqual(sum(kind[end] for end in ends), 1.0, delta=0.001)

    def test_light_load_is_served_in_time(self):
        figures = simulate(scenario("calm", load=0.3), PRODUCT, SEED)
        self.assertGreater(figures["goodput"], 0.95)
        self.assertEqual(figures["refused_again"], 0.0)

    def test_goodput_never_rises_with_load(self):
        loads = (0.5, 1.2, 2.0, 3.0)
        goodputs = [
            simulate(scenario("calm", load=load), PRODUCT, SEED)["goodput"]
            for load in loads
        ]
        self.assertEqual(goodputs, sorted(goodputs, reverse=True))

    def test_each_disturbance_lowers_goodput(self):
        calm = simulate(scenario("calm"), PRODUCT, SEED)["goodput"]
        for kind, factor in (
            (DisturbanceKind.BURST, 3.0),
            (DisturbanceKind.SLOW, 8.0),
            (DisturbanceKind.GONE, 1.0),
            (DisturbanceKind.SHEDDING, 0.8),
            (DisturbanceKind.FAILING, 0.8),
        ):
            with self.subTest(kind=kind):
                disturbance = Disturbance(kind, 0.5, 2.0, factor, share=0.6)
                disturbed = scenario("calm", disturbances=(disturbance,))
                self.assertLess(simulate(disturbed, PRODUCT, SEED)["goodput"], calm)


class DecisionTests(unittest.TestCase):
    """The product's policy gives better figures than each one that it replaced."""

    def mean(self, name, policy, figure="goodput", **changes):
        figures = [
            simulate(scenario(name, **changes), policy, seed)[figure] for seed in SEEDS
        ]
        return statistics.mean(figures)

    def assert_better(self, name, policy_name):
        ours = self.mean(name, PRODUCT)
        self.assertGreater(ours, self.mean(name, POLICIES_BY_NAME[policy_name]))

    def test_lasting_overload_against_first_come_first_served(self):
        self.assert_better("lasting_overload", "first_come_first_served")

    def test_lasting_overload_against_a_long_queue(self):
        self.assert_better("lasting_overload", "long_queue")

    def test_short_nested_calls_against_prompt_first(self):
        self.assert_better("called_service_short", "prompt_first")

    def test_slow_endpoints_against_near_only(self):
        self.assert_better("slow_endpoints", "near_only")

    def test_a_margin_keeps_calls_near_under_overload(self):
        without = POLICIES_BY_NAME["no_margin"]
        self.assertLess(
            self.mean("lasting_overload", PRODUCT, "crossed_mb"),
            self.mean("lasting_overload", without, "crossed_mb"),
        )


if __name__ == "__main__":
    unittest.main()
