import contextlib
import http.client
import socket
import threading
import unittest

from rattanworks.bench.fleet import wait_until
from rattanworks.tests.servers import exchange_raw
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.sockets import split_address
from rattanworks.utils.wsgi import Response, respond

LIMIT_SECONDS = 30.0
IDLE_CONNECTIONS = 50
EXCHANGES = 200
LARGE_BODY = b"x" * (8 * 1024 * 1024)


class HttpLoopTests(unittest.TestCase):
    def setUp(self):
        self.server = self.start_server()
        self.addCleanup(self.server.stop)

    def start_server(self):
        server = HttpServer(self.app, "127.0.0.1", 0, 4, 1024, "loop")
        server.start()
        return server

    def app(self, environ, start_response):
        body = LARGE_BODY if environ["PATH_INFO"] == "/large" else b"whole"
        return respond(start_response, Response(200, body))

    def open_connection(self, server=None):
        address = split_address((server or self.server).address)
        sock = socket.create_connection(address, LIMIT_SECONDS)
        self.addCleanup(sock.close)
        return sock

    def open_idle_connections(self):
        for _ in range(IDLE_CONNECTIONS):
            self.open_connection()
        wait_until(
            lambda: len(self.server._server.active_channels) == IDLE_CONNECTIONS,
            LIMIT_SECONDS,
            "all are accepted",
        )

    def connect(self):
        connection = http.client.HTTPConnection(
            self.server.address, timeout=LIMIT_SECONDS
        )
        self.addCleanup(connection.close)
        return connection

    def exchange(self, connection, path="/"):
        connection.request("GET", path)
        return connection.getresponse().read()

    def test_callers_held_as_each_event_costs_a_look_at_every_connection(self):
        # Idle connections used up the processor that answers were waiting for.
        looks = []

        class CountingChannel(self.server._server.channel_class):
            def readable(self):
                looks.append(self)
                return super().readable()

        self.server._server.channel_class = CountingChannel
        self.open_idle_connections()
        connection = self.connect()
        self.exchange(connection)
        looks.clear()
        for _ in range(EXCHANGES):
            self.assertEqual(self.exchange(connection), b"whole")
        self.assertLess(len(looks), EXCHANGES * IDLE_CONNECTIONS / 2)

    def test_an_answer_that_does_not_fit_at_once_is_sent_to_its_end(self):
        self.assertEqual(self.exchange(self.connect(), "/large"), LARGE_BODY)

    def test_an_answer_to_head_has_no_body(self):
        raw = exchange_raw(
            self.server.address,
            b"HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        self.assertIn(b"Content-Length: 5\r\n", raw)
        self.assertTrue(raw.endswith(b"\r\n\r\n"))

    def test_a_descriptor_that_is_used_again_belongs_to_the_new_connection(self):
        for _ in range(EXCHANGES):
            connection = self.connect()
            self.assertEqual(self.exchange(connection), b"whole")
            connection.close()

    def test_connections_are_closed_when_the_server_stops(self):
        server = self.start_server()
        sock = self.open_connection(server)
        wait_until(lambda: server.has_connections, LIMIT_SECONDS, "accepted")
        server.stop()
        self.assertEqual(sock.recv(1), b"")
        self.assertFalse(server.has_connections)

    def test_only_the_thread_that_reads_closes_a_connection(self):
        # Closing takes the descriptor away from under the loop.
        connection = self.connect()
        self.exchange(connection)
        (channel,) = self.server._server.active_channels.values()
        closing_threads = []
        del_channel = channel.del_channel

        def recording_del_channel(*arguments):
            closing_threads.append(threading.current_thread())
            del_channel(*arguments)

        channel.del_channel = recording_del_channel
        channel.handle_close()
        self.assertEqual(connection.sock.recv(1), b"")
        self.assertEqual(closing_threads, [self.server._thread])

    def test_an_error_on_one_connection_ends_that_one_only(self):
        connection, other = self.connect(), self.connect()
        self.exchange(connection)
        (channel,) = self.server._server.active_channels.values()

        def fail():
            raise RuntimeError("a defect")

        channel.readable = fail
        with contextlib.suppress(http.client.HTTPException, ConnectionError):
            self.exchange(connection)
        self.assertEqual(self.exchange(other), b"whole")
        self.assertTrue(self.server._thread.is_alive())

    def test_threads_wake_the_loop_for_what_they_cannot_do(self):
        # Without the look at all connections once a second.
        self.server._loop.refresh_all = lambda: None
        for path, body in (("/", b"whole"), ("/large", LARGE_BODY)):
            raw = exchange_raw(
                self.server.address,
                f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode(),
            )
            self.assertTrue(raw.endswith(body))
