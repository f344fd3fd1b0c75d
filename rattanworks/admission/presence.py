"""Tracks the backend server beside the node by reports that may arrive late."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from rattanworks.utils.logging import log_event

MAX_DEPARTED_INSTANCES = 64
MAX_OUTRANKED_STARTS = 16
# While the current server has reported within this many heartbeats, a report of a
# server that started before it is only a delayed one.
MAX_SILENT_HEARTBEATS = 2
# So many reports of one start, at least a share of a heartbeat apart, show that the
# server runs: delayed reports arrive once, or together.
MIN_LIVE_REPORTS = 3
MIN_REPORT_SPACING = 0.5
MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class _OutrankedStart:
    """The stale reports of one start since the current server last reported.

    ``sequence`` is that of the latest report counted, ``counted_at`` its arrival in
    seconds of the monotonic clock.
    """

    sequence: int
    counted_at: float
    reports: int = 1


@dataclass(frozen=True, slots=True)
class _Departure:
    """A server has left; this covers its starts up to ``started_at``.

    ``is_known`` is set when that is the start which left, and not only a bound.
    """

    started_at: int
    is_known: bool

    def covers(self, report):
        """Return whether a report is of a start that has left."""
        return report.announcement.started_at <= self.started_at

    def is_final_for(self, report):
        """Return whether no report of the same start may bring the server back."""
        started_at = report.announcement.started_at
        return not self.is_known or started_at == self.started_at


class Presence:
    """Acts on current reports of backend servers and ignores stale ones.

    A report of the same start does not bring back a server that has left. A server
    whose reports rank lower becomes current when they keep arriving and those of the
    current server do not: a report that ranked higher came from another writer, or
    from before a clock was set back.
    ``serve(announcement)`` is called for each current report of a server that
    serves, ``leave(announcement)`` when the server leaves.
    """

    def __init__(self, serve, leave, clock):
        self._serve = serve
        self._leave = leave
        self._clock = clock
        self._lock = threading.Lock()
        self._current = None
        self._last_contact_at = 0.0
        self._departures_by_instance = OrderedDict()
        self._outranked_by_identity = OrderedDict()

    def receive(self, report):
        """Act on a report; return whether it was current."""
        with self._lock:
            reason = self._stale_reason(report)
            if reason and not self._keeps_reporting(report):
                self._log(report, "belated", reason)
                return False
            is_change = self._is_change(report)
            self._current = report
            self._outranked_by_identity.clear()
            self._last_contact_at = self._clock.monotonic()
            self._update_departures(report)
            if is_change:
                outcome = "leaving" if report.is_leaving else "serving"
                self._log(report, outcome, reason and f"keeps reporting; was: {reason}")
            if report.is_leaving:
                self._leave(report.announcement)
            else:
                self._serve(report.announcement)
            return True

    def _update_departures(self, report):
        announcement = report.announcement
        if report.is_leaving:
            departure = _Departure(announcement.started_at, is_known=True)
            self._record_departure(announcement.instance, departure)
        elif self._departure_of(report) is not None:
            del self._departures_by_instance[announcement.instance]

    def receive_departure(self, instance):
        """Act on a server's notice that it leaves, which is sent without a report."""
        with self._lock:
            current = self._current.announcement if self._current else None
            is_current = current is not None and current.instance == instance
            if is_current:
                departure = _Departure(current.started_at, is_known=True)
            else:
                # The start is unknown: every start up to now counts as departed.
                now = int(self._clock.now() * MILLISECONDS_PER_SECOND)
                departure = _Departure(now, is_known=False)
            self._record_departure(instance, departure)
            log_event("backend-departed", instance=instance, is_current=is_current)
            if is_current:
                self._leave(current)

    def _stale_reason(self, report):
        """Return why the report is stale, empty when it is current."""
        announcement = report.announcement
        if self._departure_of(report) is not None and not report.is_leaving:
            return "the server has left"
        if self._current is None:
            return ""
        current = self._current.announcement
        if announcement.identity == current.identity:
            # A server that leaves does not take this back, whichever report is later.
            is_later = report.sequence > self._current.sequence or report.is_leaving
            return "" if is_later else "a later report came first"
        is_older = announcement.started_at < current.started_at
        if announcement.instance == current.instance:
            return "an earlier start of the server" if is_older else ""
        if is_older and not self._is_current_silent():
            return "another server has started since"
        return ""

    def _departure_of(self, report):
        """Return the _Departure that covers the start of a report, or None."""
        departure = self._departures_by_instance.get(report.announcement.instance)
        is_covered = departure is not None and departure.covers(report)
        return departure if is_covered else None

    def _keeps_reporting(self, report):
        """Count a stale report; return whether its server is the one that runs.

        It is when its reports keep arriving and those of the current one do not.
        """
        departure = self._departure_of(report)
        if departure is not None and departure.is_final_for(report):
            return False
        if self._is_repeated(report):
            return False
        outranked = self._outranked_of(report)
        spacing = MIN_REPORT_SPACING * report.announcement.heartbeat_seconds
        now = self._clock.monotonic()
        is_later = report.sequence > outranked.sequence
        if is_later and now - outranked.counted_at >= spacing:
            outranked.sequence, outranked.counted_at = report.sequence, now
            outranked.reports += 1
        return outranked.reports >= MIN_LIVE_REPORTS and self._is_current_silent()

    def _outranked_of(self, report):
        identity = report.announcement.identity
        known = self._outranked_by_identity.get(identity)
        if known is None or report.sequence < known.sequence:
            known = _OutrankedStart(report.sequence, self._clock.monotonic())
            self._outranked_by_identity[identity] = known
            if len(self._outranked_by_identity) > MAX_OUTRANKED_STARTS:
                self._outranked_by_identity.popitem(last=False)
        return known

    def _is_repeated(self, report):
        current = self._current
        return (
            current is not None
            and report.announcement.identity == current.announcement.identity
            and report.sequence == current.sequence
        )

    def _is_current_silent(self):
        if self._current is None:
            return True
        heartbeat = self._current.announcement.heartbeat_seconds
        silence = self._clock.monotonic() - self._last_contact_at
        return silence > MAX_SILENT_HEARTBEATS * heartbeat

    def _is_change(self, report):
        if self._current is None:
            return True
        current = (self._current.announcement, self._current.is_leaving)
        return current != (report.announcement, report.is_leaving)

    def _record_departure(self, instance, departure):
        self._departures_by_instance[instance] = departure
        self._departures_by_instance.move_to_end(instance)
        while len(self._departures_by_instance) > MAX_DEPARTED_INSTANCES:
            self._departures_by_instance.popitem(last=False)

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
