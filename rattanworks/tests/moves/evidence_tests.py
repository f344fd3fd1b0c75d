"""Refusals and reports of owners, and the sums of the reports."""

import unittest
from dataclasses import replace

from rattanworks.model.call import Answer, Outcome
from rattanworks.model.service import taken_back
from rattanworks.moves.collector import MAX_SILENT_LOOKS, EvidenceCollector
from rattanworks.moves.evidence import REFUSE_SECONDS, SEVERE_FAILURES, EvidenceLog
from rattanworks.tests.builders import build_call
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.moves.world import (
    FakeMembers,
    World,
    endpoints,
    running_state,
    services_table,
)

NEW_CALL = build_call(version="v2")
FAILED, SERVED = Answer(500), Answer(200)


class EvidenceLogTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(50.0)
        self.services = services_table()
        self.services.merge((running_state(),))
        members = FakeMembers(endpoints(), own="v2-0")
        self.log = EvidenceLog(members, self.services, self.clock, 10.0)

    @property
    def state(self):
        return self.services.rows_by_name["catalogue"]

    def observe(self, answer, count=1, call=NEW_CALL):
        for _ in range(count):
            self.log.observe(call, answer, 0.01)

    def test_calls_after_a_severe_failure_are_refused_at_once_as_not_run(self):
        self.observe(FAILED, SEVERE_FAILURES)
        refused = self.log.refusal(NEW_CALL)
        self.assertEqual(refused.outcome, Outcome.NOT_RUN)
        self.assertGreater(refused.retry_after, 0)
        self.assertIsNone(self.log.refusal(replace(NEW_CALL, route="/other")))
        self.clock.advance(REFUSE_SECONDS)
        self.assertIsNone(self.log.refusal(NEW_CALL))
        self.observe(FAILED)
        self.assertIsNotNone(self.log.refusal(NEW_CALL))

    def test_failures_of_an_earlier_move_refuse_nothing_in_the_next(self):
        self.observe(FAILED, SEVERE_FAILURES)
        self.services.merge((replace(self.state, generation=3),))
        self.observe(FAILED)
        self.assertIsNone(self.log.refusal(NEW_CALL))

    def test_the_old_version_is_never_refused(self):
        old = build_call(version="v1")
        self.observe(FAILED, SEVERE_FAILURES, old)
        self.assertIsNone(self.log.refusal(old))

    def test_a_version_taken_back_is_refused_before_entries_know(self):
        self.services.merge((taken_back(self.state, "bad", 60.0),))
        refused = self.log.refusal(NEW_CALL)
        self.assertEqual(refused.outcome, Outcome.NOT_RUN)
        self.assertGreater(refused.retry_after, 0)

    def test_a_version_taken_back_stays_blocked_while_another_moves(self):
        ended = taken_back(self.state, "bad", 60.0)
        move = replace(running_state().move, to_version="v3")
        self.services.merge((replace(ended, generation=3, move=move),))
        self.assertEqual(self.log.refusal(NEW_CALL).outcome, Outcome.NOT_RUN)

    def test_a_third_version_is_no_evidence(self):
        move = replace(running_state().move, to_version="v3")
        self.services.merge((replace(self.state, generation=3, move=move),))
        self.observe(SERVED)
        self.assertEqual(self.log.report(self.state).version, "")

    def test_cold_start_is_left_out_of_latency_but_not_of_failures(self):
        self.observe(SERVED)
        self.observe(FAILED)
        self.clock.advance(10.0)
        self.observe(SERVED)
        (sums,) = self.log.report(self.state).sums
        self.assertEqual((sums.calls, sums.failures), (3, 1))
        self.assertEqual(sum(sums.latency_counts.values()), 1)

    def test_sums_restart_with_each_stage(self):
        self.observe(SERVED, 5)
        move = replace(self.state.move, stage=1, share=0.5, step=1)
        self.services.merge((replace(self.state, move=move),))
        self.observe(SERVED, 2)
        report = self.log.report(self.state)
        self.assertEqual((report.stage, report.sums[0].calls), (1, 2))


class CollectorTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.driver_node = self.world.driver_node()
        self.collector = EvidenceCollector(2, "v2")
        self.driver_node.driver.collector = self.collector

    def test_each_look_has_what_was_added_since(self):
        self.world.report(self.driver_node, failing=("v2",), calls=10)
        self.collector.take()
        self.world.report(self.driver_node, calls=3)
        pair = self.collector.take()["/catalogue"]
        self.assertEqual((pair.new.calls, pair.new.failures), (6, 0))
        self.assertEqual(sum(pair.old.latency_counts.values()), 6)

    def test_a_repeated_or_late_report_counts_once(self):
        record = self.world.members.by_node["v2-0"]
        early = self.world.evidence(self.driver_node, record)
        self.world.report(self.driver_node, calls=10)
        for evidence in (self.world.evidence(self.driver_node, record), early):
            self.collector.receive(evidence)
        self.assertEqual(self.collector.take()["/catalogue"].new.calls, 20)

    def test_a_look_waits_for_a_silent_sender_a_limited_time(self):
        self.world.report(self.driver_node)
        self.assertTrue(self.collector.is_complete())
        self.collector.take()
        waits = 0
        while not self.collector.is_complete():
            waits += 1
        self.assertEqual(waits, MAX_SILENT_LOOKS)

    def test_evidence_on_another_move_is_dropped(self):
        record = self.world.members.by_node["v2-0"]
        stale = self.world.evidence(self.driver_node, record, generation=1)
        self.collector.receive(stale)
        self.assertEqual(self.collector.take(), {})


if __name__ == "__main__":
    unittest.main()
