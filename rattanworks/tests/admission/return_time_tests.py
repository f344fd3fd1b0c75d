import random
import unittest
from collections import Counter

from rattanworks.admission.return_time import MIN_RETURN_SECONDS, retry_after_seconds


class ReturnTimeTests(unittest.TestCase):
    def test_those_turned_away_together_do_not_come_back_together(self):
        chance = random.Random(3)
        times = [retry_after_seconds(0.1, 10.0, chance.random()) for _ in range(1000)]
        by_window = Counter(int(time / 0.02) for time in times)
        self.assertLess(max(by_window.values()), 300)
        self.assertAlmostEqual(sum(times) / len(times), 0.1, delta=0.01)

    def test_a_caller_keeps_two_thirds_of_its_time(self):
        self.assertAlmostEqual(retry_after_seconds(5.0, 0.9, 0.99), 0.3)
        self.assertEqual(retry_after_seconds(5.0, -1.0, 0.5), 0.0)

    def test_nobody_is_asked_back_at_once(self):
        self.assertGreaterEqual(
            retry_after_seconds(0.0, 9.0, 0.0), MIN_RETURN_SECONDS / 2
        )
