"""How a planned stop divides its time between callers and its own end.

Pure. Every part follows from the time that the stop may take.
"""

from dataclasses import dataclass

# Of a stop, at most this part serves new calls: the rest is for those at work.
SERVING_PART = 1 / 2
# Callers who see no closed connection reuse an idle one for so long after a stop
# began: two questions about readiness, a second apart, and the way of the news.
LINGER_SECONDS = 3.0
# The end of the process needs a fraction of this on a loaded host of half a
# processor; a stop shorter than 6 s keeps a smaller part, half of its last sixth.
EXIT_SECONDS = 0.5
EXIT_PART = 1 / 12
# Between a call's deadline and the end of its answer to the caller.
ANSWER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The steps of a planned stop, in monotonic seconds.

    Until ``serves_until`` the node takes every call, until ``lingers_until`` idle
    connections stay open, and until ``calls_until`` calls at work keep theirs.
    """

    began: float
    serves_until: float
    lingers_until: float
    calls_until: float
    ends_at: float

    def takes_call(self, received_at, deadline):
        """Tell whether a call received at a time is served.

        One that comes late is taken only when its time ends before the stop may
        cut it: a refusal can be repeated elsewhere, a cut call perhaps not.
        """
        is_early = received_at <= self.serves_until
        return is_early or deadline + ANSWER_SECONDS <= self.calls_until


def plan_stop(began, drain):
    """Return the StopPlan under some DrainSettings of a stop that begins now."""
    seconds = drain.timeout_seconds
    half = began + seconds * SERVING_PART
    exit_seconds = min(EXIT_SECONDS, seconds * EXIT_PART)
    serves_until = min(half, began + drain.accept_seconds)
    return StopPlan(
        began=began,
        serves_until=serves_until,
        lingers_until=min(half, max(serves_until, began + LINGER_SECONDS)),
        calls_until=began + seconds - exit_seconds,
        ends_at=began + seconds,
    )
