"""A call on its way from a caller to a backend server, and its answer."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from rattanworks.model.route import RouteKind

Headers = tuple[tuple[str, str], ...]


class Outcome(enum.StrEnum):
    """What is known about the execution of a call."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
IDEMPOTENCE_BY_KIND = {
    RouteKind.IDEMPOTENT: True,
    RouteKind.NON_IDEMPOTENT: False,
    RouteKind.UPLOAD: False,
}


def return_false():
    """Tell that something is not so, whenever it is asked."""
    return False


def return_true(*facts):
    """Tell that something is so, whatever it is asked about."""
    return True


class StreamedBody:
    """A body of ``size`` bytes that still arrives; it can be iterated once."""

    def __init__(self, size, pieces):
        self.size = size
        self._pieces = pieces
        self.is_started = False
        self.is_finished = False

    def __len__(self):
        return self.size

    def __iter__(self):
        self.is_started = True
        # No "yield from": a reader that stops early must not close the source.
        for piece in self._pieces:  # noqa: UP028
            yield piece
        self.is_finished = True

    def drain(self):
        """Read and drop what a reader that began has left."""
        if self.is_started and not self.is_finished:
            for _ in self:
                pass


@dataclass(frozen=True, slots=True)
class Call:
    """A call that has been matched to a customer, a plan and a route.

    ``deadline`` is in seconds of the local monotonic clock. ``is_abandoned``
    tells whether nobody waits for the answer any longer; it may be called often.
    ``host`` is the one that the caller named. ``caller_service`` is the service
    of the host where the call began, empty when that is not known. ``objective``
    is the time until which an answer is worth most, on the same clock as the
    deadline, 0 for none. ``is_repeat`` tells that a backend server was sent the call
    before.
    """

    request_id: str
    customer: str
    plan: str
    priority: int
    service: str
    route: str
    method: str
    target: str
    headers: Headers
    body: bytes | memoryview | StreamedBody
    deadline: float
    version: str = ""
    idempotency_key: str = ""
    is_abandoned: Callable[[], bool] = return_false
    host: str = ""
    caller_service: str = ""
    objective: float = 0.0
    is_repeat: bool = False
    kind: RouteKind = RouteKind.BY_METHOD

    @property
    def is_idempotent(self):
        """Tell whether running the call twice does no harm.

        A key asks for one run, so that with one only safe methods count.
        """
        if self.idempotency_key:
            return self.method in SAFE_METHODS
        by_method = self.method in IDEMPOTENT_METHODS
        return IDEMPOTENCE_BY_KIND.get(self.kind, by_method)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call.

    ``load`` is the part of the owner's slots that a like call would now find taken,
    above 1 when calls would be in front of it in the queue; ``retry_after`` is in
    seconds, 0 for none. ``is_offered`` tells that the call was sent to a backend
    server, whatever became of it.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    outcome: Outcome = Outcome.DONE
    load: float = 0.0
    retry_after: float = 0.0
    reason: str = ""
    is_offered: bool = False


def refusal(status, reason, retry_after=0.0, load=0.0):
    """Return the answer to a call that provably did not run."""
    return Answer(
        status=status,
        headers=(("Content-Type", "text/plain; charset=utf-8"),),
        body=f"{reason}\n".encode(),
        outcome=Outcome.NOT_RUN,
        load=load,
        retry_after=retry_after,
        reason=reason,
    )


def unknown_outcome(status, reason, retry_after=0.0):
    """Return the answer to a call that may have run."""
    return Answer(
        status=status,
        headers=(("Content-Type", "text/plain; charset=utf-8"),),
        body=f"{reason}\n".encode(),
        outcome=Outcome.UNKNOWN,
        retry_after=retry_after,
        reason=reason,
        is_offered=True,
    )
