"""Store port over the stand-in's HTTP protocol."""

from dataclasses import replace
from urllib.parse import quote, urlencode

from rattanworks.adapters.store_over_http import (
    StoreOverHttp,
    decode_answer,
    decode_write_answer,
)
from rattanworks.exceptions import (
    CallOutcomeUnknownError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from rattanworks.ports.base import ABSENT, StoreEntry, TransactionConflict, WatchEvent
from rattanworks.utils.codec import JSON_HEADERS, encode_json

WATCH_GRACE_SECONDS = 2.0

SUCCESS_STATUSES = frozenset({200, 204})
ABSENT_STATUS = 404
LEASE_GONE_STATUS = 410
CONFLICT_STATUS = 412
UNKNOWN_OUTCOME_STATUSES = frozenset({500, 502, 504})
EXPECTED_STATUSES = SUCCESS_STATUSES | {ABSENT_STATUS, CONFLICT_STATUS}


class HttpStore(StoreOverHttp):
    """Client of the store at ``address``, with all keys under ``prefix``."""

    def __init__(self, address, prefix, timeout):
        super().__init__(address, timeout)
        self._prefix = f"{prefix}/"

    def get(self, key):
        """Return the StoreEntry at ``key`` or None."""
        answer = self._read(self._key_path(key))
        if answer.status == ABSENT_STATUS:
            return None
        return StoreEntry(key, answer.body, _revision_of(answer))

    def list(self, prefix):
        """Return the entries whose keys start with ``prefix``."""
        query = urlencode({"prefix": self._prefix + prefix})
        return self._without_prefix(
            decode_answer(self._read(f"/v1/list?{query}"), WatchEvent)
        )

    def put(self, key, value, expected_revision, lease_id=""):
        """Write by compare-and-swap and return the new StoreEntry."""
        headers = [_precondition(expected_revision)]
        if lease_id:
            headers.append(("Lease-Id", lease_id))
        answer = self._write("PUT", self._key_path(key), headers, value)
        self._check_conflict(answer, key, expected_revision)
        try:
            return StoreEntry(key, value, _revision_of(answer))
        except StoreUnavailableError as error:
            raise StoreAnswerLostError(str(error)) from error

    def delete(self, key, expected_revision):
        """Delete by compare-and-swap."""
        headers = [_precondition(expected_revision)]
        answer = self._write("DELETE", self._key_path(key), headers)
        self._check_conflict(answer, key, expected_revision)

    def write_all(self, writes):
        """Make all the writes in one transaction or none."""
        prefixed = [replace(write, key=self._prefix + write.key) for write in writes]
        answer = self._write(
            "POST", "/v1/transactions", JSON_HEADERS, encode_json(prefixed)
        )
        if answer.status == CONFLICT_STATUS:
            conflict = decode_answer(answer, TransactionConflict)
            write = writes[conflict.position]
            raise StoreConflictError(
                write.key, write.expected_revision, conflict.actual_revision
            )
        return self._without_prefix(decode_write_answer(answer, WatchEvent)).entries

    def watch(self, prefix, after_revision, timeout):
        """Wait up to ``timeout`` seconds for changes."""
        query = urlencode(
            {
                "prefix": self._prefix + prefix,
                "after": after_revision,
                "timeout": timeout,
            }
        )
        answer = self._read(f"/v1/watch?{query}", timeout + WATCH_GRACE_SECONDS)
        return self._without_prefix(decode_answer(answer, WatchEvent))

    def grant_lease(self, ttl):
        """Return the id of a new lease of ``ttl`` seconds."""
        return self._write("POST", "/v1/leases", body=f"{ttl}".encode()).body.decode()

    def renew_lease(self, lease_id):
        """Renew a lease."""
        self._write("PUT", f"/v1/leases/{lease_id}")

    def revoke_lease(self, lease_id):
        """End a lease and delete the records bound to it."""
        self._write("DELETE", f"/v1/leases/{lease_id}")

    def _key_path(self, key):
        return f"/v1/keys/{quote(self._prefix + key)}"

    def _without_prefix(self, event):
        prefix_length = len(self._prefix)
        entries = tuple(
            StoreEntry(entry.key[prefix_length:], entry.value, entry.revision)
            for entry in event.entries
        )
        return WatchEvent(entries, event.revision)

    def _write(self, method, target, headers=(), body=b""):
        answer = super()._write(method, target, headers, body)
        if answer.status == ABSENT_STATUS:
            raise StoreUnavailableError("the store knows no such path; check its URL")
        return answer

    def _check_status(self, answer, method):
        if answer.status == LEASE_GONE_STATUS:
            raise LeaseLostError("the lease has expired; acquire it again")
        if answer.status in UNKNOWN_OUTCOME_STATUSES and method != "GET":
            raise CallOutcomeUnknownError(f"the store answered {answer.status}")
        if answer.status not in EXPECTED_STATUSES:
            raise StoreUnavailableError(
                f"the store answered {answer.status}; try again later"
            )

    def _check_conflict(self, answer, key, expected):
        if answer.status == CONFLICT_STATUS:
            raise StoreConflictError(key, expected, _revision_of(answer))


def _precondition(expected_revision):
    if expected_revision == ABSENT:
        return ("If-None-Match", "*")
    return ("If-Match", f'"{expected_revision}"')


def _revision_of(answer):
    text = answer.header("etag").strip('"')
    if not text.isdecimal():
        raise StoreUnavailableError(
            f"the store's answer has no usable revision ({text!r}); try again"
        )
    return int(text)
