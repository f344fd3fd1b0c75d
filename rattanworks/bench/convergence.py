"""Whether and how fast accepted versions come into force on every node."""

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.base import Bench, Report
from rattanworks.bench.convergence_edits import (
    Operator,
    initial_lists,
    run_operators,
)
from rattanworks.bench.convergence_faults import (
    FAULTS_BY_NAME,
    FaultContext,
    FaultSchedule,
)
from rattanworks.bench.convergence_log import (
    AcceptedVersion,
    NodeRun,
    count_applied_in_part,
    count_never_ready,
    count_regressions,
    measure_convergence,
)
from rattanworks.bench.convergence_probe import RouteProbe, UsageSample
from rattanworks.bench.figures import mean_and_max, spread
from rattanworks.bench.fleet import (
    ConditionTimeoutError,
    Place,
    running_fleet,
    running_store,
    wait_until,
)
from rattanworks.distribution.content import lists_digest
from rattanworks.distribution.publisher import Publisher
from rattanworks.model.version import Head
from rattanworks.utils.arguments import positive_number

RACING_EDITS = "racing-edits"
RACING_OPERATORS = 8
READY_TIMEOUT_SECONDS = 60.0
IN_FORCE_TIMEOUT_SECONDS = 20.0
REGION = "qc-est"
EXTRA_SETTINGS = """
[distribution]
watchers_per_failure_domain = {watchers}
"""


class ConvergenceBench(Bench):
    """Operators edit the lists under faults; the nodes' logs give the figures."""

    name = "convergence"
    help = "time until accepted versions are in force on every node"
    faults = (*FAULTS_BY_NAME, RACING_EDITS)

    def add_arguments(self, parser):
        """Declare the size of the run."""
        parser.add_argument("--nodes", type=positive_number, default=12)
        parser.add_argument("--changes", type=positive_number, default=20)
        parser.add_argument("--interval", type=float, default=1.0, help="seconds")
        parser.add_argument("--customers", type=positive_number, default=50)
        parser.add_argument("--failure-domains", type=positive_number, default=3)
        parser.add_argument("--watchers", type=positive_number, default=2)
        parser.add_argument("--faults", default="", help=", ".join(self.faults))

    def run(self, arguments):
        """Run store, nodes, operators and faults, and return the Report."""
        names = self.parse_faults(arguments.faults)
        with running_store() as store, running_fleet(store) as fleet:
            fleet.extra_settings = EXTRA_SETTINGS.format(watchers=arguments.watchers)
            session = Session(store, fleet, arguments, names)
            session.prepare()
            session.measure()
            return Report(self.name, arguments.seed, session.figures())


