"""Client of the platform's metadata store."""

from urllib.parse import urlencode

import msgspec

from rattanworks.adapters.store_over_http import (
    StoreOverHttp,
    decode_answer,
    decode_write_answer,
)
from rattanworks.distribution.keys import (
    BLOBS_PREFIX,
    HEAD,
)
from rattanworks.exceptions import (
    CallOutcomeUnknownError,
    HistoryLostError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreRestoredError,
    StoreUnavailableError,
)
from rattanworks.model.endpoint import Counter
from rattanworks.platform.era import EraTracker
from rattanworks.platform.names import render_duration
from rattanworks.platform.records import RecordTranslator
from rattanworks.ports.base import (
    ABSENT,
    StoreEntry,
    WatchEvent,
    era_of,
    number_of,
    qualified_revision,
)
from rattanworks.utils.codec import (
    JSON_HEADERS,
    DecodeError,
    decode_json,
    encode_json,
)
from rattanworks.utils.logging import log_event

# The answer to a watch may take this much longer than the watch itself.
WATCH_GRACE_SECONDS = 1.0
MAX_WATCH_SECONDS = 30.0
MAX_PAGES = 1000
MAX_SHOWN_BYTES = 80

NO_LEASE = 0
# Between the era and the number of a lease: the store gives out numbers again.
LEASE_SEPARATOR = "."

DONE_STATUS = 200
NOT_FOUND_STATUS = 404
HISTORY_LOST_STATUS = 410
CONFLICT_STATUS = 412
# With these the store states that it did nothing.
REFUSED_STATUSES = frozenset({400, 403, 413, 429, 503})


class _Item(msgspec.Struct, frozen=True):
    key: str
    value: bytes = b""
    revision: Counter = 0
    is_deleted: bool = msgspec.field(name="tombstone", default=False)


