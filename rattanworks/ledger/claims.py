"""Idempotency keys: a call with a key runs once, and repeats get its answer."""

import hashlib
import uuid
from dataclasses import replace

from rattanworks.admission.time_left import TimeLeft
from rattanworks.exceptions import StoreError
from rattanworks.model.call import Outcome, refusal, unknown_outcome
from rattanworks.model.claim import Claim, ClaimState

RETRY_AFTER_SECONDS = 1.0
MAX_CLAIM_TIMEOUT_SECONDS = 2.0
CLAIM_SHARE_OF_TIME_LEFT = 0.5
COMPLETION_TIMEOUT_SECONDS = 0.25
# Until this long after a claim's expiry, repeats are told to ask again, as a retried
# write may still store the outcome.
LATE_COMPLETION_SECONDS = 60.0
MAX_KEPT_BODY_BYTES = 256 * 1024


class ClaimLedger:
    """Runs only one of the calls with the same key, across all nodes."""

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    def run_once(self, call, run):
        """Return the answer of ``run()`` if the key is new, else one from its claim."""
        time_left = TimeLeft(self._clock, call.deadline)
        own_claim = self._new_claim(call)
        timeout = min(
            MAX_CLAIM_TIMEOUT_SECONDS, time_left.seconds() * CLAIM_SHARE_OF_TIME_LEFT
        )
        if timeout <= 0:
            return refusal(504, "the deadline passed before the key was claimed")
        try:
            claim = self._table.claim(own_claim, timeout)
        except StoreError as error:
            text = f"the key cannot be claimed now: {error}"
            return refusal(503, text, RETRY_AFTER_SECONDS)
        if claim.operation_id != own_claim.operation_id:
            return self._answer_repeat(call, claim)
        if time_left.seconds() <= 0:
            self._table.release(own_claim, 0.0)
            return refusal(504, "the deadline passed before the call was sent")
        return self._run_claimed(own_claim, run)

    def _new_claim(self, call):
        now = self._clock.now()
        return Claim(
            key=_key_digest(call),
            operation_id=uuid.uuid4().hex,
            state=ClaimState.CLAIMED,
            fingerprint=_fingerprint(call),
            claimed_at=now,
            expires_at=now + call.deadline - self._clock.monotonic(),
        )

    def _run_claimed(self, own_claim, run):
        answer = run()
        if answer.outcome == Outcome.NOT_RUN:
            self._table.release(own_claim, COMPLETION_TIMEOUT_SECONDS)
        else:
            # Wait briefly for the store, so that a prompt repeat finds the answer.
            self._table.complete(
                _completed(own_claim, answer), COMPLETION_TIMEOUT_SECONDS
            )
        return answer

    def _answer_repeat(self, call, claim):
        if claim.fingerprint != _fingerprint(call):
            return refusal(422, "the key was used for another request: use a new key")
        handlers_by_state = {
            ClaimState.CLAIMED: self._answer_while_claimed,
            ClaimState.ANSWERED: _first_answer,
            ClaimState.UNKNOWN: _unknown_answer,
        }
        return handlers_by_state[claim.state](claim)

    def _answer_while_claimed(self, claim):
        overdue = self._clock.now() - claim.expires_at
        if overdue <= 0:
            text = "the first request with this key is under way: ask again"
            return unknown_outcome(409, text, RETRY_AFTER_SECONDS)
        if overdue <= LATE_COMPLETION_SECONDS:
            text = "the first request's outcome is not recorded yet: ask again"
            return unknown_outcome(409, text, RETRY_AFTER_SECONDS)
        return _unknown_answer(claim)


def _completed(own_claim, answer):
    if answer.outcome == Outcome.UNKNOWN:
        return replace(own_claim, state=ClaimState.UNKNOWN)
    is_kept = len(answer.body) <= MAX_KEPT_BODY_BYTES
    kept = answer if is_kept else replace(answer, body=b"")
    state = ClaimState.ANSWERED
    return replace(own_claim, state=state, answer=kept, is_body_kept=is_kept)


def _first_answer(claim):
    if claim.is_body_kept:
        return claim.answer
    text = (
        f"the request ran once with status {claim.answer.status}; "
        "its answer was too large to keep: look the result up"
    )
    return replace(
        claim.answer,
        status=409,
        headers=(("Content-Type", "text/plain; charset=utf-8"),),
        body=f"{text}\n".encode(),
        reason=text,
    )


def _unknown_answer(claim):
    text = "the first request's outcome is unknown: look the result up"
    return unknown_outcome(502, text)


def _key_digest(call):
    parts = (call.customer, call.service, call.idempotency_key)
    text = "\n".join(f"{len(part)}:{part}" for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _fingerprint(call):
    digest = hashlib.sha256(f"{call.method} {call.target}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()[:32]
