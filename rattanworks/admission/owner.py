"""The owner: admits or refuses calls at the node beside the backend server."""

import math
import random
import threading
from dataclasses import replace

from rattanworks.admission.call_queue import AdmissionResult
from rattanworks.admission.return_time import retry_after_seconds
from rattanworks.admission.slots import SlotQueue
from rattanworks.admission.time_left import TimeLeft
from rattanworks.admission.waiting import Rank
from rattanworks.exceptions import (
    AnswerBudgetExhaustedError,
    AnswerTooLargeError,
    CallAbandonedError,
    CallMisdirectedError,
    CallNotSentError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.model.call import Outcome, refusal, unknown_outcome
from rattanworks.model.endpoint import EndpointState
from rattanworks.quarantine.breaker import (
    FIRST_DELAY_SECONDS,
    QUARANTINED,
    build_quarantine,
)
from rattanworks.utils.digest import hash_of
from rattanworks.utils.logging import log_event
from rattanworks.utils.weighted_mean import WeightedMeans, updated_mean

LEAVING_RETRY_AFTER_SECONDS = 0.05
MIN_SHED_RETRY_AFTER_SECONDS = 0.05
MAX_SHED_RETRY_AFTER_SECONDS = 3600.0
RETRY_AFTER_HEADER = "retry-after"
# After these the connection has not ended: the server may well be running.
ENDED_BY_NODE = (
    AnswerBudgetExhaustedError,
    AnswerTooLargeError,
    CallAbandonedError,
    CallTimedOutError,
)
MAX_MISSED_HEARTBEATS = 3
MIN_VERSION_SHARE = 0.01
MAX_CONSECUTIVE_SEND_FAILURES = 3
# Weight of one call in the mean run time of its route.
RUN_SECONDS_WEIGHT = 0.1
MAX_ROUTES = 1024
# Weight of one call in the share of repeats, a mean over some seconds of calls.
REPEAT_WEIGHT = 0.02


class Owner:
    """Admits calls to the backend server beside this node."""

    def __init__(
        self,
        members,
        tables,
        limits,
        clock,
        queue_length,
        queue_per_slot=math.inf,
        quarantine=None,
    ):
        self._members = members
        self._tables = tables
        self._limits = limits
        self._clock = clock
        self._queue_length = queue_length
        self._queue_per_slot = queue_per_slot
        self._quarantine = quarantine or build_quarantine(clock)
        self._crashed_identity = None
        self._lock = threading.Lock()
        self._backend = None
        self._slot_queue = None
        self.observer = None
        self._announcement = None
        self._left_identity = None
        self._checks_without_heartbeat = 0
        self._consecutive_send_failures = 0
        self._is_stopping = False
        self._run_seconds = WeightedMeans(RUN_SECONDS_WEIGHT, MAX_ROUTES)
        self._repeat_share = 0.0
        self._random = random.Random()

    @property
    def load(self):
        """Return the load of the slots: 1 or more when none is free."""
        return self._slot_queue.load if self._slot_queue else 1.0

    @property
    def repeat_share(self):
        """Return the share of repeats among the calls sent to the backend server."""
        return self._repeat_share

    @property
    def running(self):
        """Return the number of calls running on the backend server."""
        return self._slot_queue.running if self._slot_queue else 0

    @property
    def limit(self):
        """Return the calls a second that the backend server takes, None if unnamed."""
        return self._slot_queue.limit.calls_per_second if self._slot_queue else None

    @property
    def waiting(self):
        """Return the number of calls in the queue."""
        return self._slot_queue.waiting if self._slot_queue else 0

    def renew(self, announcement):
        """Record a heartbeat; return whether it leaves the endpoint unchanged."""
        with self._lock:
            if self._is_stale(announcement):
                return True
            if announcement != self._announcement:
                return False
            self._checks_without_heartbeat = 0
            return self._is_stopping or self._is_serving()

    def attach(self, backend, announcement):
        """Serve the backend server that announced itself, for the first time or not."""
        with self._lock:
            if self._is_stopping or self._is_stale(announcement):
                return
            old_backend, old_queue = self._backend, self._slot_queue
            if self._is_same_server(announcement):
                old_queue.resize(announcement.slots)
            else:
                self._slot_queue = SlotQueue(
                    announcement.slots,
                    self._max_queue_length(announcement.slots),
                    self._clock,
                    self._limit_of(announcement),
                )
            self._backend = backend
            self._announcement = announcement
            if announcement.identity == self._left_identity:
                self._left_identity = None
            self._checks_without_heartbeat = 0
            self._consecutive_send_failures = 0
            is_replaced = old_queue is not None and old_queue is not self._slot_queue
            self._members.update_own(**self._serving_changes(announcement))
        if is_replaced:
            old_queue.close()
        if old_backend is not None:
            old_backend.close()

    def _limit_of(self, announcement):
        """Return the limit that this run of the server has named, None for another."""
        known = self._announcement
        if known is None or known.identity != announcement.identity:
            return None
        return self._slot_queue.limit

    def _max_queue_length(self, slots):
        """Return how many calls may wait for a number of slots.

        Load pattern: lasting overload. A queue that takes longer to drain than an
        objective makes every call late, and refuses calls after they have waited;
        a short queue keeps the slots just as busy.
        """
        return int(min(self._queue_length, self._queue_per_slot * slots))

    def _is_stale(self, announcement):
        # A heartbeat of a server that left does not bring it back; another run of
        # the server does, or an announcement without heartbeats.
        is_heartbeat = announcement.heartbeat_seconds > 0
        return is_heartbeat and announcement.identity == self._left_identity

    def _is_same_server(self, announcement):
        known = self._announcement
        return (
            known is not None
            and self._slot_queue is not None
            and known.identity == announcement.identity
            and self._is_serving()
        )

    def _serving_changes(self, announcement):
        changes = {
            "state": EndpointState.SERVING,
            "service": announcement.service,
            "version": announcement.version,
            "slots": announcement.slots,
        }
        own = self._members.own
        if own.state > EndpointState.SERVING:
            # Within an incarnation the state only advances: a return needs a new one.
            changes["incarnation"] = own.incarnation + 1
        return changes

    def _is_serving(self):
        return self._members.own.state == EndpointState.SERVING

    def leave(self, announcement=None):
        """Take no new calls: the server is leaving; ignore its later heartbeats.

        ``announcement`` is that of the server that leaves, by default the latest
        one. Running calls finish, waiting calls are refused.
        """
        announcement = announcement or self._announcement
        if announcement is not None:
            self._left_identity = announcement.identity
        self._withdraw()

    def _withdraw(self):
        with self._lock:
            self._set_leaving()
            slot_queue = self._slot_queue
        if slot_queue is not None:
            slot_queue.close()

    def _set_leaving(self):
        if self._members.own.state < EndpointState.LEAVING:
            self._members.update_own(state=EndpointState.LEAVING)

    def stop(self):
        """Leave permanently: the node stops; later announcements are ignored."""
        self._is_stopping = True
        self.leave()

    def check_heartbeat(self, seconds):
        """Leave when heartbeats have stopped; called every ``seconds``.

        Counts checks instead of measuring time, so that a pause of this process is
        not mistaken for silence of the backend server.
        """
        announcement = self._announcement
        if announcement is None or not announcement.heartbeat_seconds:
            return
        self._checks_without_heartbeat += 1
        silence = self._checks_without_heartbeat * seconds
        limit = MAX_MISSED_HEARTBEATS * announcement.heartbeat_seconds
        if silence > limit and self._is_serving():
            log_event("backend-silent", address=announcement.address, seconds=silence)
            self._withdraw()

    def owns(self, record):
        """Return whether a record is this node's endpoint."""
        return record.node == self._members.own.node

    def dispatch(self, call, node, incarnation):
        """Run the call if it is admitted and return its Answer.

        ``incarnation`` is the one that the entry knows. It is not compared: a server
        that has left and returned since then serves the call as well.
        """
        own = self._members.own
        if node != own.node or call.service != own.service:
            return refusal(502, "this node does not own that endpoint")
        if own.state != EndpointState.SERVING:
            return refusal(503, "the endpoint is leaving", LEAVING_RETRY_AFTER_SECONDS)
        if call.version != own.version:
            return refusal(502, "the endpoint serves another version")
        refused = self.observer.refusal(call) if self.observer else None
        if refused is not None:
            return refused
        with self._lock:
            slot_queue, server = self._slot_queue, (self._backend, self._announcement)
        return self._admit(call, slot_queue, server, own)

    def _admit(self, call, slot_queue, server, own):
        use = self._service_use(call)
        is_beyond_plan = not self._is_within_plan(call, use, own)
        answer = self._run_in_slot(call, slot_queue, server, is_beyond_plan)
        if answer.outcome == Outcome.NOT_RUN and use and not is_beyond_plan:
            self._limits.refund(call.customer, use)
        return answer

    def _run_in_slot(self, call, slot_queue, server, is_beyond_plan):
        time_left = TimeLeft(self._clock, call.deadline)
        expected_seconds = self._run_seconds.get(call.route, 0.0)
        rank = Rank.of(call, expected_seconds, is_beyond_plan)
        arrived_at = self._clock.monotonic()
        admission = slot_queue.acquire(rank, may_wait=not is_beyond_plan)
        if not admission.is_granted:
            log_event(
                "call-not-admitted",
                request_id=call.request_id,
                service=call.service,
                priority=call.priority,
                verdict=admission.result.name.lower(),
                running=slot_queue.running,
                waiting=slot_queue.waiting,
                limit=slot_queue.limit.calls_per_second,
                retry_after=round(admission.retry_after, 3),
            )
            load = slot_queue.load_ahead(rank, arrived_at)
            return self._refusal(call, admission, is_beyond_plan, load)
        try:
            answer = self._run_observed(call, server, time_left)
            if answer.notice is not None:
                self._apply_notice(slot_queue, answer.notice, call.request_id)
        finally:
            slot_queue.release(admission)
        return replace(answer, load=slot_queue.load_ahead(rank, arrived_at))

    def _refusal(self, call, admission, is_beyond_plan, load):
        time_left = call.deadline - self._clock.monotonic()
        retry_after = retry_after_seconds(
            admission.retry_after, time_left, self._random.random()
        )
        result = admission.result
        if is_beyond_plan and result == AdmissionResult.FULL:
            text = "beyond the plan's rate and no slot is free"
            return refusal(429, text, retry_after, load)
        return refusal(503, result.value, retry_after, load)

    def _service_use(self, call):
        # The entry refuses unknown customers; this node may not know a new one yet.
        plan = self._tables.current.plan_of(call.customer)
        uses = plan.uses if plan is not None else ()
        return next((use for use in uses if use.service == call.service), None)

    def _is_within_plan(self, call, use, own):
        target = self._tables.current.targets_by_service.get(call.service)
        if use is None or target is None:
            return True
        share = max(target.share_of(own.version), MIN_VERSION_SHARE)
        owners = len(target.endpoints(own.version)) / share
        return self._limits.admit(call.customer, use, owners)

    def _run_observed(self, call, server, time_left):
        started = self._clock.monotonic()
        answer = self._run(call, *server, time_left)
        seconds = self._clock.monotonic() - started
        if answer.outcome == Outcome.DONE:
            self._run_seconds.add(call.route, seconds)
        if self.observer is not None:
            self.observer.observe(call, answer, seconds)
        return answer

    def _run(self, call, backend, announcement, time_left):
        left = time_left.seconds()
        if left <= 0:
            return refusal(504, "the deadline passed before the call was sent")
        if call.is_abandoned():
            return refusal(504, "the caller left before the call was sent")
        if not call.is_trial and self._quarantine.is_held(call.fingerprint):
            # Its server has crashed while this call was waiting.
            return refusal(503, QUARANTINED, FIRST_DELAY_SECONDS)
        if announcement.identity == self._left_identity:
            # The server has left since the call got its slot.
            return refusal(503, "the endpoint is leaving", LEAVING_RETRY_AFTER_SECONDS)
        self._repeat_share = updated_mean(
            self._repeat_share, call.is_repeat, REPEAT_WEIGHT
        )
        call = replace(call, deadline=self._clock.monotonic() + left)
        try:
            answer = backend.run(call)
        except CallMisdirectedError as error:
            self._handle_replaced_server(backend)
            refused = refusal(503, str(error), LEAVING_RETRY_AFTER_SECONDS)
            return replace(refused, is_offered=True)
        except CallNotSentError as error:
            self._handle_send_failure(backend)
            return refusal(503, str(error), LEAVING_RETRY_AFTER_SECONDS)
        except CallOutcomeUnknownError as error:
            answer = unknown_outcome(error.status, str(error))
            crashed = self._crashed_server(call, backend, announcement, error)
            return replace(answer, crashed_server=crashed)
        self._consecutive_send_failures = 0
        if answer.outcome == Outcome.DONE:
            self._quarantine.record_answer(call)
        return _with_retry_after(replace(answer, is_offered=True))

    def _crashed_server(self, call, backend, announcement, error):
        """Return which run of the server crashed under the call, empty for none.

        A connection also ends when a server stops as planned, or breaks off one answer
        and runs on.
        """
        has_left = announcement.identity == self._left_identity
        if isinstance(error, ENDED_BY_NODE) or has_left or backend.is_reachable():
            return ""
        server = _run_name(self._members.own.node, announcement)
        if self._crashed_identity != announcement.identity:
            self._crashed_identity = announcement.identity
            log_event("backend-crashed", address=announcement.address, server=server)
        self._quarantine.record_crash(call, server)
        return server

    def _apply_notice(self, slot_queue, notice, request_id):
        with self._lock:
            # A run of the server keeps its limit, also with another queue.
            if slot_queue.limit is not self._slot_queue.limit:
                return
            slot_queue, announcement = self._slot_queue, self._announcement
            is_new = announcement.identity != self._left_identity
            if notice.is_leaving and is_new:
                self._left_identity = announcement.identity
                self._set_leaving()
        if notice.is_leaving and is_new:
            log_event(
                "backend-leaving", address=announcement.address, request_id=request_id
            )
            slot_queue.close()
        if not notice.is_limit_readable:
            return
        previous = slot_queue.limit.calls_per_second
        if slot_queue.update_limit(notice.calls_per_second):
            log_event(
                "backend-limit",
                address=announcement.address,
                request_id=request_id,
                previous=previous,
                calls_per_second=slot_queue.limit.calls_per_second,
            )

    def _handle_replaced_server(self, backend):
        if backend is self._backend:
            log_event("backend-replaced", address=self._announcement.address)
            self._withdraw()

    def _handle_send_failure(self, backend):
        # Withdraw only a server that sends heartbeats: the next one brings it back.
        self._consecutive_send_failures += 1
        announcement = self._announcement
        if (
            backend is self._backend
            and announcement.heartbeat_seconds
            and self._consecutive_send_failures >= MAX_CONSECUTIVE_SEND_FAILURES
        ):
            log_event("backend-unreached", address=announcement.address)
            self._withdraw()


def _run_name(node, announcement):
    """Return a short name for one run of the server beside a node."""
    return f"{hash_of(f'{node}|{announcement.identity}'):016x}"


def _with_retry_after(answer):
    # A server that sheds load may send Retry-After; callers get the header once,
    # from the answer's ``retry_after``.
    if answer.outcome != Outcome.NOT_RUN:
        return answer
    values = [
        value for name, value in answer.headers if name.lower() == RETRY_AFTER_HEADER
    ]
    headers = [pair for pair in answer.headers if pair[0].lower() != RETRY_AFTER_HEADER]
    seconds = float(values[0]) if values and values[0].isdecimal() else 0.0
    retry_after = min(
        max(seconds, MIN_SHED_RETRY_AFTER_SECONDS), MAX_SHED_RETRY_AFTER_SECONDS
    )
    return replace(answer, headers=tuple(headers), retry_after=retry_after)
