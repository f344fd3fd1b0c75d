"""The callers' side of the platform's protocol."""

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

MILLISECONDS = 1000
# Set anew on the way to the backend server, whatever the caller sent.
SET_BY_SYSTEM = frozenset(
    name.lower() for name in (CALLER_SERVICE, EXPECTED_INSTANCE, REQUEST_DEADLINE)
)


class PlatformDialect(CallersDialect):
    """Deadlines in milliseconds, fractions in Retry-After, no customers."""

    def timeout(self, environ, default):
        """Return the seconds that the caller waits; raise ValueError."""
        text = environ.get(header_key(REQUEST_DEADLINE))
        if text is None:
            return default
        seconds = float(text) / MILLISECONDS
        if math.isnan(seconds):
            raise ValueError(text)
        return min(max(0.0, seconds), MAX_TIMEOUT_SECONDS)

    def customer(self, environ):
        """Return no customer: the platform's callers name none."""
        return ""

    def idempotency_key(self, environ):
        """Return no key: the route's kind tells what may be repeated."""
        return ""

    def is_retried_outside(self, environ):
        """Return False: this entry retries within the shared budget."""
        return False

    def request_headers(self, environ):
        """Return the caller's headers as they go on."""
        return tuple(
            pair
            for pair in request_headers(headers_of(environ))
            if pair[0].lower() not in SET_BY_SYSTEM
        )

    def answer_headers(self, answer, request_id):
        """Return the headers of the answer to the caller."""
        headers = with_request_id(answer.headers, request_id)
        if answer.outcome == Outcome.NOT_RUN and answer.retry_after > 0:
            headers.append(("Retry-After", f"{answer.retry_after:.3f}"))
        return tuple(headers)
