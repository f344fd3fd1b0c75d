"""Faults that a run of the members measurement brings about."""

import random
import time
from dataclasses import dataclass, field

from rattanworks.bench.fleet import ConditionTimeoutError, wait_until
from rattanworks.bench.members_log import Timeline, view_of
from rattanworks.utils.http_pool import HttpPool

HERD_FRACTION = 1 / 3
PAUSED_FRACTION = 1 / 6
CUT_SECONDS = 12.0
PAUSE_SECONDS = 6.0
REMOVAL_SECONDS = 20.0
DOMAIN_REMOVAL_SECONDS = 60.0
REJOIN_SECONDS = 40.0
LEAVE_SECONDS = 5.0
RESTART_STORM = "restart-storm"
LEAVE_PATH = "/rattanworks/leave"


@dataclass(slots=True)
class MembersFaultContext:
    """What faults act on and what they found.

    ``deaths`` and ``leaves`` are (name, Unix seconds) pairs.
    """

    fleet: object
    store: object
    rng: random.Random
    timeline: Timeline
    deaths: list = field(default_factory=list)
    leaves: list = field(default_factory=list)
    unsettled: list = field(default_factory=list)
    rejoin_seconds_by_fault: dict = field(default_factory=dict)

    def sample(self, fraction):
        """Return some running nodes, at least one."""
        nodes = sorted(self.fleet.nodes, key=lambda node: node.place.name)
        return self.rng.sample(nodes, max(1, int(len(nodes) * fraction)))

    def kill(self, nodes):
        """Kill nodes together."""
        now = time.time()
        for node in nodes:
            self.timeline.run_of(node.place.name).left(now)
            node.process.kill()

    def start_again(self, nodes):
        """Start killed nodes together, under their old names."""
        for node in self.fleet.start_all([node.place for node in nodes]):
            self.timeline.add_run(node)

    def wait_for_removal(self, nodes, timeout=REMOVAL_SECONDS):
        """Wait until the running nodes know the killed ones as gone."""
        self.deaths += [
            (name, self.timeline.run_of(name).absences[-1][0])
            for name in (node.place.name for node in nodes)
        ]
        self._wait(self.all_know_running, timeout, "removal")

    def wait_for_rejoin(self, fault, began=None):
        """Wait until all nodes see all; note the seconds since ``began``, or now."""
        began = began or time.monotonic()
        self._wait(self.all_know_running, REJOIN_SECONDS, f"rejoin after {fault}")
        seconds = time.monotonic() - began
        self.rejoin_seconds_by_fault[fault] = round(seconds, 2)

    def _wait(self, condition, timeout, what):
        try:
            wait_until(condition, timeout, what)
        except ConditionTimeoutError:
            self.unsettled.append(what)

    def all_know_running(self):
        """Tell whether each running node knows just the running nodes, as they are.

        The logs are read, so that asking costs the nodes nothing.
        """
        views_by_name = {
            node.place.name: view_of(node.place.name, node.process)
            for node in self.fleet.nodes
        }
        current = {name: view.get(name) for name, view in views_by_name.items()}
        return all(view == current for view in views_by_name.values())


def kill_one(stage):
    """Kill one node; it stays dead."""
    victims = stage.sample(0)
    stage.kill(victims)
    stage.wait_for_removal(victims)


def leave_one(stage):
    """Let one backend server tell its node that it leaves."""
    node = stage.sample(0)[0]
    pool = HttpPool(node.local, 1)
    stage.leaves.append((node.place.name, time.time()))
    pool.exchange("POST", LEAVE_PATH, (), b"", LEAVE_SECONDS)
    pool.close()
    time.sleep(LEAVE_SECONDS)


def kill_herd(stage):
    """Kill a third of the nodes together; they stay dead."""
    herd = stage.sample(HERD_FRACTION)
    stage.kill(herd)
    stage.wait_for_removal(herd)


def kill_domain(stage):
    """Kill a whole failure domain; it stays dead."""
    domain = stage.sample(0)[0].place.failure_domain
    herd = [node for node in stage.fleet.nodes if node.place.failure_domain == domain]
    stage.kill(herd)
    stage.wait_for_removal(herd, DOMAIN_REMOVAL_SECONDS)


def restart_storm(stage):
    """Kill a third of the nodes together and start them again at once."""
    herd = stage.sample(HERD_FRACTION)
    stage.kill(herd)
    began = time.monotonic()
    stage.start_again(herd)
    stage.wait_for_rejoin(RESTART_STORM, began)


def cut(stage, one_way=False):
    """Cut one failure domain off from the others for a while."""
    domains = sorted({node.place.failure_domain for node in stage.fleet.nodes})
    lone = stage.rng.choice(domains)
    stage.fleet.cut([lone], [name for name in domains if name != lone], one_way)
    time.sleep(CUT_SECONDS)
    stage.fleet.heal()
    stage.wait_for_rejoin("one-way-cut" if one_way else "cut")


def one_way_cut(stage):
    """Lose what one failure domain sends to the others for a while."""
    cut(stage, one_way=True)


def pause(stage):
    """Freeze some nodes for a while."""
    frozen = stage.sample(PAUSED_FRACTION)
    for node in frozen:
        stage.timeline.run_of(node.place.name).left(time.time())
        node.process.pause()
    time.sleep(PAUSE_SECONDS)
    for node in frozen:
        node.process.resume()
        stage.timeline.run_of(node.place.name).came_back(time.time())
    stage.wait_for_rejoin("pause")


def store_outage(stage):
    """Kill a node and start it again while the store refuses every call."""
    stage.store.set_faults(is_down=True)
    victims = stage.sample(0)
    stage.kill(victims)
    stage.wait_for_removal(victims)
    began = time.monotonic()
    stage.start_again(victims)
    stage.wait_for_rejoin("store-outage", began)
    stage.store.set_faults()


FAULTS_BY_NAME = {
    "kill-herd": kill_herd,
    "kill-domain": kill_domain,
    RESTART_STORM: restart_storm,
    "cut": cut,
    "one-way-cut": one_way_cut,
    "pause": pause,
    "store-outage": store_outage,
}
