"""Runs the same trials under several policies."""

import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from rattanworks.bench.load.policy import POLICIES_BY_NAME
from rattanworks.bench.load.scenario import Scenario
from rattanworks.bench.load.trial import simulate

# Figures of a trial whose mean over the seeds is reported.
AVERAGED_FIGURES = (
    "goodput",
    "refused_again",
    "held_ms_p99",
    "crossed_mb",
    "repeat_share",
)


@dataclass(frozen=True, slots=True)
class Trial:
    """One trial of an experiment; ``policy`` is a key of POLICIES_BY_NAME."""

    scenario: Scenario
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Experiment:
    """Runs every policy on every scenario, each pair with the same seeds."""

    scenarios: tuple[Scenario, ...]
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    workers: int = 1

    def run(self):
        """Return a dict of mean figures by (scenario name, load, policy name)."""
        cells = [
            (scenario, policy)
            for scenario in self.scenarios
            for policy in self.policies
        ]
        trials = [Trial(*cell, seed) for cell in cells for seed in self.seeds]
        figures = self._run_trials(trials)
        count = len(self.seeds)
        return {
            (scenario.name, scenario.load, policy): _averaged(
                figures[index * count : (index + 1) * count]
            )
            for index, (scenario, policy) in enumerate(cells)
        }

    def _run_trials(self, trials):
        if self.workers == 1:
            return [run_trial(trial) for trial in trials]
        with ProcessPoolExecutor(self.workers) as executor:
            return list(executor.map(run_trial, trials))


def run_trial(trial):
    """Return the figures of a trial; called in worker processes."""
    return simulate(trial.scenario, POLICIES_BY_NAME[trial.policy], trial.seed)


def at_loads(scenario, loads):
    """Return a copy of the scenario for each of the loads."""
    return tuple(replace(scenario, load=load) for load in loads)


def _averaged(figures):
    return {
        name: round(statistics.mean(figure[name] for figure in figures), 4)
        for name in AVERAGED_FIGURES
    } | {"goodput_least": min(figure["goodput"] for figure in figures)}
