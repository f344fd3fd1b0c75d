"""The attempts of one call: which endpoints were tried, and with what result."""

from dataclasses import dataclass

from rattanworks.model.call import Answer, Outcome

# Bounds the endpoints tried for one call, those included whose node refuses the call
# without sending it to the backend server.
MAX_TRIED_ENDPOINTS = 3


@dataclass(frozen=True, slots=True)
class Attempt:
    """One dispatch; ``is_undelivered`` when no byte of the call reached the node."""

    answer: Answer
    is_undelivered: bool = False


class Attempts:
    """Tracks the attempts of one call.

    The call is sent to at most ``max_sends`` backend servers.
    """

    def __init__(self, max_sends):
        self._sends_left = max_sends
        # The latest answer of an attempt that ran or may have run.
        self._executed_answer = None
        self.tried_nodes = []
        # The call was sent to a backend server, with whatever outcome.
        self.is_sent = False
        # An owner refused the call without sending it to its backend server.
        self.has_owner_refusal = False

    @property
    def may_continue(self):
        """Return whether the call may be sent to one more endpoint."""
        return self._sends_left > 0 and len(self.tried_nodes) < MAX_TRIED_ENDPOINTS

    def record(self, node, attempt):
        """Record how the attempt at one endpoint ended."""
        answer = attempt.answer
        self.tried_nodes.append(node)
        self._sends_left -= answer.is_offered
        self.is_sent |= answer.is_offered
        if not attempt.is_undelivered and not answer.is_offered:
            self.has_owner_refusal = True
        if answer.outcome != Outcome.NOT_RUN:
            self._executed_answer = answer

    def final_answer(self, last):
        """Return the answer for the caller; ``last`` is that of the last attempt.

        If the last attempt did not run, an earlier one may have: its answer is
        returned then, so that the caller does not get "not run".
        """
        return (
            self._executed_answer
            if self._executed_answer and last.outcome == Outcome.NOT_RUN
            else last
        )
