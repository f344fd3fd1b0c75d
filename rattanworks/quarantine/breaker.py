"""Decides whether a call that may crash backend servers is run."""

import math
import threading
from dataclasses import dataclass

from rattanworks.model.crash import CrashReport
from rattanworks.quarantine.reports import CrashReports
from rattanworks.utils.digest import hash_fraction
from rattanworks.utils.logging import log_event

# Fewer crashes hold up nobody: other calls were running on the server as well.
QUARANTINE_CRASHES = 2
FIRST_DELAY_SECONDS = 2.0
DELAY_FACTOR = 4.0
MAX_TRIALS = 1024
QUARANTINED = "backend servers crashed whenever they ran this call"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a call may run, and why.

    ``is_trial`` is set if the call is let through to see whether it still crashes its
    server. ``retry_after`` is in seconds, 0 for a call that may run.
    """

    may_run: bool = True
    is_trial: bool = False
    crashes: int = 0
    retry_after: float = 0.0


MAY_RUN = Verdict()


def trial_delay(crashes):
    """Return the seconds from the latest crash of a call until its next trial."""
    return FIRST_DELAY_SECONDS * DELAY_FACTOR ** (crashes - QUARANTINE_CRASHES)


class CallQuarantine:
    """A circuit breaker for each call, over the crash reports of all nodes.

    Load pattern: a call crashes each server that runs it, and callers send it again
    and again, at any node. Retried freely, it takes down a whole service.

    From QUARANTINE_CRASHES on a call is refused, apart from trials. The delay before a
    trial grows with each crash. Nodes begin to offer trials one after the other, over
    as long again as the delay, so that few of them let a call through before they hear
    how the first trial ended. A call that ends well is cleared on all nodes.
    """

    def __init__(self, reports, clock, node=""):
        self.reports = reports
        self._clock = clock
        self._node = node
        self._lock = threading.Lock()
        self._tried_at_by_fingerprint = {}

    def is_held(self, fingerprint):
        """Return whether a call may run only as a trial."""
        return len(self.reports.crash_times(fingerprint)) >= QUARANTINE_CRASHES

    def count_calls(self, crashes):
        """Return how many fingerprints have at least so many crashes."""
        fingerprints = {report.fingerprint for report in self.reports.reports()}
        return sum(
            len(self.reports.crash_times(known)) >= crashes for known in fingerprints
        )

    def check(self, fingerprint):
        """Return the Verdict on a call; a trial that it grants has begun."""
        times = self.reports.crash_times(fingerprint)
        if len(times) < QUARANTINE_CRASHES:
            return MAY_RUN
        fraction = hash_fraction(f"{fingerprint}|{self._node}|{len(times)}")
        delay = trial_delay(len(times)) * (1 + fraction)
        now = self._clock.monotonic()
        with self._lock:
            tried_at = self._tried_at_by_fingerprint.get(fingerprint, -math.inf)
            retry_after = max(tried_at, *times) + delay - now
            if retry_after > 0:
                return Verdict(False, False, len(times), retry_after)
            if len(self._tried_at_by_fingerprint) >= MAX_TRIALS:
                self._tried_at_by_fingerprint.clear()
            self._tried_at_by_fingerprint[fingerprint] = now
        return Verdict(True, True, len(times))

    def record_crash(self, call, server):
        """Record that a backend server crashed while it was running a call."""
        if not call.fingerprint:
            return
        if self.reports.merge((CrashReport(call.fingerprint, server, 0.0),)):
            log_event(
                "call-suspected",
                request_id=call.request_id,
                service=call.service,
                fingerprint=call.fingerprint,
                server=server,
                crashes=len(self.reports.crash_times(call.fingerprint)),
            )

    def record_answer(self, call):
        """Clear a call that a backend server has answered without crashing."""
        if self.reports.crash_times(call.fingerprint):
            log_event(
                "call-cleared",
                request_id=call.request_id,
                service=call.service,
                fingerprint=call.fingerprint,
                crashes=self.reports.clear(call.fingerprint),
                is_trial=call.is_trial,
            )


def build_quarantine(clock, node=""):
    """Return the CallQuarantine of a node that has heard of no crashes yet."""
    return CallQuarantine(CrashReports(clock), clock, node)
