"""Whether the node takes calls: starting, ready, draining, stopped."""

import enum
import threading


class Phase(enum.Enum):
    """Phases of a node's life, in order."""

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
    """Holds the node's phase; phases only move forward."""

    def __init__(self):
        self._lock = threading.Lock()
        self._stop_plan = None
        self.phase = Phase.STARTING

    @property
    def is_ready(self):
        """Tell whether the node takes calls."""
        return self.phase == Phase.READY

    @property
    def is_draining(self):
        """Tell whether a planned stop has begun."""
        return self.phase == Phase.DRAINING

    @property
    def serves_local(self):
        """Tell whether the local backend server may call other services.

        While the node drains, calls that still run may need to.
        """
        return self.phase in (Phase.READY, Phase.DRAINING)

    def takes_call(self, received_at, deadline):
        """Tell whether to serve a call by its first byte and its deadline.

        Both are monotonic times. What had begun to arrive when a planned stop
        began is served; later calls are as the stop's plan says.
        """
        if self.phase == Phase.DRAINING:
            return self._stop_plan.takes_call(received_at, deadline)
        return self.is_ready

    def begin_stop(self, plan):
        """Enter the draining phase under a StopPlan; tell whether that was possible."""
        with self._lock:
            self._stop_plan = plan
        return self.advance(Phase.DRAINING)

    def advance(self, phase):
        """Enter a later phase and tell whether that was possible."""
        with self._lock:
            if phase not in NEXT_PHASES[self.phase]:
                return False
            self.phase = phase
            return True
