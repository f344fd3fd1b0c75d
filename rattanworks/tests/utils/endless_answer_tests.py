"""Backend servers and stores that send bytes without end."""

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
# What the first read past a bound may bring.
READ_BYTES = 64 * KIBIBYTE
LINES_BYTES = 64 * KIBIBYTE
BODY_BYTES = 64 * MEBIBYTE
GENEROUS_SECONDS = 60.0
DRIP_SECONDS = 0.3
DRIP_PAUSE_SECONDS = 0.005

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
HUGE = HEAD + b"Content-Length: 1000000000000\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BLOCK = b"x" * 64 * KIBIBYTE
LONG = b"x" * KIBIBYTE

# What is sent first and what then comes again and again.
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
OTHERS_BY_NAME = {
    "header lines": (HEAD, b"X-A: b\r\n"),
    "chunk of a negative size": (CHUNKED + b"-5\r\n", BLOCK),
}
DRIPS_BY_PLACE = {
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

    def send(self, target, seconds, **terms):
        terms = RequestOptions(
            time.monotonic() + seconds, may_end_by_close=True, **terms
        )
        return self.pool.send("GET", target, (), b"", terms)

    def require_cut(self, kind, seconds=GENEROUS_SECONDS, **terms):
        """Ask for bytes without end; they end in an error and disturb nobody."""
        with self.assertRaises(kind) as caught:
            self.send("/endless", seconds, **terms)
        self.assertIs(type(caught.exception), kind, caught.exception)
        self.assertTrue(self.server.is_left())
        self.assertEqual(self.send("/x", GENEROUS_SECONDS).body, b"ok")

    def require_read(self, most_bytes):
        self.assertLessEqual(self.connections[0].reader.received, most_bytes)

    def test_lines_without_end_are_cut(self):
        for place, (begin, piece) in LINES_BY_PLACE.items():
            with self.subTest(place):
                self.connections.clear()
                self.start(begin, piece)
                self.require_cut(AnswerTooLargeError)
                # The head of an answer is counted for itself.
                self.require_read(len(CHUNKED) + LINES_BYTES + READ_BYTES)

    def test_bodies_without_end_are_cut(self):
        for framing, (begin, piece) in BODIES_BY_FRAMING.items():
            with self.subTest(framing):
                self.connections.clear()
                self.start(begin, piece)
                self.require_cut(AnswerTooLargeError)
                self.require_read(BODY_BYTES + LINES_BYTES + 2 * READ_BYTES)

    def test_an_announced_length_is_refused_before_it_comes(self):
        self.start(*BODIES_BY_FRAMING["length"])
        self.require_cut(AnswerTooLargeError)
        self.require_read(READ_BYTES)

    def test_what_no_answer_may_have_is_cut(self):
        for name, (begin, piece) in OTHERS_BY_NAME.items():
            with self.subTest(name):
                self.connections.clear()
                self.start(begin, piece)
                self.require_cut(CallOutcomeUnknownError)
                self.require_read(2 * READ_BYTES)

    def test_the_deadline_ends_bytes_that_drip(self):
        for place, (begin, piece) in DRIPS_BY_PLACE.items():
            with self.subTest(place):
                self.start(begin, piece, DRIP_PAUSE_SECONDS)
                self.require_cut(CallTimedOutError, DRIP_SECONDS)

    def test_the_deadline_ends_bytes_that_come_fast(self):
        self.start(CHUNKED, b"1\r\nx\r\n" * KIBIBYTE)
        self.require_cut(CallTimedOutError, DRIP_SECONDS)

    def test_a_caller_who_leaves_ends_bytes_that_drip(self):
        for place, (begin, piece) in DRIPS_BY_PLACE.items():
            with self.subTest(place):
                self.start(begin, piece, DRIP_PAUSE_SECONDS)
                self.require_cut(
                    CallAbandonedError, is_abandoned=self.server.is_streaming.is_set
                )

    def test_a_caller_who_leaves_ends_bytes_that_come_fast(self):
        self.start(CHUNKED, b"1\r\nx\r\n" * KIBIBYTE)
        self.require_cut(
            CallAbandonedError, is_abandoned=self.server.is_streaming.is_set
        )


class EndlessStoreTests(unittest.TestCase):
    """A store whose answers have no end, but for the key that is absent."""

    def start(self, begin, piece, pause=0.0, seconds=GENEROUS_SECONDS):
        self.server = EndlessServer(begin, piece, pause, absent)
        self.addCleanup(self.server.close)
        self.store = PlatformStore(self.server.address, "mesh", seconds, 1.0)
        self.addCleanup(self.store.close)

    def require_cut(self, kind, step):
        with self.assertRaises(kind):
            step()
        self.assertTrue(self.server.is_left())
        self.assertIsNone(self.store.get("roles/absent"))

    def test_answers_without_end_are_cut(self):
        for framing in BODIES_BY_FRAMING:
            with self.subTest(framing):
                self.start(*BODIES_BY_FRAMING[framing])
                self.require_cut(
                    StoreUnavailableError, lambda: self.store.get("roles/endless")
                )
                self.require_cut(
                    StoreAnswerLostError, lambda: self.store.write_all(ENDLESS_WRITES)
                )

    def test_the_time_limit_ends_answers_that_drip(self):
        for place in DRIPS_BY_PLACE:
            with self.subTest(place):
                self.start(*DRIPS_BY_PLACE[place], DRIP_PAUSE_SECONDS, DRIP_SECONDS)
                self.require_cut(
                    StoreUnavailableError, lambda: self.store.get("roles/endless")
                )


def absent(request):
    return raw_answer(b"", status="404 Not Found")
