"""How a planned stop divides its time between callers and its own end.

Pure. Every part follows from the time that the stop may take.
"""

from dataclasses import dataclass

# At most this part of a stop brings new calls to the node's own backend server, and
# this part new calls of callers: the rest is for those at work.
ENDPOINT_PART = 5 / 12
TAKING_PART = 1 / 2
# Time until callers know of a stop: two readiness checks, a second apart, and the
# time for their result to reach the callers. Until then callers keep using the
# connections that they have open.
STOP_NOTICE_SECONDS = 3.0
# Kept for the end of the process: half of the last sixth of a stop, in which a call
# that is still at work may be cut, and no more than this.
EXIT_PART = 1 / 12
EXIT_SECONDS = 0.5
# Of the time for the exit, what is left to a supervisor whose clock runs early.
SPARE_PART = 1 / 5
# From a call's deadline until its caller has the answer: more than the entry waits
# for an owner past the deadline (0.05 s).
ANSWER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The steps of a planned stop in monotonic seconds, in their order.

    Until ``endpoint_until`` the backend server beside the node gets calls. Until
    ``taking_until`` every call of a caller is taken and idle connections stay open.
    Until ``calls_until`` calls at work are kept; then the process ends, by
    ``ends_at``.
    """

    began: float
    endpoint_until: float
    taking_until: float
    calls_until: float
    ends_at: float

    def takes_call(self, received_at, deadline):
        """Tell whether a call received at a time is served.

        One that comes late is taken only when its time ends before the stop may
        cut it: a refusal can be repeated elsewhere, a cut call perhaps not.
        """
        is_early = received_at <= self.taking_until
        return is_early or deadline + ANSWER_SECONDS <= self.calls_until


def plan_stop(began, drain):
    """Return the StopPlan under some DrainSettings of a stop that was asked for."""
    seconds = drain.timeout_seconds
    endpoint_seconds = min(drain.accept_seconds, seconds * ENDPOINT_PART)
    taking_seconds = min(STOP_NOTICE_SECONDS, seconds * TAKING_PART)
    exit_seconds = min(EXIT_SECONDS, seconds * EXIT_PART)
    return StopPlan(
        began=began,
        endpoint_until=began + endpoint_seconds,
        taking_until=began + max(endpoint_seconds, taking_seconds),
        calls_until=began + seconds - exit_seconds,
        ends_at=began + seconds - exit_seconds * SPARE_PART,
    )
