"""The attempts of one call: where it was sent and what that allows next."""

from dataclasses import dataclass

from rattanworks.model.call import Answer, Outcome

# Endpoints that may refuse a call unsent before its caller is refused.
MAX_CHOICES = 3


@dataclass(frozen=True, slots=True)
class Attempt:
    """One dispatch; ``is_undelivered`` when the owner's node was not there."""

    answer: Answer
    is_undelivered: bool = False


class Attempts:
    """Counts the endpoints that one call was sent to and those tried in vain."""

    def __init__(self, most_offers):
        self._offers_left = most_offers
        self._ran = None
        self.tried_nodes = []
        # A backend server was sent the call, whatever became of it.
        self.is_sent = False
        # An owner was reached and refused the call for want of room.
        self.has_owner_refusal = False

    @property
    def may_continue(self):
        """Tell whether the call may be sent to one more endpoint."""
        return self._offers_left > 0 and len(self.tried_nodes) < MAX_CHOICES

    def record(self, node, attempt):
        """Take in how the attempt at one endpoint ended."""
        answer = attempt.answer
        self.tried_nodes.append(node)
        self._offers_left -= answer.is_offered
        self.is_sent |= answer.is_offered
        if not attempt.is_undelivered and not answer.is_offered:
            self.has_owner_refusal = True
        if answer.outcome != Outcome.NOT_RUN:
            self._ran = answer

    def final_answer(self, last):
        """Return the answer to the caller when ``last`` was that of the last try.

        "Not run" holds for that try only; an earlier one may have run.
        """
        return self._ran if self._ran and last.outcome == Outcome.NOT_RUN else last
