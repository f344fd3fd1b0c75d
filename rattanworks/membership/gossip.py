"""Exchange of news with neighbours and upkeep of the links to them."""

import operator
import random
import threading
import time

from rattanworks.exceptions import PeerUnavailableError
from rattanworks.membership.contacts import ContactSchedule
from rattanworks.membership.detector import FailureDetector
from rattanworks.membership.links import PeerLink
from rattanworks.membership.neighbours import Rings
from rattanworks.membership.pause import PauseGuard
from rattanworks.membership.sync import Reconciler, Tables
from rattanworks.model.control import (
    Gossip,
    GossipReply,
    Heartbeat,
    HeartbeatReply,
)
from rattanworks.model.endpoint import EndpointState
from rattanworks.model.version import NO_HEAD
from rattanworks.utils.digest import combined_digest
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

PEER_TIMEOUT_SECONDS = 1.0
MIN_REFRESH_SECONDS = 0.1
SETTLE_SECONDS = 1.0
URGENT_STATES = (EndpointState.SERVING, EndpointState.LEAVING)
TICK_SECONDS = 0.9
PAUSE_SECONDS = 2.5


class Gossiper:
    """Keeps a link to each neighbour and hands news on to all of them.

    ``on_head`` is called with a Head and the control address of the peer that
    told it. ``heads`` has the attribute ``head``. ``contacts`` returns control
    addresses of nodes that must be among the members, for an occasional check.
    """

    def __init__(self, members, services, heads, peers, clock, settings, rng=None):
        self._members = members
        self._services = services
        self._heads = heads
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._random = rng or random.Random()
        self._rings = Rings()
        self._answering_rings = Rings()
        self._linked_view = (None, None)
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._repair = threading.Lock()
        self._changed_at = clock.monotonic()
        self._forget_due = clock.monotonic() + settings.forget_seconds
        self._contact_schedule = ContactSchedule(clock, self._random)
        self.guard = PauseGuard(clock, PAUSE_SECONDS, settings.suspect_seconds)
        self.detector = FailureDetector(members, peers, self.guard, clock, settings)
        self.detector.is_linked = lambda node: node in self.links_by_node
        self.reconciler = Reconciler(
            Tables(members, services, heads), peers, clock, self._random
        )
        self.links_by_node = {}
        self._version_by_node = {}
        self.contacts = lambda: ()
        self._thread = threading.Thread(target=self._run, name="members", daemon=True)
        members.table.add_listener(self._add_records)
        services.add_listener(self._add_services)

    @property
    def on_head(self):
        """Return what is called with each head that a peer tells of."""
        return self.reconciler.on_head

    @on_head.setter
    def on_head(self, listener):
        self.reconciler.on_head = listener

    def start(self):
        """Begin to gossip."""
        self._thread.start()

    def stop(self, tell_seconds):
        """Tell neighbours within some seconds that the node is gone, and end."""
        self._members.announce_gone()
        self.flush(tell_seconds)
        self._stopped.set()
        self._wake.set()
        for link in self.links_by_node.values():
            link.close()
        self.detector.stop()

    def flush(self, timeout):
        """Wait until no neighbour lacks queued news; tell whether that is so."""
        deadline = time.monotonic() + timeout
        links = list(self.links_by_node.values())
        return all([link.wait_until_told(deadline) for link in links])

    def join(self, addresses):
        """Learn the tables from the first peer that answers; tell whether any did."""
        is_joined = self.reconciler.join(addresses)
        if is_joined:
            self.guard.learned()
        return is_joined

    def announce_head(self):
        """Tell neighbours at once that a new version is in force."""
        for link in list(self.links_by_node.values()):
            link.offer(has_head=True)

    @property
    def digest(self):
        """Return one hash of both tables."""
        return combined_digest(self._members.table.digest, self._services.digest)

    def receive(self, message):
        """Handle a Gossip message from a neighbour."""
        self._note(message.sender)
        link = self.links_by_node.get(message.sender)
        self._members.table.merge(message.records)
        self._services.merge(message.services)
        if link:
            link.discard(message.records, message.services)
        if link and message.head != NO_HEAD:
            self._version_by_node[message.sender] = message.head.version
        self.on_head(message.head, message.sender_address)
        # Who sends rows only asks for no head: heartbeats compare versions.
        has_rows = bool(message.records or message.services)
        is_rows_only = has_rows and message.head == NO_HEAD
        return GossipReply(NO_HEAD if is_rows_only else self._heads.head)

    def receive_heartbeat(self, message):
        """Handle a Heartbeat of a neighbour, or of a node that only asks."""
        self._note(message.sender)
        own = self._members.own
        hidden_by = self._members.incarnation_to_beat(
            message.sender, message.incarnation
        )
        return HeartbeatReply(
            own.node, own.incarnation, self._heads.head.version, self.digest, hidden_by
        )

    def _note(self, node):
        self.detector.heard(node)
        link = self.links_by_node.get(node)
        if link:
            link.heard()

    def _add_records(self, records):
        self._changed_at = self._clock.monotonic()
        # Another listener may have answered a record with a later one already.
        current = self._members.by_node
        records = [row for row in records if current.get(row.node) is row]
        for record in records:
            log_event(
                "member-changed",
                member=record.node,
                state=record.state.name.lower(),
                incarnation=record.incarnation,
            )
        is_urgent = any(row.state in URGENT_STATES for row in records)
        self._offer(records=records, is_urgent=is_urgent)
        self._wake.set()

    def _add_services(self, states):
        self._changed_at = self._clock.monotonic()
        self._offer(services=states)

    def _offer(self, **news):
        for link in list(self.links_by_node.values()):
            link.offer(**news)

    def _run(self):
        while not self._stopped.is_set():
            run_guarded("members", self._keep_up)
            self._wake.wait(TICK_SECONDS)
            self._wake.clear()
            self._stopped.wait(MIN_REFRESH_SECONDS)

    def _keep_up(self):
        if self.guard.tick():
            log_event("pause-noticed", remedy="learning from a peer before judging")
        self.refresh_links()
        watched = [link.record for link in self.links_by_node.values()]
        if self.guard.must_learn:
            threading.Thread(target=self.learn, args=(watched,), daemon=True).start()
        self.detector.check(watched)
        now = self._clock.monotonic()
        if now >= self._forget_due:
            self._forget_due = now + self._settings.forget_seconds
            self._members.table.forget_retired()
        if self._contact_schedule.is_due(len(self._members.by_node)):
            threading.Thread(target=self._check_contacts, daemon=True).start()

    def learn(self, watched):
        """Ask one neighbour what happened during a pause; tell whether one did."""
        if not self._repair.acquire(blocking=False):
            return False
        try:
            records = self._random.sample(watched, len(watched))
            is_told = not records or any(
                self.reconciler.reconcile(record.control_address) for record in records
            )
        finally:
            self._repair.release()
        if is_told:
            self.detector.reset(watched)
            self.guard.learned()
        return is_told

    def _check_contacts(self):
        known = {record.control_address for record in self._members.present()}
        for address in self.contacts():
            if address not in known:
                self.reconciler.reconcile(address)

    def refresh_links(self):
        """Open links to new neighbours and close those to former ones."""
        view = (self._members.by_node, self._members.silent)
        if all(map(operator.is_, view, self._linked_view)):
            return
        self._linked_view = view
        own = self._members.own
        wanted = {record.node: record for record in self._choose(own)}
        for node, link in list(self.links_by_node.items()):
            record = wanted.get(node)
            if record and record.control_address == link.record.control_address:
                link.record = record
                continue
            del self.links_by_node[node]
            self._version_by_node.pop(node, None)
            link.close()
            self._peers.forget(link.record.control_address)
        for node in wanted.keys() - self.links_by_node.keys():
            if wanted[node].control_address:
                self._open(wanted[node])

    def _choose(self, own):
        present = self._members.present()
        self._rings.update(present)
        chosen = self._rings.neighbours(own)
        silent = self._members.silent
        if not silent:
            return chosen
        # The silent ones are still watched, while others keep the graph whole.
        self._answering_rings.update(
            [record for record in present if record.node not in silent]
        )
        return (*self._answering_rings.neighbours(own), *chosen)

    def _open(self, record):
        link = PeerLink(record, self, self._settings.heartbeat_seconds, self._random)
        self.links_by_node[record.node] = link
        link.start()

    def send_news(self, record, news):
        """Send rows and the head to a neighbour; tell whether it answered."""
        if self.guard.must_learn and not self.learn([record]):
            return False
        own, head = self._members.own, self._heads.head
        is_known = self._version_by_node.get(record.node, 0) >= head.version
        if is_known and not news.records and not news.services:
            # The neighbour told of this head itself; heartbeats repair the rest.
            return True
        message = Gossip(
            own.node,
            own.control_address,
            head if news.has_head and not is_known else NO_HEAD,
            tuple(news.records.values()),
            tuple(news.services.values()),
        )
        return self._request(record, message) is not None

    def send_heartbeat(self, record):
        """Exchange summaries with a neighbour; tell whether it answered."""
        own, head = self._members.own, self._heads.head
        message = Heartbeat(own.node, own.incarnation, head.version, self.digest)
        reply = self._request(record, message)
        if reply is None:
            return False
        if reply.hidden_by:
            self._members.rise_above(reply.hidden_by)
        self._version_by_node[record.node] = reply.version
        if reply.version != head.version:
            self._request(record, Gossip(own.node, own.control_address, head))
        if reply.digest != self.digest:
            self._repair_with(record)
        return True

    def _request(self, record, message):
        try:
            reply = self._peers.request(
                record.control_address, message, PEER_TIMEOUT_SECONDS
            )
        except PeerUnavailableError:
            self.detector.unanswered(record)
            return None
        self.detector.heard(record.node)
        if isinstance(reply, GossipReply):
            self.on_head(reply.head, record.control_address)
        return reply

    def _repair_with(self, record):
        # News on the way make digests differ for a moment; wait them out.
        is_settled = self._clock.monotonic() - self._changed_at >= SETTLE_SECONDS
        if not is_settled or not self._repair.acquire(blocking=False):
            return
        try:
            self.reconciler.reconcile(record.control_address)
        finally:
            self._repair.release()
