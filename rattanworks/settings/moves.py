"""Settings of moves to a new version."""

from dataclasses import dataclass

from rattanworks.settings.base import Number, Table


@dataclass(frozen=True, slots=True)
class MoveSettings:
    """How a move to a new version is evaluated and scheduled.

    ``first_share`` is the share of the first stage, ``control_share`` the share that
    the old version keeps for comparison in the last stage. ``false_alarm_rate`` is
    the probability that a good version is taken back (rolled back) during one move.
    A good version may fail more often by ``failure_tolerance`` (share of calls) and
    be slower by ``slow_tolerance`` (factor). ``finish_margin`` is the part of the
    move's time that is kept free before the finish time. ``final_doubt_rate`` is the
    error rate of the last look at the evidence. Latencies in the first
    ``warm_up_seconds`` after a node's first call to its backend server are not
    counted.
    """

    first_share: float = 0.05
    control_share: float = 0.05
    false_alarm_rate: float = 0.01
    final_doubt_rate: float = 0.05
    failure_tolerance: float = 0.01
    slow_tolerance: float = 1.2
    finish_margin: float = 0.1
    warm_up_seconds: float = 10.0


MOVE_DEFAULTS = MoveSettings()

MOVES = Table(
    {
        "first_share": Number(MOVE_DEFAULTS.first_share, 0.001, 0.5),
        "control_share": Number(MOVE_DEFAULTS.control_share, 0.0, 0.5),
        "false_alarm_rate": Number(MOVE_DEFAULTS.false_alarm_rate, 1e-9, 0.5),
        "final_doubt_rate": Number(MOVE_DEFAULTS.final_doubt_rate, 1e-9, 1.0),
        "failure_tolerance": Number(MOVE_DEFAULTS.failure_tolerance, 1e-6, 0.5),
        "slow_tolerance": Number(MOVE_DEFAULTS.slow_tolerance, 1.0, 10.0),
        "finish_margin": Number(MOVE_DEFAULTS.finish_margin, 0.0, 0.5),
        "warm_up_seconds": Number(MOVE_DEFAULTS.warm_up_seconds, 0.0, 600.0),
    },
    MoveSettings,
    default=MOVE_DEFAULTS,
)
