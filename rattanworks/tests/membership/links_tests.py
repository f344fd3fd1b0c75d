import threading
import time
import unittest

from rattanworks.membership.gossip import (
    MAX_DIFFERENCE_SECONDS,
    MIN_STABLE_SECONDS,
    Gossiper,
)
from rattanworks.membership.links import (
    MAX_ROWS_IN_MESSAGE,
    SPACING_SECONDS,
    PeerLink,
    PendingUpdates,
)
from rattanworks.membership.members import Members
from rattanworks.model.control import (
    Gossip,
    Heartbeat,
    HeartbeatReply,
    SyncReply,
    SyncRequest,
)
from rattanworks.model.crash import CrashReport
from rattanworks.model.endpoint import EndpointState
from rattanworks.model.version import NO_HEAD, Head
from rattanworks.quarantine.reports import CrashReports
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, NetworkControlPeers
from rattanworks.tests.membership.mesh import SETTINGS, Heads, Mesh
from rattanworks.utils.precedence_table import PrecedenceTable

TIMEOUT_SECONDS = 20.0


class FakeExchange:
    """Records what a link sends; ``error``, if set, is raised by the next update."""

    def __init__(self):
        self.sent = []
        self.heartbeats = 0
        self.error = None
        self.changed = threading.Condition()

    def send_updates(self, record, updates):
        with self.changed:
            self.sent.append(updates)
            self.changed.notify_all()
        error, self.error = self.error, None
        if error:
            raise error
        return True

    def send_heartbeat(self, record):
        with self.changed:
            self.heartbeats += 1
            self.changed.notify_all()
        return True

    def wait(self, condition):
        with self.changed:
            return self.changed.wait_for(condition, TIMEOUT_SECONDS)


class PeerLinkTests(unittest.TestCase):
    def setUp(self):
        self.exchange = FakeExchange()
        self.link = PeerLink(build_record("peer"), self.exchange, 0.05)
        self.addCleanup(self.link.close)

    def sent_rows(self):
        return [
            row for updates in self.exchange.sent for row in updates.records.values()
        ]

    def test_news_in_a_row_share_messages(self):
        """When many nodes start at once, each of them is news on each link."""
        link = PeerLink(build_record("peer"), self.exchange, TIMEOUT_SECONDS)
        self.addCleanup(link.close)
        link.start()
        began = time.monotonic()
        for number in range(100):
            link.offer(records=[build_record(f"node-{number}")])
            # The link's thread gets time to send each row by itself.
            time.sleep(0.005)
        self.assertTrue(self.exchange.wait(lambda: len(self.sent_rows()) == 100))
        elapsed = time.monotonic() - began
        self.assertLessEqual(len(self.exchange.sent), 2 + elapsed / SPACING_SECONDS)

    def test_updates_without_a_pause_do_not_put_off_heartbeats(self):
        """A heartbeat finds what an update that was lost has left different."""
        link = PeerLink(build_record("peer"), self.exchange, 3 * SPACING_SECONDS)
        self.addCleanup(link.close)
        link.start()
        self.assertTrue(self.exchange.wait(lambda: self.exchange.heartbeats))
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while self.exchange.heartbeats < 2 and time.monotonic() < deadline:
            link.offer(records=[build_record("n1")])
            time.sleep(0.005)
        self.assertGreaterEqual(self.exchange.heartbeats, 2)

    def test_an_older_row_offered_later_does_not_replace_a_newer_one(self):
        self.link.offer(records=[build_record(incarnation=2)])
        self.link.offer(records=[build_record(state=EndpointState.GONE)])
        self.link.start()
        self.assertTrue(self.exchange.wait(self.sent_rows))
        self.assertEqual(self.sent_rows(), [build_record(incarnation=2)])

    def test_many_rows_go_in_bounded_messages(self):
        rows = [build_record(f"n{number}") for number in range(600)]
        self.link.offer(records=rows)
        self.link.start()
        self.assertTrue(self.exchange.wait(lambda: len(self.sent_rows()) == 600))
        self.assertTrue(self.link.wait_until_sent(time.monotonic() + TIMEOUT_SECONDS))
        sizes = [len(updates.records) for updates in self.exchange.sent]
        self.assertLessEqual(max(sizes), MAX_ROWS_IN_MESSAGE)

    def test_heartbeats_go_on_after_an_unexpected_error(self):
        self.exchange.error = RuntimeError("unexpected")
        self.link.offer(has_head=True)
        self.link.start()
        self.assertTrue(self.exchange.wait(lambda: self.exchange.heartbeats >= 2))

    def test_rows_that_the_neighbour_sent_are_not_sent_back(self):
        row = build_record("n1")
        self.link.offer(records=[row])
        self.link.discard([row], [])
        self.link.start()
        self.assertTrue(self.exchange.wait(lambda: self.exchange.heartbeats))
        self.assertEqual(self.exchange.sent, [])


