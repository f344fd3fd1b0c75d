"""The queue without threads: its order, load and refusals."""

import unittest

from rattanworks.admission.call_queue import AdmissionResult, CallQueue, Waiter
from rattanworks.admission.waiting import Rank


def short_rank(now=0.0):
    return Rank(False, 1, now + 0.2, now + 0.06, 0.015)


def long_rank(now=0.0):
    return Rank(False, 1, now + 1.0, now + 0.25, 0.08)


class CallQueueTests(unittest.TestCase):
    def setUp(self):
        self.queue = CallQueue(2, 4)

    def submit(self, rank, now=0.0):
        waiter = Waiter(rank)
        self.queue.submit(waiter, now)
        return waiter

    def test_only_running_calls_are_ahead_of_a_short_call(self):
        for _ in range(5):
            self.submit(long_rank())
        self.assertEqual(self.queue.load, 2.5)
        self.assertEqual(self.queue.load_ahead(short_rank(), 0.0, 0.0), 1.0)
        self.assertEqual(self.queue.load_ahead(long_rank(), 0.0, 0.0), 2.5)

    def test_a_released_slot_goes_to_the_first_in_the_queue(self):
        running = [self.submit(long_rank()) for _ in range(2)]
        waiting = self.submit(long_rank())
        short = self.submit(short_rank())
        self.queue.release(running[0].admission, 0.08)
        self.assertTrue(short.admission.is_granted)
        self.assertIsNone(waiting.admission)

    def test_the_queue_is_bounded_and_the_last_call_is_refused_at_once(self):
        waiters = [self.submit(long_rank(i * 0.001), i * 0.001) for i in range(7)]
        self.assertEqual(self.queue.waiting, 4)
        self.assertEqual(waiters[-1].admission.result, AdmissionResult.FULL)

    def test_a_completed_waiter_does_not_expire(self):
        granted = self.submit(long_rank())
        self.queue.expire(granted)
        self.assertTrue(granted.admission.is_granted)

    def test_a_closed_queue_refuses_all_calls(self):
        self.submit(long_rank())
        self.submit(long_rank())
        waiting = self.submit(long_rank())
        self.queue.close()
        late = self.submit(long_rank())
        self.assertEqual(waiting.admission.result, AdmissionResult.CLOSED)
        self.assertEqual(late.admission.result, AdmissionResult.CLOSED)


if __name__ == "__main__":
    unittest.main()
