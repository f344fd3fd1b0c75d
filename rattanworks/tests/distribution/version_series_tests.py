"""Versions that are accepted faster than one node can fetch them."""

import contextlib
import threading
import unittest

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.fleet import wait_until
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.keys import HEAD, blob_key
from rattanworks.distribution.replicator import (
    STORE_FALLBACK_SECONDS,
    STORE_READ_BURST,
    Replicator,
)
from rattanworks.distribution.sources import StoreSource
from rattanworks.exceptions import PeerUnavailableError, StoreUnavailableError
from rattanworks.model.control import FetchReply
from rattanworks.ports.base import ABSENT
from rattanworks.tests.builders import build_numbered_lists, build_version
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, FakeStore
from rattanworks.utils.backoff import TokenBucket
from rattanworks.utils.codec import encode_json

GAP_SECONDS = 0.55
VERSIONS = 24
PEERS = ("p1", "p2")
# The tightest bound that a deployment of the users sets for a version to be in force.
IN_FORCE_SECONDS = 2.0
WAIT_SECONDS = 20.0
# Split into 64 pages.
CUSTOMERS = 3000


class Series:
    """A replicator and two peers that always hold the newest version.

    A request to a peer takes ``request_seconds``; half of them pass before the peer
    reads what it holds. Versions go on being announced meanwhile.
    """

    def __init__(self, request_seconds):
        self.clock = FakeClock()
        self._request_seconds = request_seconds
        self._versions = [build_version(number) for number in range(1, VERSIONS + 1)]
        self._announced = 0
        self._peers = FakeControlPeers({address: self._serve for address in PEERS})
        self.configuration = Configuration()
        self.replicator = Replicator(
            self.configuration, self._peers, FakeStore(), self.clock
        )
        # A peer is a node of its own, which holds its newest version only.
        self._held = Configuration()
        self._peer = Replicator(self._held, self._peers, FakeStore(), self.clock)
        self.longest_behind = 0.0

    def _serve(self, message):
        self._advance(self._request_seconds / 2)
        reply = self._peer.serve(message)
        self._advance(self._request_seconds / 2)
        return reply

    def _advance(self, seconds):
        end = self.clock.time + seconds
        while self.clock.time < end:
            due = self._announced * GAP_SECONDS
            if self._announced < VERSIONS and due <= end:
                self.clock.time = max(self.clock.time, due)
                self._announce_next()
            else:
                self.clock.time = end
        behind = self.replicator.announcements.behind_seconds
        self.longest_behind = max(self.longest_behind, behind)

    def _announce_next(self):
        head, contents = self._versions[self._announced]
        self._held.put_in_force(head, contents)
        self._announced += 1
        for address in PEERS:
            self.replicator.handle_peer_head(head, address)

    def play(self):
        """Run until a few seconds after the last version."""
        while self.clock.time < (VERSIONS + 8) * GAP_SECONDS:
            fetch = self.replicator.next_fetch()
            if fetch is None:
                self._advance(0.01)
            else:
                self.replicator.pull(*fetch)


class VersionSeriesTests(unittest.TestCase):
    def test_a_node_whose_fetches_are_slower_than_the_series_is_not_left_behind(self):
        for request_seconds in (0.1, 0.25, 0.35, 0.5, 0.7, 0.9):
            with self.subTest(request_seconds=request_seconds):
                series = Series(request_seconds)
                series.play()
                self.assertEqual(series.configuration.head.version, VERSIONS)
                self.assertLessEqual(series.longest_behind, IN_FORCE_SECONDS)


