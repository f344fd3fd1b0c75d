"""The demo session: runs both example deployments and reports each step."""

import contextlib
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from rattanworks.bench.caller import Caller
from rattanworks.bench.deployments import DEPLOYMENTS
from rattanworks.bench.fleet import (
    ConditionTimeoutError,
    places_of,
    running_fleet,
    running_store,
    wait_until,
)
from rattanworks.bench.move_session import run_move, start_version
from rattanworks.model.service import MoveStatus
from rattanworks.settings.lists import load_lists
from rattanworks.utils.codec import decode_json

LOOKUPS = 50
UPLOAD_BYTES = 4 * 1024 * 1024
IN_FORCE_TIMEOUT_SECONDS = 9.0
MEMBERS_TIMEOUT_SECONDS = 20.0
MOVE_SECONDS = 15.0
BAD_MOVE_CALLS_PER_SECOND = 15
FAILING_BEHAVIOUR = '{"fail_share": 0.5}'


@dataclass
class Account:
    """Collects the lines of a session's report and the promises that were broken."""

    lines: list = field(default_factory=list)
    broken: list = field(default_factory=list)

    def add_line(self, text):
        """Add one line."""
        self.lines.append(text)

    def require(self, holds, promise):
        """Add a line on whether a promise held, and record it if it was broken."""
        self.add_line(f"  [{'held' if holds else 'BROKEN'}] {promise}")
        if not holds:
            self.broken.append(promise)


@dataclass(frozen=True, slots=True)
class Session:
    """One deployment of the demo, its fleet and its account."""

    deployment: object
    fleet: object
    account: Account

    def run(self, step):
        """Run one step; a condition not met in time counts as a broken promise."""
        try:
            step(self.account, self.deployment, self.fleet)
        except ConditionTimeoutError as error:
            self.account.require(False, str(error))


def run_demo(seed, write):
    """Run the session and return whether every promise held.

    ``write`` is called with each line of output.
    """
    started = time.monotonic()
    with running_store() as store, contextlib.ExitStack() as stack:
        write(f"store stand-in on {store.address}")
        sessions = [
            Session(
                deployment,
                stack.enter_context(running_fleet(store, deployment.name)),
                Account(),
            )
            for deployment in DEPLOYMENTS
        ]
        _run_in_parallel(sessions, _run_deployment)
        store.stop()
        _run_in_parallel(sessions, _check_store_stopped)
        store.restart()
        _run_in_parallel(sessions, _check_store_restarted)
    for session in sessions:
        write("")
        for line in session.account.lines:
            write(line)
    write(f"finished in {time.monotonic() - started:.1f} s")
    broken = [promise for session in sessions for promise in session.account.broken]
    for promise in broken:
        write(f"broken: {promise}")
    return not broken


def _run_in_parallel(sessions, step):
    with ThreadPoolExecutor(len(sessions)) as executor:
        list(executor.map(lambda session: session.run(step), sessions))


def _run_deployment(account, deployment, fleet):
    account.add_line(deployment.name)
    places = places_of(deployment)
    _start(account, deployment, fleet, places)
    with contextlib.closing(_caller(deployment, fleet)) as caller:
        _look_up(account, deployment, caller)
        _send_order_twice(account, deployment, fleet)
        _upload(account, deployment, caller)
        _kill_node(account, deployment, fleet, caller)
    _move_good_and_bad(account, deployment, fleet)


def _caller(deployment, fleet):
    return Caller(fleet.nodes[0].callers, deployment.customer)


def _start(account, deployment, fleet, places):
    lists = load_lists(deployment.customers_path, deployment.plans_path)
    fleet.start_all(places)
    fleet.wait_ready()
    seconds = wait_until(
        lambda: fleet.sees_serving(len(places)),
        MEMBERS_TIMEOUT_SECONDS,
        "endpoints known",
    )
    account.add_line(f"  {len(places)} nodes know every endpoint ({seconds:.2f} s)")
    head = fleet.accept(lists, "example lists")
    seconds = wait_until(
        lambda: fleet.has_in_force(head.version),
        IN_FORCE_TIMEOUT_SECONDS,
        "lists in force",
    )
    account.require(
        seconds <= IN_FORCE_TIMEOUT_SECONDS,
        f"version {head.version} in force on every node within {seconds:.2f} s",
    )


def _look_up(account, deployment, caller):
    started = time.monotonic()
    answers = [
        caller.send("GET", f"/{deployment.lookup_service}/{number}")
        for number in range(LOOKUPS)
    ]
    milliseconds = (time.monotonic() - started) / LOOKUPS * 1000
    all_whole = all(
        answer.status == 200
        and decode_json(answer.body, dict)["path"].endswith(f"/{number}")
        for number, answer in enumerate(answers)
    )
    account.require(
        all_whole, f"{LOOKUPS} look-ups answered whole, {milliseconds:.2f} ms each"
    )


