"""Failure detection: neighbours watch each other and agree before a removal."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor, wait

from rattanworks.exceptions import PeerUnavailableError
from rattanworks.membership.removal import SilenceCase, may_remove
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
JUDGE_THREADS = 4
ASK_THREADS = 8
MAX_CHECKS_AT_ONCE = 4
ASKED_MATES = 2
ASKED_OTHERS = 2
PROBED_PER_DOMAIN = 2
FIRST_REPEAT_SECONDS = 1.0
MAX_REPEAT_SECONDS = 15.0
REACHABLE_REPEAT_SECONDS = (5.0, 10.0)
SILENT_DOMAIN_REPEAT_SECONDS = 3.0


class _Repeat:
    """When a node that stays silent is judged again."""

    def __init__(self):
        self.due = 0.0
        self.backoff = FullJitterBackoff(FIRST_REPEAT_SECONDS, MAX_REPEAT_SECONDS)


class FailureDetector:
    """Judges neighbours that have been silent and removes those that are dead.

    ``is_linked`` tells whether a node is a neighbour whose connection stays.
    """

    def __init__(self, members, peers, guard, clock, settings, rng=None):
        self._members = members
        self._peers = peers
        self._guard = guard
        self._clock = clock
        self._settings = settings
        self._random = rng or random.Random()
        self._lock = threading.Lock()
        self._heard_at_by_node = {}
        self._domain_silent_since = {}
        self._domain_due = {}
        self._judged_nodes = set()
        self._judgements = set()
        self._repeats_by_node = {}
        self._judges = ThreadPoolExecutor(JUDGE_THREADS, "judge")
        self._askers = ThreadPoolExecutor(ASK_THREADS, "ask")
        self._checks = threading.BoundedSemaphore(MAX_CHECKS_AT_ONCE)
        self.is_linked = lambda node: False

    def stop(self):
        """End without waiting for judgements under way."""
        self._judges.shutdown(wait=False, cancel_futures=True)
        self._askers.shutdown(wait=False, cancel_futures=True)

    def settle(self):
        """Wait until the judgements under way have ended."""
        with self._lock:
            judgements = list(self._judgements)
        wait(judgements)

    def heard(self, node):
        """Note a message from a node."""
        self._heard_at_by_node[node] = self._clock.monotonic()
        self._repeats_by_node.pop(node, None)
        if node in self._members.silent:
            with self._lock:
                self._members.silent -= {node}
        record = self._members.by_node.get(node)
        if record is not None:
            self._domain_silent_since.pop(record.failure_domain, None)

    def unanswered(self, record):
        """Note that a node did not answer this one."""
        if record.node in self._members.silent:
            return
        if not self.was_heard(record.node, self._settings.heartbeat_seconds):
            with self._lock:
                self._members.silent |= {record.node}

    def was_heard(self, node, within_seconds):
        """Tell whether a node has sent anything within the last seconds."""
        heard_at = self._heard_at_by_node.get(node)
        if heard_at is None:
            return False
        return self._clock.monotonic() - heard_at <= within_seconds

    def reset(self, watched):
        """Begin to wait anew for the watched nodes: the own evidence is void."""
        now = self._clock.monotonic()
        self._heard_at_by_node = {record.node: now for record in watched}
        self._domain_silent_since.clear()

    def check(self, watched):
        """Have the watched nodes that were silent for too long judged."""
        present = self._members.by_node
        for node in list(self._heard_at_by_node.keys() - present.keys()):
            self._heard_at_by_node.pop(node, None)
            self._repeats_by_node.pop(node, None)
        with self._lock:
            silent = self._members.silent
            if silent - {record.node for record in watched}:
                self._members.silent = silent & {record.node for record in watched}
        for record in watched:
            self._heard_at_by_node.setdefault(record.node, self._clock.monotonic())
            if self._guard.may_judge and self._is_overdue(record):
                self._submit(record)

    def _is_overdue(self, record):
        return not self.was_heard(record.node, self._settings.suspect_seconds)

    def _submit(self, record):
        now = self._clock.monotonic()
        with self._lock:
            repeat = self._repeats_by_node.setdefault(record.node, _Repeat())
            if record.node in self._judged_nodes or now < repeat.due:
                return
            if not self._is_domains_turn(record.failure_domain, now):
                return
            repeat.due = now + repeat.backoff.next_delay()
            self._judged_nodes.add(record.node)
            judgement = self._judges.submit(self._judge_once, record)
            self._judgements.add(judgement)
        judgement.add_done_callback(self._judgements.discard)

    def _is_domains_turn(self, domain, now):
        # While a whole domain is silent, one suspect at a time stands for all.
        if domain not in self._domain_silent_since:
            return True
        if now < self._domain_due.get(domain, 0.0):
            return False
        self._domain_due[domain] = now + SILENT_DOMAIN_REPEAT_SECONDS
        return True

    def _judge_once(self, record):
        try:
            self.judge(record)
        except RuntimeError:
            # The pools are shut down: the node is stopping.
            return
        finally:
            with self._lock:
                self._judged_nodes.discard(record.node)

    def judge(self, record):
        """Probe a silent node, ask others, and remove it if the rule allows."""
        pauses = self._guard.pauses
        if not self._is_current(record):
            return False
        if self._answers(record.node, record.incarnation, record.control_address):
            self.heard(record.node)
            return False
        case = self._case_of(record)
        if Reachability.REACHABLE in case.mate_verdicts + case.other_verdicts:
            self._postpone(record.node)
        is_removed = may_remove(case)
        was_paused = self._guard.pauses != pauses or not self._guard.may_judge
        if not is_removed or was_paused or not self._is_current(record):
            return False
        log_event("endpoint-removed", node=record.node, reason="silent")
        self._members.remove(self._members.by_node[record.node])
        return True

    def _postpone(self, node):
        # Only the link between the two is at fault; others will notice a death.
        with self._lock:
            repeat = self._repeats_by_node.setdefault(node, _Repeat())
            pause = self._random.uniform(*REACHABLE_REPEAT_SECONDS)
            repeat.due = self._clock.monotonic() + pause

    def _is_current(self, record):
        # Another watcher may have removed it, or its owner started it again.
        current = self._members.by_node.get(record.node)
        return (
            current is not None
            and current.incarnation == record.incarnation
            and current.state != EndpointState.GONE
        )

    def _case_of(self, record):
        own = self._members.own
        known = [
            row
            for row in self._members.present()
            if row.node not in (own.node, record.node)
        ]
        domain = record.failure_domain
        mates = [row for row in known if row.failure_domain == domain]
        others = [row for row in known if row.failure_domain != domain]
        asked_mates = self._preferred(mates)[:ASKED_MATES]
        asked_others = self._spread(self._preferred(others))[:ASKED_OTHERS]
        verdicts = list(
            self._askers.map(
                lambda row: self._ask(row, record), asked_mates + asked_others
            )
        )
        mate_verdicts = tuple(verdicts[: len(asked_mates)])
        other_verdicts = tuple(verdicts[len(asked_mates) :])
        is_mate = domain == own.failure_domain
        is_domain_silent = not any(mate_verdicts) and not (is_mate and known)
        return SilenceCase(
            mate_verdicts=tuple(verdict for verdict in mate_verdicts if verdict),
            other_verdicts=tuple(verdict for verdict in other_verdicts if verdict),
            is_mate=is_mate,
            has_mates=bool(mates),
            is_only_peer=not known,
            is_held_long_enough=is_domain_silent and self._is_held(domain),
            reaches_majority=self._reaches_majority,
        )

    def _is_held(self, domain):
        now = self._clock.monotonic()
        since = self._domain_silent_since.setdefault(domain, now)
        return now - since >= self._settings.domain_hold_seconds

    def _preferred(self, records):
        shuffled = self._random.sample(records, len(records))
        suspect_seconds = self._settings.suspect_seconds
        return sorted(
            shuffled,
            key=lambda row: (
                row.node in self._members.silent,
                not self.was_heard(row.node, suspect_seconds),
            ),
        )

    def _spread(self, records):
        # One of each failure domain first, the own one last: after a cut, those
        # elsewhere may still reach the suspect.
        seen = {self._members.own.failure_domain}
        first, rest = [], []
        for record in records:
            (rest if record.failure_domain in seen else first).append(record)
            seen.add(record.failure_domain)
        return first + rest

    def _ask(self, asked, suspect):
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
            self._release(asked.node, asked.control_address)
        self.heard(asked.node)
        return reply.verdict

    def receive_check(self, message):
        """Handle a SilenceCheck."""
        if self.was_heard(message.node, self._settings.heartbeat_seconds / 2):
            return SilenceReply(Reachability.REACHABLE)
        if not self._guard.may_judge or not self._checks.acquire(blocking=False):
            return SilenceReply(Reachability.UNKNOWN)
        try:
            answers = self._answers(message.node, message.incarnation, message.address)
        finally:
            self._checks.release()
        if not self._guard.may_judge:
            return SilenceReply(Reachability.UNKNOWN)
        return SilenceReply(Reachability.REACHABLE if answers else Reachability.SILENT)

    def _answers(self, node, incarnation, address):
        own = self._members.own
        message = Heartbeat(own.node, own.incarnation, 0, 0)
        try:
            reply = self._peers.request(address, message, PROBE_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            return False
        finally:
            self._release(node, address)
        # Another node may listen where the suspect did.
        return reply.node == node and reply.incarnation >= incarnation

    def _release(self, node, address):
        if not self.is_linked(node):
            self._peers.forget(address)

    def _reaches_majority(self):
        own = self._members.own
        records_by_domain = {}
        for record in self._members.present():
            records_by_domain.setdefault(record.failure_domain, []).append(record)
        domains = records_by_domain.keys() - {own.failure_domain}
        reached = 1 + sum(
            self._askers.map(
                lambda domain: self._reaches(records_by_domain[domain]), domains
            )
        )
        return reached * 2 > len(domains) + 1

    def _reaches(self, records):
        suspect_seconds = self._settings.suspect_seconds
        if any(self.was_heard(record.node, suspect_seconds) for record in records):
            return True
        probed = self._random.sample(records, min(PROBED_PER_DOMAIN, len(records)))
        return any(
            self._answers(record.node, record.incarnation, record.control_address)
            for record in probed
        )
