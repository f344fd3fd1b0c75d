"""The order in which calls wait for a slot, and which are refused at once.

Pure functions: callers pass in the time, in seconds of one monotonic clock.
"""

import math
from dataclasses import dataclass, replace

NO_OBJECTIVE = 0.0
# Value of a late answer relative to a prompt one: the highest that users state for
# their kinds of requests (0.1 to 0.5).
LATE_ANSWER_VALUE = 0.5
# Shorter runs count as this long: a hop between nodes takes as much time.
MIN_RUN_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class Rank:
    """The properties by which a call that needs a slot is ordered or refused.

    The answer has its full value until ``objective`` and none after ``deadline``,
    both in seconds of the monotonic clock. ``expected_seconds`` is the expected run
    time. A lower ``priority`` number is served first.
    """

    is_beyond_plan: bool
    priority: int
    deadline: float
    objective: float = NO_OBJECTIVE
    expected_seconds: float = 0.0

    @classmethod
    def of(cls, call, expected_seconds, is_beyond_plan=False):
        """Return the rank of a Call."""
        return cls(
            is_beyond_plan,
            call.priority,
            call.deadline,
            call.objective,
            expected_seconds,
        )

    @property
    def latest_start(self):
        """Return the latest start with which the answer meets its deadline."""
        return self.deadline - self.expected_seconds

    @property
    def prompt_start(self):
        """Return the latest start with which the answer meets its objective."""
        if self.objective == NO_OBJECTIVE:
            return self.latest_start
        return min(self.objective, self.deadline) - self.expected_seconds

    def is_late(self, now):
        """Return whether the answer misses its objective even if started now."""
        return self.prompt_start < now

    def start_by(self, now):
        """Return the latest start before the answer loses value, in part or all."""
        return self.latest_start if self.is_late(now) else self.prompt_start

    def shifted(self, seconds):
        """Return the rank of an identical call that comes ``seconds`` later."""
        objective = self.objective
        if objective != NO_OBJECTIVE:
            objective += seconds
        return replace(self, deadline=self.deadline + seconds, objective=objective)


def queue_sort_key(rank, now):
    """Return the key by which waiting calls are sorted, the next one first.

    Load pattern: a queue whose wait exceeds an objective, in which calls from
    backend servers wait beside requests from outside. Served first come, first
    served, every call would be late; and if a call on which another run waits is
    refused in favour of a longer one, the work of that run is wasted. Calls of one
    priority are therefore sorted by slot time per value of the answer (weighted
    shortest processing time), where a late answer has half the value. Among calls
    of about the same cost the most urgent goes first.
    """
    cost_class = _cost_class(rank, now)
    return (rank.is_beyond_plan, rank.priority, cost_class, rank.start_by(now))


def _cost_class(rank, now):
    """Return log2 of a call's slot seconds per value of its answer, rounded."""
    seconds = max(MIN_RUN_SECONDS, rank.expected_seconds)
    if rank.is_late(now):
        seconds /= LATE_ANSWER_VALUE
    return round(math.log2(seconds))


def is_servable(rank, now, wait_seconds):
    """Return whether a call that gets its slot after a wait meets its deadline.

    Load pattern: overload, in which a call that waits and then fails has delayed
    its caller and other calls; refused at once, the caller can retry in time.
    """
    return now + wait_seconds <= rank.latest_start
