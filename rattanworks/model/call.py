"""Calls from callers to backend servers, and their answers."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from rattanworks.model.notice import ServerNotice
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
    RouteKind.DOWNLOAD: True,
}


def return_false():
    """Return False; used as a predicate that never holds."""
    return False


def return_true(*arguments):
    """Return True for any arguments; used as a predicate that always holds."""
    return True


class StreamedBody:
    """A body of ``size`` bytes that is still arriving; it can be iterated once."""

    def __init__(self, size, chunks):
        self.size = size
        self._chunks = chunks
        self.is_started = False
        self.is_finished = False

    def __len__(self):
        return self.size

    def __iter__(self):
        self.is_started = True
        # No "yield from": a reader that stops early must not close the source.
        for chunk in self._chunks:  # noqa: UP028
            yield chunk
        self.is_finished = True

    def drain(self):
        """Read and discard the rest of a body of which a reader has read a part."""
        if self.is_started and not self.is_finished:
            for _ in self:
                pass


@dataclass(frozen=True, slots=True)
class Call:
    """A call that has been matched to a customer, a plan and a route.

    ``deadline`` is in seconds of the local monotonic clock. ``is_abandoned``
    returns whether the caller has stopped waiting for the answer; it may be called
    often. ``host`` is the host name in the caller's request. ``caller_service`` is
    the service of the host where the call entered the mesh, empty when unknown.
    ``objective`` is the time until which an answer has its full value, on the same
    clock as the deadline, 0 for none. ``is_repeat`` is set when the call has been
    sent to a backend server before. ``fingerprint`` is the same for all calls with the
    same content, empty when unknown. ``is_trial`` is set when the call runs in spite of
    its quarantine.
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
    fingerprint: str = ""
    is_trial: bool = False

    @property
    def is_idempotent(self):
        """Return whether running the call twice does no harm.

        An idempotency key asks for a single run, so a call with a key is idempotent
        only if its method is safe.
        """
        if self.idempotency_key:
            return self.method in SAFE_METHODS
        by_method = self.method in IDEMPOTENT_METHODS
        return IDEMPOTENCE_BY_KIND.get(self.kind, by_method)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call.

    ``load`` is the fraction of the owner's slots that a similar call would now find
    occupied, above 1 when calls would be ahead of it in the queue. ``retry_after``
    is in seconds, 0 for none. ``is_offered`` is set when the call was sent to a
    backend server, whatever the result. ``notice`` is for the node beside the backend
    server, None without one. ``crashed_server`` identifies the run of the backend
    server that crashed while it was running the call, empty when none did.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    outcome: Outcome = Outcome.DONE
    load: float = 0.0
    retry_after: float = 0.0
    reason: str = ""
    is_offered: bool = False
    notice: ServerNotice | None = None
    crashed_server: str = ""


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
