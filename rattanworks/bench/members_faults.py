"""Faults that the members bench injects."""

import random
import time
from dataclasses import dataclass, field

from rattanworks.bench.fleet import ConditionTimeoutError, wait_until
from rattanworks.bench.members_log import Timeline, known_incarnations
from rattanworks.utils.http_pool import HttpPool

KILLED_FRACTION = 1 / 3
PAUSED_FRACTION = 1 / 6
CUT_SECONDS = 12.0
PAUSE_SECONDS = 6.0
REMOVAL_TIMEOUT_SECONDS = 20.0
DOMAIN_REMOVAL_TIMEOUT_SECONDS = 60.0
REJOIN_TIMEOUT_SECONDS = 40.0
LEAVE_SECONDS = 5.0
RESTART_STORM = "restart-storm"
LEAVE_PATH = "/rattanworks/leave"


@dataclass(slots=True)
class MembersFaultContext:
    """The processes that faults act on, and the observations made of them.

    ``deaths`` and ``leaves`` are (node name, Unix seconds) pairs; ``timed_out`` names
    the conditions that were not met in time.
    """

    fleet: object
    store: object
    rng: random.Random
    timeline: Timeline
    deaths: list = field(default_factory=list)
    leaves: list = field(default_factory=list)
    timed_out: list = field(default_factory=list)
    rejoin_seconds_by_fault: dict = field(default_factory=dict)

    def sample(self, fraction):
        """Return a random ``fraction`` of the running nodes, at least one."""
        nodes = sorted(self.fleet.nodes, key=lambda node: node.place.name)
        return self.rng.sample(nodes, max(1, int(len(nodes) * fraction)))

    def kill(self, nodes):
        """Kill nodes at the same time."""
        now = time.time()
        for node in nodes:
            self.timeline.latest_run(node.place.name).record_absence(now)
            node.process.kill()

    def restart(self, nodes):
        """Start killed nodes again, in parallel and under the same names."""
        for node in self.fleet.start_all([node.place for node in nodes]):
            self.timeline.add_run(node)

    def wait_for_removal(self, nodes, timeout=REMOVAL_TIMEOUT_SECONDS):
        """Wait until the running nodes have removed the killed ones."""
        self.deaths += [
            (name, self.timeline.latest_run(name).absences[-1][0])
            for name in (node.place.name for node in nodes)
        ]
        self._wait(self.all_know_running, timeout, "removal")

    def wait_for_rejoin(self, fault, began=None):
        """Wait until all nodes know all; record the seconds since ``began``.

        ``began`` is in monotonic seconds, by default now.
        """
        began = began or time.monotonic()
        self._wait(
            self.all_know_running, REJOIN_TIMEOUT_SECONDS, f"rejoin after {fault}"
        )
        seconds = time.monotonic() - began
        self.rejoin_seconds_by_fault[fault] = round(seconds, 2)

    def _wait(self, condition, timeout, description):
        try:
            wait_until(condition, timeout, description)
        except ConditionTimeoutError:
            self.timed_out.append(description)

    def all_know_running(self):
        """Return whether each running node knows exactly the running nodes.

        Their current incarnations must be known too. This is read from the logs, so
        that the check adds no load to the nodes.
        """
        incarnations_by_name = {
            node.place.name: known_incarnations(node.place.name, node.process)
            for node in self.fleet.nodes
        }
        current = {
            name: known.get(name) for name, known in incarnations_by_name.items()
        }
        return all(known == current for known in incarnations_by_name.values())


def kill_one(context):
    """Kill one node; it stays dead."""
    victims = context.sample(0)
    context.kill(victims)
    context.wait_for_removal(victims)


def leave_one(context):
    """Announce to one node, as its backend server would, that the server leaves."""
    node = context.sample(0)[0]
    pool = HttpPool(node.local, 1)
    context.leaves.append((node.place.name, time.time()))
    pool.exchange("POST", LEAVE_PATH, (), b"", LEAVE_SECONDS)
    pool.close()
    time.sleep(LEAVE_SECONDS)


def kill_herd(context):
    """Kill a third of the nodes at once; they stay dead."""
    killed = context.sample(KILLED_FRACTION)
    context.kill(killed)
    context.wait_for_removal(killed)


def kill_domain(context):
    """Kill all nodes of a failure domain; they stay dead."""
    domain = context.sample(0)[0].place.failure_domain
    killed = [
        node for node in context.fleet.nodes if node.place.failure_domain == domain
    ]
    context.kill(killed)
    context.wait_for_removal(killed, DOMAIN_REMOVAL_TIMEOUT_SECONDS)


def restart_storm(context):
    """Kill a third of the nodes at once and immediately start them again."""
    killed = context.sample(KILLED_FRACTION)
    context.kill(killed)
    began = time.monotonic()
    context.restart(killed)
    context.wait_for_rejoin(RESTART_STORM, began)


def cut(context, one_way=False):
    """Cut one failure domain off from the others for a while."""
    domains = sorted({node.place.failure_domain for node in context.fleet.nodes})
    isolated = context.rng.choice(domains)
    context.fleet.cut(
        [isolated], [name for name in domains if name != isolated], one_way
    )
    time.sleep(CUT_SECONDS)
    context.fleet.heal()
    context.wait_for_rejoin("one-way-cut" if one_way else "cut")


def one_way_cut(context):
    """Drop the messages from one failure domain to the others for a while."""
    cut(context, one_way=True)


def pause(context):
    """Suspend some nodes for a while."""
    paused = context.sample(PAUSED_FRACTION)
    for node in paused:
        context.timeline.latest_run(node.place.name).record_absence(time.time())
        node.process.pause()
    time.sleep(PAUSE_SECONDS)
    for node in paused:
        node.process.resume()
        context.timeline.latest_run(node.place.name).record_resume(time.time())
    context.wait_for_rejoin("pause")


def store_outage(context):
    """Kill a node and start it again while the store refuses every call."""
    context.store.set_faults(is_down=True)
    victims = context.sample(0)
    context.kill(victims)
    context.wait_for_removal(victims)
    began = time.monotonic()
    context.restart(victims)
    context.wait_for_rejoin("store-outage", began)
    context.store.set_faults()


FAULTS_BY_NAME = {
    "kill-herd": kill_herd,
    "kill-domain": kill_domain,
    RESTART_STORM: restart_storm,
    "cut": cut,
    "one-way-cut": one_way_cut,
    "pause": pause,
    "store-outage": store_outage,
}