class Session:
    """One run: its processes, the versions accepted, and the samples taken."""

    def __init__(self, store, fleet, arguments, faults):
        self._store = store
        self._fleet = fleet
        self._arguments = arguments
        self._faults = faults
        self._runs = []
        self._first = None
        count = RACING_OPERATORS if RACING_EDITS in faults else 1
        self._operators = [
            Operator(store.address, fleet.prefix, f"operator-{number}")
            for number in range(count)
        ]
        self._probe = RouteProbe(fleet)

    def prepare(self):
        """Start the nodes and bring the first version into force."""
        arguments = self._arguments
        nodes = self._fleet.start_all(_places(arguments))
        self._fleet.wait_ready(READY_TIMEOUT_SECONDS)
        self._runs = [NodeRun(node.place.name, node.process) for node in nodes]
        self._first = self._fleet.accept(initial_lists(arguments.customers))
        self._wait_until_in_force(self._first.version)
        wait_until(self._all_know_each_other, READY_TIMEOUT_SECONDS, "members known")

    def _all_know_each_other(self):
        replies = self._fleet.statuses()
        return len(replies) == self._arguments.nodes and all(
            len(reply.members) == self._arguments.nodes for reply in replies
        )

    def _wait_until_in_force(self, version):
        wait_until(
            lambda: self._has_in_force(version), IN_FORCE_TIMEOUT_SECONDS, "in force"
        )

    def _has_in_force(self, version):
        alive = [run for run in self._runs if run.is_alive]
        for run in alive:
            run.read_log()
        return all(
            run.newest_version >= version and run.ready_version >= 0 for run in alive
        )

    def measure(self):
        """Run the operators and faults and wait for the last version to be in force."""
        arguments = self._arguments
        seconds = arguments.changes * arguments.interval
        context = FaultContext(
            self._fleet, self._store, self._runs, seconds, arguments.seed
        )
        faults = FaultSchedule(
            context, [name for name in self._faults if name in FAULTS_BY_NAME]
        )
        self._counts_before = self._store.counts()
        self._before = UsageSample(self._fleet.nodes)
        self._probe.start()
        faults.start()
        run_operators(self._operators, arguments.changes, arguments.interval)
        faults.join()
        self._wait_for_last_version()
        self._probe.stop()
        self._after = UsageSample(self._fleet.nodes)
        self._counts_after = self._store.counts()

    def _wait_for_last_version(self):
        newest = Publisher(self._fleet.store_client, SystemClock()).current()
        try:
            self._wait_until_in_force(newest.head.version)
        except ConditionTimeoutError:
            # The figures then count fewer versions in force than accepted.
            return

    def figures(self):
        """Return the figures of the run."""
        for run in self._runs:
            run.read_log()
        accepted, lost = self._accepted()
        in_force, seconds = measure_convergence(self._runs, accepted)
        accepted_by_version = {one.version: one for one in accepted}
        first = self._fleet.publisher.version(self._first.version)
        accepted_by_version[self._first.version] = _accepted_version(
            self._fleet.publisher, first.manifest, 0.0
        )
        after, before = self._after, self._before
        return {
            "nodes": self._arguments.nodes,
            "changes": self._arguments.changes,
            "interval_seconds": self._arguments.interval,
            "faults": ",".join(self._faults),
            "accepted": len(accepted),
            "in_force": in_force,
            "nodes_never_ready": count_never_ready(self._runs),
            "convergence_seconds": spread(seconds, 50, 99),
            "returned_to_older": count_regressions(self._runs),
            "applied_in_part": count_applied_in_part(self._runs, accepted_by_version),
            "dangling_routes": self._probe.dangling_count,
            "route_probes": self._probe.probe_count,
            "lost": lost,
            "edits_given_up": sum(one.abandoned_edits for one in self._operators),
            "control_bytes_per_node_per_second": mean_and_max(
                after.bytes_per_second(before)
            ),
            "control_core_fraction": mean_and_max(after.core_fractions(before)),
            "node_rss_mb": mean_and_max(after.rss_mb()),
            "store_calls_per_second": self._store_call_rates(after.time - before.time),
        }

    def _accepted(self):
        publisher = self._fleet.publisher
        written_at_by_head = {}
        for operator in self._operators:
            written_at_by_head.update(operator.store.written_at_by_head)
        accepted, heads = [], set()
        child_parent_hash = publisher.current().head.manifest_hash
        for manifest in publisher.chain():
            if manifest.version <= self._first.version:
                break
            head = Head(manifest.version, child_parent_hash)
            child_parent_hash = manifest.parent_hash
            heads.add(head)
            accepted.append(
                _accepted_version(publisher, manifest, written_at_by_head[head])
            )
        accepted.reverse()
        return accepted, self._count_lost(heads)

    def _count_lost(self, heads):
        # A set, as an edit merged into a version that already held it repeats a head.
        reported = {head for one in self._operators for head in one.accepted_heads}
        publisher = self._fleet.publisher
        lists = publisher.lists(publisher.current().manifest)
        edits = [one.latest_edit for one in self._operators if one.latest_edit]
        missing = sum(
            lists.customers_by_id.get(edit.customer) is None
            or lists.customers_by_id[edit.customer].plan != edit.plan
            for edit in edits
        )
        return len(reported - heads) + missing

    def _store_call_rates(self, seconds):
        # The operators' calls are subtracted, so that only those of the nodes count.
        own = {"read": 0, "write": 0, "watch": 0}
        for operator in self._operators:
            for kind, count in operator.store.calls_by_kind.items():
                own[kind] += count
        return {
            f"{kind}s" if kind != "watch" else "watches": round(
                max(
                    0.0,
                    self._counts_after[kind] - self._counts_before[kind] - own[kind],
                )
                / seconds,
                2,
            )
            for kind in ("read", "write", "watch")
        }


def _accepted_version(publisher, manifest, accepted_at):
    digest = lists_digest(publisher.lists(manifest))
    return AcceptedVersion(manifest.version, accepted_at, digest)


def _places(arguments):
    return [
        Place(
            name=f"node-{number:03}",
            region=REGION,
            failure_domain=f"{REGION}-{number % arguments.failure_domains}",
            service="",
            version="",
            slots=0,
            connections=0,
        )
        for number in range(arguments.nodes)
    ]
