"""The schedule of a planned stop.

Has no side effects. All times are derived from the time that the stop may take.
"""

from dataclasses import dataclass

from rattanworks.admission.waiting import NO_OBJECTIVE

# Upper limits, as fractions of a stop, on the time in which the node's own backend
# server still gets new calls, and on that in which every caller's new call is
# accepted. The rest is reserved for the calls in progress.
MAX_ENDPOINT_FRACTION = 5 / 12
MAX_ACCEPT_FRACTION = 1 / 2
# Time until callers know of a stop: two readiness checks, a second apart, and the
# time for their result to reach the callers. Until then callers keep using the
# connections that they have open.
STOP_NOTICE_SECONDS = 3.0
# Upper limits on the time reserved for the process to exit. The fraction is half of
# the last sixth of a stop, in which a call still in progress may be cut.
MAX_EXIT_FRACTION = 1 / 12
MAX_EXIT_SECONDS = 0.5
# Fraction of the exit time that stays unused, in case the supervisor's clock is fast.
EXIT_MARGIN_FRACTION = 1 / 5
# Time from a call's deadline until its caller has the answer. It exceeds the 0.05 s
# that the entry waits for an owner after the deadline.
ANSWER_MARGIN_SECONDS = 0.2
# Callers who still send calls keep the node: without a call for this long they have
# taken notice of the stop.
CALLERS_QUIET_SECONDS = 1.0
# A late call is accepted for a shorter time than its caller waits if that is at least
# this many times its objective: few calls take that long, and these end by their
# deadline, not by the stop.
LATE_CALL_OBJECTIVES = 2


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The steps of a planned stop in monotonic seconds, in order.

    Until ``endpoint_leaves_at`` the backend server beside the node gets calls.
    Until ``accept_all_until`` every caller's call is accepted, and connections that
    are idle stay open. At ``cut_calls_at`` the calls still in progress are cut. The
    process ends by ``ends_at``.
    """

    began: float
    endpoint_leaves_at: float
    accept_all_until: float
    cut_calls_at: float
    ends_at: float

    @property
    def last_deadline(self):
        """Return the last deadline whose answer still reaches its caller."""
        return self.cut_calls_at - ANSWER_MARGIN_SECONDS

    def call_deadline(self, received_at, deadline, objective=NO_OBJECTIVE):
        """Return the deadline under which a call is accepted, None to refuse it.

        After ``accept_all_until`` a call is accepted only if it ends before the stop
        may cut it: the caller can repeat a refused call elsewhere, but perhaps not
        one that was cut. Load pattern: callers who cannot leave the node, as most
        nodes of their failure domain stop too, send calls until it has ended.
        """
        last = self.last_deadline
        if received_at <= self.accept_all_until or deadline <= last:
            return deadline
        if objective == NO_OBJECTIVE:
            return None
        needed = (objective - received_at) * LATE_CALL_OBJECTIVES
        return last if received_at + needed <= last else None

    def may_end(self, now, last_call_at):
        """Return whether callers have stopped sending calls, or none can be accepted.

        ``last_call_at`` is when the latest call arrived.
        """
        is_quiet = now - last_call_at >= CALLERS_QUIET_SECONDS
        return is_quiet or now >= self.last_deadline


def plan_stop(began, drain):
    """Return the StopPlan of a stop requested at ``began``, under DrainSettings."""
    seconds = drain.timeout_seconds
    endpoint_seconds = min(drain.accept_seconds, seconds * MAX_ENDPOINT_FRACTION)
    accept_seconds = min(STOP_NOTICE_SECONDS, seconds * MAX_ACCEPT_FRACTION)
    exit_seconds = min(MAX_EXIT_SECONDS, seconds * MAX_EXIT_FRACTION)
    return StopPlan(
        began=began,
        endpoint_leaves_at=began + endpoint_seconds,
        accept_all_until=began + max(endpoint_seconds, accept_seconds),
        cut_calls_at=began + seconds - exit_seconds,
        ends_at=began + seconds - exit_seconds * EXIT_MARGIN_FRACTION,
    )
