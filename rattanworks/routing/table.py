"""The routing table of a node, rebuilt when its inputs change."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from rattanworks.distribution.configuration import Snapshot
from rattanworks.model.endpoint import EndpointRecord
from rattanworks.model.lists import Plan
from rattanworks.model.route import Route
from rattanworks.model.service import ServiceState
from rattanworks.moves.schedule import endpoints_in_use
from rattanworks.routing.route_index import RouteIndex


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A service that has endpoints; ``state`` is None until it is declared."""

    service: str
    state: ServiceState | None
    endpoints_by_version: Mapping[str, tuple[EndpointRecord, ...]]

    @classmethod
    def of(cls, service, state, endpoints):
        """Group the endpoints of a service by version.

        During a move, only as many endpoints of the new version get calls as its
        share of the calls needs, so that each has about the load that it will have
        at full share.
        """
        grouped = {}
        # Sorted, so that all nodes use the same endpoints of the new version.
        for record in sorted(endpoints, key=lambda record: record.node):
            grouped.setdefault(record.version, []).append(record)
        if state is not None and state.is_moving and state.serving_version in grouped:
            new_endpoints = grouped.get(state.move.to_version, [])
            del new_endpoints[endpoints_in_use(state.move.share, len(new_endpoints)) :]
        by_version = {name: tuple(records) for name, records in grouped.items()}
        return cls(service, state, by_version)

    def choose_version(self, fraction):
        """Return the version for a call; ``fraction`` is drawn from [0, 1).

        The new version of a running move gets its share of the calls, or all calls
        when the old version has no endpoints left. A version that was taken back
        (rolled back) gets none.
        """
        if self.state is None:
            return min(self.endpoints_by_version, key=self._earliest_start)
        is_new = fraction < self._new_share()
        return self.state.move.to_version if is_new else self.state.serving_version

    def share_of(self, version):
        """Return the share of the service's calls that goes to a version."""
        if self.state is None or not self.state.is_moving:
            return 1.0
        new_share = self._new_share()
        is_new = version == self.state.move.to_version
        return new_share if is_new else 1.0 - new_share

    def _new_share(self):
        if not self.state.is_moving or not self.endpoints(self.state.move.to_version):
            return 0.0
        is_old_version_gone = not self.endpoints(self.state.serving_version)
        return 1.0 if is_old_version_gone else self.state.move.share

    def _earliest_start(self, version):
        # Without a declared state, the version with the earliest started endpoint is
        # used.
        records = self.endpoints_by_version[version]
        return min(record.incarnation for record in records), version

    def endpoints(self, version):
        """Return the endpoints that get the calls of a version."""
        return self.endpoints_by_version.get(version, ())

    def fallback_version(self, version):
        """Return the version to use when ``version`` refuses, or None."""
        if self.state is None or version == self.state.serving_version:
            return None
        return self.state.serving_version


@dataclass(frozen=True, slots=True)
class Match:
    """A request's customer, host and path matched against the lists."""

    plan: Plan
    route: Route

    @property
    def priority(self):
        """Return the priority of the calls; lower numbers are served first."""
        priority = self.route.priority
        return self.plan.priority if priority is None else priority


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """An immutable routing table; ``routes`` indexes the routes of the snapshot."""

    snapshot: Snapshot
    routes: RouteIndex
    targets_by_service: Mapping[str, ServiceTarget]

    def plan_of(self, customer_id):
        """Return the customer's plan or None."""
        return self.snapshot.lists.plan_of(customer_id)

    def match(self, plan, host, path):
        """Return the Match of the route with the longest prefix, or None."""
        route = self.routes.find(plan.name, host, path)
        return None if route is None else Match(plan, route)


class RoutingTables:
    """Holds the current RoutingTable and replaces it when one of its inputs changes."""

    def __init__(self, configuration, members, services):
        self._configuration = configuration
        self._members = members
        self._services = services
        self._lock = threading.Lock()
        self.current = None
        self._routes = RouteIndex.of(configuration.snapshot.lists)
        self._indexed_snapshot = configuration.snapshot
        self.rebuild()
        configuration.add_listener(self.rebuild)
        members.table.add_listener(lambda updates: self.rebuild())
        services.add_listener(lambda updates: self.rebuild())

    def rebuild(self):
        """Build a new table from the current inputs and replace the old one."""
        with self._lock:
            snapshot = self._configuration.snapshot
            if snapshot is not self._indexed_snapshot:
                self._routes = RouteIndex.of(snapshot.lists)
                self._indexed_snapshot = snapshot
            self.current = RoutingTable(snapshot, self._routes, self._targets())

    def _targets(self):
        endpoints_by_service = {}
        for record in self._members.by_node.values():
            if record.accepts_calls:
                endpoints_by_service.setdefault(record.service, []).append(record)
        states = self._services.rows_by_name
        return MappingProxyType(
            {
                service: ServiceTarget.of(service, states.get(service), endpoints)
                for service, endpoints in endpoints_by_service.items()
            }
        )
