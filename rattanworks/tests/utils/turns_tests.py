import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.bench.fleet import wait_until
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.servers import exchange_raw
from rattanworks.utils.http_parts import IS_REFUSED_KEY, RequestOrder
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.turns import (
    BACKLOG_SECONDS,
    MAX_HOLD_SECONDS,
    PEERS_RANK,
    Turns,
    end_turn,
)
from rattanworks.utils.wsgi import Response, respond

LIMIT_SECONDS = 30.0
# A backlog, though the turn that is held still counts.
LONG_WAIT_SECONDS = (BACKLOG_SECONDS + MAX_HOLD_SECONDS) / 2
CALLERS_RANK = 2
URGENT_RANK = 1
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class TurnsTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(100.0)
        self.turns = self.new_turns()
        self.begun = []
        self.executor = ThreadPoolExecutor(8)
        self.addCleanup(self.executor.shutdown)

    def new_turns(self, max_wait=LIMIT_SECONDS):
        return Turns(1, self.clock.monotonic, max_wait)

    def begin(self, name, rank, release=None):
        """Begin a call on a thread that holds its turn until ``release`` is set."""

        def run():
            with self.turns.turn(rank) as has_turn:
                self.begun.append((name, has_turn))
                if release is not None:
                    release.wait(LIMIT_SECONDS)

        return self.executor.submit(run)

    def wait_for_waiting(self, count):
        wait_until(lambda: self.turns.waiting == count, LIMIT_SECONDS, "they wait")

    def hold(self):
        """Hold the only turn on another thread; return the event that ends it."""
        release = threading.Event()
        self.addCleanup(release.set)
        self.begin("holder", CALLERS_RANK, release)
        wait_until(lambda: self.begun, LIMIT_SECONDS, "the turn is held")
        return release


class TurnsTests(TurnsTestCase):
    def test_calls_of_other_nodes_and_urgent_ones_begin_first(self):
        release = self.hold()
        arrivals = (
            ("first", CALLERS_RANK),
            ("second", CALLERS_RANK),
            ("third", URGENT_RANK),
            ("fourth", PEERS_RANK),
        )
        for count, (name, rank) in enumerate(arrivals, 1):
            self.begin(name, rank)
            self.wait_for_waiting(count)
        release.set()
        self.executor.shutdown()
        names = [name for name, _ in self.begun]
        self.assertEqual(names, ["holder", "fourth", "third", "first", "second"])

    def test_a_thread_that_waits_for_something_lets_others_begin(self):
        with self.turns.turn(CALLERS_RANK):
            end_turn()
            self.begin("other", CALLERS_RANK).result(LIMIT_SECONDS)
        self.assertEqual(self.begun, [("other", True)])

    def test_a_turn_is_given_back_once(self):
        with self.turns.turn(CALLERS_RANK):
            end_turn()
            self.hold()
            end_turn()
        self.begin("waiting", CALLERS_RANK)
        self.wait_for_waiting(1)

    def test_without_a_free_turn_in_time_the_call_goes_on_without_one(self):
        self.turns = self.new_turns(max_wait=0)
        self.hold()
        with self.turns.turn(PEERS_RANK) as has_turn:
            self.assertFalse(has_turn)
        self.assertEqual(self.turns.waiting, 0)

    def test_a_turn_that_is_held_for_too_long_no_longer_counts(self):
        self.hold()
        self.clock.advance(2 * MAX_HOLD_SECONDS)
        with self.turns.turn(CALLERS_RANK) as has_turn:
            self.assertTrue(has_turn)

    def test_a_call_that_waits_is_not_kept_by_a_turn_that_no_longer_counts(self):
        self.hold()
        waiting = self.begin("waiting", CALLERS_RANK)
        self.wait_for_waiting(1)
        self.clock.advance(2 * MAX_HOLD_SECONDS)
        waiting.result(LIMIT_SECONDS / 2)
        self.assertIn(("waiting", True), self.begun)

    def test_a_backlog_is_a_call_that_goes_before_and_has_waited_for_too_long(self):
        for rank in (PEERS_RANK, URGENT_RANK, CALLERS_RANK):
            with self.subTest(rank):
                self.turns = self.new_turns()
                self.begun.clear()
                release = self.hold()
                waiting = self.begin("waiting", rank)
                self.wait_for_waiting(1)
                self.assertFalse(self.turns.is_backlogged(CALLERS_RANK))
                self.clock.advance(LONG_WAIT_SECONDS)
                self.assertTrue(self.turns.is_backlogged(CALLERS_RANK))
                is_before_urgent = rank <= URGENT_RANK
                self.assertEqual(
                    self.turns.is_backlogged(URGENT_RANK), is_before_urgent
                )
                release.set()
                waiting.result(LIMIT_SECONDS)
                self.assertFalse(self.turns.is_backlogged(CALLERS_RANK))


class ListenerTests(TurnsTestCase):
    def setUp(self):
        super().setUp()
        self.may_wait, self.may_end = threading.Event(), threading.Event()
        self.addCleanup(self.may_end.set)
        self.addCleanup(self.may_wait.set)
        self.server = HttpServer(
            self.app,
            "127.0.0.1",
            0,
            8,
            1024,
            "turns",
            order=RequestOrder(self.turns, self.rank_of),
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def rank_of(self, headers, path):
        return URGENT_RANK if path == "/urgent" else CALLERS_RANK

    def app(self, environ, start_response):
        if environ[IS_REFUSED_KEY]:
            return respond(start_response, Response(503))
        self.begun.append(environ["PATH_INFO"])
        self.may_wait.wait(LIMIT_SECONDS)
        end_turn()
        self.may_end.wait(LIMIT_SECONDS)
        return respond(start_response, Response(200, b"whole"))

    def send(self, path=b"/"):
        request = REQUEST.replace(b"/", path, 1)
        return self.executor.submit(exchange_raw, self.server.address, request)

    def test_callers_held_as_threads_that_begin_compete_with_those_that_end(self):
        answers = [self.send() for _ in range(4)]
        self.wait_for_waiting(3)
        wait_until(lambda: self.begun, LIMIT_SECONDS, "one has begun")
        self.assertEqual(len(self.begun), 1)
        self.may_wait.set()
        wait_until(lambda: len(self.begun) == 4, LIMIT_SECONDS, "all have begun")
        self.may_end.set()
        for answer in answers:
            self.assertIn(b"whole", answer.result(LIMIT_SECONDS))

    def test_a_request_that_comes_during_a_backlog_is_refused_without_a_thread(self):
        first = [self.send() for _ in range(2)]
        self.wait_for_waiting(1)
        threads = self.server._server.task_dispatcher.thread_count
        self.clock.advance(LONG_WAIT_SECONDS)
        for _ in range(3):
            answer = self.send().result(LIMIT_SECONDS)
            self.assertIn(b" 503 ", answer.split(b"\r\n")[0])
        self.assertEqual(self.server._server.task_dispatcher.thread_count, threads)
        first.append(self.send(b"/urgent"))
        self.wait_for_waiting(2)
        self.may_wait.set()
        self.may_end.set()
        for answer in first:
            self.assertIn(b"whole", answer.result(LIMIT_SECONDS))
