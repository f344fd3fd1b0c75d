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
from rattanworks.utils.http_answers import read_whole
from rattanworks.utils.http_connection import (
    Connection,
    RequestOptions,
    has_input,
    idle_seconds,
    seconds_left,
    write_request,
)
from rattanworks.utils.turns import end_turn

CONNECT_SECONDS = 1.0
# A process on this host accepts or refuses a connection at once.
REACHABLE_SECONDS = 0.25
# Late answers to earlier requests that may precede a request's own answer.
MAX_LATE_ANSWERS = 3
# A server closes an idle connection after a timeout that it may announce; the rest
# of that timeout must cover the time in which a request reaches the server.
USABLE_IDLE_SHARE = 0.5
FIRST_FINAL_STATUS = 200


class HttpPool:
    """Keeps idle connections to one server and uses at most ``limit`` at a time.

    ``bounds`` are the AnswerBounds of the server's answers.
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
        when no complete answer arrived within ``timeout`` seconds.
        """
        options = RequestOptions(time.monotonic() + timeout, may_reuse)
        return self.send(method, target, headers, body, options)

    def send(self, method, target, headers, body, options):
        """Send a request once, with RequestOptions; return and raise as exchange does.

        A server may have run a request under which a kept connection closed.
        """
        if not self._take_permit(options):
            raise CallNotSentError(f"no free connection to {self.address}; retry")
        try:
            connection = self._take_idle() if options.may_reuse else None
            if connection is None:
                end_turn()
                connect_seconds = min(seconds_left(options.deadline), CONNECT_SECONDS)
                connection = self._connect(connect_seconds)
            return self._send_on(connection, method, target, headers, body, options)
        finally:
            self._permits.release()

    def _take_permit(self, options):
        """Wait for a permit; return whether there was one before the deadline."""
        if self._permits.acquire(blocking=False):
            return True
        end_turn()
        return self._permits.acquire(timeout=seconds_left(options.deadline))

    def is_reachable(self):
        """Return whether the server accepts a new connection."""
        try:
            self._connect(REACHABLE_SECONDS).close()
        except CallNotSentError:
            return False
        return True

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

    def _send_on(self, connection, method, target, headers, body, options):
        is_clean = False
        try:
            is_sent = self._write(connection, method, target, headers, body, options)
            answer, is_kept = self._read_matching_answer(connection, method, options)
            is_clean = is_sent and is_kept and not connection.reader.has_buffered
        except CallOutcomeUnknownError:
            raise
        except TimeoutError as error:
            raise CallTimedOutError(
                f"{self.address} did not answer before the deadline; "
                "repeat the call only if it is idempotent"
            ) from error
        except (OSError, http.client.HTTPException) as error:
            kind = "a kept" if connection.is_reused else "a new"
            raise CallOutcomeUnknownError(
                f"the exchange with {self.address} on {kind} connection broke: "
                f"{error!r}; repeat the call only if it is idempotent"
            ) from error
        finally:
            if not is_clean:
                connection.close()
        if is_clean:
            self._put_back(connection, answer)
        return answer

    def _write(self, connection, method, target, headers, body, options):
        """Send the request; return whether all of it was sent before the answer."""
        connection.sock.settimeout(seconds_left(options.deadline))
        try:
            return write_request(connection, method, target, headers, body, options)
        except (BrokenPipeError, ConnectionResetError):
            # The server may have answered and closed before it read the whole body.
            if not has_input(connection.sock):
                raise
            return False

    def _read_matching_answer(self, connection, method, options):
        """Return the request's own HttpAnswer and whether to keep the connection."""
        for _ in range(MAX_LATE_ANSWERS + 1):
            response = connection.next_response(method, options)
            if response.status < FIRST_FINAL_STATUS:
                raise http.client.HTTPException(
                    f"status {response.status} is not final"
                )
            answer = read_whole(
                connection.reader,
                response,
                method,
                options.may_end_by_close,
                self._bounds,
                is_first=connection.answers_received == 1,
            )
            if options.is_own_answer is None or options.is_own_answer(answer):
                return answer, not response.will_close
            if response.will_close or not options.skips_other_answers:
                break
        # Answers were mixed up: the idle connections cannot be trusted either.
        self.close()
        raise CallOutcomeUnknownError(
            f"{self.address} answered another request; "
            "repeat the call only if it is idempotent"
        )

    def _put_back(self, connection, answer):
        connection.reset_unread_timeout()
        connection.is_reused = True
        usable_seconds = idle_seconds(answer) * USABLE_IDLE_SHARE
        connection.usable_until = time.monotonic() + usable_seconds
        with self._lock:
            self._idle.append(connection)

    def close(self):
        """Close every idle connection."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