class StoreInASeriesTests(unittest.TestCase):
    """The store as a source, while no peer gives a version and new ones are announced.

    The store keeps the content of its newest version only.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.configuration = Configuration()
        self.replicator = Replicator(
            self.configuration, FakeControlPeers({}), self.store, self.clock
        )
        self.head_revision = ABSENT
        self.blob_entries = ()

    def accept(self, number):
        head, contents = build_version(number)
        for entry in self.blob_entries:
            self.store.delete(entry.key, entry.revision)
        self.blob_entries = [
            self.store.put(blob_key(hash), content, ABSENT)
            for hash, content in contents.items()
        ]
        entry = self.store.put(HEAD, encode_json(head), self.head_revision)
        self.head_revision = entry.revision
        return head

    def play(self, announce):
        """Announce a version each GAP_SECONDS; return when the first one was there."""
        for number in range(1, VERSIONS + 1):
            announce(self.accept(number))
            while (fetch := self.replicator.next_fetch()) is not None:
                self.replicator.pull(*fetch)
            if self.configuration.head.version:
                return self.clock.time
            self.clock.advance(GAP_SECONDS)
        return None

    def test_the_store_is_asked_after_its_time_though_new_versions_keep_coming(self):
        came_at = self.play(lambda head: self.replicator.handle_peer_head(head, "p1"))
        self.assertIsNotNone(came_at)
        self.assertLessEqual(came_at, STORE_FALLBACK_SECONDS + GAP_SECONDS)

    def test_new_versions_do_not_put_off_a_watcher_that_gives_peers_some_time(self):
        delay = 1.5 * GAP_SECONDS
        came_at = self.play(lambda head: self.replicator.handle_store_head(head, delay))
        self.assertIsNotNone(came_at)
        self.assertLessEqual(came_at, delay + GAP_SECONDS)

    def test_a_version_that_the_store_has_replaced_brings_the_newest_one(self):
        old = self.accept(1)
        self.accept(2)
        self.replicator.handle_store_head(old)
        self.replicator.pull(*self.replicator.next_fetch())
        self.assertEqual(self.configuration.head.version, 2)


class LargeVersionTests(unittest.TestCase):
    """A first start from the store, with more blobs than a node may read at once."""

    def test_a_version_of_more_blobs_than_the_read_budget_comes_into_force(self):
        customers = {f"customer-{number}": "gold" for number in range(CUSTOMERS)}
        head, contents = build_version(1, build_numbered_lists(1, customers))
        self.assertGreater(len(contents), STORE_READ_BURST)
        store = FakeStore()
        for hash, content in contents.items():
            store.put(blob_key(hash), content, ABSENT)
        configuration = Configuration()
        replicator = Replicator(
            configuration, FakeControlPeers({}), store, SystemClock()
        )
        replicator.start()
        self.addCleanup(replicator.stop)
        replicator.handle_store_head(head)
        wait_until(lambda: configuration.head == head, WAIT_SECONDS, "in force")


class FailingReadsStore(FakeStore):
    """Fails each FAILING_READth read."""

    FAILING_READ = 10

    reads = 0

    def get(self, key):
        self.reads += 1
        if self.reads % self.FAILING_READ == 0:
            raise StoreUnavailableError("the store is busy; try again later")
        return super().get(key)


class StoreSourceTests(unittest.TestCase):
    """Reads of the store beyond the budget, which wait for it."""

    def setUp(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        _, contents = build_version(1)
        for hash, content in contents.items():
            self.store.put(blob_key(hash), content, ABSENT)
        self.contents = contents
        self.pauses = []
        budget = TokenBucket(rate=1.0, burst=1, clock=self.clock)
        self.source = StoreSource(self.store, budget, self.pause)

    def pause(self, seconds):
        self.pauses.append(seconds)
        self.clock.advance(seconds)
        return False

    def test_reads_beyond_the_budget_wait_for_it(self):
        self.assertEqual(self.source.fetch(self.contents), self.contents)
        self.assertEqual(self.pauses, [1.0] * (len(self.contents) - 1))

    def test_a_fetch_that_waits_ends_when_its_version_is_no_longer_wanted(self):
        with self.assertRaises(StoreUnavailableError):
            self.source.fetch(self.contents, is_wanted=lambda: False)
        self.assertEqual(len(self.pauses), 1)

    def test_a_fetch_that_a_failed_read_ended_keeps_the_blobs_that_it_had(self):
        customers = {f"customer-{number}": "gold" for number in range(CUSTOMERS)}
        _, contents = build_version(1, build_numbered_lists(1, customers))
        store = FailingReadsStore()
        for hash, content in contents.items():
            store.put(blob_key(hash), content, ABSENT)
        budget = TokenBucket(rate=1.0, burst=len(contents) * 2, clock=self.clock)
        source = StoreSource(store, budget, self.pause)
        fetched = None
        while fetched is None and store.reads < 2 * len(contents):
            with contextlib.suppress(StoreUnavailableError):
                fetched = source.fetch(contents)
        self.assertEqual(fetched, contents)

    def test_a_fetch_that_waits_ends_when_the_node_stops(self):
        source = StoreSource(
            self.store, TokenBucket(1.0, 1, self.clock), pause=lambda seconds: True
        )
        with self.assertRaises(StoreUnavailableError):
            source.fetch(self.contents)


class SilentSourceTests(unittest.TestCase):
    def test_a_source_that_does_not_answer_does_not_hold_up_the_others(self):
        head, contents = build_version(1)
        holder = Configuration()
        holder.put_in_force(head, contents)
        peer = Replicator(holder, FakeControlPeers({}), FakeStore(), SystemClock())
        release, is_asked = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def be_silent(message):
            is_asked.set()
            release.wait(3 * WAIT_SECONDS)
            raise PeerUnavailableError("silent; ask another peer")

        configuration = Configuration()
        peers = FakeControlPeers({"silent": be_silent, "sound": peer.serve})
        replicator = Replicator(configuration, peers, FakeStore(), SystemClock())
        replicator.start()
        self.addCleanup(replicator.stop)
        replicator.handle_peer_head(head, "silent")
        self.assertTrue(is_asked.wait(WAIT_SECONDS))
        replicator.handle_peer_head(head, "sound")
        wait_until(lambda: configuration.head == head, WAIT_SECONDS, "in force")
        self.assertFalse(release.is_set())

    def test_a_fetch_that_another_one_has_overtaken_asks_for_nothing_more(self):
        head, contents = build_version(1)
        configuration = Configuration()
        requests = []

        def serve(message):
            requests.append(message)
            configuration.put_in_force(head, contents)
            return FetchReply({}, head)

        peers = FakeControlPeers({"p1": serve})
        replicator = Replicator(configuration, peers, FakeStore(), FakeClock())
        replicator.handle_peer_head(head, "p1")
        replicator.pull(*replicator.next_fetch())
        self.assertEqual(len(requests), 1)
        self.assertIsNone(replicator.next_fetch())
