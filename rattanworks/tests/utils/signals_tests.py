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
    def test_a_signal_that_another_thread_took_ends_the_wait(self):
        event = threading.Event()
        previous = signal.signal(signal.SIGUSR1, lambda number, frame: event.set())
        self.addCleanup(signal.signal, signal.SIGUSR1, previous)
        unblock = threading.Event()
        taker = threading.Thread(target=unblock.wait, args=(SAFETY_SECONDS,))
        taker.start()
        signal.pthread_kill(taker.ident, signal.SIGUSR1)
        wait_with_signals(event, lambda: None)
        self.assertTrue(event.is_set())
        unblock.set()
        taker.join()

    def test_a_signal_that_another_thread_takes_is_noticed_without_a_check(self):
        event, checks = threading.Event(), []
        previous = signal.signal(signal.SIGUSR1, lambda number, frame: event.set())
        self.addCleanup(signal.signal, signal.SIGUSR1, previous)

        def take():
            # Let the main thread begin to wait; an early signal proves nothing.
            time.sleep(EARLY_SECONDS)
            signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)

        def check():
            checks.append(True)
            event.set()

        taker = threading.Thread(target=take)
        taker.start()
        with unittest.mock.patch.object(signals, "CHECK_SECONDS", SAFETY_SECONDS / 2):
            signals.wait_with_signals(event, check)
        taker.join()
        self.assertEqual(checks, [])

    def test_something_is_looked_at_while_waiting(self):
        event = threading.Event()
        wait_with_signals(event, event.set)
        self.assertTrue(event.is_set())
