"""The callers' HTTP interface, described in docs/user-guide/callers.md."""

import functools
import math
import threading
import uuid

from rattanworks.model.call import (
    Outcome,
    refusal,
    return_false,
    return_true,
    unknown_outcome,
)
from rattanworks.routing.entry import CallerRequest, ignore_deadline
from rattanworks.utils.headers import request_headers
from rattanworks.utils.http_parts import (
    ANSWER_BY_KEY,
    HAS_LEFT_KEY,
    IS_REFUSED_KEY,
    RECEIVED_AT_KEY,
)
from rattanworks.utils.logging import log_event
from rattanworks.utils.wsgi import (
    Response,
    body_of,
    headers_of,
    path_of,
    respond,
    target_of,
)

MAX_TIMEOUT_SECONDS = 600.0
MAX_ID_LENGTH = 200
NOT_READY_RETRY_AFTER_SECONDS = 1.0
BUSY_RETRY_AFTER_SECONDS = 1.0
CUSTOMER_KEY = "HTTP_X_CUSTOMER"
RETRIES_KEY = "HTTP_X_RETRIES"
# The thread of a call that ends at its deadline has this long to answer first. Longer
# than the 0.05 s that it waits for an owner after the deadline.
ANSWER_MARGIN_SECONDS = 0.1
OUTER = "outer"
REQUEST_ID = "X-Request-Id"


def with_request_id(headers, request_id):
    """Return the headers as a list whose only X-Request-Id is ``request_id``."""
    others = [pair for pair in headers if pair[0].lower() != REQUEST_ID.lower()]
    return [*others, (REQUEST_ID, request_id)]


class CallersDialect:
    """Reads requests of callers and writes their answers in the product's own format.

    Subclasses do so in the formats of other callers.
    """

    def timeout(self, environ, default):
        """Return for how many seconds the caller waits; raise ValueError."""
        text = environ.get("HTTP_X_REQUEST_TIMEOUT")
        if text is None:
            return default
        timeout = float(text)
        if not 0 < timeout <= MAX_TIMEOUT_SECONDS:
            raise ValueError(text)
        return timeout

    def customer(self, environ):
        """Return the customer's id, empty for none."""
        return environ.get(CUSTOMER_KEY, "")

    def idempotency_key(self, environ):
        """Return the key under which the call runs once, empty for none."""
        return environ.get("HTTP_IDEMPOTENCY_KEY", "")

    def has_outer_retries(self, environ):
        """Return whether an entry earlier on the call's path retries the call."""
        return environ.get(RETRIES_KEY) == OUTER

    def request_headers(self, environ):
        """Return the caller's headers that are forwarded."""
        return request_headers(headers_of(environ))

    def answer_headers(self, answer, request_id):
        """Return the headers of the answer to the caller."""
        headers = with_request_id(answer.headers, request_id)
        headers.append(("X-Request-Outcome", str(answer.outcome)))
        if answer.outcome != Outcome.DONE and answer.retry_after > 0:
            headers.append(("Retry-After", str(math.ceil(answer.retry_after))))
        return tuple(headers)


