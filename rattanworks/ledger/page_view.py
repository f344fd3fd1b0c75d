"""One node's view of a page: the head, and an index of the keys in the slices."""

import bisect
import contextlib
from array import array

from rattanworks.exceptions import StoreConflictError, StoreError
from rattanworks.ledger.page import PageHead, SealedSlice, SliceReference
from rattanworks.model.claim import ClaimState
from rattanworks.ports.base import ABSENT, era_of
from rattanworks.utils.codec import decode_binary, encode_binary
from rattanworks.utils.logging import log_event

SEAL_THRESHOLD_BYTES = 64 * 1024
RETENTION_SECONDS = 24 * 3600.0
# A full page deletes slices earlier, but not before this age.
MIN_RETENTION_SECONDS = 3600.0
MAX_KEYS = 50_000
PREFIX_DIGITS = 16
UNSIGNED_64_BIT = "Q"


class PageView:
    """Reads a page and writes its head by compare-and-swap.

    A write succeeds only over the head that was read. As the head references every
    slice, a writer that adds a claim has seen all earlier claims.

    When the store returns from an older copy, the page has lost its latest claims.
    Those in the head that this node knew, and in the slice that it sealed last, are
    kept and written again with the next write.
    """

    def __init__(self, store, clock, name):
        self._store = store
        self._clock = clock
        self._head_key = f"claims/{name}"
        self._revision = ABSENT
        self._head = PageHead()
        self._head_bytes = 0
        self._claims_by_key = {}
        self._era = store.era
        self._last_sealed = ()
        self._lost_by_key = {}
        # Sorted 64-bit prefixes of the keys in each slice, which take 8 bytes a key.
        self._prefixes_by_revision = {}
        self.is_current = False

    @property
    def key(self):
        """Return the key of the page's head."""
        return self._head_key

    @property
    def is_full(self):
        """Return whether the page holds too many keys for a new claim.

        New claims are then refused, as slices younger than MIN_RETENTION_SECONDS
        must not be deleted.
        """
        sealed_keys = sum(
            len(prefixes) for prefixes in self._prefixes_by_revision.values()
        )
        return sealed_keys + len(self._claims_by_key) >= MAX_KEYS

    @property
    def has_lost_claims(self):
        """Return whether claims that the store has lost are still to be written."""
        return bool(self._lost_by_key)

    def read(self):
        """Read the head and the slices that are not indexed yet."""
        entry = self._store.get(self._head_key)
        era = self._store.era if entry is None else era_of(entry.revision)
        if era != self._era:
            known = (*self._last_sealed, *self._claims_by_key.values())
            self._lost_by_key |= {claim.key: claim for claim in known}
            self._era = era
        if entry is None:
            self._set_head(PageHead(), ABSENT, 0)
        else:
            head = decode_binary(entry.value, PageHead)
            self._set_head(head, entry.revision, len(entry.value))
        referenced = {reference.revision for reference in self._head.slices}
        self._remove_from_index(set(self._prefixes_by_revision) - referenced)
        for revision in sorted(referenced - set(self._prefixes_by_revision)):
            self._index(revision, self._read_slice(revision))
        if self._lost_by_key:
            self._keep_lost_claims()
        self.is_current = True

    def _keep_lost_claims(self):
        self._lost_by_key = {
            key: claim
            for key, claim in self._lost_by_key.items()
            if _is_lost(claim, self.find(key))
        }
        self._claims_by_key |= self._lost_by_key
        log_event("claims-restored", page=self._head_key, claims=len(self._lost_by_key))

    def find(self, key):
        """Return the claim on a key or None; read the slices that may contain it."""
        claim = self._claims_by_key.get(key)
        if claim is not None:
            return claim
        for revision in sorted(self._slices_that_may_contain(key), reverse=True):
            for claim in self._read_slice(revision).claims:
                if claim.key == key:
                    return claim
        return None

    def _slices_that_may_contain(self, key):
        prefix = _prefix_of(key)
        return [
            revision
            for revision, prefixes in self._prefixes_by_revision.items()
            if _contains(prefixes, prefix)
        ]

    def write(self, changed_by_key):
        """Write the head with changed claims, after sealing it if it is too large.

        Raise StoreError as ``Store.put`` does.
        """
        self.is_current = False
        now = self._clock.now()
        claims = {**self._claims_by_key, **changed_by_key}
        slices = self._head.slices
        new_slice = None
        if self._head_bytes > SEAL_THRESHOLD_BYTES:
            new_slice = self._seal()
            slices = (*slices, new_slice)
            claims = {**self._lost_by_key, **changed_by_key}
        expired = self._expired_slices(slices, now)
        head = PageHead(
            tuple(claim for claim in claims.values() if self._is_kept(claim, now)),
            tuple(reference for reference in slices if reference not in expired),
        )
        content = encode_binary(head)
        entry = self._store.put(self._head_key, content, self._revision)
        if new_slice is not None:
            self._index(new_slice.revision, SealedSlice(self._head.claims))
            self._last_sealed = self._head.claims
        self._lost_by_key = {}
        self._set_head(head, entry.revision, len(content))
        self.is_current = True
        self._delete_expired(expired)

    def _set_head(self, head, revision, size):
        self._head, self._revision, self._head_bytes = head, revision, size
        self._claims_by_key = {claim.key: claim for claim in head.claims}

    def _seal(self):
        # The key contains the head's revision, so writers that seal the same head
        # write the same content, and a conflict does no harm.
        key = self._slice_key(self._revision)
        content = encode_binary(SealedSlice(self._head.claims))
        with contextlib.suppress(StoreConflictError):
            self._store.put(key, content, ABSENT)
        newest_at = max(claim.claimed_at for claim in self._head.claims)
        return SliceReference(self._revision, newest_at)

    def _is_kept(self, claim, now):
        if claim.state == ClaimState.RELEASED:
            # Needed only while a slice contains an earlier state of the claim.
            return self._was_just_sealed(claim) or self._slices_that_may_contain(
                claim.key
            )
        return now - claim.claimed_at < RETENTION_SECONDS

    def _was_just_sealed(self, claim):
        return (
            self._head_bytes > SEAL_THRESHOLD_BYTES and claim.key in self._claims_by_key
        )

    def _expired_slices(self, slices, now):
        limit = MIN_RETENTION_SECONDS if self.is_full else RETENTION_SECONDS
        return [reference for reference in slices if now - reference.newest_at > limit]

    def _delete_expired(self, expired):
        if not expired:
            return
        self._remove_from_index({reference.revision for reference in expired})
        try:
            for reference in expired:
                self._delete_slice(self._slice_key(reference.revision))
        except StoreError as error:
            log_event("claims-not-dropped", page=self._head_key, reason=str(error))

    def _delete_slice(self, key):
        entry = self._store.get(key)
        if entry is not None:
            self._store.delete(key, entry.revision)

    def _index(self, revision, sealed_slice):
        prefixes = sorted(_prefix_of(claim.key) for claim in sealed_slice.claims)
        self._prefixes_by_revision[revision] = array(UNSIGNED_64_BIT, prefixes)

    def _remove_from_index(self, revisions):
        for revision in revisions:
            del self._prefixes_by_revision[revision]

    def _read_slice(self, revision):
        entry = self._store.get(self._slice_key(revision))
        if entry is None:
            # Another writer has deleted the slice since this head was read.
            raise StoreConflictError(self._head_key, self._revision, ABSENT)
        return decode_binary(entry.value, SealedSlice)

    def _slice_key(self, revision):
        return f"{self._head_key}/{revision}"


def _is_lost(known, stored):
    """Return whether the store has lost a claim, or its outcome."""
    if stored is None:
        return known.state != ClaimState.RELEASED
    is_same = stored.operation_id == known.operation_id
    if stored.state == ClaimState.RELEASED:
        # The key may have been claimed again since the copy.
        return not is_same and known.state != ClaimState.RELEASED
    has_outcome = known.state != ClaimState.CLAIMED
    return is_same and stored.state == ClaimState.CLAIMED and has_outcome


def _prefix_of(key):
    return int(key[:PREFIX_DIGITS], 16)


def _contains(prefixes, prefix):
    position = bisect.bisect_left(prefixes, prefix)
    return position < len(prefixes) and prefixes[position] == prefix
