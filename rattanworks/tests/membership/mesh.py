"""Membership components of nodes in one process, connected by a FakeNetwork."""

import random
from dataclasses import dataclass

from rattanworks.membership.detector import FailureDetector
from rattanworks.membership.members import Members
from rattanworks.membership.pause import PauseGuard
from rattanworks.membership.sync import Reconciler, Tables
from rattanworks.model.control import (
    Gossip,
    GossipReply,
    Heartbeat,
    HeartbeatReply,
    RowsRequest,
    SilenceCheck,
    SnapshotRequest,
    SyncRequest,
)
from rattanworks.model.endpoint import EndpointState
from rattanworks.model.version import NO_HEAD
from rattanworks.quarantine.reports import CrashReports
from rattanworks.settings.node import MembershipSettings
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock, FakeNetwork, NetworkControlPeers
from rattanworks.utils.precedence_table import PrecedenceTable

SETTINGS = MembershipSettings(
    contacts=(),
    heartbeat_seconds=2.0,
    suspect_seconds=4.0,
    domain_hold_seconds=30.0,
    forget_seconds=600.0,
)
MAX_TICK_GAP_SECONDS = 2.0


@dataclass(slots=True)
class Heads:
    """Has the attribute ``head``, all that Tables needs of its ``heads``."""

    head: object = NO_HEAD


class MeshNode:
    """The membership components of one node, without the threads of its Gossiper."""

    def __init__(self, network, record, seed):
        self.clock = FakeClock(100.0)
        self.members = Members(record)
        self.services = PrecedenceTable(lambda state: state.service)
        peers = NetworkControlPeers(network, record.control_address)
        rng = random.Random(seed)
        self.guard = PauseGuard(
            self.clock, MAX_TICK_GAP_SECONDS, SETTINGS.suspect_seconds
        )
        self.detector = FailureDetector(
            self.members, peers, self.guard, self.clock, SETTINGS, rng
        )
        self.crashes = CrashReports(self.clock)
        tables = Tables(self.members, self.services, Heads(), self.crashes)
        self.reconciler = Reconciler(tables, peers, self.clock, rng)
        network.handlers_by_address[record.control_address] = {
            Heartbeat: self.receive_heartbeat,
            Gossip: self.receive,
            SyncRequest: self.reconciler.receive_sync,
            RowsRequest: self.reconciler.receive_rows,
            SnapshotRequest: self.reconciler.receive_snapshot,
            SilenceCheck: self.detector.receive_check,
        }

    @property
    def name(self):
        return self.members.own.node

    @property
    def address(self):
        return self.members.own.control_address

    def receive_heartbeat(self, message):
        own = self.members.own
        return HeartbeatReply(own.node, own.incarnation, 0, 0)

    def receive(self, message):
        self.members.table.merge(message.records)
        return GossipReply(NO_HEAD)

    def state_of(self, name):
        return self.members.by_node[name].state

    def considers_present(self, name):
        return self.state_of(name) != EndpointState.GONE


class Mesh:
    """Nodes that know each other, by name: ``a1`` is the first of domain ``a``."""

    def __init__(self, names, seed=1):
        self.network = FakeNetwork()
        records = [
            build_record(
                name, failure_domain=name[0], control_address=f"127.0.0.1:{port}"
            )
            for port, name in enumerate(names, 1000)
        ]
        self.nodes_by_name = {}
        for offset, record in enumerate(records):
            node = MeshNode(self.network, record, seed + offset)
            node.members.table.merge(records)
            self.nodes_by_name[record.node] = node

    def __getitem__(self, name):
        return self.nodes_by_name[name]

    def addresses(self, *names):
        return [self[name].address for name in names]

    def kill(self, *names):
        self.network.dead.update(self.addresses(*names))

    def cut(self, senders, receivers):
        self.network.cut(self.addresses(*senders), self.addresses(*receivers))

    def advance_time(self, seconds):
        """Advance the clocks of all nodes, with no messages between them."""
        remaining = seconds
        while remaining > 0:
            for node in self.nodes_by_name.values():
                node.clock.advance(min(1.0, remaining))
                node.guard.tick()
            remaining -= 1.0

    def evaluate(self, observer, suspect):
        """Let one node evaluate another; return whether it removed it."""
        record = self[observer].members.by_node[suspect]
        return self[observer].detector.evaluate(record)
