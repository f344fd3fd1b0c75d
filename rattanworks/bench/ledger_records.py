"""Claims in one store record per key, to compare with claims in pages."""

from rattanworks.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from rattanworks.ledger.base import ClaimTable
from rattanworks.model.claim import Claim
from rattanworks.ports.base import ABSENT
from rattanworks.utils.codec import decode_binary, encode_binary

MAX_WRITE_ATTEMPTS = 5


class RecordClaims(ClaimTable):
    """A ClaimTable with one record per key.

    Expiry, which is not implemented here, takes one more write per record.
    """

    def __init__(self, store):
        self._store = store
        self._revisions_by_operation = {}

    def claim(self, claim, timeout):
        """Return the claim in force on the key."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                entry = self._store.put(
                    _record_key(claim), encode_binary(claim), ABSENT
                )
            except (StoreConflictError, StoreAnswerLostError):
                entry = self._store.get(_record_key(claim))
            if entry is not None:
                self._revisions_by_operation[claim.operation_id] = entry.revision
                return decode_binary(entry.value, Claim)
        raise StoreUnavailableError("the store keeps losing answers; try again later")

    def complete(self, claim, timeout):
        """Record how a claimed call ended."""
        revision = self._revisions_by_operation.pop(claim.operation_id)
        try:
            self._store.put(_record_key(claim), encode_binary(claim), revision)
        except StoreError:
            return False
        return True

    def release(self, claim, timeout):
        """Give up a claim whose call did not run."""
        revision = self._revisions_by_operation.pop(claim.operation_id)
        try:
            self._store.delete(_record_key(claim), revision)
        except StoreError:
            return False
        return True

    def close(self):
        """Do nothing, as there is nothing to release."""


def _record_key(claim):
    return f"claims/{claim.key}"
