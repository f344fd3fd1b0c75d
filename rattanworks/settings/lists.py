"""Reading and validation of the operators' two lists."""

import dataclasses

from rattanworks.model.lists import (
    DEFAULT_PRIORITY,
    Customer,
    OperatorLists,
    Plan,
    ServiceUse,
)
from rattanworks.model.route import (
    DEFAULT_LIMITS,
    NO_LIMIT,
    CallerLimits,
    Route,
    RouteKind,
    WeightedService,
)
from rattanworks.settings.base import (
    Boolean,
    Choice,
    Faults,
    ListOf,
    MapOf,
    Number,
    Table,
    Text,
    name_option,
    parse_toml,
    read_toml,
)

MAX_RATE = 1_000_000
MAX_BURST = 1_000_000
MAX_PRIORITY = 9
MAX_ATTEMPTS = 100
MAX_SECONDS = 3600
MAX_WEIGHT = 1_000_000
MAX_BYTES = 1024 * 1024 * 1024

USE_PREFIX = Text(
    pattern=r"/[A-Za-z0-9._~/-]*", expected="a path prefix such as /orders"
)

USE = Table(
    {
        "calls_per_second": Number(minimum=0.001, maximum=MAX_RATE),
        "burst": Number(0, 0, MAX_BURST, whole=True),
        "routes": ListOf(USE_PREFIX, ()),
    }
)

ROUTE_PREFIX = Text(pattern=r"/[^?#\s]*", expected="a path prefix such as /orders/")
HOST = Text("", pattern=r"[A-Za-z0-9.:_-]*", expected="a host name, or none for any")

ROUTE_TABLE = Table(
    {
        "host": HOST,
        "prefix": ROUTE_PREFIX,
        "kind": Choice(RouteKind, RouteKind.BY_METHOD),
        "timeout_seconds": Number(NO_LIMIT, 0, MAX_SECONDS),
        "objective_seconds": Number(NO_LIMIT, 0, MAX_SECONDS),
        "attempts": Number(NO_LIMIT, 0, MAX_ATTEMPTS, whole=True),
        "priority": Number(None, 0, MAX_PRIORITY, whole=True),
        "services": MapOf(Number(minimum=0, maximum=MAX_WEIGHT)),
    }
)

LIMITS = Table(
    {
        "max_header_bytes": Number(
            DEFAULT_LIMITS.max_header_bytes, 256, MAX_BYTES, whole=True
        ),
        "max_body_bytes": Number(
            DEFAULT_LIMITS.max_body_bytes, 1, MAX_BYTES, whole=True
        ),
        "header_seconds": Number(DEFAULT_LIMITS.header_seconds, 0.01, MAX_SECONDS),
        "idle_seconds": Number(DEFAULT_LIMITS.idle_seconds, 0.01, MAX_SECONDS),
    },
    CallerLimits,
    default=DEFAULT_LIMITS,
)

PLANS = Table(
    {
        "plans": MapOf(
            Table(
                {
                    "priority": Number(DEFAULT_PRIORITY, 0, MAX_PRIORITY, whole=True),
                    "uses": MapOf(USE, {}),
                    "routes": MapOf(ROUTE_TABLE, {}),
                    "default": Boolean(False),
                }
            )
        ),
        "limits": LIMITS,
    }
)

CUSTOMERS = Table({"customers": MapOf(Table({"plan": name_option()}))})


def check_plans(plans, limits=DEFAULT_LIMITS):
    """Check Plans that were decoded elsewhere; raise InvalidInputGroup."""
    faults = Faults("plans")
    by_name = {plan.name: _table_of(plan) for plan in plans}
    tables = {"plans": by_name, "limits": dataclasses.asdict(limits)}
    PLANS.validate(tables, "", faults)
    _check_routes(by_name, faults)
    faults.raise_if_any()


