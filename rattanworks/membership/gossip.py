"""Gossip: sends updates to neighbours and maintains the links to them."""

import operator
import random
import threading
import time

from rattanworks.exceptions import PeerUnavailableError
from rattanworks.membership.contacts import ContactSchedule, is_contact_checker
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
from rattanworks.quarantine.reports import CrashReports
from rattanworks.utils.digest import combined_digest
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

PEER_TIMEOUT_SECONDS = 1.0
MIN_REFRESH_INTERVAL_SECONDS = 0.1
MIN_STABLE_SECONDS = 1.0
# A difference to a neighbour that lasts for so long is repaired although the tables
# keep changing.
MAX_DIFFERENCE_SECONDS = 5.0
URGENT_STATES = (EndpointState.SERVING, EndpointState.LEAVING)
TICK_INTERVAL_SECONDS = 0.9
MAX_TICK_GAP_SECONDS = 2.5


class Gossiper:
    """Maintains a link to each neighbour and forwards updates to all of them.

    ``on_head`` is called with a Head and the control address of the peer that
    reported it. ``heads`` has the attribute ``head``. ``contacts`` returns the
    control addresses of nodes that must be among the members; the node checks
    this from time to time and synchronizes with those that are missing.
    """

    def __init__(
        self, members, services, heads, peers, clock, settings, rng=None, crashes=None
    ):
        self._members = members
        self._services = services
        self._heads = heads
        self._crashes = crashes or CrashReports(clock)
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._random = rng or random.Random()
        self._rings = Rings()
        self._responsive_rings = Rings()
        self._view_at_refresh = (None, None)
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._sync_lock = threading.Lock()
        self._changed_at = clock.monotonic()
        self._forget_due = clock.monotonic() + settings.forget_seconds
        self._contact_schedule = ContactSchedule(clock, self._random)
        self.guard = PauseGuard(clock, MAX_TICK_GAP_SECONDS, settings.suspect_seconds)
        self.detector = FailureDetector(members, peers, self.guard, clock, settings)
        self.detector.is_linked = lambda node: node in self.links_by_node
        self.reconciler = Reconciler(
            Tables(members, services, heads, self._crashes), peers, clock, self._random
        )
        self.links_by_node = {}
        self._reported_version_by_node = {}
        self._differs_since_by_node = {}
        self.contacts = lambda: ()
        self._thread = threading.Thread(target=self._run, name="members", daemon=True)
        members.table.add_listener(self._add_records)
        services.add_listener(self._add_services)
        self._crashes.add_listener(self._add_crashes)

    @property
    def on_head(self):
        """Return the listener that is called with each head that a peer reports."""
        return self.reconciler.on_head

    @on_head.setter
    def on_head(self, listener):
        self.reconciler.on_head = listener

    def start(self):
        """Start the thread that maintains links and evaluates neighbours."""
        self._thread.start()

    def stop(self, flush_seconds):
        """Announce that the node is gone, and stop.

        Waits at most ``flush_seconds`` for the announcement to be sent.
        """
        self._members.announce_gone()
        self.flush(flush_seconds)
        self._stopped.set()
        self._wake.set()
        for link in self.links_by_node.values():
            link.close()
        self.detector.stop()

    def flush(self, timeout):
        """Wait until all queued updates have been sent; return whether they were.

        ``timeout`` is in seconds.
        """
        deadline = time.monotonic() + timeout
        links = list(self.links_by_node.values())
        return all([link.wait_until_sent(deadline) for link in links])

    def join(self, addresses):
        """Download the tables from one of the peers; return whether that succeeded."""
        is_joined = self.reconciler.join(addresses)
        if is_joined:
            self.guard.record_sync()
        return is_joined

    def announce_head(self):
        """Announce to all neighbours the newest head that this node can serve.

        It is in force on this node unless it failed validation here.
        """
        for link in list(self.links_by_node.values()):
            link.offer(has_head=True)

    @property
    def digest(self):
        """Return one hash of the tables."""
        digests = [self._members.table.digest, self._services.digest]
        crashes_digest = self._crashes.digest
        if crashes_digest:
            # Left out while there are none: earlier releases do not know of them.
            digests.append(crashes_digest)
        return combined_digest(*digests)

    def receive(self, message):
        """Handle a Gossip message from a neighbour."""
        self._record_contact(message.sender)
        link = self.links_by_node.get(message.sender)
        self._members.table.merge(message.records)
        self._services.merge(message.services)
        self._crashes.merge(message.crashes)
        if link:
            link.discard(message.records, message.services, message.crashes)
        if link and message.head != NO_HEAD:
            self._reported_version_by_node[message.sender] = message.head.version
        self.on_head(message.head, message.sender_address)
        # A sender of rows alone needs no head in the reply: versions are compared
        # by heartbeats.
        has_rows = bool(message.records or message.services or message.crashes)
        is_rows_only = has_rows and message.head == NO_HEAD
        return GossipReply(NO_HEAD if is_rows_only else self._heads.head)

    def receive_heartbeat(self, message):
        """Handle a Heartbeat of a neighbour, or the probe of any node."""
        self._record_contact(message.sender)
        own = self._members.own
        hidden_by = self._members.hiding_incarnation(
            message.sender, message.incarnation
        )
        return HeartbeatReply(
            own.node, own.incarnation, self._heads.head.version, self.digest, hidden_by
        )

    def _record_contact(self, node):
        self.detector.record_contact(node)
        link = self.links_by_node.get(node)
        if link:
            link.record_contact()

    def _add_records(self, records):
        self._changed_at = self._clock.monotonic()
        # Another listener may already have replaced a record by a later one.
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

    def _add_crashes(self, keys):
        self._offer(crash_keys=keys)

    def _offer(self, **updates):
        for link in list(self.links_by_node.values()):
            link.offer(**updates)

    def _run(self):
        while not self._stopped.is_set():
            run_guarded("members", self._maintain)
            self._wake.wait(TICK_INTERVAL_SECONDS)
            self._wake.clear()
            self._stopped.wait(MIN_REFRESH_INTERVAL_SECONDS)

    def _maintain(self):
        if self.guard.tick():
            log_event(
                "pause-noticed",
                remedy="synchronizing with a peer before suspecting others",
            )
        self.refresh_links()
        watched = [link.record for link in self.links_by_node.values()]
        if self.guard.needs_sync:
            threading.Thread(
                target=self.sync_after_pause, args=(watched,), daemon=True
            ).start()
        self.detector.evaluate_overdue(watched)
        now = self._clock.monotonic()
        if now >= self._forget_due:
            self._forget_due = now + self._settings.forget_seconds
            self._members.table.forget_retired()
        if self._contact_schedule.is_due() and self._is_contact_checker():
            threading.Thread(target=self._check_contacts, daemon=True).start()

    def sync_after_pause(self, watched):
        """Synchronize with one of the watched neighbours after a pause.

        Returns whether that succeeded, which it does at once if there are no
        neighbours. Returns False if another synchronization is running.
        """
        if not self._sync_lock.acquire(blocking=False):
            return False
        try:
            records = self._random.sample(watched, len(watched))
            is_synced = not records or any(
                self.reconciler.reconcile(record.control_address) for record in records
            )
        finally:
            self._sync_lock.release()
        if is_synced:
            self.detector.reset(watched)
            self.guard.record_sync()
        return is_synced

    def _is_contact_checker(self):
        present_nodes = [record.node for record in self._members.present()]
        return is_contact_checker(self._members.own.node, present_nodes)

    def _check_contacts(self):
        known = {record.control_address for record in self._members.present()}
        for address in self.contacts():
            if address not in known:
                self.reconciler.reconcile(address)

    def refresh_links(self):
        """Open links to new neighbours and close those to former ones."""
        view = (self._members.by_node, self._members.silent)
        if all(map(operator.is_, view, self._view_at_refresh)):
            return
        self._view_at_refresh = view
        own = self._members.own
        wanted = {record.node: record for record in self._choose_neighbours(own)}
        for node, link in list(self.links_by_node.items()):
            record = wanted.get(node)
            if record and record.control_address == link.record.control_address:
                link.record = record
                continue
            del self.links_by_node[node]
            self._reported_version_by_node.pop(node, None)
            self._differs_since_by_node.pop(node, None)
            link.close()
            self._peers.forget(link.record.control_address)
        for node in wanted.keys() - self.links_by_node.keys():
            if wanted[node].control_address:
                self._open_link(wanted[node])

    def _choose_neighbours(self, own):
        present = self._members.present()
        self._rings.update(present)
        chosen = self._rings.neighbours(own)
        silent = self._members.silent
        if not silent:
            return chosen
        # Silent nodes are still watched. The neighbours chosen without them keep the
        # graph of the other nodes connected.
        self._responsive_rings.update(
            [record for record in present if record.node not in silent]
        )
        return (*self._responsive_rings.neighbours(own), *chosen)

    def _open_link(self, record):
        link = PeerLink(record, self, self._settings.heartbeat_seconds, self._random)
        self.links_by_node[record.node] = link
        link.start()

    def send_updates(self, record, updates):
        """Send rows and the head to a neighbour; return whether it answered."""
        if self.guard.needs_sync and not self.sync_after_pause([record]):
            return False
        own, head = self._members.own, self._heads.head
        is_head_known = (
            self._reported_version_by_node.get(record.node, 0) >= head.version
        )
        has_rows = updates.records or updates.services or updates.crash_keys
        if is_head_known and not has_rows:
            # The neighbour itself has reported this version or a later one; heartbeats
            # find and repair any difference that remains.
            return True
        message = Gossip(
            own.node,
            own.control_address,
            head if updates.has_head and not is_head_known else NO_HEAD,
            tuple(updates.records.values()),
            tuple(updates.services.values()),
            self._crashes.reports(updates.crash_keys),
        )
        return self._request(record, message) is not None

    def send_heartbeat(self, record):
        """Compare version and digest with a neighbour; return whether it answered."""
        own, head = self._members.own, self._heads.head
        message = Heartbeat(own.node, own.incarnation, head.version, self.digest)
        reply = self._request(record, message)
        if reply is None:
            return False
        if reply.hidden_by:
            self._members.raise_incarnation_above(reply.hidden_by)
        self._reported_version_by_node[record.node] = reply.version
        if reply.version != head.version:
            self._request(record, Gossip(own.node, own.control_address, head))
        if reply.digest == self.digest:
            self._differs_since_by_node.pop(record.node, None)
        elif self._is_repair_due(record.node):
            self._reconcile_with(record)
        return True

    def _request(self, record, message):
        try:
            reply = self._peers.request(
                record.control_address, message, PEER_TIMEOUT_SECONDS
            )
        except PeerUnavailableError:
            self.detector.record_no_answer(record)
            return None
        self.detector.record_contact(record.node)
        if isinstance(reply, GossipReply):
            self.on_head(reply.head, record.control_address)
        return reply

    def _is_repair_due(self, node):
        """Return whether to repair the difference to a neighbour now.

        Updates in transit make digests differ for a moment, so that the tables should
        not have changed for a while. Load pattern: nodes start and stop for minutes,
        and the tables never stay as they are for that long.
        """
        now = self._clock.monotonic()
        differs_since = self._differs_since_by_node.setdefault(node, now)
        is_stable = now - self._changed_at >= MIN_STABLE_SECONDS
        return is_stable or now - differs_since >= MAX_DIFFERENCE_SECONDS

    def _reconcile_with(self, record):
        if not self._sync_lock.acquire(blocking=False):
            return
        try:
            self._differs_since_by_node.pop(record.node, None)
            self.reconciler.reconcile(record.control_address)
        finally:
            self._sync_lock.release()
