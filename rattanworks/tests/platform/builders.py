"""Builders of configurations, settings and heartbeats in the platform's form."""

import json

CONFIGURATION = {
    "version": "00000007",
    "services": [
        {
            "name": "catalogue",
            "healthPath": "/health",
            "maxConnections": 110,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s",
    },
    "baseVersion": "00000005",
    "virtualHosts": [
        {
            "host": "shop.example",
            "pathRules": [
                {
                    "name": "lookup",
                    "prefix": "/lookup/",
                    "routeType": "idempotent",
                    "timeout": "800ms",
                    "targetLatency": "200ms",
                    "priority": 2,
                    "weightedClusters": [
                        {"service": "catalogue", "weight": 90},
                        {"service": "orders", "weight": 10},
                    ],
                    "attempts": 2,
                },
                {
                    "name": "order",
                    "prefix": "/lookup/order/",
                    "routeType": "non_idempotent",
                    "timeout": "1s",
                    "targetLatency": "250ms",
                    "priority": 1,
                    "service": "catalogue",
                    "attempts": 2,
                },
                {
                    "name": "photos",
                    "prefix": "/photos/",
                    "routeType": "upload",
                    "timeout": "2s",
                    "targetLatency": "300ms",
                    "priority": 1,
                    "service": "catalogue",
                    "attempts": 1,
                },
                {
                    "name": "slow",
                    "prefix": "/slow/",
                    "routeType": "non_idempotent",
                    "timeout": "20s",
                    "targetLatency": "9s",
                    "priority": 1,
                    "service": "catalogue",
                    "attempts": 1,
                },
            ],
        }
    ],
}


SETTINGS = """
[host]
name = "node-1"
region = "qc-est"
failure_domain = "qc-est-a"
service = "catalogue"

[store]
address = "{store}"

[traffic]
callers_threads = 12
local_threads = 2
peers_threads = 8

[platform]
host = "127.0.0.1"
callers = "127.0.0.1:0"
reports = "127.0.0.1:0"
peers = "127.0.0.1:0"
ready = "127.0.0.1:0"
memory_mb = {memory_mb}
ports = [0]
backend = "{backend}"
heartbeat = "30s"
least_lease = "1s"
bounds = ["grace={grace}", "retryBudgetRatio=0.2", "budgetSlack=58"]
"""


def build_settings_text(**fields):
    """Return the text of a node's settings as the platform renders them."""
    defaults = {"store": "127.0.0.1:1", "backend": "127.0.0.1:2"}
    return SETTINGS.format(**{**defaults, "grace": "2s", "memory_mb": 0, **fields})


def build_configuration(**changes):
    """Return the bytes of the operator's record of a configuration."""
    return json.dumps({**CONFIGURATION, **changes}).encode()


def build_routes(*changes_by_route, **fields):
    """Return a configuration with a changed copy of the route "order" for each."""
    order = CONFIGURATION["virtualHosts"][0]["pathRules"][1]
    rules = [{**order, **changes} for changes in changes_by_route]
    hosts = [{"host": "shop.example", "pathRules": rules}]
    return build_configuration(virtualHosts=hosts, **fields)


def one_service_configuration(**changes):
    """Return a configuration that routes everything to the service catalogue."""
    rules = [
        {**rule, "service": "catalogue"}
        for rule in CONFIGURATION["virtualHosts"][0]["pathRules"]
    ]
    for rule in rules:
        rule.pop("weightedClusters", None)
    hosts = [{"host": "shop.example", "pathRules": rules}]
    return build_configuration(virtualHosts=hosts, **changes)


def build_heartbeat(**changes):
    """Return the fields of a backend server's heartbeat."""
    fields = {
        "service": "catalogue",
        "address": "127.0.0.1:1",
        "zone": "qc-est-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "warmupLeft": "0ms",
        "sequence": 1,
        "born": 1000,
    }
    return {**fields, **changes}
