"""Sources that a version's blobs can be fetched from, and their retry times."""

import math
from dataclasses import dataclass

from rattanworks.distribution.archive import decode_head
from rattanworks.distribution.content import MAX_BLOB_BYTES
from rattanworks.distribution.keys import HEAD, blob_key
from rattanworks.exceptions import BlobUnusableError, StoreUnavailableError
from rattanworks.model.call import return_true
from rattanworks.model.control import FetchRequest
from rattanworks.model.version import NO_HEAD, Head
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.codec import DecodeError
from rattanworks.utils.compression import decompress

PEER_TIMEOUT_SECONDS = 1.5
RETRY_BASE_SECONDS = 0.2
RETRY_CAP_SECONDS = 2.0
MAX_SOURCES = 8
# When a source has not answered for this long, another is asked beside it.
SLOW_FETCH_SECONDS = 0.3
MAX_FETCHES = 2
# Digits by which a node names a hash that it knows: 64 bits are enough to tell the
# few hundred blobs of a version apart.
KNOWN_HASH_DIGITS = 16


class PeerSource:
    """Fetches blobs from a peer."""

    def __init__(self, peers, address):
        self._peers = peers
        self.name = address

    def fetch_newest(self, head, known_hashes):
        """Return the head of the newest version that the peer holds, and blobs of it.

        The blobs, by hash, are those whose hashes are not known. The head is NO_HEAD
        if the peer can only answer for ``head``; the blobs are then some of that
        version's.

        Load pattern: versions that come faster than this node can fetch one. A peer
        has the content of its newest version only, so that a version asked for by its
        hash may be gone when the request arrives, and the next one as well.
        """
        prefixes = tuple(hash[:KNOWN_HASH_DIGITS] for hash in known_hashes)
        reply = self._request(FetchRequest((head.manifest_hash,), True, prefixes))
        return reply.head, self._decompress(reply)

    def fetch(self, hashes, is_wanted=return_true):
        """Return the requested blobs that the peer has, by hash.

        There is no wait in which ``is_wanted`` would be asked, as in StoreSource.
        """
        return self._decompress(self._request(FetchRequest(tuple(hashes))))

    def _request(self, message):
        return self._peers.request(self.name, message, PEER_TIMEOUT_SECONDS)

    def _decompress(self, reply):
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
    """Fetches blobs from the store; ``budget`` limits the rate of reads.

    A fetch of more reads than the budget holds waits for it: given up and started
    again, it would spend the budget once more on the blobs that it had read already.
    The blobs of a fetch that failed are kept for the next one. ``pause(seconds)`` waits
    and returns True once the node stops.
    """

    name = "store"

    def __init__(self, store, budget, pause):
        self._store = store
        self._budget = budget
        self._pause = pause
        self._unused_by_hash = {}

    def fetch_newest(self, head, known_hashes):
        """Return ``head`` and its manifest by hash, or the store's head if it has none.

        A store may keep only the newest version. Raise StoreUnavailableError as
        ``fetch`` does.
        """
        entry = self._blob(head.manifest_hash)
        if entry is not None:
            return head, {head.manifest_hash: entry.value}
        entry = self._get(HEAD)
        return (NO_HEAD if entry is None else decode_head(entry.value)), {}

    def fetch(self, hashes, is_wanted=return_true):
        """Return the requested blobs that the store has, by hash.

        Raise StoreUnavailableError when the store does not answer, or the fetch waits
        for the budget and the node stops or ``is_wanted()`` becomes false.
        """
        unused = self._unused_by_hash
        contents = {hash: unused[hash] for hash in hashes if hash in unused}
        self._unused_by_hash = contents
        for hash in hashes:
            if hash not in contents:
                entry = self._blob(hash, is_wanted)
                if entry is not None:
                    contents[hash] = entry.value
        self._unused_by_hash = {}
        return contents

    def _blob(self, hash, is_wanted=return_true):
        key = blob_key(hash)
        # A blob that the client holds costs no call, and so nothing of the budget.
        return self._store.get_kept(key) or self._get(key, is_wanted)

    def _get(self, key, is_wanted=return_true):
        while not self._budget.take():
            is_stopped = self._pause(self._budget.seconds_until_token())
            if is_stopped or not is_wanted():
                raise StoreUnavailableError(
                    "the version is no longer needed here, or the node stops; "
                    "nothing needs to be done"
                )
        return self._store.get(key)