def _send_order_twice(account, deployment, fleet):
    key = uuid.uuid4().hex
    path = f"/{deployment.order_service}/order"
    request_ids = [uuid.uuid4().hex for _ in range(2)]
    answers = [
        Caller(node.callers, deployment.customer).send(
            "POST", path, b"one crate", key, request_id=request_id
        )
        for node, request_id in zip(fleet.nodes, request_ids, strict=False)
    ]
    runs = sum(
        node.runs_by_request_id().get(request_id, 0)
        for node in fleet.nodes
        if node.place.service == deployment.order_service
        for request_id in request_ids
    )
    same = answers[0].body == answers[1].body and answers[0].status == 200
    account.require(same and runs == 1, f"one order asked twice ran {runs} time(s)")


def _upload(account, deployment, caller):
    answer = caller.send(
        "POST", f"/{deployment.upload_service}/upload", bytes(UPLOAD_BYTES)
    )
    received = decode_json(answer.body, dict)["received_bytes"]
    account.require(received == UPLOAD_BYTES, f"upload of {received} bytes arrived")


def _count_look_ups_served(deployment, caller, count=LOOKUPS):
    return sum(
        caller.send("GET", f"/{deployment.lookup_service}/{number}").status == 200
        for number in range(count)
    )


def _kill_node(account, deployment, fleet, caller):
    victim = _other_node(deployment.lookup_service, fleet)
    serving = len(fleet.nodes)
    victim.process.kill()
    served = _count_look_ups_served(deployment, caller)
    account.require(
        served == LOOKUPS, f"node killed: {served} of {LOOKUPS} look-ups served"
    )
    seconds = wait_until(
        lambda: fleet.sees_serving(serving - 1),
        MEMBERS_TIMEOUT_SECONDS,
        "dead node removed",
    )
    account.add_line(f"  the dead endpoint was removed everywhere in {seconds:.2f} s")
    victim.backend.end()
    fleet.start_node(victim.place)
    seconds = wait_until(
        lambda: fleet.sees_serving(serving), MEMBERS_TIMEOUT_SECONDS, "node is back"
    )
    account.add_line(f"  its replacement is known everywhere after {seconds:.2f} s")


def _other_node(service, fleet):
    return next(node for node in fleet.nodes[1:] if node.place.service == service)


def _move_good_and_bad(account, deployment, fleet):
    good, bad = deployment.lookup_service, deployment.upload_service
    start_version(fleet, good, "v2", count=2)
    start_version(fleet, bad, "v2", FAILING_BEHAVIOUR, count=1)
    with ThreadPoolExecutor(2) as executor:
        good_result = executor.submit(
            run_move, fleet, good, "v2", MOVE_SECONDS, deployment.customer
        )
        bad_result = executor.submit(
            run_move,
            fleet,
            bad,
            "v2",
            MOVE_SECONDS,
            deployment.customer,
            BAD_MOVE_CALLS_PER_SECOND,
        )
        _check_good_move(account, good, good_result.result())
        _check_bad_move(account, bad, bad_result.result())


def _check_good_move(account, service, result):
    account.require(
        result.status == MoveStatus.DONE and result.in_time,
        f"{service}: the good version is done after {result.seconds:.1f} s, "
        "before its finish time",
    )


def _check_bad_move(account, service, result):
    account.require(
        result.status == MoveStatus.TAKEN_BACK and not result.new_calls_after_end,
        f"{service}: the bad version is taken back after {result.seconds:.1f} s, "
        f"{result.new_calls_after_end} calls to it later than 2 s after that",
    )


def _check_store_stopped(account, deployment, fleet):
    with contextlib.closing(_caller(deployment, fleet)) as caller:
        served = _count_look_ups_served(deployment, caller)
        answer = caller.send(
            "POST", f"/{deployment.order_service}/order", b"crate", uuid.uuid4().hex
        )
    account.require(
        served == LOOKUPS, f"store stopped: {served} of {LOOKUPS} look-ups served"
    )
    outcome = answer.header("x-request-outcome")
    account.require(
        answer.status == 503 and outcome == "not-run",
        f"store stopped: a keyed order is answered {answer.status}, {outcome}",
    )


def _check_store_restarted(account, deployment, fleet):
    lists = load_lists(deployment.customers_path, deployment.plans_path)
    head = fleet.accept(lists, "after the outage")
    seconds = wait_until(
        lambda: fleet.has_in_force(head.version),
        IN_FORCE_TIMEOUT_SECONDS,
        "second version",
    )
    account.require(
        seconds <= IN_FORCE_TIMEOUT_SECONDS,
        f"store back: version {head.version} in force within {seconds:.2f} s",
    )
