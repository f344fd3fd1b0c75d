"""Receives calls from entry nodes and passes them to the owner."""

from rattanworks.adapters.peer_clock import CLOCK_REQUEST, encode_clock
from rattanworks.adapters.peer_messages import (
    INLINE_BODY_BYTES,
    call_of,
    decode_call,
    encode_answer,
    encode_proceed,
    pieces_of,
    receive_body,
)
from rattanworks.model.call import StreamedBody
from rattanworks.utils.codec import DecodeError
from rattanworks.utils.logging import log_event
from rattanworks.utils.turns import PEERS_RANK, Turns, end_turn


class PeerListener:
    """Serves one message of a FrameConnection at a time.

    ``dispatch(message, call)`` returns the Answer; a long body is requested from
    the entry only when ``dispatch`` begins to read it. Calls begin in the order of
    ``turns``, by default turns of their own.
    """

    def __init__(self, dispatch, clock, turns=None):
        self._dispatch = dispatch
        self._clock = clock
        self._turns = turns or Turns()

    def __call__(self, connection):
        """Serve one message and return whether the connection may be kept."""
        frame = connection.receive()
        if frame == CLOCK_REQUEST:
            connection.send(encode_clock(self._clock))
            return True
        with self._turns.turn(PEERS_RANK):
            return self._serve(connection, frame)

    def _serve(self, connection, frame):
        try:
            head, body = connection.parts_of(frame)
            message = decode_call(head)
        except DecodeError as error:
            log_event("peer-message-unreadable", reason=str(error))
            return False
        if message.body_size:
            body = StreamedBody(
                message.body_size, self._stream_body(connection, message)
            )
        call = call_of(
            message,
            body,
            lambda: _is_closed_by_entry(connection, body),
        )
        answer = self._dispatch(message, call)
        if isinstance(body, StreamedBody):
            body.drain()
        self._send_answer(connection, message.request_id, answer)
        return True

    def _stream_body(self, connection, message):
        now = self._clock.monotonic()
        end_turn()
        connection.send_parts(*encode_proceed(message.request_id, now))
        yield from receive_body(connection, message.body_size)

    def _send_answer(self, connection, request_id, answer):
        now = self._clock.monotonic()
        connection.send_parts(*encode_answer(request_id, answer, now))
        if len(answer.body) > INLINE_BODY_BYTES:
            for piece in pieces_of(answer.body):
                connection.send(piece)


def _is_closed_by_entry(connection, body):
    # An entry that waits for its answer sends nothing: input means that it has closed.
    return _is_entry_waiting(body) and connection.wait(0)


def _is_entry_waiting(body):
    if not isinstance(body, StreamedBody):
        return True
    return body.is_finished or not body.is_started
