"""Finds the route of a request without a scan of all routes."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from rattanworks.model.route import ANY_HOST, Route


@dataclass(frozen=True, slots=True)
class RouteIndex:
    """The routes of all plans, by plan, host and prefix.

    The cost of a lookup grows with the number of slashes in the path, not with the
    number of routes.
    """

    routes_by_key: Mapping[tuple[str, str, str], Route]

    @classmethod
    def of(cls, lists):
        """Index the routes of an OperatorLists; the first of equal routes wins.

        A prefix without a trailing slash covers that path and all paths below it.
        """
        by_key = {}
        for plan in lists.plans_by_name.values():
            for route in plan.all_routes():
                for prefix in _indexed_prefixes(route.prefix):
                    by_key.setdefault((plan.name, route.host, prefix), route)
        return cls(MappingProxyType(by_key))

    def find(self, plan_name, host, path):
        """Return the Route with the longest prefix that covers the path, or None."""
        hosts = (host.lower(), host.lower().rpartition(":")[0], ANY_HOST)
        for prefix in _candidate_prefixes(path):
            for name in hosts:
                route = self.routes_by_key.get((plan_name, name, prefix))
                if route is not None:
                    return route
        return None


def _indexed_prefixes(prefix):
    stripped = prefix.rstrip("/")
    if prefix.endswith("/") and stripped:
        return (prefix,)
    return (stripped, f"{stripped}/")


def _candidate_prefixes(path):
    """Yield the prefixes that may cover a path, longest first.

    They are the path and, for each slash in it, the part before the slash with and
    without it.
    """
    yield path
    end = path.rfind("/")
    while end >= 0:
        if end + 1 < len(path):
            yield path[: end + 1]
        yield path[:end]
        end = path.rfind("/", 0, end)
