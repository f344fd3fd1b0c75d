"""Outlier detection: ejects endpoints whose calls from this entry fail."""

import threading
from dataclasses import dataclass

WINDOW_SECONDS = 2.0
MIN_CALLS = 5
MIN_FAILURE_SHARE = 0.5
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
# A node that was not ejected for this long starts again with the shortest ejection.
EJECTIONS_RESET_SECONDS = 60.0
MAX_EJECTED_SHARE = 1 / 3


@dataclass(slots=True)
class _NodeStats:
    window_start: float
    calls: int = 0
    failures: int = 0
    prior_calls: int = 0
    prior_failures: int = 0
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0


class OutlierDetector:
    """Ejects nodes by their share of failed calls in the current and previous window.

    Each further ejection of a node lasts twice as long, up to MAX_EJECTION_SECONDS.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._by_node = {}
        self._latest_ejection_end = 0.0

    def record(self, node, is_failed):
        """Record the end of a call; eject the node if half of its calls failed."""
        now = self._clock.monotonic()
        with self._lock:
            stats = self._by_node.get(node)
            if stats is None:
                stats = self._by_node[node] = _NodeStats(now)
            _advance_window(stats, now)
            stats.calls += 1
            stats.failures += is_failed
            if is_failed and _is_outlier(stats) and stats.ejected_until <= now:
                self._eject(stats, now)

    def _eject(self, stats, now):
        if now - stats.ejected_until > EJECTIONS_RESET_SECONDS:
            stats.ejections = 0
        seconds = min(MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**stats.ejections)
        stats.ejections += 1
        stats.ejected_at = now
        stats.ejected_until = now + seconds
        stats.calls = stats.failures = stats.prior_calls = stats.prior_failures = 0
        self._latest_ejection_end = max(self._latest_ejection_end, stats.ejected_until)

    def without_ejected(self, endpoints):
        """Return the endpoints that are not ejected.

        At most a third of the endpoints is left out, those that were ejected earliest.
        Of two endpoints one may be left out, a single one never.
        """
        now = self._clock.monotonic()
        if now >= self._latest_ejection_end:
            return endpoints
        ejected = [
            record.node for record in endpoints if self._ejected_until(record) > now
        ]
        ejected.sort(key=lambda node: self._by_node[node].ejected_at)
        excluded = set(ejected[: _max_ejected(len(endpoints))])
        return [record for record in endpoints if record.node not in excluded]

    def _ejected_until(self, record):
        stats = self._by_node.get(record.node)
        return stats.ejected_until if stats else 0.0


def _advance_window(stats, now):
    age = now - stats.window_start
    if age < WINDOW_SECONDS:
        return
    is_recent = age < 2 * WINDOW_SECONDS
    stats.prior_calls = stats.calls if is_recent else 0
    stats.prior_failures = stats.failures if is_recent else 0
    stats.calls = stats.failures = 0
    stats.window_start = now


def _is_outlier(stats):
    calls = stats.calls + stats.prior_calls
    failures = stats.failures + stats.prior_failures
    return calls >= MIN_CALLS and failures >= MIN_FAILURE_SHARE * calls


def _max_ejected(count):
    if count < 2:
        return 0
    return max(1, int(count * MAX_EJECTED_SHARE))
