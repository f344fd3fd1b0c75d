"""The version that serves a service, and the move that may change it."""

import enum
from dataclasses import dataclass, replace
from typing import Annotated

from msgspec import Meta

from rattanworks.model.endpoint import Counter, Name

# The last second of the year 9999, the highest that renders as a date.
MAX_TIME_SECONDS = 253_402_300_799

Time = Annotated[float, Meta(ge=0, le=MAX_TIME_SECONDS)]
Share = Annotated[float, Meta(ge=0, le=1)]


class MoveStatus(enum.IntEnum):
    """Status of a move; when nodes disagree, the higher value takes precedence.

    A node may announce TAKEN_BACK (rolled back) before the store records it. DONE
    exists only once the store has recorded it, and from then on TAKEN_BACK cannot
    be recorded. So DONE takes precedence, and all nodes converge to the status in
    the store.
    """

    RUNNING = 0
    TAKEN_BACK = 1
    DONE = 2


@dataclass(frozen=True, slots=True)
class Move:
    """A move of a service's traffic from one version to another.

    Times are in seconds since the Unix epoch. ``holder`` is the node that holds the
    move's role. ``term`` increases with each change of the holder, ``step`` with
    each change of the stage, the share or the reason within a term. ``share`` is the
    fraction of the service's calls that the new version gets.
    """

    operation_id: str
    from_version: Name
    to_version: Name
    author: str
    started_at: Time
    finish_by: Time
    status: MoveStatus = MoveStatus.RUNNING
    stage: Counter = 0
    share: Share = 0.0
    holder: Name = ""
    term: Counter = 0
    step: Counter = 0
    reason: str = ""
    ended_at: Time = 0.0


@dataclass(frozen=True, slots=True)
class ServiceState:
    """The version that serves a service and its latest move, if any.

    ``generation`` increases by one with each move started on the service.
    ``taken_back_versions`` are the latest versions whose moves were taken back.
    """

    service: Name
    generation: Counter
    serving_version: Name
    move: Move | None = None
    taken_back_versions: tuple[Name, ...] = ()

    @property
    def is_moving(self):
        """Return whether a move is running."""
        return self.move is not None and self.move.status == MoveStatus.RUNNING

    def is_blocked(self, version):
        """Return whether a version was taken back and must get no calls."""
        if version == self.serving_version or version not in self.taken_back_versions:
            return False
        return not (self.is_moving and version == self.move.to_version)

    @property
    def precedence(self):
        """Return a key; of two states of a service, the higher key wins."""
        if self.move is None:
            return (self.generation, 0, 0, 0)
        move = self.move
        return (self.generation, move.status, move.term, move.step)


MAX_TAKEN_BACK_VERSIONS = 16


def taken_back(state, reason, now):
    """Return the state after its move was taken back."""
    version = state.move.to_version
    earlier = [name for name in state.taken_back_versions if name != version]
    versions = (*earlier, version)[-MAX_TAKEN_BACK_VERSIONS:]
    move = replace(
        state.move,
        status=MoveStatus.TAKEN_BACK,
        share=0.0,
        reason=reason,
        ended_at=now,
    )
    return replace(state, move=move, taken_back_versions=versions)


def done(state, reason, now):
    """Return the state after its move was done."""
    move = replace(
        state.move, status=MoveStatus.DONE, share=1.0, reason=reason, ended_at=now
    )
    return replace(state, serving_version=move.to_version, move=move)
