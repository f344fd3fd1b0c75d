import unittest

from rattanworks.bench.fleet import wait_until
from rattanworks.distribution.keys import HEAD, service_key
from rattanworks.distribution.publisher import Publisher
from rattanworks.distribution.watcher import Watcher
from rattanworks.model.control import RowsReply
from rattanworks.model.service import ServiceState
from rattanworks.model.version import Head
from rattanworks.ports.base import ABSENT
from rattanworks.roles.base import DEFAULT_TIMING, LeasedRole
from rattanworks.standins.store import MemoryStore
from rattanworks.tests.builders import build_lists, build_move_fields
from rattanworks.tests.fakes import FakeClock, FakeStore
from rattanworks.utils.codec import decode_binary, encode_binary, encode_json
from rattanworks.utils.precedence_table import PrecedenceTable

TIMEOUT_SECONDS = 20.0


class ShortWatchStore(FakeStore):
    """Limits each watch to 10 ms, so that a test need not wait for it."""

    def watch(self, prefix, after_revision, timeout):
        return super().watch(prefix, after_revision, 0.01)


class DefectiveStore(ShortWatchStore):
    """Raises an unexpected error with its first list."""

    lists = 0

    def list(self, prefix):
        self.lists += 1
        if self.lists == 1:
            raise RuntimeError("a defect")
        return super().list(prefix)


class UnexpectedServices:
    """Fails on any service."""

    def merge(self, rows):
        raise AssertionError(rows)


class WatcherTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.memory = MemoryStore(self.clock.monotonic)
        self.store = ShortWatchStore(self.memory)
        self.role = LeasedRole(self.store, "roles/watcher/a/0", b"one", self.clock)
        self.watcher = Watcher(self.role, self.store, UnexpectedServices())
        self.heads = []
        self.watcher.on_head = self.heads.append
        self.addCleanup(self.watcher.stop)

    def accept(self):
        publisher = Publisher(self.store, self.clock)
        return publisher.accept(build_lists(), publisher.current(), "ana", "")

    def wait_for_head(self, head):
        wait_until(lambda: head in self.heads, TIMEOUT_SECONDS, "head reported")

    def test_the_role_holder_reports_the_present_head_and_later_ones(self):
        first = self.accept()
        self.role.step()
        self.wait_for_head(first)
        self.wait_for_head(self.accept())

    def test_watching_resumes_when_the_role_was_lost_and_regained(self):
        self.role.step()
        self.clock.advance(DEFAULT_TIMING.lease_seconds + 0.1)
        self.role.step()
        self.assertFalse(self.role.is_held)
        self.role.step()
        self.assertTrue(self.role.is_held)
        self.wait_for_head(self.accept())

    def test_watching_resumes_after_an_outage(self):
        self.role.step()
        self.store.is_down = True
        self.role.step()
        self.store.is_down = False
        self.wait_for_head(self.accept())

    def test_watching_goes_on_after_an_unexpected_error(self):
        store = DefectiveStore(self.memory)
        self.watcher._store = store
        head = self.accept()
        self.role.step()
        self.wait_for_head(head)
        self.assertEqual(store.lists, 2)

    def test_a_record_that_meets_a_defect_does_not_hide_the_others(self):
        state = ServiceState("catalogue", 1, "v1")
        self.store.put(service_key("catalogue"), encode_json(state), ABSENT)
        head = Head(1, "hash")
        self.store.put(HEAD, encode_json(head), ABSENT)
        self.watcher._services = UnexpectedServices()
        self.watcher.watch_once()
        self.assertEqual(self.heads, [head])

    def test_a_state_that_peers_cannot_be_sent_is_skipped(self):
        services = PrecedenceTable(lambda state: state.service)
        self.watcher = Watcher(self.role, self.store, services)
        state = {"service": "odd", "generation": 1, "serving_version": "v1"}
        odd_states = (
            {**state, "generation": 10**40},
            {**state, "generation": 2**62},
            {**state, "generation": -1},
            {**state, "serving_version": "v" * 1000},
            {**state, "move": build_move_fields(term=10**40)},
            {**state, "move": build_move_fields(step=2**64)},
            {**state, "move": build_move_fields(share=1e300)},
            {**state, "move": build_move_fields(finish_by=1e300)},
            {**state, "move": build_move_fields(started_at=-1e300)},
        )
        for number, odd in enumerate(odd_states):
            key = f"shared/services/a{number}"
            self.store.put(key, encode_json({**odd, "service": f"a{number}"}), ABSENT)
        self.store.put(
            "shared/services/b", encode_json({**state, "service": "b"}), ABSENT
        )
        self.watcher.watch_once()
        self.assertEqual(list(services.rows_by_name), ["b"])
        rows = RowsReply((), tuple(services.rows_by_name.values()))
        self.assertEqual(decode_binary(encode_binary(rows), RowsReply), rows)

    def test_a_record_that_describes_another_service_is_skipped(self):
        services = PrecedenceTable(lambda state: state.service)
        self.watcher = Watcher(self.role, self.store, services)
        state = {"service": "catalogue", "generation": 1, "serving_version": "v1"}
        odd = {**state, "generation": 2**59, "serving_version": "odd"}
        for service, value in (("catalogue", state), ("other", odd)):
            key = f"shared/services/{service}"
            self.store.put(key, encode_json(value), ABSENT)
        self.watcher.watch_once()
        self.assertEqual(services.rows_by_name["catalogue"].serving_version, "v1")

    def test_a_head_that_peers_cannot_be_sent_is_skipped(self):
        self.store.put(HEAD, encode_json(Head(10**40, "hash")), ABSENT)
        self.watcher.watch_once()
        self.assertEqual(self.heads, [])

    def test_an_unreadable_record_is_skipped(self):
        self.store.put("shared/services/x", b"\xff{", ABSENT)
        bad = self.store.put(HEAD, b"[" * 100_000, ABSENT)
        self.watcher.watch_once()
        self.assertEqual(self.heads, [])
        head = Head(1, "hash")
        self.store.put(HEAD, encode_json(head), bad.revision)
        self.watcher.watch_once()
        self.assertEqual(self.heads, [head])
