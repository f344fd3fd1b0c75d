"""One trial: a scenario simulated under a policy with a seed."""

import math
import random

from rattanworks.bench.load.callers import Callers
from rattanworks.bench.load.entry import ModelEntry
from rattanworks.bench.load.nodes import build_nodes
from rattanworks.bench.load.results import TrialStatistics
from rattanworks.bench.load.scenario import DisturbanceKind
from rattanworks.bench.load.timeline import Timeline
from rattanworks.routing.choice import EndpointChooser


def simulate(scenario, policy, seed):
    """Return the figures of one trial."""
    timeline = Timeline()
    statistics = TrialStatistics(scenario)
    nodes = build_nodes(scenario, policy, timeline, seed)
    for node in nodes:
        node.entry = _build_entry(
            node, nodes, scenario, policy, statistics, timeline, seed
        )
        node.backend.entry = node.entry
    rng = random.Random(f"callers-{seed}")
    callers = Callers(scenario, nodes, statistics, timeline, rng)
    for number, disturbance in enumerate(scenario.disturbances):
        _Injection(disturbance, nodes, callers, f"{number}-{seed}").schedule(timeline)
    callers.start()
    timeline.run()
    return statistics.figures()


def _build_entry(node, nodes, scenario, policy, statistics, timeline, seed):
    rng = random.Random(f"entry-{node.name}-{seed}")
    chooser = EndpointChooser(
        node.host, timeline, lambda: node.load, rng, policy.choice
    )
    return ModelEntry(
        node, nodes, scenario.kinds_by_name, chooser, statistics, timeline, rng
    )


class _Injection:
    def __init__(self, disturbance, nodes, callers, seed):
        self._disturbance = disturbance
        self._callers = callers
        candidates = [n for n in nodes if disturbance.service in ("", n.service.name)]
        count = math.ceil(disturbance.share * len(candidates))
        self._nodes = random.Random(f"trouble-{seed}").sample(candidates, count)

    def schedule(self, timeline):
        timeline.call_later(self._disturbance.start, self._begin)
        timeline.call_later(
            self._disturbance.start + self._disturbance.seconds, self._end
        )

    def _begin(self):
        self._callers.begin_disturbance(self._disturbance)
        for node in self._nodes:
            _set_disturbance(node, self._disturbance, is_on=True)

    def _end(self):
        self._callers.end_disturbance(self._disturbance)
        for node in self._nodes:
            _set_disturbance(node, self._disturbance, is_on=False)


def _set_disturbance(node, disturbance, is_on):
    if disturbance.kind == DisturbanceKind.SLOW:
        node.backend.slow_factor = disturbance.factor if is_on else 1.0
    elif disturbance.kind == DisturbanceKind.GONE:
        node.is_gone = is_on
    elif disturbance.kind in (DisturbanceKind.SHEDDING, DisturbanceKind.FAILING):
        node.backend.share_by_disturbance[disturbance.kind] = (
            disturbance.factor if is_on else 0.0
        )
