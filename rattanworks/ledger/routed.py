"""Sends each claim to the node that writes its page.

Several nodes that write the same page make each other's compare-and-swap fail, so
one of them is chosen. The choice is not a lock: when nodes disagree on the writer,
or it does not answer, several write, and compare-and-swap keeps the page consistent.
"""

import hashlib
import threading

from rattanworks.exceptions import (
    PeerUnavailableError,
    StoreError,
    StoreUnavailableError,
)
from rattanworks.ledger.base import ClaimTable
from rattanworks.model.control import ChangeKind, ClaimReply, ClaimRequest
from rattanworks.model.endpoint import EndpointState

FORWARD_SHARE_OF_TIMEOUT = 0.5
AVOID_WRITER_SECONDS = 5.0
MAX_CONCURRENT_REQUESTS = 4


class RoutedClaims(ClaimTable):
    """A ClaimTable that forwards to the page's writer, or else writes locally."""

    def __init__(self, local, members, peers, clock):
        self._local = local
        self._members = members
        self._peers = peers
        self._clock = clock
        self._request_slots = threading.BoundedSemaphore(MAX_CONCURRENT_REQUESTS)
        self._writers_by_page = {}
        self._members_digest = None
        self._avoided_until_by_node = {}

    def claim(self, claim, timeout):
        """Return the claim in force on the key."""
        try:
            reply = self._forward(ChangeKind.CLAIM, claim, timeout)
        except PeerUnavailableError:
            return self._claim_after_lost_reply(
                claim, timeout * (1 - FORWARD_SHARE_OF_TIMEOUT)
            )
        if reply is None:
            return self._local.claim(claim, timeout)
        if reply.claim is None:
            raise StoreUnavailableError(reply.reason)
        return reply.claim

    def _claim_after_lost_reply(self, claim, timeout):
        # The writer may have stored the claim. If so, the local table finds this
        # operation's claim in force and returns it.
        try:
            return self._local.claim(claim, timeout)
        except StoreError:
            self._local.release(claim, 0.0)
            raise

    def complete(self, claim, timeout):
        """Record the outcome of a claimed call."""
        return self._write(ChangeKind.SETTLE, claim, timeout, self._local.complete)

    def release(self, claim, timeout):
        """Release a claim whose call did not run."""
        return self._write(ChangeKind.RELEASE, claim, timeout, self._local.release)

    def _write(self, kind, claim, timeout, write_locally):
        try:
            reply = self._forward(kind, claim, timeout)
        except PeerUnavailableError:
            reply = None
        if reply is not None and reply.claim is not None:
            return True
        return write_locally(claim, timeout * (1 - FORWARD_SHARE_OF_TIMEOUT))

    def _forward(self, kind, claim, timeout):
        """Return the writer's ClaimReply, or None if this node must write."""
        writer = self._writer_of(self._local.page_of(claim))
        if writer.node == self._members.own.node or self._is_avoided(writer):
            return None
        wait = timeout * FORWARD_SHARE_OF_TIMEOUT
        if wait <= 0:
            return None
        request = ClaimRequest(kind, claim, wait)
        try:
            return self._peers.request(writer.control_address, request, wait)
        except PeerUnavailableError:
            until = self._clock.monotonic() + AVOID_WRITER_SECONDS
            self._avoided_until_by_node[writer.node] = until
            raise

    def _is_avoided(self, writer):
        if writer.node in self._members.silent:
            return True
        until = self._avoided_until_by_node.get(writer.node, 0.0)
        return self._clock.monotonic() < until

    def _writer_of(self, page):
        digest = self._members.table.digest
        if digest != self._members_digest:
            self._members_digest = digest
            self._writers_by_page = {}
        writer = self._writers_by_page.get(page)
        if writer is None:
            writer = self._choose_writer(page)
            self._writers_by_page[page] = writer
        return writer

    def _choose_writer(self, page):
        # Rendezvous hashing: when a node leaves, only its own pages change writer.
        candidates = [
            record
            for record in self._members.present()
            if record.state != EndpointState.LEAVING and record.control_address
        ]
        return max(
            candidates,
            key=lambda record: _weight(page, record.node),
            default=self._members.own,
        )

    def serve(self, request):
        """Handle a ClaimRequest as the writer of the claim's page."""
        if not self._request_slots.acquire(blocking=False):
            return ClaimReply(None, "the writer of claims is busy; try again later")
        try:
            return self._serve(request)
        finally:
            self._request_slots.release()

    def _serve(self, request):
        claim, timeout = request.claim, request.timeout
        if request.kind == ChangeKind.CLAIM:
            try:
                return ClaimReply(self._local.claim(claim, timeout))
            except StoreError as error:
                return ClaimReply(None, str(error))
        methods_by_kind = {
            ChangeKind.SETTLE: self._local.complete,
            ChangeKind.RELEASE: self._local.release,
        }
        if methods_by_kind[request.kind](claim, timeout):
            return ClaimReply(claim)
        return ClaimReply(None, "not stored yet; it is repeated")

    def close(self):
        """End the local writers."""
        self._local.close()


def _weight(page, node):
    return hashlib.blake2b(f"{page}|{node}".encode(), digest_size=8).digest()
