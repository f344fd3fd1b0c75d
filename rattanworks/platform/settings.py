"""The node's settings from the file that the platform renders.

The file has the product's own tables and a table ``platform`` with values in the
platform's notation, some of which override the product's settings.
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
from rattanworks.utils.sockets import MAX_PORT

SETTINGS_PATH_VARIABLE = "RATTANWORKS_NODE_FILE"
# Share of a host's memory for the bodies of large requests and answers. A node of the
# design size takes 91 MB besides (docs/CAPACITY.md); the smallest host has 200 MB.
LARGE_BODIES_SHARE = 0.25
# How long the backend server of a stopping node still gets calls: callers notice the
# stop within two readiness checks, which are a second apart.
ACCEPT_SECONDS = 2.5
# Share of the platform's retry budget that entries use. A backend server that runs a
# retried call repeats the calls it makes itself, and these count against the service
# that receives them. Half of the budget is left for such repeats in chains of calls,
# which cannot be recognized as retries.
RETRY_BUDGET_SHARE = 0.5
# Index of the control listener's port in ``ports``, the ports for traffic among nodes.
CONTROL_PORT_INDEX = 0

MAX_MEMORY_MB = 1024 * 1024
MEGABYTE = 1000 * 1000
MAX_SECONDS = 24 * 3600.0
MAX_NUMBER = 1e9


@dataclass(frozen=True, slots=True)
class PlatformTable:
    """Values that the platform renders in its own notation.

    ``callers`` is the address for requests of callers and of the backend server,
    ``reports`` for the backend server's heartbeats, ``peers`` for calls of other
    nodes, ``ready`` for the platform's readiness checks; ``metrics`` is the port of
    the metrics, 0 for none. ``memory_mb`` is the memory that the process may take,
    0 when unknown. ``ports`` are those for traffic among nodes. ``backend`` is the
    backend server's address, ``heartbeat`` the interval of its heartbeats,
    ``least_lease`` the store's shortest lease; ``bounds`` are texts such as
    ``grace=6s``.
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
    min_lease_seconds: float


def load_platform_settings(path):
    """Read the rendered file; raise InvalidInputGroup with all errors found."""
    faults = Faults(path)
    content = read_toml(path, faults)
    table = node = None
    if content is not None:
        table = PLATFORM.validate(content.pop("platform", None), "platform", faults)
        node = NODE.validate(content, "", faults)
    faults.raise_if_any()
    settings = _build_settings(node, table, faults)
    faults.raise_if_any()
    return settings


def _build_settings(node, table, faults):
    try:
        bounds = dict(_parse_bound(text) for text in table.bounds)
        node = _with_memory(_with_listeners(node, table), table.memory_mb)
        return PlatformSettings(
            node=_with_bounds(node, bounds),
            backend_address=table.backend,
            heartbeat_seconds=_seconds(table.heartbeat),
            min_lease_seconds=_seconds(table.least_lease),
        )
    except ValueError as error:
        faults.add("platform", "times and numbers", str(error), "correct the value")
        return None


def _parse_bound(text):
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
    max_bytes = int(memory_mb * MEGABYTE * LARGE_BODIES_SHARE)
    bodies_bytes = min(node.traffic.large_bodies_bytes, max_bytes)
    traffic = dataclasses.replace(node.traffic, large_bodies_bytes=bodies_bytes)
    return dataclasses.replace(node, traffic=traffic)


def _number(text):
    number = float(text)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"{text!r} is not a number from 0 to {MAX_NUMBER:g}")
    return number


def _seconds(text):
    seconds = parse_duration(text)
    if seconds > MAX_SECONDS:
        raise ValueError(f"{text!r} is more than {MAX_SECONDS:g} s")
    return seconds


def _with_bounds(node, bounds):
    if "grace" in bounds:
        drain = dataclasses.replace(
            node.drain,
            timeout_seconds=_seconds(bounds["grace"]),
            accept_seconds=ACCEPT_SECONDS,
        )
        node = dataclasses.replace(node, drain=drain)
    if "retryBudgetRatio" in bounds:
        retries = dataclasses.replace(
            node.retries,
            share=RETRY_BUDGET_SHARE * _number(bounds["retryBudgetRatio"]),
            mesh_burst=RETRY_BUDGET_SHARE * _number(bounds.get("budgetSlack", 0)),
            per_second=0.0,
        )
        node = dataclasses.replace(node, retries=retries)
    return node
