"""Pipelined requests behind one that is still running."""

import socket
import threading
import time
import unittest
import unittest.mock

from rattanworks.bench.fleet import wait_until
from rattanworks.model.route import CallerLimits
from rattanworks.utils import http_parts
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.wsgi import Response, path_of, read_body, respond

LIMIT_SECONDS = 30.0
HEADER_SECONDS = 0.2
SLOW = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"


class PipelinedTests(unittest.TestCase):
    def setUp(self):
        self.started, self.release = threading.Event(), threading.Event()
        self.addCleanup(self.release.set)
        self.server = HttpServer(self.app, "127.0.0.1", 0, 4, 65536, "test")
        self.server.start()
        self.addCleanup(self.server.stop)
        host, _, port = self.server.address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), LIMIT_SECONDS)
        self.addCleanup(self.sock.close)

    def app(self, environ, start_response):
        body = read_body(environ)
        if path_of(environ) == "/slow":
            self.started.set()
            self.release.wait(LIMIT_SECONDS)
        answer = f"{path_of(environ)} whole {len(body)}\n"
        return respond(start_response, Response(200, answer.encode()))

    @property
    def channels(self):
        return list(self.server._server.active_channels.values())

    def begin(self, content):
        """Send requests of which the first is slow; return once it is running."""
        self.sock.sendall(content)
        self.assertTrue(self.started.wait(LIMIT_SECONDS))

    def wait_until_next_is_read(self):
        """Wait until the server has read a part of the next request."""
        wait_until(
            lambda: any(channel.request for channel in self.channels),
            LIMIT_SECONDS,
            "a part of the next request is read",
        )

    def wait_for_maintenance(self, times=2):
        """Wait until the server has checked ``times`` for overdue connections."""
        done = threading.Semaphore(0)
        maintain = self.server._maintain

        def counted(now):
            maintain(now)
            done.release()

        self.server._server.maintenance = counted
        for _ in range(times):
            self.assertTrue(done.acquire(timeout=LIMIT_SECONDS))

    def read_until(self, ending):
        """Return the bytes up to ``ending`` or the end of the stream."""
        got = b""
        while ending not in got and (piece := self.sock.recv(65536)):
            got += piece
        return got


class LimitTests(PipelinedTests):
    def test_an_overdue_head_does_not_cut_the_running_request_before_it(self):
        self.server.apply(CallerLimits(header_seconds=HEADER_SECONDS))
        self.begin(SLOW + NEXT[:-4])
        self.wait_until_next_is_read()
        time.sleep(2 * HEADER_SECONDS)
        self.wait_for_maintenance()
        self.release.set()
        self.assertIn(b"/slow whole 0\n", self.read_until(b"whole 0\n"))

    def test_the_time_limit_of_a_head_starts_when_earlier_requests_are_answered(self):
        self.server.apply(CallerLimits(header_seconds=10.0))
        self.begin(SLOW + NEXT[:-4])
        self.wait_until_next_is_read()
        # As if it had begun to arrive 60 s ago.
        self.channels[0].request.head_timed_since -= 60.0
        self.wait_for_maintenance()
        self.release.set()
        self.assertIn(b"/slow whole 0\n", self.read_until(b"whole 0\n"))
        self.wait_for_maintenance(1)
        self.sock.sendall(NEXT[-4:])
        self.assertIn(b"/next whole 0\n", self.read_until(b"whole 0\n"))

    def test_an_overdue_head_closes_a_connection_without_other_requests(self):
        self.server.apply(CallerLimits(header_seconds=HEADER_SECONDS))
        self.begin(SLOW + NEXT[:-4])
        self.release.set()
        self.assertIn(b"/slow whole 0\n", self.read_until(b"whole 0\n"))
        self.assertEqual(self.sock.recv(65536), b"")

    def test_lower_limits_of_a_new_version_do_not_affect_a_running_request(self):
        self.begin(SLOW)
        self.server.apply(CallerLimits(16, 0, 0.001, 0.001))
        for channel in self.channels:
            channel.last_activity -= 60.0
        self.wait_for_maintenance()
        self.release.set()
        self.assertIn(b"/slow whole 0\n", self.read_until(b"whole 0\n"))

    def test_an_arriving_body_keeps_the_limit_under_which_it_began(self):
        head = b"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
        self.sock.sendall(head + bytes(500))
        self.wait_until_next_is_read()
        self.server.apply(CallerLimits(max_body_bytes=1000))
        self.sock.sendall(bytes(1500))
        self.assertIn(b"/body whole 2000\n", self.read_until(b"whole 2000\n"))
        self.sock.sendall(head)
        self.assertIn(b" 413 ", self.read_until(b"\r\n"))

    def test_an_arriving_head_keeps_the_limit_under_which_it_began(self):
        head = NEXT[:-2] + b"X-Long: " + b"a" * 1000 + b"\r\n\r\n"
        self.sock.sendall(head[:600])
        self.wait_until_next_is_read()
        self.server.apply(CallerLimits(max_header_bytes=300))
        self.sock.sendall(head[600:])
        self.assertIn(b"/next whole 0\n", self.read_until(b"whole 0\n"))
        self.sock.sendall(head)
        self.assertIn(b" 431 ", self.read_until(b"\r\n"))


class ClosingTests(PipelinedTests):
    """A connection closes only after the last of the requests that were read."""

    def assert_both_are_answered(self):
        wait_until(
            lambda: any(len(channel.requests) == 2 for channel in self.channels),
            LIMIT_SECONDS,
            "the second request is read whole",
        )
        self.release.set()
        first, _, second = self.read_until(b"/next whole").partition(b"/slow whole")
        self.assertNotIn(b"Connection: close", first)
        self.assertIn(b"Connection: close", second)
        self.assertIn(b"/next whole", second)

    def test_draining_answers_a_request_read_behind_a_running_one(self):
        self.begin(SLOW + NEXT)
        self.server.drain()
        self.assert_both_are_answered()

    def test_above_the_keep_alive_limit_a_request_behind_a_running_one_is_answered(
        self,
    ):
        with unittest.mock.patch.object(http_parts, "MAX_KEEP_ALIVE_CONNECTIONS", 0):
            self.begin(SLOW + NEXT)
            self.assert_both_are_answered()


if __name__ == "__main__":
    unittest.main()
