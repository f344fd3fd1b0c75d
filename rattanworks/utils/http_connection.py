"""One HTTP connection: requests written, answers read through one buffer."""

import http.client
import select
import socket
import time
from dataclasses import dataclass

from rattanworks.exceptions import CallAbandonedError
from rattanworks.utils.sockets import PATIENT, apply_liveness

ABANDON_CHECK_SECONDS = 0.1
MILLISECONDS = 1000
# Bodies up to this size leave in one blocking write.
AT_ONCE_BYTES = 16 * 1024
PIECE_BYTES = 64 * 1024
# Taken when a server does not announce how long it keeps idle connections.
DEFAULT_IDLE_SECONDS = 300.0
MIN_TIMEOUT_SECONDS = 0.001
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name, default=""):
        """Return the value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


@dataclass(frozen=True, slots=True)
class Terms:
    """The conditions under which a request is sent and waited for.

    ``deadline`` is in seconds of time.monotonic(). Without ``may_reuse`` the
    request goes out on a fresh connection. With ``may_repeat`` it is sent once
    more when a reused connection turns out to be closed. ``is_own`` judges
    whether an HttpAnswer belongs to the request; with ``skips_others`` an answer
    that does not is dropped and the next one awaited. With ``may_end_by_close``
    an answer without a length is whole when its connection ends cleanly.
    ``keeps_host`` says that the headers name the host to send.
    """

    deadline: float
    may_reuse: bool = True
    may_repeat: bool = False
    is_abandoned: object = None
    is_own: object = None
    skips_others: bool = False
    may_end_by_close: bool = False
    keeps_host: bool = False


class Reader:
    """Reads a connection through one buffer that outlives each answer.

    What a server sends after an answer is then seen, not lost with the answer's
    own buffer. It has the methods of a file that http.client uses.
    """

    def __init__(self, sock):
        self._sock = sock
        self._buffer = bytearray()

    @property
    def has_buffered(self):
        """Tell whether bytes were received that nobody has read."""
        return bool(self._buffer)

    def makefile(self, mode):
        """Return the file of an answer: always this reader."""
        return self

    def readline(self, limit):
        """Return a line of at most ``limit`` bytes, less when the stream ends."""
        end = self._buffer.find(b"\n", 0, limit)
        while end < 0 and len(self._buffer) < limit and self._receive():
            end = self._buffer.find(b"\n", 0, limit)
        return self._take(limit if end < 0 else end + 1)

    def read(self, size=-1):
        """Return ``size`` bytes, or all until the stream ends; less at its end."""
        while (size < 0 or len(self._buffer) < size) and self._receive():
            pass
        return self._take(len(self._buffer) if size < 0 else size)

    def _receive(self):
        content = self._sock.recv(PIECE_BYTES)
        self._buffer += content
        return bool(content)

    def _take(self, size):
        content = bytes(self._buffer[:size])
        del self._buffer[:size]
        return content

    def flush(self):
        """Do nothing: there is nothing to write."""

    def close(self):
        """Do nothing: the connection outlives its answers."""


class Connection:
    """One connection: its socket and the buffer of what was received."""

    def __init__(self, host, port, timeout):
        self.sock = socket.create_connection((host, port), timeout)
        apply_liveness(self.sock, PATIENT)
        self.reader = Reader(self.sock)
        self.is_reused = False
        self.usable_until = float("inf")
        self._host = host
        self._port = port

    def new_request(self):
        """Return an object of http.client that writes one request."""
        request = http.client.HTTPConnection(self._host, self._port)
        request.sock = self.sock
        return request

    def next_response(self, method):
        """Return the next response, its head read."""
        response = http.client.HTTPResponse(self.reader, method=method)
        response.begin()
        return response

    def close(self):
        """Close the connection."""
        self.sock.close()


def seconds_left(deadline):
    """Return the seconds until a time of time.monotonic(), at least a little."""
    return max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic())


def idle_seconds(answer):
    """Return the seconds that the server keeps an idle connection after an answer."""
    for part in answer.header("keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return DEFAULT_IDLE_SECONDS


def write_request(connection, method, target, headers, body, terms):
    """Write a request; tell whether all of it left before the answer began."""
    has_body = len(body) > 0
    if has_body:
        # Headers and body leave in one packet where they fit.
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
    request = connection.new_request()
    request.putrequest(
        method, target, skip_host=terms.keeps_host, skip_accept_encoding=True
    )
    for name, value in headers:
        request.putheader(name, value)
    if has_body or method not in ("GET", "HEAD"):
        request.putheader("Content-Length", str(len(body)))
    request.endheaders()
    if not has_body:
        return True
    pieces = (body,) if isinstance(body, bytes | memoryview) else body
    is_whole = all(_write_piece(connection.sock, piece, terms) for piece in pieces)
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)
    return is_whole


def _write_piece(sock, piece, terms):
    """Write a piece of a body; tell whether it left before the answer began."""
    if len(piece) <= AT_ONCE_BYTES:
        sock.sendall(piece)
        return True
    view = memoryview(piece)
    while view:
        ready = await_ready(sock, select.POLLIN | select.POLLOUT, terms)
        if ready & ~select.POLLOUT:
            return False
        view = view[sock.send(view[:PIECE_BYTES], socket.MSG_DONTWAIT) :]
    return True


def await_ready(sock, events, terms):
    """Wait for events of a poll and return those that came.

    Raise CallAbandonedError once nobody waits for the answer, TimeoutError at the
    deadline.
    """
    poll = select.poll()
    poll.register(sock, events)
    while True:
        left = seconds_left(terms.deadline)
        ready = poll.poll(min(left, ABANDON_CHECK_SECONDS) * MILLISECONDS)
        if ready:
            return ready[0][1]
        if terms.is_abandoned is not None and terms.is_abandoned():
            raise CallAbandonedError(
                "nobody waits for the answer; ask again if it is still wanted"
            )
        if left <= MIN_TIMEOUT_SECONDS:
            raise TimeoutError


def read_whole(response, method, may_end_by_close):
    """Return the HttpAnswer of a response, raise when it did not come whole."""
    content = response.read()
    is_bodiless = method == "HEAD" or response.status in BODILESS_STATUSES
    is_framed = response.chunked or response.getheader("Content-Length") is not None
    if not is_framed and not is_bodiless and not may_end_by_close:
        raise http.client.HTTPException("the answer's end cannot be told from a cut")
    return HttpAnswer(response.status, tuple(response.getheaders()), content)


def has_input(sock):
    """Tell whether a connection can be read without waiting, an end included."""
    # An idle connection that is readable was closed by the server or carries a
    # late answer; neither may be used for another call.
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
