"""The phases of a node's life, which decide whether it accepts calls."""

import enum
import threading


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

    def accepts_call(self, received_at, deadline):
        """Return whether to accept a call.

        ``received_at``, when its first byte arrived, and ``deadline`` are monotonic
        times. While the node drains, the StopPlan decides; it accepts every call
        that had begun to arrive before the stop.
        """
        if self.phase == Phase.DRAINING:
            return self._stop_plan.accepts_call(received_at, deadline)
        return self.is_ready

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
