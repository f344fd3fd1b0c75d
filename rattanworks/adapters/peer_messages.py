"""Messages between entry and owner nodes on the peers listener.

Messages are encoded as arrays, because field names would take as many bytes as the
values. A frame consists of a head, which is the message, and a body if it is short.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from rattanworks.adapters.peer_clock import ClockTime
from rattanworks.model.call import Answer, Call, Headers, Outcome
from rattanworks.model.endpoint import Name
from rattanworks.model.route import RouteKind
from rattanworks.utils.codec import decode_binary, encode_binary

INLINE_BODY_BYTES = 64 * 1024
# A body for another failure domain that takes more bytes than the message that
# requests it is sent only once the call is admitted.
CROSS_DOMAIN_INLINE_BODY_BYTES = 512
PIECE_BYTES = 256 * 1024
PROCEED_STATUS = 100
MAX_BODY_BYTES = 2**40

Status = Annotated[int, Meta(ge=100, le=999)]
BodySize = Annotated[int, Meta(ge=0, le=MAX_BODY_BYTES)]
# Excludes NaN, with which no two loads or times can be compared.
NotNegative = Annotated[float, Meta(ge=0)]


class CallMessage(msgspec.Struct, frozen=True, array_like=True):
    """A call as the entry sends it to the owner.

    ``deadline`` and ``objective`` are in seconds of the owner's monotonic clock.
    A body above the inline limit of its path follows in pieces once the owner has
    answered with PROCEED_STATUS; ``body_size`` is its length then, else 0.
    """

    sender: str
    node: str
    incarnation: int
    request_id: str
    customer: str
    plan: str
    priority: int
    service: str
    version: str
    route: str
    method: str
    target: str
    headers: Headers
    deadline: ClockTime
    idempotency_key: str
    host: str = ""
    caller_service: str = ""
    objective: ClockTime = 0.0
    is_repeat: bool = False
    kind: RouteKind = RouteKind.BY_METHOD
    body_size: BodySize = 0
    fingerprint: Name = ""
    is_trial: bool = False


class AnswerMessage(msgspec.Struct, frozen=True, array_like=True):
    """An answer as the owner sends it to the entry; long bodies follow in pieces.

    ``owner_time`` is the owner's monotonic clock in seconds at sending.
    """

    request_id: str
    status: Status
    owner_time: ClockTime
    headers: Headers = ()
    outcome: Outcome = Outcome.DONE
    load: NotNegative = 0.0
    retry_after: NotNegative = 0.0
    reason: str = ""
    is_offered: bool = False
    body_size: BodySize = 0
    crashed_server: Name = ""


def encode_call(call, sender, record, to_owner_time, inline_bytes=INLINE_BODY_BYTES):
    """Return head and body of the frame with a call to the owner of ``record``.

    A body of more than ``inline_bytes`` is left out until the owner requests it.
    ``to_owner_time(own_time)`` converts a time of this node's clock to the owner's.
    """
    is_inline = len(call.body) <= inline_bytes
    head = encode_binary(
        CallMessage(
            sender=sender,
            node=record.node,
            incarnation=record.incarnation,
            request_id=call.request_id,
            customer=call.customer,
            plan=call.plan,
            priority=call.priority,
            service=call.service,
            version=call.version,
            route=call.route,
            method=call.method,
            target=call.target,
            headers=call.headers,
            deadline=to_owner_time(call.deadline),
            objective=to_owner_time(call.objective) if call.objective else 0.0,
            is_repeat=call.is_repeat,
            idempotency_key=call.idempotency_key,
            host=call.host,
            caller_service=call.caller_service,
            kind=call.kind,
            body_size=0 if is_inline else len(call.body),
            fingerprint=call.fingerprint,
            is_trial=call.is_trial,
        )
    )
    return head, bytes(call.body) if is_inline else b""


def decode_call(head):
    """Return the CallMessage in a frame's head; raise DecodeError."""
    return decode_binary(head, CallMessage)


def call_of(message, body, is_abandoned):
    """Return the Call that a message carries."""
    return Call(
        request_id=message.request_id,
        customer=message.customer,
        plan=message.plan,
        priority=message.priority,
        service=message.service,
        route=message.route,
        method=message.method,
        target=message.target,
        headers=message.headers,
        body=body,
        deadline=message.deadline,
        version=message.version,
        idempotency_key=message.idempotency_key,
        is_abandoned=is_abandoned,
        host=message.host,
        caller_service=message.caller_service,
        objective=message.objective,
        is_repeat=message.is_repeat,
        kind=message.kind,
        fingerprint=message.fingerprint,
        is_trial=message.is_trial,
    )


def encode_answer(request_id, answer, owner_time):
    """Return head and body of the frame with an answer to its entry."""
    is_inline = len(answer.body) <= INLINE_BODY_BYTES
    head = encode_binary(
        AnswerMessage(
            request_id=request_id,
            status=answer.status,
            owner_time=owner_time,
            headers=answer.headers,
            outcome=answer.outcome,
            load=answer.load,
            retry_after=answer.retry_after,
            reason=answer.reason,
            is_offered=answer.is_offered,
            body_size=0 if is_inline else len(answer.body),
            crashed_server=answer.crashed_server,
        )
    )
    return head, answer.body if is_inline else b""


def encode_proceed(request_id, owner_time):
    """Return head and body of the frame that requests a call's body from its entry."""
    head = encode_binary(AnswerMessage(request_id, PROCEED_STATUS, owner_time))
    return head, b""


def decode_answer(head):
    """Return the AnswerMessage in a frame's head; raise DecodeError."""
    return decode_binary(head, AnswerMessage)


def answer_of(message, body):
    """Return the Answer that a message carries."""
    return Answer(
        status=message.status,
        headers=message.headers,
        body=body,
        outcome=message.outcome,
        load=message.load,
        retry_after=message.retry_after,
        reason=message.reason,
        is_offered=message.is_offered,
        crashed_server=message.crashed_server,
    )


def pieces_of(body):
    """Yield a long body in pieces of PIECE_BYTES without copying it."""
    view = memoryview(body)
    for start in range(0, len(view), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


def receive_body(connection, size, wait=None):
    """Yield the pieces of a body of ``size`` bytes.

    ``wait`` is passed to FrameConnection.receive. Raise EOFError or OSError when
    the connection breaks, OSError when the pieces do not add up to ``size``.
    """
    left = size
    while left > 0:
        piece = connection.receive(wait)
        if not piece or len(piece) > left:
            raise OSError("the body does not have the announced length")
        left -= len(piece)
        yield piece
