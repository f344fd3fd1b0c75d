"""Backend servers of the model: runs that take time, call others and fail."""

import math
from dataclasses import replace

from rattanworks.bench.load.scenario import TroubleKind
from rattanworks.model.call import Answer, refusal

SHED_STATUS = 503
SHED_RETRY_AFTER_SECONDS = 0.05
DEADLINE_STATUS = 504
FAILED_STATUS = 500
# A run in a hundred takes several times as long as its kind's usual run.
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0


class ModelBackend:
    """Runs as many calls at once as it is given; ``pace`` is a factor on each run.

    ``entry`` takes the calls that runs make; it is set by the trial.
    """

    def __init__(self, pace, timeline, rng):
        self.entry = None
        self.slow_factor = 1.0
        self.part_by_trouble = {}
        self._pace = pace
        self._timeline = timeline
        self._random = rng

    def run(self, call, kind, done):
        """Run a call of a kind; ``done`` takes the Answer."""
        if self._random.random() < self._part(TroubleKind.SHEDDING):
            shed = refusal(SHED_STATUS, "shed", SHED_RETRY_AFTER_SECONDS)
            self._timeline.after(0.0, done, replace(shed, is_offered=True))
            return
        is_failing = self._random.random() < self._part(TroubleKind.FAILING)
        seconds = self._work_seconds(kind)
        calls = kind.calls
        if calls is None or self._random.random() >= calls.share:
            self._finish(call, seconds, is_failing, done)
            return
        # The calls are made halfway through the run, which goes on once they end.
        self._timeline.after(
            seconds / 2, self._call_others, call, calls, seconds / 2, is_failing, done
        )

    def _call_others(self, call, calls, seconds, is_failing, done):
        answers = []

        def one_ended(answer):
            answers.append(answer)
            if len(answers) < calls.times:
                return
            is_lost = any(a.status >= FAILED_STATUS for a in answers)
            if is_lost:
                done(Answer(FAILED_STATUS, is_offered=True))
            else:
                self._finish(call, seconds, is_failing, done)

        for _ in range(calls.times):
            self.entry.begin(calls.kind, call.deadline, one_ended)

    def _finish(self, call, seconds, is_failing, done):
        left = call.deadline - self._timeline.monotonic()
        status = FAILED_STATUS if is_failing else 200
        if seconds > left:
            seconds, status = max(0.0, left), DEADLINE_STATUS
        self._timeline.after(seconds, done, Answer(status, is_offered=True))

    def _part(self, trouble):
        return self.part_by_trouble.get(trouble, 0.0)

    def _work_seconds(self, kind):
        middle = math.log(kind.work) - kind.spread**2 / 2
        seconds = self._random.lognormvariate(middle, kind.spread)
        if self._random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        return seconds * self._pace * self.slow_factor
