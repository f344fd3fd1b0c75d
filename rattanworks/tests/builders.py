"""Builders of test data."""

import types
import uuid

from rattanworks.distribution.configuration import Snapshot
from rattanworks.distribution.content import references, split_lists
from rattanworks.model.announcement import Announcement
from rattanworks.model.call import Call
from rattanworks.model.control import FetchReply
from rattanworks.model.endpoint import EndpointRecord, EndpointState
from rattanworks.model.lists import Customer, OperatorLists, Plan, ServiceUse
from rattanworks.model.route import Route, WeightedService
from rattanworks.model.version import Head, Manifest, content_hash
from rattanworks.routing.table import RoutingTables
from rattanworks.settings.lists import parse_lists
from rattanworks.utils.codec import encode_json
from rattanworks.utils.compression import compress

CUSTOMERS = b"""
[customers.shop]
plan = "counter"
"""

PLANS = b"""
[plans.counter]
priority = 2
[plans.counter.uses.catalogue]
calls_per_second = 100
[plans.counter.uses.orders]
calls_per_second = 10
"""


def build_record(node="node-1", **changes):
    """Return the record of a node whose endpoint is SERVING."""
    fields = {
        "node": node,
        "incarnation": 1,
        "sequence": 1,
        "state": EndpointState.SERVING,
        "region": "qc-est",
        "failure_domain": "qc-est-a",
        "control_address": "127.0.0.1:1",
        "peers_address": "127.0.0.1:2",
        "service": "catalogue",
        "version": "v1",
        "slots": 6,
    }
    return EndpointRecord(**{**fields, **changes})


def build_move_fields(**changes):
    """Return the fields of a move as in a stored record, for odd values as well."""
    fields = {
        "operation_id": "x",
        "from_version": "v1",
        "to_version": "v2",
        "author": "ana",
        "started_at": 1.0,
        "finish_by": 2.0,
        "status": 0,
        "stage": 0,
        "share": 0.5,
        "holder": "",
        "term": 0,
        "step": 0,
        "reason": "",
        "ended_at": 0.0,
    }
    return {**fields, **changes}


def build_lists(customers=CUSTOMERS, plans=PLANS):
    """Return lists that have been read and validated."""
    return parse_lists(customers, plans)


def build_tables(members, services, lists=None):
    """Return the RoutingTables of lists that stay in force as version 1."""
    configuration = types.SimpleNamespace(
        snapshot=Snapshot(Head(1, ""), None, lists or build_lists()),
        add_listener=lambda listener: None,
    )
    return RoutingTables(configuration, members, services)


def build_route(**changes):
    """Return a route to the service ``catalogue`` for any host."""
    fields = {
        "name": "lookup",
        "prefix": "/catalogue/",
        "services": (WeightedService("catalogue"),),
    }
    return Route(**{**fields, **changes})


def lists_with_route(**changes):
    """Return lists whose customer ``shop`` has one route, see build_route."""
    plan = Plan("counter", 2, (), (build_route(**changes),), is_default=True)
    return OperatorLists.of([Customer("shop", "counter")], [plan])


def build_numbered_lists(number, customers=(), plans=("gold", "tin")):
    """Return lists that differ for each ``number``; ``customers`` maps ids to plans."""
    uses = (ServiceUse("catalogue", 10.0 + number, 10, ("/catalogue",)),)
    return OperatorLists.of(
        [Customer(id, plan) for id, plan in dict(customers).items()],
        [Plan(name, 5, uses) for name in plans],
    )


def build_version(number, lists=None, parent_hash=""):
    """Return the head of a version, and its blobs and manifest by hash."""
    contents = split_lists(lists or build_numbered_lists(number))
    manifest = Manifest(
        number, parent_hash, "ana", "", f"op-{number}", 0.0, references(contents)
    )
    encoded = [*contents.values(), encode_json(manifest)]
    content_by_hash = {content_hash(content): content for content in encoded}
    return Head(number, content_hash(encoded[-1])), content_by_hash


def fetch_reply(contents):
    """Return a FetchReply with all ``contents``, which are keyed by hash."""
    return FetchReply({hash: compress(content) for hash, content in contents.items()})


def build_call(**changes):
    """Return a GET call to the service ``catalogue``."""
    fields = {
        "request_id": uuid.uuid4().hex,
        "customer": "shop",
        "plan": "counter",
        "priority": 2,
        "service": "catalogue",
        "route": "/catalogue",
        "method": "GET",
        "target": "/catalogue/1",
        "headers": (),
        "body": b"",
        "deadline": 5.0,
        "version": "v1",
    }
    return Call(**{**fields, **changes})


def build_announcement(**changes):
    """Return the announcement of a ``catalogue`` server that sends heartbeats."""
    fields = {
        "service": "catalogue",
        "version": "v1",
        "address": "127.0.0.1:3",
        "slots": 2,
        "connections": 100,
        "instance": "first",
        "heartbeat_seconds": 1.0,
    }
    return Announcement(**{**fields, **changes})
