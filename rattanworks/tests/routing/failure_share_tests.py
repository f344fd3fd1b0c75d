import random
import unittest

from rattanworks.routing.failure_share import DECAY_SECONDS, FailureShare
from rattanworks.tests.fakes import FakeClock

CALL_SECONDS = 0.01


class FailureShareTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.failures = FailureShare(self.clock)

    def attempts(self, calls, is_failed):
        """Return the number of attempts for some calls, each repeated at most once."""
        made = 0
        for _ in range(calls):
            self.clock.advance(CALL_SECONDS)
            for is_last in (False, True):
                made += 1
                failed = is_failed()
                self.failures.record("catalogue", failed)
                if not failed or is_last or not self.failures.may_repeat("catalogue"):
                    break
        return made

    def test_calls_of_a_service_that_fails_as_a_whole_are_hardly_repeated(self):
        self.assertLess(self.attempts(1000, lambda: True), 1020)

    def test_calls_that_fail_at_one_gray_endpoint_of_three_are_repeated(self):
        rng = random.Random(5)
        made = self.attempts(1000, lambda: rng.random() < 0.45 / 3)
        self.assertGreater(made, 1100)

    def test_another_service_is_not_affected(self):
        self.attempts(100, lambda: True)
        self.assertTrue(self.failures.may_repeat("orders"))

    def test_past_failures_decay(self):
        self.attempts(100, lambda: True)
        self.assertFalse(self.failures.may_repeat("catalogue"))
        self.clock.advance(5 * DECAY_SECONDS)
        self.assertTrue(self.failures.may_repeat("catalogue"))
