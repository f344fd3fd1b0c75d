"""Waitress parts: bodies within a memory budget, small answers in one write."""

import contextlib
import functools
import operator
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import WSGITask
from waitress.utilities import Error

from rattanworks.utils.answer_limits import LARGE_BODY_BYTES, RESERVATION_STEP_BYTES
from rattanworks.utils.delays import REQUEST, WorkDelays
from rattanworks.utils.logging import log_event
from rattanworks.utils.memory_budget import Reservation
from rattanworks.utils.sockets import is_closed_by_peer
from rattanworks.utils.turns import Turns
from rattanworks.utils.wsgi import encode_last_response, path_of

MAX_JOINED_BYTES = 64 * 1024
# Answers of which no more than this is unsent reserve nothing. All connections of a
# server together then hold 32 MB at most.
SMALL_UNSENT_BYTES = 16 * 1024
RETRY_AFTER_SECONDS = 2
# Above this number each answer closes its connection. It is half of the server's
# limit, at which new connections would wait without being accepted.
MAX_KEEP_ALIVE_CONNECTIONS = 1000
HAS_LEFT_KEY = "rattanworks.has_left"
RECEIVED_AT_KEY = "rattanworks.received_at"
ANSWER_BY_KEY = "rattanworks.answer_by"
IS_REFUSED_KEY = "rattanworks.is_refused"
# Key under which waitress stores the X-Request-Id header.
REQUEST_ID_FIELD = "X_REQUEST_ID"


class BusyError(Error):
    """Answers a request whose body does not fit into the memory budget."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident=None):
        """Return status, headers and body."""
        status, headers, body = super().to_response(ident)
        extra = [
            ("Retry-After", str(RETRY_AFTER_SECONDS)),
            ("X-Request-Outcome", "not-run"),
        ]
        return status, [*headers, *extra], body


@dataclass(frozen=True, slots=True)
class ParserSettings:
    """A copy of the waitress settings that the parser uses; sizes are in bytes."""

    max_request_header_size: int
    max_request_body_size: int
    inbuf_overflow: int
    url_scheme: str

    @classmethod
    def of(cls, adjustments):
        """Return a copy of the current settings."""
        return cls(
            adjustments.max_request_header_size,
            adjustments.max_request_body_size,
            adjustments.inbuf_overflow,
            adjustments.url_scheme,
        )


class BoundedRequestParser(HTTPRequestParser):
    """Reserves memory for large bodies.

    A body of known length is reserved whole before it arrives, a chunked one in
    steps. ``received_at`` and ``completed_at`` are the monotonic times of the first
    and the last byte, ``head_timed_since`` the start of the time limit for the head.
    """

    budget = None
    # Waitress sets no path for a request whose head it cannot read.
    path = ""

    def __init__(self, adj):
        # A copy, since the limits may change while the request arrives.
        super().__init__(ParserSettings.of(adj))
        self.received_at = self.head_timed_since = time.monotonic()
        self.completed_at = self.received_at
        # Waitress does not close a request whose connection ends during its body:
        # then the reservation is released with the parser.
        self._reservation = Reservation(self.budget)

    def received(self, data):
        """Parse bytes and return how many were consumed."""
        consumed = super().received(data)
        if self.error is None and not self._reserve_enough():
            self.error = BusyError("too many large bodies at once: ask again later")
            self.expect_continue = False
            self.completed = True
        if self.completed:
            self.completed_at = time.monotonic()
        return consumed

    def _reserve_enough(self):
        if self.chunked:
            needed = self.body_bytes_received
            step = RESERVATION_STEP_BYTES
        else:
            needed = step = self.content_length
        if needed <= max(LARGE_BODY_BYTES, self._reservation.size):
            return True
        return self._reservation.try_add(step)

    def close(self):
        """Free the body and its reservation."""
        # A traceback may still hold a view of the body, which is then freed later.
        with contextlib.suppress(BufferError):
            super().close()
        self._reservation.release()


class SingleWriteTask(WSGITask):
    """Writes the head and a small body at once; closes connections while draining.

    A connection is closed after the answer to the last request that was read from
    it.
    """

    def get_environment(self):
        """Return the WSGI environment with this module's own keys added."""
        environ = super().get_environment()
        environ[RECEIVED_AT_KEY] = self.request.received_at
        environ[HAS_LEFT_KEY] = self._has_disconnected
        environ[IS_REFUSED_KEY] = self.channel.is_refusing
        environ[ANSWER_BY_KEY] = functools.partial(self.channel.answer_by, self.request)
        return environ

    def _has_disconnected(self):
        # After a pause of the process, requests of callers that have disconnected
        # meanwhile are read before the end of their connections.
        return is_closed_by_peer(self.channel.socket)

    def build_response_header(self):
        """Return the response's head; let the connection close after it if due."""
        if self._should_close() and not self._has_next_request():
            self.set_close_on_finish()
        return super().build_response_header()

    def _should_close(self):
        server = self.channel.server
        return (
            server.is_draining
            or len(server.active_channels) > MAX_KEEP_ALIVE_CONNECTIONS
        )

    def _has_next_request(self):
        # Closing would drop the requests that are already read.
        return len(self.channel.requests) > 1

    def write(self, data):
        """Write a part of the body, preceded by the head if it is the first.

        An answer to HEAD has the head only.
        """
        if self.request.command == "HEAD":
            data = b""
        is_first = not self.wrote_header and self.complete
        is_plain = (
            self.content_length == len(data) and 0 < len(data) <= MAX_JOINED_BYTES
        )
        if not (is_first and is_plain and self.has_body):
            super().write(data)
            return
        head = self.build_response_header()
        self.wrote_header = True
        self.content_bytes_written = len(data)
        self.channel.write_soon(head + data)


