"""Calls to a backend server that names a limit, without threads."""

import unittest

from rattanworks.admission.call_queue import AdmissionResult, CallQueue, Waiter
from rattanworks.admission.rate_limit import (
    HOLD_SECONDS,
    MIN_CALLS_PER_SECOND,
    RateLimit,
)
from rattanworks.admission.waiting import Rank
from rattanworks.tests.rates import SLACK_CALLS, allowed_in_window, most_in_window

STEP_SECONDS = 0.005
RUN_SECONDS = 0.06


class RateLimitTests(unittest.TestCase):
    def starts(self, limit, since, until):
        """Start calls whenever the limit lets one start; return the times."""
        times, now = [], since
        while now < until:
            if not limit.wait_seconds(now):
                limit.take(now)
                times.append(now)
            else:
                now += STEP_SECONDS
        return times

    def test_calls_keep_to_the_rate_and_use_it(self):
        for rate in (1.0, 7.5, 32.6, 400.0):
            with self.subTest(rate=rate):
                limit = RateLimit()
                limit.update(rate, 0.0)
                times = self.starts(limit, 0.0, 12.0)
                self.assertLessEqual(most_in_window(times), allowed_in_window(rate))
                self.assertGreaterEqual(len(times), 0.95 * rate * 12.0)

    def test_a_limit_that_changes_at_every_answer_is_kept(self):
        """The answers of several calls name old and new limits in any order."""
        limit, times = RateLimit(), []
        for number in range(4000):
            now = number * STEP_SECONDS
            limit.update((5.0, 20.0, 5.0, None)[number % 4], now)
            if not limit.wait_seconds(now):
                limit.take(now)
                times.append(now)
        self.assertLessEqual(most_in_window(times), allowed_in_window(20.0))

    def test_a_limit_is_lifted_some_time_after_the_last_answer_that_named_it(self):
        limit = RateLimit()
        self.assertFalse(limit.update(None, 0.0))
        self.assertTrue(limit.update(10.0, 0.0))
        self.assertFalse(limit.update(10.0, 1.0))
        self.assertFalse(limit.update(None, 1.0 + HOLD_SECONDS / 2))
        self.assertEqual(limit.calls_per_second, 10.0)
        self.assertTrue(limit.update(None, 1.0 + HOLD_SECONDS))
        self.assertIsNone(limit.calls_per_second)
        self.assertEqual(limit.wait_seconds(2.0, calls_ahead=50), 0.0)

    def test_a_limit_of_zero_still_lets_the_node_ask(self):
        limit = RateLimit()
        limit.update(0.0, 0.0)
        times = self.starts(limit, 0.0, 20.0)
        self.assertGreaterEqual(len(times), 20.0 * MIN_CALLS_PER_SECOND)
        self.assertLessEqual(most_in_window(times), SLACK_CALLS)

    def test_a_raised_limit_holds_at_once(self):
        limit = RateLimit()
        limit.update(MIN_CALLS_PER_SECOND, 0.0)
        limit.take(0.0)
        limit.update(100.0, 0.1)
        self.assertEqual(limit.wait_seconds(0.2), 0.0)


class LimitedQueueTests(unittest.TestCase):
    """Load pattern: a server with six slots names half of what they could do."""

    RATE = 32.6

    def setUp(self):
        self.queue = CallQueue(6, 6)
        for _ in range(20):
            self.run_one(0.0)

    def run_one(self, now):
        waiter = self.submit(now)
        self.queue.release(waiter.admission, now + RUN_SECONDS)

    def submit(self, now, deadline_seconds=0.8):
        rank = Rank(
            False, 1, now + deadline_seconds, now + 0.2, expected_seconds=RUN_SECONDS
        )
        waiter = Waiter(rank)
        self.queue.submit(waiter, now)
        return waiter

    def play(self, calls_per_second, seconds):
        """Send calls at a rate; return the starts, the waits and the refusals."""
        running, waiting, starts, waits, refusals = [], [], [], [], []
        now, due = 1.0, 1.0
        while now < 1.0 + seconds:
            while running and running[0][0] <= now:
                self.queue.release(running.pop(0)[1].admission, now)
            self.queue.grant_waiters(now)
            while due <= now:
                waiting.append((now, self.submit(now)))
                due += 1 / calls_per_second
            for arrived_at, waiter in waiting:
                if waiter.admission is None:
                    continue
                if waiter.admission.is_granted:
                    running.append((now + RUN_SECONDS, waiter))
                    starts.append(now)
                    waits.append(now - arrived_at)
                else:
                    refusals.append(waiter.admission)
            waiting = [pair for pair in waiting if pair[1].admission is None]
            now += STEP_SECONDS
        return starts, waits, refusals

    def test_the_server_gets_its_rate_and_the_rest_is_refused_with_a_time(self):
        self.queue.update_limit(self.RATE, 1.0)
        starts, waits, refusals = self.play(100.0, 12.0)
        self.assertLessEqual(most_in_window(starts), allowed_in_window(self.RATE))
        self.assertGreaterEqual(len(starts), 0.9 * self.RATE * 12.0)
        # Waits are those of a server with as many slots as the rate keeps busy.
        self.assertLessEqual(max(waits), 0.2)
        self.assertTrue(all(refusal.retry_after > 0 for refusal in refusals))

    def test_its_load_is_that_of_a_smaller_server(self):
        for _ in range(3):
            self.submit(1.0)
        self.assertLess(self.queue.load, 1.0)
        self.queue.update_limit(self.RATE, 1.0)
        self.assertGreater(self.queue.load, 1.0)

    def test_a_call_that_the_limit_makes_too_late_is_refused_at_once(self):
        self.queue.update_limit(0.5, 1.0)
        waiters = [self.submit(1.0) for _ in range(2)]
        self.assertTrue(waiters[0].admission.is_granted)
        self.assertEqual(waiters[1].admission.result, AdmissionResult.TOO_SLOW)
        self.assertGreaterEqual(waiters[1].admission.retry_after, 1.0)

    def test_a_lifted_limit_starts_the_calls_that_wait(self):
        self.queue.update_limit(2.0, 1.0)
        waiters = [self.submit(1.0, deadline_seconds=9.0) for _ in range(2)]
        self.assertIsNone(waiters[1].admission)
        self.queue.update_limit(None, 1.0 + HOLD_SECONDS)
        self.assertTrue(all(waiter.admission.is_granted for waiter in waiters))
