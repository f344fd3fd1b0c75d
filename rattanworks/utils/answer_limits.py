"""Bounds on the bytes of one answer, and its room in a budget for all."""

import io
from dataclasses import dataclass

from rattanworks.exceptions import AnswerTooLargeError, NoRoomForAnswerError
from rattanworks.utils.memory_budget import MemoryBudget

MEBIBYTE = 1024 * 1024
# In bytes; the default of traffic.max_body_bytes, the largest body of a request.
DEFAULT_BODY_BYTES = 64 * MEBIBYTE
# In bytes; bodies up to it take no room from the budget, as those of requests.
LARGE_BODY_BYTES = 256 * 1024
# In bytes; room is taken as bytes come: an announced length alone holds none.
STEP_BYTES = MEBIBYTE
# A body and a copy: when it is put together, and when waitress buffers it.
COPIES = 2


@dataclass(frozen=True, slots=True)
class AnswerBounds:
    """What one answer's body may have in bytes, and the budget of all large ones.

    Without a ``budget`` only each answer is bounded.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    budget: MemoryBudget | None = None


class HeldBody(bytes):
    """A body that holds ``room`` of the budget as long as anybody has it."""

    room = None


class AnswerReservation:
    """The room of one answer's body; it comes back when this object goes."""

    def __init__(self, bounds):
        self._bounds = bounds
        self.reserved = 0

    def require(self, size):
        """Make sure that ``size`` bytes in all may be held.

        Raise AnswerTooLargeError or NoRoomForAnswerError.
        """
        self.require_allowed(size)
        if size <= LARGE_BODY_BYTES or self._bounds.budget is None:
            return
        while self.reserved < size * COPIES:
            self._reserve_step()

    def require_allowed(self, size):
        """Raise AnswerTooLargeError when no answer may have ``size`` bytes."""
        if size > self._bounds.body_bytes:
            raise AnswerTooLargeError(
                f"the answer's body has more than {self._bounds.body_bytes} bytes; "
                "look at the server, for calls also at traffic.max_body_bytes"
            )

    def _reserve_step(self):
        if not self._bounds.budget.try_reserve(STEP_BYTES):
            raise NoRoomForAnswerError(
                "too many large bodies at once: no room for the answer; "
                "repeat the call later, only if it is idempotent"
            )
        self.reserved += STEP_BYTES

    def __del__(self):
        if self.reserved:
            self._bounds.budget.release(self.reserved)


def collect(pieces, room):
    """Return the pieces of a body as one; raise as AnswerReservation.require does."""
    body = io.BytesIO()
    for piece in pieces:
        room.require(body.tell() + len(piece))
        body.write(piece)
    # Taken without a copy.
    content = body.getvalue()
    if not room.reserved:
        return content
    held = HeldBody(content)
    held.room = room
    return held
