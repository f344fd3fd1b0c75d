"""A caller of the system, for the demo, the benches and the tests."""

import uuid

from rattanworks.utils.http_pool import HttpPool

DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_CONNECTIONS = 64


class Caller:
    """Sends requests of one customer through one entry node."""

    def __init__(self, address, customer):
        self._pool = HttpPool(address, MAX_CONNECTIONS)
        self._customer = customer

    def send(self, method, target, body=b"", key="", timeout=None, request_id=""):
        """Send a request and return the HttpAnswer.

        ``key`` is its idempotency key; ``timeout`` is in seconds.
        """
        request_id = request_id or uuid.uuid4().hex
        headers = [("X-Customer", self._customer), ("X-Request-Id", request_id)]
        if key:
            headers.append(("Idempotency-Key", key))
        if timeout:
            headers.append(("X-Request-Timeout", f"{timeout:.3f}"))
        wait = (timeout or DEFAULT_TIMEOUT_SECONDS) + 1.0
        return self._pool.exchange(method, target, headers, body, wait)

    def close(self):
        """Close idle connections."""
        self._pool.close()
