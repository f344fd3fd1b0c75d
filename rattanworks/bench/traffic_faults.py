"""Faults that the traffic bench injects, and their schedule."""

import threading
import time
from dataclasses import dataclass, field

from rattanworks.exceptions import RattanworksError
from rattanworks.standins.backend import Behaviour
from rattanworks.utils.codec import encode_json

FAULT_START_FRACTION = 0.3
FAULT_END_FRACTION = 0.7
DEPARTURE_WATCH_SECONDS = 2.0
POLL_SECONDS = 0.02
SLOW_FACTOR = 50.0
LATE_WORK_SECONDS = 1.5
OVERLOAD_WORK_SECONDS = 0.25


@dataclass(slots=True)
class FaultSession:
    """The fleet under test and the observations made while faults are active.

    ``all_nodes`` holds every node ever started, so that the run counts of a backend
    server can still be read after its node was replaced. ``counts_by_departed_node``
    holds the last run counts read from each server that left.
    """

    fleet: object
    deployment: object
    all_nodes: list = field(default_factory=list)
    counts_by_departed_node: dict = field(default_factory=dict)
    new_work_after_leaving_seconds: float = 0.0

    def nodes_of(self, service):
        """Return the running nodes of a service."""
        return [node for node in self.fleet.nodes if node.place.service == service]


def _set_behaviour(node, **changes):
    body = encode_json(Behaviour(**changes))
    node.backend_control("POST", "/control/behaviour", body)


def _kill(session):
    for service in (
        session.deployment.lookup_service,
        session.deployment.order_service,
    ):
        session.nodes_of(service)[0].process.kill()


def _replace_killed(session):
    nodes = session.fleet.nodes_by_name.values()
    for dead in [node for node in nodes if not node.process.is_running]:
        session.all_nodes.append(session.fleet.start_node(dead.place))


def _pause(session):
    for service in (
        session.deployment.lookup_service,
        session.deployment.order_service,
    ):
        session.nodes_of(service)[0].process.pause()


def _resume(session):
    for node in session.fleet.nodes:
        node.process.resume()


def _drain(session):
    service = session.deployment.upload_service
    session.nodes_of(service)[0].process.terminate()
    leaving = session.nodes_of(session.deployment.lookup_service)[0]
    leaving.backend.terminate()
    session.new_work_after_leaving_seconds = _watch_until_departed(session, leaving)


def _watch_until_departed(session, node):
    """Return the seconds until the leaving server last ran new work.

    Records the last run counts read from the server. Only calls through the system
    are counted as new work.
    """
    started = time.monotonic()
    last_work_seconds, before = 0.0, None
    while time.monotonic() - started < DEPARTURE_WATCH_SECONDS:
        try:
            counts = node.runs_by_request_id()
        except RattanworksError:
            break
        session.counts_by_departed_node[node.place.name] = counts
        now = _count_system_runs(counts)
        if before is not None and now != before:
            last_work_seconds = time.monotonic() - started
        before = now
        time.sleep(POLL_SECONDS)
    return last_work_seconds


def _count_system_runs(counts):
    # Calls straight to a backend server bypass the system. The prefix of their
    # request id marks them.
    return sum(not request_id.startswith("straight") for request_id in counts)


def _overload(session):
    for node in session.nodes_of(session.deployment.lookup_service):
        _set_behaviour(node, work_seconds=OVERLOAD_WORK_SECONDS)


def _slow_backend(session):
    node = session.nodes_of(session.deployment.lookup_service)[0]
    _set_behaviour(node, slow_factor=SLOW_FACTOR)


def _late_answers(session):
    for service in (
        session.deployment.lookup_service,
        session.deployment.order_service,
    ):
        _set_behaviour(session.nodes_of(service)[0], work_seconds=LATE_WORK_SECONDS)


def _lying_health(session):
    node = session.nodes_of(session.deployment.lookup_service)[0]
    _set_behaviour(node, fail_share=1.0, claims_healthy=True, claimed_load=0.0)


def _restore_behaviour(session):
    departed = session.counts_by_departed_node
    for node in [n for n in session.fleet.nodes if n.place.name not in departed]:
        _set_behaviour(node)


def _stop_store_answers(session):
    session.fleet.store.set_faults(is_down=True)


def _restore_store(session):
    session.fleet.store.set_faults()


def _do_nothing(session):
    return


ACTIONS_BY_FAULT = {
    "kill": (_kill, _replace_killed),
    "pause": (_pause, _resume),
    "store-outage": (_stop_store_answers, _restore_store),
    "drain": (_drain, _do_nothing),
    "overload": (_overload, _restore_behaviour),
    "slow-backend": (_slow_backend, _restore_behaviour),
    "late-answers": (_late_answers, _restore_behaviour),
    "lying-health": (_lying_health, _restore_behaviour),
}


class FaultTimeline:
    """Starts all faults partway through a run and ends them before the run ends."""

    def __init__(self, session, faults, start_at, seconds):
        self._session = session
        self._faults = faults
        self._start_faults_at = start_at + seconds * FAULT_START_FRACTION
        self._end_faults_at = start_at + seconds * FAULT_END_FRACTION
        self._thread = threading.Thread(target=self._run, name="faults", daemon=True)
        self._error = None

    def start(self):
        """Start the thread that starts and ends the faults."""
        self._thread.start()

    def finish(self):
        """Wait until all faults have ended; raise an error that stopped them."""
        self._thread.join()
        if self._error:
            raise self._error

    def _run(self):
        try:
            self._run_actions(0, self._start_faults_at)
            self._run_actions(1, self._end_faults_at)
        except Exception as error:
            self._error = error

    def _run_actions(self, position, at):
        time.sleep(max(0.0, at - time.monotonic()))
        for fault in self._faults:
            ACTIONS_BY_FAULT[fault][position](self._session)
