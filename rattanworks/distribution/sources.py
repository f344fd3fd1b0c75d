"""Sources that a version's blobs can be fetched from, and their retry times."""

from dataclasses import dataclass

from rattanworks.distribution.content import MAX_BLOB_BYTES
from rattanworks.distribution.keys import blob_key
from rattanworks.exceptions import BlobUnusableError, StoreUnavailableError
from rattanworks.model.control import FetchRequest
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.codec import DecodeError
from rattanworks.utils.compression import decompress

PEER_TIMEOUT_SECONDS = 1.5
RETRY_BASE_SECONDS = 0.2
RETRY_CAP_SECONDS = 2.0
MAX_SOURCES = 8


class PeerSource:
    """Fetches blobs from a peer."""

    def __init__(self, peers, address):
        self._peers = peers
        self.name = address

    def fetch(self, hashes):
        """Return the requested blobs that the peer has, by hash."""
        reply = self._peers.request(
            self.name, FetchRequest(tuple(hashes)), PEER_TIMEOUT_SECONDS
        )
        try:
            return {
                hash: decompress(content, MAX_BLOB_BYTES)
                for hash, content in reply.compressed_by_hash.items()
            }
        except DecodeError as error:
            raise BlobUnusableError(
                f"{self.name}: {error}; ask another peer"
            ) from error


class StoreSource:
    """Fetches blobs from the store; ``budget`` limits the rate of reads."""

    name = "store"

    def __init__(self, store, budget):
        self._store = store
        self._budget = budget

    def fetch(self, hashes):
        """Return the requested blobs that the store has, by hash.

        Raise StoreUnavailableError when the budget is spent.
        """
        entries = {hash: self._get(hash) for hash in hashes}
        return {hash: entry.value for hash, entry in entries.items() if entry}

    def _get(self, hash):
        if not self._budget.take():
            raise StoreUnavailableError(
                "this node's budget of store reads is spent; the fetch is retried"
            )
        return self._store.get(blob_key(hash))


@dataclass(slots=True)
class _Candidate:
    source: object
    due: float
    backoff: FullJitterBackoff


class SourceQueue:
    """The sources of one head; one that failed is due again after a jittered delay.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self):
        self._candidates_by_name = {}

    def __bool__(self):
        return bool(self._candidates_by_name)

    def add(self, source, due):
        """Add a source with the time it is due; a known one keeps its own."""
        if source.name in self._candidates_by_name:
            return
        if len(self._candidates_by_name) >= MAX_SOURCES:
            self._drop_latest_due()
        backoff = FullJitterBackoff(RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        self._candidates_by_name[source.name] = _Candidate(source, due, backoff)

    def _drop_latest_due(self):
        by_name = self._candidates_by_name
        del by_name[max(by_name, key=lambda name: by_name[name].due)]

    def clear(self):
        """Remove every source."""
        self._candidates_by_name.clear()

    def next_due(self):
        """Return the time at which the next source is due, or None if there is none."""
        return min(
            (candidate.due for candidate in self._candidates_by_name.values()),
            default=None,
        )

    def find_due(self, now):
        """Return the source that has been due longest, or None."""
        candidates = list(self._candidates_by_name.values())
        due = [candidate for candidate in candidates if candidate.due <= now]
        if not due:
            return None
        return min(due, key=lambda candidate: candidate.due).source

    def record_failure(self, source, now):
        """Make the source due again after a jittered delay."""
        candidate = self._candidates_by_name.get(source.name)
        if candidate is not None:
            candidate.due = now + candidate.backoff.next_delay()
