import unittest

from rattanworks.bench.fleet import wait_until
from rattanworks.distribution.keys import HEAD
from rattanworks.distribution.publisher import Publisher
from rattanworks.distribution.watcher import Watcher
from rattanworks.model.version import Head
from rattanworks.ports.base import ABSENT
from rattanworks.roles.base import DEFAULT_TIMING, LeasedRole
from rattanworks.standins.store import MemoryStore
from rattanworks.tests.builders import build_lists
from rattanworks.tests.fakes import FakeClock, FakeStore
from rattanworks.utils.codec import encode_json

TIMEOUT_SECONDS = 20.0


class ShortWatchStore(FakeStore):
    """Limits each watch to 10 ms, so that a test need not wait for it."""

    def watch(self, prefix, after_revision, timeout):
        return super().watch(prefix, after_revision, 0.01)


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

    def test_an_unreadable_record_is_skipped(self):
        self.store.put("shared/services/x", b"\xff{", ABSENT)
        bad = self.store.put(HEAD, b"[" * 100_000, ABSENT)
        self.watcher.watch_once()
        self.assertEqual(self.heads, [])
        head = Head(1, "hash")
        self.store.put(HEAD, encode_json(head), bad.revision)
        self.watcher.watch_once()
        self.assertEqual(self.heads, [head])
