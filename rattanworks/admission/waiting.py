"""Which calls wait for a slot, in which order, and which are refused at once.

Pure functions: times are in seconds of one monotonic clock and given by whoever
calls.
"""

import math
from dataclasses import dataclass, replace

NO_OBJECTIVE = 0.0
# What a late answer is worth beside a prompt one: the most that users state for
# their kinds of requests (0.1 to 0.5).
LATE_WORTH = 0.5
# Runs below this are alike: a hop between nodes takes as long.
LEAST_RUN_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class Rank:
    """What decides over a call that wants a slot.

    The answer is worth most until ``objective`` and nothing after ``deadline``;
    ``expected_seconds`` is how long the call is expected to run.
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
        """Return the time after which the answer comes too late for any use."""
        return self.deadline - self.expected_seconds

    @property
    def prompt_start(self):
        """Return the time after which the answer misses its objective."""
        if self.objective == NO_OBJECTIVE:
            return self.latest_start
        return min(self.objective, self.deadline) - self.expected_seconds

    def is_late(self, now):
        """Tell whether the answer misses its objective even if started now."""
        return self.prompt_start < now

    def start_by(self, now):
        """Return the next time from which the answer is worth less, or nothing."""
        return self.latest_start if self.is_late(now) else self.prompt_start

    def renewed(self, seconds):
        """Return the rank of a like call that comes so many seconds later."""
        objective = self.objective
        if objective != NO_OBJECTIVE:
            objective += seconds
        return replace(self, deadline=self.deadline + seconds, objective=objective)


def order_key(rank, now):
    """Return the key by which waiting calls are sorted, the next one first.

    Load pattern: a queue that stands for longer than an objective, in which calls
    of backend servers wait beside requests from outside. Served first come first,
    every call would be late; and a call that another run waits for, turned away
    for a longer one, has that run end in vain. So among calls of one priority
    those go first that keep a slot for the shortest time for what their answer is
    worth (weighted shortest processing time), a late answer counting half. Among
    like ones the most urgent goes first.
    """
    cost_class = _cost_class(rank, now)
    return (rank.is_beyond_plan, rank.priority, cost_class, rank.start_by(now))


def _cost_class(rank, now):
    """Return the class of a call's slot time for its worth, in powers of two."""
    seconds = max(LEAST_RUN_SECONDS, rank.expected_seconds)
    if rank.is_late(now):
        seconds /= LATE_WORTH
    return round(math.log2(seconds))


def is_servable(rank, now, wait_seconds):
    """Tell whether a call that gets its slot after some seconds is of any use.

    Load pattern: overload, in which a call that waits and then fails has held up
    its caller and others; refused at once, the caller may come back in time.
    """
    return now + wait_seconds <= rank.latest_start
