"""The load patterns that trials can simulate."""

from dataclasses import replace

from rattanworks.bench.load.scenario import (
    Disturbance,
    DisturbanceKind,
    KindModel,
    NestedCalls,
    Scenario,
    ServiceModel,
)
from rattanworks.model.route import RouteKind

DOMAINS = ("a", "b", "c")
# Runs of "reads" call "orders", and runs of "orders" call "uploads". The called
# services have requests of callers too, so a lack of slots there costs twice: direct
# requests are lost, and runs that wait for a nested call fail.
SERVICES = (
    ServiceModel("reads", ("a", "a", "b", "b", "c"), 6, (0.7, 0.7, 1.6)),
    ServiceModel("orders", DOMAINS, 6, (0.7, 0.7, 1.6)),
    ServiceModel("uploads", DOMAINS, 6, (0.5, 1.0, 1.5)),
)
KINDS = (
    KindModel(
        "read",
        "reads",
        mean_run_seconds=0.06,
        objective=0.2,
        timeout=0.8,
        per_second=260.0,
        priority=2,
        calls=NestedCalls("check", 2, 0.7),
    ),
    KindModel(
        "order",
        "orders",
        mean_run_seconds=0.08,
        objective=0.25,
        timeout=1.0,
        per_second=100.0,
        sigma=0.8,
        utility=2.0,
        route_kind=RouteKind.NON_IDEMPOTENT,
        request_bytes=1200,
        answer_bytes=400,
        calls=NestedCalls("status", 1, 0.7),
    ),
    KindModel(
        "upload",
        "uploads",
        mean_run_seconds=0.07,
        objective=0.3,
        timeout=1.2,
        per_second=28.0,
        sigma=0.3,
        utility=2.0,
        route_kind=RouteKind.UPLOAD,
        request_bytes=60_000,
        answer_bytes=5000,
    ),
    KindModel("check", "orders", 0.015, 0.06, 0.2, utility=0.0, max_retries=0),
    KindModel("status", "uploads", 0.015, 0.06, 0.2, utility=0.0, max_retries=0),
)
BASE = Scenario("calm", DOMAINS, SERVICES, KINDS)
SCENARIOS = (
    BASE,
    replace(BASE, name="lasting_overload", load=1.5),
    replace(
        BASE,
        name="burst",
        disturbances=(Disturbance(DisturbanceKind.BURST, 2.0, 3.0, factor=2.0),),
    ),
    replace(
        BASE,
        name="retry_storm",
        load=1.2,
        disturbances=(
            Disturbance(DisturbanceKind.RETRY_STORM, 2.0, 4.0, 3.0, share=0.3),
        ),
    ),
    replace(
        BASE,
        name="slow_endpoints",
        load=1.2,
        disturbances=(Disturbance(DisturbanceKind.SLOW, 2.0, 4.0, 6.0, 0.3, "reads"),),
    ),
    replace(
        BASE,
        name="half_gone",
        load=1.0,
        disturbances=(Disturbance(DisturbanceKind.GONE, 2.0, 3.0, 1.0, 0.5, "orders"),),
    ),
    replace(
        BASE,
        name="called_service_short",
        load=1.2,
        disturbances=(
            Disturbance(DisturbanceKind.GONE, 0.0, 60.0, 1.0, 0.3, "orders"),
        ),
    ),
    replace(
        BASE,
        name="shedding",
        load=1.2,
        disturbances=(
            Disturbance(DisturbanceKind.SHEDDING, 2.0, 4.0, 0.5, 1.0, "orders"),
        ),
    ),
)
SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
