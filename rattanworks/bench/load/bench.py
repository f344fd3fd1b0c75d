"""`rattanworks bench load`: compares load-handling policies in a simulation."""

import os
from collections import defaultdict

from rattanworks.bench.base import Bench, Report
from rattanworks.bench.load.experiment import Experiment, at_loads
from rattanworks.bench.load.policy import POLICIES_BY_NAME
from rattanworks.bench.load.scenarios import SCENARIOS_BY_NAME
from rattanworks.exceptions import UsageError

DEFAULT_SCENARIOS = "lasting_overload,burst,half_gone"
DEFAULT_POLICIES = "product,first_come_first_served"
DEFAULT_TRIALS = 4


class LoadBench(Bench):
    """Runs admission and routing policies against simulated services and callers."""

    name = "load"
    help = "compare policies on load in a model, without processes"

    def add_arguments(self, parser):
        """Declare the options of this bench."""
        parser.add_argument(
            "--scenarios",
            default=DEFAULT_SCENARIOS,
            help=f"of {', '.join(SCENARIOS_BY_NAME)}; default: {DEFAULT_SCENARIOS}",
        )
        parser.add_argument(
            "--policies",
            default=DEFAULT_POLICIES,
            help=f"of {', '.join(POLICIES_BY_NAME)}; default: {DEFAULT_POLICIES}",
        )
        parser.add_argument(
            "--loads",
            default="",
            help="factors on the rates of the scenarios, such as 1,1.3,1.6; "
            "default: each scenario's own",
        )
        parser.add_argument(
            "--trials", type=int, default=DEFAULT_TRIALS, help="seeds of each cell"
        )
        parser.add_argument(
            "--workers",
            type=int,
            default=max(1, (os.cpu_count() or 2) // 2),
            help="processes that play trials; default: half of the processors",
        )

    def run(self, arguments):
        """Run all trials and return the Report."""
        scenarios = _select(arguments.scenarios, SCENARIOS_BY_NAME, "scenario")
        policies = [
            policy.name
            for policy in _select(arguments.policies, POLICIES_BY_NAME, "policy")
        ]
        loads = _parse_loads(arguments.loads)
        if loads:
            scenarios = [s for one in scenarios for s in at_loads(one, loads)]
        seeds = tuple(range(arguments.seed, arguments.seed + arguments.trials))
        experiment = Experiment(
            tuple(scenarios), tuple(policies), seeds, arguments.workers
        )
        figures_by_cell = experiment.run()
        return Report(
            self.name,
            arguments.seed,
            _table(figures_by_cell, arguments.trials),
            _series(figures_by_cell) if loads else {},
            ("load", "goodput"),
        )


def _select(text, known_by_name, description):
    names = [name for name in text.split(",") if name]
    unknown = sorted(set(names) - set(known_by_name))
    if unknown or not names:
        known = ", ".join(known_by_name)
        raise UsageError(
            f"unknown {description} {', '.join(unknown) or '-'}; known: {known}"
        )
    return [known_by_name[name] for name in names]


def _parse_loads(text):
    try:
        return tuple(float(part) for part in text.split(",") if part)
    except ValueError:
        raise UsageError(
            f"--loads takes numbers separated by commas, not {text!r}"
        ) from None


def _table(figures_by_cell, trials):
    table = defaultdict(dict)
    for (scenario, load, policy), figures in figures_by_cell.items():
        table[f"{scenario}_load_{load:g}"][policy] = figures
    return {"trials": trials, "scenarios": dict(table)}


def _series(figures_by_cell):
    series = defaultdict(list)
    for (scenario, load, policy), figures in figures_by_cell.items():
        series[f"{scenario}, {policy}"].append((load, figures["goodput"]))
    return dict(series)
