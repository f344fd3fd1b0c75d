"""Trials of moves: good versions done in time, bad ones taken back."""

from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from importlib import resources

from rattanworks.bench.base import Bench, Report
from rattanworks.bench.figures import percentile
from rattanworks.bench.move_feed import run_trial
from rattanworks.bench.move_kinds import KINDS, draw_scenario
from rattanworks.bench.move_real import run_real_trials
from rattanworks.exceptions import UsageError
from rattanworks.model.service import MoveStatus
from rattanworks.settings.base import load_settings
from rattanworks.settings.moves import MOVE_DEFAULTS, MOVES

WORKERS = 8
CHUNK = 4
DEPLOYMENTS = ("moulages-fossiles", "palheta-viva")
PLOTTED_KINDS = ("good", "fails at once", "fails later", "slow by 1.5")
# Settings compared by --trade: (false_alarm_rate, final_doubt_rate, control_share).
TRADE_OFF = (
    (0.0001, 0.0001, 0.05),
    (0.001, 0.001, 0.05),
    (0.01, 0.01, 0.05),
    (0.01, 0.2, 0.05),
    (0.05, 0.2, 0.05),
    (0.05, 0.2, 0.2),
    (0.2, 0.2, 0.05),
    (0.5, 0.5, 0.05),
)


class MovesBench(Bench):
    """Seeded trials by kind, in simulated time and through real processes."""

    name = "moves"
    help = "good versions done in time, bad versions taken back"

    def add_arguments(self, parser):
        """Declare the number of trials, their settings and kinds."""
        parser.add_argument("--trials", type=int, default=260)
        parser.add_argument(
            "--real", type=int, default=0, help="trials through real processes"
        )
        parser.add_argument(
            "--deployment", choices=DEPLOYMENTS, help="take this example's settings"
        )
        parser.add_argument("--kind", choices=KINDS, help="only this kind")
        parser.add_argument(
            "--trade", action="store_true", help="compare settings with each other"
        )

    def run(self, arguments):
        """Run the trials and return the Report."""
        if arguments.trials < 1 or arguments.real < 0:
            raise UsageError("--trials must be at least 1 and --real at least 0")
        settings = move_settings(arguments.deployment)
        kinds = (arguments.kind,) if arguments.kind else KINDS
        scenarios = _draw_scenarios(arguments.seed, arguments.trials, kinds)
        if arguments.trade:
            return Report(
                self.name, arguments.seed, _compare_settings(scenarios, settings)
            )
        results = _run_all(scenarios, settings)
        figures = {"trials": len(results), **summarize(results)}
        figures["by_kind"] = {
            kind: summarize(members) for kind, members in _by_kind(results).items()
        }
        if arguments.real:
            figures["real"] = run_real_trials(arguments.real, arguments.seed)
        return Report(
            self.name,
            arguments.seed,
            figures,
            _shares_by_kind(results),
            ("part of the time until the finish", "share of the new version"),
        )


def _shares_by_kind(results):
    """Return the shares over time of the first trial of each plotted kind."""
    shares = {}
    for result in results:
        scenario = result.scenario
        if scenario.kind in PLOTTED_KINDS and scenario.kind not in shares:
            shares[scenario.kind] = [
                (round(second / scenario.move_seconds, 4), share)
                for second, share in result.shares
            ]
    return shares


def move_settings(deployment):
    """Return the move settings of an example deployment, or the defaults."""
    if not deployment:
        return MOVE_DEFAULTS
    folder = resources.files("rattanworks") / "examples" / deployment
    return load_settings(str(folder / "moves.toml"), MOVES)


def _draw_scenarios(seed, trials, kinds):
    return [
        draw_scenario(kinds[number % len(kinds)], f"{seed}/{number // len(kinds)}")
        for number in range(trials)
    ]


def _run_all(scenarios, settings):
    with ProcessPoolExecutor(WORKERS) as executor:
        return list(
            executor.map(
                run_trial, scenarios, [settings] * len(scenarios), chunksize=CHUNK
            )
        )


def _by_kind(results):
    groups = defaultdict(list)
    for result in results:
        groups[result.scenario.kind].append(result)
    return groups


def summarize(results):
    """Return the figures of some trials.

    ``bad_shown`` counts the bad versions that the ReferenceDetector detected before
    the move ended. The two delays are counted from that detection and from the first
    bad call, each to the last call of the new version.
    """
    good = [result for result in results if result.scenario.is_good]
    bad = [result for result in results if not result.scenario.is_good]
    taken_back = [r for r in bad if r.status == MoveStatus.TAKEN_BACK]
    shown = [r.seconds_shown_to_none for r in bad]
    first = [r.seconds_first_bad_to_none for r in bad]
    return {
        "good": len(good),
        "good_done_in_time": sum(
            r.status == MoveStatus.DONE and r.in_time for r in good
        ),
        "bad": len(bad),
        "bad_taken_back": len(taken_back),
        "bad_shown": sum(r.is_shown for r in bad),
        "bad_shown_taken_back": sum(r.is_shown for r in taken_back),
        "bad_share_max": round(max((r.share_before_shown for r in bad), default=0), 3),
        "seconds_from_badness_to_none": _percentiles(shown),
        "seconds_from_first_bad_call_to_none": _percentiles(first),
    }


def _percentiles(values):
    measured = [value for value in values if value is not None]
    return {
        f"p{percent}": round(percentile(measured, percent), 2) for percent in (50, 99)
    }


def _compare_settings(scenarios, settings):
    figures = {}
    for alarm, doubt, control in TRADE_OFF:
        changed = replace(
            settings,
            false_alarm_rate=alarm,
            final_doubt_rate=doubt,
            control_share=control,
        )
        name = f"alarm={alarm:g} doubt={doubt:g} control={control:g}"
        figures[name] = _comparison_row(_run_all(scenarios, changed))
    return figures


def _comparison_row(results):
    figures = summarize(results)
    return {
        "good_in_time": f"{figures['good_done_in_time']}/{figures['good']}",
        "bad_taken_back": f"{figures['bad_taken_back']}/{figures['bad']}",
        **figures["seconds_from_badness_to_none"],
    }
