import unittest

from rattanworks.tests.platform.stop_soak import find_faults

SEEDS = (1, 2, 3)


class StopSoakTests(unittest.TestCase):
    def test_a_stop_loses_no_call_that_it_could_have_answered(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(find_faults(self, seed), [])
