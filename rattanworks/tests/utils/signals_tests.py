import signal
import threading
import time
import unittest
import unittest.mock

from rattanworks.utils import signals
from rattanworks.utils.signals import wait_with_signals

SAFETY_SECONDS = 60.0
EARLY_SECONDS = 0.2


class SignalTests(unittest.TestCase):
    def test_a_signal_delivered_to_another_thread_ends_the_wait(self):
        event = threading.Event()
        previous = signal.signal(signal.SIGUSR1, lambda number, frame: event.set())
        self.addCleanup(signal.signal, signal.SIGUSR1, previous)
        unblock = threading.Event()
        target = threading.Thread(target=unblock.wait, args=(SAFETY_SECONDS,))
        target.start()
        signal.pthread_kill(target.ident, signal.SIGUSR1)
        wait_with_signals(event, lambda: None)
        self.assertTrue(event.is_set())
        unblock.set()
        target.join()

    def test_a_signal_delivered_to_another_thread_is_handled_before_the_next_check(
        self,
    ):
        event, checks = threading.Event(), []
        previous = signal.signal(signal.SIGUSR1, lambda number, frame: event.set())
        self.addCleanup(signal.signal, signal.SIGUSR1, previous)

        def send_signal():
            # Let the main thread start to wait: an earlier signal would test nothing.
            time.sleep(EARLY_SECONDS)
            signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)

        def check():
            checks.append(True)
            event.set()

        target = threading.Thread(target=send_signal)
        target.start()
        with unittest.mock.patch.object(signals, "CHECK_SECONDS", SAFETY_SECONDS / 2):
            signals.wait_with_signals(event, check)
        target.join()
        self.assertEqual(checks, [])

    def test_on_check_is_called_while_waiting(self):
        event = threading.Event()
        wait_with_signals(event, event.set)
        self.assertTrue(event.is_set())
