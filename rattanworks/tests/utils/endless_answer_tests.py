"""Answers of backend servers and stores that never end are cut off."""

import time
import unittest
from unittest import mock

from rattanworks.exceptions import (
    AnswerTooLargeError,
    CallAbandonedError,
    CallOutcomeUnknownError,
    CallTimedOutError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from rattanworks.platform.store import PlatformStore
from rattanworks.ports.base import ABSENT, Write
from rattanworks.tests.servers import EndlessServer, raw_answer
from rattanworks.utils import http_pool
from rattanworks.utils.http_connection import Connection, RequestOptions
from rattanworks.utils.http_pool import HttpPool

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
# Bytes that the first read past a limit may return.
READ_BYTES = 64 * KIBIBYTE
LINES_BYTES = 64 * KIBIBYTE
BODY_BYTES = 64 * MEBIBYTE
GENEROUS_SECONDS = 60.0
SHORT_SECONDS = 0.3
PIECE_PAUSE_SECONDS = 0.005

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
HUGE = HEAD + b"Content-Length: 1000000000000\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BLOCK = b"x" * 64 * KIBIBYTE
LONG = b"x" * KIBIBYTE

# For each place in an answer: the bytes sent first, and those repeated without end.
LINES_BY_PLACE = {
    "interim heads": (b"", CONTINUE),
    "lines of an interim head": (b"HTTP/1.1 100 Continue\r\n", b"X-A: " + BLOCK[:8000]),
    "long header lines": (HEAD, b"X-A: " + LONG + b"\r\n"),
    "one header line": (HEAD + b"X-A: ", LONG),
    "status line": (b"HTTP/1.1 200 ", LONG),
    "chunk's size line": (CHUNKED + b"5;", LONG),
    "size lines of small chunks": (CHUNKED, b"1;" + LONG + b"\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "one trailer": (CHUNKED + b"0\r\nX-A: ", LONG),
}
BODIES_BY_FRAMING = {
    "length": (HUGE, BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "one chunk": (CHUNKED + b"FFFFFFFFFF\r\n", BLOCK),
    "no length": (UNFRAMED, BLOCK),
}
INVALID_BY_NAME = {
    "header lines": (HEAD, b"X-A: b\r\n"),
    "chunk of a negative size": (CHUNKED + b"-5\r\n", BLOCK),
}
SLOW_ANSWERS_BY_PLACE = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "interim heads": (b"", CONTINUE),
    "header line": (HEAD + b"X-A: ", b"x"),
    "length": (HUGE.replace(b"1000000000000", b"1000000"), b"x"),
    "chunk": (CHUNKED + b"FFFF\r\n", b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk's size line": (CHUNKED + b"5;", b"x"),
    "no length": (UNFRAMED, b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
}
ENDLESS_WRITES = (Write("roles/endless", b"x", ABSENT),)


class EndlessAnswerTests(unittest.TestCase):
    def setUp(self):
        self.connections = []

        def connect(*arguments):
            self.connections.append(Connection(*arguments))
            return self.connections[-1]

        patch = mock.patch.object(http_pool, "Connection", connect)
        patch.start()
        self.addCleanup(patch.stop)

    def start(self, begin, piece, pause=0.0):
        self.server = EndlessServer(begin, piece, pause)
        self.addCleanup(self.server.close)
        self.pool = HttpPool(self.server.address, 1)
        self.addCleanup(self.pool.close)

    def send(self, target, seconds, **options):
        options = RequestOptions(
            time.monotonic() + seconds, may_end_by_close=True, **options
        )
        return self.pool.send("GET", target, (), b"", options)

    def require_cut_off(self, kind, seconds=GENEROUS_SECONDS, **options):
        """Require that an endless answer raises ``kind`` and the next call succeeds."""
        with self.assertRaises(kind) as caught:
            self.send("/endless", seconds, **options)
        self.assertIs(type(caught.exception), kind, caught.exception)
        self.assertTrue(self.server.wait_for_disconnect())
        self.assertEqual(self.send("/x", GENEROUS_SECONDS).body, b"ok")

    def require_read_at_most(self, max_bytes):
        self.assertLessEqual(self.connections[0].reader.received, max_bytes)

    def test_endless_lines_are_cut_off(self):
        for place, (begin, piece) in LINES_BY_PLACE.items():
            with self.subTest(place):
                self.connections.clear()
                self.start(begin, piece)
                self.require_cut_off(AnswerTooLargeError)
                # The head of an answer counts separately from its body.
                self.require_read_at_most(len(CHUNKED) + LINES_BYTES + READ_BYTES)

    def test_endless_bodies_are_cut_off(self):
        for framing, (begin, piece) in BODIES_BY_FRAMING.items():
            with self.subTest(framing):
                self.connections.clear()
                self.start(begin, piece)
                self.require_cut_off(AnswerTooLargeError)
                self.require_read_at_most(BODY_BYTES + LINES_BYTES + 2 * READ_BYTES)

    def test_an_announced_length_above_the_limit_is_refused_before_the_body(self):
        self.start(*BODIES_BY_FRAMING["length"])
        self.require_cut_off(AnswerTooLargeError)
        self.require_read_at_most(READ_BYTES)

    def test_invalid_answers_are_cut_off(self):
        for name, (begin, piece) in INVALID_BY_NAME.items():
            with self.subTest(name):
                self.connections.clear()
                self.start(begin, piece)
                self.require_cut_off(CallOutcomeUnknownError)
                self.require_read_at_most(2 * READ_BYTES)

    def test_the_deadline_ends_a_slow_endless_answer(self):
        for place, (begin, piece) in SLOW_ANSWERS_BY_PLACE.items():
            with self.subTest(place):
                self.start(begin, piece, PIECE_PAUSE_SECONDS)
                self.require_cut_off(CallTimedOutError, SHORT_SECONDS)

    def test_the_deadline_ends_a_fast_endless_answer(self):
        self.start(CHUNKED, b"1\r\nx\r\n" * KIBIBYTE)
        self.require_cut_off(CallTimedOutError, SHORT_SECONDS)

    def test_a_caller_that_disconnects_ends_a_slow_endless_answer(self):
        for place, (begin, piece) in SLOW_ANSWERS_BY_PLACE.items():
            with self.subTest(place):
                self.start(begin, piece, PIECE_PAUSE_SECONDS)
                self.require_cut_off(
                    CallAbandonedError, is_abandoned=self.server.is_streaming.is_set
                )

    def test_a_caller_that_disconnects_ends_a_fast_endless_answer(self):
        self.start(CHUNKED, b"1\r\nx\r\n" * KIBIBYTE)
        self.require_cut_off(
            CallAbandonedError, is_abandoned=self.server.is_streaming.is_set
        )


class EndlessStoreTests(unittest.TestCase):
    """A store whose answers never end, except for one absent key."""

    def start(self, begin, piece, pause=0.0, seconds=GENEROUS_SECONDS):
        self.server = EndlessServer(begin, piece, pause, absent)
        self.addCleanup(self.server.close)
        self.store = PlatformStore(self.server.address, "mesh", seconds, 1.0)
        self.addCleanup(self.store.close)

    def require_cut_off(self, kind, step):
        with self.assertRaises(kind):
            step()
        self.assertTrue(self.server.wait_for_disconnect())
        self.assertIsNone(self.store.get("roles/absent"))

    def test_endless_answers_are_cut_off(self):
        for framing in BODIES_BY_FRAMING:
            with self.subTest(framing):
                self.start(*BODIES_BY_FRAMING[framing])
                self.require_cut_off(
                    StoreUnavailableError, lambda: self.store.get("roles/endless")
                )
                self.require_cut_off(
                    StoreAnswerLostError, lambda: self.store.write_all(ENDLESS_WRITES)
                )

    def test_the_time_limit_ends_slow_endless_answers(self):
        for place in SLOW_ANSWERS_BY_PLACE:
            with self.subTest(place):
                self.start(
                    *SLOW_ANSWERS_BY_PLACE[place], PIECE_PAUSE_SECONDS, SHORT_SECONDS
                )
                self.require_cut_off(
                    StoreUnavailableError, lambda: self.store.get("roles/endless")
                )


def absent(request):
    return raw_answer(b"", status="404 Not Found")
