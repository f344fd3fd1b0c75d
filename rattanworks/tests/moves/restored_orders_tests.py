"""Orders to move a service when the store returns from an older copy."""

import random
import types
import unittest

from rattanworks.distribution.keys import order_key, order_status_key
from rattanworks.model.service import MoveStatus, ServiceState, done, taken_back
from rattanworks.moves.orders import DRAIN_SECONDS, MoveOrders
from rattanworks.moves.received_orders import REWRITE_SECONDS
from rattanworks.moves.record import ServiceRecords
from rattanworks.ports.base import ABSENT
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.platform.restored import RestoredStoreTestCase
from rattanworks.utils.precedence_table import PrecedenceTable

SERVICE = "catalogue"


class RestoredOrderTests(RestoredStoreTestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock(100.0)
        self.services = PrecedenceTable(lambda state: state.service)
        self.records = ServiceRecords(self.store)
        self.records.write(ServiceState(SERVICE, 1, "v1"), ABSENT)
        self.services.merge((ServiceState(SERVICE, 1, "v1"),))
        self.orders = self.build()
        self.empty = self.platform.copy()

    def build(self):
        versions = ("v1", "v2", "v3")
        members = types.SimpleNamespace(
            by_node={
                version: build_record(version, version=version) for version in versions
            }
        )
        rng = random.Random(1)
        return MoveOrders(self.store, self.services, members, self.clock, rng)

    def write_order(self, version="v2"):
        self.order_move(SERVICE, version)

    def receive(self, orders=None):
        orders = orders or self.orders
        orders.receive_order(self.store.get(order_key(SERVICE)))
        status = self.store.get(order_status_key(SERVICE))
        if status is not None:
            orders.receive_status(status)

    def step(self, seconds=1.0, orders=None):
        self.clock.advance(seconds)
        (orders or self.orders).step()

    def start_move(self, version="v2"):
        self.write_order(version)
        self.receive()
        self.step()

    def return_to(self, copy):
        """Return to a copy; the states that the nodes know are written again."""
        self.platform.restore(copy)
        self.store.list("a")
        state = self.state()
        recorded = self.records.read(SERVICE)
        self.records.write(state, recorded.revision if recorded else ABSENT)

    def state(self):
        return self.services.rows_by_name[SERVICE]

    def end(self, state):
        self.records.write(state, self.records.read(SERVICE).revision)
        self.services.merge((state,))

    def status(self):
        value = self.move_status(SERVICE)
        return value and value["state"]

    def test_an_order_written_again_does_not_end_its_move(self):
        for count in (0, 20):
            with self.subTest(count=count):
                self.setUp()
                self.start_move()
                operation_id = self.state().move.operation_id
                self.return_to(self.empty)
                self.write_others(count)
                self.write_order()
                self.receive()
                self.step()
                self.step()
                move = self.state().move
                self.assertEqual(
                    (move.operation_id, move.status),
                    (operation_id, MoveStatus.RUNNING),
                )

    def test_a_node_that_reads_an_order_only_after_the_return_goes_on_with_it(self):
        self.start_move()
        operation_id = self.state().move.operation_id
        self.return_to(self.empty)
        self.write_others(20)
        self.write_order()
        fresh = self.build()
        self.receive(fresh)
        self.step(1.0, fresh)
        self.step(REWRITE_SECONDS, fresh)
        move = self.state().move
        self.assertEqual(
            (move.operation_id, move.status), (operation_id, MoveStatus.RUNNING)
        )

    def test_a_node_that_missed_an_order_does_not_start_its_move_again(self):
        self.write_order("v3")
        late = self.build()
        self.receive(late)
        self.start_move("v2")
        started = self.state()
        ends = (started, taken_back(started, "bad", self.clock.now()))
        for state in ends:
            if state is not started:
                self.end(state)
            self.return_to(self.empty)
            self.write_others(20)
            self.write_order("v2")
            self.receive(late)
            self.step(1.0, late)
            self.step(REWRITE_SECONDS, late)
            self.assertEqual(self.state(), state)

    def test_a_move_taken_back_is_not_started_by_its_order_written_again(self):
        self.start_move()
        self.end(taken_back(self.state(), "bad", self.clock.now()))
        self.step()
        for orders in (self.orders, self.build()):
            self.return_to(self.empty)
            self.write_others(20)
            self.write_order()
            self.receive(orders)
            self.step(1.0, orders)
            self.step(REWRITE_SECONDS, orders)
            self.assertEqual(self.state().move.status, MoveStatus.TAKEN_BACK)

    def test_an_earlier_order_left_from_the_copy_does_not_end_a_later_move(self):
        self.write_order("v3")
        self.receive()
        copy = self.platform.copy()
        self.start_move("v2")
        started = self.state().move
        self.assertEqual(started.to_version, "v2")
        for orders in (self.orders, self.build()):
            self.return_to(copy)
            self.receive(orders)
            self.step(1.0, orders)
            self.assertEqual(self.state().move, started)
            self.write_order("v2")
            self.receive(orders)
            self.step(REWRITE_SECONDS, orders)
            self.step(REWRITE_SECONDS, orders)
            self.assertEqual(self.state().move, started)

    def test_orders_written_again_in_turn_do_not_end_the_later_move(self):
        self.write_order("v3")
        self.receive()
        self.start_move("v2")
        self.return_to(self.empty)
        self.write_others(20)
        for version in ("v3", "v2"):
            self.write_order(version)
            self.receive()
            self.step(0.1)
        self.step(REWRITE_SECONDS)
        move = self.state().move
        self.assertEqual((move.to_version, move.status), ("v2", MoveStatus.RUNNING))

    def test_a_new_order_at_a_lower_number_than_a_lost_one_is_carried_out(self):
        self.write_others(20)
        self.start_move("v2")
        self.return_to(self.empty)
        self.write_order("v3")
        self.receive()
        for _ in range(3):
            self.step()
        self.assertEqual(self.state().move.to_version, "v3")

    def test_the_same_order_after_the_return_starts_a_move_again(self):
        self.start_move()
        self.end(taken_back(self.state(), "bad", self.clock.now()))
        self.return_to(self.platform.copy())
        self.receive()
        self.step()
        self.write_order()
        self.receive()
        self.step()
        self.assertEqual(self.state().move.status, MoveStatus.RUNNING)

    def test_a_status_that_the_store_lost_is_written_again(self):
        self.start_move()
        running = self.platform.copy()
        self.end(done(self.state(), "", self.clock.now()))
        self.step()
        self.step(DRAIN_SECONDS)
        self.assertEqual(self.status(), "completed")
        for copy in (self.empty, running):
            self.return_to(copy)
            self.write_order()
            self.receive()
            for _ in range(3):
                self.step()
            self.assertEqual(self.status(), "completed")

    def test_a_node_that_learns_of_the_end_late_does_not_turn_a_status_back(self):
        self.start_move()
        running = self.state()
        self.end(done(running, "", self.clock.now()))
        self.step()
        self.step(DRAIN_SECONDS)
        self.return_to(self.platform.copy())
        self.services = PrecedenceTable(lambda state: state.service)
        self.services.merge((running,))
        late = self.build()
        self.receive(late)
        for _ in range(3):
            self.step(1.0, late)
        self.assertEqual(self.status(), "completed")

    def test_a_move_starts_only_from_the_latest_state(self):
        self.start_move()
        self.end(taken_back(self.state(), "bad", self.clock.now()))
        self.platform.restore(self.empty)
        self.write_order("v3")
        self.receive()
        self.step()
        self.assertIsNone(self.records.read(SERVICE).state.move)
        self.return_to(self.empty)
        self.write_order("v3")
        self.receive()
        self.step()
        self.assertEqual(self.state().move.to_version, "v3")
        self.assertEqual(self.records.read(SERVICE).state, self.state())


if __name__ == "__main__":
    unittest.main()
