"""The phases of a node's life, which decide whether it accepts calls."""

import enum
import threading

from rattanworks.admission.waiting import NO_OBJECTIVE


class Phase(enum.Enum):
    """Phases in the order in which a node passes through them."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


NEXT_PHASES = {
    Phase.STARTING: {Phase.READY, Phase.DRAINING, Phase.STOPPED},
    Phase.READY: {Phase.DRAINING, Phase.STOPPED},
    Phase.DRAINING: {Phase.STOPPED},
    Phase.STOPPED: set(),
}


class Lifecycle:
    """Holds the node's phase, which only moves forward."""

    def __init__(self):
        self._lock = threading.Lock()
        self._stop_plan = None
        self.last_call_at = 0.0
        self.phase = Phase.STARTING

    @property
    def is_ready(self):
        """Return whether the node is ready to accept calls."""
        return self.phase == Phase.READY

    @property
    def is_draining(self):
        """Return whether a planned stop is in progress."""
        return self.phase == Phase.DRAINING

    @property
    def serves_local(self):
        """Return whether the local backend server may call other services.

        It may while the node drains, since calls that still run may depend on it.
        """
        return self.phase in (Phase.READY, Phase.DRAINING)

    def call_deadline(self, received_at, deadline, objective=NO_OBJECTIVE):
        """Return the deadline under which to accept a call, None to refuse it.

        ``received_at``, when its first byte arrived, ``deadline`` and ``objective``
        are monotonic times. While the node drains, the StopPlan decides; it accepts
        every call that had begun to arrive before the stop. ``last_call_at`` is the
        latest ``received_at``.
        """
        self.last_call_at = max(self.last_call_at, received_at)
        if self.phase == Phase.DRAINING:
            return self._stop_plan.call_deadline(received_at, deadline, objective)
        return deadline if self.is_ready else None

    def local_call_deadline(self, received_at, deadline, objective=NO_OBJECTIVE):
        """Return the deadline of a call of the local backend server, or None."""
        return deadline if self.serves_local else None

    def begin_stop(self, plan):
        """Enter the draining phase under a StopPlan; return whether it was allowed."""
        with self._lock:
            self._stop_plan = plan
        return self.advance(Phase.DRAINING)

    def advance(self, phase):
        """Enter a phase; return whether the current phase allows it."""
        with self._lock:
            if phase not in NEXT_PHASES[self.phase]:
                return False
            self.phase = phase
            return True
