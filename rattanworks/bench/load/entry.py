"""The entry of a simulated node: the real endpoint choice and retry policy.

Calls between nodes are events of the simulated time instead of network calls.
"""

import itertools
from dataclasses import replace

from rattanworks.admission.return_time import retry_after_seconds
from rattanworks.bench.load.nodes import REFUSED_STATUS, VERSION
from rattanworks.model.call import Call, Outcome, refusal
from rattanworks.model.route import RouteKind
from rattanworks.routing.attempts import Attempt, Attempts
from rattanworks.routing.entry import NO_ENDPOINT_RETRY_AFTER_SECONDS
from rattanworks.routing.failure_share import FailureShare
from rattanworks.routing.retries import (
    RetryBudget,
    RetryPolicy,
    RetrySettings,
    is_failed,
)

# One-way delays, including the nodes' own processing, within the entry's own node,
# within its failure domain and to another one. Same order of magnitude as in a
# rack's network.
OWN_HOP_SECONDS = 0.0005
NEAR_HOP_SECONDS = 0.002
FAR_HOP_SECONDS = 0.0035
MAX_ATTEMPTS = 2
MESH_BURST = 30.0
METHOD_BY_KIND = {RouteKind.IDEMPOTENT: "GET"}


class ModelEntry:
    """Sends requests that enter at one node to endpoints and returns the answers."""

    def __init__(self, node, nodes, kinds_by_name, chooser, statistics, timeline, rng):
        self._node = node
        self._nodes_by_name = {other.name: other for other in nodes}
        self._endpoints_by_service = _endpoints_by_service(nodes)
        self._kinds_by_name = kinds_by_name
        self._chooser = chooser
        self._statistics = statistics
        self._timeline = timeline
        self._random = rng
        settings = RetrySettings(mesh_burst=MESH_BURST)
        self._budget = RetryBudget(timeline, settings, lambda: len(nodes))
        self._failures = FailureShare(timeline)
        self._policy = RetryPolicy(self._budget, self._failures)
        self._request_numbers = itertools.count()

    def begin(self, kind_name, deadline, done):
        """Route a request of a kind and pass the Answer to ``done``."""
        kind = self._kinds_by_name[kind_name]
        now = self._timeline.monotonic()
        call = Call(
            request_id=f"{self._node.name}-{next(self._request_numbers)}",
            customer="",
            plan="",
            priority=kind.priority,
            service=kind.service,
            route=kind.name,
            method=METHOD_BY_KIND.get(kind.route_kind, "POST"),
            target="/",
            headers=(),
            body=b"",
            deadline=min(deadline, now + kind.timeout),
            version=VERSION,
            objective=now + kind.objective,
            kind=kind.route_kind,
        )
        self._budget.count_call(kind.service)
        self._attempt_next(call, kind, Attempts(MAX_ATTEMPTS), done)

    def _attempt_next(self, call, kind, attempts, done):
        record = self._chooser.choose(
            self._endpoints_by_service[kind.service],
            attempts.tried_nodes,
            kind.request_bytes,
            attempts.has_owner_refusal,
            kind.name,
        )
        if record is None:
            done(attempts.final_answer(self._no_endpoint_refusal(call)))
            return
        owner = self._nodes_by_name[record.node]
        hop = self._hop(owner, kind)
        self._chooser.started(record)
        started = self._timeline.monotonic()

        def arrive():
            if owner.is_gone:
                undelivered = Attempt(
                    self._no_endpoint_refusal(call), is_undelivered=True
                )
                self._timeline.call_later(hop, ended, undelivered)
            else:
                self._statistics.record_arrival(kind, call.is_repeat)
                owner.dispatch(call, kind, answered)

        def answered(answer):
            self._timeline.call_later(hop, ended, Attempt(answer))

        def ended(attempt):
            self._record_attempt(record, attempt, started, kind)
            attempts.record(record.node, attempt)
            self._finish_or_retry(call, kind, attempts, attempt, done)

        self._timeline.call_later(hop, arrive)

    def _finish_or_retry(self, call, kind, attempts, attempt, done):
        is_late = self._timeline.monotonic() >= call.deadline
        if (
            is_late
            or not attempts.may_continue
            or not self._policy.is_retried(call, attempt, may_retry=True)
        ):
            done(attempts.final_answer(attempt.answer))
            return
        repeat = replace(call, is_repeat=attempts.is_sent)
        self._attempt_next(repeat, kind, attempts, done)

    def _record_attempt(self, record, attempt, started, kind):
        load, has_failed, seconds = None, True, None
        if attempt.is_undelivered:
            self._chooser.avoid(record)
        else:
            answer = attempt.answer
            load, has_failed = answer.load, is_failed(answer)
            if answer.outcome == Outcome.DONE:
                seconds = self._timeline.monotonic() - started
        self._chooser.ended(record, load, has_failed, seconds, kind.name)
        self._failures.record(kind.service, has_failed)

    def _no_endpoint_refusal(self, call):
        seconds_left = call.deadline - self._timeline.monotonic()
        seconds = retry_after_seconds(
            NO_ENDPOINT_RETRY_AFTER_SECONDS, seconds_left, self._random.random()
        )
        return refusal(REFUSED_STATUS, "no endpoint takes calls now", seconds)

    def _hop(self, owner, kind):
        if owner is self._node:
            return OWN_HOP_SECONDS
        if owner.host.failure_domain == self._node.host.failure_domain:
            return NEAR_HOP_SECONDS
        self._statistics.record_crossing(kind)
        return FAR_HOP_SECONDS


def _endpoints_by_service(nodes):
    services = {node.service.name for node in nodes}
    return {
        service: tuple(n.record for n in nodes if n.service.name == service)
        for service in services
    }
