"""Translates the operator's configuration into versions of the product's lists."""

from dataclasses import dataclass

import msgspec

from rattanworks.distribution.content import references, split_lists
from rattanworks.exceptions import StoreRecordError
from rattanworks.model.lists import DEFAULT_PRIORITY, OperatorLists, Plan
from rattanworks.model.route import CallerLimits, Route, RouteKind, WeightedService
from rattanworks.model.version import Head, Manifest, content_hash
from rattanworks.platform.names import parse_duration, parse_version
from rattanworks.utils.codec import decode_json, encode_json

# The single plan, which holds for all callers: the platform has no customers.
PLAN_NAME = "default"
AUTHOR = "operator"

KIND_BY_ROUTE_TYPE = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "upload": RouteKind.UPLOAD,
}


class _WeightedService(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    prefix: str
    kind: str = msgspec.field(name="routeType")
    timeout: str = ""
    objective: str = msgspec.field(name="targetLatency", default="")
    priority: int | None = None
    attempts: int = 0
    service: str = ""
    services: tuple[_WeightedService, ...] = msgspec.field(
        name="weightedClusters", default=()
    )


class _Host(msgspec.Struct, frozen=True):
    host: str
    routes: tuple[_Route, ...] = msgspec.field(name="pathRules")


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = msgspec.field(name="maxHeaderBytes")
    max_body_bytes: int = msgspec.field(name="maxBodyBytes")
    header_timeout: str = msgspec.field(name="headerTimeout")
    idle_timeout: str = msgspec.field(name="idleTimeout")


class _Configuration(msgspec.Struct, frozen=True):
    version: str
    hosts: tuple[_Host, ...] = msgspec.field(name="virtualHosts")
    limits: _Limits | None = None


@dataclass(frozen=True, slots=True)
class TranslatedVersion:
    """A version in the product's form: its head and its blobs by hash."""

    head: Head
    content_by_hash: dict[str, bytes]


def translate(content):
    """Return the TranslatedVersion of the operator's record.

    The result is deterministic, so every node derives the same blobs from the same
    record. Raise StoreRecordError when the record cannot be read.
    """
    try:
        configuration = decode_json(content, _Configuration)
        version = parse_version(configuration.version)
        lists = _lists(configuration)
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        raise StoreRecordError(
            f"the operator's configuration cannot be read: {error!r}; "
            "the version in force stays, send a corrected one"
        ) from error
    contents = split_lists(lists)
    manifest = Manifest(
        version=version,
        parent_hash="",
        author=AUTHOR,
        message="",
        operation_id="",
        accepted_at=0.0,
        blobs=references(contents),
    )
    encoded = encode_json(manifest)
    blobs = {content_hash(blob): blob for blob in (encoded, *contents.values())}
    return TranslatedVersion(Head(version, content_hash(encoded)), blobs)


def _lists(configuration):
    routes = tuple(
        _route(host.host, route)
        for host in configuration.hosts
        for route in host.routes
    )
    plan = Plan(PLAN_NAME, DEFAULT_PRIORITY, (), routes, is_default=True)
    if configuration.limits is None:
        return OperatorLists.of((), (plan,))
    return OperatorLists.of((), (plan,), _limits(configuration.limits))


def _route(host, route):
    services = tuple(
        WeightedService(weighted.service, weighted.weight)
        for weighted in route.services
    )
    return Route(
        name=route.name,
        prefix=route.prefix,
        services=services or (WeightedService(route.service),),
        host=host.lower(),
        kind=KIND_BY_ROUTE_TYPE[route.kind],
        timeout_seconds=parse_duration(route.timeout) if route.timeout else 0,
        objective_seconds=parse_duration(route.objective) if route.objective else 0,
        attempts=route.attempts,
        priority=route.priority,
    )


def _limits(limits):
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        parse_duration(limits.header_timeout),
        parse_duration(limits.idle_timeout),
    )
