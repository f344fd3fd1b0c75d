"""HTTP interface of the store stand-in."""

import time
from urllib.parse import parse_qs, unquote

from waitress.channel import ClientDisconnected

from rattanworks.ports.base import ABSENT, TransactionConflict, WatchEvent, Write
from rattanworks.standins.store import (
    MAX_VALUE_BYTES,
    RevisionConflictError,
    StoreFaults,
    TransactionConflictError,
    UnknownLeaseError,
)
from rattanworks.utils.codec import decode_json
from rattanworks.utils.wsgi import Response, json_response, path_of, read_body, respond

MAX_WATCH_SECONDS = 60.0
CONFLICT_STATUS = 412

KEYS_PATH = "/v1/keys/"
LEASES_PATH = "/v1/leases"


class StoreApp:
    """WSGI application that serves a MemoryStore and injects faults."""

    def __init__(self, store, fault_controller):
        self._store = store
        self._fault_controller = fault_controller
        self._handlers_by_route = {
            ("GET", KEYS_PATH): (self._get, "read"),
            ("PUT", KEYS_PATH): (self._put, "write"),
            ("DELETE", KEYS_PATH): (self._delete, "write"),
            ("GET", "/v1/list"): (self._list, "read"),
            ("GET", "/v1/watch"): (self._watch, "watch"),
            ("POST", "/v1/transactions"): (self._transact, "write"),
            ("POST", LEASES_PATH): (self._grant_lease, "write"),
            ("PUT", LEASES_PATH + "/"): (self._renew_lease, "write"),
            ("DELETE", LEASES_PATH + "/"): (self._revoke_lease, "write"),
        }

    def __call__(self, environ, start_response):
        """Serve one request."""
        path = path_of(environ)
        if path.startswith("/control/"):
            return respond(start_response, self._control(environ, path))
        response = self._serve(environ, path)
        return respond(start_response, response)

    def _serve(self, environ, path):
        route = _route_of(environ["REQUEST_METHOD"], path)
        if route not in self._handlers_by_route:
            return Response(404, b"unknown path\n")
        handler, kind = self._handlers_by_route[route]
        fault_response = self._check_faults(kind)
        if fault_response:
            return fault_response
        argument = unquote(path[len(route[1]) :])
        try:
            response = handler(environ, argument)
        except TransactionConflictError as error:
            return json_response(
                TransactionConflict(error.position, error.actual), CONFLICT_STATUS
            )
        except RevisionConflictError as error:
            return Response(CONFLICT_STATUS, b"", (("ETag", f'"{error.actual}"'),))
        except UnknownLeaseError:
            return Response(410, b"the lease is gone\n")
        if kind == "write" and self._fault_controller.consume_lost_answer():
            raise ClientDisconnected
        return response

    def _check_faults(self, kind):
        """Return the response of an injected fault, or None to serve the call."""
        faults = self._fault_controller.faults
        if faults.delay_seconds:
            time.sleep(faults.delay_seconds)
        if faults.is_down:
            return Response(503, b"down\n")
        if self._fault_controller.is_over_rate():
            self._fault_controller.count("rejected")
            return Response(429, b"rate limit\n", (("Retry-After", "1"),))
        self._fault_controller.count(kind)
        return None

    def _get(self, environ, key):
        entry = self._store.get(key)
        if entry is None:
            return Response(404, b"")
        return _entry_response(entry)

    def _put(self, environ, key):
        body = read_body(environ)
        if len(body) > MAX_VALUE_BYTES:
            return Response(413, b"value over one megabyte\n")
        lease_id = environ.get("HTTP_LEASE_ID", "")
        entry = self._store.put(key, body, _expected_revision(environ), lease_id)
        return Response(200, b"", (("ETag", f'"{entry.revision}"'),))

    def _delete(self, environ, key):
        self._store.delete(key, _expected_revision(environ))
        return Response(204, b"")

    def _transact(self, environ, _):
        writes = decode_json(read_body(environ), tuple[Write, ...])
        if any(len(write.value or b"") > MAX_VALUE_BYTES for write in writes):
            return Response(413, b"value over one megabyte\n")
        entries = self._store.write_all(writes)
        return json_response(WatchEvent(entries, entries[-1].revision))

    def _list(self, environ, _):
        query = parse_qs(environ.get("QUERY_STRING", ""))
        return json_response(self._store.list(query.get("prefix", [""])[0]))

    def _watch(self, environ, _):
        query = parse_qs(environ.get("QUERY_STRING", ""))
        timeout = min(float(query["timeout"][0]), MAX_WATCH_SECONDS)
        prefix = query.get("prefix", [""])[0]
        event = self._store.watch(prefix, int(query["after"][0]), timeout)
        if self._fault_controller.faults.is_down:
            return Response(503, b"down\n")
        return json_response(event)

    def _grant_lease(self, environ, _):
        ttl = float(read_body(environ))
        return Response(200, self._store.grant_lease(ttl).encode())

    def _renew_lease(self, environ, lease_id):
        self._store.renew_lease(lease_id)
        return Response(204, b"")

    def _revoke_lease(self, environ, lease_id):
        self._store.revoke_lease(lease_id)
        return Response(204, b"")

    def _control(self, environ, path):
        if path == "/control/counts":
            return json_response(self._fault_controller.counts())
        if path == "/control/faults":
            self._fault_controller.set(decode_json(read_body(environ), StoreFaults))
            return Response(204, b"")
        if path == "/control/expire-leases":
            self._store.expire_all_leases()
            return Response(204, b"")
        return Response(404, b"unknown path\n")


def _route_of(method, path):
    for prefix in (KEYS_PATH, LEASES_PATH + "/"):
        if path.startswith(prefix):
            return (method, prefix)
    return (method, path)


def _expected_revision(environ):
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return ABSENT
    return int(environ.get("HTTP_IF_MATCH", '"-1"').strip('"'))


def _entry_response(entry):
    return Response(200, entry.value, (("ETag", f'"{entry.revision}"'),))
