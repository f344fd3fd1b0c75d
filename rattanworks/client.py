"""The entry as a library: sends a Python program's calls directly to their owners.

A client synchronizes its tables with the node on its host, through that node's
control listener, and is not a member itself. Calls with an idempotency key go
through that node, which claims the key.
"""

import threading
import time
import uuid
from dataclasses import dataclass

from rattanworks.adapters.grpc_control import GrpcControlPeers
from rattanworks.adapters.peer_calls import FramePeerCalls
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.replicator import Replicator
from rattanworks.distribution.validation import validate_version
from rattanworks.exceptions import StoreUnavailableError
from rattanworks.membership.sync import Reconciler, Tables
from rattanworks.model.call import Answer, Outcome
from rattanworks.model.control import REPLIES_BY_REQUEST
from rattanworks.quarantine.breaker import build_quarantine
from rattanworks.routing.choice import EndpointChooser
from rattanworks.routing.entry import CallerRequest, Entry
from rattanworks.routing.table import RoutingTables
from rattanworks.utils.headers import answer_headers, request_headers
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.precedence_table import PrecedenceTable

SYNC_INTERVAL_SECONDS = 0.5
READY_POLL_SECONDS = 0.02
DEFAULT_TIMEOUT_SECONDS = 5.0
NODE_CONNECTIONS = 16
# The node could not read the request; these answers carry no outcome.
UNREAD_STATUSES = frozenset({400, 413, 431})


@dataclass(frozen=True, slots=True)
class _Follower:
    node: str
    control_address: str = ""


class _FollowedMembers:
    """The members that the followed node knows."""

    def __init__(self, name):
        self.own = _Follower(name)
        self.table = PrecedenceTable(lambda record: record.node)

    @property
    def by_node(self):
        return self.table.rows_by_name


class _NoOwner:
    repeat_share = 0.0

    def owns(self, record):
        return False


class _NoStore:
    def get_kept(self, key):
        return None

    def get(self, key):
        raise StoreUnavailableError("a client reads versions from its node only")


class Client:
    """Sends the calls of one process. Thread-safe.

    ``host`` has the name, region and failure domain of the caller's host.
    ``control`` and ``callers`` are the addresses of those listeners of the host's
    node.
    """

    def __init__(self, host, control, callers):
        self._control = control
        self._clock = SystemClock()
        self._control_peers = GrpcControlPeers(REPLIES_BY_REQUEST)
        members = _FollowedMembers(f"client-{host.name}")
        services = PrecedenceTable(lambda state: state.service)
        self._configuration = Configuration(validate_version)
        self._replicator = Replicator(
            self._configuration, self._control_peers, _NoStore(), self._clock
        )
        quarantine = build_quarantine(self._clock, members.own.node)
        self._reconciler = Reconciler(
            Tables(members, services, self._configuration, quarantine.reports),
            self._control_peers,
            self._clock,
        )
        self._reconciler.on_head = self._replicator.handle_peer_head
        self._tables = RoutingTables(self._configuration, members, services)
        self._calls = FramePeerCalls(members.own.node, self._clock)
        self._entry = Entry(
            self._tables,
            EndpointChooser(host, self._clock),
            _NoOwner(),
            self._calls,
            None,
            self._clock,
            quarantine=quarantine,
        )
        self._node_pool = HttpPool(callers, NODE_CONNECTIONS)
        self._stopped = threading.Event()
        self._sync_thread = threading.Thread(
            target=self._follow, name="follow", daemon=True
        )

    def start(self):
        """Start to synchronize with the node."""
        self._replicator.start()
        self._sync_thread.start()

    def wait_ready(self, timeout):
        """Wait up to ``timeout`` seconds; return whether the client is ready."""
        deadline = time.monotonic() + timeout
        while not self.is_ready and time.monotonic() < deadline:
            time.sleep(READY_POLL_SECONDS)
        return self.is_ready

    @property
    def is_ready(self):
        """Return whether a version is in force and an endpoint is known."""
        has_endpoints = bool(self._tables.current.targets_by_service)
        return self._configuration.head.version > 0 and has_endpoints

    def _follow(self):
        while not self._stopped.is_set():
            # Tables are compared by digest, so without a change this is one short
            # message.
            self._reconciler.reconcile(self._control)
            self._stopped.wait(SYNC_INTERVAL_SECONDS)

    def send(
        self,
        customer,
        method,
        target,
        headers=(),
        body=b"",
        timeout=DEFAULT_TIMEOUT_SECONDS,
        request_id="",
        idempotency_key="",
    ):
        """Send one call and return its Answer; ``timeout`` is in seconds."""
        request = CallerRequest(
            request_id=request_id or uuid.uuid4().hex,
            customer=customer,
            method=method,
            path=target.partition("?")[0],
            target=target,
            headers=request_headers(headers),
            body=body,
            deadline=self._clock.monotonic() + timeout,
            idempotency_key=idempotency_key,
        )
        if idempotency_key:
            return self._send_through_node(request, timeout)
        return self._entry.handle(request)

    def _send_through_node(self, request, timeout):
        headers = (
            *request.headers,
            ("X-Customer", request.customer),
            ("X-Request-Id", request.request_id),
            ("X-Request-Timeout", f"{timeout:.3f}"),
            ("Idempotency-Key", request.idempotency_key),
        )
        answer = self._node_pool.exchange(
            request.method, request.target, headers, request.body, timeout
        )
        default = Outcome.UNKNOWN
        if answer.status in UNREAD_STATUSES:
            default = Outcome.NOT_RUN
        return Answer(
            status=answer.status,
            headers=answer_headers(answer.headers),
            body=answer.body,
            outcome=Outcome(answer.header("x-request-outcome", default)),
            retry_after=float(answer.header("retry-after", "0")),
        )

    def close(self):
        """Stop synchronizing and close all connections."""
        self._stopped.set()
        self._replicator.stop()
        self._calls.close()
        self._node_pool.close()
        self._control_peers.close()
