"""Simulated nodes: the real admission queue in front of a simulated server."""

import random
from dataclasses import replace

from rattanworks.admission.call_queue import CallQueue, Waiter
from rattanworks.admission.owner import RUN_SECONDS_WEIGHT
from rattanworks.admission.return_time import retry_after_seconds
from rattanworks.admission.waiting import Rank
from rattanworks.bench.load.backend import ModelBackend
from rattanworks.model.call import Outcome, refusal
from rattanworks.model.endpoint import EndpointRecord, EndpointState
from rattanworks.settings.node import HostSettings
from rattanworks.utils.weighted_mean import WeightedMeans

REGION = "region"
VERSION = "v1"
MAX_ROUTES = 64
REFUSED_STATUS = 503


class _WaitingCall(Waiter):
    __slots__ = ("_done",)

    def __init__(self, rank, done):
        super().__init__(rank)
        self._done = done

    def complete(self, admission):
        super().complete(admission)
        self._done(admission)


class ModelNode:
    """One node with its backend server; the trial sets ``entry``."""

    def __init__(self, name, service, domain, time_factor, timeline, policy, rng):
        self.name = name
        self.service = service
        self.host = HostSettings(name, REGION, domain)
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
        queue_length = round(policy.queue_per_slot * service.slots)
        self.queue = CallQueue(service.slots, queue_length, policy.order)
        self.backend = ModelBackend(time_factor, timeline, rng)
        self.entry = None
        self.is_gone = False
        self._timeline = timeline
        self._random = rng
        self._run_seconds = WeightedMeans(RUN_SECONDS_WEIGHT, MAX_ROUTES)

    @property
    def load(self):
        """Return the load of the queue and its slots."""
        return self.queue.load

    def dispatch(self, call, kind, done):
        """Queue the call, run it if admitted, and pass the Answer to ``done``."""
        rank = Rank.of(call, self._run_seconds.get(call.route, 0.0))
        arrived = self._timeline.monotonic()

        def load():
            return self.queue.load_ahead(rank, arrived, self._timeline.monotonic())

        def ended(answer):
            done(replace(answer, load=load()))

        def decided(admission):
            if admission.is_granted:
                run = (self._run, call, kind, admission, ended)
                self._timeline.call_later(0.0, *run)
            else:
                refused = self._refusal(call, admission, load())
                self._timeline.call_later(0.0, done, refused)

        waiter = _WaitingCall(rank, decided)
        self.queue.submit(waiter, arrived)
        if waiter.admission is None:
            seconds_left = max(0.0, rank.latest_start - arrived)
            self._timeline.call_later(seconds_left, self.queue.expire, waiter)

    def _refusal(self, call, admission, load):
        seconds_left = call.deadline - self._timeline.monotonic()
        seconds = retry_after_seconds(
            admission.retry_after, seconds_left, self._random.random()
        )
        return refusal(REFUSED_STATUS, admission.result.value, seconds, load)

    def _run(self, call, kind, admission, done):
        started = self._timeline.monotonic()

        def ended(answer):
            now = self._timeline.monotonic()
            self.queue.release(admission, now)
            if answer.outcome == Outcome.DONE:
                self._run_seconds.add(call.route, now - started)
            done(answer)

        self.backend.run(call, kind, ended)


def build_nodes(scenario, policy, timeline, seed):
    """Return the nodes of a scenario; ``seed`` decides which time factor each gets."""
    rng = random.Random(f"paces-{seed}")
    nodes = []
    for service in scenario.services:
        # Each factor occurs equally often, as far as the number of endpoints allows.
        time_factors = [
            service.time_factors[i % len(service.time_factors)]
            for i in range(len(service.domains))
        ]
        rng.shuffle(time_factors)
        for number, domain in enumerate(service.domains):
            name = f"{service.name}-{number}"
            node_rng = random.Random(f"{name}-{seed}")
            nodes.append(
                ModelNode(
                    name,
                    service,
                    domain,
                    time_factors[number],
                    timeline,
                    policy,
                    node_rng,
                )
            )
    return nodes
