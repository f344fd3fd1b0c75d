"""Reading of accepted versions from the store."""

from dataclasses import dataclass

from rattanworks.distribution.content import decode_manifest, join_lists, verify_blob
from rattanworks.distribution.keys import HEAD, blob_key
from rattanworks.exceptions import (
    ContentCollectedError,
    StoreRecordError,
    UnknownVersionError,
)
from rattanworks.model.lists import OperatorLists
from rattanworks.model.version import NO_HEAD, Head, Manifest
from rattanworks.ports.base import ABSENT
from rattanworks.utils.codec import DecodeError, decode_json

MAX_CACHED_BLOBS = 512
EMPTY_LISTS = OperatorLists.of((), ())


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A version in the store; ``revision`` is the revision of the head record.

    ``manifest`` is None for version 0, which stands for empty lists.
    """

    head: Head
    revision: int
    manifest: Manifest | None


def decode_head(content):
    """Decode the head record; raise StoreRecordError."""
    try:
        return decode_json(content, Head)
    except DecodeError as error:
        raise StoreRecordError(
            f"the head record cannot be read ({error}); check which tool wrote "
            f"{HEAD} and restore its value"
        ) from error


class Archive:
    """Reads the head record, the current version and its ancestors.

    Blobs are immutable, so up to MAX_CACHED_BLOBS of them are cached.
    """

    def __init__(self, store):
        self._store = store
        self._content_by_hash = {}

    def current(self):
        """Return the current AcceptedVersion, which is version 0 before the first."""
        entry = self._store.get(HEAD)
        if entry is None:
            return AcceptedVersion(NO_HEAD, ABSENT, None)
        head = decode_head(entry.value)
        return AcceptedVersion(head, entry.revision, self.manifest(head.manifest_hash))

    def version(self, number):
        """Return an AcceptedVersion by its number; raise UnknownVersionError.

        Its revision is ABSENT unless it is the current version.
        """
        current = self.current()
        if number == current.head.version:
            return current
        if number == NO_HEAD.version:
            return AcceptedVersion(NO_HEAD, ABSENT, None)
        child = next(
            (
                manifest
                for manifest in self.chain(current)
                if manifest.version == number + 1
            ),
            None,
        )
        if child is None:
            raise UnknownVersionError(
                f"there is no version {number}, the current one is "
                f"{current.head.version}; see `rattanworks history`"
            )
        head = Head(number, child.parent_hash)
        return AcceptedVersion(head, ABSENT, self.parent(child))

    def chain(self, newest=None):
        """Yield the manifests from ``newest`` (default: the current) to the first."""
        manifest = (newest or self.current()).manifest
        while manifest is not None:
            yield manifest
            manifest = self.parent(manifest)

    def contains(self, head):
        """Return whether a head is the current one or one of its ancestors."""
        current = self.current()
        if current.head == head:
            return True
        for manifest in self.chain(current):
            if manifest.version <= head.version + 1:
                return manifest.parent_hash == head.manifest_hash
        return False

    def parent(self, manifest):
        """Return the parent of a manifest, or None for the first version."""
        if not manifest.parent_hash:
            return None
        return self.manifest(manifest.parent_hash)

    def manifest(self, manifest_hash):
        """Return a manifest by its hash."""
        return decode_manifest(self.blob(manifest_hash), manifest_hash)

    def blob(self, wanted_hash):
        """Return a blob's content; raise ContentCollectedError if it was deleted."""
        content = self._content_by_hash.get(wanted_hash)
        if content is not None:
            return content
        entry = self._store.get(blob_key(wanted_hash))
        if entry is None:
            raise ContentCollectedError(
                f"blob {wanted_hash[:12]} is not in the store: the content of its "
                "version was collected; name a later version"
            )
        verify_blob(entry.value, wanted_hash)
        if len(self._content_by_hash) >= MAX_CACHED_BLOBS:
            self._content_by_hash.clear()
        self._content_by_hash[wanted_hash] = entry.value
        return entry.value

    def contents(self, manifest):
        """Return all blobs of a version by hash."""
        return {
            reference.hash: self.blob(reference.hash) for reference in manifest.blobs
        }

    def lists(self, manifest):
        """Return the operators' lists of a version; None stands for version 0."""
        if manifest is None:
            return EMPTY_LISTS
        return join_lists(manifest, self.contents(manifest))