class _Page(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    has_more: bool = msgspec.field(name="morePages")
    store_revision: Counter = msgspec.field(name="currentRev")


class _Events(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...] = msgspec.field(name="events")
    store_revision: Counter = msgspec.field(name="currentRev")


class _Written(msgspec.Struct, frozen=True):
    revision: Counter


class _Conflict(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...] = ()


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class PlatformStore(StoreOverHttp):
    """Reads and writes the platform's store; the product's keys lie under ``prefix``.

    The operator's records appear under the product's keys and in the product's form,
    see RecordTranslator.
    """

    headers = JSON_HEADERS

    def __init__(self, address, prefix, timeout, min_lease_seconds):
        super().__init__(address, timeout)
        self._translator = RecordTranslator(f"{prefix}/")
        self._min_lease_seconds = min_lease_seconds
        self._eras = EraTracker()

    @property
    def era(self):
        """Return the latest era that an answer of the store has shown."""
        return self._eras.latest

    def add_restore_listener(self, listener):
        """Call ``listener`` when an answer shows a later era than the ones before."""
        self._eras.add_listener(listener)

    def remove_restore_listener(self, listener):
        """Call ``listener`` no more."""
        self._eras.remove_listener(listener)

    def get(self, key):
        """Return the StoreEntry at ``key`` or None."""
        if key.startswith(BLOBS_PREFIX):
            return self._blob(key)
        query = urlencode({"key": self._translator.wire_key(key)})
        answer = self._read(f"/rattanworks/kv-key?{query}")
        if answer.status == NOT_FOUND_STATUS:
            return None
        item = decode_answer(answer, _Item)
        return StoreEntry(
            key,
            self._translator.product_value(key, item.value),
            qualified_revision(self._eras.era_of(answer), item.revision),
        )

    def list(self, prefix):
        """Return the entries whose keys start with ``prefix``."""
        items, revisions = [], []
        for wire_prefix in self._translator.wire_prefixes(prefix):
            found, revision = self._read_range(wire_prefix)
            items += found
            revisions.append(revision)
        # The lowest revision: a watch from there reports again what changed between
        # the reads, so that no change is missed.
        revision = min(revisions)
        self._require_one_era(revisions)
        return WatchEvent(self._entries(items, prefix, era_of(revision)), revision)

    def _read_range(self, wire_prefix):
        items, after, revisions = [], "", []
        for _ in range(MAX_PAGES):
            query = {"prefix": wire_prefix, **({"after": after} if after else {})}
            answer = self._read(f"/rattanworks/kv-range?{urlencode(query)}")
            page = decode_answer(answer, _Page)
            readable = _readable_items(page.items)
            items += readable
            era = self._eras.era_of(answer)
            revisions.append(qualified_revision(era, page.store_revision))
            if not page.has_more or not page.items:
                self._require_one_era(revisions)
                return items, revisions[0]
            if not readable:
                raise StoreUnavailableError(
                    f"no record of a page under {wire_prefix} can be read"
                )
            after = readable[-1].key
        raise StoreUnavailableError(
            f"the records under {wire_prefix} have too many pages"
        )

    def _require_one_era(self, revisions):
        if len({era_of(revision) for revision in revisions}) > 1:
            raise StoreUnavailableError(
                "the store returned from an older copy between the pages of a list; "
                "read it again"
            )

    def write_all(self, writes):
        """Make all the writes in one transaction or none."""
        _require_expected_in(writes, self.era)
        answer = self._write_json("/rattanworks/kv-txn", self._transaction(writes))
        if answer.status == CONFLICT_STATUS:
            raise self._conflict_error(writes, answer)
        if answer.status == NOT_FOUND_STATUS:
            raise LeaseLostError("the lease has expired; acquire it again")
        era = self._eras.era_of(answer)
        self._require_written_in(writes, era)
        number = decode_write_answer(answer, _Written).revision
        revision = qualified_revision(era, number)
        return tuple(StoreEntry(write.key, write.value, revision) for write in writes)

    def _require_written_in(self, writes, era):
        # The store returned from its copy while the request was on its way.
        try:
            _require_expected_in(writes, era)
            for write in writes:
                if write.lease_id:
                    self._require_lease_of(write.lease_id, era)
        except (LeaseLostError, StoreRestoredError) as error:
            raise StoreAnswerLostError(
                f"a write may have taken effect: {error}; read the record back"
            ) from error

    def _transaction(self, writes):
        wire_keys = [self._translator.wire_key(write.key) for write in writes]
        keyed_writes = list(zip(wire_keys, writes, strict=True))
        return {
            "expect": [
                {"key": wire_key, "revision": number_of(write.expected_revision)}
                for wire_key, write in keyed_writes
            ],
            "writes": [
                {
                    "key": wire_key,
                    "value": self._translator.wire_value(write.key, write.value),
                    "lease": self._number_of_lease(write.lease_id)
                    if write.lease_id
                    else NO_LEASE,
                }
                for wire_key, write in keyed_writes
                if write.value is not None
            ],
            "remove": [
                wire_key for wire_key, write in keyed_writes if write.value is None
            ],
        }

    def _conflict_error(self, writes, answer):
        era = self._eras.era_of(answer)
        revisions_by_key = {
            item.key: qualified_revision(era, item.revision)
            for item in _readable_items(decode_answer(answer, _Conflict).items)
        }
        for write in writes:
            wire_key = self._translator.wire_key(write.key)
            actual = revisions_by_key.get(wire_key, ABSENT)
            if actual != write.expected_revision:
                return StoreConflictError(write.key, write.expected_revision, actual)
        # No revision differs any more: the records changed back after the conflict.
        # The caller decides what to do when it has read them again.
        first = writes[0]
        return StoreConflictError(
            first.key, first.expected_revision, first.expected_revision
        )

    def watch(self, prefix, after_revision, timeout):
        """Wait up to ``timeout`` seconds for changes."""
        self._require_watchable(after_revision, self.era)
        seconds = min(timeout, MAX_WATCH_SECONDS)
        query = urlencode(
            {
                "prefix": _common_prefix(self._translator.wire_prefixes(prefix)),
                "after": number_of(after_revision),
                "waitMs": round(seconds * 1000),
            }
        )
        answer = self._read(
            f"/rattanworks/kv-watch?{query}", seconds + WATCH_GRACE_SECONDS
        )
        era = self._eras.era_of(answer)
        self._require_watchable(after_revision, era)
        events = decode_answer(answer, _Events)
        return WatchEvent(
            self._entries(_readable_items(events.items), prefix, era),
            qualified_revision(era, events.store_revision),
        )

    def _require_watchable(self, revision, era):
        # The store may have passed the revision again since it returned from an older
        # copy, with other changes.
        if era_of(revision) != era:
            raise HistoryLostError(
                "the store returned from an older copy after this revision; "
                "read all again"
            )

    def grant_lease(self, ttl):
        """Return the id of a new lease of ``ttl`` seconds, or the shortest allowed."""
        ttl = max(ttl, self._min_lease_seconds)
        body = {"ttl_time": render_duration(ttl)}
        answer = self._write_json("/rattanworks/kv-lease", body)
        number = decode_answer(answer, _Lease).lease
        return f"{self._eras.era_of(answer)}{LEASE_SEPARATOR}{number}"

    def renew_lease(self, lease_id):
        """Renew a lease."""
        number = self._number_of_lease(lease_id)
        answer = self._write("POST", f"/rattanworks/kv-keep/{number}")
        if answer.status == NOT_FOUND_STATUS:
            raise LeaseLostError("the lease has expired; acquire it again")
        self._require_lease_of(lease_id, self._eras.era_of(answer))

    def revoke_lease(self, lease_id):
        """End a lease and delete the records bound to it."""
        try:
            number = self._number_of_lease(lease_id)
        except LeaseLostError:
            # It has ended already, and its number may be that of another lease.
            return
        self._write("DELETE", f"/rattanworks/kv-lease-end/{number}")

    def _number_of_lease(self, lease_id):
        self._require_lease_of(lease_id, self.era)
        return int(lease_id.partition(LEASE_SEPARATOR)[2])

    def _require_lease_of(self, lease_id, era):
        if lease_id.partition(LEASE_SEPARATOR)[0] != str(era):
            raise LeaseLostError(
                "the store returned from an older copy after the lease was granted; "
                "acquire it again"
            )

    def get_kept(self, key):
        """Return the entry of a blob of one of the latest configurations, or None."""
        if not key.startswith(BLOBS_PREFIX):
            return None
        content = self._translator.kept_blob(key.removeprefix(BLOBS_PREFIX))
        return None if content is None else StoreEntry(key, content, ABSENT)

    def _blob(self, key):
        entry = self.get_kept(key)
        if entry is None:
            # The node may have this version from peers only; reading the head from the
            # store translates the configuration and keeps its blobs.
            self.get(HEAD)
            entry = self.get_kept(key)
        return entry

    def _entries(self, items, prefix, era):
        entries = []
        for item in items:
            key = self._translator.product_key(item.key)
            if key is None or not key.startswith(prefix):
                continue
            value = (
                None
                if item.is_deleted
                else self._translator.product_value_or_empty(key, item.value)
            )
            revision = qualified_revision(era, item.revision)
            entries.append(StoreEntry(key, value, revision))
        return tuple(entries)

    def _write_json(self, target, content):
        return self._write("POST", target, body=encode_json(content))

    def _check_status(self, answer, method):
        if not self._eras.observe(answer):
            raise CallOutcomeUnknownError(
                "the answer is of a time before the store returned from an older copy; "
                "read again"
            )
        if answer.status == HISTORY_LOST_STATUS:
            raise HistoryLostError("the store dropped these changes; read all again")
        if answer.status in REFUSED_STATUSES:
            raise StoreUnavailableError(
                f"the store refused with {answer.status}; try again later"
            )
        if answer.status not in (DONE_STATUS, NOT_FOUND_STATUS, CONFLICT_STATUS):
            raise CallOutcomeUnknownError(f"the store answered {answer.status}")


def _require_expected_in(writes, era):
    # In a later era a revision may have been given out again, to another record.
    for write in writes:
        expected = write.expected_revision
        if expected != ABSENT and era_of(expected) != era:
            raise StoreRestoredError(write.key, expected)


def _readable_items(contents):
    """Decode the items of an answer; one that cannot be read hides no other."""
    items = []
    for content in contents:
        try:
            items.append(decode_json(content, _Item))
        except DecodeError as error:
            shown = bytes(content)[:MAX_SHOWN_BYTES].decode("ascii", "replace")
            log_event("record-unreadable", key=shown, reason=str(error))
    return items


def _common_prefix(prefixes):
    # Several prefixes share one watch of all keys, which costs less than a watch for
    # each; the keys of others are filtered out of its events.
    return prefixes[0] if len(prefixes) == 1 else ""
