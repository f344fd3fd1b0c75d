import unittest

from rattanworks.audit.trail import trail_entries
from rattanworks.distribution.archive import Archive
from rattanworks.distribution.collector import GarbageCollector
from rattanworks.distribution.keys import BLOBS_PREFIX
from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import ConflictError, ContentCollectedError
from rattanworks.tests.builders import build_numbered_lists
from rattanworks.tests.fakes import FakeClock, FakeStore


class InterleavingStore(FakeStore):
    """Calls an action once, before the next delete or the next put of a prefix.

    ``before_put`` is a pair of the prefix and the action.
    """

    before_delete = None
    before_put = None

    def delete(self, key, expected_revision):
        action, self.before_delete = self.before_delete, None
        if action:
            action()
        super().delete(key, expected_revision)

    def put(self, key, value, expected_revision, lease_id=""):
        prefix, action = self.before_put or ("-", None)
        if key.startswith(prefix):
            self.before_put = None
            action()
        return super().put(key, value, expected_revision, lease_id)


def no_sleep(seconds):
    pass


class CollectorTests(unittest.TestCase):
    def setUp(self):
        self.store = InterleavingStore()
        self.publisher = Publisher(self.store, FakeClock(), no_sleep)
        for number in range(6):
            self.accept(number)

    def accept(self, number):
        lists = build_numbered_lists(number)
        return self.publisher.accept(lists, self.publisher.current(), "ana", "")

    def collect(self, keep=2):
        return GarbageCollector(self.store).collect(keep)

    def current_lists(self):
        archive = Archive(self.store)
        return archive.lists(archive.current().manifest)

    def test_newest_versions_and_the_audit_trail_are_kept(self):
        blobs = len(self.store.list(BLOBS_PREFIX).entries)
        collection = self.collect()
        self.assertEqual((collection.kept_from, collection.deleted_blobs), (5, 4))
        self.assertEqual(len(self.store.list(BLOBS_PREFIX).entries), blobs - 4)
        self.assertEqual(self.current_lists(), build_numbered_lists(5))
        entries = list(trail_entries(Archive(self.store), 10))
        self.assertEqual(
            [entry.changes is None for entry in entries], [False] + [True] * 5
        )
        with self.assertRaises(ContentCollectedError):
            archive = Archive(self.store)
            archive.lists(archive.version(1).manifest)
        self.assertEqual(self.collect().deleted_blobs, 0)

    def test_an_accept_that_began_before_a_collection_rewrites_its_blobs(self):
        # The publisher found the old blobs in the store; then, before it wrote the
        # head, a collection deleted them.
        self.store.before_put = ("shared/head", self.collect)
        self.accept(0)
        self.assertEqual(self.current_lists(), build_numbered_lists(0))

    def test_an_accept_during_the_deletions_keeps_its_blobs(self):
        self.store.before_delete = lambda: self.accept(3)
        self.collect()
        self.assertEqual(self.current_lists(), build_numbered_lists(3))

    def test_nothing_is_deleted_when_a_version_is_accepted_meanwhile(self):
        blobs = {entry.key for entry in self.store.list(BLOBS_PREFIX).entries}
        self.store.before_put = ("shared/head", lambda: self.accept(9))
        with self.assertRaises(ConflictError):
            self.collect()
        after = {entry.key for entry in self.store.list(BLOBS_PREFIX).entries}
        self.assertEqual(blobs - after, set())
