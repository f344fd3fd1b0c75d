"""A node's metrics, documented in docs/user-guide/metrics.md."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.process_collector import ProcessCollector

from rattanworks.model.service import MoveStatus
from rattanworks.quarantine.breaker import QUARANTINE_CRASHES
from rattanworks.utils.delays import ANSWER, REQUEST, TIMER, WorkDelays

CALL_SECONDS_BUCKETS = (
    *(0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
    *(0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)


def new_registry():
    """Return a registry with the standard metrics of the process."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return registry


def new_delays(registry):
    """Return WorkDelays that a registry shows as one histogram by kind."""
    histogram = Histogram(
        "rattanworks_work_delay_seconds",
        "Seconds from when work was due to when a thread handled it",
        ("kind",),
        buckets=CALL_SECONDS_BUCKETS,
        registry=registry,
    )
    kinds = (REQUEST, ANSWER, TIMER)
    return WorkDelays({kind: histogram.labels(kind).observe for kind in kinds})


class MeteredEntry:
    """Wraps an Entry; counts its calls and measures how long they take."""

    def __init__(self, entry, registry, clock):
        self._entry = entry
        self._clock = clock
        self._calls = Counter(
            "rattanworks_calls",
            "Calls answered by this entry",
            ("outcome", "status"),
            registry=registry,
        )
        self._seconds = Histogram(
            "rattanworks_call_seconds",
            "Seconds from a call's arrival at this entry to its answer",
            buckets=CALL_SECONDS_BUCKETS,
            registry=registry,
        )

    def priority_of(self, customer, host, path):
        """Return the priority of a request."""
        return self._entry.priority_of(customer, host, path)

    def handle(self, request):
        """Return the Answer to a caller's request."""
        started = self._clock.monotonic()
        answer = self._entry.handle(request)
        self._seconds.observe(self._clock.monotonic() - started)
        self._calls.labels(str(answer.outcome), str(answer.status)).inc()
        return answer


def add_gauges(registry, node):
    """Register the gauges, which read the state of a Node at each scrape."""
    configuration, members, owner = node.configuration, node.members, node.owner
    announcements = node.replicator.announcements
    gauges_by_name = {
        "rattanworks_config_version": (
            "Version of the lists in force",
            lambda: configuration.head.version,
        ),
        "rattanworks_config_announced_version": (
            "Newest version of the lists that peers or the store announced",
            lambda: announcements.newest.version,
        ),
        "rattanworks_config_behind_seconds": (
            "Seconds for which an announced version has not been in force",
            lambda: announcements.behind_seconds,
        ),
        "rattanworks_config_refused_versions": (
            "Versions of the lists that this node refused of late",
            lambda: len(configuration.refused),
        ),
        "rattanworks_members": (
            "Nodes known and not gone",
            lambda: len(members.present()),
        ),
        "rattanworks_serving_endpoints": (
            "Endpoints known to take calls",
            lambda: sum(record.accepts_calls for record in members.present()),
        ),
        "rattanworks_running_calls": (
            "Calls running on the backend server",
            lambda: owner.running,
        ),
        "rattanworks_waiting_calls": (
            "Calls in the queue before the backend server's slots",
            lambda: owner.waiting,
        ),
        "rattanworks_beginning_calls": (
            "Calls that wait for their turn to begin",
            lambda: node.turns.waiting,
        ),
        "rattanworks_load": (
            "Running and waiting calls as a fraction of the slots",
            lambda: owner.load,
        ),
        "rattanworks_backend_limit": (
            "Calls a second that the backend server says it takes, 0 if it names none",
            lambda: owner.limit or 0.0,
        ),
        "rattanworks_suspected_calls": (
            "Calls with different content that ran when a backend server crashed",
            lambda: node.quarantine.count_calls(1),
        ),
        "rattanworks_quarantined_calls": (
            "Calls with different content that are refused, as servers crashed",
            lambda: node.quarantine.count_calls(QUARANTINE_CRASHES),
        ),
        "rattanworks_retries_taken": (
            "Retries taken from the retry budget since start",
            lambda: node.retry_budget.taken,
        ),
        "rattanworks_running_moves": (
            "Moves that run, as far as this node knows",
            lambda: _count_running_moves(node.services),
        ),
        "rattanworks_held_roles": (
            "Roles that this node holds under a store lease",
            lambda: len(node.held_roles()),
        ),
        "rattanworks_control_sent_bytes": (
            "Bytes of control messages sent since start",
            lambda: node.control_peers.sent_bytes,
        ),
        "rattanworks_control_received_bytes": (
            "Bytes of control messages received since start",
            lambda: node.control_peers.received_bytes,
        ),
    }
    for name, (help_text, read) in gauges_by_name.items():
        Gauge(name, help_text, registry=registry).set_function(read)


def _count_running_moves(services):
    return sum(
        state.move is not None and state.move.status == MoveStatus.RUNNING
        for state in services.rows_by_name.values()
    )
