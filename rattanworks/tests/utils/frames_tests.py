import threading
import unittest
import unittest.mock

from rattanworks.tests.servers import is_lock_free
from rattanworks.utils.frames import FrameServer, connect_frames

LIMIT_SECONDS = 30.0
# Long enough for a stop that waits for nothing to end.
NOT_ENDED_SECONDS = 0.5


class StoppingDict(dict):
    """Stops a server as soon as a thread of it has added a connection."""

    server = None
    adding_thread = ""

    def __setitem__(self, descriptor, connection):
        super().__setitem__(descriptor, connection)
        if threading.current_thread().name.startswith(self.adding_thread):
            self.stop = threading.Thread(target=self.server.stop)
            self.stop.start()
            self.stop.join(NOT_ENDED_SECONDS)


class CheckingEpoll:
    """An epoll set that records whether a lock is free when connections are armed."""

    def __init__(self, epoll, lock):
        self._epoll = epoll
        self._lock = lock
        self.are_free = []

    def __getattr__(self, name):
        return getattr(self._epoll, name)

    def modify(self, descriptor, events):
        self.are_free.append(is_lock_free(self._lock))
        self._epoll.modify(descriptor, events)


class LockTests(unittest.TestCase):
    def test_the_lock_of_all_threads_is_free_while_a_connection_is_armed(self):
        server = FrameServer(self.serve, "127.0.0.1", 0, 4, "armed")
        server.start()
        self.addCleanup(server.stop)
        connection = connect_frames(server.address, LIMIT_SECONDS)
        self.addCleanup(connection.close)
        self.exchange(connection)
        server._epoll = CheckingEpoll(server._epoll, server._lock)
        self.exchange(connection)
        # The second message is read only once the connection was armed again.
        self.exchange(connection)
        self.assertTrue(server._epoll.are_free)
        self.assertTrue(all(server._epoll.are_free))

    def serve(self, connection):
        connection.send(connection.receive())
        return True

    def exchange(self, connection):
        connection.send(b"message")
        self.assertTrue(connection.wait(LIMIT_SECONDS))
        self.assertEqual(connection.receive(), b"message")

    def test_the_lock_of_all_threads_is_free_while_a_thread_starts(self):
        server = FrameServer(self.serve, "127.0.0.1", 0, 4, "started")
        are_free = []
        start = threading.Thread.start

        def checking_start(thread):
            are_free.append(is_lock_free(server._lock))
            start(thread)

        with unittest.mock.patch.object(threading.Thread, "start", checking_start):
            server.start()
            self.addCleanup(server.stop)
            connection = connect_frames(server.address, LIMIT_SECONDS)
            self.addCleanup(connection.close)
            self.exchange(connection)
        self.assertEqual(are_free, [True, True])


class StopTests(unittest.TestCase):
    def setUp(self):
        self.failures = []
        self.enterContext(
            unittest.mock.patch.object(threading, "excepthook", self.failures.append)
        )
        self.server = FrameServer(self.serve, "127.0.0.1", 0, 4, "stopped")
        self.idle = self.server._idle_by_descriptor = StoppingDict()
        self.idle.adding_thread = "nobody"
        self.idle.server = self.server
        self.server.start()

    def serve(self, connection):
        connection.send(connection.receive())
        # The next one to be added is the connection that this message came on.
        self.idle.adding_thread = "stopped"
        return True

    def assert_is_closed_by_the_stop(self, connection):
        self.addCleanup(connection.close)
        self.assertTrue(connection.wait(LIMIT_SECONDS))
        with self.assertRaises((EOFError, OSError)):
            connection.receive()
        self.idle.stop.join(LIMIT_SECONDS)
        self.assertEqual(self.failures, [])

    def test_a_connection_that_is_kept_as_the_server_stops_is_closed(self):
        connection = connect_frames(self.server.address, LIMIT_SECONDS)
        connection.send(b"message")
        self.assertTrue(connection.wait(LIMIT_SECONDS))
        self.assertEqual(connection.receive(), b"message")
        self.assert_is_closed_by_the_stop(connection)

    def test_a_connection_that_is_accepted_as_the_server_stops_is_closed(self):
        self.idle.adding_thread = "stopped"
        connection = connect_frames(self.server.address, LIMIT_SECONDS)
        self.assert_is_closed_by_the_stop(connection)
