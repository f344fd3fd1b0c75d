"""Backend server port over HTTP."""

import time
from concurrent.futures import ThreadPoolExecutor

from rattanworks.exceptions import (
    CallAbandonedError,
    CallNotSentError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.model.call import Answer, Outcome
from rattanworks.ports.base import BackendServer
from rattanworks.utils.headers import answer_headers
from rattanworks.utils.http_connection import RequestOptions
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.logging import log_event

CANCEL_PATH = "/control/cancel"
CANCEL_TIMEOUT_SECONDS = 1.0


class HttpBackendServer(BackendServer):
    """Sends calls to the backend server beside this node.

    A call that is not idempotent uses a new connection: the server may close an
    idle one just as the call is sent, which leaves the call's outcome unknown.
    ``bounds`` are the AnswerBounds of its answers.
    """

    def __init__(self, address, connections, clock, bounds=None):
        self._pool = HttpPool(address, connections, bounds)
        self._clock = clock
        self._cancel_executor = ThreadPoolExecutor(1, "cancel")

    def run(self, call):
        """Run the call and return its Answer."""
        left = call.deadline - self._clock.monotonic()
        if left <= 0:
            raise CallNotSentError("the deadline has passed; ask again with more time")
        headers = (
            *call.headers,
            ("X-Request-Id", call.request_id),
            ("X-Customer", call.customer),
            ("X-Request-Timeout", f"{left:.3f}"),
            # The server runs on this host and reads the same clock: an absolute
            # time stays correct if this process is paused before sending.
            ("X-Request-Deadline", f"{self._clock.now() + left:.3f}"),
        )
        options = RequestOptions(
            deadline=time.monotonic() + left,
            may_reuse=call.is_idempotent,
            is_abandoned=call.is_abandoned,
            is_own_answer=lambda answer: _is_answer_to(answer, call),
        )
        try:
            answer = self._pool.send(
                call.method, call.target, headers, call.body, options
            )
        except (CallTimedOutError, CallAbandonedError):
            self._cancel_executor.submit(self.cancel, call.request_id)
            raise
        is_not_run = answer.status >= 400 and bool(answer.header("x-not-run"))
        return Answer(
            status=answer.status,
            headers=answer_headers(answer.headers, is_head=call.method == "HEAD"),
            body=answer.body,
            outcome=Outcome.NOT_RUN if is_not_run else Outcome.DONE,
        )

    def is_reachable(self):
        """Return whether the server accepts a new connection."""
        return self._pool.is_reachable()

    def cancel(self, request_id):
        """Notify the server that nobody waits for this call any longer."""
        try:
            self._pool.exchange(
                "POST", CANCEL_PATH, (), request_id.encode(), CANCEL_TIMEOUT_SECONDS
            )
        except (CallNotSentError, CallOutcomeUnknownError) as error:
            # Cancellation only saves work; the deadline ends the call anyway.
            log_event("cancel-not-delivered", request_id=request_id, reason=str(error))

    def close(self):
        """Close idle connections."""
        self._pool.close()


def _is_answer_to(answer, call):
    return answer.header("x-request-id", call.request_id) == call.request_id
