"""A bounded pool of persistent HTTP connections to one address."""

import http.client
import threading
import time

from rattanworks.exceptions import (
    CallNotSentError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.utils.answer_limits import AnswerBounds
from rattanworks.utils.http_connection import (
    Connection,
    RequestOptions,
    has_input,
    idle_seconds,
    read_whole,
    seconds_left,
    write_request,
)

CONNECT_SECONDS = 1.0
# Answers of earlier requests that one request may find in front of its own.
MAX_BELATED_ANSWERS = 3
# A server closes an idle connection after a timeout that it may announce; what
# is left of it must cover the way of a request.
IDLE_PART_USED = 0.5
FIRST_FINAL_STATUS = 200


class ReusedConnectionClosedError(CallOutcomeUnknownError):
    """A pooled connection was closed before it gave any byte of an answer."""


class HttpPool:
    """Keeps idle connections to one server and opens at most ``limit``.

    ``bounds`` are the AnswerBounds of its answers.
    """

    def __init__(self, address, limit, bounds=None):
        self.address = address
        self._bounds = bounds or AnswerBounds()
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle = []
        self._lock = threading.Lock()
        self._permits = threading.BoundedSemaphore(limit)

    def exchange(self, method, target, headers, body, timeout, may_reuse=True):
        """Send a request and return the whole HttpAnswer.

        Raise CallNotSentError when no byte was sent, CallOutcomeUnknownError
        when the answer did not come back whole within ``timeout`` seconds.
        """
        terms = RequestOptions(time.monotonic() + timeout, may_reuse)
        return self.send(method, target, headers, body, terms)

    def send(self, method, target, headers, body, terms):
        """Send a request with RequestOptions; return and raise as exchange does."""
        if not self._permits.acquire(timeout=seconds_left(terms.deadline)):
            raise CallNotSentError(f"no free connection to {self.address}; retry")
        try:
            return self._send_on_any(method, target, headers, body, terms)
        finally:
            self._permits.release()

    def _send_on_any(self, method, target, headers, body, terms):
        connection = self._take_idle() if terms.may_reuse else None
        if connection is not None:
            try:
                return self._send_on(connection, method, target, headers, body, terms)
            except ReusedConnectionClosedError:
                if not terms.may_repeat:
                    raise
        connection = self._connect(min(seconds_left(terms.deadline), CONNECT_SECONDS))
        return self._send_on(connection, method, target, headers, body, terms)

    def _take_idle(self):
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            if connection.usable_until > time.monotonic() and not has_input(
                connection.sock
            ):
                return connection
            connection.close()

    def _connect(self, timeout):
        try:
            return Connection(self._host, self._port, timeout)
        except OSError as error:
            raise CallNotSentError(
                f"cannot connect to {self.address}: {error}; try another endpoint"
            ) from error

    def _send_on(self, connection, method, target, headers, body, terms):
        is_clean = False
        try:
            is_sent = self._write(connection, method, target, headers, body, terms)
            answer, is_kept = self._read_own(connection, method, terms)
            is_clean = is_sent and is_kept and not connection.reader.has_buffered
        except CallOutcomeUnknownError:
            raise
        except TimeoutError as error:
            raise CallTimedOutError(
                f"{self.address} did not answer before the deadline; "
                "repeat the call only if it is idempotent"
            ) from error
        except (OSError, http.client.HTTPException) as error:
            raise self._broken(error, connection.is_reused) from error
        finally:
            if not is_clean:
                connection.close()
        if is_clean:
            self._put_back(connection, answer)
        return answer

    def _write(self, connection, method, target, headers, body, terms):
        """Send the request; tell whether it left whole before the answer came."""
        connection.sock.settimeout(seconds_left(terms.deadline))
        try:
            return write_request(connection, method, target, headers, body, terms)
        except (BrokenPipeError, ConnectionResetError):
            # The server may have answered and closed before the body's end.
            if not has_input(connection.sock):
                raise
            return False

    def _read_own(self, connection, method, terms):
        """Return the request's own HttpAnswer and whether the connection stays."""
        for _ in range(MAX_BELATED_ANSWERS + 1):
            response = connection.next_response(method, terms)
            if response.status < FIRST_FINAL_STATUS:
                raise http.client.HTTPException(
                    f"status {response.status} is not final"
                )
            answer = read_whole(response, method, terms.may_end_by_close, self._bounds)
            if terms.is_own is None or terms.is_own(answer):
                return answer, not response.will_close
            if response.will_close or not terms.skips_others:
                break
        # Answers have crossed: no other idle connection can be trusted either.
        self.close()
        raise CallOutcomeUnknownError(
            f"{self.address} answered another request; "
            "repeat the call only if it is idempotent"
        )

    def _broken(self, error, is_reused):
        kind = CallOutcomeUnknownError
        if is_reused and isinstance(
            error, http.client.RemoteDisconnected | ConnectionError
        ):
            kind = ReusedConnectionClosedError
        return kind(
            f"the exchange with {self.address} broke: {error!r}; "
            "repeat the call only if it is idempotent"
        )

    def _put_back(self, connection, answer):
        connection.rest()
        connection.is_reused = True
        usable_seconds = idle_seconds(answer) * IDLE_PART_USED
        connection.usable_until = time.monotonic() + usable_seconds
        with self._lock:
            self._idle.append(connection)

    def close(self):
        """Close every idle connection."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
