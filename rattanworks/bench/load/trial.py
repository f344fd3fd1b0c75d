"""One trial: a scenario played under a policy with a seed."""

import math
import random

from rattanworks.bench.load.callers import Callers
from rattanworks.bench.load.entry import ModelEntry
from rattanworks.bench.load.nodes import build_nodes
from rattanworks.bench.load.results import LoadLedger
from rattanworks.bench.load.scenario import TroubleKind
from rattanworks.bench.load.timeline import Timeline
from rattanworks.routing.choice import EndpointChooser


def play(scenario, policy, seed):
    """Return the figures of one trial."""
    timeline = Timeline()
    ledger = LoadLedger(scenario)
    nodes = build_nodes(scenario, policy, timeline, seed)
    for node in nodes:
        node.entry = _entry(node, nodes, scenario, policy, ledger, timeline, seed)
        node.backend.entry = node.entry
    rng = random.Random(f"callers-{seed}")
    callers = Callers(scenario, nodes, ledger, timeline, rng)
    for number, trouble in enumerate(scenario.troubles):
        _Trouble(trouble, nodes, callers, f"{number}-{seed}").plan(timeline)
    callers.start()
    timeline.run()
    return ledger.figures()


def _entry(node, nodes, scenario, policy, ledger, timeline, seed):
    rng = random.Random(f"entry-{node.name}-{seed}")
    chooser = EndpointChooser(
        node.host, timeline, lambda: node.load, rng, policy.choice
    )
    return ModelEntry(
        node, nodes, scenario.kinds_by_name, chooser, ledger, timeline, rng
    )


class _Trouble:
    def __init__(self, trouble, nodes, callers, seed):
        self._trouble = trouble
        self._callers = callers
        ours = [n for n in nodes if trouble.service in ("", n.service.name)]
        count = math.ceil(trouble.share * len(ours))
        self._nodes = random.Random(f"trouble-{seed}").sample(ours, count)

    def plan(self, timeline):
        timeline.after(self._trouble.at, self._begin)
        timeline.after(self._trouble.at + self._trouble.seconds, self._end)

    def _begin(self):
        self._callers.begin_trouble(self._trouble)
        for node in self._nodes:
            _set_trouble(node, self._trouble, is_on=True)

    def _end(self):
        self._callers.end_trouble(self._trouble)
        for node in self._nodes:
            _set_trouble(node, self._trouble, is_on=False)


def _set_trouble(node, trouble, is_on):
    if trouble.kind == TroubleKind.SLOW:
        node.backend.slow_factor = trouble.factor if is_on else 1.0
    elif trouble.kind == TroubleKind.GONE:
        node.is_gone = is_on
    elif trouble.kind in (TroubleKind.SHEDDING, TroubleKind.FAILING):
        node.backend.part_by_trouble[trouble.kind] = trouble.factor if is_on else 0.0
