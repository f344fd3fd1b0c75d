"""Which version serves a service, and the move that may change it."""

import enum
from dataclasses import dataclass, replace


class MoveStatus(enum.IntEnum):
    """Status of a move, in the order in which one dominates another.

    A node may spread TAKEN_BACK before the store records it. DONE exists only
    once the store has recorded it, which rules out that TAKEN_BACK ever will
    be; so DONE dominates, and every node ends with what the store says.
    """

    RUNNING = 0
    TAKEN_BACK = 1
    DONE = 2


@dataclass(frozen=True, slots=True)
class Move:
    """A move of a service's traffic from one version to another.

    Times are in seconds since the Unix epoch. ``term`` grows with each change
    of holder, ``step`` with each change of share within a term. ``share`` is
    the fraction of the service's calls that the new version gets.
    """

    operation_id: str
    from_version: str
    to_version: str
    author: str
    started_at: float
    finish_by: float
    status: MoveStatus = MoveStatus.RUNNING
    stage: int = 0
    share: float = 0.0
    holder: str = ""
    term: int = 0
    step: int = 0
    reason: str = ""
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceState:
    """The version that serves a service and its latest move, if any.

    ``generation`` grows by one with each move started on the service.
    ``taken_back_versions`` are the latest versions whose moves were taken back.
    """

    service: str
    generation: int
    serving_version: str
    move: Move | None = None
    taken_back_versions: tuple[str, ...] = ()

    @property
    def is_moving(self):
        """Tell whether a move is running."""
        return self.move is not None and self.move.status == MoveStatus.RUNNING

    def is_blocked(self, version):
        """Tell whether a version was taken back and must get no calls."""
        if version == self.serving_version or version not in self.taken_back_versions:
            return False
        return not (self.is_moving and version == self.move.to_version)

    @property
    def precedence(self):
        """Return the key by which two states of one service are ordered."""
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
