"""Splits the operators' lists into blobs and joins them again."""

import hashlib
from dataclasses import dataclass, replace

from rattanworks.exceptions import BlobUnusableError, VersionRefusedError
from rattanworks.model.lists import Customer, OperatorLists, Plan
from rattanworks.model.route import DEFAULT_LIMITS, CallerLimits, Route
from rattanworks.model.version import BlobReference, Manifest, content_hash
from rattanworks.utils.codec import DecodeError, decode_json, encode_json

ENTRIES_PER_SQUARED_PAGES = 2.5
MAX_PAGES = 128
MAX_BLOB_BYTES = 1024 * 1024
PLANS = "plans"
LIMITS = "limits"
CUSTOMERS_PREFIX = "customers/"
ROUTES_PREFIX = "routes/"
DIGEST_DIGITS = 16


@dataclass(frozen=True, slots=True)
class _PlanRoute:
    """A route and the name of the plan that offers it."""

    plan: str
    route: Route


def count_pages(entries):
    """Return the number of pages that so many entries are split into.

    It is a power of two that grows with the square root of the entries. A change
    transfers one page and the manifest, which references every page, so that the
    two should be of similar size.
    """
    pages = 1
    while pages < MAX_PAGES and pages * pages * ENTRIES_PER_SQUARED_PAGES < entries:
        pages *= 2
    return pages


def _page_number(name, pages):
    return hashlib.sha256(name.encode()).digest()[0] % pages


def split_lists(lists):
    """Return the blobs of the lists by name.

    Customers and routes are split into pages by the hash of their names, so that a
    change to one entry changes one page and little is transferred.
    """
    customers, plans = _sorted_entries(lists)
    routes = [_PlanRoute(plan.name, route) for plan in plans for route in plan.routes]
    contents = {
        **_split_into_pages(CUSTOMERS_PREFIX, customers, lambda customer: customer.id),
        **_split_into_pages(ROUTES_PREFIX, routes, lambda entry: entry.route.name),
    }
    contents[PLANS] = encode_json([replace(plan, routes=()) for plan in plans])
    if lists.limits != DEFAULT_LIMITS:
        contents[LIMITS] = encode_json(lists.limits)
    return contents


def _split_into_pages(prefix, entries, name_of):
    pages = [[] for _ in range(count_pages(len(entries)))]
    for entry in entries:
        pages[_page_number(name_of(entry), len(pages))].append(entry)
    return {
        f"{prefix}{number:03}": encode_json(page)
        for number, page in enumerate(pages)
        if page
    }


def lists_digest(lists):
    """Return a short hash of the lists, the same for equal lists."""
    customers, plans = _sorted_entries(lists)
    content = encode_json((customers, plans, lists.limits))
    return content_hash(content)[:DIGEST_DIGITS]


def _sorted_entries(lists):
    customers = sorted(lists.customers_by_id.values(), key=lambda customer: customer.id)
    plans = sorted(lists.plans_by_name.values(), key=lambda plan: plan.name)
    return customers, plans


def references(contents):
    """Return the BlobReferences of a dict of blobs by name."""
    return tuple(
        BlobReference(name, content_hash(content))
        for name, content in sorted(contents.items())
    )


def decode_manifest(content, expected_hash):
    """Verify and decode a manifest.

    Raise BlobUnusableError when it is corrupt, VersionRefusedError when it does not
    decode.
    """
    verify_blob(content, expected_hash)
    return _decode(content, Manifest)


def join_lists(manifest, content_by_hash):
    """Verify all blobs of a version and return its OperatorLists.

    Raise VersionRefusedError when any blob is missing, corrupt or inconsistent.
    """
    for reference in manifest.blobs:
        _verify_reference(manifest, reference, content_by_hash)
    customers, plans, routes, limits = [], [], [], DEFAULT_LIMITS
    for reference in manifest.blobs:
        content = content_by_hash[reference.hash]
        if reference.name == PLANS:
            plans += _decode(content, tuple[Plan, ...])
        elif reference.name == LIMITS:
            limits = _decode(content, CallerLimits)
        elif reference.name.startswith(ROUTES_PREFIX):
            routes += _decode(content, tuple[_PlanRoute, ...])
        else:
            customers += _decode(content, tuple[Customer, ...])
    plans = _with_routes(manifest, plans, routes)
    lists = OperatorLists.of(customers, plans, limits)
    _require_unique(manifest, lists, customers, plans)
    _require_known_plans(manifest, lists)
    return lists


def _with_routes(manifest, plans, entries):
    routes_by_plan = {plan.name: [] for plan in plans}
    for entry in entries:
        if entry.plan not in routes_by_plan:
            raise VersionRefusedError(
                f"version {manifest.version}: route {entry.route.name} belongs to "
                f"unknown plan {entry.plan}; apply a corrected version"
            )
        routes_by_plan[entry.plan].append(entry.route)
    return [
        replace(
            plan, routes=tuple(sorted(routes_by_plan[plan.name], key=_route_sort_key))
        )
        for plan in plans
    ]


def _route_sort_key(route):
    return route.name, route.host, route.prefix


def _verify_reference(manifest, reference, content_by_hash):
    content = content_by_hash.get(reference.hash)
    if content is None:
        raise BlobUnusableError(
            f"version {manifest.version}: blob {reference.name} is missing; "
            "fetch it from another peer"
        )
    verify_blob(content, reference.hash)


def _require_unique(manifest, lists, customers, plans):
    distinct = len(lists.customers_by_id) + len(lists.plans_by_name)
    if distinct != len(customers) + len(plans):
        raise VersionRefusedError(
            f"version {manifest.version}: an entry occurs twice; "
            "apply a corrected version"
        )


def _require_known_plans(manifest, lists):
    for customer in lists.customers_by_id.values():
        if customer.plan not in lists.plans_by_name:
            raise VersionRefusedError(
                f"version {manifest.version}: customer {customer.id} has unknown "
                f"plan {customer.plan}; apply a corrected version"
            )


def verify_blob(content, expected_hash):
    """Raise BlobUnusableError unless the content has the expected hash."""
    if content_hash(content) != expected_hash:
        raise BlobUnusableError(
            f"blob {expected_hash[:12]} is corrupt; fetch it from another peer"
        )


def _decode(content, kind):
    try:
        return decode_json(content, kind)
    except DecodeError as error:
        raise VersionRefusedError(
            f"a blob does not decode: {error}; apply a corrected version"
        ) from error
