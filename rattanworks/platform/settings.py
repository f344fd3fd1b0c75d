"""The node's settings from the file that the platform renders.

The file is the product's own TOML and a table ``platform`` with what the
platform gives in its own form; its bounds set the product's settings.
"""

import dataclasses
from dataclasses import dataclass

from rattanworks.platform.names import parse_duration
from rattanworks.settings.base import (
    Address,
    Faults,
    ListOf,
    Number,
    Table,
    Text,
    read_toml,
)
from rattanworks.settings.node import NODE, ListenSettings, NodeSettings

ENVIRONMENT_KEY = "RATTANWORKS_NODE_FILE"
# Part of a host's memory for the bodies of large requests and answers: next to it a
# node of the design size takes 91 MB (docs/CAPACITY.md), of 200 MB on the smallest.
BODIES_PART = 0.25
# Callers learn within two questions, a second apart, that a node leaves; till then
# its backend server gets calls.
ACCEPT_SECONDS = 2.5
# Part of the shared budget of repeats that entries use. A backend server that runs a
# repeated call repeats its own calls, which count at the service that they go to;
# with chains half is left for those that are not seen as such.
BUDGET_PART = 0.5
# Of the addresses that nodes may use among themselves, the control listener's.
CONTROL_PORT_INDEX = 0

MAX_PORT = 65535
MAX_MEMORY_MB = 1024 * 1024
MEGABYTE = 1000 * 1000


@dataclass(frozen=True, slots=True)
class PlatformTable:
    """What the platform gives in its own form.

    ``callers`` takes requests of callers and of the backend server, ``reports``
    the backend server's heartbeats, ``peers`` calls of other nodes, ``ready``
    the platform's question whether the node is ready, ``metrics`` is the port of
    the metrics, 0 for none. ``memory_mb`` is what the process may take, 0 when
    unknown. ``backend`` is the backend server's address; ``bounds`` are texts such
    as ``grace=6s``.
    """

    host: str
    callers: str
    reports: str
    peers: str
    ready: str
    metrics: int
    memory_mb: int
    ports: tuple[int, ...]
    backend: str
    heartbeat: str
    least_lease: str
    bounds: tuple[str, ...]


PLATFORM = Table(
    {
        "host": Text(),
        "callers": Address(),
        "reports": Address(),
        "peers": Address(),
        "ready": Address(),
        "metrics": Number(0, 0, MAX_PORT, whole=True),
        "memory_mb": Number(0, 0, MAX_MEMORY_MB, whole=True),
        "ports": ListOf(Number(0, 0, MAX_PORT, whole=True)),
        "backend": Address(),
        "heartbeat": Text(),
        "least_lease": Text("1s"),
        "bounds": ListOf(Text(), ()),
    },
    PlatformTable,
)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The node's settings and those of the adapter."""

    node: NodeSettings
    backend_address: str
    heartbeat_seconds: float
    least_lease_seconds: float


def load_platform_settings(path):
    """Read the rendered file; raise InvalidInputGroup with all faults."""
    faults = Faults(path)
    content = read_toml(path, faults)
    table = node = None
    if content is not None:
        table = PLATFORM.validate(content.pop("platform", None), "platform", faults)
        node = NODE.validate(content, "", faults)
    faults.raise_if_any()
    settings = _decoded(node, table, faults)
    faults.raise_if_any()
    return settings


def _decoded(node, table, faults):
    try:
        bounds = dict(_bound(text) for text in table.bounds)
        node = _with_memory(_with_listeners(node, table), table.memory_mb)
        return PlatformSettings(
            node=_with_bounds(node, bounds),
            backend_address=table.backend,
            heartbeat_seconds=parse_duration(table.heartbeat),
            least_lease_seconds=parse_duration(table.least_lease),
        )
    except ValueError as error:
        faults.add("platform", "times and numbers", str(error), "correct the value")
        return None


def _bound(text):
    name, _, value = text.partition("=")
    return name.strip(), value.strip()


def _with_listeners(node, table):
    def port(address):
        return int(address.rpartition(":")[2])

    listen = ListenSettings(
        host=table.host,
        callers_port=port(table.callers),
        local_port=port(table.reports),
        peers_port=port(table.peers),
        control_port=table.ports[CONTROL_PORT_INDEX],
        admin_port=port(table.ready),
        metrics_port=table.metrics,
    )
    return dataclasses.replace(node, listen=listen)


def _with_memory(node, memory_mb):
    if not memory_mb:
        return node
    most = int(memory_mb * MEGABYTE * BODIES_PART)
    bodies = min(node.traffic.large_bodies_bytes, most)
    traffic = dataclasses.replace(node.traffic, large_bodies_bytes=bodies)
    return dataclasses.replace(node, traffic=traffic)


def _with_bounds(node, bounds):
    if "grace" in bounds:
        drain = dataclasses.replace(
            node.drain,
            timeout_seconds=parse_duration(bounds["grace"]),
            accept_seconds=ACCEPT_SECONDS,
        )
        node = dataclasses.replace(node, drain=drain)
    if "retryBudgetRatio" in bounds:
        retries = dataclasses.replace(
            node.retries,
            share=BUDGET_PART * float(bounds["retryBudgetRatio"]),
            mesh_burst=BUDGET_PART * float(bounds.get("budgetSlack", 0)),
            per_second=0.0,
        )
        node = dataclasses.replace(node, retries=retries)
    return node
