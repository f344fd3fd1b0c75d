import math
import unittest

from rattanworks.node.stopping import ANSWER_SECONDS, plan_stop
from rattanworks.settings.node import DrainSettings

STOP_SECONDS = (0.5, 2.0, 3.0, 6.0, 10.0, 20.0, 300.0)
BEGAN = 1000.0
LAST_SIXTH = 5 / 6


class StopPlanTests(unittest.TestCase):
    def each_plan(self, accept_seconds=2.5):
        for seconds in STOP_SECONDS:
            with self.subTest(seconds=seconds):
                yield plan_stop(BEGAN, DrainSettings(seconds, accept_seconds))

    def test_calls_at_work_are_not_cut_before_the_last_sixth(self):
        for plan in self.each_plan():
            whole = plan.ends_at - plan.began
            self.assertGreaterEqual(plan.calls_until - plan.began, whole * LAST_SIXTH)
            self.assertLess(plan.calls_until, plan.ends_at)

    def test_short_stops_leave_as_much_time_to_calls_at_work_as_to_new_ones(self):
        for plan in self.each_plan():
            serving = plan.serves_until - plan.began
            self.assertLessEqual(serving, (plan.ends_at - plan.began) / 2)
            self.assertLessEqual(plan.serves_until, plan.lingers_until)
            self.assertLess(plan.lingers_until, plan.calls_until)

    def test_a_late_call_is_taken_only_when_it_cannot_be_cut(self):
        for plan in self.each_plan():
            late = plan.serves_until + 0.001
            last_deadline = plan.calls_until - ANSWER_SECONDS
            self.assertTrue(plan.takes_call(plan.serves_until, math.inf))
            self.assertTrue(plan.takes_call(late, last_deadline))
            self.assertFalse(plan.takes_call(late, last_deadline + 0.001))

    def test_without_a_time_to_accept_only_what_had_begun_to_arrive_is_early(self):
        for plan in self.each_plan(accept_seconds=0.0):
            self.assertTrue(plan.takes_call(BEGAN, math.inf))
            self.assertFalse(plan.takes_call(BEGAN + 0.001, math.inf))
