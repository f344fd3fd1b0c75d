"""Odd reports and records of another writer beside those of the real ones."""

import copy
import json
import types
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from rattanworks.admission.owner import Owner
from rattanworks.admission.presence import Presence
from rattanworks.distribution.keys import (
    HEAD,
    ORDER_STATUS_PREFIX,
    ORDERS_PREFIX,
    SERVICES_PREFIX,
    service_key,
)
from rattanworks.distribution.watcher import Watcher
from rattanworks.membership.members import Members
from rattanworks.model.control import Gossip
from rattanworks.model.endpoint import EndpointState
from rattanworks.model.service import ServiceState
from rattanworks.moves.orders import MoveOrders
from rattanworks.moves.record import ServiceRecords
from rattanworks.moves.rendering import render_service
from rattanworks.platform.instances import InstancesApp
from rattanworks.platform.records import RecordTranslator
from rattanworks.ports.base import ABSENT
from rattanworks.roles.base import LeasedRole
from rattanworks.tests.builders import build_move_fields, build_record
from rattanworks.tests.fakes import FakeBackendServer, FakeClock, FakeStore
from rattanworks.tests.platform.builders import CONFIGURATION, build_heartbeat
from rattanworks.tests.platform.reports import send_report
from rattanworks.utils.codec import decode_binary, encode_binary, encode_json
from rattanworks.utils.precedence_table import PrecedenceTable

SEED = 30
EXAMPLES = 300
HEARTBEAT_SECONDS = 1.5
# Enough for reports to count, and for a silent server to be withdrawn and return.
RECOVERY_HEARTBEATS = 5
DEPTH = 20_000
# Replacements for a value, as JSON text; some are no valid JSON.
ODD_VALUES = (
    "[" * DEPTH + "]" * DEPTH,
    '{"x":' * DEPTH + "0" + "}" * DEPTH,
    "9" * 40,
    "9" * 400,
    "9" * 5000,
    str(2**53 + 1),
    str(2**60),
    str(2**62),
    str(2**63),
    str(2**64),
    "-1",
    "-" + "9" * 40,
    "0",
    "1.5",
    "1e3",
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    "true",
    "null",
    '""',
    '"127.0.0.1:99999"',
    '"127.0.0.1:-1"',
    '"' + "9" * 400 + 's"',
    '"1e999s"',
    '"NaNs"',
    '"' + "x" * 100_000 + '"',
    '"\\ud800"',
    '"\\u0000"',
    '"\x00"',
    '"\udcff"',
    '"unheard-of"',
    "[]",
    "{}",
    '["catalogue"]',
    "",
)
NOW = 1_700_000_000.0
BORN = 1_699_999_990_000
MARK = "\u2603"


def paths_in(value, path=()):
    """Yield the paths of all values within a JSON value."""
    yield path
    pairs = value.items() if isinstance(value, dict) else ()
    pairs = enumerate(value) if isinstance(value, list) else pairs
    for key, member in pairs:
        yield from paths_in(member, (*path, key))


def replaced(value, path, text):
    """Return the JSON bytes of a value in which the one at a path is ``text``."""
    if not path:
        return text.encode("utf-8", "surrogateescape")
    value = copy.deepcopy(value)
    parent = value
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = MARK
    content = json.dumps(value, ensure_ascii=False).replace(f'"{MARK}"', text)
    return content.encode("utf-8", "surrogateescape")


def odd_versions(value):
    """Return a strategy of the bytes of a JSON value with one odd member."""
    return st.builds(
        replaced,
        st.just(value),
        st.sampled_from(list(paths_in(value))),
        st.sampled_from(ODD_VALUES),
    )


