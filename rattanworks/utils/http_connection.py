"""One HTTP connection: requests written, answers read through one buffer."""

import http.client
import select
import socket
import time
from dataclasses import dataclass

from rattanworks.exceptions import AnswerTooLargeError, CallAbandonedError
from rattanworks.utils.answer_limits import AnswerReservation, collect
from rattanworks.utils.sockets import (
    DEFAULT_LIVENESS,
    apply_liveness,
    set_acknowledgement_timeout,
)

ABANDON_CHECK_SECONDS = 0.1
MILLISECONDS = 1000
# Bodies up to this size leave in one blocking write.
AT_ONCE_BYTES = 16 * 1024
PIECE_BYTES = 64 * 1024
# In bytes; for an answer's head with all interim ones before it: four times the
# head that operators let callers send (maxHeaderBytes, 16 KiB). The lines between
# and after the chunks of a body may take as much, and one byte for each of data.
LINES_BYTES = 64 * 1024
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
class RequestOptions:
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
    own buffer. It has the methods of a file that http.client uses. ``received``
    counts the bytes that came since the answer was awaited.
    """

    def __init__(self, sock):
        self._sock = sock
        self._buffer = bytearray()
        self._terms = None
        self._lines_left = 0
        self._next_check = 0.0
        self.received = 0

    def begin_answer(self, terms):
        """Read an answer from now on, under some RequestOptions."""
        # A wait for input precedes each read.
        self._sock.setblocking(False)
        self._terms = terms
        self._lines_left = LINES_BYTES
        self.received = 0

    def begin_body(self):
        """Read the answer's body from now on."""
        self._lines_left = LINES_BYTES

    @property
    def has_buffered(self):
        """Tell whether bytes were received that nobody has read."""
        return bool(self._buffer)

    def makefile(self, mode):
        """Return the file of an answer: always this reader."""
        return self

    def readline(self, limit):
        """Return a line of at most ``limit`` bytes, less when the stream ends.

        Raise AnswerTooLargeError when the lines have too many bytes.
        """
        limit = min(limit, self._lines_left + 1)
        end = self._buffer.find(b"\n", 0, limit)
        while end < 0 and len(self._buffer) < limit and self._receive():
            end = self._buffer.find(b"\n", 0, limit)
        line = self._take(limit if end < 0 else end + 1)
        self._lines_left -= len(line)
        if self._lines_left < 0:
            raise AnswerTooLargeError(
                f"the answer has more than {LINES_BYTES} bytes of lines outside its "
                "data; look at the server"
            )
        return line

    def read(self, size):
        """Return ``size`` bytes, less when the stream ends."""
        if size < 0:
            # What http.client makes of a chunk's size with a sign.
            raise http.client.HTTPException(f"a chunk has the size {size}")
        while len(self._buffer) < size and self._receive():
            pass
        content = self._take(size)
        self._lines_left += len(content)
        return content

    def _receive(self):
        """Wait for bytes and buffer them; tell whether there may be more."""
        if self.received:
            self._check_terms()
        await_ready(self._sock, select.POLLIN, self._terms)
        if not self.received:
            self._next_check = time.monotonic() + ABANDON_CHECK_SECONDS
        try:
            content = self._sock.recv(PIECE_BYTES)
        except BlockingIOError:
            return True
        self.received += len(content)
        self._buffer += content
        return bool(content)

    def _check_terms(self):
        """Raise at the deadline or when abandoned, as await_ready does."""
        now = time.monotonic()
        if now >= self._terms.deadline:
            raise TimeoutError
        if now >= self._next_check:
            self._next_check = now + ABANDON_CHECK_SECONDS
            require_wanted(self._terms)

    def _take(self, size):
        content = bytes(memoryview(self._buffer)[:size])
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
        apply_liveness(self.sock, DEFAULT_LIVENESS)
        self.reader = Reader(self.sock)
        self.is_reused = False
        self.usable_until = float("inf")
        self._is_lenient = False
        self._host = host
        self._port = port

    def new_request(self):
        """Return an object of http.client that writes one request."""
        request = http.client.HTTPConnection(self._host, self._port)
        request.sock = self.sock
        return request

    def next_response(self, method, terms):
        """Return the next response, its head read under some RequestOptions."""
        self.reader.begin_answer(terms)
        response = http.client.HTTPResponse(self.reader, method=method)
        response.begin()
        self.reader.begin_body()
        return response

    def set_unread_timeout(self, seconds):
        """Let the server leave a long body unread for so long."""
        self._is_lenient = True
        set_acknowledgement_timeout(
            self.sock, max(seconds, DEFAULT_LIVENESS.acknowledged_seconds)
        )

    def rest(self):
        """Notice as soon as usual, from now on, that the server went silent."""
        if self._is_lenient:
            self._is_lenient = False
            set_acknowledgement_timeout(
                self.sock, DEFAULT_LIVENESS.acknowledged_seconds
            )

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
    if len(body) > AT_ONCE_BYTES:
        # A server that is at work on the part that it has reads the rest later.
        connection.set_unread_timeout(seconds_left(terms.deadline))
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
    longest = float("inf") if terms.is_abandoned is None else ABANDON_CHECK_SECONDS
    while True:
        left = seconds_left(terms.deadline)
        ready = poll.poll(min(left, longest) * MILLISECONDS)
        if ready:
            return ready[0][1]
        require_wanted(terms)
        if left <= MIN_TIMEOUT_SECONDS:
            raise TimeoutError


def require_wanted(terms):
    """Raise CallAbandonedError when nobody waits for the answer any longer."""
    if terms.is_abandoned is not None and terms.is_abandoned():
        raise CallAbandonedError(
            "nobody waits for the answer; ask again if it is still wanted"
        )


def read_whole(response, method, may_end_by_close, bounds):
    """Return the HttpAnswer of a response; raise an HTTPException if it is cut.

    Raise AnswerTooLargeError or NoRoomForAnswerError when the body does not fit
    within ``bounds``.
    """
    room = AnswerReservation(bounds)
    room.require_allowed(response.length or 0)
    content = collect(_pieces_of(response), room)
    is_bodiless = method == "HEAD" or response.status in BODILESS_STATUSES
    is_framed = response.chunked or response.getheader("Content-Length") is not None
    if not is_framed and not is_bodiless and not may_end_by_close:
        raise http.client.HTTPException("the answer's end cannot be told from a cut")
    return HttpAnswer(response.status, tuple(response.getheaders()), content)


def _pieces_of(response):
    while piece := response.read(PIECE_BYTES):
        yield piece
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)


def has_input(sock):
    """Tell whether a connection can be read without waiting, an end included."""
    # An idle connection that is readable was closed by the server or carries a
    # late answer; neither may be used for another call.
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
