"""Callers of the model: arrivals by pattern, returns after a refusal."""

from dataclasses import dataclass

from rattanworks.bench.load.scenario import TroubleKind
from rattanworks.model.call import Outcome
from rattanworks.model.route import RouteKind

CLIENT_HOP_SECONDS = 0.003
# Callers honour a time to return of up to a third of what they have left.
PART_OF_TIME_LEFT = 1 / 3
PAUSE_SECONDS = 0.02
FIRST_FAILURE = 400


@dataclass(slots=True)
class _Asked:
    kind: object
    at: float
    returns_left: int
    attempt_at: float = 0.0
    was_refused: bool = False


class Callers:
    """Sends the requests of a scenario and takes their answers."""

    def __init__(self, scenario, nodes, ledger, timeline, rng):
        self._scenario = scenario
        self._nodes_by_domain = {
            domain: [n for n in nodes if n.host.failure_domain == domain]
            for domain in scenario.domains
        }
        self._ledger = ledger
        self._timeline = timeline
        self._random = rng
        self._burst = 1.0
        self._storms = ()

    def start(self):
        """Send the first request of each kind; the others follow."""
        for kind in self._scenario.kinds:
            if kind.per_second:
                self._timeline.after(0.0, self._arrive, kind)

    def begin_trouble(self, trouble):
        """Ask more often or return more often from now on."""
        if trouble.kind == TroubleKind.BURST:
            self._burst *= trouble.factor
        elif trouble.kind == TroubleKind.RETRY_STORM:
            self._storms = (*self._storms, trouble)

    def end_trouble(self, trouble):
        """Go back to the usual rates."""
        if trouble.kind == TroubleKind.BURST:
            self._burst /= trouble.factor
        elif trouble.kind == TroubleKind.RETRY_STORM:
            self._storms = tuple(t for t in self._storms if t is not trouble)

    def _arrive(self, kind):
        now = self._timeline.monotonic()
        if now >= self._scenario.seconds:
            return
        rate = kind.per_second * self._scenario.load * self._burst
        self._timeline.after(self._random.expovariate(rate), self._arrive, kind)
        self._ledger.note_asked(kind)
        domain = self._random.choice(self._scenario.domains)
        asked = _Asked(kind, now, kind.returns)
        for storm in self._storms:
            if self._random.random() < storm.share:
                asked.returns_left += round(storm.factor)
        self._send(asked, domain)

    def _send(self, asked, domain):
        asked.attempt_at = self._timeline.monotonic()
        node = self._random.choice(self._nodes_by_domain[domain])
        deadline = asked.at + asked.kind.timeout

        def answered(answer):
            self._timeline.after(
                CLIENT_HOP_SECONDS, self._take, asked, domain, deadline, answer
            )

        self._timeline.after(
            CLIENT_HOP_SECONDS, node.entry.begin, asked.kind.name, deadline, answered
        )

    def _take(self, asked, domain, deadline, answer):
        now = self._timeline.monotonic()
        if answer.outcome == Outcome.DONE and answer.status < FIRST_FAILURE:
            self._ledger.note_served(asked.kind, now - asked.at)
            return
        is_refused = answer.outcome == Outcome.NOT_RUN
        pause = self._pause(asked, answer, deadline - now, is_refused)
        if pause is None:
            held = now - asked.attempt_at if not answer.is_offered else 0.0
            self._ledger.note_lost(asked.kind, is_refused, held, asked.was_refused)
            return
        asked.returns_left -= 1
        asked.was_refused |= is_refused
        self._timeline.after(pause, self._send, asked, domain)

    def _pause(self, asked, answer, left, is_refused):
        may_return = is_refused or asked.kind.route_kind == RouteKind.IDEMPOTENT
        if not asked.returns_left or not may_return:
            return None
        if any(self._random.random() < storm.share for storm in self._storms):
            return PAUSE_SECONDS if left > PAUSE_SECONDS else None
        pause = min(max(PAUSE_SECONDS, answer.retry_after), left * PART_OF_TIME_LEFT)
        return pause if left > pause > 0 else None
