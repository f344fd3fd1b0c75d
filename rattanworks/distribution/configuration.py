"""The configuration version in force on this node: the one it applies to calls."""

import threading
from dataclasses import dataclass

from rattanworks.distribution.content import (
    decode_manifest,
    join_lists,
    lists_digest,
)
from rattanworks.exceptions import BlobUnusableError, VersionRefusedError
from rattanworks.model.control import RefusedVersion
from rattanworks.model.lists import OperatorLists
from rattanworks.model.version import NO_HEAD, Head, Manifest
from rattanworks.utils.logging import log_event

MAX_REFUSED = 16


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One complete version, replaced as a whole, so that readers need no lock."""

    head: Head
    manifest: Manifest | None
    lists: OperatorLists


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """The newest version whose blobs this node can serve to peers."""

    head: Head
    content_by_hash: dict[str, bytes]


EMPTY = Snapshot(NO_HEAD, None, OperatorLists.of((), ()))
NOTHING_HELD = HeldVersion(NO_HEAD, {})


def accept_all(manifest, lists):
    """Accept every version; join_lists still checks its consistency."""


class Configuration:
    """Holds the snapshot in force and the blobs of the newest version received.

    ``validate`` is called with a manifest and its OperatorLists; it raises
    VersionRefusedError to refuse the version.
    """

    def __init__(self, validate=accept_all):
        self._validate = validate
        self._lock = threading.Lock()
        self._listeners = []
        self._refused_by_version = {}
        self._invalid_heads = set()
        self.snapshot = EMPTY
        self.held = NOTHING_HELD

    @property
    def head(self):
        """Return the head of the version in force."""
        return self.snapshot.head

    @property
    def refused(self):
        """Return the RefusedVersions newer than the version in force."""
        return tuple(self._refused_by_version.values())

    def add_listener(self, listener):
        """Call ``listener`` after each new snapshot."""
        self._listeners.append(listener)

    def is_update(self, head):
        """Return whether a head is newer than the one in force and not invalid."""
        return head.version > self.head.version and not self.is_invalid(head)

    def is_invalid(self, head):
        """Return whether a head failed validation here, which is final."""
        return head in self._invalid_heads

    def put_in_force(self, head, content_by_hash):
        """Build a version and put it in force; return False if it is not an update.

        ``content_by_hash`` has the manifest and every blob that is not held yet.
        On an error the version in force stays. Raise BlobUnusableError when another
        source may have the right blobs, VersionRefusedError when the version itself
        is invalid.
        """
        with self._lock:
            if not self.is_update(head):
                return False
            try:
                snapshot = self._build(head, content_by_hash)
            except VersionRefusedError as error:
                self._record_refusal(head, error)
                raise
            self.snapshot = snapshot
            self._forget_refusals(head)
        log_event(
            "version-in-force", version=head.version, lists=lists_digest(snapshot.lists)
        )
        for listener in self._listeners:
            listener()
        return True

    def _build(self, head, content_by_hash):
        contents = {**self.held.content_by_hash, **content_by_hash}
        manifest = _decode_checked_manifest(head, contents)
        try:
            lists = join_lists(manifest, contents)
            self._validate(manifest, lists)
        except BlobUnusableError:
            raise
        except VersionRefusedError:
            # Held although refused: peers that accept it can fetch it from this node.
            self._hold(head, manifest, contents)
            raise
        self._hold(head, manifest, contents)
        return Snapshot(head, manifest, lists)

    def _hold(self, head, manifest, contents):
        if head.version <= self.held.head.version:
            return
        hashes = {head.manifest_hash, *(blob.hash for blob in manifest.blobs)}
        self.held = HeldVersion(head, {hash: contents[hash] for hash in hashes})

    def _record_refusal(self, head, error):
        is_final = not isinstance(error, BlobUnusableError)
        if is_final:
            self._invalid_heads.add(head)
        log_event(
            "version-refused",
            version=head.version,
            is_final=is_final,
            reason=str(error),
        )
        self._refused_by_version[head.version] = RefusedVersion(
            head.version, str(error)
        )
        while len(self._refused_by_version) > MAX_REFUSED:
            oldest = min(self._refused_by_version)
            del self._refused_by_version[oldest]

    def _forget_refusals(self, head):
        # Versions up to this head can no longer come into force.
        self._refused_by_version = {
            version: refused
            for version, refused in self._refused_by_version.items()
            if version > head.version
        }
        self._invalid_heads = {
            invalid for invalid in self._invalid_heads if invalid.version > head.version
        }


def _decode_checked_manifest(head, contents):
    content = contents.get(head.manifest_hash)
    if content is None:
        raise BlobUnusableError(
            f"version {head.version}: the manifest is missing; ask another peer"
        )
    manifest = decode_manifest(content, head.manifest_hash)
    if manifest.version != head.version:
        raise VersionRefusedError(
            f"manifest says version {manifest.version}, head {head.version}; "
            "apply a corrected version"
        )
    return manifest
