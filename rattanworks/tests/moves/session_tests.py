"""Moves to good and to bad versions, with real processes."""

import time
import unittest

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.bench.move_session import MoveLoad, run_move, start_version
from rattanworks.model.service import MoveStatus
from rattanworks.moves.record import ServiceRecords
from rattanworks.moves.requests import MoveRequests
from rattanworks.tests.builders import build_lists

TIMEOUT_SECONDS = 30.0
MOVE_SECONDS = 15.0
CALLS_PER_SECOND = 60


class MoveSessionTests(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(self.store))
        places = [
            Place(f"catalogue-{n}", "qc-est", f"qc-est-{n}", "catalogue", "v1", 6, 100)
            for n in "ab"
        ]
        self.fleet.start_all(places)
        self.fleet.wait_ready()
        head = self.fleet.accept(build_lists())
        wait_until(
            lambda: self.fleet.has_in_force(head.version), TIMEOUT_SECONDS, "lists"
        )

    def test_a_bad_version_is_taken_back_and_a_good_one_is_done(self):
        start_version(self.fleet, "catalogue", "v2", '{"fail_share": 1.0}', 1)
        bad = run_move(self.fleet, "catalogue", "v2", MOVE_SECONDS, "shop")
        self.assertEqual(bad.status, MoveStatus.TAKEN_BACK, bad)
        self.assertEqual(bad.new_calls_after_end, 0, bad)
        start_version(self.fleet, "catalogue", "v3", count=2)
        good = run_move(self.fleet, "catalogue", "v3", MOVE_SECONDS, "shop")
        self.assertEqual(good.status, MoveStatus.DONE, good)
        self.assertEqual(good.state.serving_version, "v3")

    def test_a_bad_version_is_taken_back_without_the_store_and_recorded_later(self):
        start_version(self.fleet, "catalogue", "v2", count=1)
        records = ServiceRecords(self.fleet.store_client)
        MoveRequests(self.fleet.store_client, SystemClock()).start(
            "catalogue", "v2", time.time() + 600, "ana", {"v2"}
        )
        addresses = [node.callers for node in self.fleet.nodes]
        with MoveLoad(addresses, "shop", ["/catalogue"], CALLS_PER_SECOND):
            self.wait(lambda: records.read("catalogue").state.move.share > 0, "share")
            self.store.set_faults(is_down=True)
            new = self.fleet.nodes_by_name["catalogue-v2-1"]
            new.backend_control("POST", "/control/behaviour", b'{"fail_share": 1.0}')
            self.wait(self.is_taken_back_everywhere, "taken back in an outage")
            self.store.set_faults()
        self.wait(
            lambda: (
                records.read("catalogue").state.move.status == MoveStatus.TAKEN_BACK
            ),
            "recorded after the outage",
        )

    def test_a_paused_holder_is_replaced_and_does_not_raise_the_share_on_resuming(self):
        start_version(self.fleet, "catalogue", "v2", count=1)
        records = ServiceRecords(self.fleet.store_client)
        MoveRequests(self.fleet.store_client, SystemClock()).start(
            "catalogue", "v2", time.time() + 600, "ana", {"v2"}
        )

        def recorded():
            return records.read("catalogue").state.move

        self.wait(lambda: recorded().share > 0, "share")
        before = recorded()
        paused = self.fleet.nodes_by_name[before.holder].process
        paused.pause()
        self.wait(lambda: recorded().term > before.term, "another holder")
        successor = recorded()
        paused.resume()
        self.wait(lambda: self.fleet.sees_serving(3), "all nodes back")
        after = recorded()
        self.assertNotEqual(successor.holder, before.holder)
        self.assertEqual(after.holder, successor.holder)
        self.assertEqual((after.stage, after.share), (before.stage, before.share))

    def is_taken_back_everywhere(self):
        states = [state for reply in self.fleet.statuses() for state in reply.services]
        return len(states) == len(self.fleet.nodes) and all(
            state.move.status == MoveStatus.TAKEN_BACK for state in states
        )

    def wait(self, condition, what):
        wait_until(condition, TIMEOUT_SECONDS, what)


if __name__ == "__main__":
    unittest.main()
