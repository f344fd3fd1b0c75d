"""Failure detection: nodes watch their neighbours and remove those that died.

A node that finds a neighbour silent asks other nodes whether they reach it before
it removes the neighbour.
"""

import random
import threading
from concurrent.futures import ThreadPoolExecutor, wait

from rattanworks.exceptions import PeerUnavailableError
from rattanworks.membership.removal import SilenceEvidence, may_remove
from rattanworks.model.control import (
    Heartbeat,
    Reachability,
    SilenceCheck,
    SilenceReply,
)
from rattanworks.model.endpoint import EndpointState
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import log_event

PROBE_TIMEOUT_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 2.5
EVALUATION_THREADS = 4
REQUEST_THREADS = 8
MAX_CONCURRENT_CHECKS = 4
ASKED_DOMAIN_PEERS = 2
ASKED_OTHERS = 2
MAX_PROBES_PER_DOMAIN = 2
RETRY_BASE_SECONDS = 1.0
RETRY_CAP_SECONDS = 15.0
REACHABLE_RETRY_SECONDS = (5.0, 10.0)
SILENT_DOMAIN_RETRY_SECONDS = 3.0


class _RetrySchedule:
    """When a silent node may be evaluated again; ``due`` is in monotonic seconds."""

    def __init__(self):
        self.due = 0.0
        self.backoff = FullJitterBackoff(RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)


