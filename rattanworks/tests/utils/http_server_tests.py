import http.client
import math
import threading
import unittest
import unittest.mock

from rattanworks.bench.fleet import wait_until
from rattanworks.tests.servers import exchange_raw
from rattanworks.utils import http_parts, http_server
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.wsgi import Response, path_of, respond

LIMIT_SECONDS = 30.0
# Long enough for a stop that waits for nothing to end.
NOT_ENDED_SECONDS = 0.5
MALFORMED_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n"


class DrainTests(unittest.TestCase):
    def setUp(self):
        self.started, self.release = threading.Event(), threading.Event()
        self.addCleanup(self.release.set)
        self.paths = []
        self.server = HttpServer(self.app, "127.0.0.1", 0, 4, 1024, "test")
        self.server.start()
        self.addCleanup(self.server.stop)

    def app(self, environ, start_response):
        self.paths.append(path_of(environ))
        if path_of(environ) == "/slow":
            self.started.set()
            self.release.wait(LIMIT_SECONDS)
        return respond(start_response, Response(200, b"whole"))

    def connect(self, server=None):
        connection = http.client.HTTPConnection(
            (server or self.server).address, timeout=LIMIT_SECONDS
        )
        self.addCleanup(connection.close)
        return connection

    def test_above_the_keep_alive_limit_each_answer_closes_its_connection(self):
        connection = self.connect()
        connection.request("GET", "/first")
        answer = connection.getresponse()
        self.assertEqual(answer.read(), b"whole")
        self.assertIsNone(answer.headers["Connection"])
        with unittest.mock.patch.object(http_parts, "MAX_KEEP_ALIVE_CONNECTIONS", 0):
            connection.request("GET", "/second")
            answer = connection.getresponse()
        self.assertEqual(answer.read(), b"whole")
        self.assertEqual(answer.headers["Connection"], "close")
        wait_until(
            lambda: not self.server.has_connections, LIMIT_SECONDS, "it is closed"
        )

    def test_a_close_after_the_answer_is_not_logged_as_a_cut_call(self):
        self.server.close_after_answers()
        with unittest.mock.patch.object(http_parts, "log_event") as log_event:
            for number in range(50):
                connection = self.connect()
                connection.request("GET", f"/{number}")
                self.assertEqual(connection.getresponse().read(), b"whole")
            wait_until(
                lambda: not self.server.has_connections, LIMIT_SECONDS, "all closed"
            )
        log_event.assert_not_called()

    def test_idle_connections_close_and_a_running_request_is_answered(self):
        idle, busy = self.connect(), self.connect()
        idle.request("GET", "/first")
        self.assertEqual(idle.getresponse().read(), b"whole")
        busy.request("GET", "/slow")
        self.assertTrue(self.started.wait(LIMIT_SECONDS))
        self.server.drain()

        def is_closed():
            self.server.close_idle_connections()
            return idle.sock is None or self._has_ended(idle.sock)

        wait_until(is_closed, LIMIT_SECONDS, "the idle connection is closed")
        self.assertTrue(self.server.has_connections)
        self.release.set()
        self.assertEqual(busy.getresponse().read(), b"whole")

        def is_empty():
            self.server.close_idle_connections()
            return not self.server.has_connections

        wait_until(is_empty, LIMIT_SECONDS, "no connection is left")
        self.assertEqual(self.paths, ["/first", "/slow"])

    def test_a_call_cut_by_a_stop_is_logged_with_its_id_and_reason(self):
        server = HttpServer(self.app, "127.0.0.1", 0, 4, 1024, "stopped")
        server.start()
        connection = http.client.HTTPConnection(server.address, timeout=LIMIT_SECONDS)
        self.addCleanup(connection.close)
        connection.request("GET", "/slow", headers={"X-Request-Id": "r-cut"})
        self.assertTrue(self.started.wait(LIMIT_SECONDS))
        self.assertEqual(server.active_count, 1)
        with unittest.mock.patch.object(http_parts, "log_event") as log_event:
            server.stop()
        (call,) = log_event.call_args_list
        self.assertEqual(call.args, ("call-cut",))
        self.assertEqual(call.kwargs["request_id"], "r-cut")
        self.assertEqual(call.kwargs["reason"], "stopped")

    def test_a_connection_accepted_as_the_server_stops_is_not_left_open(self):
        accepting, accept = threading.Event(), threading.Event()
        self.addCleanup(accept.set)
        server = HttpServer(self.app, "127.0.0.1", 0, 4, 1024, "stopped")
        handle_accept = server._server.handle_accept

        def accept_late():
            accepting.set()
            accept.wait(LIMIT_SECONDS)
            handle_accept()

        server._server.handle_accept = accept_late
        server.start()
        with unittest.mock.patch.object(http_server, "STOP_SECONDS", LIMIT_SECONDS):
            connection = self.connect(server)
            connection.request("GET", "/late")
            self.assertTrue(accepting.wait(LIMIT_SECONDS))
            stop = threading.Thread(target=server.stop)
            stop.start()
            stop.join(NOT_ENDED_SECONDS)
            self.assertTrue(stop.is_alive())
            accept.set()
            stop.join(LIMIT_SECONDS)
        with self.assertRaises(ConnectionError):
            connection.getresponse()

    def test_a_caller_that_leaves_after_a_malformed_request_does_not_end_the_server(
        self,
    ):
        server = HttpServer(self.app, "127.0.0.1", 0, 1, 1024, "malformed")
        server.start()
        self.addCleanup(server.stop)
        connection = http.client.HTTPConnection(server.address, timeout=LIMIT_SECONDS)
        self.addCleanup(connection.close)
        # Takes the only thread, so that the malformed request stays unanswered.
        connection.request("GET", "/slow")
        self.assertTrue(self.started.wait(LIMIT_SECONDS))
        with unittest.mock.patch.object(http_parts, "log_event") as log_event:
            exchange_raw(server.address, MALFORMED_REQUEST, half_close=True)
            wait_until(lambda: log_event.called, LIMIT_SECONDS, "the cut is logged")
        self.assertEqual(log_event.call_args.args, ("call-cut",))
        self.release.set()
        self.assertEqual(connection.getresponse().read(), b"whole")
        connection.request("GET", "/next")
        self.assertEqual(connection.getresponse().read(), b"whole")

    def _has_ended(self, sock):
        sock.settimeout(0.05)
        try:
            return sock.recv(1) == b""
        except TimeoutError:
            return False

    def test_an_unread_request_on_an_idle_connection_is_answered(self):
        connection = self.connect()
        connection.request("GET", "/first")
        self.assertEqual(connection.getresponse().read(), b"whole")
        self.server.drain()

        closed = threading.Event()

        def close_while_a_request_arrives():
            # Runs on the thread that reads, so that the request stays unread.
            connection.request("GET", "/second")
            self.server._close_idle(math.inf)
            closed.set()

        self.server._server.trigger.pull_trigger(close_while_a_request_arrives)
        self.assertTrue(closed.wait(LIMIT_SECONDS))
        self.assertEqual(connection.getresponse().read(), b"whole")
        self.assertEqual(self.paths, ["/first", "/second"])
