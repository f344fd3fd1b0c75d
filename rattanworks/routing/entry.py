"""The entry: sends a caller's request to an endpoint and returns its answer."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from rattanworks.admission.return_time import retry_after_seconds
from rattanworks.admission.waiting import NO_OBJECTIVE
from rattanworks.exceptions import (
    AnswerBudgetExhaustedError,
    CallAbandonedError,
    CallNotSentError,
    CallOutcomeUnknownError,
)
from rattanworks.model.call import (
    Call,
    Headers,
    Outcome,
    refusal,
    return_false,
    unknown_outcome,
)
from rattanworks.model.route import NO_LIMIT
from rattanworks.model.version import NO_HEAD
from rattanworks.quarantine.breaker import QUARANTINED, build_quarantine
from rattanworks.quarantine.fingerprint import fingerprint_of
from rattanworks.routing.attempts import Attempt, Attempts
from rattanworks.routing.failure_share import FailureShare
from rattanworks.routing.retries import (
    MIN_SERVER_ERROR_STATUS,
    RetryBudget,
    RetryPolicy,
    is_failed,
    is_retriable,
)
from rattanworks.utils.logging import log_event

# Backend servers that a call may be sent to when its route sets no limit.
DEFAULT_ATTEMPTS = 3
NO_ENDPOINT_RETRY_AFTER_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000
HIGHEST_PRIORITY = 0
RETRIES_HEADER = ("X-Retries", "outer")


def _keep_deadline(deadline, objective):
    return deadline


def ignore_deadline(deadline):
    """Leave the time of the answer to the call's own thread."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it; ``deadline`` is in monotonic seconds.

    ``received_at`` is the monotonic time at which its first byte arrived and the
    route's timeout starts; 0 stands for now. ``has_outer_retries`` is set when an
    entry further out in the chain of calls retries, so that this one must not.
    ``call_deadline(deadline, objective)`` returns the deadline under which the node
    accepts the call, None to refuse it. ``answer_by(deadline)`` makes sure that the
    caller has an answer soon after the deadline, even if this call goes on.
    """

    request_id: str
    customer: str
    method: str
    path: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    idempotency_key: str = ""
    has_outer_retries: bool = False
    is_abandoned: Callable[[], bool] = return_false
    host: str = ""
    received_at: float = 0.0
    call_deadline: Callable[[float, float], float | None] = _keep_deadline
    answer_by: Callable[[float], None] = ignore_deadline


class Entry:
    """Matches requests to routes and dispatches them, with bounded retries.

    ``observer``, when set, is notified of each endpoint that cannot be reached or
    whose answer does not arrive whole. ``caller_service`` is the service of this
    host, where the calls begin.
    """

    def __init__(
        self,
        tables,
        chooser,
        owner,
        peer_calls,
        ledger,
        clock,
        rng=None,
        budget=None,
        caller_service="",
        quarantine=None,
    ):
        self._tables = tables
        self._chooser = chooser
        self._owner = owner
        self._peer_calls = peer_calls
        self._ledger = ledger
        self._clock = clock
        self._random = rng or random.Random()
        self._budget = budget or RetryBudget(clock)
        self._caller_service = caller_service
        self._quarantine = quarantine or build_quarantine(clock)
        self._failures = FailureShare(clock)
        self._policy = RetryPolicy(self._budget, self._failures)
        self.observer = None

    def priority_of(self, customer, host, path):
        """Return the priority of a request, the lowest number for one without a route.

        Such a request is refused, which costs little.
        """
        table = self._tables.current
        plan = table.plan_of(customer)
        match = table.match(plan, host, path) if plan is not None else None
        return HIGHEST_PRIORITY if match is None else match.priority

    def handle(self, request):
        """Return the Answer to a caller's request."""
        table = self._tables.current
        if table.snapshot.head == NO_HEAD:
            return self._refuse_unmatched(request, 503, "no version is in force yet")
        plan = table.plan_of(request.customer)
        if plan is None:
            text = "unknown customer: send X-Customer with a known id"
            return self._refuse_unmatched(request, 403, text)
        match = table.match(plan, request.host, request.path)
        if match is None:
            text = "no route of the customer's plan covers this path"
            return self._refuse_unmatched(request, 404, text)
        service = match.route.choose_service(self._random.random())
        target = table.targets_by_service.get(service)
        if target is None:
            text = f"service {service} is not available now"
            return self._refuse_unmatched(request, 503, text)
        call = self._call_for(request, match, target)
        # Only a call that may be repeated is worth the risk that a stop cuts it.
        objective = call.objective if call.is_idempotent else NO_OBJECTIVE
        deadline = request.call_deadline(call.deadline, objective)
        if deadline is None:
            return self._refuse_unmatched(
                request, 503, "the node stops before the call ends"
            )
        if deadline < call.deadline:
            call = replace(call, deadline=deadline)
        request.answer_by(call.deadline)
        verdict = self._quarantine.check(call.fingerprint)
        if not verdict.may_run:
            return self._refuse_quarantined(call, verdict)
        if verdict.is_trial:
            call = replace(call, is_trial=True)
        return self._answer(request, match.route, call, target)

    def _refuse_quarantined(self, call, verdict):
        log_event(
            "call-quarantined",
            request_id=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint,
            crashes=verdict.crashes,
            retry_after=round(verdict.retry_after, 3),
        )
        return refusal(503, QUARANTINED, verdict.retry_after)

    def _answer(self, request, route, call, target):
        attempts = Attempts(route.attempts or DEFAULT_ATTEMPTS)

        def serve():
            return self._serve(call, target, request, attempts)

        started_at = self._clock.monotonic()
        if call.idempotency_key and not call.is_idempotent:
            answer = self._ledger.run_once(call, serve)
        else:
            answer = serve()
        self._log_result(call, answer, attempts, started_at)
        return answer

    def _log_result(self, call, answer, attempts, started_at):
        now = self._clock.monotonic()
        fields = {
            "request_id": call.request_id,
            "route": call.route,
            "service": call.service,
            "server_version": call.version,
            "version": self._tables.current.snapshot.head.version,
            "tried": ",".join(attempts.tried_nodes),
            "status": answer.status,
            "outcome": str(answer.outcome),
            "milliseconds": round((now - started_at) * MILLISECONDS_PER_SECOND),
            "milliseconds_left": round((call.deadline - now) * MILLISECONDS_PER_SECOND),
        }
        if answer.outcome == Outcome.DONE and not is_failed(answer):
            log_event("call-answered", **fields)
        else:
            log_event("call-failed", **fields, reason=answer.reason)

    def _refuse_unmatched(self, request, status, reason):
        retry_after = (
            self._retry_after_seconds(request.deadline) if status == 503 else 0.0
        )
        log_event(
            "call-unmatched",
            request_id=request.request_id,
            host=request.host,
            path=request.path,
            customer=request.customer,
            version=self._tables.current.snapshot.head.version,
            status=status,
            reason=reason,
        )
        return refusal(status, reason, retry_after)

    def _retry_after_seconds(self, deadline):
        time_left = deadline - self._clock.monotonic()
        return retry_after_seconds(
            NO_ENDPOINT_RETRY_AFTER_SECONDS, time_left, self._random.random()
        )

    def _call_for(self, request, match, target):
        route = match.route
        return Call(
            request_id=request.request_id,
            customer=request.customer,
            plan=match.plan.name,
            priority=match.priority,
            service=target.service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=_with_retries_header(request.headers),
            body=request.body,
            deadline=self._deadline(request, route),
            objective=self._objective(request, route),
            version=target.choose_version(self._random.random()),
            idempotency_key=request.idempotency_key,
            is_abandoned=request.is_abandoned,
            host=request.host,
            caller_service=self._caller_service,
            kind=route.kind,
            fingerprint=fingerprint_of(
                request.customer,
                request.method,
                request.host,
                request.target,
                request.body,
            ),
        )

    def _deadline(self, request, route):
        if route.timeout_seconds == NO_LIMIT:
            return request.deadline
        return min(request.deadline, self._received_at(request) + route.timeout_seconds)

    def _objective(self, request, route):
        if route.objective_seconds == NO_LIMIT:
            return NO_OBJECTIVE
        return self._received_at(request) + route.objective_seconds

    def _received_at(self, request):
        return request.received_at or self._clock.monotonic()

    def _serve(self, call, target, request, attempts):
        may_retry = not request.has_outer_retries
        self._budget.count_call(call.service, self._owner.repeat_share)
        answer = self._run(call, target, may_retry, attempts)
        fallback = target.fallback_version(call.version)
        is_refused = answer.outcome == Outcome.NOT_RUN and is_retriable(call, answer)
        if fallback is None or not is_refused or self._is_expired_or_abandoned(call):
            return answer
        # The nodes of a version that was taken back (rolled back) refuse all calls
        # unsent, which needs no retry budget.
        if attempts.is_sent and not self._policy.take_retry(call, answer.reason):
            return answer
        return self._run(replace(call, version=fallback), target, may_retry, attempts)

    def _run(self, call, target, may_retry, attempts):
        if self._is_expired_or_abandoned(call):
            return refusal(504, "the caller has gone, or its time was up at the start")
        answer = refusal(
            503, "no endpoint takes calls now", self._retry_after_seconds(call.deadline)
        )
        while attempts.may_continue:
            record = self._chooser.choose(
                target.endpoints(call.version),
                attempts.tried_nodes,
                len(call.body),
                attempts.has_owner_refusal,
                call.route,
            )
            if record is None:
                break
            if attempts.is_sent and not call.is_repeat:
                call = replace(call, is_repeat=True)
            attempt = self._attempt(record, call)
            answer = attempt.answer
            attempts.record(record.node, attempt)
            self._log_attempt(call, record, attempt)
            if not self._is_retried(call, attempt, may_retry, attempts):
                break
        return attempts.final_answer(answer)

    def _is_retried(self, call, attempt, may_retry, attempts):
        if self._is_expired_or_abandoned(call) or not attempts.may_continue:
            return False
        if call.is_trial or self._quarantine.is_held(call.fingerprint):
            return False
        return self._policy.is_retried(call, attempt, may_retry)

    def _log_attempt(self, call, record, attempt):
        answer = attempt.answer
        if answer.outcome == Outcome.DONE and answer.status < MIN_SERVER_ERROR_STATUS:
            return
        log_event(
            "attempt-failed",
            request_id=call.request_id,
            route=call.route,
            node=record.node,
            incarnation=record.incarnation,
            version=self._tables.current.snapshot.head.version,
            status=answer.status,
            outcome=str(answer.outcome),
            is_offered=answer.is_offered,
            load=round(answer.load, 2),
            milliseconds_left=round(
                (call.deadline - self._clock.monotonic()) * MILLISECONDS_PER_SECOND
            ),
            reason=answer.reason,
        )

    def _is_expired_or_abandoned(self, call):
        return self._clock.monotonic() >= call.deadline or call.is_abandoned()

    def _attempt(self, record, call):
        self._chooser.started(record)
        started_at = self._clock.monotonic()
        load, has_failed, seconds = None, True, None
        try:
            answer = self._dispatch(record, call)
            load, has_failed = answer.load, is_failed(answer)
            if answer.outcome == Outcome.DONE:
                seconds = self._clock.monotonic() - started_at
            if answer.crashed_server:
                self._quarantine.record_crash(call, answer.crashed_server)
            return Attempt(answer)
        except CallNotSentError as error:
            self._record_unreachable(record)
            answer = refusal(503, str(error), self._retry_after_seconds(call.deadline))
            return Attempt(answer, is_undelivered=True)
        except (CallAbandonedError, AnswerBudgetExhaustedError) as error:
            # The caller left or this node lacks memory: not the endpoint's fault.
            has_failed = False
            return Attempt(unknown_outcome(error.status, str(error)))
        except CallOutcomeUnknownError as error:
            self._record_unreachable(record)
            return Attempt(unknown_outcome(error.status, str(error)))
        finally:
            self._chooser.ended(record, load, has_failed, seconds, call.route)
            self._failures.record(call.service, has_failed)

    def _record_unreachable(self, record):
        self._chooser.avoid(record)
        if self.observer is not None:
            self.observer.record_unreachable(record)

    def _dispatch(self, record, call):
        if self._owner.owns(record):
            return self._owner.dispatch(call, record.node, record.incarnation)
        return self._peer_calls.dispatch(record, call)


def _with_retries_header(headers):
    others = tuple(pair for pair in headers if pair[0] != RETRIES_HEADER[0])
    return (*others, RETRIES_HEADER)
