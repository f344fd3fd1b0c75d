import signal
import threading
import time
import unittest
import unittest.mock

from rattanworks.node import daemon
from rattanworks.tests.platform.session_tests import Session

LIMIT_SECONDS = 30.0
LATE_SECONDS = 0.2


class StopTimeTests(unittest.TestCase):
    def test_a_stop_counts_from_its_signal_not_from_when_it_is_noticed(self):
        node = Session(self).daemon
        node._on_signal(signal.SIGTERM, None)
        asked_at = time.monotonic()
        time.sleep(LATE_SECONDS)
        self.assertLessEqual(node.new_stop_plan().began, asked_at)

    def test_a_repeated_signal_does_not_lengthen_the_stop(self):
        node = Session(self).daemon
        node._on_signal(signal.SIGTERM, None)
        first = node.new_stop_plan()
        node._on_signal(signal.SIGTERM, None)
        self.assertEqual(node.new_stop_plan(), first)

    def test_a_process_that_waits_past_its_stop_ends_and_says_so(self):
        ended = threading.Event()

        def end(status):
            self.assertEqual(status, daemon.EXIT_FORCED)
            ended.set()

        with (
            unittest.mock.patch.object(daemon.os, "_exit", end),
            unittest.mock.patch.object(daemon, "log_event") as log_event,
        ):
            daemon._end_at(time.monotonic())
        self.assertTrue(ended.is_set())
        log_event.assert_called_once_with("stop-overdue")
