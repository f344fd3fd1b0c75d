"""Which backend server stands beside the node, from reports that may come late."""

import threading
from collections import OrderedDict

from rattanworks.utils.logging import log_event

MAX_DEPARTED = 64
# A server of an earlier start that is heard again within this many heartbeats
# after its successor has only had its report delayed.
STALE_HEARTBEATS = 2
MILLISECONDS = 1000


class Presence:
    """Tells current reports from belated ones and acts on the current ones.

    A server that has left does not come back by a report of the same start.
    ``serve(announcement)`` and ``leave()`` carry the outcome out.
    """

    def __init__(self, serve, leave, clock):
        self._serve = serve
        self._leave = leave
        self._clock = clock
        self._lock = threading.Lock()
        self._current = None
        self._heard_at = 0.0
        self._departed_starts_by_instance = OrderedDict()

    def receive(self, report):
        """Act on a report and tell whether it was current."""
        with self._lock:
            reason = self._belated_because(report)
            if reason:
                self._log(report, "belated", reason)
                return False
            is_news = self._is_news(report)
            self._current = report
            self._heard_at = self._clock.monotonic()
            if report.is_leaving:
                self._note_departed(
                    report.announcement.instance, report.announcement.started_at
                )
            if is_news:
                outcome = "leaving" if report.is_leaving else "serving"
                self._log(report, outcome, "")
            if report.is_leaving:
                self._leave()
            else:
                self._serve(report.announcement)
            return True

    def receive_departure(self, instance):
        """Act on the word of a server that it leaves, given without a report."""
        with self._lock:
            current = self._current.announcement if self._current else None
            is_current = current is not None and current.instance == instance
            if is_current:
                started_at = current.started_at
            else:
                # Only a start after this moment is another one.
                started_at = int(self._clock.now() * MILLISECONDS)
            self._note_departed(instance, started_at)
            log_event("backend-departed", instance=instance, is_current=is_current)
            if is_current:
                self._leave()

    def _belated_because(self, report):
        announcement = report.announcement
        departed_start = self._departed_starts_by_instance.get(announcement.instance)
        if (
            departed_start is not None
            and announcement.started_at <= departed_start
            and not report.is_leaving
        ):
            return "the server has left"
        if self._current is None:
            return ""
        known = self._current.announcement
        if announcement.instance == known.instance:
            if announcement.started_at < known.started_at:
                return "an earlier start of the server"
            is_same_start = announcement.started_at == known.started_at
            if is_same_start and report.sequence <= self._current.sequence:
                return "a later report came first"
            return ""
        is_older = announcement.started_at < known.started_at
        if is_older and not self._is_current_silent():
            return "another server has started since"
        return ""

    def _is_current_silent(self):
        heartbeat = self._current.announcement.heartbeat_seconds
        silence = self._clock.monotonic() - self._heard_at
        return silence > STALE_HEARTBEATS * heartbeat

    def _is_news(self, report):
        if self._current is None:
            return True
        known = (self._current.announcement, self._current.is_leaving)
        return known != (report.announcement, report.is_leaving)

    def _note_departed(self, instance, started_at):
        self._departed_starts_by_instance[instance] = started_at
        self._departed_starts_by_instance.move_to_end(instance)
        while len(self._departed_starts_by_instance) > MAX_DEPARTED:
            self._departed_starts_by_instance.popitem(last=False)

    def _log(self, report, outcome, reason):
        announcement = report.announcement
        log_event(
            "backend-report",
            instance=announcement.instance,
            started_at=announcement.started_at,
            sequence=report.sequence,
            service=announcement.service,
            server_version=announcement.version,
            outcome=outcome,
            reason=reason,
        )