def _table_of(plan):
    uses = {
        use.service: {
            "calls_per_second": use.calls_per_second,
            "burst": use.burst,
            "routes": list(use.routes),
        }
        for use in plan.uses
    }
    routes = {route.name: _table_of_route(route) for route in plan.routes}
    return {
        "priority": plan.priority,
        "uses": uses,
        "routes": routes,
        "default": plan.is_default,
    }


def _table_of_route(route):
    table = {
        name: getattr(route, name)
        for name in ROUTE_TABLE.options
        if getattr(route, name) is not None
    }
    services = {part.service: part.weight for part in route.services}
    return {**table, "kind": str(route.kind), "services": services}


def _check_routes(plans, faults):
    """Record routes without a service of weight above 0, and a second default plan."""
    for name, plan in plans.items():
        for route_name, route in plan["routes"].items():
            if not sum(route["services"].values()):
                faults.add(
                    f"plans.{name}.routes.{route_name}.services",
                    "a service with a weight above 0",
                    "none",
                    "name the service that runs the route's calls",
                )
    defaults = [name for name, plan in plans.items() if plan["default"]]
    if len(defaults) > 1:
        faults.add(
            "plans",
            "one default plan at most",
            ", ".join(defaults),
            "keep default on one of them",
        )


def load_lists(customers_path, plans_path):
    """Read and check both files; raise InvalidInputGroup with all faults."""
    customer_faults = Faults(customers_path)
    plan_faults = Faults(plans_path)
    return _check(
        read_toml(customers_path, customer_faults),
        read_toml(plans_path, plan_faults),
        customer_faults,
        plan_faults,
    )


def parse_lists(customers_toml, plans_toml):
    """Check both lists given as TOML bytes; raise InvalidInputGroup."""
    customer_faults = Faults("customers.toml")
    plan_faults = Faults("plans.toml")
    return _check(
        parse_toml(customers_toml, customer_faults),
        parse_toml(plans_toml, plan_faults),
        customer_faults,
        plan_faults,
    )


def _check(customers, plans, customer_faults, plan_faults):
    if customers is not None:
        customers = CUSTOMERS.validate(customers, "", customer_faults)
    if plans is not None:
        plans = PLANS.validate(plans, "", plan_faults)
    if plans is not None:
        _check_routes(plans["plans"], plan_faults)
    if customers is not None and plans is not None:
        _check_plan_names(customers["customers"], plans["plans"], customer_faults)
    all_faults = Faults("")
    for faults in (customer_faults, plan_faults):
        _collect(faults, all_faults)
    all_faults.raise_if_any()
    return _build(customers["customers"], plans["plans"], plans["limits"])


def _collect(faults, into):
    try:
        faults.raise_if_any()
    except ExceptionGroup as group:
        into.extend(group)


def _check_plan_names(customers, plans, faults):
    for customer_id, customer in customers.items():
        if customer is not None and customer["plan"] not in plans:
            known = ", ".join(sorted(plans)) or "none"
            faults.add(
                f"customers.{customer_id}.plan",
                f"a plan of the plans list ({known})",
                repr(customer["plan"]),
                "add the plan or name a known one",
            )


def _build(customers, plans, limits):
    return OperatorLists.of(
        [Customer(id, customer["plan"]) for id, customer in customers.items()],
        [_build_plan(name, plan) for name, plan in plans.items()],
        limits,
    )


def _build_plan(name, plan):
    uses = tuple(
        ServiceUse(
            service=service,
            calls_per_second=float(use["calls_per_second"]),
            burst=use["burst"] or max(1, int(use["calls_per_second"])),
            routes=use["routes"] or (f"/{service}",),
        )
        for service, use in sorted(plan["uses"].items())
    )
    routes = tuple(
        _build_route(route_name, route)
        for route_name, route in sorted(plan["routes"].items())
    )
    return Plan(name, plan["priority"], uses, routes, plan["default"])


def _build_route(name, route):
    services = tuple(
        WeightedService(service, float(weight))
        for service, weight in sorted(route["services"].items())
    )
    return Route(name, **{**route, "services": services})
