import random
import unittest

from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.publisher import Publisher
from rattanworks.distribution.replicator import Replicator
from rattanworks.distribution.startup import StartupSync
from rattanworks.membership.members import Members
from rattanworks.model.control import HeadReply
from rattanworks.model.version import NO_HEAD
from rattanworks.tests.builders import (
    build_lists,
    build_record,
    build_version,
    fetch_reply,
)
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, FakeStore, by_type

LATER_SECONDS = 10.0


class StartupTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.peers = FakeControlPeers({})
        self.members = Members(build_record("own", failure_domain="a"))
        self.configuration = Configuration()
        self.replicator = Replicator(
            self.configuration, self.peers, self.store, self.clock
        )
        self.startup = StartupSync(
            self.store,
            self.configuration,
            self.replicator,
            self.members,
            self.peers,
            self.clock,
            random.Random(1),
        )

    def add_peer(self, name, domain, version, is_informed=True, is_silent=False):
        record = build_record(name, failure_domain=domain, control_address=name)
        self.members.table.merge((record,))
        head, contents = build_version(version) if version else (NO_HEAD, {})
        if not is_silent:
            self.peers.handlers_by_address[name] = by_type(
                HeadRequest=lambda message: HeadReply(head, is_informed),
                FetchRequest=lambda message: fetch_reply(contents),
            )

    def synchronize(self):
        """Try, fetch the announced heads, and try again."""
        self.startup.try_once()
        self.clock.advance(LATER_SECONDS)
        while (fetch := self.replicator.next_fetch()) is not None:
            self.replicator.pull(*fetch)
        return self.startup.try_once()

    def test_the_first_node_of_a_new_mesh_may_serve(self):
        self.assertTrue(self.startup.try_once())

    def test_the_stores_head_must_be_in_force(self):
        publisher = Publisher(self.store, self.clock)
        publisher.accept(build_lists(), publisher.current(), "ana", "")
        self.assertFalse(self.startup.try_once())
        self.assertTrue(self.synchronize())
        self.assertEqual(self.configuration.head.version, 1)

    def test_the_highest_head_decides_in_an_outage(self):
        self.store.is_down = True
        self.add_peer("p1", "a", 3)
        self.add_peer("p2", "a", 3)
        self.add_peer("p3", "b", 5)
        self.assertTrue(self.synchronize())
        self.assertEqual(self.configuration.head.version, 5)

    def test_a_silent_peer_in_another_domain_prevents_the_start(self):
        self.store.is_down = True
        self.add_peer("p1", "a", 3)
        self.add_peer("p2", "b", 0, is_silent=True)
        self.assertFalse(self.synchronize())

    def test_one_of_two_peers_is_not_enough(self):
        self.store.is_down = True
        self.add_peer("p1", "a", 3)
        self.add_peer("p2", "a", 0, is_silent=True)
        self.assertFalse(self.synchronize())

    def test_one_failure_domain_is_not_enough_while_another_is_known(self):
        self.store.is_down = True
        for number in range(3):
            self.add_peer(f"p{number}", "a", 3)
        self.add_peer("q", "b", 0, is_silent=True)
        self.assertFalse(self.synchronize())

    def test_peers_that_are_starting_are_ignored(self):
        self.store.is_down = True
        for number, domain in enumerate("abc"):
            self.add_peer(f"p{number}", domain, 0, is_informed=False)
        self.assertFalse(self.synchronize())
        self.add_peer("q", "b", 4)
        self.assertTrue(self.synchronize())
        self.assertEqual(self.configuration.head.version, 4)

    def test_the_store_decides_once_it_is_available_again(self):
        self.store.is_down = True
        self.assertFalse(self.synchronize())
        self.store.is_down = False
        self.assertTrue(self.synchronize())
