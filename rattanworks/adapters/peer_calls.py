"""Sends calls to owner nodes over pooled connections that carry frames."""

import threading

from rattanworks.adapters.peer_clock import CLOCK_REQUEST, ClockOffset, decode_clock
from rattanworks.adapters.peer_messages import (
    CROSS_DOMAIN_INLINE_BODY_BYTES,
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
from rattanworks.utils.delays import ANSWER, TIMER, WorkDelays
from rattanworks.utils.frames import connect_frames
from rattanworks.utils.turns import end_turn

# A running host accepts within milliseconds; one without power never answers, and
# the call still has to reach another endpoint before its deadline.
CONNECT_SECONDS = 0.25
ANSWER_GRACE_SECONDS = 0.05
ABANDON_CHECK_SECONDS = 0.1
MAX_IDLE_PER_PEER = 32
# A short answer takes two reads, of its size and of its content. If the bytes have
# arrived, they are read without a check of the deadline, however late it is.
READS_OF_SHORT_ANSWER = 2
# Fits into the send buffer of a connection on which nothing else is unsent.
SENT_AT_ONCE_BYTES = 16 * 1024


class DeadlineExceededError(TimeoutError):
    """The other side did not send or read a whole message in time."""


class DeadlineWait:
    """Waits for a node's connection until a deadline or until the call is abandoned.

    It is called before each read or write, and also limits an exchange in which
    bytes keep coming. ``poll(seconds)`` waits and returns whether the connection
    can be read, or written; ``until`` is in seconds of ``clock``. Raise
    DeadlineExceededError or CallAbandonedError.
    """

    def __init__(self, poll, clock, until, is_abandoned=return_false, delays=None):
        self._poll = poll
        self._clock = clock
        self._until = until
        self._is_abandoned = is_abandoned
        self._delays = delays or WorkDelays()
        self._next_check = 0.0
        self._reads = 0

    def __call__(self):
        """Return when the connection can be read, or written."""
        while not self._wait_once():
            self._check_deadline(self._clock.monotonic())
            self._check_abandoned()
        self._reads += 1
        if self._reads > READS_OF_SHORT_ANSWER:
            self._check_during_transfer()

    def _wait_once(self):
        seconds = max(0.0, self._seconds_to_next_check())
        due = self._clock.monotonic() + seconds
        end_turn()
        is_ready = self._poll(seconds)
        if not is_ready:
            self._delays.record(TIMER, self._clock.monotonic() - due)
        return is_ready

    def _check_during_transfer(self):
        now = self._clock.monotonic()
        self._check_deadline(now)
        if now >= self._next_check:
            self._next_check = now + ABANDON_CHECK_SECONDS
            self._check_abandoned()

    def _seconds_to_next_check(self):
        return min(ABANDON_CHECK_SECONDS, self._until - self._clock.monotonic())

    def _check_deadline(self, now):
        if now >= self._until:
            raise DeadlineExceededError("the node accepts but does not answer")

    def _check_abandoned(self):
        if self._is_abandoned():
            raise CallAbandonedError("the caller has gone; nothing to do")


class FramePeerCalls(PeerCalls):
    """Sends each call on a pooled connection that no other call uses meanwhile.

    ``failure_domain`` is this node's, empty when it is not known; sending bodies
    within it costs little. ``bounds`` are the AnswerBounds of owners' answers.
    ``connect_seconds`` limits the time until a new connection may be used. ``delays``
    records how late answers and ends of waits are handled.
    """

    def __init__(
        self,
        sender,
        clock,
        failure_domain="",
        bounds=None,
        connect_seconds=CONNECT_SECONDS,
        delays=None,
    ):
        self._sender = sender
        self._delays = delays or WorkDelays()
        self._failure_domain = failure_domain
        self._clock = clock
        self._bounds = bounds or AnswerBounds()
        self._connect_seconds = connect_seconds
        self._idle_by_address = {}
        self._lock = threading.Lock()

    def dispatch(self, record, call):
        """Send the call to the node of ``record`` and return its Answer."""
        left = call.deadline - self._clock.monotonic()
        if left <= 0:
            return refusal(504, "deadline passed before the call was sent")
        connection, offset = self._take(record.peers_address, left)
        if self._clock.monotonic() >= call.deadline:
            self._put_back(record.peers_address, connection, offset)
            return refusal(504, "deadline passed before the call was sent")
        is_clean = False
        try:
            answer = self._exchange(connection, offset, record, call)
            is_clean = True
        except DeadlineExceededError as error:
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
                self._put_back(record.peers_address, connection, offset)
            else:
                connection.close()
        return answer

    def _exchange(self, connection, offset, record, call):
        parts = encode_call(
            call, self._sender, record, offset.to_owner_time, self._inline_bytes(record)
        )
        if len(parts[1]) > SENT_AT_ONCE_BYTES:
            end_turn()
        connection.send_parts(*parts)
        message, body = self._receive(connection, offset, call)
        if message.status == PROCEED_STATUS:
            message, body = self._send_body(connection, offset, call)
        return answer_of(message, body)

    def _send_body(self, connection, offset, call):
        """Send a long body as fast as its backend server reads; return the answer.

        Until the answer has come, sent bytes may stay unacknowledged up to the
        call's deadline, as they do when the server reads slowly. A host that goes
        silent is therefore noticed only at the deadline.
        """
        wait = self._deadline_wait(connection.wait_until_writable, call)
        connection.set_unread_timeout(call.deadline - self._clock.monotonic())
        for piece in pieces_of(call.body):
            connection.send(piece, wait)
        answer = self._receive(connection, offset, call)
        connection.set_unread_timeout(0.0)
        return answer

    def _inline_bytes(self, record):
        """Return the size up to which a body is sent along with its call.

        Load pattern: overload, in which most calls that leave their failure domain
        are refused there; the body of a refused call need not be sent.
        """
        is_cross_domain = self._failure_domain not in ("", record.failure_domain)
        return CROSS_DOMAIN_INLINE_BODY_BYTES if is_cross_domain else INLINE_BODY_BYTES

    def _receive(self, connection, offset, call):
        wait = self._deadline_wait(connection.wait, call)
        head, body = connection.parts_of(connection.receive(wait))
        message = decode_answer(head)
        if message.request_id != call.request_id:
            raise CallOutcomeUnknownError(
                f"the owner answered request {message.request_id}; "
                "repeat the call only if it is idempotent"
            )
        now = self._clock.monotonic()
        offset.add_sample(message.owner_time, now)
        delay = now - offset.to_own_time(message.owner_time)
        self._delays.record(ANSWER, delay, call.request_id)
        if message.body_size:
            body = self._receive_body(connection, message.body_size, wait)
        return message, body

    def _deadline_wait(self, poll, call):
        until = call.deadline + ANSWER_GRACE_SECONDS
        return DeadlineWait(poll, self._clock, until, call.is_abandoned, self._delays)

    def _receive_body(self, connection, size, wait):
        reservation = AnswerReservation(self._bounds)
        reservation.require_allowed(size)
        return collect(receive_body(connection, size, wait), reservation)

    def _take(self, address, left):
        while (entry := self._pop_idle(address)) is not None:
            connection, offset = entry
            # An idle connection is readable only if the peer has closed it. The lock
            # is free during system calls: all calls of the node need it.
            if not connection.wait(0):
                return connection, offset
            connection.close()
        return self._connect(address, min(left, self._connect_seconds))

    def _pop_idle(self, address):
        with self._lock:
            idle = self._idle_by_address.get(address)
            return idle.pop() if idle else None

    def _connect(self, address, timeout):
        connection = None
        end_turn()
        try:
            connection = connect_frames(address, timeout)
            connection.send(CLOCK_REQUEST)
            until = self._clock.monotonic() + timeout
            wait = DeadlineWait(connection.wait, self._clock, until)
            owner_time = decode_clock(connection.receive(wait))
            return connection, ClockOffset(owner_time, self._clock.monotonic())
        except (EOFError, OSError, DecodeError) as error:
            if connection is not None:
                connection.close()
            raise CallNotSentError(
                f"cannot connect to {address}: {error}; try another endpoint"
            ) from error

    def _put_back(self, address, connection, offset):
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            if len(idle) < MAX_IDLE_PER_PEER:
                idle.append((connection, offset))
                return
        connection.close()

    def close(self):
        """Close every idle connection."""
        with self._lock:
            groups, self._idle_by_address = self._idle_by_address, {}
        for idle in groups.values():
            for connection, _ in idle:
                connection.close()