class BoundedChannel(HTTPChannel):
    """Keeps the answers that callers have not read yet within a memory budget.

    A caller that reads slowly holds no thread and no memory of others: when there is
    no room, the connections whose callers have not read for longest are closed.
    """

    budget = None
    delays = WorkDelays()
    # Id of the latest request that was served, for the log.
    served_request_id = ""

    def __init__(self, *arguments, **options):
        self._unsent = Reservation(self.budget)
        super().__init__(*arguments, **options)

    def service(self):
        """Serve the next request and reserve memory for what is unsent of its answer.

        Making room closes connections, which only the thread that reads may do.
        """
        request = self.requests[0]
        self.served_request_id = request.headers.get(REQUEST_ID_FIELD, "")
        delay = time.monotonic() - request.completed_at
        self.delays.record(REQUEST, delay, self.served_request_id)
        super().service()
        if not self._has_room():
            self.server.trigger.pull_trigger(self._make_room)
        self._wake_loop()

    def write_soon(self, data):
        """Write a part of an answer."""
        size = super().write_soon(data)
        self._wake_loop()
        return size

    def _wake_loop(self):
        """Let the thread that reads do what this one cannot: send the rest, close."""
        if self.server.loop.is_changed(self):
            self.server.loop.mark_changed(self)
            self.server.trigger.pull_trigger()

    def _has_room(self):
        with self.outbuf_lock:
            return not self.has_unsent or self._unsent.try_cover(self.total_outbufs_len)

    @property
    def has_unsent(self):
        """Return whether more of an answer is unsent than may stay unreserved."""
        return self.connected and self.total_outbufs_len > SMALL_UNSENT_BYTES

    def _make_room(self):
        while not self._has_room():
            channels = list(self.server.active_channels.values())
            unsent = [channel for channel in channels if channel.has_unsent]
            min(unsent, key=operator.attrgetter("last_activity")).cut_unsent()

    def cut_unsent(self):
        """Close the connection of a caller that reads too slowly."""
        log_event(
            "slow-reader-cut",
            request_id=self.served_request_id,
            unsent_bytes=self.total_outbufs_len,
            stalled_seconds=round(time.time() - self.last_activity, 3),
        )
        self.handle_close()

    def handle_write(self):
        """Send what the caller takes; release the memory when all is sent."""
        super().handle_write()
        with self.outbuf_lock:
            if not self.total_outbufs_len:
                self._unsent.release()

    def handle_close(self):
        """Close the connection and release the memory."""
        super().handle_close()
        with self.outbuf_lock:
            self._unsent.release()


