"""Run counts and load of the backend server stand-in."""

import threading
import time
from collections import Counter, deque

LOAD_HISTORY_SECONDS = 60.0


class RunLog:
    """Counts runs by request id and idempotency key; records cancelled request ids."""

    def __init__(self):
        self._lock = threading.Lock()
        self._runs_by_request_id = Counter()
        self._runs_by_key = Counter()
        self._cancelled_ids = set()

    def start(self, request_id, key):
        """Count a run and return True, or return False if it was cancelled."""
        with self._lock:
            if request_id in self._cancelled_ids:
                return False
            self._runs_by_request_id[request_id] += 1
            if key:
                self._runs_by_key[key] += 1
            return True

    def cancel(self, request_id):
        """Prevent a request from running unless it has started."""
        with self._lock:
            self._cancelled_ids.add(request_id)

    def by_request_id(self):
        """Return the number of runs by request id."""
        with self._lock:
            return dict(self._runs_by_request_id)

    def by_key(self):
        """Return the number of runs by idempotency key."""
        with self._lock:
            return dict(self._runs_by_key)


class LoadGauge:
    """Tracks the calls on the server, with a history of LOAD_HISTORY_SECONDS.

    As a context manager, it counts one call.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._history = deque()
        self.running = 0

    def __enter__(self):
        self._change(1)
        return self

    def __exit__(self, *details):
        self._change(-1)

    def _change(self, delta):
        now = time.monotonic()
        with self._lock:
            self.running += delta
            self._history.append((now, self.running))
            while now - self._history[0][0] > LOAD_HISTORY_SECONDS:
                self._history.popleft()

    def running_before(self, seconds):
        """Return the number of calls on the server ``seconds`` ago."""
        if not seconds:
            return self.running
        limit = time.monotonic() - seconds
        with self._lock:
            past = [running for at, running in self._history if at <= limit]
        return past[-1] if past else 0
