"""Trials of several policies side by side."""

import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from rattanworks.bench.load.policy import POLICIES_BY_NAME
from rattanworks.bench.load.scenario import Scenario
from rattanworks.bench.load.trial import play

# Figures of a trial that are averaged over the trials.
AVERAGED = ("goodput", "refused_again", "held_ms_p99", "crossed_mb", "repeat_share")


@dataclass(frozen=True, slots=True)
class Trial:
    """One trial of an experiment; the policy by its name."""

    scenario: Scenario
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Experiment:
    """Every policy on every scenario, with the same seeds for each."""

    scenarios: tuple[Scenario, ...]
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    workers: int = 1

    def run(self):
        """Return the averaged figures by scenario, load and policy."""
        cells = [
            (scenario, policy)
            for scenario in self.scenarios
            for policy in self.policies
        ]
        trials = [Trial(*cell, seed) for cell in cells for seed in self.seeds]
        figures = self._played(trials)
        count = len(self.seeds)
        return {
            (scenario.name, scenario.load, policy): _averaged(
                figures[index * count : (index + 1) * count]
            )
            for index, (scenario, policy) in enumerate(cells)
        }

    def _played(self, trials):
        if self.workers == 1:
            return [play_trial(trial) for trial in trials]
        with ProcessPoolExecutor(self.workers) as executor:
            return list(executor.map(play_trial, trials))


def play_trial(trial):
    """Return the figures of a trial; runs in a process of its own."""
    return play(trial.scenario, POLICIES_BY_NAME[trial.policy], trial.seed)


def at_loads(scenario, loads):
    """Return the scenario with each of the loads."""
    return tuple(replace(scenario, load=load) for load in loads)


def _averaged(figures):
    return {
        name: round(statistics.mean(figure[name] for figure in figures), 4)
        for name in AVERAGED
    } | {"goodput_least": min(figure["goodput"] for figure in figures)}
