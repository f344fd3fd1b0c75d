"""Faults that the convergence bench injects, each at a seeded time."""

import random
import threading
import time
from dataclasses import dataclass, replace

from rattanworks.bench.convergence_log import NodeRun

KILLED_FRACTION = 1 / 3
PAUSED_FRACTION = 1 / 6
PAUSE_SECONDS = 4.0
CUT_SECONDS = 5.0
LOST_ANSWER_COUNT = 12
EARLIEST_START_FRACTION = 0.15
LATEST_START_FRACTION = 0.5
OUTAGE_FRACTION = 0.3
MIN_OUTAGE_SECONDS = 3.0


@dataclass(slots=True)
class FaultContext:
    """The processes that faults act on; ``runs`` has each process of each node.

    ``seconds`` is the length of the run; ``rng`` belongs to one fault.
    """

    fleet: object
    store: object
    runs: list[NodeRun]
    seconds: float
    seed: int
    rng: random.Random | None = None

    def alive(self):
        """Return the runs whose processes were not killed."""
        return [run for run in self.runs if run.is_alive]

    def sample_alive(self, fraction):
        """Return a random ``fraction`` of the live runs, at least one."""
        alive = self.alive()
        return self.rng.sample(alive, max(1, int(len(alive) * fraction)))


def _kill(runs):
    for run in runs:
        run.is_alive = False
        run.process.kill()


def kill_herd(context):
    """Kill a third of the nodes together; they stay dead."""
    _kill(context.sample_alive(KILLED_FRACTION))


def restart_storm(context):
    """Kill a third of the nodes together and start them again at once."""
    killed = context.sample_alive(KILLED_FRACTION)
    places = [context.fleet.nodes_by_name[run.name].place for run in killed]
    _kill(killed)
    for node in context.fleet.start_all(places):
        context.runs.append(NodeRun(node.place.name, node.process))


def store_outage(context):
    """Make the store refuse every call for a while."""
    context.store.set_faults(is_down=True)
    time.sleep(max(MIN_OUTAGE_SECONDS, context.seconds * OUTAGE_FRACTION))
    context.store.set_faults()


def store_lost_answers(context):
    """Make the store lose the answers of some writes that took effect."""
    context.store.set_faults(lose_answers=LOST_ANSWER_COUNT)


def pause(context):
    """Suspend some nodes for longer than a watcher's lease lasts, then resume them."""
    paused = context.sample_alive(PAUSED_FRACTION)
    began = time.time()
    for run in paused:
        run.process.pause()
    time.sleep(PAUSE_SECONDS)
    for run in paused:
        if run.is_alive:
            run.process.resume()
            run.pauses.append((began, time.time()))


def cut(context):
    """Cut one failure domain off from the others for a while, in both directions."""
    places = [context.fleet.nodes_by_name[run.name].place for run in context.alive()]
    domains = sorted({place.failure_domain for place in places})
    isolated = context.rng.choice(domains)
    others = [domain for domain in domains if domain != isolated]
    context.fleet.cut([isolated], others)
    time.sleep(CUT_SECONDS)
    context.fleet.heal()


FAULTS_BY_NAME = {
    "cut": cut,
    "kill-herd": kill_herd,
    "restart-storm": restart_storm,
    "store-outage": store_outage,
    "store-lost-answers": store_lost_answers,
    "pause": pause,
}


class FaultSchedule:
    """Injects the named faults, each on its own thread at a time drawn from the seed.

    Faults may overlap. Each has a random generator of its own, so that the same seed
    gives the same faults in whatever order their threads run.
    """

    def __init__(self, context, names):
        self._errors = []
        self._threads = []
        for position, name in enumerate(names):
            rng = random.Random(f"{context.seed}/{position}/{name}")
            delay = (
                rng.uniform(EARLIEST_START_FRACTION, LATEST_START_FRACTION)
                * context.seconds
            )
            own_context = replace(context, rng=rng)
            self._threads.append(
                threading.Thread(target=self._run, args=(name, delay, own_context))
            )

    def start(self):
        """Start the threads, which wait for the times of their faults."""
        for thread in self._threads:
            thread.start()

    def join(self):
        """Wait until every fault has ended; raise the errors of faults that failed."""
        for thread in self._threads:
            thread.join()
        if self._errors:
            raise ExceptionGroup("faults could not be injected", self._errors)

    def _run(self, name, delay, context):
        time.sleep(delay)
        try:
            FAULTS_BY_NAME[name](context)
        except Exception as error:
            self._errors.append(error)
