"""Moves meet their stated targets in seeded trials with the default settings."""

import unittest

from rattanworks.bench.move_feed import run_trial
from rattanworks.bench.move_kinds import KINDS, draw_scenario
from rattanworks.model.service import MoveStatus
from rattanworks.settings.moves import MOVE_DEFAULTS

SEEDS = ("1/0", "1/1", "1/2")
THIN_SEEDS = ("1/2", "1/3", "1/4")
MAX_DELAY_SECONDS = 2.0
THIN_KIND = "thin traffic (bad)"
BAD_KINDS = (
    "fails at once",
    "fails later",
    "slow by 1.5",
    "slow by 3",
    "under load only",
    "one route only",
    "holder killed (bad)",
)


def trials(*kinds, seeds=SEEDS):
    return [
        run_trial(draw_scenario(kind, seed), MOVE_DEFAULTS)
        for kind in kinds
        for seed in seeds
    ]


class MoveTargetTests(unittest.TestCase):
    def test_every_good_version_is_done_in_time(self):
        good = [kind for kind in KINDS if draw_scenario(kind, "1/0").is_good]
        for result in trials(*good):
            with self.subTest(kind=result.scenario.kind, seed=result.scenario.seed):
                self.assertEqual(result.status, MoveStatus.DONE)
                self.assertTrue(result.in_time)

    def test_every_bad_version_is_taken_back(self):
        for result in trials(*BAD_KINDS):
            with self.subTest(kind=result.scenario.kind, seed=result.scenario.seed):
                self.assertEqual(result.status, MoveStatus.TAKEN_BACK)

    def test_every_bad_version_in_thin_traffic_is_taken_back(self):
        for result in trials(THIN_KIND, seeds=THIN_SEEDS):
            with self.subTest(seed=result.scenario.seed):
                self.assertEqual(result.status, MoveStatus.TAKEN_BACK)

    def test_no_call_two_seconds_after_badness_shows(self):
        for result in trials(*BAD_KINDS):
            with self.subTest(kind=result.scenario.kind, seed=result.scenario.seed):
                self.assertLessEqual(result.seconds_shown_to_none, MAX_DELAY_SECONDS)

    def test_badness_shows_at_the_first_share(self):
        for result in trials(*BAD_KINDS):
            with self.subTest(kind=result.scenario.kind, seed=result.scenario.seed):
                first = result.first_stage_share
                self.assertLessEqual(result.share_before_shown, first)


if __name__ == "__main__":
    unittest.main()
