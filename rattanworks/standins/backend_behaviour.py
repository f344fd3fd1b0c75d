"""Configured behaviour of the backend server stand-in, and its effect on a call."""

import random
import threading
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Times and faults of the stand-in; can be replaced while it runs.

    ``work_seconds`` is the time one call takes. ``fail_share`` of the calls get
    status 500 once ``fail_after_seconds`` have passed since the behaviour was set,
    only on paths starting with ``fail_route``, and only while at least
    ``fail_at_running`` calls, this one included, are on the server. ``slow_factor``
    multiplies the time of the calls that the same conditions select. For
    ``cold_seconds`` after the start of the process, calls take ``cold_factor`` times
    as long. While at least ``shed_at_running`` calls are on the server, further ones
    are refused with status 503; 0 means no limit.

    ``claims_healthy`` and ``claimed_load`` are what the health and load endpoints
    report, true or not; without ``claimed_load`` the load endpoint reports the real
    load of ``claims_lag_seconds`` ago.

    ``late_share`` of the answers come ``late_seconds`` after the work is done,
    ``swap_share`` carry the body and request id of an earlier answer, ``cut_share``
    end before their Content-Length, and ``close_share`` of the requests have their
    connection closed before they run.
    """

    work_seconds: float = 0.002
    fail_share: float = 0.0
    slow_factor: float = 1.0
    fail_after_seconds: float = 0.0
    fail_route: str = "/"
    fail_at_running: int = 0
    cold_seconds: float = 0.0
    cold_factor: float = 1.0
    shed_at_running: int = 0
    claims_healthy: bool = True
    claimed_load: float | None = None
    claims_lag_seconds: float = 0.0
    late_share: float = 0.0
    late_seconds: float = 0.0
    swap_share: float = 0.0
    cut_share: float = 0.0
    close_share: float = 0.0


@dataclass(frozen=True, slots=True)
class CallBehaviour:
    """How one call behaves: ``seconds`` of work, then ``late_seconds`` of delay."""

    is_failed: bool
    seconds: float
    late_seconds: float
    is_swapped: bool
    is_truncated: bool


class BehaviourSampler:
    """Holds the current Behaviour and draws the random behaviour of each call."""

    def __init__(self, behaviour, seed):
        self._lock = threading.Lock()
        self._random = random.Random(seed)
        self._started_at = time.monotonic()
        self._set_at = self._started_at
        self.behaviour = behaviour

    def set(self, behaviour):
        """Replace the behaviour; ``fail_after_seconds`` counts from now."""
        with self._lock:
            self.behaviour = behaviour
            self._set_at = time.monotonic()

    def is_shedding(self, running):
        """Return whether to refuse a call beside ``running`` others."""
        limit = self.behaviour.shed_at_running
        return bool(limit) and running >= limit

    def draw_close(self):
        """Draw whether to close the connection of a request without an answer."""
        return self._draw(self.behaviour.close_share)

    def draw_call(self, path, running):
        """Draw the CallBehaviour of a call; ``running`` includes the call."""
        behaviour = self.behaviour
        is_selected = self._selects(behaviour, path, running)
        seconds = behaviour.work_seconds
        if time.monotonic() - self._started_at < behaviour.cold_seconds:
            seconds *= behaviour.cold_factor
        if is_selected:
            seconds *= behaviour.slow_factor
        is_late = self._draw(behaviour.late_share)
        return CallBehaviour(
            is_failed=is_selected and self._draw(behaviour.fail_share),
            seconds=seconds,
            late_seconds=behaviour.late_seconds if is_late else 0.0,
            is_swapped=self._draw(behaviour.swap_share),
            is_truncated=self._draw(behaviour.cut_share),
        )

    def _selects(self, behaviour, path, running):
        return (
            time.monotonic() - self._set_at >= behaviour.fail_after_seconds
            and path.startswith(behaviour.fail_route)
            and running >= behaviour.fail_at_running
        )

    def _draw(self, share):
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share
