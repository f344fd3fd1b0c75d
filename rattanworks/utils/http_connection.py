"""One HTTP connection: writes requests and reads answers through one buffer."""

import http.client
import select
import socket
import time
from dataclasses import dataclass

from rattanworks.exceptions import AnswerTooLargeError, CallAbandonedError
from rattanworks.utils.http_answers import MAX_SHOWN_BYTES, PIECE_BYTES, read_head
from rattanworks.utils.sockets import (
    DEFAULT_LIVENESS,
    apply_liveness,
    set_acknowledgement_timeout,
)
from rattanworks.utils.turns import end_turn

ABANDON_CHECK_SECONDS = 0.1
MILLISECONDS_PER_SECOND = 1000
# Bodies up to this size are sent with one blocking write.
SINGLE_WRITE_BYTES = 16 * 1024
# Limit of an answer's head together with all interim heads before it: four times
# the request head that operators allow (maxHeaderBytes, 16 KiB). The size lines and
# trailers of a chunked body may take as much again, plus one byte per byte of data.
MAX_LINES_BYTES = 64 * 1024
# Used when a server does not announce how long it keeps idle connections.
DEFAULT_IDLE_SECONDS = 300.0
MIN_TIMEOUT_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """How one request is sent and its answer awaited.

    ``deadline`` is in seconds of time.monotonic(). Without ``may_reuse`` the
    request is sent on a new connection. ``is_abandoned()`` returns whether the caller
    no longer waits. ``is_own_answer(answer)`` returns whether an
    HttpAnswer belongs to the request; with ``skips_other_answers`` an answer that does
    not is dropped and the next one awaited. With ``may_end_by_close`` an answer
    without a length is complete when its connection ends cleanly. With
    ``has_host_header`` the headers contain the Host header to send.
    """

    deadline: float
    may_reuse: bool = True
    is_abandoned: object = None
    is_own_answer: object = None
    skips_other_answers: bool = False
    may_end_by_close: bool = False
    has_host_header: bool = False


class Reader:
    """Reads a connection through one buffer that is kept from answer to answer.

    Bytes that a server sends after an answer are noticed this way; http.client
    would discard them with its buffer of that answer. ``received`` counts the bytes
    received since begin_answer.
    """

    def __init__(self, sock):
        self._sock = sock
        self._buffer = bytearray()
        self._options = None
        self._line_bytes_left = 0
        self._has_begun = False
        self._next_check = 0.0
        self.received = 0

    def begin_answer(self, options):
        """Start reading an answer with some RequestOptions."""
        # Each read polls for input first.
        self._sock.setblocking(False)
        self._options = options
        self._line_bytes_left = MAX_LINES_BYTES
        self._has_begun = False
        self.received = 0

    def begin_body(self):
        """Start reading the answer's body."""
        self._line_bytes_left = MAX_LINES_BYTES

    @property
    def has_buffered(self):
        """Return whether bytes were received but not read yet."""
        return bool(self._buffer)

    def readline(self, limit=MAX_LINES_BYTES + 1):
        """Return a line, nothing when the stream ends before the answer.

        Raise AnswerTooLargeError when the answer's lines exceed MAX_LINES_BYTES, and
        IncompleteRead when no line end comes within ``limit`` bytes.
        """
        limit = min(limit, self._line_bytes_left + 1)
        end = self._buffer.find(b"\n", 0, limit)
        while end < 0 and len(self._buffer) < limit and self._receive():
            end = self._buffer.find(b"\n", 0, limit)
        line = self._take(limit if end < 0 else end + 1)
        self._line_bytes_left -= len(line)
        if self._line_bytes_left < 0:
            raise AnswerTooLargeError(
                f"the answer has more than {MAX_LINES_BYTES} bytes of lines outside "
                "its data; look at the server"
            )
        # http.client takes the end of the stream for the end of a head or of trailers.
        if end < 0 and (line or self._has_begun):
            raise http.client.IncompleteRead(line[:MAX_SHOWN_BYTES])
        self._has_begun = True
        return line

    def read(self, size):
        """Return ``size`` bytes, fewer at the end of the stream."""
        while len(self._buffer) < size and self._receive():
            pass
        content = self._take(size)
        self._line_bytes_left += len(content)
        return content

    def _receive(self):
        """Wait for bytes and buffer them; return False at the end of the stream."""
        if self.received:
            self._check_deadline()
        await_ready(self._sock, select.POLLIN, self._options)
        if not self.received:
            self._next_check = time.monotonic() + ABANDON_CHECK_SECONDS
        try:
            content = self._sock.recv(PIECE_BYTES)
        except BlockingIOError:
            return True
        self.received += len(content)
        self._buffer += content
        return bool(content)

    def _check_deadline(self):
        """Raise at the deadline or when the call is abandoned.

        await_ready checks this only while no bytes arrive.
        """
        now = time.monotonic()
        if now >= self._options.deadline:
            raise TimeoutError
        if now >= self._next_check:
            self._next_check = now + ABANDON_CHECK_SECONDS
            raise_if_abandoned(self._options)

    def _take(self, size):
        content = bytes(memoryview(self._buffer)[:size])
        del self._buffer[:size]
        return content


