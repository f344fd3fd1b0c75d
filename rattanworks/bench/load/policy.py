"""Admission and routing policies that the experiments compare."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanworks.admission.waiting import queue_sort_key
from rattanworks.routing.choice import ChoiceSettings

# The value of queue_per_slot in deploy/node.toml.
QUEUE_PER_SLOT = 1.0


def first_come_first_served(rank, now):
    """Return a sort key: by priority, then by arrival."""
    return (rank.is_beyond_plan, rank.priority)


def earliest_deadline_first(rank, now):
    """Return a sort key: by priority, then by deadline."""
    return (rank.is_beyond_plan, rank.priority, rank.deadline)


def prompt_first(rank, now):
    """Return a sort key: by priority, then late calls last, then by latest start.

    The latest start is that for the objective or, for late calls, for the deadline.
    """
    is_late = rank.is_late(now)
    return (rank.is_beyond_plan, rank.priority, is_late, rank.start_by(now))


def newest_first(rank, now):
    """Return a sort key: by priority, then the latest deadline first."""
    return (rank.is_beyond_plan, rank.priority, -rank.deadline)


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings by which nodes admit and route calls; the defaults are the product's.

    ``order`` returns the sort key of a waiting call from its Rank and the time;
    calls beyond their plan always come last.
    """

    name: str = "product"
    order: Callable = queue_sort_key
    queue_per_slot: float = QUEUE_PER_SLOT
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)


POLICIES_BY_NAME = {
    policy.name: policy
    for policy in (
        Policy(),
        Policy("first_come_first_served", first_come_first_served),
        Policy("earliest_deadline_first", earliest_deadline_first),
        Policy("newest_first", newest_first),
        Policy("prompt_first", prompt_first),
        Policy("no_queue", queue_per_slot=0.0),
        Policy("long_queue", queue_per_slot=3.0),
        Policy("no_margin", choice=ChoiceSettings(farther_margin=0.0)),
        Policy("near_only", choice=ChoiceSettings(spill_cost=1e9)),
    )
}
