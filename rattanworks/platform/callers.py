"""Requests and answers of callers in the platform's protocol."""

import math

from rattanworks.adapters.http_callers import (
    MAX_TIMEOUT_SECONDS,
    CallersDialect,
    with_request_id,
)
from rattanworks.model.call import Outcome
from rattanworks.platform.names import (
    CALLER_SERVICE,
    EXPECTED_INSTANCE,
    REQUEST_DEADLINE,
    header_key,
)
from rattanworks.utils.headers import request_headers
from rattanworks.utils.wsgi import headers_of

MILLISECONDS_PER_SECOND = 1000
# The system sets these itself on calls to the backend server; a caller's values are
# dropped.
SYSTEM_HEADERS = frozenset(
    name.lower() for name in (CALLER_SERVICE, EXPECTED_INSTANCE, REQUEST_DEADLINE)
)


class PlatformDialect(CallersDialect):
    """Deadlines in milliseconds, Retry-After with fractions, no customers."""

    def timeout(self, environ, default):
        """Return the seconds that the caller waits; raise ValueError."""
        text = environ.get(header_key(REQUEST_DEADLINE))
        if text is None:
            return default
        seconds = float(text) / MILLISECONDS_PER_SECOND
        if math.isnan(seconds):
            raise ValueError(text)
        return min(max(0.0, seconds), MAX_TIMEOUT_SECONDS)

    def customer(self, environ):
        """Return an empty id: the platform's callers name no customer."""
        return ""

    def idempotency_key(self, environ):
        """Return an empty key: the route's kind says which calls may be repeated."""
        return ""

    def has_outer_retries(self, environ):
        """Return False: the entry itself retries, within the shared retry budget."""
        return False

    def request_headers(self, environ):
        """Return the caller's headers to forward, without those the system sets."""
        return tuple(
            pair
            for pair in request_headers(headers_of(environ))
            if pair[0].lower() not in SYSTEM_HEADERS
        )

    def answer_headers(self, answer, request_id):
        """Return the headers of the answer to the caller."""
        headers = with_request_id(answer.headers, request_id)
        if answer.outcome == Outcome.NOT_RUN and answer.retry_after > 0:
            headers.append(("Retry-After", f"{answer.retry_after:.3f}"))
        return tuple(headers)
