"""Translates the operator's configuration into versions of the product's lists."""

from dataclasses import dataclass

import msgspec

from rattanworks.distribution.content import references, split_lists
from rattanworks.exceptions import StoreRecordError
from rattanworks.model.lists import DEFAULT_PRIORITY, OperatorLists, Plan
from rattanworks.model.route import (
    NO_LIMIT,
    NO_SERVICE,
    CallerLimits,
    Route,
    RouteKind,
    WeightedService,
)
from rattanworks.model.version import Head, Manifest, content_hash
from rattanworks.platform.names import parse_duration, parse_version
from rattanworks.settings.lists import LIMITS, ROUTE_TABLE
from rattanworks.utils.codec import decode_json, encode_json

ROUTE_OPTIONS = ROUTE_TABLE.options
LIMIT_OPTIONS = LIMITS.options
# The single plan, which holds for all callers: the platform has no customers.
PLAN_NAME = "default"
AUTHOR = "operator"

KIND_BY_ROUTE_TYPE = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "upload": RouteKind.UPLOAD,
    "download": RouteKind.DOWNLOAD,
}
# Never repeats a call, so it is safe for a route whose kind is not known here.
FALLBACK_KIND = RouteKind.NON_IDEMPOTENT


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
class Replacement:
    """A value of the operator's record for which another one is used.

    ``field`` is its path in the record.
    """

    field: str
    value: str
    used: str


@dataclass(frozen=True, slots=True)
class TranslatedVersion:
    """A version in the product's form: its head and its blobs by hash.

    ``replacements`` are values that the product does not know or allow.
    """

    head: Head
    content_by_hash: dict[str, bytes]
    replacements: tuple[Replacement, ...] = ()


def translate(content):
    """Return the TranslatedVersion of the operator's record.

    The result is deterministic, so every node derives the same blobs from the same
    record. A value that is readable but unknown to the product, or beyond its bounds,
    is replaced by a safe one: rejected, the record would leave nodes that have no
    version yet without any route. Raise StoreRecordError when the record cannot be
    read.
    """
    replacements = []
    try:
        configuration = decode_json(content, _Configuration)
        version = parse_version(configuration.version)
        lists = _lists(configuration, replacements)
    except (msgspec.DecodeError, ValueError) as error:
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
    head = Head(version, content_hash(encoded))
    return TranslatedVersion(head, blobs, tuple(replacements))


def _lists(configuration, replacements):
    routes = tuple(
        _route(host.host, route, replacements)
        for host in configuration.hosts
        for route in host.routes
    )
    plan = Plan(PLAN_NAME, DEFAULT_PRIORITY, (), routes, is_default=True)
    if configuration.limits is None:
        return OperatorLists.of((), (plan,))
    return OperatorLists.of((), (plan,), _limits(configuration.limits, replacements))


def _route(host, route, replacements):
    field = f"virtualHosts.{host}.{route.name}"

    def clamp(name, value, option):
        return _clamped(f"{field}.{name}", value, option, replacements)

    timeout = _optional_duration(f"{field}.timeout", route.timeout)
    objective = _optional_duration(f"{field}.targetLatency", route.objective)
    priority = route.priority
    if priority is not None:
        priority = clamp("priority", priority, ROUTE_OPTIONS["priority"])
    return Route(
        name=route.name,
        prefix=route.prefix,
        services=_services(field, route, replacements),
        host=host.lower(),
        kind=_kind(field, route, replacements),
        timeout_seconds=clamp("timeout", timeout, ROUTE_OPTIONS["timeout_seconds"]),
        objective_seconds=clamp(
            "targetLatency", objective, ROUTE_OPTIONS["objective_seconds"]
        ),
        attempts=clamp("attempts", route.attempts, ROUTE_OPTIONS["attempts"]),
        priority=priority,
    )


def _optional_duration(field, text):
    return _duration(field, text) if text else NO_LIMIT


def _duration(field, text):
    try:
        return parse_duration(text)
    except ValueError as error:
        raise ValueError(f"{field}: {error}") from error


def _kind(field, route, replacements):
    kind = KIND_BY_ROUTE_TYPE.get(route.kind)
    if kind is None:
        replacements.append(
            Replacement(f"{field}.routeType", route.kind, FALLBACK_KIND)
        )
        return FALLBACK_KIND
    return kind


def _services(field, route, replacements):
    weighted = tuple(
        WeightedService(part.service, part.weight) for part in route.services
    )
    if not weighted and route.service:
        return (WeightedService(route.service),)
    if not any(part.weight for part in weighted):
        replacements.append(Replacement(f"{field}.service", "", NO_SERVICE))
        return (WeightedService(NO_SERVICE),)
    return weighted


def _clamped(field, value, option, replacements):
    allowed = option.clamp(value)
    if allowed != value:
        replacements.append(Replacement(field, str(value), str(allowed)))
    return allowed


def _limits(limits, replacements):
    values = {
        "max_header_bytes": limits.max_header_bytes,
        "max_body_bytes": limits.max_body_bytes,
        "header_seconds": _duration("limits.headerTimeout", limits.header_timeout),
        "idle_seconds": _duration("limits.idleTimeout", limits.idle_timeout),
    }
    return CallerLimits(
        **{
            name: _clamped(f"limits.{name}", value, LIMIT_OPTIONS[name], replacements)
            for name, value in values.items()
        }
    )