@dataclass(slots=True)
class _Candidate:
    source: object
    head: Head
    due: float
    backoff: FullJitterBackoff


class SourceQueue:
    """Sources that announced versions; one that failed is due after a jittered delay.

    A newer announcement of a source replaces its earlier one and never makes it due
    later. Times are in seconds of a monotonic clock.
    """

    def __init__(self):
        self._candidates_by_name = {}

    def __contains__(self, source):
        return source.name in self._candidates_by_name

    def add(self, source, head, due):
        """Add a source of ``head`` with the time at which it is due."""
        known = self._candidates_by_name.get(source.name)
        if known is not None:
            if head.version > known.head.version:
                known.head = head
                known.due = min(known.due, due)
            return
        if len(self._candidates_by_name) >= MAX_SOURCES:
            self._drop_oldest()
        backoff = FullJitterBackoff(RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        self._candidates_by_name[source.name] = _Candidate(source, head, due, backoff)

    def _drop_oldest(self):
        """Drop the source of the oldest version, of several the one due last."""
        by_name = self._candidates_by_name
        del by_name[
            min(by_name, key=lambda n: (by_name[n].head.version, -by_name[n].due))
        ]

    def keep_newer_than(self, version):
        """Remove the sources of versions up to ``version``."""
        self._candidates_by_name = {
            name: candidate
            for name, candidate in self._candidates_by_name.items()
            if candidate.head.version > version
        }

    def next_due(self, busy=()):
        """Return the time at which the next source is due, or None if there is none.

        Sources whose names are in ``busy`` are left out.
        """
        return min(
            (candidate.due for candidate in self._candidates_without(busy)),
            default=None,
        )

    def _candidates_without(self, busy):
        return [
            candidate
            for name, candidate in self._candidates_by_name.items()
            if name not in busy
        ]

    def find_due(self, now, busy=()):
        """Return the head and the source that has been due longest, or None.

        Sources whose names are in ``busy`` are left out.
        """
        candidates = self._candidates_without(busy)
        due = [candidate for candidate in candidates if candidate.due <= now]
        if not due:
            return None
        first = min(due, key=lambda candidate: candidate.due)
        return first.head, first.source

    def record_failure(self, source, now):
        """Make the source due again after a jittered delay."""
        candidate = self._candidates_by_name.get(source.name)
        if candidate is not None:
            candidate.due = now + candidate.backoff.next_delay()


class RunningFetches:
    """The sources that are being asked, and when another may be asked beside them.

    Load pattern: a host dies or is suspended right after it has announced a version.
    Nodes that learned of the version from it would wait for the whole timeout, and
    again at each further hop, before they ask another source. Times are in seconds of a
    monotonic clock.
    """

    def __init__(self):
        self._started_at_by_name = {}

    @property
    def names(self):
        """Return the names of the sources that are being asked."""
        return self._started_at_by_name.keys()

    @property
    def next_start(self):
        """Return the time from which another source may be asked."""
        started_at_by_name = self._started_at_by_name
        if not started_at_by_name:
            return -math.inf
        if len(started_at_by_name) >= MAX_FETCHES:
            return math.inf
        return max(started_at_by_name.values()) + SLOW_FETCH_SECONDS

    def begin(self, source, now):
        """Record that a source is asked."""
        self._started_at_by_name[source.name] = now

    def end(self, source):
        """Record that a source has answered or failed."""
        self._started_at_by_name.pop(source.name, None)