class TimedChannel(BoundedChannel):
    """Answers calls that are overdue; logs each that is unanswered when it closes.

    The default ``close_reason`` mostly means that the caller disconnected; code
    that closes the channel for another reason sets it.
    """

    task_class = SingleWriteTask
    close_reason = "socket-error"
    # Set when an answer begins: its request stays in ``requests`` until it is sent.
    is_answering = False
    # Whether the thread that reads has answered in place of the one that serves.
    is_answered_instead = False
    # Whether the application is to refuse the request that it gets now.
    is_refusing = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.opened_at = time.monotonic()
        self._answer_lock = threading.Lock()

    def answer_by(self, request, deadline, build_response):
        """Answer with ``build_response()`` if no answer has begun by a monotonic time.

        The thread that reads does so, whatever the one that serves waits for. The
        answer closes the connection; a connection with a further request is left to
        the thread that serves.
        """
        is_too_late = self.server.due_answers.add(
            request,
            deadline,
            functools.partial(self._answer_instead, request, build_response),
        )
        if is_too_late:
            self.server.trigger.pull_trigger()

    def _answer_instead(self, request, build_response):
        with self._answer_lock:
            is_current = self.connected and self.requests == [request]
            if self.is_answering or not is_current:
                return
            self.is_answering = self.is_answered_instead = True
        log_event(
            "call-overdue",
            request_id=self.served_request_id,
            path=request.path,
            seconds=round(time.monotonic() - request.received_at, 3),
        )
        with contextlib.suppress(ClientDisconnected):
            super().write_soon(encode_last_response(build_response()))
        self.close_when_flushed = True
        self._wake_loop()

    def write_soon(self, data):
        """Write a part of an answer, unless the request has been answered already."""
        with self._answer_lock:
            if self.is_answered_instead:
                raise ClientDisconnected
            self.is_answering = True
        return super().write_soon(data)

    def service(self):
        """Serve the next request."""
        self.is_answering = False
        request = self.requests[0]
        try:
            super().service()
        finally:
            self.server.due_answers.discard(request)

    def handle_close(self):
        """Close the connection, or let the thread that reads close it."""
        if not self.server.loop.is_own_thread:
            self.will_close = True
            self._wake_loop()
            return
        requests = self.requests
        with self.outbuf_lock:
            is_answered = self.is_answering and not self.total_outbufs_len
        if self.connected and requests and not is_answered:
            request = requests[0]
            log_event(
                "call-cut",
                request_id=request.headers.get(REQUEST_ID_FIELD, ""),
                path=request.path,
                reason=self.close_reason,
                seconds=round(time.monotonic() - request.received_at, 3),
            )
        super().handle_close()


@dataclass(frozen=True, slots=True)
class RequestOrder:
    """The Turns in which requests begin.

    ``rank_of(headers, path)`` returns the rank of a request, from 0 on, the lowest
    first; ``headers`` has waitress's names.
    """

    turns: Turns
    rank_of: Callable[[dict, str], int]


class OrderedChannel(TimedChannel):
    """Begins requests in their turn, and refuses those that come during a backlog.

    The thread that reads refuses them itself: a refusal costs no other thread.
    """

    turns = None
    rank_of = None
    # Whether the thread that reads is to refuse the next request.
    refuses_next = False

    @property
    def rank(self):
        """Return the rank of the next request among those that wait to begin."""
        request = self.requests[0]
        if request.error:
            return 0
        path = path_of({"PATH_INFO": request.path})
        return self.rank_of(request.headers, path)

    @property
    def is_beyond_backlog(self):
        """Return whether the next request is to be refused at once."""
        return self.turns.waiting and self.turns.is_backlogged(self.rank)

    def handle_read(self):
        """Read; answer a request that is refused."""
        super().handle_read()
        while self.refuses_next and self.requests:
            self.refuses_next, self.is_refusing = False, True
            super().service()

    def service(self):
        """Serve the next request in its turn, refuse it if that does not come."""
        with self.turns.turn(self.rank) as has_turn:
            self.is_refusing = not has_turn
            super().service()


def channel_class(budget, delays=None, order=None):
    """Return a channel class whose bodies and unsent answers fit into ``budget``.

    ``delays``, WorkDelays or None, records how late requests are handled. With
    ``order``, a RequestOrder or None, requests begin in their turn.
    """
    parser = type("Parser", (BoundedRequestParser,), {"budget": budget})
    attributes = {"parser_class": parser, "budget": budget}
    if delays is not None:
        attributes["delays"] = delays
    if order is None:
        return type("Channel", (TimedChannel,), attributes)
    attributes |= {"turns": order.turns, "rank_of": staticmethod(order.rank_of)}
    return type("Channel", (OrderedChannel,), attributes)
