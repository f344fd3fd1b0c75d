"""Differences between two versions of the operators' lists, and three-way merge."""

from dataclasses import dataclass
from functools import singledispatch

from rattanworks.exceptions import MergeConflictError
from rattanworks.model.lists import Customer, OperatorLists, Plan
from rattanworks.model.route import CallerLimits

CUSTOMER = "customer"
PLAN = "plan"
LIMITS = "limits"
CALLERS = "callers"


@dataclass(frozen=True, slots=True)
class Change:
    """One entry that differs; ``before`` or ``after`` is None if absent."""

    kind: str
    name: str
    before: Customer | Plan | CallerLimits | None
    after: Customer | Plan | CallerLimits | None

    def __str__(self):
        """Return the change as one short text."""
        return (
            f"{self.kind} {self.name}: {describe(self.before)} -> "
            f"{describe(self.after)}"
        )


@singledispatch
def describe(entry):
    """Return an entry of a list as one short text."""
    return "absent"


@describe.register
def _(entry: Customer):
    return f"plan {entry.plan}"


@describe.register
def _(entry: Plan):
    uses = ", ".join(
        f"{use.service} {use.calls_per_second:g}/s burst {use.burst} "
        f"on {' '.join(use.routes)}"
        for use in entry.uses
    )
    routes = "".join(f", {_describe_route(route)}" for route in entry.routes)
    default = "default, " if entry.is_default else ""
    return f"{default}priority {entry.priority} ({uses or 'no use'}{routes})"


@describe.register
def _(entry: CallerLimits):
    return (
        f"head {entry.max_header_bytes} bytes in {entry.header_seconds:g} s, "
        f"body {entry.max_body_bytes} bytes, idle {entry.idle_seconds:g} s"
    )


def _describe_route(route):
    services = " ".join(f"{part.service}:{part.weight:g}" for part in route.services)
    values = {
        "timeout": route.timeout_seconds,
        "objective": route.objective_seconds,
        "attempts": route.attempts,
    }
    options = "".join(f" {name} {value:g}" for name, value in values.items() if value)
    priority = "" if route.priority is None else f" priority {route.priority}"
    match = f"{route.host or '*'}{route.prefix}"
    return f"route {route.name} {match} {route.kind} to {services}{options}{priority}"


def compare_lists(before, after):
    """Return the Changes from one OperatorLists to another."""
    return (
        *_compare(PLAN, before.plans_by_name, after.plans_by_name),
        *_compare(CUSTOMER, before.customers_by_id, after.customers_by_id),
        *_compare(LIMITS, {CALLERS: before.limits}, {CALLERS: after.limits}),
    )


def _compare(kind, before, after):
    names = sorted(before.keys() | after.keys())
    changes = (Change(kind, name, before.get(name), after.get(name)) for name in names)
    return tuple(change for change in changes if change.before != change.after)


def merge_lists(base, theirs, mine):
    """Return ``theirs`` with the changes from ``base`` to ``mine`` applied.

    Raise MergeConflictError, naming every conflicting entry, when both sides changed
    an entry in different ways or when a customer's plan is missing from the result.
    """
    their_changes = {
        (change.kind, change.name): change for change in compare_lists(base, theirs)
    }
    my_changes = compare_lists(base, mine)
    conflicts = [
        f"{change.kind} {change.name}: theirs {describe(other.after)}, "
        f"mine {describe(change.after)}"
        for change in my_changes
        if (other := their_changes.get((change.kind, change.name)))
        and other.after != change.after
    ]
    merged = _with_changes(theirs, my_changes)
    conflicts += _customers_without_plan(merged)
    if conflicts:
        raise MergeConflictError(conflicts)
    return merged


def _with_changes(lists, changes):
    entries_by_kind = {
        CUSTOMER: dict(lists.customers_by_id),
        PLAN: dict(lists.plans_by_name),
        LIMITS: {CALLERS: lists.limits},
    }
    for change in changes:
        entries = entries_by_kind[change.kind]
        entries.pop(change.name, None)
        if change.after is not None:
            entries[change.name] = change.after
    return OperatorLists.of(
        entries_by_kind[CUSTOMER].values(),
        entries_by_kind[PLAN].values(),
        entries_by_kind[LIMITS][CALLERS],
    )


def _customers_without_plan(lists):
    return [
        f"customer {customer.id}: one edit gives it plan {customer.plan}, "
        "the other removes that plan"
        for customer in lists.customers_by_id.values()
        if customer.plan not in lists.plans_by_name
    ]
