"""The crash reports that all nodes share."""

import threading
from dataclasses import dataclass, replace

from rattanworks.model.crash import CrashReport
from rattanworks.utils.digest import digest_of

# After this time without another crash nothing is held against a call any more.
KEEP_SECONDS = 3600.0
MAX_REPORTS = 512
# Reports of calls with so many crashes are compared between nodes. An innocent call
# that was running beside another one seldom has more than one.
COMPARED_CRASHES = 2


@dataclass(frozen=True, slots=True)
class _Crash:
    crashed_at: float
    is_cleared: bool


class CrashReports:
    """Reports by fingerprint and by the run of the server that crashed.

    A report is stored once, and its only change is to be cleared, so that reports can
    be merged in any order. At most MAX_REPORTS are kept, each for KEEP_SECONDS; of too
    many, those of the calls with the fewest crashes are dropped first. Listeners are
    called with the keys of new or changed reports.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._crashes_by_fingerprint = {}
        self._listeners = []

    def add_listener(self, listener):
        """Call ``listener`` with a tuple of the keys that a merge changed."""
        self._listeners.append(listener)

    @property
    def digest(self):
        """Return a hash of the reports of calls with COMPARED_CRASHES or more."""
        digest = 0
        oldest = self._clock.monotonic() - KEEP_SECONDS
        for fingerprint, crashes in self._crashes_by_fingerprint.items():
            if len(crashes) < COMPARED_CRASHES:
                continue
            for server, crash in crashes.items():
                if crash.crashed_at > oldest:
                    digest ^= digest_of(f"{fingerprint}|{server}", (crash.is_cleared,))
        return digest

    def crash_times(self, fingerprint):
        """Return the monotonic times of a call's crashes that are not cleared."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return []
        oldest = self._clock.monotonic() - KEEP_SECONDS
        return [
            crash.crashed_at
            for crash in crashes.values()
            if not crash.is_cleared and crash.crashed_at > oldest
        ]

    def clear(self, fingerprint):
        """Clear all reports of a call that has ended well; return how many."""
        crashes = self._crashes_by_fingerprint.get(fingerprint, {})
        open_keys = [
            (fingerprint, server)
            for server, crash in crashes.items()
            if not crash.is_cleared
        ]
        self.merge(
            replace(report, is_cleared=True) for report in self.reports(open_keys)
        )
        return len(open_keys)

    def merge(self, reports):
        """Store what is new in some reports and return the keys of these."""
        with self._lock:
            by_fingerprint = dict(self._crashes_by_fingerprint)
            now = self._clock.monotonic()
            keys = [
                report.key
                for report in reports
                if _merge_report(by_fingerprint, report, now)
            ]
            if not keys:
                return ()
            _drop_expired(by_fingerprint, now - KEEP_SECONDS)
            _drop_excess(by_fingerprint)
            self._crashes_by_fingerprint = by_fingerprint
        for listener in self._listeners:
            listener(tuple(keys))
        return tuple(keys)

    def reports(self, keys=None):
        """Return the CrashReports with some keys, by default all, with their ages."""
        now = self._clock.monotonic()
        by_fingerprint = self._crashes_by_fingerprint
        if keys is None:
            keys = [
                (fingerprint, server)
                for fingerprint, crashes in by_fingerprint.items()
                for server in crashes
            ]
        reports = []
        for fingerprint, server in keys:
            crash = by_fingerprint.get(fingerprint, {}).get(server)
            age = KEEP_SECONDS if crash is None else max(0.0, now - crash.crashed_at)
            if age < KEEP_SECONDS:
                reports.append(CrashReport(fingerprint, server, age, crash.is_cleared))
        return tuple(reports)


def _merge_report(by_fingerprint, report, now):
    """Store a report; return whether it is new, or clears a known one."""
    crashes = by_fingerprint.get(report.fingerprint, {})
    known = crashes.get(report.server)
    if report.age_seconds >= KEEP_SECONDS:
        return False
    if known is not None and (known.is_cleared or not report.is_cleared):
        return False
    crashed_at = now - report.age_seconds if known is None else known.crashed_at
    by_fingerprint[report.fingerprint] = {
        **crashes,
        report.server: _Crash(crashed_at, report.is_cleared),
    }
    return True


def _drop_expired(by_fingerprint, oldest):
    for fingerprint, crashes in list(by_fingerprint.items()):
        if max(crash.crashed_at for crash in crashes.values()) <= oldest:
            del by_fingerprint[fingerprint]


def _drop_excess(by_fingerprint):
    excess = sum(map(len, by_fingerprint.values())) - MAX_REPORTS
    if excess <= 0:
        return
    for fingerprint in sorted(by_fingerprint, key=lambda f: _weight(by_fingerprint[f])):
        if excess <= 0:
            return
        excess -= len(by_fingerprint.pop(fingerprint))


def _weight(crashes):
    latest = max(crash.crashed_at for crash in crashes.values())
    return _count_open(crashes), latest


def _count_open(crashes):
    return sum(not crash.is_cleared for crash in crashes.values())
