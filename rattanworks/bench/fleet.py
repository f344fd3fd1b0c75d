"""A fleet of real processes: store, nodes and backend servers."""

import contextlib
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from rattanworks.adapters.fault_injection import (
    FAULTS_PATH,
    InjectedFaults,
    LinkFault,
)
from rattanworks.adapters.grpc_control import GrpcControlPeers
from rattanworks.adapters.http_store import HttpStore
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.processes import ManagedProcess, ProcessError
from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import PeerUnavailableError
from rattanworks.model.control import REPLIES_BY_REQUEST, StatusRequest
from rattanworks.standins.store import StoreFaults
from rattanworks.utils.codec import decode_json, encode_json
from rattanworks.utils.http_pool import HttpPool

HOST = "127.0.0.1"
ANY_PORT = "0"
STATUS_TIMEOUT_SECONDS = 2.0
STORE_TIMEOUT_SECONDS = 2.0
CONTROL_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.05
FLEET_THREADS = 16
MAX_FLEET_CHANNELS = 512

NODE_SETTINGS = """\
[host]
name = "{name}"
region = "{region}"
failure_domain = "{failure_domain}"

[store]
address = "{store}"
prefix = "{prefix}"

[membership]
contacts = [{contacts}]
{membership}
[fault_injection]
enabled = true
"""


class ConditionTimeoutError(Exception):
    """A condition did not become true within its timeout."""


def wait_until(condition, timeout, description):
    """Wait until ``condition()`` is true and return the seconds it took.

    Raise ConditionTimeoutError with ``description`` after ``timeout`` seconds.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout:
            raise ConditionTimeoutError(
                f"condition not met within {timeout} s: {description}"
            )
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


class StoreProcess:
    """The store stand-in as a process."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory()
        self.process = self._start(ANY_PORT)
        self.address = self.process.wait_for("standin-listening")["address"]
        self._control = HttpPool(self.address, 4)

    def _start(self, port):
        data = str(Path(self._folder.name) / "records.json")
        arguments = ["standin", "store", "--host", HOST, "--port", port]
        return ManagedProcess("store", [*arguments, "--data", data])

    def stop(self):
        """Stop the process and keep its records for a restart."""
        self.process.end()

    def restart(self):
        """Start the process again on the same address with the same records."""
        self.process = self._start(self.address.rpartition(":")[2])
        self.process.wait_for("standin-listening")

    def end(self):
        """Stop the process and delete its records."""
        self.process.end()
        self._folder.cleanup()

    def set_faults(self, **faults):
        """Replace the injected faults; without arguments, clear them."""
        body = encode_json(StoreFaults(**faults))
        self._exchange("POST", "/control/faults", body)

    def counts(self):
        """Return the number of calls to the store by kind."""
        body = self._exchange("GET", "/control/counts", b"").body
        return decode_json(body, dict[str, int])

    def expire_leases(self):
        """Let every lease expire now."""
        self._exchange("POST", "/control/expire-leases", b"")

    def _exchange(self, method, path, body):
        return self._control.exchange(method, path, (), body, CONTROL_TIMEOUT_SECONDS)


@dataclass(frozen=True, slots=True)
class Place:
    """The location of a node, and the service and limits of its backend server.

    A node with an empty ``service`` has no backend server.
    """

    name: str
    region: str
    failure_domain: str
    service: str
    version: str
    slots: int
    connections: int


class NodeProcess:
    """The process of a node and, once started, that of its backend server."""

    def __init__(self, fleet, place, behaviour="{}"):
        self.place = place
        self._fleet = fleet
        self._behaviour = behaviour
        self.backend = None
        self.backend_address = ""
        self.process = ManagedProcess(
            place.name, ["node", "--settings", fleet.write_settings(place)]
        )
        fields = self.process.wait_for("node-listening")
        self.callers = fields["callers"]
        self.local = fields["local"]
        self.peers = fields["peers"]
        self.control = fields["control"]
        self.admin = fields["admin"]

    def start_backend(self):
        """Start the backend server, which then announces itself to the node."""
        place = self.place
        self.backend = ManagedProcess(
            f"{place.name}-backend",
            [
                *("standin", "backend", "--service", place.service),
                *("--version", place.version, "--slots", str(place.slots)),
                *("--connections", str(place.connections), "--node", self.local),
                *("--behaviour", self._behaviour),
            ],
        )
        self.backend_address = self.backend.wait_for("standin-listening")["address"]

    def backend_control(self, method, path, body=b""):
        """Return the HttpAnswer of a call to the backend server's control interface."""
        pool = HttpPool(self.backend_address, 1)
        with contextlib.closing(pool):
            return pool.exchange(method, path, (), body, CONTROL_TIMEOUT_SECONDS)

    def inject(self, faults):
        """Replace the node's injected faults with an InjectedFaults."""
        pool = HttpPool(self.admin, 1)
        with contextlib.closing(pool):
            answer = pool.exchange(
                "POST", FAULTS_PATH, (), encode_json(faults), CONTROL_TIMEOUT_SECONDS
            )
        if answer.status != 204:
            raise ProcessError(f"{self.place.name}: {answer.body.decode()}")

    def runs_by_request_id(self):
        """Return the number of times the backend server ran each request."""
        body = self.backend_control("GET", "/control/runs").body
        return decode_json(body, dict[str, int])

    def end(self):
        """Stop the node and its backend server."""
        for process in (self.backend, self.process):
            if process is not None:
                process.end()


