"""Stand-ins that speak the platform's protocol: its store and a backend server."""

import base64
import itertools
import json
import threading
from dataclasses import replace
from urllib.parse import parse_qs

from rattanworks.ports.base import ABSENT, Write
from rattanworks.standins.store import (
    MemoryStore,
    RevisionConflictError,
    UnknownLeaseError,
)
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.wsgi import (
    Response,
    headers_of,
    json_response,
    path_of,
    read_body,
    respond,
)

HOST = "127.0.0.1"
ANY_PORT = 0
THREADS = 16
MAX_BODY_BYTES = 4 * 1024 * 1024
ITEMS_PER_PAGE = 3
MILLISECONDS_PER_SECOND = 1000


class StandInServer:
    """Serves a WSGI application on a free port."""

    def __init__(self):
        self._server = HttpServer(
            self, HOST, ANY_PORT, THREADS, MAX_BODY_BYTES, "standin"
        )
        self.address = self._server.address
        self._server.start()

    def close(self):
        self._server.stop()


class StandInPlatformStore(StandInServer):
    """The platform's store in memory.

    ``next_statuses`` are the answers to the next calls, which are not carried out.
    With ``loses_answers`` writes are carried out but answered with 500. Watches from a
    revision below ``kept_after``, or above the present one, are answered with 410.
    ``restore`` returns to an earlier ``copy``; ``hold_answer`` is called with the path
    of each call after it was carried out and before it is answered.
    """

    def __init__(self):
        self.memory = MemoryStore()
        self.next_statuses = []
        self.loses_answers = False
        self.kept_after = 0
        self.calls = []
        self.era = 1
        self.hold_answer = lambda path: None
        self._lease_numbers = itertools.count(1)
        self._lease_ids_by_number = {}
        self._handlers_by_path = {
            "/rattanworks/kv-key": self._get_key,
            "/rattanworks/kv-range": self._read_range,
            "/rattanworks/kv-watch": self._watch,
            "/rattanworks/kv-txn": self._transaction,
            "/rattanworks/kv-lease": self._grant_lease,
        }
        super().__init__()

    def copy(self):
        """Return a copy of all records but those with a lease, for ``restore``."""
        return self.memory.copy()

    def restore(self, copy):
        """Lose all since a copy: revisions and lease numbers are given out again."""
        self.memory.restore_copy(copy)
        self._lease_numbers = itertools.count(1)
        self._lease_ids_by_number = {}
        self.era += 1

    def write_as_operator(self, key, value):
        """Write a record as the operator does; return its revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        entry = self.memory.get(key)
        revision = entry.revision if entry else ABSENT
        return self.memory.put(key, content, revision).revision

    def value_of(self, key):
        """Return the decoded JSON value of a record, None when it is absent."""
        entry = self.memory.get(key)
        return None if entry is None else json.loads(entry.value)

    def __call__(self, environ, start_response):
        path = path_of(environ)
        self.calls.append((environ["REQUEST_METHOD"], path))
        response = self._answer(environ, path)
        # The era of the answer is the one in which the call was carried out.
        era = ("Store-Era", str(self.era))
        self.hold_answer(path)
        return respond(
            start_response,
            replace(response, headers=(*response.headers, era)),
        )

    def _answer(self, environ, path):
        if self.next_statuses:
            return Response(self.next_statuses.pop(0))
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        body = json.loads(read_body(environ) or b"{}")
        handler = self._handlers_by_path.get(path, self._lease_handler(path))
        response = handler(query, body)
        if self.loses_answers and environ["REQUEST_METHOD"] != "GET":
            return Response(500)
        return response

    def _get_key(self, query, body):
        entry = self.memory.get(query["key"])
        if entry is None:
            return Response(404)
        return json_response({**_item(entry), "currentRev": self._revision()})

    def _read_range(self, query, body):
        entries = [
            entry
            for entry in self.memory.list(query["prefix"]).entries
            if entry.key > query.get("after", "")
        ]
        return json_response(
            {
                "items": [_item(entry) for entry in entries[:ITEMS_PER_PAGE]],
                "morePages": len(entries) > ITEMS_PER_PAGE,
                "currentRev": self._revision(),
            }
        )

    def _watch(self, query, body):
        after = int(query["after"])
        if after < self.kept_after or after > self._revision():
            return Response(410)
        seconds = int(query["waitMs"]) / MILLISECONDS_PER_SECOND
        event = self.memory.watch(query.get("prefix", ""), after, seconds)
        events = [
            {"key": entry.key, "revision": entry.revision, "tombstone": True}
            if entry.value is None
            else _item(entry)
            for entry in event.entries
        ]
        return json_response({"events": events, "currentRev": event.revision})

    def _transaction(self, query, body):
        revisions_by_key = {row["key"]: row["revision"] for row in body["expect"]}
        try:
            writes = [
                Write(
                    row["key"],
                    base64.b64decode(row["value"]),
                    revisions_by_key[row["key"]],
                    self._lease_ids_by_number[row["lease"]] if row["lease"] else "",
                )
                for row in body["writes"]
            ]
            writes += [
                Write(key, None, revisions_by_key[key]) for key in body["remove"]
            ]
            entries = self.memory.write_all(writes)
        except RevisionConflictError:
            current = [self.memory.get(key) for key in revisions_by_key]
            items = [_item(entry) for entry in current if entry is not None]
            return json_response({"items": items}, 412)
        except (UnknownLeaseError, KeyError):
            return Response(404)
        return json_response({"revision": entries[-1].revision})

    def _grant_lease(self, query, body):
        number = next(self._lease_numbers)
        seconds = int(body["ttl_time"].removesuffix("ms")) / MILLISECONDS_PER_SECOND
        self._lease_ids_by_number[number] = self.memory.grant_lease(seconds)
        return json_response({"lease": number, "ttl_time": body["ttl_time"]})

    def _lease_handler(self, path):
        return lambda query, body: self._change_lease(path)

    def _change_lease(self, path):
        action, _, number = path.rpartition("/")
        lease_id = self._lease_ids_by_number.get(int(number), "")
        change = {
            "/rattanworks/kv-keep": self.memory.renew_lease,
            "/rattanworks/kv-lease-end": self.memory.revoke_lease,
        }[action]
        try:
            change(lease_id)
        except UnknownLeaseError:
            return Response(404)
        return json_response({})

    def _revision(self):
        return self.memory.list("").revision


def _item(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "createRevision": entry.revision,
        "lease": 0,
    }


class StandInPlatformBackend(StandInServer):
    """A backend server that records its requests and signs its answers.

    ``notices`` are headers by which it tells of itself in each answer.
    """

    def __init__(self, instance="i-1"):
        self.instance = instance
        self.notices = ()
        self.requests = []
        self.answer = lambda environ, body: (200, b"the server's bytes")
        self._lock = threading.Lock()
        super().__init__()

    def has_begun(self, request_id):
        """Return whether the server has begun to run a request."""
        with self._lock:
            return any(
                headers.get("X-Request-Id") == request_id
                for _, _, headers, _ in self.requests
            )

    def __call__(self, environ, start_response):
        body = read_body(environ)
        headers = dict(headers_of(environ))
        with self._lock:
            self.requests.append(
                (environ["REQUEST_METHOD"], environ["REQUEST_URI"], headers, body)
            )
        identity = (
            ("X-Request-Id", headers.get("X-Request-Id", "")),
            ("X-Instance-Id", self.instance),
        )
        if headers.get("X-Expected-Instance") != self.instance:
            return respond(start_response, Response(421, b"", identity))
        status, content = self.answer(environ, body)
        headers = (*identity, ("X-Server-Signature", "3e1b.07"), *self.notices)
        return respond(start_response, Response(status, content, headers))
