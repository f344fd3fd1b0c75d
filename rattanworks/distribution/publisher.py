"""Acceptance of a new version into the store by one compare-and-swap."""

import time
import uuid

from rattanworks.distribution.archive import AcceptedVersion, Archive
from rattanworks.distribution.changes import compare_lists, merge_lists
from rattanworks.distribution.content import MAX_BLOB_BYTES, references, split_lists
from rattanworks.distribution.keys import HEAD, blob_key
from rattanworks.exceptions import (
    ConflictError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    UsageError,
)
from rattanworks.model.version import Head, Manifest, content_hash
from rattanworks.ports.base import ABSENT
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.codec import encode_json

MAX_WRITE_ATTEMPTS = 6
MAX_MERGE_ATTEMPTS = 16
MAX_ACCEPT_ATTEMPTS = 4
BACKOFF_BASE_SECONDS = 0.05
BACKOFF_CAP_SECONDS = 1.0
MAX_REPORTED_VERSIONS = 5
MAX_REPORTED_CHANGES = 8

__all__ = ["AcceptedVersion", "Publisher"]


class Publisher(Archive):
    """Accepts new versions by advancing the head record in the store.

    ``sleep`` is called with the seconds to wait between attempts.
    """

    def __init__(self, store, clock, sleep=time.sleep):
        super().__init__(store)
        self._clock = clock
        self._sleep = sleep

    def accept(self, lists, base, author, message):
        """Accept ``lists`` as the version after ``base`` and return the new Head.

        Raise ConflictError when another version was accepted since ``base``, and
        StoreAnswerLostError when it is unknown whether this one was accepted.
        """
        contents = split_lists(lists)
        manifest = Manifest(
            version=base.head.version + 1,
            parent_hash=base.head.manifest_hash,
            author=author,
            message=message,
            operation_id=uuid.uuid4().hex,
            accepted_at=self._clock.now(),
            blobs=references(contents),
        )
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            head = self._try_accept(manifest, contents, base)
            if head is not None:
                return head
            base = self.current()
        raise ConflictError(
            "the head record was rewritten during every attempt; apply again later"
        )

    def _try_accept(self, manifest, contents, base):
        # Returns None when the head record was rewritten with the same value, as a
        # GarbageCollector does: the caller tries again on the record's new revision.
        encoded = encode_json(manifest)
        for content in (*_missing_contents(base, contents), encoded):
            self._put_blob(content, base.revision)
        head = Head(manifest.version, content_hash(encoded))
        return head if self._swap_head(head, base, manifest.operation_id) else None

    def accept_merged(self, lists, base, author, message):
        """Merge the edit from ``base`` to ``lists`` into the current version.

        Return the new Head, or the current one when it contains the edit already.
        Raise MergeConflictError when another edit changed the same entries.
        """
        base_lists = self.lists(base.manifest)
        backoff = self._backoff()
        for _ in range(MAX_MERGE_ATTEMPTS):
            current = self.current()
            current_lists = self.lists(current.manifest)
            merged = merge_lists(base_lists, current_lists, lists)
            if not compare_lists(current_lists, merged):
                return current.head
            try:
                return self.accept(merged, current, author, message)
            except ConflictError:
                self._sleep(backoff.next_delay())
        raise ConflictError(
            f"{MAX_MERGE_ATTEMPTS} other versions were accepted first; "
            "apply again later"
        )

    def _backoff(self):
        return FullJitterBackoff(BACKOFF_BASE_SECONDS, BACKOFF_CAP_SECONDS)

    def _put_blob(self, content, base_revision):
        key = blob_key(content_hash(content))
        expected = ABSENT
        backoff = self._backoff()
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                self._store.put(key, content, expected)
                return
            except StoreConflictError as error:
                # The key is the content's hash, so the existing blob is identical.
                # One written before the base may be about to be deleted: rewrite
                # it, so that the GarbageCollector's delete at the old revision fails.
                if error.actual > base_revision:
                    return
                expected = error.actual
            except StoreAnswerLostError:
                self._sleep(backoff.next_delay())
        raise StoreUnavailableError(
            "the store's answers were lost repeatedly; nothing was accepted, "
            "apply again later"
        )

    def _swap_head(self, head, base, operation_id):
        # Returns False when the head record was rewritten with the same value.
        may_be_accepted = False
        backoff = self._backoff()
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return self._try_swap(head, base, may_be_accepted)
            except StoreAnswerLostError:
                may_be_accepted = True
            except StoreError:
                if not may_be_accepted:
                    raise
            self._sleep(backoff.next_delay())
        raise StoreAnswerLostError(
            f"it is not known whether operation {operation_id} was accepted; look "
            "for it in `rattanworks history` before applying again"
        )

    def _try_swap(self, head, base, may_be_accepted):
        try:
            self._store.put(HEAD, encode_json(head), base.revision)
        except StoreConflictError:
            # The head record changed after ``base`` was read. Either an earlier write
            # of this operation succeeded and its answer was lost, perhaps with later
            # versions on top by now, or another process wrote the record.
            if may_be_accepted and self.contains(head):
                return True
            if self._is_rewritten(base):
                return False
            raise ConflictError(self._describe_conflict(base)) from None
        return True

    def _is_rewritten(self, base):
        try:
            return self.current().head == base.head
        except StoreError:
            return False

    def _describe_conflict(self, base):
        remedy = (
            f"see `rattanworks diff --from {base.head.version}`, then apply with "
            f"--base {base.head.version} --merge, or edit the current version"
        )
        try:
            return f"{self.changes_since(base)}; {remedy}"
        except StoreError:
            return f"another version was accepted meanwhile; {remedy}"

    def changes_since(self, base):
        """Return one line of text: who accepted which changes after ``base``."""
        manifests = []
        for manifest in self.chain():
            if manifest.version <= base.head.version:
                break
            manifests.append(manifest)
        descriptions = [self._describe_version(manifest) for manifest in manifests]
        return "; ".join(reversed(descriptions[:MAX_REPORTED_VERSIONS]))

    def _describe_version(self, manifest):
        changes = compare_lists(self.lists(self.parent(manifest)), self.lists(manifest))
        texts = [str(change) for change in changes[:MAX_REPORTED_CHANGES]]
        if len(changes) > MAX_REPORTED_CHANGES:
            texts.append(f"{len(changes) - MAX_REPORTED_CHANGES} more")
        summary = ", ".join(texts) or "no entry changed"
        return (
            f"version {manifest.version} was accepted meanwhile by "
            f"{manifest.author} ({summary})"
        )


def _missing_contents(base, contents):
    stored = base.manifest.blobs if base.manifest else ()
    stored_hashes = {reference.hash for reference in stored}
    missing = [
        content
        for content in contents.values()
        if content_hash(content) not in stored_hashes
    ]
    if any(len(content) > MAX_BLOB_BYTES for content in missing):
        raise UsageError(
            f"a part of the lists takes more than {MAX_BLOB_BYTES} bytes; "
            "shorten the plans list or remove unused entries"
        )
    return missing
