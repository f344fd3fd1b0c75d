"""Garbage collection: deletes the blobs of old versions.

It is safe beside operators that apply versions meanwhile. The manifests are kept, so
that the audit trail stays complete.
"""

from dataclasses import dataclass

from rattanworks.distribution.archive import Archive
from rattanworks.distribution.keys import HEAD, blob_key
from rattanworks.exceptions import (
    ConflictError,
    StoreAnswerLostError,
    StoreConflictError,
)
from rattanworks.utils.codec import encode_json


@dataclass(frozen=True, slots=True)
class Collection:
    """The result of a collection; ``kept_from`` is the oldest version kept whole."""

    kept_from: int
    deleted_blobs: int


class GarbageCollector(Archive):
    """Deletes the blobs that none of the newest versions references.

    A Publisher may be about to accept a version that references such a blob. The
    head record is therefore rewritten with the same value after the blobs'
    revisions were read. An attempt that read the head before then fails to swap it
    and starts over; one that read it afterwards rewrites such a blob, so that the
    deletion by compare-and-swap fails.
    """

    def collect(self, keep):
        """Keep the newest ``keep`` versions whole and return the Collection.

        Raise ConflictError, with nothing deleted, when the head record was written
        meanwhile.
        """
        current = self.current()
        newest = current.head.version
        kept_from = max(1, newest - keep + 1)
        unneeded = self._find_unneeded(current, kept_from)
        if not unneeded:
            return Collection(kept_from, 0)
        self._rewrite_head(current)
        deleted = sum(
            self._delete(key, revision) for key, revision in reversed(unneeded)
        )
        return Collection(kept_from, deleted)

    def _find_unneeded(self, current, kept_from):
        # Returns (key, revision) pairs, newest version first. The caller deletes the
        # oldest first, so that even after an interrupted collection the versions before
        # one without blobs have none either: the search ends there.
        kept, unneeded, seen = set(), [], set()
        for manifest in self.chain(current):
            hashes = {reference.hash for reference in manifest.blobs}
            if manifest.version >= kept_from:
                kept |= hashes
                continue
            candidates = sorted(hashes - kept - seen)
            seen |= hashes
            entries = [
                entry
                for hash in candidates
                if (entry := self._store.get(blob_key(hash)))
            ]
            if candidates and not entries:
                break
            unneeded += [(entry.key, entry.revision) for entry in entries]
        return unneeded

    def _rewrite_head(self, current):
        try:
            self._store.put(HEAD, encode_json(current.head), current.revision)
        except StoreConflictError:
            raise ConflictError(
                "a version was accepted meanwhile; nothing was deleted, try again"
            ) from None

    def _delete(self, key, revision):
        try:
            self._store.delete(key, revision)
        except (StoreConflictError, StoreAnswerLostError):
            # An operator rewrote the blob because it is needed, or the answer was
            # lost: then the next collection deletes the blob if it is still there.
            return False
        return True
