"""Counts the evidence on a running move at owners and entries."""

import threading
from collections import Counter, deque
from dataclasses import dataclass, field

from rattanworks.model.call import Outcome, refusal
from rattanworks.model.control import Evidence, RouteSums
from rattanworks.moves.histogram import latency_bucket

MAX_ROUTES = 64
OTHER_ROUTES = "(other)"
MIN_SERVER_ERROR_STATUS = 500

# Severe failure: of the last RECENT_CALLS calls of one route at this owner, at least
# SEVERE_FAILURES failed, the last one among them. The new version's calls of the route
# are then refused for REFUSE_SECONDS.
RECENT_CALLS = 10
SEVERE_FAILURES = 6
REFUSE_SECONDS = 3.0
BLOCKED_RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class _RouteLog:
    calls: int = 0
    failures: int = 0
    latency_counts: Counter = field(default_factory=Counter)
    recent_failures: deque = field(default_factory=lambda: deque(maxlen=RECENT_CALLS))
    refuses_until: float = 0.0


def is_failed(answer):
    """Return whether an answer counts against the version that gave it."""
    if answer.outcome == Outcome.NOT_RUN:
        return False
    return answer.outcome == Outcome.UNKNOWN or answer.status >= MIN_SERVER_ERROR_STATUS


class EvidenceLog:
    """Counts the calls of this node's backend server while a move runs.

    It also refuses calls of the new version as "not run" as soon as a route fails
    severely or the move was taken back (rolled back), without waiting for a decision
    of the role holder.
    """

    def __init__(self, members, services, clock, warm_up_seconds):
        self._members = members
        self._services = services
        self._clock = clock
        self._warm_up_seconds = warm_up_seconds
        self._lock = threading.Lock()
        self._first_call_at = None
        self._series = None
        self._logs_by_route = {}
        self._unreachable = Counter()
        self._unreachable_series = None

    def refusal(self, call):
        """Return the refusal of a call that must not run, or None."""
        state = self._services.rows_by_name.get(call.service)
        if state is None:
            return None
        if state.is_blocked(call.version):
            reason = f"version {call.version} was taken back"
            return refusal(503, reason, BLOCKED_RETRY_AFTER_SECONDS)
        if not state.is_moving or call.version != state.move.to_version:
            return None
        log = self._logs_by_route.get(call.route)
        if log is None or self._clock.monotonic() >= log.refuses_until:
            return None
        seconds_left = log.refuses_until - self._clock.monotonic()
        return refusal(503, f"version {call.version} fails on this route", seconds_left)

    def observe(self, call, answer, seconds):
        """Count a call that the backend server answered or broke off in ``seconds``."""
        now = self._clock.monotonic()
        if self._first_call_at is None:
            self._first_call_at = now
        state = self._services.rows_by_name.get(call.service)
        if state is None or not state.is_moving:
            return
        with self._lock:
            self._start_series(state)
            log = self._route_log(call.route)
            self._count(log, answer, seconds, now)
            is_new = call.version == state.move.to_version
            if is_new:
                self._refuse_if_severe(log, now)

    def _start_series(self, state):
        series = (state.generation, state.move.stage)
        if series == self._series:
            return
        if self._series is not None and series < self._series:
            return
        if self._series is not None and series[0] != self._series[0]:
            # Failures in an earlier move are no evidence on this one.
            self._logs_by_route.clear()
        self._series = series
        for log in self._logs_by_route.values():
            log.calls = log.failures = 0
            log.latency_counts = Counter()

    def _route_log(self, route):
        if route not in self._logs_by_route and len(self._logs_by_route) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self._logs_by_route.setdefault(route, _RouteLog())

    def _count(self, log, answer, seconds, now):
        if answer.outcome == Outcome.NOT_RUN:
            return
        failed = is_failed(answer)
        log.calls += 1
        log.failures += failed
        log.recent_failures.append(failed)
        is_warm = now - self._first_call_at >= self._warm_up_seconds
        if is_warm and not failed:
            log.latency_counts[latency_bucket(seconds)] += 1

    def _refuse_if_severe(self, log, now):
        failed_last = bool(log.recent_failures) and log.recent_failures[-1]
        if not failed_last or sum(log.recent_failures) < SEVERE_FAILURES:
            return
        log.refuses_until = now + REFUSE_SECONDS

    def record_unreachable(self, record):
        """Count a call that could not be delivered to an endpoint."""
        state = self._services.rows_by_name.get(record.service)
        if state is None or not state.is_moving:
            return
        if record.version != state.move.to_version:
            return
        series = (state.service, state.generation)
        with self._lock:
            if series != self._unreachable_series:
                self._unreachable_series = series
                self._unreachable.clear()
            self._unreachable[record.node] += 1

    def report(self, state):
        """Return this node's Evidence on a service's move."""
        own = self._members.own
        versions = (state.move.from_version, state.move.to_version)
        serves = own.service == state.service and own.version in versions
        with self._lock:
            sums = ()
            if serves and state.is_moving:
                self._start_series(state)
                sums = tuple(
                    RouteSums(route, log.calls, log.failures, dict(log.latency_counts))
                    for route, log in self._logs_by_route.items()
                    if log.calls
                )
            unreachable = {}
            if self._unreachable_series == (state.service, state.generation):
                unreachable = dict(self._unreachable)
        return Evidence(
            sender=own.node,
            incarnation=own.incarnation,
            service=state.service,
            generation=state.generation,
            stage=state.move.stage,
            version=own.version if serves else "",
            sums=sums,
            unreachable_by_node=unreachable,
            knows_taken_back=state.is_blocked(state.move.to_version),
        )
