"""Nodes of the model: the product's decisions in front of simulated runs."""

import math
import random
from dataclasses import dataclass, replace

from rattanworks.admission.line import Waiter, WaitingLine
from rattanworks.admission.owner import RUN_WEIGHT
from rattanworks.admission.return_time import return_seconds
from rattanworks.admission.waiting import Rank
from rattanworks.bench.load.scenario import TroubleKind
from rattanworks.model.call import Answer, Outcome, refusal
from rattanworks.model.endpoint import EndpointRecord, EndpointState
from rattanworks.utils.weighted_mean import WeightedMeans

REGION = "region"
VERSION = "v1"
MAX_ROUTES = 64
SHED_RETRY_AFTER_SECONDS = 0.05
DEADLINE_STATUS = 504
FAILED_STATUS = 500
FULL_STATUS = 503
# A run in a hundred takes several times as long as its kind's usual run.
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0


@dataclass(frozen=True, slots=True)
class _Name:
    name: str
    failure_domain: str
    region: str = REGION


class _WaitingCall(Waiter):
    __slots__ = ("_done",)

    def __init__(self, rank, done):
        super().__init__(rank)
        self._done = done

    def settle(self, admission):
        super().settle(admission)
        self._done(admission)


class ModelNode:
    """One node with its backend server; ``entry`` is set by the mesh."""

    def __init__(self, name, service, domain, pace, timeline, policy, rng):
        self.name = name
        self.service = service
        self.host = _Name(name, domain)
        self.record = EndpointRecord(
            node=name,
            incarnation=1,
            sequence=1,
            state=EndpointState.SERVING,
            region=REGION,
            failure_domain=domain,
            control_address="",
            peers_address="",
            service=service.name,
            version=VERSION,
            slots=service.slots,
        )
        length = round(policy.queue_per_slot * service.slots)
        self.line = WaitingLine(service.slots, length, policy.order)
        self.entry = None
        self.is_gone = False
        self.slow_factor = 1.0
        self.part_by_trouble = {}
        self._pace = pace
        self._timeline = timeline
        self._random = rng
        self._run_seconds = WeightedMeans(RUN_WEIGHT, MAX_ROUTES)

    @property
    def load(self):
        """Return the load of the slots."""
        return self.line.load

    def dispatch(self, call, kind, done):
        """Run the call if it is admitted; ``done`` takes the Answer."""
        rank = Rank(
            False,
            call.priority,
            call.deadline,
            call.objective,
            self._run_seconds.get(call.route, 0.0),
        )

        arrived = self._timeline.monotonic()

        def ended(answer):
            done(replace(answer, load=self._load_for_next(rank, arrived)))

        def settled(admission):
            if admission.is_granted:
                run = (self._run, call, kind, admission, ended)
                self._timeline.after(0.0, *run)
            else:
                load = self._load_for_next(rank, arrived)
                self._timeline.after(0.0, done, self._refused(call, admission, load))

        waiter = _WaitingCall(rank, settled)
        self.line.arrive(waiter, arrived)
        if waiter.admission is None:
            left = max(0.0, rank.latest_start - arrived)
            self._timeline.after(left, self.line.expire, waiter)

    def _load_for_next(self, rank, arrived):
        now = self._timeline.monotonic()
        return self.line.load_ahead(rank.renewed(now - arrived), now)

    def _refused(self, call, admission, load):
        left = call.deadline - self._timeline.monotonic()
        seconds = return_seconds(admission.retry_after, left, self._random.random())
        return refusal(FULL_STATUS, admission.verdict.value, seconds, load)

    def _run(self, call, kind, admission, done):
        started = self._timeline.monotonic()

        def end(answer):
            now = self._timeline.monotonic()
            self.line.release(admission, now)
            if answer.outcome == Outcome.DONE:
                self._run_seconds.note(call.route, now - started)
            done(answer)

        if self._random.random() < self._part(TroubleKind.SHEDDING):
            shed = refusal(FULL_STATUS, "shed", SHED_RETRY_AFTER_SECONDS)
            self._timeline.after(0.0, end, replace(shed, is_offered=True))
            return
        is_failing = self._random.random() < self._part(TroubleKind.FAILING)
        seconds = self._work_seconds(kind)
        calls = kind.calls
        if calls is None or self._random.random() >= calls.share:
            self._finish(call, seconds, is_failing, end)
            return
        # The calls are made halfway through the run, which goes on once they end.
        self._timeline.after(
            seconds / 2, self._call_others, call, calls, seconds / 2, is_failing, end
        )

    def _call_others(self, call, calls, seconds, is_failing, end):
        answers = []

        def one_ended(answer):
            answers.append(answer)
            if len(answers) < calls.times:
                return
            is_lost = any(a.status >= FAILED_STATUS for a in answers)
            if is_lost:
                end(Answer(FAILED_STATUS, is_offered=True))
            else:
                self._finish(call, seconds, is_failing, end)

        for _ in range(calls.times):
            self.entry.begin(calls.kind, call.deadline, one_ended)

    def _finish(self, call, seconds, is_failing, end):
        left = call.deadline - self._timeline.monotonic()
        status = FAILED_STATUS if is_failing else 200
        if seconds > left:
            seconds, status = max(0.0, left), DEADLINE_STATUS
        self._timeline.after(seconds, end, Answer(status, is_offered=True))

    def _part(self, trouble):
        return self.part_by_trouble.get(trouble, 0.0)

    def _work_seconds(self, kind):
        middle = math.log(kind.work) - kind.spread**2 / 2
        seconds = self._random.lognormvariate(middle, kind.spread)
        if self._random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        return seconds * self._pace * self.slow_factor


def build_nodes(scenario, policy, timeline, seed):
    """Return the nodes of a scenario, with paces drawn by ``seed``."""
    rng = random.Random(f"paces-{seed}")
    nodes = []
    for service in scenario.services:
        # Evenly drawn: each pace comes as often as the endpoints allow.
        paces = [
            service.paces[i % len(service.paces)] for i in range(len(service.domains))
        ]
        rng.shuffle(paces)
        for number, domain in enumerate(service.domains):
            name = f"{service.name}-{number}"
            node_rng = random.Random(f"{name}-{seed}")
            nodes.append(
                ModelNode(
                    name, service, domain, paces[number], timeline, policy, node_rng
                )
            )
    return nodes
