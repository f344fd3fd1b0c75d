import time
import unittest

from rattanworks.exceptions import (
    AnswerBudgetExhaustedError,
    AnswerTooLargeError,
    CallAbandonedError,
)
from rattanworks.tests.servers import EndlessServer, ScriptedServer, raw_answer
from rattanworks.utils.answer_limits import (
    COPIES_PER_BODY,
    LARGE_BODY_BYTES,
    RESERVATION_STEP_BYTES,
    AnswerBounds,
)
from rattanworks.utils.http_connection import RequestOptions
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.memory_budget import MemoryBudget

LARGE = b"x" * (2 * RESERVATION_STEP_BYTES)
RESERVED_BYTES = len(LARGE) * COPIES_PER_BODY
GENEROUS_SECONDS = 60.0
LONG_BODY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n"


class AnswerReservationTests(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(RESERVED_BYTES)
        self.bounds = AnswerBounds(len(LARGE), self.budget)

    def ask(self, body, framing=None, **options):
        server = ScriptedServer([raw_answer(body, framing=framing)])
        self.addCleanup(server.close)
        return self.ask_at(server.address, **options)

    def ask_at(self, address, **options):
        pool = HttpPool(address, 1, self.bounds)
        self.addCleanup(pool.close)
        options = RequestOptions(time.monotonic() + GENEROUS_SECONDS, **options)
        return pool.send("GET", "/endless", (), b"", options)

    def test_a_large_body_reserves_twice_its_size_until_it_is_released(self):
        chunks = b"200000\r\n" + LARGE + b"\r\n0\r\n\r\n"
        for framing, sent in (
            (None, LARGE),
            ("Transfer-Encoding: chunked\r\n", chunks),
        ):
            with self.subTest(framing):
                body = self.ask(sent, framing).body
                self.assertEqual(body, LARGE)
                self.assertEqual(self.budget.reserved, RESERVED_BYTES)
                del body
                self.assertEqual(self.budget.reserved, 0)

    def test_small_bodies_reserve_nothing(self):
        answer = self.ask(LARGE[:LARGE_BODY_BYTES])
        self.assertEqual(len(answer.body), LARGE_BODY_BYTES)
        self.assertEqual(self.budget.reserved, 0)

    def test_two_large_bodies_do_not_fit_into_a_budget_for_one(self):
        first = self.ask(LARGE)
        with self.assertRaises(AnswerBudgetExhaustedError):
            self.ask(LARGE)
        self.assertEqual(self.budget.reserved, RESERVED_BYTES)
        self.assertEqual(self.ask(b"small").body, b"small")
        del first
        self.assertEqual(self.ask(LARGE).body, LARGE)

    def test_a_body_above_the_limit_is_refused_and_reserves_nothing(self):
        chunks = b"%x\r\n" % (len(LARGE) + 1) + LARGE + b"x\r\n0\r\n\r\n"
        for framing, sent in (
            (None, LARGE + b"x"),
            ("Transfer-Encoding: chunked\r\n", chunks),
            ("Connection: close\r\n", LARGE + LARGE),
        ):
            with self.subTest(framing):
                with self.assertRaises(AnswerTooLargeError):
                    self.ask(sent, framing, may_end_by_close=True)
                self.assertEqual(self.budget.reserved, 0)

    def test_an_announced_length_reserves_nothing_before_its_bytes_arrive(self):
        self.bounds = AnswerBounds(2 * len(LARGE), self.budget)
        server = EndlessServer(LONG_BODY_HEAD, b"x", 0.01)
        self.addCleanup(server.close)
        seen = []

        def is_abandoned():
            seen.append(self.budget.reserved)
            return server.is_streaming.is_set()

        with self.assertRaises(CallAbandonedError):
            self.ask_at(server.address, is_abandoned=is_abandoned)
        self.assertEqual(set(seen), {0})
