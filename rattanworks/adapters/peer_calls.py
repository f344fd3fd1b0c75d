"""Sends calls to owner nodes over pooled connections that carry frames."""

import threading

from rattanworks.adapters.peer_clock import CLOCK_REQUEST, ClockGap, decode_clock
from rattanworks.adapters.peer_messages import (
    FAR_INLINE_BODY_BYTES,
    INLINE_BODY_BYTES,
    PROCEED_STATUS,
    answer_of,
    decode_answer,
    encode_call,
    pieces_of,
    receive_body,
)
from rattanworks.exceptions import (
    CallAbandonedError,
    CallNotSentError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.model.call import refusal, return_false
from rattanworks.ports.base import PeerCalls
from rattanworks.utils.answer_limits import AnswerBounds, AnswerReservation, collect
from rattanworks.utils.codec import DecodeError
from rattanworks.utils.frames import connect_frames

# Hosts answer within milliseconds; one without power does not answer at all, and
# the call still has to reach another endpoint before its deadline.
CONNECT_SECONDS = 0.25
ANSWER_GRACE_SECONDS = 0.05
ABANDON_CHECK_SECONDS = 0.1
MAX_IDLE_PER_PEER = 32
# Size and content of a short answer: taken when they are there, however late.
READS_OF_SHORT_ANSWER = 2


class OverdueError(TimeoutError):
    """The other side did not send a whole message in time."""


class Patience:
    """Waits for a node up to a time, as long as somebody wants its answer.

    It is called before each read or write, and holds also while bytes move.
    ``wait(seconds)`` tells whether there is input, or room; ``until`` is in seconds
    of ``clock``. Raise OverdueError and CallAbandonedError.
    """

    def __init__(self, wait, clock, until, is_abandoned=return_false):
        self._wait = wait
        self._clock = clock
        self._until = until
        self._is_abandoned = is_abandoned
        self._next_check = 0.0
        self._reads = 0

    def __call__(self):
        """Return when there is input, or room."""
        while not self._wait(self._seconds_to_check()):
            self._require_time(self._clock.monotonic())
            self._require_wanted()
        self._reads += 1
        if self._reads > READS_OF_SHORT_ANSWER:
            self._check_busy()

    def _check_busy(self):
        now = self._clock.monotonic()
        self._require_time(now)
        if now >= self._next_check:
            self._next_check = now + ABANDON_CHECK_SECONDS
            self._require_wanted()

    def _seconds_to_check(self):
        return min(ABANDON_CHECK_SECONDS, self._until - self._clock.monotonic())

    def _require_time(self, now):
        if now >= self._until:
            raise OverdueError("the node accepts but does not answer")

    def _require_wanted(self):
        if self._is_abandoned():
            raise CallAbandonedError("the caller has gone; nothing to do")


class FramePeerCalls(PeerCalls):
    """Each call has a connection to itself while it runs.

    ``failure_domain`` is the own one, where bodies travel at little cost; empty
    when it is not known. ``bounds`` are the AnswerBounds of owners' answers.
    """

    def __init__(self, sender, clock, failure_domain="", bounds=None):
        self._sender = sender
        self._failure_domain = failure_domain
        self._clock = clock
        self._bounds = bounds or AnswerBounds()
        self._idle_by_address = {}
        self._lock = threading.Lock()

    def dispatch(self, record, call):
        """Send the call to the node of ``record`` and return its Answer."""
        left = call.deadline - self._clock.monotonic()
        if left <= 0:
            return refusal(504, "deadline passed before the call was sent")
        connection, gap = self._take(record.peers_address, left)
        is_clean = False
        try:
            answer = self._exchange(connection, gap, record, call)
            is_clean = True
        except OverdueError as error:
            raise CallTimedOutError(
                "the owner did not answer before the deadline; "
                "repeat the call only if it is idempotent"
            ) from error
        except (EOFError, OSError, DecodeError) as error:
            raise CallOutcomeUnknownError(
                f"the exchange with {record.node} broke: {error!r}; "
                "repeat the call only if it is idempotent"
            ) from error
        finally:
            if is_clean:
                self._put_back(record.peers_address, connection, gap)
            else:
                connection.close()
        return answer

    def _exchange(self, connection, gap, record, call):
        parts = encode_call(
            call, self._sender, record, gap.owner_time, self._inline_bytes(record)
        )
        connection.send_parts(*parts)
        message, body = self._receive(connection, gap, call)
        if message.status == PROCEED_STATUS:
            message, body = self._send_body(connection, gap, call)
        return answer_of(message, body)

    def _send_body(self, connection, gap, call):
        """Send a long body as fast as its backend server reads; return the answer.

        Until then the owner's host may leave bytes unacknowledged: a host that
        falls silent is noticed at the deadline.
        """
        patience = self._patience(connection.wait_until_writable, call)
        connection.set_unread_timeout(call.deadline - self._clock.monotonic())
        for piece in pieces_of(call.body):
            connection.send(piece, patience)
        answered = self._receive(connection, gap, call)
        connection.set_unread_timeout(0.0)
        return answered

    def _inline_bytes(self, record):
        """Return the size up to which a body goes with its call.

        Load pattern: overload, in which most calls that leave their failure domain
        are refused there; the body of a refused call need not travel.
        """
        is_far = self._failure_domain not in ("", record.failure_domain)
        return FAR_INLINE_BODY_BYTES if is_far else INLINE_BODY_BYTES

    def _receive(self, connection, gap, call):
        patience = self._patience(connection.wait, call)
        head, body = connection.parts_of(connection.receive(patience))
        message = decode_answer(head)
        if message.request_id != call.request_id:
            raise CallOutcomeUnknownError(
                f"the owner answered request {message.request_id}; "
                "repeat the call only if it is idempotent"
            )
        gap.note(message.owner_time, self._clock.monotonic())
        if message.body_size:
            body = self._receive_body(connection, message.body_size, patience)
        return message, body

    def _patience(self, wait, call):
        until = call.deadline + ANSWER_GRACE_SECONDS
        return Patience(wait, self._clock, until, call.is_abandoned)

    def _receive_body(self, connection, size, patience):
        room = AnswerReservation(self._bounds)
        room.require_allowed(size)
        return collect(receive_body(connection, size, patience), room)

    def _take(self, address, left):
        with self._lock:
            idle = self._idle_by_address.get(address, [])
            while idle:
                connection, gap = idle.pop()
                # Readable while idle means closed by the peer.
                if not connection.wait(0):
                    return connection, gap
                connection.close()
        return self._connect(address, min(left, CONNECT_SECONDS))

    def _connect(self, address, timeout):
        connection = None
        try:
            connection = connect_frames(address, timeout)
            connection.send(CLOCK_REQUEST)
            until = self._clock.monotonic() + timeout
            patience = Patience(connection.wait, self._clock, until)
            owner_time = decode_clock(connection.receive(patience))
            return connection, ClockGap(owner_time, self._clock.monotonic())
        except (EOFError, OSError, DecodeError) as error:
            if connection is not None:
                connection.close()
            raise CallNotSentError(
                f"cannot connect to {address}: {error}; try another endpoint"
            ) from error

    def _put_back(self, address, connection, gap):
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < MAX_IDLE_PER_PEER:
                idle.append((connection, gap))
                return
        connection.close()

    def close(self):
        """Close every idle connection."""
        with self._lock:
            groups, self._idle_by_address = self._idle_by_address, {}
        for idle in groups.values():
            for connection, _ in idle:
                connection.close()
