"""Simulated callers: Poisson arrivals, and retries of failed requests."""

from dataclasses import dataclass

from rattanworks.bench.load.scenario import DisturbanceKind
from rattanworks.model.call import Outcome
from rattanworks.model.route import RouteKind

CLIENT_HOP_SECONDS = 0.003
# Callers wait for the Retry-After of a refusal, but at most a third of the time that
# is left until their deadline.
MAX_PAUSE_SHARE = 1 / 3
RETRY_PAUSE_SECONDS = 0.02
FIRST_ERROR_STATUS = 400


@dataclass(slots=True)
class _Request:
    kind: object
    sent_at: float
    retries_left: int
    attempt_sent_at: float = 0.0
    was_refused: bool = False


class Callers:
    """Sends the requests of a scenario, retries them and records how they end."""

    def __init__(self, scenario, nodes, statistics, timeline, rng):
        self._scenario = scenario
        self._nodes_by_domain = {
            domain: [n for n in nodes if n.host.failure_domain == domain]
            for domain in scenario.domains
        }
        self._statistics = statistics
        self._timeline = timeline
        self._random = rng
        self._burst_factor = 1.0
        self._retry_storms = ()

    def start(self):
        """Send the first request of each kind; each arrival schedules the next."""
        for kind in self._scenario.kinds:
            if kind.per_second:
                self._timeline.call_later(0.0, self._arrive, kind)

    def begin_disturbance(self, disturbance):
        """Start a burst of requests or a retry storm; ignore other kinds."""
        if disturbance.kind == DisturbanceKind.BURST:
            self._burst_factor *= disturbance.factor
        elif disturbance.kind == DisturbanceKind.RETRY_STORM:
            self._retry_storms = (*self._retry_storms, disturbance)

    def end_disturbance(self, disturbance):
        """End a burst of requests or a retry storm."""
        if disturbance.kind == DisturbanceKind.BURST:
            self._burst_factor /= disturbance.factor
        elif disturbance.kind == DisturbanceKind.RETRY_STORM:
            self._retry_storms = tuple(
                t for t in self._retry_storms if t is not disturbance
            )

    def _arrive(self, kind):
        now = self._timeline.monotonic()
        if now >= self._scenario.seconds:
            return
        rate = kind.per_second * self._scenario.load * self._burst_factor
        self._timeline.call_later(self._random.expovariate(rate), self._arrive, kind)
        self._statistics.record_request(kind)
        domain = self._random.choice(self._scenario.domains)
        request = _Request(kind, now, kind.max_retries)
        for storm in self._retry_storms:
            if self._random.random() < storm.share:
                request.retries_left += round(storm.factor)
        self._send(request, domain)

    def _send(self, request, domain):
        request.attempt_sent_at = self._timeline.monotonic()
        node = self._random.choice(self._nodes_by_domain[domain])
        deadline = request.sent_at + request.kind.timeout

        def answered(answer):
            self._timeline.call_later(
                CLIENT_HOP_SECONDS,
                self._handle_answer,
                request,
                domain,
                deadline,
                answer,
            )

        self._timeline.call_later(
            CLIENT_HOP_SECONDS, node.entry.begin, request.kind.name, deadline, answered
        )

    def _handle_answer(self, request, domain, deadline, answer):
        now = self._timeline.monotonic()
        if answer.outcome == Outcome.DONE and answer.status < FIRST_ERROR_STATUS:
            self._statistics.record_success(request.kind, now - request.sent_at)
            return
        is_refused = answer.outcome == Outcome.NOT_RUN
        pause = self._retry_pause(request, answer, deadline - now, is_refused)
        if pause is None:
            held_seconds = (
                now - request.attempt_sent_at if not answer.is_offered else 0.0
            )
            self._statistics.record_failure(
                request.kind, is_refused, held_seconds, request.was_refused
            )
            return
        request.retries_left -= 1
        request.was_refused |= is_refused
        self._timeline.call_later(pause, self._send, request, domain)

    def _retry_pause(self, request, answer, seconds_left, is_refused):
        may_retry = is_refused or request.kind.route_kind == RouteKind.IDEMPOTENT
        if not request.retries_left or not may_retry:
            return None
        if any(self._random.random() < storm.share for storm in self._retry_storms):
            return RETRY_PAUSE_SECONDS if seconds_left > RETRY_PAUSE_SECONDS else None
        pause = min(
            max(RETRY_PAUSE_SECONDS, answer.retry_after), seconds_left * MAX_PAUSE_SHARE
        )
        return pause if seconds_left > pause > 0 else None
