"""A page: the claims of many keys in a few store records, and changes to them.

The newest claims are in the page's head, a record that every change rewrites by
compare-and-swap. A head that has grown too large is sealed: its claims move to a
slice, an immutable record that the new head references.
"""

from dataclasses import dataclass, replace
from functools import singledispatch

from rattanworks.model.claim import Claim, ClaimState


@dataclass(frozen=True, slots=True)
class SliceReference:
    """Reference to a sealed slice.

    ``revision`` is the store revision of the head that was sealed. ``newest_at``
    is when the slice's newest claim was made, in seconds since the Unix epoch.
    """

    revision: int
    newest_at: float


@dataclass(frozen=True, slots=True)
class PageHead:
    """The mutable record of a page; ``slices`` are oldest first."""

    claims: tuple[Claim, ...] = ()
    slices: tuple[SliceReference, ...] = ()


@dataclass(frozen=True, slots=True)
class SealedSlice:
    """Immutable record of claims; newer slices and the head take precedence."""

    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class AcquireClaim:
    """Claims a key unless a claim on it is in force."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class CompleteClaim:
    """Replaces the claimer's own claim by one with the outcome of the call."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Marks the claimer's own claim as released."""

    claim: Claim


@singledispatch
def apply_change(change, current):
    """Return the claim that replaces ``current``, the key's claim so far or None.

    Changes are idempotent, so that they can be applied again after the answer to
    a write was lost.
    """
    raise TypeError(f"not a change of a claim: {change!r}")


@apply_change.register
def _(change: AcquireClaim, current):
    if current is None or current.state == ClaimState.RELEASED:
        return change.claim
    return current


@apply_change.register
def _(change: CompleteClaim, current):
    is_own = current is not None and current.operation_id == change.claim.operation_id
    return change.claim if is_own else current


@apply_change.register
def _(change: ReleaseClaim, current):
    is_own = current is not None and current.operation_id == change.claim.operation_id
    if not is_own:
        return current
    return replace(current, state=ClaimState.RELEASED, answer=None)
