"""Which nodes compete for a move's role, evaluate it and record its end."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from rattanworks.bench.fleet import wait_until
from rattanworks.model.service import MoveStatus, done, taken_back
from rattanworks.moves.candidates import MAX_CANDIDATES, candidates, evidence_target
from rattanworks.moves.participant import MoveParticipant
from rattanworks.tests.builders import build_record
from rattanworks.tests.moves.world import START, World, running_state, services_table

LIMIT_SECONDS = 30.0


def owners(count):
    return [build_record(f"node-{number}") for number in range(count)]


class CandidateTests(unittest.TestCase):
    def test_few_owners_compete_however_many_there_are(self):
        names = candidates(running_state(), owners(50))
        self.assertEqual(len(names), MAX_CANDIDATES)
        self.assertEqual(names, candidates(running_state(), owners(50)[::-1]))

    def test_evidence_goes_to_the_holder_and_else_to_the_best_candidate(self):
        records = owners(5)
        state = running_state(holder="node-3")
        self.assertEqual(evidence_target(state, records).node, "node-3")
        left = [record for record in records if record.node != "node-3"]
        best = candidates(state, left)[0]
        self.assertEqual(evidence_target(state, left).node, best)
        self.assertIsNone(evidence_target(state, []))


class ParticipantTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.services = services_table()
        self.participant = MoveParticipant(
            self.world.members,
            self.services,
            self.world.store,
            None,
            self.world.clock,
            None,
            self.world.settings,
        )

    def test_a_move_taken_back_is_recorded_once_the_store_answers(self):
        name = candidates(running_state(), self.world.members.by_node.values())[0]
        self.world.members.own = self.world.members.by_node[name]
        self.services.merge((taken_back(self.world.recorded, "bad", START),))
        self.participant.step()
        self.assertEqual(self.world.recorded.move.status, MoveStatus.TAKEN_BACK)
        revision = self.world.records.read("catalogue").revision
        self.participant.step()
        self.assertEqual(self.world.records.read("catalogue").revision, revision)

    def test_a_move_that_was_done_is_recorded_if_the_store_lost_its_end(self):
        name = candidates(running_state(), self.world.members.by_node.values())[0]
        self.world.members.own = self.world.members.by_node[name]
        self.services.merge((done(self.world.recorded, "", START),))
        self.participant.step()
        self.assertEqual(self.world.recorded.move.status, MoveStatus.DONE)

    def test_looks_and_reports_go_on_after_an_unexpected_error(self):
        calls = {"step": 0, "report": 0}

        def fail(name):
            calls[name] += 1
            raise IndexError("no such stage")

        self.services.merge((running_state(stage=99),))
        self.participant.step = lambda: fail("step")
        self.participant._evidence_log = SimpleNamespace(
            report=lambda state: fail("report")
        )
        self.participant.start()
        self.addCleanup(self.participant.stop)
        wait_until(
            lambda: min(calls.values()) >= 2, LIMIT_SECONDS, "looked and reported twice"
        )

    def test_an_entry_reports_unreachable_calls_once_per_holder_and_term(self):
        sent = []
        self.participant._peers = SimpleNamespace(
            request=lambda address, message, timeout: sent.append(message)
        )
        self.participant._evidence_log = SimpleNamespace(report=lambda state: evidence)
        state = self.world.recorded
        record = self.world.members.by_node["v1-0"]
        self.world.members.own = build_record("entry", service="orders")
        evidence = self.world.evidence(
            self.world.driver_node(),
            record,
            version="",
            sums=(),
            unreachable_by_node={"a": 1},
        )
        for term in (1, 1, 2):
            move = replace(state.move, term=term)
            self.participant._report(replace(state, move=move))
        self.assertEqual(len(sent), 2)

    def test_a_role_taken_just_before_an_outage_does_not_delay_taking_back(self):
        self.services.merge((self.world.recorded,))
        self.participant._role = SimpleNamespace(is_held=True, key="roles/move/x")
        driver_node = self.world.driver_node()
        self.world.store.is_down = True
        self.participant.step()
        driver_node.driver = self.participant._driver
        for _ in range(5):
            self.world.clock.advance(1.0)
            self.world.report(driver_node, failing=("v2",))
            if self.services.rows_by_name["catalogue"].is_moving:
                self.participant.step()
        state = self.services.rows_by_name["catalogue"]
        self.assertEqual(state.move.status, MoveStatus.TAKEN_BACK)

    def test_a_node_of_another_service_does_not_record_the_end(self):
        self.world.members.own = build_record("other", service="orders")
        self.services.merge((taken_back(self.world.recorded, "bad", START),))
        self.participant.step()
        self.assertEqual(self.world.recorded.move.status, MoveStatus.RUNNING)


if __name__ == "__main__":
    unittest.main()
