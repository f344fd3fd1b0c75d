import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from prometheus_client import CollectorRegistry, generate_latest

from rattanworks.exceptions import StoreUnavailableError
from rattanworks.model.announcement import Announcement
from rattanworks.model.call import Answer, refusal
from rattanworks.moves.declaration import ServiceDeclarer
from rattanworks.node.composition import Node
from rattanworks.node.metrics import MeteredEntry
from rattanworks.tests.fakes import FakeClock, FakeStore
from rattanworks.utils.precedence_table import PrecedenceTable

LIMIT_SECONDS = 30.0


class DeclarationTests(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.services = PrecedenceTable(lambda state: state.service)
        self.executor = ThreadPoolExecutor(1)
        self.declarer = ServiceDeclarer(self.store, self.services, self.executor)
        self.addCleanup(self.declarer.close)
        self.node = SimpleNamespace(
            owner=SimpleNamespace(renew=lambda announcement: True),
            declarer=self.declarer,
        )

    def announce(self):
        announcement = Announcement("catalogue", "v1", "127.0.0.1:1", 6, 100)
        Node.serve_announced(self.node, announcement)

    def wait_for_declaration(self):
        self.executor.submit(lambda: None).result(LIMIT_SECONDS)

    def test_a_service_announced_in_an_outage_is_declared_after_it(self):
        self.store.is_down = True
        self.announce()
        self.wait_for_declaration()
        self.assertEqual(self.services.rows_by_name, {})
        self.store.is_down = False
        self.announce()
        self.wait_for_declaration()
        state = self.services.rows_by_name["catalogue"]
        self.assertEqual(state.serving_version, "v1")

    def test_a_heartbeat_does_not_wait_for_a_store_that_does_not_answer(self):
        release, is_answered = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def put(*arguments):
            release.wait(LIMIT_SECONDS)
            is_answered.set()
            raise StoreUnavailableError("down")

        self.store.put = put
        for _ in range(3):
            self.announce()
        self.assertFalse(is_answered.is_set())


class MeteredEntryTests(unittest.TestCase):
    def test_calls_are_counted_by_outcome_and_status(self):
        registry = CollectorRegistry()
        answers = [Answer(200), Answer(200), refusal(503, "no slot")]
        entry = SimpleNamespace(handle=lambda request: answers.pop())
        metered = MeteredEntry(entry, registry, FakeClock())
        for _ in range(3):
            metered.handle(None)
        shown = generate_latest(registry).decode()
        self.assertIn('calls_total{outcome="done",status="200"} 2.0', shown)
        self.assertIn('calls_total{outcome="not-run",status="503"} 1.0', shown)
        self.assertIn("rattanworks_call_seconds_count 3.0", shown)
