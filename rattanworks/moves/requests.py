"""Starts and withdraws moves at the request of operators."""

import uuid

from rattanworks.exceptions import (
    MoveRefusedError,
    StoreAnswerLostError,
    StoreConflictError,
)
from rattanworks.model.service import (
    MAX_TIME_SECONDS,
    Move,
    ServiceState,
    taken_back,
)
from rattanworks.moves.record import MoveTrail, ServiceRecords

# A move with less time than this cannot gather any evidence.
MIN_MOVE_SECONDS = 10.0


class MoveRequests:
    """Starts and withdraws moves by compare-and-swap of the service's record."""

    def __init__(self, store, clock):
        self._records = ServiceRecords(store)
        self._trail = MoveTrail(store)
        self._clock = clock

    def start(
        self,
        service,
        to_version,
        finish_by,
        author,
        announced,
        allow_taken_back=False,
        operation_id="",
        extra_writes=(),
    ):
        """Start a move and return the new ServiceState.

        ``announced`` are the versions whose backend servers have announced
        themselves. ``allow_taken_back`` allows a version that was taken back
        (rolled back) before. ``extra_writes`` are Writes that are made in one
        transaction with the start. Raise MoveRefusedError if the move cannot work.
        """
        recorded = self._read(service)
        self._require_movable(recorded.state, to_version, announced, allow_taken_back)
        self._require_time(finish_by)
        state = self._started_state(
            recorded.state, to_version, finish_by, author, operation_id
        )
        self._trail.record(recorded.state)
        self._write(state, recorded.revision, extra_writes)
        self._trail.record(state)
        return state

    def withdraw(self, service, author):
        """Take the running move back and return the new ServiceState.

        Raise MoveRefusedError if none is running or its record changed meanwhile.
        """
        recorded = self._read(service)
        if not recorded.state.is_moving:
            raise MoveRefusedError(
                f"no move of {service} is running; see `rattanworks status`"
            )
        reason = f"withdrawn by {author}"
        state = taken_back(recorded.state, reason, self._clock.now())
        self._write(state, recorded.revision)
        self._trail.record(state)
        return state

    def _read(self, service):
        recorded = self._records.read(service)
        if recorded is None:
            known = ", ".join(self._records.known_services()) or "none"
            raise MoveRefusedError(
                f"unknown service {service}; known: {known}; "
                "a service is known once a backend server of it has announced itself"
            )
        return recorded

    def _require_movable(self, state, version, announced, allow_taken_back):
        service = state.service
        if state.is_moving:
            raise MoveRefusedError(
                f"a move of {service} to {state.move.to_version} by "
                f"{state.move.author} is running; wait for its end or withdraw it "
                f"with `rattanworks move {service} --withdraw`"
            )
        if version == state.serving_version:
            raise MoveRefusedError(
                f"{service} is served by {version} already; name another version"
            )
        if version not in announced:
            known = ", ".join(sorted(announced)) or "none"
            raise MoveRefusedError(
                f"no backend server of {service} {version} has announced itself; "
                f"announced: {known}; start servers of {version} first"
            )
        if version in state.taken_back_versions and not allow_taken_back:
            raise MoveRefusedError(
                f"{service} {version} was taken back before; announce the corrected "
                "one under a new version, or pass --again"
            )

    def _require_time(self, finish_by):
        if not finish_by <= MAX_TIME_SECONDS:
            raise MoveRefusedError(
                f"{finish_by:g} is no time of the years up to 9999; name an earlier one"
            )
        left = finish_by - self._clock.now()
        if left <= 0:
            raise MoveRefusedError(
                f"the finish time is {-left:.0f} s in the past; name a later one"
            )
        if left < MIN_MOVE_SECONDS:
            raise MoveRefusedError(
                f"{left:.0f} s are too few for any evidence; name a finish time at "
                f"least {MIN_MOVE_SECONDS:.0f} s ahead"
            )

    def _started_state(self, state, to_version, finish_by, author, operation_id):
        move = Move(
            operation_id=operation_id or uuid.uuid4().hex,
            from_version=state.serving_version,
            to_version=to_version,
            author=author,
            started_at=self._clock.now(),
            finish_by=finish_by,
        )
        return ServiceState(
            state.service,
            state.generation + 1,
            state.serving_version,
            move,
            state.taken_back_versions,
        )

    def _write(self, state, revision, extra_writes=()):
        try:
            self._records.write(state, revision, extra_writes)
        except StoreConflictError as error:
            raise MoveRefusedError(
                f"the record at {error.key} changed meanwhile; see "
                "`rattanworks status`, then ask again"
            ) from None
        except StoreAnswerLostError:
            raise MoveRefusedError(
                "the outcome is unknown; see `rattanworks status` before asking again"
            ) from None
