"""Calls that the backend server stand-in makes to other services.

The request header ``X-Call-Next`` lists their paths, separated by commas. The
stand-in calls the first path through its own node and sends the others along in the
same header.
"""

import time
import uuid

from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.utils.http_pool import HttpPool

NEXT_HEADER = "X-Call-Next"
MAX_CONNECTIONS = 64
DEFAULT_TIMEOUT_SECONDS = 10.0


class ChainCaller:
    """Sends the next call of a chain to the node beside the stand-in."""

    def __init__(self, node):
        self._pool = HttpPool(node, MAX_CONNECTIONS) if node else None

    def call_next(self, environ, started_at):
        """Make the next call and return its status.

        Return None when the request names no next call or the stand-in has no node,
        502 when the call was not sent or its answer did not come back.
        """
        paths = environ.get("HTTP_X_CALL_NEXT", "").split(",")
        if not paths[0] or self._pool is None:
            return None
        timeout = float(environ.get("HTTP_X_REQUEST_TIMEOUT", DEFAULT_TIMEOUT_SECONDS))
        seconds_left = timeout - (time.monotonic() - started_at)
        headers = [
            ("X-Customer", environ.get("HTTP_X_CUSTOMER", "")),
            ("X-Request-Id", uuid.uuid4().hex),
            ("X-Request-Timeout", f"{max(seconds_left, 0.001):.3f}"),
        ]
        if "HTTP_X_RETRIES" in environ:
            headers.append(("X-Retries", environ["HTTP_X_RETRIES"]))
        if paths[1:]:
            headers.append((NEXT_HEADER, ",".join(paths[1:])))
        try:
            return self._pool.exchange(
                "GET", paths[0], headers, b"", max(seconds_left, 0.001)
            ).status
        except (CallNotSentError, CallOutcomeUnknownError):
            return 502
