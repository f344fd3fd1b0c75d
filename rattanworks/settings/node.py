"""Settings of the node daemon."""

from dataclasses import dataclass

from rattanworks.routing.retries import RetrySettings
from rattanworks.settings.base import (
    Address,
    Boolean,
    ListOf,
    Number,
    Table,
    Text,
    load_settings,
    name_option,
)
from rattanworks.settings.moves import MOVES, MoveSettings
from rattanworks.utils.sockets import MAX_PORT

ANY_PORT = 0
MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Name and location of the node.

    ``service`` is the service of the backend server beside it, empty when unknown.
    """

    name: str
    region: str
    failure_domain: str
    service: str = ""


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses on which the node listens; port 0 takes any free port.

    If ``metrics_port`` is not 0, a separate listener serves the metrics there, in
    addition to the admin listener.
    """

    host: str
    callers_port: int
    local_port: int
    peers_port: int
    control_port: int
    admin_port: int
    metrics_port: int = 0


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address of the store, and the prefix of this mesh's keys in it."""

    address: str
    prefix: str
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How nodes discover and monitor each other."""

    contacts: tuple[str, ...]
    heartbeat_seconds: float
    suspect_seconds: float
    domain_hold_seconds: float
    forget_seconds: float


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """How configuration versions reach the nodes."""

    watchers_per_failure_domain: int


@dataclass(frozen=True, slots=True)
class TrafficSettings:
    """Limits on calls.

    At most ``queue_length`` calls wait for a slot of the backend server, and no
    more than ``queue_per_slot`` for each of its slots.

    ``max_body_bytes`` bounds the body of one request and of one answer,
    ``large_bodies_bytes`` the sum of all bodies of more than 256 KiB that the node
    holds at once, in which answers count twice.
    """

    default_timeout_seconds: float
    max_body_bytes: int
    large_bodies_bytes: int
    queue_length: int
    queue_per_slot: float
    callers_threads: int
    local_threads: int
    peers_threads: int


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """How long a planned stop may take, including the exit of the process.

    For the first ``accept_seconds``, but at most five twelfths of the stop, the
    backend server still gets calls while callers learn that the node is no longer
    ready.
    """

    timeout_seconds: float
    accept_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultInjectionSettings:
    """Whether tests may drop or delay messages through the admin listener."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node."""

    host: HostSettings
    listen: ListenSettings
    store: StoreSettings
    membership: MembershipSettings
    distribution: DistributionSettings
    traffic: TrafficSettings
    drain: DrainSettings
    moves: MoveSettings
    retries: RetrySettings
    fault_injection: FaultInjectionSettings


def _port():
    return Number(ANY_PORT, 0, MAX_PORT, whole=True)


def _threads(default):
    return Number(default, 1, 512, whole=True)


HOST = Table(
    {
        "name": name_option(),
        "region": name_option(),
        "failure_domain": name_option(),
        "service": name_option(""),
    },
    HostSettings,
)

LISTEN = Table(
    {
        "host": Text("127.0.0.1"),
        "callers_port": _port(),
        "local_port": _port(),
        "peers_port": _port(),
        "control_port": _port(),
        "admin_port": _port(),
        "metrics_port": _port(),
    },
    ListenSettings,
    default=ListenSettings("127.0.0.1", 0, 0, 0, 0, 0),
)

STORE = Table(
    {
        "address": Address(),
        "prefix": name_option("mesh"),
        "timeout_seconds": Number(2.0, 0.05, 60),
    },
    StoreSettings,
)

MEMBERSHIP = Table(
    {
        "contacts": ListOf(Address(), ()),
        "heartbeat_seconds": Number(2.0, 0.05, 60),
        "suspect_seconds": Number(4.0, 0.1, 600),
        "domain_hold_seconds": Number(30.0, 0, 3600),
        "forget_seconds": Number(600.0, 1, 86400),
    },
    MembershipSettings,
    default=MembershipSettings((), 2.0, 4.0, 30.0, 600.0),
)

DISTRIBUTION = Table(
    {"watchers_per_failure_domain": Number(2, 1, 64, whole=True)},
    DistributionSettings,
    default=DistributionSettings(2),
)

TRAFFIC = Table(
    {
        "default_timeout_seconds": Number(5.0, 0.01, 600),
        "max_body_bytes": Number(64 * MEBIBYTE, 1, 512 * MEBIBYTE, whole=True),
        "large_bodies_bytes": Number(
            128 * MEBIBYTE, MEBIBYTE, 4096 * MEBIBYTE, whole=True
        ),
        "queue_length": Number(16, 0, 10000, whole=True),
        "queue_per_slot": Number(4.0, 0, 10000),
        "callers_threads": _threads(48),
        "local_threads": _threads(32),
        "peers_threads": _threads(256),
    },
    TrafficSettings,
    default=TrafficSettings(5.0, 64 * MEBIBYTE, 128 * MEBIBYTE, 16, 4.0, 48, 32, 256),
)

DRAIN = Table(
    {
        "timeout_seconds": Number(30.0, 0, 3600),
        "accept_seconds": Number(0.0, 0, 3600),
    },
    DrainSettings,
    default=DrainSettings(30.0),
)

RETRY_DEFAULTS = RetrySettings()

RETRIES = Table(
    {
        "share": Number(RETRY_DEFAULTS.share, 0, 1),
        "burst": Number(RETRY_DEFAULTS.burst, 0, 10000),
        "per_second": Number(RETRY_DEFAULTS.per_second, 0, 10000),
        "mesh_burst": Number(RETRY_DEFAULTS.mesh_burst, 0, 1_000_000),
    },
    RetrySettings,
    default=RETRY_DEFAULTS,
)

FAULT_INJECTION = Table(
    {"enabled": Boolean(False)},
    FaultInjectionSettings,
    default=FaultInjectionSettings(False),
)

NODE = Table(
    {
        "host": HOST,
        "listen": LISTEN,
        "store": STORE,
        "membership": MEMBERSHIP,
        "distribution": DISTRIBUTION,
        "traffic": TRAFFIC,
        "drain": DRAIN,
        "moves": MOVES,
        "retries": RETRIES,
        "fault_injection": FAULT_INJECTION,
    },
    NodeSettings,
)


def load_node_settings(path):
    """Read a node's settings; raise InvalidInputGroup with all faults."""
    return load_settings(path, NODE)