class GossiperUpdatesTests(unittest.TestCase):
    def test_a_refutation_is_forwarded_instead_of_the_refuted_record(self):
        members = Members(build_record("own"))
        services = PrecedenceTable(lambda state: state.service)
        gossiper = Gossiper(
            members, services, Heads(), FakeControlPeers(), FakeClock(), SETTINGS
        )
        exchange = FakeExchange()
        link = PeerLink(build_record("peer"), exchange, 0.05)
        self.addCleanup(link.close)
        gossiper.links_by_node["peer"] = link
        members.table.merge((build_record("own", state=EndpointState.GONE),))
        link.start()
        self.assertTrue(exchange.wait(lambda: exchange.sent))
        rows = [row for updates in exchange.sent for row in updates.records.values()]
        self.assertEqual(rows, [members.own])

    def test_a_crash_report_is_sent_on_with_the_age_that_it_has_by_then(self):
        clock = FakeClock(100.0)
        crashes = CrashReports(clock)
        peers = FakeControlPeers()
        gossiper = Gossiper(
            Members(build_record("own")),
            PrecedenceTable(lambda state: state.service),
            Heads(),
            peers,
            clock,
            SETTINGS,
            crashes=crashes,
        )
        self.addCleanup(gossiper.detector.stop)
        exchange = FakeExchange()
        for name in ("sender", "peer"):
            link = PeerLink(build_record(name), exchange, 5.0)
            self.addCleanup(link.close)
            gossiper.links_by_node[name] = link
        report = CrashReport("call", "server", 1.0)
        gossiper.receive(Gossip("sender", "x", crashes=(report,)))
        self.assertFalse(gossiper.links_by_node["sender"]._pending)
        clock.advance(0.5)
        updates = gossiper.links_by_node["peer"]._pending
        gossiper.send_updates(build_record("peer"), updates)
        _, message = peers.requests[-1]
        self.assertEqual(message.crashes, (CrashReport("call", "server", 1.5),))

    def test_a_message_of_rows_alone_gets_no_head_in_reply(self):
        members = Members(build_record("own"))
        services = PrecedenceTable(lambda state: state.service)
        head = Head(3, "hash")
        gossiper = Gossiper(
            members, services, Heads(head), FakeControlPeers(), FakeClock(), SETTINGS
        )
        self.assertEqual(gossiper.receive(Gossip("new", "x")).head, head)
        updates = Gossip("new", "x", records=(build_record("new"),))
        self.assertEqual(gossiper.receive(updates).head, NO_HEAD)
        self.assertIn("new", members.by_node)


class RepairTests(unittest.TestCase):
    def test_a_difference_is_repaired_although_the_tables_keep_changing(self):
        peer = build_record("peer", control_address="127.0.0.1:9")
        clock, requests = FakeClock(), []

        def serve(message):
            requests.append(message)
            if isinstance(message, Heartbeat):
                return HeartbeatReply("peer", 1, 0, digest=1)
            return SyncReply(NO_HEAD)

        members = Members(build_record("own"))
        gossiper = Gossiper(
            members,
            PrecedenceTable(lambda state: state.service),
            Heads(),
            FakeControlPeers({peer.control_address: serve}),
            clock,
            SETTINGS,
        )
        self.addCleanup(gossiper.detector.stop)
        while clock.time < 2 * MAX_DIFFERENCE_SECONDS:
            members.table.merge((build_record(f"n-{clock.time}"),))
            gossiper.send_heartbeat(peer)
            clock.advance(MIN_STABLE_SECONDS / 2)
        kinds = [type(message) for message in requests]
        self.assertIn(SyncRequest, kinds)
        self.assertLessEqual(kinds.count(SyncRequest), 2)


class AfterPauseTests(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(["a1", "b1"])
        self.peer = self.mesh["b1"].members.own
        own = self.mesh["a1"].members.own
        peers = NetworkControlPeers(self.mesh.network, own.control_address)
        self.clock = FakeClock(100.0)
        self.members = Members(own)
        services = PrecedenceTable(lambda state: state.service)
        self.gossiper = Gossiper(
            self.members, services, Heads(), peers, self.clock, SETTINGS
        )
        self.addCleanup(self.gossiper.detector.stop)
        self.updates = PendingUpdates()
        self.updates.records = {"n1": build_record("n1")}

    def kinds_sent(self):
        return [type(message) for _, _, message in self.mesh.network.requests]

    def test_a_resumed_node_synchronizes_before_it_sends_updates(self):
        self.clock.advance(10)
        self.assertTrue(self.gossiper.send_updates(self.peer, self.updates))
        kinds = self.kinds_sent()
        self.assertEqual(kinds[0], SyncRequest)
        self.assertEqual(kinds[-1], Gossip)
        self.assertFalse(self.gossiper.guard.may_suspect)

    def test_a_resumed_node_learns_of_its_removal_and_refutes_it(self):
        peer_members = self.mesh["b1"].members
        peer_members.remove(peer_members.by_node["a1"])
        self.clock.advance(10)
        # The refutation of the removal is queued on every link, of which this is one.
        link = PeerLink(self.peer, self.gossiper, 0.05)
        self.addCleanup(link.close)
        self.gossiper.links_by_node["b1"] = link
        self.gossiper.send_updates(self.peer, self.updates)
        link.start()
        self.assertTrue(link.wait_until_sent(time.monotonic() + TIMEOUT_SECONDS))
        self.assertEqual(peer_members.by_node["a1"], self.members.own)
        self.assertTrue(self.mesh["b1"].considers_present("a1"))

    def test_a_resumed_node_sends_nothing_while_no_peer_answers(self):
        self.mesh.kill("b1")
        self.clock.advance(10)
        self.assertFalse(self.gossiper.send_updates(self.peer, self.updates))
        self.assertEqual(self.kinds_sent(), [])
        self.assertTrue(self.gossiper.guard.needs_sync)
