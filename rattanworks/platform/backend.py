"""Sends calls to the backend server in the platform's protocol."""

import time

from rattanworks.exceptions import (
    CallMisdirectedError,
    CallNotSentError,
    CallOutcomeUnknownError,
)
from rattanworks.model.call import Answer, Outcome
from rattanworks.platform.names import (
    CALLER_SERVICE,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    REQUEST_DEADLINE,
    REQUEST_ID,
    SIGNATURE,
)
from rattanworks.platform.notices import MAX_LOGGED_LENGTH, read_notice
from rattanworks.ports.base import BackendServer
from rattanworks.utils.headers import answer_headers
from rattanworks.utils.http_connection import RequestOptions
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.logging import log_event

MILLISECONDS_PER_SECOND = 1000
MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)
# By these callers understand that their call was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 429, 503})


class PlatformBackendServer(BackendServer):
    """Sends calls to one instance of the backend server beside the node.

    ``bounds`` are the AnswerBounds that limit its answers.
    """

    def __init__(self, address, connections, instance, clock, bounds=None):
        self._pool = HttpPool(address, connections, bounds)
        self._instance = instance
        self._clock = clock

    def run(self, call):
        """Run the call and return its Answer."""
        remaining_seconds = call.deadline - self._clock.monotonic()
        if remaining_seconds * MILLISECONDS_PER_SECOND < 1:
            raise CallNotSentError("the deadline has passed; ask again with more time")
        headers = (
            ("Host", call.host),
            *call.headers,
            (REQUEST_ID, call.request_id),
            (REQUEST_DEADLINE, str(int(remaining_seconds * MILLISECONDS_PER_SECOND))),
            (EXPECTED_INSTANCE, self._instance),
            (CALLER_SERVICE, call.caller_service),
        )
        options = RequestOptions(
            deadline=time.monotonic() + remaining_seconds,
            is_abandoned=call.is_abandoned,
            is_own_answer=lambda answer: _belongs_to(answer, call),
            skips_other_answers=True,
            may_end_by_close=True,
            has_host_header=True,
        )
        answer = self._pool.send(call.method, call.target, headers, call.body, options)
        return self._interpret(call, answer)

    def _interpret(self, call, answer):
        if answer.status == MISDIRECTED_STATUS:
            raise CallMisdirectedError(
                f"{self._pool.address} is no longer instance {self._instance}; "
                "try another endpoint"
            )
        is_success = answer.status in SUCCESS_STATUSES
        if is_success and not answer.header(SIGNATURE.lower()):
            raise CallOutcomeUnknownError(
                f"{self._pool.address} sent a success without its signature; "
                "repeat the call only if it is idempotent"
            )
        is_not_run = not is_success and bool(answer.header(NOT_EXECUTED.lower()))
        if answer.status in NOT_RUN_STATUSES and not is_not_run:
            raise CallOutcomeUnknownError(
                f"{self._pool.address} answered {answer.status} but does not say that "
                "it did not run the call; repeat the call only if it is idempotent"
            )
        return Answer(
            status=answer.status,
            headers=answer_headers(answer.headers, is_head=call.method == "HEAD"),
            body=answer.body,
            outcome=Outcome.NOT_RUN if is_not_run else Outcome.DONE,
            notice=read_notice(answer.headers, self._pool.address),
        )

    def is_reachable(self):
        """Return whether the server accepts a new connection."""
        return self._pool.is_reachable()

    def cancel(self, request_id):
        """Do nothing: the server drops a request when its connection closes."""

    def close(self):
        """Close idle connections."""
        self._pool.close()


def _belongs_to(answer, call):
    """Return whether an answer belongs to the call; log one that does not."""
    answered_ids = {value for name, value in answer.headers if _is_request_id(name)}
    if not answered_ids and answer.status not in SUCCESS_STATUSES:
        # A server may refuse a request before it has read the request's id. Later on
        # a connection such an answer may be an earlier one, written again.
        is_own = answer.is_first
    else:
        is_own = answered_ids == {call.request_id}
    if not is_own:
        log_event(
            "backend-answer-dropped",
            request_id=call.request_id,
            answered_id=", ".join(sorted(answered_ids))[:MAX_LOGGED_LENGTH],
            status=answer.status,
        )
    return is_own


def _is_request_id(name):
    return name.lower() == REQUEST_ID.lower()
