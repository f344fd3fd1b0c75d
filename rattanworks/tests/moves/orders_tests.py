"""Orders to move a service that operators write to the store."""

import random
import types
import unittest

from rattanworks.distribution.keys import order_key, order_status_key, service_key
from rattanworks.exceptions import StoreRecordError
from rattanworks.model.order import MoveOrder, OrderStatus
from rattanworks.model.service import MoveStatus, ServiceState, done, taken_back
from rattanworks.moves.orders import DRAIN_SECONDS, MoveOrders
from rattanworks.ports.base import ABSENT
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock, FakeStore
from rattanworks.utils.codec import DecodeError, decode_json, encode_json
from rattanworks.utils.precedence_table import PrecedenceTable


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.clock = FakeClock(100.0)
        self.services = PrecedenceTable(lambda state: state.service)
        self.records = [build_record("old"), build_record("new", version="v2")]
        state = ServiceState("catalogue", 1, "v1")
        self.store.put(service_key("catalogue"), encode_json(state), ABSENT)
        self.services.merge((state,))
        self.orders = self.build()

    def build(self):
        members = types.SimpleNamespace(
            by_node={record.node: record for record in self.records}
        )
        rng = random.Random(1)
        return MoveOrders(self.store, self.services, members, self.clock, rng)

    def order(self, to_version="v2", seconds=20.0, orders=None):
        key = order_key("catalogue")
        known = self.store.get(key)
        entry = self.store.put(
            key,
            encode_json(MoveOrder("catalogue", to_version, seconds)),
            known.revision if known else ABSENT,
        )
        (orders or self.orders).receive_order(entry)
        return entry

    def step(self, seconds=1.0):
        self.clock.advance(seconds)
        self.orders.step()

    def status(self):
        entry = self.store.get(order_status_key("catalogue"))
        return entry and decode_json(entry.value, OrderStatus).status

    def recorded(self):
        entry = self.store.get(service_key("catalogue"))
        return decode_json(entry.value, ServiceState)

    def end(self, state):
        entry = self.store.get(service_key("catalogue"))
        self.store.put(service_key("catalogue"), encode_json(state), entry.revision)
        self.services.merge((state,))

    def test_an_order_starts_a_move_that_ends_before_its_time(self):
        self.order()
        self.step()
        move = self.recorded().move
        self.assertEqual((move.to_version, move.status), ("v2", MoveStatus.RUNNING))
        self.assertLess(move.finish_by, 120.0)
        self.assertEqual(self.status(), MoveStatus.RUNNING)

    def test_an_unreadable_state_of_one_service_does_not_hold_up_other_orders(self):
        state = ServiceState("bakery", 1, "v1")
        self.store.put(service_key("bakery"), b'{"service":"bakery"}', ABSENT)
        self.services.merge((state,))
        odd = MoveOrder("bakery", "v2", 20.0)
        self.orders.receive_order(
            self.store.put(order_key("bakery"), encode_json(odd), ABSENT)
        )
        self.order()
        self.step()
        self.assertEqual(self.recorded().move.to_version, "v2")

    def test_an_order_at_the_key_of_another_service_is_refused(self):
        order = MoveOrder("catalogue", "v2", 20.0)
        entry = self.store.put(order_key("bakery"), encode_json(order), ABSENT)
        with self.assertRaises(StoreRecordError):
            self.orders.receive_order(entry)
        self.step()
        self.assertIsNone(self.recorded().move)

    def test_a_status_that_cannot_be_read_is_replaced(self):
        odd = self.store.put(order_status_key("catalogue"), b"[[[", ABSENT)
        with self.assertRaises(DecodeError):
            self.orders.receive_status(odd)
        self.order()
        self.step()
        self.assertEqual(self.status(), MoveStatus.RUNNING)
        self.assertEqual(self.recorded().move.to_version, "v2")

    def test_an_order_with_a_time_out_of_range_is_refused(self):
        for seconds in (1e300, -1.0):
            with self.subTest(seconds), self.assertRaises(DecodeError):
                self.order(seconds=seconds)

    def test_the_status_and_the_start_of_the_move_are_written_at_once(self):
        self.order()
        self.store.lose_answers = 1
        before = self.store.memory.list("").revision
        self.step()
        changes = self.store.memory.watch("", before, 0.0).entries
        revisions_by_key = {entry.key: entry.revision for entry in changes}
        self.assertEqual(
            revisions_by_key[service_key("catalogue")],
            revisions_by_key[order_status_key("catalogue")],
        )
        self.assertEqual(self.recorded().move.status, MoveStatus.RUNNING)
        self.assertEqual(self.status(), MoveStatus.RUNNING)

    def test_a_status_that_another_node_wrote_meanwhile_only_delays_the_start(self):
        old = OrderStatus("catalogue", "v0", MoveStatus.DONE)
        self.store.put(order_status_key("catalogue"), encode_json(old), ABSENT)
        self.order()
        self.step()
        self.assertIsNone(self.recorded().move)
        self.step()
        self.assertEqual(self.recorded().move.status, MoveStatus.RUNNING)
        self.assertEqual(self.status(), MoveStatus.RUNNING)

    def test_an_order_waits_for_endpoints_of_the_version(self):
        del self.records[1]
        self.orders = self.build()
        self.order()
        self.step()
        self.assertIsNone(self.recorded().move)
        self.records.append(build_record("new", version="v2"))
        self.orders._members.by_node["new"] = self.records[1]
        self.step()
        self.assertIsNotNone(self.recorded().move)

    def test_two_watchers_start_one_move(self):
        other = self.build()
        entry = self.order()
        other.receive_order(entry)
        self.step()
        other.step()
        self.assertEqual(self.recorded().generation, 2)

    def test_done_is_reported_once_calls_on_the_old_version_have_ended(self):
        self.order()
        self.step()
        self.end(done(self.recorded(), "", self.clock.now()))
        self.step(0.1)
        self.assertEqual(self.status(), MoveStatus.RUNNING)
        self.step(DRAIN_SECONDS)
        self.assertEqual(self.status(), MoveStatus.DONE)

    def test_a_move_taken_back_is_reported_only_once_the_store_has_it(self):
        self.order()
        self.step()
        state = taken_back(self.recorded(), "bad", self.clock.now())
        self.services.merge((state,))
        self.step()
        self.assertEqual(self.status(), MoveStatus.RUNNING)
        self.end(state)
        self.step()
        self.assertEqual(self.status(), MoveStatus.TAKEN_BACK)

    def test_an_order_whose_time_has_passed_is_reported_as_taken_back(self):
        del self.records[1]
        self.orders = self.build()
        self.order(seconds=12.0)
        self.step(11.0)
        self.assertIsNone(self.recorded().move)
        self.assertEqual(self.status(), MoveStatus.TAKEN_BACK)

    def test_a_newer_order_replaces_the_move_of_an_earlier_one(self):
        self.records.append(build_record("newest", version="v3"))
        self.orders = self.build()
        self.order()
        self.step()
        self.order(to_version="v3")
        self.step()
        self.step()
        self.assertEqual(self.recorded().move.to_version, "v3")

    def test_an_outage_only_delays_the_order(self):
        self.order()
        self.store.is_down = True
        self.step()
        self.store.is_down = False
        self.step()
        self.assertEqual(self.status(), MoveStatus.RUNNING)

    def test_a_lost_answer_to_the_status_is_resolved_by_reading_back(self):
        self.order()
        self.step()
        self.end(taken_back(self.recorded(), "bad", self.clock.now()))
        self.store.lose_answers = 1
        self.step()
        self.step()
        self.assertEqual(self.status(), MoveStatus.TAKEN_BACK)


if __name__ == "__main__":
    unittest.main()
