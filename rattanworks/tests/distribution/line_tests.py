"""Nodes in a line, each of which gets heads and blobs only from its neighbours."""

import unittest

from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.replicator import Replicator
from rattanworks.exceptions import VersionRefusedError
from rattanworks.model.control import FetchReply
from rattanworks.tests.builders import build_version
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, FakeStore

NODES = 5
RETRY_SECONDS = 3.0


class LineTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.peers = FakeControlPeers({})
        self.refusing = set()
        self.replicators = []
        self.configurations = []
        for number in range(NODES):
            self.add_node(number)

    def add_node(self, number):
        def validate(manifest, lists):
            if number in self.refusing:
                raise VersionRefusedError("refused here; apply a corrected version")

        configuration = Configuration(validate)
        replicator = Replicator(configuration, self.peers, FakeStore(), self.clock)
        self.peers.handlers_by_address[str(number)] = replicator.serve
        self.configurations.append(configuration)
        self.replicators.append(replicator)

    def heartbeat(self):
        """Make every node announce its head to its neighbours, which fetch it."""
        for _ in range(NODES):
            self.clock.advance(RETRY_SECONDS)
            for number, replicator in enumerate(self.replicators):
                for other in (number - 1, number + 1):
                    if 0 <= other < NODES:
                        self.announce(self.replicators[other], replicator.head, number)

    def announce(self, replicator, head, sender):
        replicator.handle_peer_head(head, str(sender))
        while (fetch := replicator.next_fetch()) is not None:
            replicator.pull(*fetch)

    def versions(self):
        return [configuration.head.version for configuration in self.configurations]

    def accept(self, number):
        self.configurations[0].put_in_force(*build_version(number))

    def test_a_node_that_refuses_a_version_relays_it(self):
        self.accept(1)
        self.heartbeat()
        self.refusing = {2}
        self.accept(2)
        self.heartbeat()
        self.assertEqual(self.versions(), [2, 2, 1, 2, 2])
        self.refusing = set()
        self.accept(3)
        self.heartbeat()
        self.assertEqual(self.versions(), [3] * NODES)

    def test_a_blob_corrupted_on_one_link_is_fetched_again(self):
        serve = self.peers.handlers_by_address["1"]
        answers = iter([True, True, True])

        def corrupting(message):
            reply = serve(message)
            if not next(answers, False):
                return reply
            return FetchReply({hash: b"?" for hash in reply.compressed_by_hash})

        self.peers.handlers_by_address["1"] = corrupting
        self.accept(1)
        self.heartbeat()
        self.assertEqual(self.versions(), [1] * NODES)
        self.assertIsNone(next(answers, None))

    def test_a_stale_head_does_not_replace_a_newer_version(self):
        self.accept(2)
        self.heartbeat()
        stale, _ = build_version(1)
        for number, replicator in enumerate(self.replicators):
            self.announce(replicator, stale, number)
        self.assertEqual(self.versions(), [2] * NODES)
