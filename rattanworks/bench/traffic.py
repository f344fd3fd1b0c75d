"""Calls to a whole fleet of real processes under load and faults."""

import contextlib
import multiprocessing
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

from rattanworks.bench.base import Bench, Report
from rattanworks.bench.deployments import DEPLOYMENTS
from rattanworks.bench.fleet import (
    places_of,
    running_fleet,
    running_store,
    wait_until,
)
from rattanworks.bench.resources import usage_of
from rattanworks.bench.traffic_faults import (
    ACTIONS_BY_FAULT,
    FaultSession,
    FaultTimeline,
)
from rattanworks.bench.traffic_figures import compute_figures
from rattanworks.bench.traffic_load import (
    KEYED,
    LOOKUP,
    ORDER,
    UPLOAD,
    LoadPlan,
    run_load,
)
from rattanworks.settings.lists import parse_lists
from rattanworks.settings.node import HostSettings

LOAD_PROCESSES = 4
START_TIMEOUT_SECONDS = 30.0
IDLE_SAMPLE_SECONDS = 2.0
START_DELAY_SECONDS = 1.5
OVERLOAD_THREADS = 24
OVERLOAD_CALLS_PER_SECOND = 240.0
UNLIMITED_CUSTOMER = "bench-unlimited"
EXCESS_CUSTOMER = "bench-excess"
WEIGHTS_BY_KIND = {LOOKUP: 0.85, ORDER: 0.05, KEYED: 0.05, UPLOAD: 0.05}
LOOKUPS_ONLY = {LOOKUP: 1.0}

EXTRA_CUSTOMERS = f"""
[customers.{UNLIMITED_CUSTOMER}]
plan = "bench-unlimited"

[customers.{EXCESS_CUSTOMER}]
plan = "bench-excess"
"""


class TrafficBench(Bench):
    """Sends calls through the system and straight to the backend servers.

    The difference of their latencies is what the system adds. The servers' own counts
    show which requests ran and how often.
    """

    name = "traffic"
    help = "latency, whole answers and runs under load and faults"
    faults = tuple(ACTIONS_BY_FAULT)

    def add_arguments(self, parser):
        """Declare length, faults, size and load."""
        names = [deployment.name for deployment in DEPLOYMENTS]
        parser.add_argument("--seconds", type=float, default=10.0)
        parser.add_argument("--faults", default="", help=", ".join(self.faults))
        parser.add_argument("--deployment", choices=names, default=names[0])
        parser.add_argument(
            "--rate", type=float, default=100.0, help="calls a second; 0 for no pause"
        )
        parser.add_argument("--threads", type=int, default=1, help="in each process")
        parser.add_argument("--upload-bytes", type=int, default=64 * 1024)
        parser.add_argument("--timeout", type=float, default=1.0)
        parser.add_argument("--lookups-only", action="store_true")
        parser.add_argument(
            "--client", action="store_true", help="also send by the client library"
        )

    def run(self, arguments):
        """Run the fleet under load and return the Report."""
        faults = self.parse_faults(arguments.faults)
        by_name = {deployment.name: deployment for deployment in DEPLOYMENTS}
        deployment = by_name[arguments.deployment]
        with running_store() as store, running_fleet(store) as fleet:
            _start(fleet, deployment)
            figures = _measure(fleet, deployment, faults, arguments)
        return Report(self.name, arguments.seed, figures)


def _start(fleet, deployment):
    places = places_of(deployment)
    fleet.start_all(places)
    fleet.wait_ready()
    wait_until(
        lambda: fleet.sees_serving(len(places)), START_TIMEOUT_SECONDS, "endpoints"
    )
    head = fleet.accept(_lists(deployment), "lists of the bench")
    wait_until(
        lambda: fleet.has_in_force(head.version),
        START_TIMEOUT_SECONDS,
        "lists in force",
    )


def _lists(deployment):
    services = [service.name for service in deployment.services]
    plans = Path(deployment.plans_path).read_text()
    plans += _plan("bench-unlimited", 1, services, 100000)
    plans += _plan("bench-excess", 9, services, 10)
    customers = Path(deployment.customers_path).read_text() + EXTRA_CUSTOMERS
    return parse_lists(customers.encode(), plans.encode())


def _plan(name, priority, services, calls_per_second):
    uses = "".join(
        f"[plans.{name}.uses.{service}]\ncalls_per_second = {calls_per_second}\n"
        f"burst = {calls_per_second}\n"
        for service in services
    )
    return f"\n[plans.{name}]\npriority = {priority}\n{uses}"