class OddReportTests(unittest.TestCase):
    def reset(self):
        self.clock = FakeClock(NOW)
        self.members = Members(build_record(state=EndpointState.JOINED))
        self.owner = Owner(self.members, None, None, self.clock, 4)
        presence = Presence(self.serve, self.owner.leave, self.clock)
        self.app = InstancesApp(
            presence, self.clock, "catalogue", "127.0.0.1:1", 100, HEARTBEAT_SECONDS
        )
        self.sequence = 0

    def serve(self, announcement):
        if not self.owner.renew(announcement):
            self.owner.attach(FakeBackendServer(), announcement)

    def send(self, method, instance, content=b""):
        return send_report(self.app, method, instance, content)

    def send_heartbeat(self):
        for _ in range(3):
            self.clock.advance(HEARTBEAT_SECONDS / 3)
            self.owner.check_heartbeat(HEARTBEAT_SECONDS / 3)
        self.sequence += 1
        heartbeat = build_heartbeat(sequence=self.sequence, born=BORN)
        self.assertEqual(self.send("PUT", "i-1", encode_json(heartbeat)), 200)

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["i-1", "i-9", "\xff", "i 1\r\n", ""]),
                odd_versions(build_heartbeat(born=BORN, sequence=2)),
                st.integers(0, 3),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_the_server_beside_the_node_is_served_after_odd_reports(self, odd_reports):
        self.reset()
        self.send_heartbeat()
        for instance, content, heartbeats in odd_reports:
            self.assertIn(self.send("PUT", instance, content), (200, 400))
            for _ in range(heartbeats):
                self.send_heartbeat()
        for _ in range(RECOVERY_HEARTBEATS):
            self.send_heartbeat()
        own = self.members.own
        self.assertEqual(own.state, EndpointState.SERVING)
        self.assertEqual((own.version, own.slots), ("v1", 6))
        message = Gossip(own.node, "127.0.0.1:1", records=(own,))
        self.assertEqual(decode_binary(encode_binary(message), Gossip), message)


STATE = {
    "service": "odd",
    "generation": 3,
    "serving_version": "v1",
    "move": build_move_fields(),
    "taken_back_versions": ["v0"],
}
ORDER = {"service": "odd", "targetVersion": "v2", "within": "20s"}
STATUS = {"service": "odd", "targetVersion": "v2", "state": "running"}
RECORDS = (
    (HEAD, CONFIGURATION),
    (f"{SERVICES_PREFIX}odd", STATE),
    (f"{ORDERS_PREFIX}odd", ORDER),
    (f"{ORDER_STATUS_PREFIX}odd", STATUS),
)


def odd_records(records):
    """Return a strategy of (key, bytes) pairs, each record with one odd member."""
    pairs = [st.tuples(st.just(key), odd_versions(value)) for key, value in records]
    return st.tuples(*pairs)


class OddRecordTests(unittest.TestCase):
    def build(self):
        self.clock = FakeClock(NOW)
        self.store = FakeStore()
        self.services = PrecedenceTable(lambda state: state.service)
        records = (build_record("old"), build_record("new", version="v2"))
        members = types.SimpleNamespace(
            by_node={record.node: record for record in records}
        )
        self.orders = MoveOrders(self.store, self.services, members, self.clock)
        role = LeasedRole(self.store, "roles/watcher/a/0", b"one", self.clock)
        self.heads = []
        self.watcher = Watcher(role, self.store, self.services, self.orders)
        self.watcher.on_head = self.heads.append

    def put(self, key, content):
        value = RecordTranslator("mesh/").product_value_or_empty(key, content)
        self.store.put(key, value, ABSENT)

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(odd_records(RECORDS))
    def test_the_records_of_others_hold_beside_odd_ones(self, records):
        self.build()
        for key, content in records:
            self.put(key, content)
        good = ServiceState("catalogue", 1, "v1")
        order = {**ORDER, "service": "catalogue"}
        self.put(service_key("catalogue"), encode_json(good))
        self.put(f"{ORDERS_PREFIX}catalogue", encode_json(order))
        self.watcher.watch_once()
        for _ in range(3):
            self.clock.advance(1.0)
            self.orders.step()
        state = ServiceRecords(self.store).read("catalogue").state
        self.assertEqual(state.move.to_version, "v2")
        states = tuple(self.services.rows_by_name.values())
        self.assertIn("catalogue", self.services.rows_by_name)
        for state in states:
            self.assertTrue(render_service(state, NOW))
        for head in self.heads:
            message = Gossip("a", "127.0.0.1:1", head, services=states)
            self.assertEqual(decode_binary(encode_binary(message), Gossip), message)


if __name__ == "__main__":
    unittest.main()
