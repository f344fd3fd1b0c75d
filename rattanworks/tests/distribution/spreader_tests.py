import unittest

from hypothesis import given
from hypothesis import strategies as st

from rattanworks.bench.fleet import wait_until
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.keys import blob_key
from rattanworks.distribution.replicator import STORE_FALLBACK_SECONDS, Replicator
from rattanworks.distribution.sources import MAX_FETCHES
from rattanworks.distribution.validation import validate_version
from rattanworks.exceptions import VersionRefusedError
from rattanworks.model.control import FetchRequest
from rattanworks.model.lists import Customer, OperatorLists, Plan, ServiceUse
from rattanworks.ports.base import ABSENT
from rattanworks.tests.builders import (
    build_numbered_lists,
    build_version,
    fetch_reply,
)
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, FakeStore

RETRY_SECONDS = 3.0
LIMIT_SECONDS = 30.0


class ReplicatorTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.peers = FakeControlPeers({})
        self.store = FakeStore()
        self.validate = lambda manifest, lists: None
        self.configuration = Configuration(
            lambda manifest, lists: self.validate(manifest, lists)
        )
        self.replicator = Replicator(
            self.configuration, self.peers, self.store, self.clock
        )

    def serve(self, address, contents):
        self.peers.handlers_by_address[address] = lambda message: fetch_reply(
            {hash: contents[hash] for hash in message.hashes if hash in contents}
        )

    def put_in_store(self, contents):
        for hash, content in contents.items():
            self.store.put(blob_key(hash), content, ABSENT)

    def fetch_all_due(self):
        """Run every fetch that is due."""
        while (fetch := self.replicator.next_fetch()) is not None:
            self.replicator.pull(*fetch)

    def announce(self, head, address):
        self.replicator.handle_peer_head(head, address)
        self.fetch_all_due()

    def wait_for_requests(self, count):
        wait_until(lambda: len(self.peers.requests) >= count, LIMIT_SECONDS, "asked")

    @property
    def version(self):
        return self.configuration.head.version

    def test_fetches_go_on_after_an_unexpected_error(self):
        head, contents = build_version(1, build_numbered_lists(0, {"a": "gold"}))

        def meet_defect(message):
            raise RuntimeError("a defect")

        self.replicator.start()
        self.addCleanup(self.replicator.stop)
        for number in range(MAX_FETCHES):
            self.peers.handlers_by_address[f"bad-{number}"] = meet_defect
            self.replicator.handle_peer_head(head, f"bad-{number}")
            self.wait_for_requests(number + 1)
        self.serve("p2", contents)
        self.replicator.handle_peer_head(head, "p2")
        wait_until(lambda: self.version == 1, LIMIT_SECONDS, "in force")

    def test_only_missing_blobs_are_fetched(self):
        first, contents = build_version(1, build_numbered_lists(0, {"a": "gold"}))
        self.serve("p1", contents)
        self.announce(first, "p1")
        second, more = build_version(2, build_numbered_lists(0, {"a": "tin"}))
        self.serve("p1", more)
        self.peers.requests.clear()
        self.announce(second, "p1")
        requested = [
            hash for _, message in self.peers.requests for hash in message.hashes
        ]
        self.assertEqual(self.version, 2)
        self.assertEqual(set(requested), more.keys() - contents.keys())

    def test_a_corrupt_blob_is_fetched_from_another_peer(self):
        head, contents = build_version(1)
        corrupt = {hash: content[:-1] + b"?" for hash, content in contents.items()}
        self.serve("bad", corrupt | {head.manifest_hash: contents[head.manifest_hash]})
        self.serve("good", contents)
        self.announce(head, "bad")
        self.assertEqual(self.version, 0)
        self.announce(head, "good")
        self.assertEqual(self.version, 1)
        self.assertEqual(self.configuration.refused, ())

    def test_a_failed_source_is_retried_without_another_announcement(self):
        head, contents = build_version(1)
        self.announce(head, "p1")
        self.assertEqual(self.version, 0)
        self.serve("p1", contents)
        self.clock.advance(RETRY_SECONDS)
        self.fetch_all_due()
        self.assertEqual(self.version, 1)

    def test_the_store_is_asked_when_no_peer_has_the_version(self):
        head, contents = build_version(1)
        self.put_in_store(contents)
        self.announce(head, "p1")
        self.assertEqual(self.version, 0)
        self.clock.advance(STORE_FALLBACK_SECONDS + 0.1)
        self.announce(head, "p1")
        self.assertEqual(self.version, 1)

    def test_an_invalid_version_is_not_retried_but_served_to_peers(self):
        self.validate = self.refuse
        refused_heads = []
        self.replicator.on_refused = lambda: refused_heads.append(self.replicator.head)
        head, contents = build_version(1)
        self.serve("p1", contents)
        self.announce(head, "p1")
        self.assertEqual(refused_heads, [head])
        request_count = len(self.peers.requests)
        self.clock.advance(RETRY_SECONDS)
        self.announce(head, "p2")
        self.assertEqual((self.version, len(self.peers.requests)), (0, request_count))
        self.assertEqual(self.configuration.refused[0].version, 1)
        self.assertEqual(self.replicator.head, head)
        reply = self.replicator.serve(FetchRequest(tuple(contents)))
        self.assertEqual(reply, fetch_reply(contents))

    def refuse(self, manifest, lists):
        if manifest.version in (1, 3):
            raise VersionRefusedError("not on this node; apply a corrected version")

    def test_after_an_invalid_version_a_corrected_one_comes_into_force(self):
        self.validate = self.refuse
        for number, version in ((1, 0), (2, 2), (3, 2), (4, 4)):
            head, contents = build_version(number)
            self.serve("p1", contents)
            self.announce(head, "p1")
            self.assertEqual(self.version, version)
        self.assertEqual(self.configuration.refused, ())

    def test_a_new_node_falls_back_to_the_parent_of_an_invalid_version(self):
        self.validate = self.refuse
        parent, contents = build_version(2)
        head, more = build_version(3, parent_hash=parent.manifest_hash)
        self.serve("p1", contents | more)
        self.announce(head, "p1")
        self.assertEqual(self.version, 2)

    @given(st.permutations(range(1, 6)), st.lists(st.integers(1, 5), max_size=5))
    def test_updates_out_of_order_never_restore_an_older_version(self, order, again):
        self.setUp()
        versions = []
        self.configuration.add_listener(lambda: versions.append(self.version))
        for number in [*order, *again]:
            head, contents = build_version(number)
            self.serve(f"p{number}", contents)
            self.announce(head, f"p{number}")
        self.assertEqual(versions, sorted(set(versions)))
        self.assertEqual(self.version, 5)

    def test_a_late_answer_does_not_replace_a_newer_version(self):
        old, old_contents = build_version(1)
        new, new_contents = build_version(2)
        self.serve("p2", new_contents)

        def serve_after_update(message):
            self.configuration.put_in_force(new, new_contents)
            return fetch_reply(old_contents)

        self.peers.handlers_by_address["p1"] = serve_after_update
        self.announce(old, "p1")
        self.assertEqual(self.version, 2)


class ValidationTests(unittest.TestCase):
    def test_entries_out_of_bounds_are_refused_on_the_node(self):
        use = ServiceUse("catalogue", 10.0, 10, ("/catalogue",))
        invalid = (
            OperatorLists.of((), [Plan("gold", 99, (use,))]),
            OperatorLists.of((), [Plan("gold", 1, (ServiceUse("x", -1, 1, ()),))]),
            OperatorLists.of([Customer("../a", "gold")], [Plan("gold", 1, (use,))]),
            OperatorLists.of([Customer("a", "gone")], [Plan("gold", 1, (use,))]),
        )
        for lists in invalid:
            with self.subTest(lists), self.assertRaises(VersionRefusedError):
                Configuration(validate_version).put_in_force(*build_version(1, lists))
