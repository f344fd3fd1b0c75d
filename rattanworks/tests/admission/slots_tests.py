"""Slots, the order of the queue and immediate refusals."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.admission.call_queue import AdmissionResult
from rattanworks.admission.slots import SlotQueue
from rattanworks.admission.waiting import Rank
from rattanworks.bench.fleet import wait_until
from rattanworks.tests.fakes import FakeClock

LIMIT_SECONDS = 30.0
FAR_DEADLINE = 1000.0


def rank(priority=2, deadline=FAR_DEADLINE, is_beyond_plan=False):
    return Rank(is_beyond_plan, priority, deadline)


class SlotQueueTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.executor = self.enterContext(ThreadPoolExecutor(16))

    def queue(self, slots=1, length=2):
        queue = SlotQueue(slots, length, self.clock)
        # Calls that a failing test leaves waiting must not block the executor.
        self.addCleanup(queue.close)
        return queue

    def wait_in(self, queue, rank):
        before = queue.waiting
        future = self.executor.submit(queue.acquire, rank)
        wait_until(
            lambda: future.done() or queue.waiting > before, LIMIT_SECONDS, "queued"
        )
        return future

    def test_waiters_within_their_plan_come_first_then_priority_then_deadline(self):
        queue = self.queue(length=4)
        held = queue.acquire(rank())
        ranks = [
            rank(1, 10.0, is_beyond_plan=True),
            rank(2, 20.0),
            rank(2, 10.0),
            rank(1, 30.0),
        ]
        futures = [self.wait_in(queue, item) for item in ranks]
        for expected in (3, 2, 1, 0):
            queue.release(held)
            held = futures[expected].result(LIMIT_SECONDS)
            self.assertTrue(held.is_granted)
            self.assertFalse(any(futures[i].done() for i in range(expected)))

    def test_a_better_call_displaces_the_worst_waiter_which_is_answered_at_once(self):
        queue = self.queue(length=1)
        held = queue.acquire(rank())
        worst = self.wait_in(queue, rank(6))
        better = self.executor.submit(queue.acquire, rank(1))
        self.assertEqual(worst.result(LIMIT_SECONDS).result, AdmissionResult.DISPLACED)
        queue.release(held)
        self.assertTrue(better.result(LIMIT_SECONDS).is_granted)

    def test_a_full_queue_refuses_a_worse_call_at_once(self):
        queue = self.queue(length=1)
        queue.acquire(rank())
        self.wait_in(queue, rank(1))
        refused = queue.acquire(rank(6))
        self.assertEqual(refused.result, AdmissionResult.FULL)
        self.assertGreater(refused.retry_after, 0)

    def test_refuses_at_once_when_the_queue_drains_too_slowly(self):
        queue = self.queue()
        held = queue.acquire(rank())
        self.clock.advance(10.0)
        queue.release(held)
        queue.acquire(rank())
        refused = queue.acquire(rank(deadline=15.0))
        self.assertEqual(refused.result, AdmissionResult.TOO_SLOW)
        self.assertEqual(refused.retry_after, 10.0)

    def test_a_waiter_pushed_back_past_its_deadline_is_answered_at_once(self):
        queue = self.queue(length=4)
        held = queue.acquire(rank())
        self.clock.advance(10.0)
        queue.release(held)
        queue.acquire(rank())
        pushed = self.wait_in(queue, rank(6, deadline=25.0))
        self.assertFalse(pushed.done())
        self.executor.submit(queue.acquire, rank(1))
        self.assertEqual(pushed.result(LIMIT_SECONDS).result, AdmissionResult.TOO_SLOW)

    def test_a_waiter_past_its_deadline_gets_no_slot(self):
        queue = self.queue()
        held = queue.acquire(rank())
        late = self.wait_in(queue, rank(deadline=50.0))
        self.clock.advance(51.0)
        queue.release(held)
        self.assertEqual(late.result(LIMIT_SECONDS).result, AdmissionResult.EXPIRED)
        self.assertEqual(queue.running, 0)

    def test_a_waiter_is_answered_when_its_deadline_passes(self):
        queue = self.queue()
        queue.acquire(rank())
        refused = queue.acquire(rank(deadline=0.05))
        self.assertEqual(refused.result, AdmissionResult.EXPIRED)
        self.assertEqual(queue.waiting, 0)

    def test_a_waiter_is_answered_once_too_little_time_is_left_to_run(self):
        queue = self.queue()
        queue.acquire(rank())
        refused = queue.acquire(
            Rank(False, 2, FAR_DEADLINE, expected_seconds=FAR_DEADLINE - 0.05)
        )
        self.assertEqual(refused.result, AdmissionResult.EXPIRED)
        self.assertEqual(queue.waiting, 0)

    def test_closing_answers_every_waiter_at_once(self):
        queue = self.queue()
        queue.acquire(rank())
        waiter = self.wait_in(queue, rank())
        queue.close()
        self.assertEqual(waiter.result(LIMIT_SECONDS).result, AdmissionResult.CLOSED)
        self.assertEqual(queue.acquire(rank()).result, AdmissionResult.CLOSED)

    def test_more_slots_are_given_to_waiters_at_once(self):
        queue = self.queue()
        queue.acquire(rank())
        waiter = self.wait_in(queue, rank())
        queue.resize(2)
        self.assertTrue(waiter.result(LIMIT_SECONDS).is_granted)

    def test_never_more_calls_than_slots_run_at_once(self):
        queue = self.queue(slots=3, length=16)
        peak, running, lock = 0, 0, threading.Lock()

        def work(_):
            nonlocal peak, running
            admission = queue.acquire(rank())
            with lock:
                running += 1
                peak = max(peak, running)
            with lock:
                running -= 1
            queue.release(admission)

        list(self.executor.map(work, range(400)))
        self.assertLessEqual(peak, 3)
        self.assertEqual((queue.running, queue.waiting), (0, 0))


class LimitedSlotQueueTests(unittest.TestCase):
    def test_a_call_that_waits_for_a_slot_starts_when_a_new_limit_lets_it(self):
        queue = SlotQueue(1, 2, SystemClock())
        self.addCleanup(queue.close)
        far = time.monotonic() + FAR_DEADLINE
        with ThreadPoolExecutor(1) as executor:
            queue.update_limit(20.0)
            held = [queue.acquire(rank(deadline=far))]
            future = executor.submit(queue.acquire, rank(deadline=far))
            wait_until(lambda: queue.waiting, LIMIT_SECONDS, "queued")
            # The calls of the burst are used up before the slot is free.
            while not queue.limit.wait_seconds(time.monotonic()):
                queue.limit.take(time.monotonic())
            queue.release(held[0])
            self.assertTrue(future.result(LIMIT_SECONDS).is_granted)
