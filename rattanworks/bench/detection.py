"""Methods of failure detection compared in a model, without processes.

Compared are fixed watchers on rings, fixed watchers drawn at random, and random
probing. The figures cover the time until the first suspicion of a dead node and the
cost of the exchanges, but not the removal that follows: its rule is the same for
all methods.
"""

import random

from rattanworks.bench.base import Bench, Report
from rattanworks.bench.figures import spread
from rattanworks.membership.neighbours import RINGS, Rings
from rattanworks.model.endpoint import EndpointRecord, EndpointState
from rattanworks.utils.arguments import positive_number

WARM_EXCHANGE_BYTES = 419
COLD_EXCHANGE_BYTES = 1190
WARM_EXCHANGE_MS = 1.40
COLD_EXCHANGE_MS = 3.06
CONTACTS = 2 * RINGS
SUSPECT_FACTOR = 2.0


class DetectionBench(Bench):
    """Draws deaths, and the time at which each method first suspects the dead node."""

    name = "detection"
    help = "ways of watching members compared in process"

    def add_arguments(self, parser):
        """Declare the size of the comparison."""
        parser.add_argument("--nodes", type=positive_number, default=3200)
        parser.add_argument("--deaths", type=positive_number, default=3000)
        parser.add_argument("--heartbeat", type=float, default=2.0, help="seconds")

    def run(self, arguments):
        """Compare the methods and return the Report."""
        rng = random.Random(arguments.seed)
        names = [f"node-{number}" for number in range(arguments.nodes)]
        watchers_by_method = {
            "rings": _ring_watchers(names),
            "random_views": _random_watchers(names, rng),
        }
        figures = {"nodes": arguments.nodes, "deaths": arguments.deaths}
        for method, watchers_by_name in watchers_by_method.items():
            figures[method] = _fixed_watcher_figures(
                names, watchers_by_name, arguments, rng
            )
        figures["random_probing"] = _random_probing_figures(arguments, rng)
        return Report(self.name, arguments.seed, figures)


def _record(name):
    return EndpointRecord(name, 1, 1, EndpointState.SERVING, "r", "d", "a", "a")


def _ring_watchers(names):
    rings = Rings([_record(name) for name in names])
    return {name: [row.node for row in rings.adjacent(name)] for name in names}


def _random_watchers(names, rng):
    # Half of CONTACTS: on a ring one exchange serves both nodes of a link, so both
    # methods make the same number of exchanges.
    watchers_by_name = {name: [] for name in names}
    for name in names:
        for watched in rng.sample(names, CONTACTS // 2):
            if watched != name:
                watchers_by_name[watched].append(name)
    return watchers_by_name


def _fixed_watcher_figures(names, watchers_by_name, arguments, rng):
    """Return the figures of a method in which each node has fixed watchers."""
    heartbeat = arguments.heartbeat
    seconds, unnoticed = [], 0
    for _ in range(arguments.deaths):
        watchers = watchers_by_name[rng.choice(names)]
        if not watchers:
            unnoticed += 1
            continue
        # A watcher suspects a node a fixed time after the last contact, which was up
        # to one heartbeat before the death.
        last_contact_ages = [rng.uniform(0, heartbeat) for _ in watchers]
        seconds.append(SUSPECT_FACTOR * heartbeat - max(last_contact_ages))
    return {
        "seconds_to_suspect": spread(seconds, 50, 99),
        "deaths_unnoticed": unnoticed,
        "fewest_watchers": min(len(one) for one in watchers_by_name.values()),
        "bytes_per_node_second": round(CONTACTS * WARM_EXCHANGE_BYTES / heartbeat),
        "core_ms_per_node_second": round(
            CONTACTS / 2 * WARM_EXCHANGE_MS / heartbeat, 2
        ),
    }


def _random_probing_figures(arguments, rng):
    """Return the figures of a method in which each node probes others at random."""
    heartbeat = arguments.heartbeat
    probes_per_second = CONTACTS / 2 / heartbeat
    # The node is suspected as long after the first failed probe as the other methods
    # wait after a missed heartbeat.
    seconds = [
        rng.expovariate(probes_per_second) + (SUSPECT_FACTOR - 1) * heartbeat
        for _ in range(arguments.deaths)
    ]
    return {
        "seconds_to_suspect": spread(seconds, 50, 99),
        "deaths_unnoticed": 0,
        "fewest_watchers": 0,
        "bytes_per_node_second": round(CONTACTS * COLD_EXCHANGE_BYTES / heartbeat),
        "core_ms_per_node_second": round(
            CONTACTS / 2 * COLD_EXCHANGE_MS / heartbeat, 2
        ),
    }
