"""Claims on idempotency keys."""

import enum
from dataclasses import dataclass

from rattanworks.model.call import Answer


class ClaimState(enum.StrEnum):
    """State of a call that has an idempotency key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim on one idempotency key.

    ``key`` is a digest of customer, service and idempotency key, ``fingerprint`` a
    digest of the request. ``claimed_at`` and ``expires_at`` are in seconds since the
    Unix epoch; from ``expires_at`` on, the node that made the claim no longer runs
    the call. ``answer`` is set once it is known; its body is empty if it was too large
    to keep.
    """

    key: str
    operation_id: str
    state: ClaimState
    fingerprint: str
    claimed_at: float
    expires_at: float
    answer: Answer | None = None
    is_body_kept: bool = True
