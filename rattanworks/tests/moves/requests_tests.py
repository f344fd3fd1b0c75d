"""Starts and withdrawals of moves, their refusals, races and the audit trail."""

import unittest

from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import MoveRefusedError
from rattanworks.model.service import MoveStatus, ServiceState, taken_back
from rattanworks.moves.record import KEPT_MOVES, MoveTrail, ServiceRecords
from rattanworks.moves.rendering import render_record, render_service
from rattanworks.moves.requests import MoveRequests
from rattanworks.ports.base import ABSENT
from rattanworks.tests.builders import build_lists
from rattanworks.tests.fakes import FakeClock, FakeStore

NOW = 1000.0
FINISH_BY = NOW + 600


class RequestTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.clock = FakeClock(NOW)
        self.records = ServiceRecords(self.store)
        self.requests = MoveRequests(self.store, self.clock)
        self.records.write(ServiceState("catalogue", 1, "v1"), ABSENT)

    def start(
        self, version="v2", by=FINISH_BY, service="catalogue", announced=None, **more
    ):
        announced = {"v1", "v2"} if announced is None else announced
        return self.requests.start(service, version, by, "ana", announced, **more)

    def recorded(self):
        return self.records.read("catalogue").state

    def assert_refused(self, remedy, **arguments):
        before = self.recorded()
        with self.assertRaisesRegex(MoveRefusedError, remedy):
            self.start(**arguments)
        self.assertEqual(self.recorded(), before)

    def end_move(self, reason="bad"):
        recorded = self.records.read("catalogue")
        state = taken_back(recorded.state, reason, NOW)
        self.records.write(state, recorded.revision)

    def test_a_move_starts_with_no_share(self):
        state = self.start()
        self.assertEqual(self.recorded(), state)
        self.assertEqual(state.generation, 2)
        self.assertEqual(state.move.share, 0.0)

    def test_a_move_that_cannot_work_is_refused_with_its_remedy(self):
        self.assert_refused("known: catalogue", service="catalog")
        self.assert_refused("start servers of v3 first", version="v3")
        self.assert_refused("name another version", version="v1")
        self.assert_refused("in the past", by=NOW - 1)
        self.assert_refused("too few for any evidence", by=NOW + 2)
        self.assert_refused("name an earlier one", by=1e300)
        self.assert_refused("name an earlier one", by=float("nan"))

    def test_a_second_move_is_refused_while_one_runs(self):
        self.start()
        self.assert_refused("--withdraw")

    def test_one_of_two_concurrent_requests_wins(self):
        read = self.requests._records.read

        def read_then_lose(service):
            recorded = read(service)
            MoveRequests(self.store, self.clock).start(
                service, "v2", FINISH_BY, "bia", {"v1", "v2"}
            )
            return recorded

        self.requests._records.read = read_then_lose
        with self.assertRaisesRegex(MoveRefusedError, "changed meanwhile"):
            self.start()
        self.assertEqual(self.recorded().move.author, "bia")
        self.assertEqual(self.recorded().generation, 2)

    def test_a_lost_answer_is_read_back(self):
        self.store.lose_answers = 1
        state = self.start()
        self.assertEqual(self.recorded(), state)

    def test_a_withdrawn_move_is_taken_back(self):
        self.start()
        state = self.requests.withdraw("catalogue", "ana")
        self.assertEqual(state.move.status, MoveStatus.TAKEN_BACK)
        self.assertEqual(state.serving_version, "v1")
        self.assertTrue(state.is_blocked("v2"))
        with self.assertRaisesRegex(MoveRefusedError, "no move of catalogue"):
            self.requests.withdraw("catalogue", "ana")

    def test_a_version_taken_back_is_allowed_again_only_when_asked(self):
        self.start()
        self.end_move()
        self.assert_refused("pass --again")
        state = self.start(allow_taken_back=True)
        self.assertEqual(state.generation, 3)
        self.assertFalse(state.is_blocked("v2"))

    def test_editing_the_lists_leaves_a_running_move_alone(self):
        state = self.start()
        publisher = Publisher(self.store, self.clock)
        publisher.accept(build_lists(), publisher.current(), "ana", "in the middle")
        self.assertEqual(self.recorded(), state)

    def test_the_trail_keeps_the_latest_moves_with_their_ends(self):
        for _ in range(KEPT_MOVES + 3):
            self.clock.advance(1)
            self.start(allow_taken_back=True)
            self.requests.withdraw("catalogue", "ana")
        moves = MoveTrail(self.store).moves("catalogue")
        self.assertEqual(len(moves), KEPT_MOVES)
        self.assertEqual(moves[-1].generation, KEPT_MOVES + 4)
        line = render_record(moves[-1])
        self.assertIn("status=taken_back", line)
        self.assertIn("author=ana", line)

    def test_a_state_is_rendered_as_one_line(self):
        line = render_service(self.start(), NOW + 10)
        self.assertIn("v1 -> v2 running", line)
        self.assertIn("590 s left", line)


if __name__ == "__main__":
    unittest.main()
