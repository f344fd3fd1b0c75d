"""Runs moves through real processes, to validate the simulated ones."""

from dataclasses import dataclass

from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.bench.move_session import run_move, start_version
from rattanworks.model.service import MoveStatus
from rattanworks.settings.lists import parse_lists

SERVICE = "catalogue"
CUSTOMER = "shop"
SERVERS = 3
MOVE_SECONDS = 30.0
CALLS_PER_SECOND = 80
TIMEOUT_SECONDS = 30.0

CUSTOMERS = b"""
[customers.shop]
plan = "counter"
"""

PLANS = b"""
[plans.counter]
priority = 2
[plans.counter.uses.catalogue]
calls_per_second = 2000
"""


@dataclass(frozen=True, slots=True)
class RealKind:
    """A kind of version and the behaviour of the stand-in server that simulates it."""

    name: str
    is_good: bool
    behaviour: str
    kills_holder: bool = False


REAL_KINDS = (
    RealKind("good", True, '{"work_seconds": 0.01}'),
    RealKind("fails at once", False, '{"work_seconds": 0.01, "fail_share": 0.5}'),
    RealKind("slow by 3", False, '{"work_seconds": 0.01, "slow_factor": 3.0}'),
    RealKind(
        "fails later",
        False,
        '{"work_seconds": 0.01, "fail_share": 1.0, "fail_after_seconds": 15.0}',
    ),
    RealKind("holder killed (good)", True, '{"work_seconds": 0.01}', True),
)
OLD_BEHAVIOUR = '{"work_seconds": 0.01}'


def run_real_trials(count, seed):
    """Run ``count`` moves through real processes in sequence; return figures."""
    rows = []
    with running_store() as store:
        for number in range(count):
            kind = REAL_KINDS[(seed + number) % len(REAL_KINDS)]
            with running_fleet(store, f"real-{number}") as fleet:
                rows.append(_result_row(kind, _run_one(fleet, kind)))
    return {
        "trials": len(rows),
        "agree": sum(row["ended_as_expected"] for row in rows),
        "moves": rows,
    }


def _run_one(fleet, kind):
    places = [
        Place(f"old-{n}", "qc-est", f"qc-est-{n}", SERVICE, "v1", 6, 100)
        for n in range(SERVERS)
    ]
    fleet.start_all(places, OLD_BEHAVIOUR)
    fleet.wait_ready()
    head = fleet.accept(parse_lists(CUSTOMERS, PLANS))
    wait_until(lambda: fleet.has_in_force(head.version), TIMEOUT_SECONDS, "lists")
    start_version(fleet, SERVICE, "v2", kind.behaviour)
    on_state = HolderKiller(fleet) if kind.kills_holder else None
    return run_move(
        fleet, SERVICE, "v2", MOVE_SECONDS, CUSTOMER, CALLS_PER_SECOND, on_state
    )


class HolderKiller:
    """Kills the first role holder of a move once the new version has a share."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._has_killed = False

    def __call__(self, state):
        """Kill the holder named in the state if the new version has a share."""
        if self._has_killed or not state.move.share:
            return
        self._has_killed = True
        self._fleet.nodes_by_name[state.move.holder].process.kill()


def _result_row(kind, result):
    expected = MoveStatus.DONE if kind.is_good else MoveStatus.TAKEN_BACK
    return {
        "kind": kind.name,
        "status": result.status.name.lower(),
        "ended_as_expected": result.status == expected and result.in_time,
        "seconds": result.seconds,
        "max_share": result.max_share,
        "calls": result.calls,
        "new_calls": result.new_calls,
        "failed_calls": result.failed_calls,
        "new_calls_2_s_after_end": result.new_calls_after_end,
        "reason": result.state.move.reason,
    }
