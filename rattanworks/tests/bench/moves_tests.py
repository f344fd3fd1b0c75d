"""The bench of moves gives repeatable figures and can draw every kind."""

import unittest

from rattanworks.bench.move_feed import run_trial
from rattanworks.bench.move_kinds import KINDS, draw_scenario
from rattanworks.bench.moves import DEPLOYMENTS, move_settings, summarize
from rattanworks.model.service import MoveStatus
from rattanworks.settings.moves import MOVE_DEFAULTS


class MovesBenchTests(unittest.TestCase):
    def test_the_same_seed_gives_the_same_figures(self):
        scenario = draw_scenario("fails at once", "1/0")
        first, second = (run_trial(scenario, MOVE_DEFAULTS) for _ in range(2))
        self.assertEqual(first, second)
        self.assertEqual(first.status, MoveStatus.TAKEN_BACK)

    def test_a_good_version_is_done_in_time_and_a_failing_one_is_not(self):
        kinds = ("good", "fails at once", "slow by 3")
        results = [run_trial(draw_scenario(k, "1/0"), MOVE_DEFAULTS) for k in kinds]
        figures = summarize(results)
        self.assertEqual((figures["good"], figures["good_done_in_time"]), (1, 1))
        self.assertEqual((figures["bad"], figures["bad_taken_back"]), (2, 2))

    def test_every_kind_can_be_drawn_and_every_example_be_read(self):
        for kind in KINDS:
            self.assertEqual(draw_scenario(kind, "1/0").kind, kind)
        for deployment in DEPLOYMENTS:
            self.assertGreater(move_settings(deployment).false_alarm_rate, 0)


if __name__ == "__main__":
    unittest.main()