class Connection:
    """One connection: its socket and its read buffer."""

    def __init__(self, host, port, timeout):
        self.sock = socket.create_connection((host, port), timeout)
        apply_liveness(self.sock, DEFAULT_LIVENESS)
        self.reader = Reader(self.sock)
        self.is_reused = False
        self.answers_received = 0
        self.usable_until = float("inf")
        self._has_long_unread_timeout = False
        self._host = host
        self._port = port

    def new_request(self):
        """Return an http.client connection that writes one request to the socket."""
        request = http.client.HTTPConnection(self._host, self._port)
        request.sock = self.sock
        return request

    def next_response(self, method, options):
        """Return the next response after its head was read."""
        self.reader.begin_answer(options)
        response = read_head(self.reader, method)
        self.reader.begin_body()
        self.answers_received += 1
        return response

    def set_unread_timeout(self, seconds):
        """Set for how many seconds the server may leave a long body unread."""
        self._has_long_unread_timeout = True
        set_acknowledgement_timeout(
            self.sock, max(seconds, DEFAULT_LIVENESS.acknowledged_seconds)
        )

    def reset_unread_timeout(self):
        """Restore the default, so that a silent server is noticed soon again."""
        if self._has_long_unread_timeout:
            self._has_long_unread_timeout = False
            set_acknowledgement_timeout(
                self.sock, DEFAULT_LIVENESS.acknowledged_seconds
            )

    def close(self):
        """Close the connection."""
        self.sock.close()


def seconds_left(deadline):
    """Return the seconds until ``deadline``, at least MIN_TIMEOUT_SECONDS."""
    return max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic())


def idle_seconds(answer):
    """Return for how many seconds the server keeps an idle connection open."""
    for part in answer.header("keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return DEFAULT_IDLE_SECONDS


def write_request(connection, method, target, headers, body, options):
    """Write a request; return whether all of it was sent before the answer began."""
    has_body = len(body) > 0
    if has_body:
        end_turn()
        # Headers and body share a packet where they fit.
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
    request = connection.new_request()
    request.putrequest(
        method, target, skip_host=options.has_host_header, skip_accept_encoding=True
    )
    for name, value in headers:
        request.putheader(name, value)
    if has_body or method not in ("GET", "HEAD"):
        request.putheader("Content-Length", str(len(body)))
    request.endheaders()
    if not has_body:
        return True
    if len(body) > SINGLE_WRITE_BYTES:
        # A server may process the first part of a body before it reads the rest.
        connection.set_unread_timeout(seconds_left(options.deadline))
    pieces = (body,) if isinstance(body, bytes | memoryview) else body
    is_whole = all(_write_piece(connection.sock, piece, options) for piece in pieces)
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)
    return is_whole


def _write_piece(sock, piece, options):
    """Write a piece of a body; return whether it was sent before the answer began."""
    if len(piece) <= SINGLE_WRITE_BYTES:
        sock.sendall(piece)
        return True
    view = memoryview(piece)
    while view:
        ready = await_ready(sock, select.POLLIN | select.POLLOUT, options)
        if ready & ~select.POLLOUT:
            return False
        view = view[sock.send(view[:PIECE_BYTES], socket.MSG_DONTWAIT) :]
    return True


def await_ready(sock, events, options):
    """Wait for poll events on a socket and return those that occurred.

    Raise CallAbandonedError once the caller no longer waits for the answer, and
    TimeoutError at the deadline.
    """
    poll = select.poll()
    poll.register(sock, events)
    end_turn()
    max_wait = float("inf") if options.is_abandoned is None else ABANDON_CHECK_SECONDS
    while True:
        left = seconds_left(options.deadline)
        ready = poll.poll(min(left, max_wait) * MILLISECONDS_PER_SECOND)
        if ready:
            return ready[0][1]
        raise_if_abandoned(options)
        if left <= MIN_TIMEOUT_SECONDS:
            raise TimeoutError


def raise_if_abandoned(options):
    """Raise CallAbandonedError when the caller no longer waits for the answer."""
    if options.is_abandoned is not None and options.is_abandoned():
        raise CallAbandonedError(
            "nobody waits for the answer; ask again if it is still wanted"
        )


def has_input(sock):
    """Return whether a read would not block, also at the end of the stream."""
    # An idle connection that is readable was closed by the server or carries a
    # late answer; neither may be used for another call.
    if sock is None:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
