"""Token buckets that enforce a customer's rate at each owner."""

import unittest

from rattanworks.admission.limits import PlanLimits
from rattanworks.model.lists import ServiceUse
from rattanworks.tests.fakes import FakeClock


class PlanLimitsTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.use = ServiceUse("catalogue", 10.0, 20, ("/catalogue",))

    def admitted(self, limits, calls, customer="shop", owners=1):
        return sum(limits.admit(customer, self.use, owners) for _ in range(calls))

    def test_burst_then_rate(self):
        limits = PlanLimits(self.clock)
        self.assertEqual(self.admitted(limits, 50), 20)
        self.clock.advance(1.0)
        self.assertEqual(self.admitted(limits, 50), 10)

    def test_the_rate_is_split_among_owners(self):
        limits = PlanLimits(self.clock)
        self.admitted(limits, 50, owners=2)
        self.clock.advance(1.0)
        self.assertEqual(self.admitted(limits, 50, owners=2), 5)

    def test_a_small_share_of_the_rate_keeps_the_minimum_burst(self):
        limits = PlanLimits(self.clock, min_burst=4.0)
        self.assertEqual(self.admitted(limits, 50, owners=100), 4)

    def test_the_number_of_buckets_is_bounded(self):
        limits = PlanLimits(self.clock, max_buckets=100)
        for number in range(1000):
            limits.admit(f"shop-{number}", self.use, 1)
        self.assertEqual(len(limits), 100)

    def test_a_bucket_in_use_is_not_dropped(self):
        limits = PlanLimits(self.clock, max_buckets=10)
        self.admitted(limits, 50)
        for number in range(100):
            limits.admit(f"shop-{number}", self.use, 1)
            self.assertFalse(limits.admit("shop", self.use, 1))
