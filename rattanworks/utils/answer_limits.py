"""Limits on the bytes of one answer and on the memory of all large ones together."""

import io
from dataclasses import dataclass

from rattanworks.exceptions import AnswerBudgetExhaustedError, AnswerTooLargeError
from rattanworks.utils.memory_budget import MemoryBudget, Reservation

MEBIBYTE = 1024 * 1024
# The default of traffic.max_body_bytes, the limit of request bodies.
DEFAULT_BODY_BYTES = 64 * MEBIBYTE
# Bodies of requests and answers up to this size reserve nothing.
LARGE_BODY_BYTES = 256 * 1024
# Memory is reserved as bytes arrive: the announced length of an answer reserves none.
RESERVATION_STEP_BYTES = MEBIBYTE
# A body exists twice while it is assembled and while waitress buffers it.
COPIES_PER_BODY = 2


@dataclass(frozen=True, slots=True)
class AnswerBounds:
    """The size limit of one answer's body and the budget of all large bodies.

    Without a ``budget`` only the size of each body is limited.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    budget: MemoryBudget | None = None


class ReservedBody(bytes):
    """A body whose ``reservation`` lasts as long as the body is referenced."""

    reservation = None


class AnswerReservation:
    """Memory reserved for one answer's body; released on garbage collection."""

    def __init__(self, bounds):
        self._bounds = bounds
        self._reservation = Reservation(bounds.budget)

    @property
    def reserved(self):
        """Return the number of bytes reserved."""
        return self._reservation.size

    def require(self, size):
        """Reserve memory for a body that has ``size`` bytes so far.

        Raise AnswerTooLargeError above the size limit and AnswerBudgetExhaustedError
        when the budget is exhausted.
        """
        self.require_allowed(size)
        if size <= LARGE_BODY_BYTES or self._bounds.budget is None:
            return
        while self.reserved < size * COPIES_PER_BODY:
            self._reserve_step()

    def require_allowed(self, size):
        """Raise AnswerTooLargeError when ``size`` is above one answer's limit."""
        if size > self._bounds.body_bytes:
            raise AnswerTooLargeError(
                f"the answer's body has more than {self._bounds.body_bytes} bytes; "
                "look at the server, for calls also at traffic.max_body_bytes"
            )

    def _reserve_step(self):
        if not self._reservation.try_add(RESERVATION_STEP_BYTES):
            raise AnswerBudgetExhaustedError(
                "too many large bodies at once: no room for the answer; "
                "repeat the call later, only if it is idempotent"
            )


def collect(pieces, reservation):
    """Join the pieces of a body; raise as AnswerReservation.require does."""
    body = io.BytesIO()
    for piece in pieces:
        reservation.require(body.tell() + len(piece))
        body.write(piece)
    # getvalue() hands the buffer over without copying it.
    content = body.getvalue()
    if not reservation.reserved:
        return content
    reserved_body = ReservedBody(content)
    reserved_body.reservation = reservation
    return reserved_body
