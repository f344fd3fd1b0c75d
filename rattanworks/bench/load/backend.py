"""Simulated backend servers: runs that take time, make nested calls and fail."""

import math
from dataclasses import replace

from rattanworks.bench.load.scenario import DisturbanceKind
from rattanworks.model.call import Answer, refusal

SHED_STATUS = 503
SHED_RETRY_AFTER_SECONDS = 0.05
DEADLINE_STATUS = 504
FAILED_STATUS = 500
# One run in a hundred takes five times as long as drawn for its kind.
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0


class ModelBackend:
    """Simulates a backend server, with no limit of its own on concurrent runs.

    ``time_factor`` multiplies the time of each run. ``entry`` receives the nested
    calls that runs make; the trial sets it.
    """

    def __init__(self, time_factor, timeline, rng):
        self.entry = None
        self.slow_factor = 1.0
        self.share_by_disturbance = {}
        self._time_factor = time_factor
        self._timeline = timeline
        self._random = rng

    def run(self, call, kind, done):
        """Run a call of a kind and pass the Answer to ``done``."""
        if self._random.random() < self._share_of(DisturbanceKind.SHEDDING):
            shed = refusal(SHED_STATUS, "shed", SHED_RETRY_AFTER_SECONDS)
            self._timeline.call_later(0.0, done, replace(shed, is_offered=True))
            return
        is_failing = self._random.random() < self._share_of(DisturbanceKind.FAILING)
        seconds = self._draw_run_seconds(kind)
        calls = kind.calls
        if calls is None or self._random.random() >= calls.share:
            self._finish(call, seconds, is_failing, done)
            return
        # Nested calls are made halfway through the run; the second half starts when
        # all of them are answered.
        self._timeline.call_later(
            seconds / 2,
            self._make_nested_calls,
            call,
            calls,
            seconds / 2,
            is_failing,
            done,
        )

    def _make_nested_calls(self, call, calls, seconds, is_failing, done):
        answers = []

        def answered(answer):
            answers.append(answer)
            if len(answers) < calls.count:
                return
            has_failed = any(a.status >= FAILED_STATUS for a in answers)
            if has_failed:
                done(Answer(FAILED_STATUS, is_offered=True))
            else:
                self._finish(call, seconds, is_failing, done)

        for _ in range(calls.count):
            self.entry.begin(calls.kind, call.deadline, answered)

    def _finish(self, call, seconds, is_failing, done):
        seconds_left = call.deadline - self._timeline.monotonic()
        status = FAILED_STATUS if is_failing else 200
        if seconds > seconds_left:
            seconds, status = max(0.0, seconds_left), DEADLINE_STATUS
        self._timeline.call_later(seconds, done, Answer(status, is_offered=True))

    def _share_of(self, disturbance):
        return self.share_by_disturbance.get(disturbance, 0.0)

    def _draw_run_seconds(self, kind):
        mu = math.log(kind.mean_run_seconds) - kind.sigma**2 / 2
        seconds = self._random.lognormvariate(mu, kind.sigma)
        if self._random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        return seconds * self._time_factor * self.slow_factor