class CallersApp:
    """WSGI application for outside callers and for the local backend server.

    ``call_deadline(received_at, deadline, objective)`` returns the deadline under which
    the node serves a request that began to arrive at ``received_at`` and whose caller
    waits until ``deadline``, or None, all in seconds of the monotonic clock. At most
    ``limit`` calls are handled at once, fewer than the server has threads: the other
    threads refuse further calls immediately.
    """

    def __init__(
        self, entry, call_deadline, clock, default_timeout, limit, dialect=None
    ):
        self._entry = entry
        self._call_deadline = call_deadline
        self._clock = clock
        self._default_timeout = default_timeout
        self._permits = threading.Semaphore(limit)
        self._dialect = dialect or CallersDialect()

    def __call__(self, environ, start_response):
        """Serve one request."""
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        if environ.get(IS_REFUSED_KEY):
            answer = self._refuse_busy(environ, request_id, "calls wait to begin")
        elif self._permits.acquire(blocking=False):
            try:
                answer = self._answer(environ, request_id)
            finally:
                self._permits.release()
        else:
            answer = self._refuse_busy(environ, request_id, "all threads are taken")
        headers = self._dialect.answer_headers(answer, request_id)
        return respond(start_response, Response(answer.status, answer.body, headers))

    def rank_of(self, headers, path):
        """Return the priority of a request by waitress's headers and its path."""
        customer = self._dialect.customer(
            {CUSTOMER_KEY: headers.get(CUSTOMER_KEY.removeprefix("HTTP_"), "")}
        )
        return self._entry.priority_of(customer, headers.get("HOST", ""), path)

    def _refuse_busy(self, environ, request_id, reason):
        # A planned stop waits for callers who still come.
        received_at = environ.get(RECEIVED_AT_KEY, self._clock.monotonic())
        self._call_deadline(received_at, received_at)
        log_event("call-not-begun", request_id=request_id, reason=reason)
        return refusal(503, f"the node is busy: {reason}", BUSY_RETRY_AFTER_SECONDS)

    def _answer(self, environ, request_id):
        received_at = environ.get(RECEIVED_AT_KEY, self._clock.monotonic())
        try:
            timeout = self._dialect.timeout(environ, self._default_timeout)
        except ValueError:
            return refusal(400, "the request's time limit is no number: correct it")
        if self._call_deadline(received_at, received_at) is None:
            return self._refuse_not_ready(request_id, timeout)
        if len(request_id) > MAX_ID_LENGTH:
            return refusal(400, f"X-Request-Id: at most {MAX_ID_LENGTH} characters")
        if len(self._dialect.idempotency_key(environ)) > MAX_ID_LENGTH:
            return refusal(400, f"Idempotency-Key: at most {MAX_ID_LENGTH} characters")
        path = path_of(environ)
        if {".", ".."}.intersection(path.split("/")):
            return refusal(400, "the path has dot segments: send it resolved")
        return self._handle(environ, request_id, path, received_at, timeout)

    def _refuse_not_ready(self, request_id, timeout):
        log_event("call-not-taken", request_id=request_id, timeout_seconds=timeout)
        return refusal(
            503, "the node is not ready or is stopping", NOT_READY_RETRY_AFTER_SECONDS
        )

    def _handle(self, environ, request_id, path, received_at, timeout):
        dialect = self._dialect
        body = body_of(environ)
        try:
            return self._entry.handle(
                CallerRequest(
                    request_id=request_id,
                    customer=dialect.customer(environ),
                    method=environ["REQUEST_METHOD"],
                    path=path,
                    target=target_of(environ),
                    headers=dialect.request_headers(environ),
                    body=body,
                    deadline=received_at + timeout,
                    idempotency_key=dialect.idempotency_key(environ),
                    has_outer_retries=dialect.has_outer_retries(environ),
                    is_abandoned=_abandonment_check(environ),
                    host=environ.get("HTTP_HOST", ""),
                    received_at=received_at,
                    call_deadline=functools.partial(self._call_deadline, received_at),
                    answer_by=self._answerer(environ, request_id),
                )
            )
        finally:
            if isinstance(body, memoryview):
                body.release()

    def _answerer(self, environ, request_id):
        """Return the ``answer_by`` of a CallerRequest."""
        answer_by = environ.get(ANSWER_BY_KEY)
        if answer_by is None:
            return ignore_deadline

        def build_response():
            answer = unknown_outcome(504, "no answer by the deadline")
            headers = self._dialect.answer_headers(answer, request_id)
            return Response(answer.status, headers=headers)

        return lambda deadline: answer_by(
            deadline + ANSWER_MARGIN_SECONDS, build_response
        )


def _abandonment_check(environ):
    if environ.get(HAS_LEFT_KEY, return_false)():
        return return_true
    return environ.get("waitress.client_disconnected", return_false)
