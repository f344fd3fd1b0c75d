import unittest
import unittest.mock

from rattanworks.node.metrics import new_delays, new_registry
from rattanworks.utils import delays
from rattanworks.utils.delays import ANSWER, LOGGED_SECONDS, REQUEST, TIMER, WorkDelays


class WorkDelaysTests(unittest.TestCase):
    def test_each_kind_has_its_own_histogram(self):
        registry = new_registry()
        work_delays = new_delays(registry)
        for kind, count in ((REQUEST, 1), (ANSWER, 2), (TIMER, 3)):
            for _ in range(count):
                work_delays.record(kind, 0.004)
        for kind, count in ((REQUEST, 1), (ANSWER, 2), (TIMER, 3)):
            name = "rattanworks_work_delay_seconds_count"
            self.assertEqual(registry.get_sample_value(name, {"kind": kind}), count)

    def test_only_delays_that_callers_notice_are_logged(self):
        with unittest.mock.patch.object(delays, "log_event") as log_event:
            WorkDelays().record(REQUEST, LOGGED_SECONDS / 2, "r1")
            log_event.assert_not_called()
            WorkDelays().record(REQUEST, 2 * LOGGED_SECONDS, "r2")
        log_event.assert_called_once_with(
            "work-delayed",
            kind=REQUEST,
            seconds=2 * LOGGED_SECONDS,
            request_id="r2",
        )

    def test_a_clock_that_runs_back_counts_as_no_delay(self):
        observed = []
        WorkDelays({TIMER: observed.append}).record(TIMER, -0.001)
        self.assertEqual(observed, [0.0])