class FailureDetector:
    """Evaluates neighbours that have been silent and removes those that are dead.

    ``is_linked`` returns whether a node is a neighbour, whose connection is kept
    open after a request.
    """

    def __init__(self, members, peers, guard, clock, settings, rng=None):
        self._members = members
        self._peers = peers
        self._guard = guard
        self._clock = clock
        self._settings = settings
        self._random = rng or random.Random()
        self._lock = threading.Lock()
        self._contact_at_by_node = {}
        self._silent_since_by_domain = {}
        self._due_by_domain = {}
        self._nodes_in_evaluation = set()
        self._evaluations = set()
        self._retries_by_node = {}
        self._evaluation_pool = ThreadPoolExecutor(EVALUATION_THREADS, "evaluate")
        self._request_pool = ThreadPoolExecutor(REQUEST_THREADS, "request")
        self._checks = threading.BoundedSemaphore(MAX_CONCURRENT_CHECKS)
        self.is_linked = lambda node: False

    def stop(self):
        """Stop without waiting for the evaluations that are running."""
        self._evaluation_pool.shutdown(wait=False, cancel_futures=True)
        self._request_pool.shutdown(wait=False, cancel_futures=True)

    def wait_for_evaluations(self):
        """Wait until the evaluations that are running have ended."""
        with self._lock:
            evaluations = list(self._evaluations)
        wait(evaluations)

    def record_contact(self, node):
        """Record that a message has arrived from a node."""
        self._contact_at_by_node[node] = self._clock.monotonic()
        self._retries_by_node.pop(node, None)
        if node in self._members.silent:
            with self._lock:
                self._members.silent -= {node}
        record = self._members.by_node.get(node)
        if record is not None:
            self._silent_since_by_domain.pop(record.failure_domain, None)

    def record_no_answer(self, record):
        """Record that a request to a node was not answered."""
        if record.node in self._members.silent:
            return
        if not self.had_contact_within(record.node, self._settings.heartbeat_seconds):
            with self._lock:
                self._members.silent |= {record.node}

    def had_contact_within(self, node, seconds):
        """Return whether a message from a node has arrived in the last ``seconds``."""
        contact_at = self._contact_at_by_node.get(node)
        if contact_at is None:
            return False
        return self._clock.monotonic() - contact_at <= seconds

    def reset(self, watched):
        """Restart the silence timers of the watched nodes.

        Called after a pause of this process, which voids its evidence.
        """
        now = self._clock.monotonic()
        self._contact_at_by_node = {record.node: now for record in watched}
        self._silent_since_by_domain.clear()

    def evaluate_overdue(self, watched):
        """Start evaluations of watched nodes silent for over ``suspect_seconds``.

        A node under evaluation, or whose next evaluation is not due, is skipped.
        """
        present = self._members.by_node
        for node in list(self._contact_at_by_node.keys() - present.keys()):
            self._contact_at_by_node.pop(node, None)
            self._retries_by_node.pop(node, None)
        with self._lock:
            silent = self._members.silent
            if silent - {record.node for record in watched}:
                self._members.silent = silent & {record.node for record in watched}
        for record in watched:
            self._contact_at_by_node.setdefault(record.node, self._clock.monotonic())
            if self._guard.may_suspect and self._is_overdue(record):
                self._submit(record)

    def _is_overdue(self, record):
        return not self.had_contact_within(record.node, self._settings.suspect_seconds)

    def _submit(self, record):
        now = self._clock.monotonic()
        with self._lock:
            retry = self._retries_by_node.setdefault(record.node, _RetrySchedule())
            if record.node in self._nodes_in_evaluation or now < retry.due:
                return
            if not self._is_domain_due(record.failure_domain, now):
                return
            retry.due = now + retry.backoff.next_delay()
            self._nodes_in_evaluation.add(record.node)
            evaluation = self._evaluation_pool.submit(self._run_evaluation, record)
            self._evaluations.add(evaluation)
        evaluation.add_done_callback(self._evaluations.discard)

    def _is_domain_due(self, domain, now):
        # While a whole failure domain is silent, one of its nodes is evaluated per
        # interval, in place of all of them.
        if domain not in self._silent_since_by_domain:
            return True
        if now < self._due_by_domain.get(domain, 0.0):
            return False
        self._due_by_domain[domain] = now + SILENT_DOMAIN_RETRY_SECONDS
        return True

    def _run_evaluation(self, record):
        try:
            self.evaluate(record)
        except RuntimeError:
            # The thread pools have been shut down, because this node is stopping.
            return
        finally:
            with self._lock:
                self._nodes_in_evaluation.discard(record.node)

    def evaluate(self, record):
        """Probe a silent node, ask others, and remove it if the rule allows.

        Returns whether the node was removed.
        """
        pause_count = self._guard.pause_count
        if not self._is_current(record):
            return False
        if self._answers_probe(record.node, record.incarnation, record.control_address):
            self.record_contact(record.node)
            return False
        evidence = self._gather_evidence(record)
        if Reachability.REACHABLE in evidence.domain_replies + evidence.other_replies:
            self._postpone(record.node)
        is_removed = may_remove(evidence)
        was_paused = (
            self._guard.pause_count != pause_count or not self._guard.may_suspect
        )
        if not is_removed or was_paused or not self._is_current(record):
            return False
        log_event("endpoint-removed", node=record.node, reason="silent")
        self._members.remove(self._members.by_node[record.node])
        return True

    def _postpone(self, node):
        # Another node reaches the suspect, so only the link to it from here is
        # broken. Should it die, the nodes that still reach it will detect that.
        with self._lock:
            retry = self._retries_by_node.setdefault(node, _RetrySchedule())
            delay = self._random.uniform(*REACHABLE_RETRY_SECONDS)
            retry.due = self._clock.monotonic() + delay

    def _is_current(self, record):
        # Another node may have removed the record, or the suspect may have been
        # started again, with a later incarnation.
        current = self._members.by_node.get(record.node)
        return (
            current is not None
            and current.incarnation == record.incarnation
            and current.state != EndpointState.GONE
        )

    def _gather_evidence(self, record):
        own = self._members.own
        known = [
            row
            for row in self._members.present()
            if row.node not in (own.node, record.node)
        ]
        domain = record.failure_domain
        domain_peers = [row for row in known if row.failure_domain == domain]
        others = [row for row in known if row.failure_domain != domain]
        asked_domain_peers = self._responsive_first(domain_peers)[:ASKED_DOMAIN_PEERS]
        asked_others = self._spread(self._responsive_first(others))[:ASKED_OTHERS]
        replies = list(
            self._request_pool.map(
                lambda row: self._request_check(row, record),
                asked_domain_peers + asked_others,
            )
        )
        domain_replies = tuple(replies[: len(asked_domain_peers)])
        other_replies = tuple(replies[len(asked_domain_peers) :])
        is_domain_peer = domain == own.failure_domain
        is_domain_silent = not any(domain_replies) and not (is_domain_peer and known)
        return SilenceEvidence(
            domain_replies=tuple(reply for reply in domain_replies if reply),
            other_replies=tuple(reply for reply in other_replies if reply),
            is_domain_peer=is_domain_peer,
            has_domain_peers=bool(domain_peers),
            is_only_peer=not known,
            has_hold_elapsed=is_domain_silent and self._has_hold_elapsed(domain),
            reaches_majority=self._reaches_majority,
        )

    def _has_hold_elapsed(self, domain):
        # The hold time starts when the domain is first found silent.
        now = self._clock.monotonic()
        since = self._silent_since_by_domain.setdefault(domain, now)
        return now - since >= self._settings.domain_hold_seconds

    def _responsive_first(self, records):
        shuffled = self._random.sample(records, len(records))
        suspect_seconds = self._settings.suspect_seconds
        return sorted(
            shuffled,
            key=lambda row: (
                row.node in self._members.silent,
                not self.had_contact_within(row.node, suspect_seconds),
            ),
        )

    def _spread(self, records):
        # One node of each other failure domain comes first, then the rest, this
        # node's own domain included: after a network partition, nodes of other
        # domains may still reach the suspect.
        seen = {self._members.own.failure_domain}
        first, rest = [], []
        for record in records:
            (rest if record.failure_domain in seen else first).append(record)
            seen.add(record.failure_domain)
        return first + rest

    def _request_check(self, asked, suspect):
        message = SilenceCheck(
            self._members.own.node,
            suspect.node,
            suspect.incarnation,
            suspect.control_address,
        )
        try:
            reply = self._peers.request(
                asked.control_address, message, CHECK_TIMEOUT_SECONDS
            )
        except PeerUnavailableError:
            return None
        finally:
            self._close_unless_linked(asked.node, asked.control_address)
        self.record_contact(asked.node)
        return reply.verdict

    def receive_check(self, message):
        """Handle a SilenceCheck."""
        if self.had_contact_within(message.node, self._settings.heartbeat_seconds / 2):
            return SilenceReply(Reachability.REACHABLE)
        if not self._guard.may_suspect or not self._checks.acquire(blocking=False):
            return SilenceReply(Reachability.UNKNOWN)
        try:
            has_answered = self._answers_probe(
                message.node, message.incarnation, message.address
            )
        finally:
            self._checks.release()
        if not self._guard.may_suspect:
            return SilenceReply(Reachability.UNKNOWN)
        return SilenceReply(
            Reachability.REACHABLE if has_answered else Reachability.SILENT
        )

    def _answers_probe(self, node, incarnation, address):
        own = self._members.own
        message = Heartbeat(own.node, own.incarnation, 0, 0)
        try:
            reply = self._peers.request(address, message, PROBE_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            return False
        finally:
            self._close_unless_linked(node, address)
        # Another node may now listen at the suspect's address.
        return reply.node == node and reply.incarnation >= incarnation

    def _close_unless_linked(self, node, address):
        if not self.is_linked(node):
            self._peers.forget(address)

    def _reaches_majority(self):
        own = self._members.own
        records_by_domain = {}
        for record in self._members.present():
            records_by_domain.setdefault(record.failure_domain, []).append(record)
        domains = records_by_domain.keys() - {own.failure_domain}
        reached = 1 + sum(
            self._request_pool.map(
                lambda domain: self._reaches_any(records_by_domain[domain]), domains
            )
        )
        return reached * 2 > len(domains) + 1

    def _reaches_any(self, records):
        suspect_seconds = self._settings.suspect_seconds
        if any(
            self.had_contact_within(record.node, suspect_seconds) for record in records
        ):
            return True
        probed = self._random.sample(records, min(MAX_PROBES_PER_DOMAIN, len(records)))
        return any(
            self._answers_probe(record.node, record.incarnation, record.control_address)
            for record in probed
        )
