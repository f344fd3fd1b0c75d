import random
import unittest
from collections import Counter

from rattanworks.admission.return_time import (
    MIN_EXPECTED_WAIT_SECONDS,
    retry_after_seconds,
)


class ReturnTimeTests(unittest.TestCase):
    def test_callers_refused_together_do_not_retry_together(self):
        rng = random.Random(3)
        times = [retry_after_seconds(0.1, 10.0, rng.random()) for _ in range(1000)]
        by_window = Counter(int(time / 0.02) for time in times)
        self.assertLess(max(by_window.values()), 300)
        self.assertAlmostEqual(sum(times) / len(times), 0.1, delta=0.01)

    def test_a_caller_keeps_two_thirds_of_its_time(self):
        self.assertAlmostEqual(retry_after_seconds(5.0, 0.9, 0.99), 0.3)
        self.assertEqual(retry_after_seconds(5.0, -1.0, 0.5), 0.0)

    def test_no_caller_is_asked_to_retry_at_once(self):
        self.assertGreaterEqual(
            retry_after_seconds(0.0, 9.0, 0.0), MIN_EXPECTED_WAIT_SECONDS / 2
        )
