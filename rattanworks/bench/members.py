"""How fast nodes learn that members join, leave and die, and what that costs."""

import random
import time

from rattanworks.adapters.http_local import ANNOUNCE_PATH
from rattanworks.bench.base import Bench, Report
from rattanworks.bench.convergence_probe import UsageSample
from rattanworks.bench.figures import mean_and_max, spread
from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.bench.members_faults import (
    FAULTS_BY_NAME,
    RESTART_STORM,
    MembersFaultContext,
    kill_one,
    leave_one,
)
from rattanworks.bench.members_log import (
    GONE,
    LEAVING,
    Timeline,
    count_false_removals,
    seconds_to_see,
)
from rattanworks.model.announcement import Announcement
from rattanworks.utils.arguments import positive_number
from rattanworks.utils.codec import encode_json
from rattanworks.utils.http_pool import HttpPool

READY_TIMEOUT_SECONDS = 60.0
SETTLE_SECONDS = 2.0
ANNOUNCE_TIMEOUT_SECONDS = 5.0
REGION = "qc-est"
SERVICE = "catalogue"
SLOTS = 6
CONNECTIONS = 100


class MembersBench(Bench):
    """Nodes leave, die, are suspended or cut off; the nodes' logs give the figures."""

    name = "members"
    help = "time until dead and leaving members are known as such"
    faults = tuple(FAULTS_BY_NAME)

    def add_arguments(self, parser):
        """Declare the size of the run."""
        parser.add_argument("--nodes", type=positive_number, default=12)
        parser.add_argument("--failure-domains", type=positive_number, default=3)
        parser.add_argument("--idle-seconds", type=float, default=8.0)
        parser.add_argument("--faults", default="", help=", ".join(self.faults))

    def run(self, arguments):
        """Run store, nodes and faults, and return the Report."""
        names = self.parse_faults(arguments.faults)
        with running_store() as store, running_fleet(store) as fleet:
            session = MembersSession(store, fleet, arguments)
            session.prepare()
            session.measure(names)
            return Report(self.name, arguments.seed, session.figures(names))


class MembersSession:
    """One run: its processes, the faults, and the samples taken."""

    def __init__(self, store, fleet, arguments):
        self._fleet = fleet
        self._arguments = arguments
        self._context = MembersFaultContext(
            fleet, store, random.Random(arguments.seed), Timeline()
        )
        self._samples = []
        self._seconds_to_know_each_other = 0.0

    def prepare(self):
        """Start the nodes and wait until they know each other."""
        began = time.monotonic()
        for node in self._fleet.start_all(_places(self._arguments)):
            self._context.timeline.add_run(node)
        self._fleet.wait_ready(READY_TIMEOUT_SECONDS)
        for node in self._fleet.nodes:
            _announce(node)
        wait_until(self._all_know_each_other, READY_TIMEOUT_SECONDS, "members known")
        self._seconds_to_know_each_other = time.monotonic() - began
        time.sleep(SETTLE_SECONDS)

    def _all_know_each_other(self):
        return self._context.all_know_running() and self._fleet.sees_serving(
            self._arguments.nodes
        )

    def measure(self, names):
        """Sample an idle period, then let one server leave and inject the faults.

        Without faults, kill one node instead.
        """
        self._sample()
        time.sleep(self._arguments.idle_seconds)
        self._sample()
        leave_one(self._context)
        if not names:
            kill_one(self._context)
        for name in names:
            FAULTS_BY_NAME[name](self._context)
        self._sample()

    def _sample(self):
        self._samples.append(UsageSample(self._fleet.nodes))

    def figures(self, names):
        """Return the figures of the run."""
        context = self._context
        changes = context.timeline.member_changes()
        observers = {node.place.name for node in self._fleet.nodes}
        removals, missed = _seconds_to_see_all(changes, context.deaths, GONE, observers)
        leaves, unseen = _seconds_to_see_all(
            changes, context.leaves, LEAVING, observers
        )
        start, idle, end = self._samples
        rejoins = context.rejoin_seconds_by_fault
        return {
            "nodes": self._arguments.nodes,
            "failure_domains": self._arguments.failure_domains,
            "faults": ",".join(names),
            "seconds_to_know_each_other": round(self._seconds_to_know_each_other, 2),
            "seconds_to_remove_dead": spread(removals, 50, 99),
            "dead_not_removed": missed,
            "seconds_to_stop_new_work_to_leaving": spread(leaves, 50, 99),
            "leaving_not_seen": unseen,
            "false_removals": count_false_removals(context.timeline),
            "seconds_to_rejoin_after_storm": rejoins.get(RESTART_STORM),
            "seconds_to_rejoin": rejoins,
            "not_settled_in_time": ",".join(context.timed_out),
            "control_bytes_per_node_per_second": mean_and_max(
                end.bytes_per_second(start)
            ),
            "control_core_fraction": mean_and_max(end.core_fractions(start)),
            "idle_control_bytes_per_node_per_second": mean_and_max(
                idle.bytes_per_second(start)
            ),
            "idle_control_core_fraction": mean_and_max(idle.core_fractions(start)),
            "node_rss_mb": mean_and_max(end.rss_mb()),
        }


def _seconds_to_see_all(changes, events, state, observers):
    seconds, missed = [], 0
    for name, since in events:
        others = observers - {name}
        seen = seconds_to_see(changes, name, state, since, others)
        seconds += seen.values()
        missed += len(others) - len(seen)
    return seconds, missed


def _announce(node):
    # The address is a dummy: the run sends no calls, so it needs no backend server.
    place = node.place
    announcement = Announcement(
        SERVICE, place.version, "127.0.0.1:1", place.slots, place.connections
    )
    pool = HttpPool(node.local, 1)
    pool.exchange(
        "POST", ANNOUNCE_PATH, (), encode_json(announcement), ANNOUNCE_TIMEOUT_SECONDS
    )
    pool.close()


def _places(arguments):
    return [
        Place(
            f"node-{number}",
            REGION,
            f"{REGION}-{number % arguments.failure_domains}",
            "",
            "v1",
            SLOTS,
            CONNECTIONS,
        )
        for number in range(arguments.nodes)
    ]
