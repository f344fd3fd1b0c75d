"""States of services are written again when the store returns from an older copy."""

import unittest

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.distribution.watcher import Watcher
from rattanworks.model.service import Move, ServiceState, done, taken_back
from rattanworks.moves.record import MoveTrail, ServiceRecords
from rattanworks.moves.restoration import StateRestorer
from rattanworks.ports.base import ABSENT
from rattanworks.roles.base import LeasedRole
from rattanworks.tests.platform.restored import RestoredStoreTestCase
from rattanworks.utils.precedence_table import PrecedenceTable

SERVICE = "catalogue"


class StateRestorationTests(RestoredStoreTestCase):
    def setUp(self):
        super().setUp()
        self.services = PrecedenceTable(lambda state: state.service)
        self.records = ServiceRecords(self.store)
        self.trail = MoveTrail(self.store)
        role = LeasedRole(self.store, "roles/watcher/a/0", b"one", SystemClock())
        self.watcher = Watcher(role, self.store, self.services)
        self.watcher.on_listed = StateRestorer(
            self.services, self.records, self.trail
        ).handle_list
        self.empty = self.platform.copy()
        self.declared = ServiceState(SERVICE, 1, "v1")
        move = Move("op", "v1", "v2", "ana", 100.0, 200.0)
        self.moving = ServiceState(SERVICE, 2, "v1", move)

    def write(self, state):
        recorded = self.records.read(SERVICE)
        self.records.write(state, recorded.revision if recorded else ABSENT)
        self.services.merge((state,))

    def recorded(self):
        recorded = self.records.read(SERVICE)
        return recorded and recorded.state

    def test_the_latest_state_is_written_again(self):
        self.write(self.declared)
        declared = self.platform.copy()
        self.write(self.moving)
        running = self.platform.copy()
        for end in (done, taken_back):
            ended = end(self.moving, "", 150.0)
            for copy in (self.empty, declared, running):
                with self.subTest(end=end.__name__, records=len(copy.entries)):
                    self.services.merge((ended,))
                    self.platform.restore(copy)
                    self.watcher.watch_once()
                    self.assertEqual(
                        self.recorded(), self.services.rows_by_name[SERVICE]
                    )
                    self.watcher._revision = 0

    def test_the_move_is_in_the_trail_again(self):
        self.write(self.moving)
        self.trail.record(self.moving)
        self.platform.restore(self.empty)
        self.watcher.watch_once()
        self.assertEqual(
            [record.move for record in self.trail.moves(SERVICE)], [self.moving.move]
        )

    def test_a_newer_state_in_the_store_is_kept(self):
        self.write(self.declared)
        self.records.write(self.moving, self.records.read(SERVICE).revision)
        self.watcher.watch_once()
        self.assertEqual(self.recorded(), self.moving)
        self.assertEqual(self.services.rows_by_name[SERVICE], self.moving)


if __name__ == "__main__":
    unittest.main()
