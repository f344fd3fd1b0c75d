"""The waiting line without threads: who is in front of whom."""

import unittest

from rattanworks.admission.line import AdmissionResult, CallQueue, Waiter
from rattanworks.admission.waiting import Rank


def short_rank(now=0.0):
    return Rank(False, 1, now + 0.2, now + 0.06, 0.015)


def long_rank(now=0.0):
    return Rank(False, 1, now + 1.0, now + 0.25, 0.08)


class WaitingLineTests(unittest.TestCase):
    def setUp(self):
        self.line = CallQueue(2, 4)

    def arrive(self, rank, now=0.0):
        waiter = Waiter(rank)
        self.line.submit(waiter, now)
        return waiter

    def test_a_short_call_finds_only_what_runs_in_front_of_it(self):
        for _ in range(5):
            self.arrive(long_rank())
        self.assertEqual(self.line.load, 2.5)
        self.assertEqual(self.line.load_ahead(short_rank(), 0.0, 0.0), 1.0)
        self.assertEqual(self.line.load_ahead(long_rank(), 0.0, 0.0), 2.5)

    def test_a_slot_given_back_goes_to_the_first_in_line(self):
        running = [self.arrive(long_rank()) for _ in range(2)]
        waiting = self.arrive(long_rank())
        short = self.arrive(short_rank())
        self.line.release(running[0].admission, 0.08)
        self.assertTrue(short.admission.is_granted)
        self.assertIsNone(waiting.admission)

    def test_the_line_is_bounded_and_the_last_is_told_at_once(self):
        waiters = [self.arrive(long_rank(i * 0.001), i * 0.001) for i in range(7)]
        self.assertEqual(self.line.waiting, 4)
        self.assertEqual(waiters[-1].admission.result, AdmissionResult.FULL)

    def test_a_settled_waiter_does_not_expire(self):
        granted = self.arrive(long_rank())
        self.line.expire(granted)
        self.assertTrue(granted.admission.is_granted)

    def test_a_closed_line_refuses_all(self):
        self.arrive(long_rank())
        self.arrive(long_rank())
        waiting = self.arrive(long_rank())
        self.line.close()
        late = self.arrive(long_rank())
        self.assertEqual(waiting.admission.result, AdmissionResult.CLOSED)
        self.assertEqual(late.admission.result, AdmissionResult.CLOSED)


if __name__ == "__main__":
    unittest.main()