def _measure(fleet, deployment, faults, arguments):
    session = FaultSession(fleet, deployment, list(fleet.nodes))
    idle = _node_core_seconds(fleet, IDLE_SAMPLE_SECONDS)
    start_at = time.monotonic() + START_DELAY_SECONDS
    plans = _load_plans(fleet, deployment, faults, arguments, start_at)
    timeline = FaultTimeline(session, faults, start_at, arguments.seconds)
    timeline.start()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(plans), mp_context=context) as executor:
        runs = executor.map(run_load, plans)
        busy = _node_core_seconds(fleet, arguments.seconds, start_at)
        records = [record for records in runs for record in records]
    timeline.finish()
    try:
        figures = compute_figures(
            records, _runs_by_request_id(session), _customers_within_plan(plans)
        )
    finally:
        _end_replaced_nodes(session)
    return {
        **_input_figures(deployment, faults, arguments),
        **figures,
        **_load_figures(figures, busy, idle, arguments.seconds, fleet),
        "new_work_after_leaving_seconds": round(
            session.new_work_after_leaving_seconds, 3
        ),
        "cut_in_flight": figures["outcome_unknown"] if faults == ("drain",) else 0,
    }


def _input_figures(deployment, faults, arguments):
    return {
        "deployment": deployment.name,
        "seconds": arguments.seconds,
        "faults": ",".join(faults),
    }


def _load_figures(figures, busy, idle, seconds, fleet):
    calls = max(1, figures["calls"])
    spent = max(0.0, busy - idle * seconds / IDLE_SAMPLE_SECONDS)
    return {
        "calls_per_second": round(calls / seconds, 1),
        "calls_per_second_per_node": round(calls / seconds / len(fleet.nodes), 1),
        "node_core_ms_per_call": round(spent / calls * 1000, 3),
    }


def _load_plans(fleet, deployment, faults, arguments, start_at):
    is_unpaced = arguments.rate == 0
    base = LoadPlan(
        seed=arguments.seed,
        threads=arguments.threads,
        start_at=start_at,
        stop_at=start_at + arguments.seconds,
        calls_per_second=arguments.rate / LOAD_PROCESSES / arguments.threads,
        customer=UNLIMITED_CUSTOMER if is_unpaced else deployment.customer,
        entries=tuple(node.callers for node in fleet.nodes),
        backends_by_service=_addresses_by_service(fleet),
        services_by_kind={
            LOOKUP: deployment.lookup_service,
            ORDER: deployment.order_service,
            KEYED: deployment.order_service,
            UPLOAD: deployment.upload_service,
        },
        weights_by_kind=LOOKUPS_ONLY if arguments.lookups_only else WEIGHTS_BY_KIND,
        upload_bytes=arguments.upload_bytes,
        timeout_seconds=arguments.timeout,
        is_compared=not is_unpaced,
    )
    if arguments.client:
        # The client is on a host of its own, without an endpoint, in the failure
        # domain of a node.
        node = fleet.nodes[0]
        place = node.place
        host = HostSettings("bench-caller", place.region, place.failure_domain)
        base = replace(base, host=host, control=node.control)
    plans = [
        replace(base, seed=arguments.seed * 100 + number)
        for number in range(LOAD_PROCESSES)
    ]
    if "overload" in faults:
        # No straight calls: they would take slots of the backend servers that the
        # owners count as free.
        plans = [replace(plan, is_compared=False, threads=8) for plan in plans]
        plans = [
            replace(plan, calls_per_second=plan.calls_per_second / 16) for plan in plans
        ]
        plans += _overload_plans(base, arguments.seed)
    return plans


def _overload_plans(base, seed):
    rate = OVERLOAD_CALLS_PER_SECOND / 2 / OVERLOAD_THREADS
    excess = replace(
        base,
        threads=OVERLOAD_THREADS,
        calls_per_second=rate,
        customer=EXCESS_CUSTOMER,
        weights_by_kind=LOOKUPS_ONLY,
        is_compared=False,
    )
    return [replace(excess, seed=seed * 100 + 50 + number) for number in range(2)]


def _addresses_by_service(fleet):
    addresses = {}
    for node in fleet.nodes:
        addresses.setdefault(node.place.service, []).append(node.backend_address)
    return {service: tuple(found) for service, found in addresses.items()}


def _customers_within_plan(plans):
    return {plan.customer for plan in plans} - {EXCESS_CUSTOMER}


def _node_core_seconds(fleet, seconds, start_at=None):
    """Return the processor seconds of all nodes during a sample of ``seconds``.

    The sample starts at ``start_at`` in monotonic seconds, by default now.
    """
    start_at = time.monotonic() if start_at is None else start_at
    time.sleep(max(0.0, start_at - time.monotonic()))
    before = {node.process.pid: usage_of(node.process.pid) for node in fleet.nodes}
    time.sleep(seconds)
    spent = 0.0
    for pid, usage in before.items():
        after = usage_of(pid)
        if usage and after:
            spent += after.core_seconds - usage.core_seconds
    return spent


def _runs_by_request_id(session):
    departed = session.counts_by_departed_node
    nodes = [node for node in session.all_nodes if node.place.name not in departed]
    runs = Counter()
    for counts in departed.values():
        runs.update(counts)
    with ThreadPoolExecutor(8) as executor:
        for counts in executor.map(lambda node: node.runs_by_request_id(), nodes):
            runs.update(counts)
    return runs


def _end_replaced_nodes(session):
    current = session.fleet.nodes_by_name.values()
    for node in session.all_nodes:
        if node not in current:
            with contextlib.suppress(OSError):
                node.end()
