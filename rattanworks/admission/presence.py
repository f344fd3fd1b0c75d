"""Tracks the backend server beside the node by reports that may arrive late."""

import threading
from collections import OrderedDict

from rattanworks.utils.logging import log_event

MAX_DEPARTED_INSTANCES = 64
# While the current server has reported within this many heartbeats, a report of a
# server that started before it is only a delayed one.
MAX_SILENT_HEARTBEATS = 2
MILLISECONDS_PER_SECOND = 1000


class Presence:
    """Acts on current reports of backend servers and ignores stale ones.

    A report of the same start does not bring back a server that has left.
    ``serve(announcement)`` is called for each current report of a server that
    serves, ``leave()`` when the server leaves.
    """

    def __init__(self, serve, leave, clock):
        self._serve = serve
        self._leave = leave
        self._clock = clock
        self._lock = threading.Lock()
        self._current = None
        self._last_contact_at = 0.0
        self._departed_starts_by_instance = OrderedDict()

    def receive(self, report):
        """Act on a report; return whether it was current."""
        with self._lock:
            reason = self._stale_reason(report)
            if reason:
                self._log(report, "belated", reason)
                return False
            is_change = self._is_change(report)
            self._current = report
            self._last_contact_at = self._clock.monotonic()
            if report.is_leaving:
                self._record_departure(
                    report.announcement.instance, report.announcement.started_at
                )
            if is_change:
                outcome = "leaving" if report.is_leaving else "serving"
                self._log(report, outcome, "")
            if report.is_leaving:
                self._leave()
            else:
                self._serve(report.announcement)
            return True

    def receive_departure(self, instance):
        """Act on a server's notice that it leaves, which is sent without a report."""
        with self._lock:
            current = self._current.announcement if self._current else None
            is_current = current is not None and current.instance == instance
            if is_current:
                started_at = current.started_at
            else:
                # The start is unknown: every start up to now counts as departed.
                started_at = int(self._clock.now() * MILLISECONDS_PER_SECOND)
            self._record_departure(instance, started_at)
            log_event("backend-departed", instance=instance, is_current=is_current)
            if is_current:
                self._leave()

    def _stale_reason(self, report):
        """Return why the report is stale, empty when it is current."""
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
        current = self._current.announcement
        if announcement.instance == current.instance:
            if announcement.started_at < current.started_at:
                return "an earlier start of the server"
            is_same_start = announcement.started_at == current.started_at
            if is_same_start and report.sequence <= self._current.sequence:
                return "a later report came first"
            return ""
        is_older = announcement.started_at < current.started_at
        if is_older and not self._is_current_silent():
            return "another server has started since"
        return ""

    def _is_current_silent(self):
        heartbeat = self._current.announcement.heartbeat_seconds
        silence = self._clock.monotonic() - self._last_contact_at
        return silence > MAX_SILENT_HEARTBEATS * heartbeat

    def _is_change(self, report):
        if self._current is None:
            return True
        current = (self._current.announcement, self._current.is_leaving)
        return current != (report.announcement, report.is_leaving)

    def _record_departure(self, instance, started_at):
        self._departed_starts_by_instance[instance] = started_at
        self._departed_starts_by_instance.move_to_end(instance)
        while len(self._departed_starts_by_instance) > MAX_DEPARTED_INSTANCES:
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
