import unittest

from rattanworks.adapters.http_store import HttpStore
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.fleet import running_store, wait_until
from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import (
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from rattanworks.ports.base import ABSENT, Write
from rattanworks.standins.store import MAX_VALUE_BYTES
from rattanworks.tests.builders import build_lists

STORE_TIMEOUT_SECONDS = 0.3
STORE_DELAY_SECONDS = 1.0
TIMEOUT_SECONDS = 20.0


class HttpStoreTests(unittest.TestCase):
    def setUp(self):
        self.standin = self.enterContext(running_store())
        self.store = HttpStore(self.standin.address, "mesh", STORE_TIMEOUT_SECONDS)
        self.addCleanup(self.store.close)

    def test_with_a_slow_store_reads_fail_and_writes_may_have_taken_effect(self):
        self.standin.set_faults(delay_seconds=STORE_DELAY_SECONDS)
        with self.assertRaises(StoreUnavailableError):
            self.store.get("key")
        with self.assertRaises(StoreAnswerLostError):
            self.store.put("key", b"late", ABSENT)
        self.standin.set_faults()
        wait_until(lambda: self.store.get("key"), TIMEOUT_SECONDS, "late write")
        with self.assertRaises(StoreConflictError):
            self.store.put("key", b"again", ABSENT)

    def test_a_version_is_accepted_once_through_lost_answers(self):
        publisher = Publisher(self.store, SystemClock())
        base = publisher.current()
        self.standin.set_faults(lose_answers=4)
        head = publisher.accept(build_lists(), base, "ana", "")
        self.assertEqual(publisher.current().head, head)
        self.assertEqual(len(list(publisher.chain())), 1)

    def test_a_store_that_is_down_had_no_effect(self):
        self.standin.set_faults(is_down=True)
        with self.assertRaises(StoreUnavailableError):
            self.store.put("key", b"value", ABSENT)
        self.standin.set_faults()
        self.assertIsNone(self.store.get("key"))

    def test_a_refused_write_raises_and_has_no_effect(self):
        with self.assertRaises(StoreUnavailableError):
            self.store.put("key", bytes(MAX_VALUE_BYTES + 1), ABSENT)
        self.assertIsNone(self.store.get("key"))

    def test_several_writes_are_made_together_or_not_at_all(self):
        kept = self.store.put("a", b"one", ABSENT)
        stale = (Write("b", b"two", ABSENT), Write("a", None, kept.revision + 1))
        with self.assertRaises(StoreConflictError) as raised:
            self.store.write_all(stale)
        self.assertEqual(
            (raised.exception.key, raised.exception.actual), ("a", kept.revision)
        )
        self.assertIsNone(self.store.get("b"))
        written = self.store.write_all(
            (Write("b", b"two", ABSENT), Write("a", None, kept.revision))
        )
        self.assertEqual(self.store.get("b"), written[0])
        self.assertIsNone(self.store.get("a"))

    def test_a_lease_that_is_gone_raises(self):
        with self.assertRaises(LeaseLostError):
            self.store.renew_lease("unknown")
        with self.assertRaises(LeaseLostError):
            self.store.put("key", b"value", ABSENT, "unknown")
