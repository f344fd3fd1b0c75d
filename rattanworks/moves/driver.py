"""Drives one move: evaluates its evidence and writes its progress to the store."""

from dataclasses import replace

from rattanworks.exceptions import StoreConflictError
from rattanworks.model.service import MoveStatus, done, taken_back
from rattanworks.moves.collector import EvidenceCollector
from rattanworks.moves.decision import Action, MoveEvaluator, ServerCounts
from rattanworks.ports.base import revision_of
from rattanworks.utils.logging import log_event

# A longer gap between two looks means that the process was paused and its evidence is
# stale.
MAX_GAP_SECONDS = 4.0
# Interval at which the reason shown to operators is updated while the share stays.
REASON_UPDATE_SECONDS = 15.0


class MoveDriver:
    """Evaluates the evidence on one move and carries out the decisions.

    Every change of the share, and the end as done, is a compare-and-swap on the
    revision that this driver wrote last, beginning with the one that took the role.
    Taking back (rolling back) needs none, as it is safe on any node.
    """

    def __init__(self, state, own_node, services, members, records, clock, settings):
        self._service = state.service
        self.generation = state.generation
        self._own_node = own_node
        self._services = services
        self._members = members
        self._records = records
        self._clock = clock
        self._settings = settings
        self._recorded = None
        self._written_at = 0.0
        self._last_look_at = clock.monotonic()
        self._reset(state)

    def _reset(self, state):
        self.collector = EvidenceCollector(state.generation, state.move.to_version)
        self._evaluator = MoveEvaluator(self._settings, state.move, self._clock.now())

    @property
    def state(self):
        """Return the service's state as this node knows it."""
        return self._services.rows_by_name[self._service]

    @property
    def is_attached(self):
        """Return whether this driver wrote its term and was not superseded since."""
        return self._recorded is not None

    def attach(self):
        """Write a new term with this node as holder; return whether it was written.

        Where the store has an older state than this node, or none, as after its return
        from an older copy, the move goes on from the state of this node. Raise
        StoreError while the store does not answer.
        """
        recorded = self._records.read(self._service)
        if recorded is not None:
            self._services.merge((recorded.state,))
        state = self.state
        if state.generation != self.generation or not state.is_moving:
            return False
        move = replace(
            state.move, holder=self._own_node, term=state.move.term + 1, step=0
        )
        revision = revision_of(recorded)
        try:
            self._write(replace(state, move=move), revision)
        except StoreConflictError:
            return False
        self._reset(self._recorded.state)
        log_event("move-role-taken", service=self._service, term=move.term)
        return True

    def _write(self, state, revision):
        self._recorded = self._records.write(state, revision)
        self._written_at = self._clock.now()
        self._services.merge((state,))

    def look(self):
        """Evaluate the new evidence and carry out the decision; raise StoreError."""
        if self._was_paused() or self._is_superseded():
            self._recorded = None
            self._reset(self.state)
            return
        if self.collector.knows_taken_back:
            self._take_back("taken back on another node's word")
            return
        if not self.collector.is_complete():
            return
        now = self._clock.now()
        servers = self._count_servers()
        self._evaluator.observe(self.collector.take(), servers)
        decision = self._evaluator.decide(now, servers)
        self._carry_out(decision, now)

    def _was_paused(self):
        now = self._clock.monotonic()
        gap, self._last_look_at = now - self._last_look_at, now
        return gap > MAX_GAP_SECONDS

    def _is_superseded(self):
        if not self.is_attached:
            return False
        return self.state.move.term > self._recorded.state.move.term

    def _count_servers(self):
        move = self.state.move
        versions = [
            record.version
            for record in self._members.by_node.values()
            if record.service == self._service and record.accepts_calls
        ]
        return ServerCounts(
            versions.count(move.to_version), versions.count(move.from_version)
        )

    def _carry_out(self, decision, now):
        if decision.action == Action.TAKE_BACK:
            self._take_back(decision.reason)
            return
        state_builder_by_action = {
            Action.HOLD: self._hold_state,
            Action.SET_SHARE: self._advanced_state,
            Action.ADVANCE: self._advanced_state,
            Action.FINISH: self._finished_state,
        }
        if not self.is_attached:
            return
        state = state_builder_by_action[decision.action](decision, now)
        if state is not None:
            self._compare_and_swap(state, decision, now)

    def _hold_state(self, decision, now):
        move = self._recorded.state.move
        if (
            now - self._written_at < REASON_UPDATE_SECONDS
            or decision.reason == move.reason
        ):
            return None
        move = replace(move, step=move.step + 1, reason=decision.reason)
        return replace(self._recorded.state, move=move)

    def _advanced_state(self, decision, now):
        move = self._recorded.state.move
        stage = move.stage + (decision.action == Action.ADVANCE)
        move = replace(
            move,
            stage=stage,
            share=decision.share,
            step=move.step + 1,
            reason=decision.reason,
        )
        return replace(self._recorded.state, move=move)

    def _finished_state(self, decision, now):
        late = now - self._recorded.state.move.finish_by
        reason = decision.reason
        if late > 0:
            reason = f"{late:.0f} s late, held up by the store or the role; {reason}"
        return done(self._recorded.state, reason, now)

    def _compare_and_swap(self, state, decision, now):
        try:
            self._write(state, self._recorded.revision)
        except StoreConflictError:
            # Another role holder or an operator changed the record: read it again.
            self._recorded = None
            recorded = self._records.read(self._service)
            if recorded is not None:
                self._services.merge((recorded.state,))
            return
        self._evaluator.update(state.move, now)
        if decision.action == Action.HOLD:
            return
        log_event(
            "move-advanced",
            service=self._service,
            status=state.move.status.name.lower(),
            stage=state.move.stage,
            share=round(state.move.share, 4),
            reason=decision.reason,
        )

    def _take_back(self, reason):
        state = taken_back(self.state, reason, self._clock.now())
        self._services.merge((state,))
        log_event("move-taken-back", service=self._service, reason=reason)


def record_end(state, services, records, trail):
    """Write the end of a move to the store and the trail.

    Most ends as done are in the store already, unless it returned from an older copy,
    which may have an earlier move or none. Return False if the record changed
    meanwhile and the caller must try again. Raise StoreError while the store does not
    answer.
    """
    recorded = records.read(state.service)
    if recorded is not None and recorded.state.generation > state.generation:
        return True
    if recorded is None or not _has_end(recorded.state, state):
        try:
            recorded = records.write(
                _ended_state(recorded, state), revision_of(recorded)
            )
        except StoreConflictError:
            return False
    services.merge((recorded.state,))
    trail.record(recorded.state)
    return True


def _has_end(recorded_state, state):
    if recorded_state.generation != state.generation:
        return False
    return recorded_state.move.status >= state.move.status


def _ended_state(recorded, state):
    move = state.move
    is_same_move = (
        recorded is not None and recorded.state.generation == state.generation
    )
    if move.status == MoveStatus.DONE or not is_same_move:
        return state
    return taken_back(recorded.state, move.reason, move.ended_at)
