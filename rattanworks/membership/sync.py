"""Synchronization of tables with one peer at a time.

Tables are compared by the digests of their buckets, and only the buckets that
differ are compared row by row (anti-entropy). A joining node first downloads a
snapshot of all rows.
"""

import random
import threading
from collections import deque
from dataclasses import dataclass

from rattanworks.exceptions import PeerUnavailableError
from rattanworks.model.control import (
    Gossip,
    RowsReply,
    RowsRequest,
    SnapshotReply,
    SnapshotRequest,
    SyncReply,
    SyncRequest,
)
from rattanworks.utils.digest import BUCKETS
from rattanworks.utils.logging import log_event

SYNC_TIMEOUT_SECONDS = 5.0
ROWS_IN_MESSAGE = 256
MAX_CONCURRENT_SNAPSHOTS = 2
SNAPSHOT_IDLE_SECONDS = 2.0
REFERRALS = 3
MAX_JOIN_TRIES = 8


class SnapshotSlots:
    """Limits how many peers download a snapshot concurrently.

    The slot of a peer that sends no request for SNAPSHOT_IDLE_SECONDS is freed.
    """

    def __init__(self, clock, limit=MAX_CONCURRENT_SNAPSHOTS):
        self._clock = clock
        self._limit = limit
        self._lock = threading.Lock()
        self._expires_at_by_sender = {}

    def admit(self, sender):
        """Return whether a peer may have its next part of the snapshot.

        If so, its slot is taken or extended.
        """
        now = self._clock.monotonic()
        with self._lock:
            for name, expires_at in list(self._expires_at_by_sender.items()):
                if expires_at < now:
                    del self._expires_at_by_sender[name]
            is_known = sender in self._expires_at_by_sender
            if not is_known and len(self._expires_at_by_sender) >= self._limit:
                return False
            self._expires_at_by_sender[sender] = now + SNAPSHOT_IDLE_SECONDS
            return True

    def release(self, sender):
        """Free the slot of a peer that has received the whole snapshot."""
        with self._lock:
            self._expires_at_by_sender.pop(sender, None)


@dataclass(frozen=True, slots=True)
class Tables:
    """The state that all nodes share: members, services, newest head, crash reports.

    ``heads`` has the attribute ``head``; ``crashes`` are CrashReports.
    """

    members: object
    services: object
    heads: object
    crashes: object


class Reconciler:
    """Exchanges with a peer the rows that either lacks, in messages of bounded size.

    ``on_head`` is called with a Head and the control address of the peer that
    reported it.
    """

    def __init__(self, tables, peers, clock, rng=None):
        self._members = tables.members
        self._services = tables.services
        self._heads = tables.heads
        self._crashes = tables.crashes
        self._peers = peers
        self._random = rng or random.Random()
        self._slots = SnapshotSlots(clock)
        self.on_head = lambda head, address: None

    def reconcile(self, address):
        """Repair the tables here and at a peer; return whether the peer answered."""
        try:
            self._reconcile(address)
        except PeerUnavailableError as error:
            log_event("sync-failed", peer=address, reason=str(error))
            return False
        return True

    def _reconcile(self, address):
        members, services = self._members.table, self._services
        request = SyncRequest(
            members.bucket_digests, services.bucket_digests, self._crashes.reports()
        )
        reply = self._request(address, request)
        self.on_head(reply.head, address)
        self._crashes.merge(reply.crashes)
        records, wanted = members.compare(reply.members, set(reply.member_buckets))
        states, wanted_states = services.compare(
            reply.services, set(reply.service_buckets)
        )
        for names in _batches(wanted):
            self._merge(self._request(address, RowsRequest(members=names)))
        for names in _batches(wanted_states):
            self._merge(self._request(address, RowsRequest(services=names)))
        for rows in _batches(records):
            self._send_rows(address, records=rows)
        for rows in _batches(states):
            self._send_rows(address, services=rows)

    def _request(self, address, request):
        return self._peers.request(address, request, SYNC_TIMEOUT_SECONDS)

    def _merge(self, reply):
        self._members.table.merge(reply.records)
        self._services.merge(reply.services)

    def _send_rows(self, address, **rows):
        own = self._members.own
        message = Gossip(own.node, own.control_address, self._heads.head, **rows)
        self._request(address, message)

    def join(self, addresses):
        """Download a snapshot from one peer and reconcile with it.

        The peers at ``addresses`` are asked in random order until one serves the
        snapshot, MAX_JOIN_TRIES of them at most. A peer that has no free slot refers
        to others, which are asked as well. Returns whether the node has joined.
        """
        addresses = list(dict.fromkeys(addresses))
        queue = deque(self._random.sample(addresses, len(addresses)))
        asked = {self._members.own.control_address}
        while queue and len(asked) <= MAX_JOIN_TRIES:
            address = queue.popleft()
            if address in asked:
                continue
            asked.add(address)
            try:
                referrals = self._download(address)
            except PeerUnavailableError as error:
                log_event("join-failed", peer=address, reason=str(error))
                continue
            if not referrals:
                return self.reconcile(address)
            queue.extend(self._random.sample(referrals, len(referrals)))
        return False

    def _download(self, address):
        bucket = 0
        while bucket < BUCKETS:
            request = SnapshotRequest(self._members.own.node, bucket)
            reply = self._request(address, request)
            if reply.referrals:
                return reply.referrals
            if reply.next_bucket <= bucket:
                raise PeerUnavailableError(
                    f"peer {address} repeats a part of its snapshot; ask another peer"
                )
            self.on_head(reply.head, address)
            self._merge(reply)
            bucket = reply.next_bucket
        return ()

    def receive_sync(self, message):
        """Handle a SyncRequest."""
        members, services = self._members.table, self._services
        self._crashes.merge(message.crashes)
        member_buckets = members.differing_buckets(message.members)
        service_buckets = services.differing_buckets(message.services)
        return SyncReply(
            self._heads.head,
            members.precedences_in(member_buckets),
            services.precedences_in(service_buckets),
            tuple(member_buckets),
            tuple(service_buckets),
            self._crashes.reports(),
        )

    def receive_rows(self, message):
        """Handle a RowsRequest."""
        records, services = self._members.by_node, self._services.rows_by_name
        return RowsReply(
            _pick(records, message.members), _pick(services, message.services)
        )

    def receive_snapshot(self, message):
        """Handle a SnapshotRequest."""
        if not self._slots.admit(message.sender):
            referrals = self._referrals(message.sender)
            if referrals:
                return SnapshotReply(self._heads.head, referrals=referrals)
        buckets = self._members.table.rows_by_bucket()
        services = self._services.rows_by_bucket()
        records, states = [], []
        bucket = max(0, message.first_bucket)
        while bucket < BUCKETS and len(records) + len(states) < ROWS_IN_MESSAGE:
            records += buckets.get(bucket, ())
            states += services.get(bucket, ())
            bucket += 1
        if bucket >= BUCKETS:
            self._slots.release(message.sender)
        return SnapshotReply(self._heads.head, tuple(records), tuple(states), bucket)

    def _referrals(self, sender):
        excluded = {sender, self._members.own.node} | self._members.silent
        others = [
            record.control_address
            for record in self._members.present()
            if record.node not in excluded and record.control_address
        ]
        return tuple(self._random.sample(others, min(REFERRALS, len(others))))


def _pick(rows, names):
    return tuple(rows[name] for name in names[:ROWS_IN_MESSAGE] if name in rows)


def _batches(rows):
    return [
        tuple(rows[start : start + ROWS_IN_MESSAGE])
        for start in range(0, len(rows), ROWS_IN_MESSAGE)
    ]
