"""A node's tasks in moves: reporting evidence, evaluating it, holding the role."""

import functools
import threading

from rattanworks.distribution.keys import move_role_key
from rattanworks.exceptions import PeerUnavailableError, StoreError
from rattanworks.model.control import EvidenceReply
from rattanworks.moves.candidates import candidates, evidence_target
from rattanworks.moves.driver import MoveDriver, record_end
from rattanworks.moves.record import MoveTrail, ServiceRecords
from rattanworks.roles.base import LeasedRole
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

PERIOD_SECONDS = 1.0
# Owners report at whole seconds of the wall clock, so that sums of different
# owners cover the same seconds; the node that evaluates them looks in between.
LOOK_OFFSET_SECONDS = 0.2
REPORT_TIMEOUT_SECONDS = 0.5


class MoveParticipant:
    """Reports evidence on moves and competes to drive the move of its own service."""

    def __init__(self, members, services, store, peers, clock, evidence_log, settings):
        self._members = members
        self._services = services
        self._store = store
        self._peers = peers
        self._clock = clock
        self._evidence_log = evidence_log
        self._settings = settings
        self._records = ServiceRecords(store)
        self._trail = MoveTrail(store)
        self._stopped = threading.Event()
        self._role = None
        self._driver = None
        self._recorded_generation_by_service = {}
        self._reported_by_service = {}
        self._threads = [
            threading.Thread(target=self._run_reports, name="evidence", daemon=True),
            threading.Thread(target=self._run_looks, name="moves", daemon=True),
        ]

    def start(self):
        """Start the threads that report and look at evidence."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the threads and release the role."""
        self._stopped.set()
        self._release_role()

    @property
    def held_roles(self):
        """Return the keys of the roles this node holds."""
        role = self._role
        return (role.key,) if role is not None and role.is_held else ()

    def receive(self, evidence):
        """Handle Evidence from another node."""
        driver = self._driver
        if driver is None or driver.generation != evidence.generation:
            return EvidenceReply(False)
        driver.collector.receive(evidence)
        return EvidenceReply(driver.is_attached)

    def _run_reports(self):
        while not self._wait_for(0.0):
            for state in self._services.rows_by_name.values():
                if state.is_moving:
                    run_guarded("evidence", functools.partial(self._report, state))

    def _run_looks(self):
        while not self._wait_for(LOOK_OFFSET_SECONDS):
            run_guarded("moves", self._look)

    def _look(self):
        try:
            self.step()
        except StoreError as error:
            log_event("move-store-error", reason=str(error))

    def _wait_for(self, offset):
        now = self._clock.now() - offset
        return self._stopped.wait(PERIOD_SECONDS - now % PERIOD_SECONDS)

    def _report(self, state):
        evidence = self._evidence_log.report(state)
        target = evidence_target(state, self._members.by_node.values())
        if target is None or not self._has_unreported(evidence, state, target):
            return
        if target.node == self._members.own.node:
            self.receive(evidence)
            return
        try:
            self._peers.request(
                target.control_address, evidence, REPORT_TIMEOUT_SECONDS
            )
        except PeerUnavailableError as error:
            log_event("evidence-not-sent", service=state.service, reason=str(error))

    def _has_unreported(self, evidence, state, target):
        # Owners report each second; entries only counts not yet reported to the target.
        if evidence.version:
            return True
        reported = (target.node, state.move.term, evidence.unreachable_by_node)
        is_reported = self._reported_by_service.get(state.service) == reported
        self._reported_by_service[state.service] = reported
        return bool(evidence.unreachable_by_node) and not is_reported

    def step(self):
        """Take this node's next step in the move of its own service.

        Compete for the role and evaluate the evidence while the move runs; record
        its end afterwards. Raise StoreError while the store does not answer.
        """
        own = self._members.own
        state = self._services.rows_by_name.get(own.service)
        if state is None or state.move is None:
            return
        records = self._members.by_node.values()
        is_candidate = own.node in candidates(state, records)
        if not state.is_moving:
            self._handle_end(state, is_candidate)
            return
        self._compete(state, is_candidate)
        target = evidence_target(state, records)
        is_holder = self._role is not None and self._role.is_held
        is_target = target is not None and target.node == own.node
        if is_holder or is_target:
            self._evaluate(state, is_holder)
        else:
            self._driver = None

    def _evaluate(self, state, is_holder):
        if self._driver is None or self._driver.generation != state.generation:
            self._driver = MoveDriver(
                state,
                self._members.own.node,
                self._services,
                self._members,
                self._records,
                self._clock,
                self._settings,
            )
        if is_holder and not self._driver.is_attached:
            self._attach(state)
        if self._services.rows_by_name[state.service].is_moving:
            self._driver.look()

    def _attach(self, state):
        # Without the store the node still evaluates, but can only take the move back.
        try:
            self._driver.attach()
        except StoreError as error:
            log_event("move-store-error", service=state.service, reason=str(error))

    def _compete(self, state, is_candidate):
        if is_candidate and self._role is None:
            self._role = LeasedRole(
                self._store,
                move_role_key(state.service),
                self._members.own.control_address.encode(),
                self._clock,
            )
            self._role.start()

    def _release_role(self):
        role, self._role = self._role, None
        if role is not None:
            role.stop()

    def _handle_end(self, state, is_candidate):
        self._driver = None
        self._release_role()
        recorded = self._recorded_generation_by_service.get(state.service, 0)
        if not is_candidate or recorded >= state.generation:
            return
        if record_end(state, self._services, self._records, self._trail):
            self._recorded_generation_by_service[state.service] = state.generation
