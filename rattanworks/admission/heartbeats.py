"""Detects when the backend server beside the node stops sending heartbeats."""

import threading

from rattanworks.utils.tasks import run_guarded

CHECK_INTERVAL_SECONDS = 0.5


class HeartbeatMonitor:
    """Checks for heartbeats of the owner's backend server on a separate thread."""

    def __init__(self, owner):
        self._owner = owner
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="heartbeats", daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Signal the thread to stop."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.wait(CHECK_INTERVAL_SECONDS):
            run_guarded("heartbeats", self._check)

    def _check(self):
        self._owner.check_heartbeat(CHECK_INTERVAL_SECONDS)