class Fleet:
    """A mesh: all nodes that use one key prefix of a store."""

    def __init__(self, store, prefix="mesh"):
        self.store = store
        self.prefix = prefix
        self.membership_settings = ""
        self.extra_settings = ""
        self.nodes_by_name = {}
        self._cuts = []
        self._folder = tempfile.TemporaryDirectory()
        self._peers = GrpcControlPeers(
            REPLIES_BY_REQUEST, max_channels=MAX_FLEET_CHANNELS
        )
        self._client = HttpStore(store.address, prefix, STORE_TIMEOUT_SECONDS)
        self.publisher = Publisher(self._client, SystemClock())

    @property
    def nodes(self):
        """Return the nodes whose processes are running."""
        # Copied, because other threads may add nodes during the iteration.
        nodes = list(self.nodes_by_name.values())
        return [node for node in nodes if node.process.is_running]

    @property
    def store_client(self):
        """Return a client of the store with the mesh's prefix."""
        return self._client

    def write_settings(self, place):
        """Write a node's settings file and return its path."""
        contacts = [node.control for node in self.nodes[:3]]
        path = Path(self._folder.name) / f"{place.name}.toml"
        path.write_text(
            NODE_SETTINGS.format(
                name=place.name,
                region=place.region,
                failure_domain=place.failure_domain,
                store=self.store.address,
                prefix=self.prefix,
                contacts=", ".join(f'"{address}"' for address in contacts),
                membership=self.membership_settings,
            )
            + self.extra_settings
        )
        return str(path)

    def start_node(self, place, behaviour="{}", with_backend=True):
        """Start a node and, by default, its backend server; return the NodeProcess."""
        node = NodeProcess(self, place, behaviour)
        self.nodes_by_name[place.name] = node
        if self._cuts:
            self._apply_cuts()
        if with_backend and place.service:
            node.start_backend()
        return node

    def start_all(self, places, behaviour="{}"):
        """Start nodes with their backend servers in parallel and return them."""
        with ThreadPoolExecutor(FLEET_THREADS) as executor:
            return list(
                executor.map(lambda place: self.start_node(place, behaviour), places)
            )

    def wait_ready(self, timeout=30.0):
        """Wait until each running node has logged that it is ready."""
        for node in self.nodes:
            node.process.wait_for("node-ready", timeout)

    def status(self, node):
        """Return a node's StatusReply, or None if the node does not answer."""
        try:
            return self._peers.request(
                node.control, StatusRequest(), STATUS_TIMEOUT_SECONDS
            )
        except PeerUnavailableError:
            return None

    def statuses(self):
        """Return the StatusReply of each running node that answers."""
        with ThreadPoolExecutor(FLEET_THREADS) as executor:
            replies = executor.map(self.status, self.nodes)
            return [reply for reply in replies if reply is not None]

    def has_in_force(self, version):
        """Return whether every running node has ``version`` or a later one in force."""
        replies = self.statuses()
        return len(replies) == len(self.nodes) and all(
            reply.head.version >= version for reply in replies
        )

    def sees_serving(self, count):
        """Return whether each running node knows just ``count`` serving endpoints."""
        replies = self.statuses()
        return len(replies) == len(self.nodes) and all(
            sum(record.accepts_calls for record in reply.members) == count
            for reply in replies
        )

    def cut(self, from_domains, to_domains, one_way=False):
        """Drop messages between failure domains.

        With ``one_way``, drop only those from ``from_domains`` to ``to_domains``.
        """
        self._cuts.append((frozenset(from_domains), frozenset(to_domains)))
        if not one_way:
            self._cuts.append((frozenset(to_domains), frozenset(from_domains)))
        self._apply_cuts()

    def heal(self):
        """End all cuts."""
        self._cuts.clear()
        self._apply_cuts()

    def _apply_cuts(self):
        for node in self.nodes:
            domain = node.place.failure_domain
            links = [self._link_fault(domain, cut) for cut in self._cuts]
            node.inject(InjectedFaults(tuple(link for link in links if link)))

    def _link_fault(self, domain, cut):
        senders, receivers = cut
        if domain in senders:
            return self._link_fault_to(receivers, loses_sent=True)
        if domain in receivers:
            return self._link_fault_to(senders, loses_received=True)
        return None

    def _link_fault_to(self, domains, **loses):
        nodes = [node for node in self.nodes if node.place.failure_domain in domains]
        addresses = [
            address for node in nodes for address in (node.control, node.peers)
        ]
        return LinkFault(tuple(sorted(domains)), tuple(addresses), **loses)

    def accept(self, lists, message="", author="bench"):
        """Accept lists as the version after the current one and return its Head."""
        return self.publisher.accept(lists, self.publisher.current(), author, message)

    def end(self):
        """Stop all processes of the mesh and delete its settings files."""
        with ThreadPoolExecutor(FLEET_THREADS) as executor:
            list(executor.map(lambda node: node.end(), self.nodes_by_name.values()))
        self._peers.close()
        self._client.close()
        self._folder.cleanup()


def places_of(deployment, version="v1"):
    """Return the places of a deployment's nodes, round-robin over failure domains."""
    places = []
    for service in deployment.services:
        for number in range(service.endpoints):
            domains = deployment.failure_domains
            domain = domains[len(places) % len(domains)]
            places.append(
                Place(
                    name=f"{service.name}-{version}-{number + 1}",
                    region=deployment.region,
                    failure_domain=domain,
                    service=service.name,
                    version=version,
                    slots=deployment.slots,
                    connections=deployment.connections,
                )
            )
    return places


@contextlib.contextmanager
def running_store():
    """Yield a StoreProcess; stop it after the block."""
    store = StoreProcess()
    try:
        yield store
    finally:
        store.end()


@contextlib.contextmanager
def running_fleet(store, prefix="mesh"):
    """Yield a Fleet without nodes; stop its processes after the block."""
    fleet = Fleet(store, prefix)
    try:
        yield fleet
    finally:
        fleet.end()
