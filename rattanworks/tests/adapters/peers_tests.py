import math
import threading
import time
import unittest
import unittest.mock
import weakref
from dataclasses import replace

from msgspec import structs

from rattanworks.adapters.peer_clock import ClockOffset, decode_clock
from rattanworks.adapters.peer_listener import PeerListener
from rattanworks.adapters.peer_messages import (
    AnswerMessage,
    decode_answer,
    encode_answer,
)
from rattanworks.exceptions import (
    AnswerBudgetExhaustedError,
    CallAbandonedError,
    CallNotSentError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.model.call import (
    Answer,
    Outcome,
    StreamedBody,
    refusal,
    unknown_outcome,
)
from rattanworks.tests.adapters.peers_case import (
    LARGE_BODY,
    TIMEOUT_SECONDS,
    PeersCase,
)
from rattanworks.tests.builders import build_record
from rattanworks.tests.servers import is_lock_free
from rattanworks.utils import frames
from rattanworks.utils.answer_limits import AnswerBounds
from rattanworks.utils.codec import DecodeError, encode_binary
from rattanworks.utils.frames import FrameConnection
from rattanworks.utils.memory_budget import MemoryBudget
from rattanworks.utils.sockets import FAST_LIVENESS, MAX_PORT


class PeersTests(PeersCase):
    def test_a_call_arrives_whole_and_its_answer_comes_back_whole(self):
        seen = []

        def answer(message, call):
            seen.append(call)
            return Answer(201, (("X-A", "b"),), call.body, load=0.5)

        self.serve(answer)
        got = self.dispatch(method="POST", headers=(("X-C", "d"),), body=b"crate")
        self.assertEqual((got.status, got.body, got.load), (201, b"crate", 0.5))
        self.assertEqual(got.headers, (("X-A", "b"),))
        self.assertEqual((seen[0].method, seen[0].headers), ("POST", (("X-C", "d"),)))
        self.assertLess(seen[0].deadline - self.clock.monotonic(), TIMEOUT_SECONDS)

    def test_a_peer_whose_address_cannot_be_used_is_not_sent_the_call(self):
        server = self.serve(lambda message, call: Answer(200))
        port = int(server.address.rpartition(":")[2])
        for address in (
            "",
            "127.0.0.1",
            f"127.0.0.1:{MAX_PORT + 1 + port}",
            "127.0.0.1:" + "9" * 40,
            "127.0.0.1:-1",
            "a..b:1",
            f"{'a' * 100}:1",
            "\ufffd:1",
        ):
            self.record = build_record("owner", peers_address=address)
            with self.subTest(address), self.assertRaises(CallNotSentError):
                self.dispatch()

    def test_a_message_with_a_number_out_of_range_is_refused(self):
        answer = AnswerMessage("r-1", 200, 5.0)
        for changes in (
            {"owner_time": math.nan},
            {"owner_time": math.inf},
            {"status": 10**9},
            {"load": math.nan},
            {"retry_after": -1.0},
            {"body_size": -1},
            {"body_size": 2**60},
        ):
            head = encode_binary(structs.replace(answer, **changes))
            with self.subTest(changes), self.assertRaises(DecodeError):
                decode_answer(head)
        self.assertEqual(decode_answer(encode_binary(answer)), answer)
        for time_of_owner in (math.nan, math.inf):
            with self.assertRaises(DecodeError):
                decode_clock(encode_binary(time_of_owner))

    def test_the_owner_knows_a_call_by_its_fingerprint_and_the_entry_a_crash(self):
        received = []

        def crash(message, call):
            received.append((call.fingerprint, call.is_trial))
            return replace(unknown_outcome(502, "cut"), crashed_server="run-1")

        self.serve(crash)
        answer = self.dispatch(fingerprint="f" * 32, is_trial=True)
        self.assertEqual(received, [("f" * 32, True)])
        self.assertEqual(answer.crashed_server, "run-1")

    def test_long_bodies_travel_in_pieces_both_ways(self):
        self.serve(lambda message, call: Answer(200, body=b"".join(call.body)))
        for body in (LARGE_BODY, memoryview(LARGE_BODY)):
            self.assertEqual(self.dispatch(body=body).body, LARGE_BODY)

    def test_a_refused_long_body_is_never_sent(self):
        bodies = []

        def refuse(message, call):
            bodies.append(call.body)
            return refusal(503, "no room")

        self.serve(refuse)
        self.assertEqual(self.dispatch(body=LARGE_BODY).status, 503)
        self.assertIsInstance(bodies[0], StreamedBody)
        self.assertFalse(bodies[0].is_started)

    def test_a_long_body_read_in_part_still_gets_its_answer(self):
        def stop_early(message, call):
            next(iter(call.body))
            return Answer(413)

        self.serve(stop_early)
        self.assertEqual(self.dispatch(body=LARGE_BODY).status, 413)
        self.assertEqual(self.dispatch(body=LARGE_BODY).status, 413)

    def body_bytes_of_refused_call(self, own_domain):
        """Return how many bytes of its body came with a call that was refused."""
        seen = []

        def refuse(message, call):
            seen.append(message.body_size or len(call.body))
            seen.append(0 if message.body_size else len(call.body))
            return refusal(503, "full")

        self.serve(refuse)
        self.use_calls(own_domain)
        answer = self.dispatch(method="POST", body=bytes(1200))
        self.assertEqual((answer.status, seen[0]), (503, 1200))
        return seen[1]

    def test_the_body_of_a_call_refused_in_another_domain_is_not_sent(self):
        record = build_record("owner")
        self.assertEqual(self.body_bytes_of_refused_call(record.failure_domain), 1200)
        self.assertEqual(self.body_bytes_of_refused_call("another-domain"), 0)

    def test_the_body_of_a_call_that_runs_in_another_domain_arrives_whole(self):
        body = bytes(range(200)) * 6
        self.serve(lambda message, call: Answer(200, body=b"".join(call.body)))
        self.use_calls("another-domain")
        for _ in range(2):
            answer = self.dispatch(method="POST", body=body)
            self.assertEqual((answer.status, answer.body), (200, body))

    def test_a_call_to_an_absent_node_is_not_sent(self):
        self.record = build_record("owner", peers_address="127.0.0.1:1")
        with self.assertRaises(CallNotSentError):
            self.dispatch()

    def test_a_call_whose_deadline_has_passed_is_not_sent(self):
        self.serve(lambda message, call: self.fail("dispatched"))
        self.assertEqual(self.dispatch(seconds=-1.0).status, 504)

    def test_an_owner_that_dies_leaves_the_outcome_unknown(self):
        self.listen_after_clock(lambda connection: connection.receive() and False)
        with self.assertRaises(CallOutcomeUnknownError):
            self.dispatch()

    def test_an_idle_connection_keeps_nothing_of_its_last_call(self):
        def is_abandoned():
            return False

        self.serve(lambda message, call: Answer(200))
        kept = weakref.ref(is_abandoned)
        self.assertEqual(self.dispatch(is_abandoned=is_abandoned).status, 200)
        del is_abandoned
        self.assertIsNone(kept())

    def test_callers_held_as_a_lock_of_all_calls_is_kept_during_a_system_call(self):
        # A thread that gives up the interpreter waits for it among all others.
        self.serve(lambda message, call: Answer(200))
        self.assertEqual(self.dispatch().status, 200)
        are_free = []
        wait = FrameConnection.wait

        def checking_wait(connection, seconds):
            are_free.append(is_lock_free(self.calls._lock))
            return wait(connection, seconds)

        with unittest.mock.patch.object(FrameConnection, "wait", checking_wait):
            self.assertEqual(self.dispatch().status, 200)
        self.assertTrue(are_free)
        self.assertTrue(all(are_free))

    def test_a_call_whose_time_ends_before_it_is_sent_is_not_sent(self):
        runs = []
        self.serve(lambda message, call: runs.append(call) or Answer(200))
        take = self.calls._take

        def take_late(address, left):
            connection = take(address, left)
            time.sleep(left)
            return connection

        self.calls._take = take_late
        answer = self.dispatch(seconds=0.05)
        self.assertEqual((answer.status, answer.outcome), (504, Outcome.NOT_RUN))
        self.assertEqual(runs, [])

    def test_a_silent_owner_leaves_the_outcome_unknown_at_the_deadline(self):
        release = threading.Event()
        self.addCleanup(release.set)
        self.serve(lambda message, call: release.wait(TIMEOUT_SECONDS) and Answer(200))
        with self.assertRaises(CallTimedOutError):
            self.dispatch(seconds=0.1)

    def test_an_error_in_the_owner_ends_one_call_and_no_thread(self):
        answers = [None, Answer(200)]
        self.listen(PeerListener(lambda message, call: answers.pop(0), self.clock), 1)
        with self.assertRaises(CallOutcomeUnknownError):
            self.dispatch()
        self.assertEqual(self.dispatch().status, 200)

    def test_an_answer_to_another_call_is_refused(self):
        def answer_another(connection):
            connection.receive()
            connection.send_parts(*encode_answer("other", Answer(200), 0.0))
            return True

        self.listen_after_clock(answer_another)
        with self.assertRaises(CallOutcomeUnknownError):
            self.dispatch()

    def test_calls_delayed_by_a_pause_arrive_after_their_deadline(self):
        left = []
        held = threading.Event()
        handler = PeerListener(
            lambda message, call: (
                left.append(call.deadline - self.clock.monotonic()) or Answer(200)
            ),
            self.clock,
        )

        def hold(connection):
            # As in a pause of the owner, the call waits in the socket buffer.
            held.wait(TIMEOUT_SECONDS)
            return handler(connection)

        self.listen_after_clock(hold)
        for _ in range(3):
            self.time_out_after_connecting(0.05)
        held.set()
        while len(left) < 3:
            time.sleep(0.01)
        self.assertLess(max(left), 0.0)

    def time_out_after_connecting(self, seconds):
        """Send a call that times out, again if a busy host connected too late."""
        while True:
            try:
                self.dispatch(seconds)
            except CallNotSentError:
                continue
            except CallTimedOutError:
                return
            self.fail("the call was answered")

    def test_an_owner_that_accepts_but_is_paused_is_not_sent_the_call(self):
        release = threading.Event()
        self.addCleanup(release.set)
        self.listen(lambda connection: release.wait(TIMEOUT_SECONDS))
        with self.assertRaises(CallNotSentError):
            self.dispatch(seconds=0.1)

    def test_a_deadline_in_the_owners_time_is_never_late(self):
        offset = ClockOffset(owner_time=500.0, now=100.3)
        self.assertLessEqual(offset.to_owner_time(101.0), 501.0)
        offset.add_sample(owner_time=510.0, now=110.001)
        self.assertAlmostEqual(offset.to_owner_time(111.0), 511.0, delta=0.01)
        offset.add_sample(owner_time=520.0, now=125.0)
        self.assertAlmostEqual(offset.to_owner_time(126.0), 526.0, delta=0.02)
        self.assertLessEqual(offset.to_owner_time(126.0), 526.0)

    def test_the_owner_learns_that_the_caller_has_gone(self):
        started, gone = threading.Event(), threading.Event()

        def watch(message, call):
            started.set()
            until = time.monotonic() + TIMEOUT_SECONDS
            while not call.is_abandoned() and time.monotonic() < until:
                time.sleep(0.01)
            if call.is_abandoned():
                gone.set()
            return Answer(200)

        self.serve(watch)
        with self.assertRaises(CallAbandonedError):
            self.dispatch(is_abandoned=started.is_set)
        self.assertTrue(gone.wait(TIMEOUT_SECONDS))

    def test_threads_are_added_so_that_waiting_calls_block_no_others(self):
        self.send_waiting_calls(20)

    def test_threads_that_stay_idle_end_but_for_one(self):
        self.send_waiting_calls(20, idle_seconds=0.05)
        while self.server.thread_count > 1:
            time.sleep(0.01)
        self.assertEqual(self.dispatch().status, 200)

    def send_waiting_calls(self, count, **options):
        """Let calls wait at the owner until another call was answered."""
        release = threading.Event()
        self.addCleanup(release.set)

        def serve(message, call):
            if call.method == "POST":
                release.wait(TIMEOUT_SECONDS)
            return Answer(200)

        self.listen(PeerListener(serve, self.clock), **options)
        waiting = [
            threading.Thread(target=self.dispatch, kwargs={"method": "POST"})
            for _ in range(count)
        ]
        for thread in waiting:
            thread.start()
        self.assertEqual(self.dispatch().status, 200)
        release.set()
        for thread in waiting:
            thread.join()

    def test_no_timeout_of_a_connection_ends_a_call_that_runs_longer(self):
        with unittest.mock.patch.object(frames, "STALL_SECONDS", 1):
            longest = FAST_LIVENESS.idle_seconds * (1 + FAST_LIVENESS.probes)
            held = threading.Event()

            def run(message, call):
                held.wait(longest + 0.5)
                return Answer(200, body=str(call.is_abandoned()).encode())

            self.serve(run)
            self.assertEqual(self.dispatch().body, b"False")
            # The same holds on a connection that was idle for as long.
            held.wait(longest + 0.5)
            self.assertEqual(self.dispatch(method="POST").body, b"False")


class LargeAnswerTests(PeersCase):
    """Large answers of owners reserve memory in the entry's budget."""

    def test_a_large_answer_reserves_memory_until_it_is_dropped(self):
        budget = MemoryBudget(2 * len(LARGE_BODY))
        self.use_calls(bounds=AnswerBounds(len(LARGE_BODY), budget))
        self.serve(lambda message, call: Answer(200, body=LARGE_BODY))
        first = self.dispatch()
        self.assertEqual(first.body, LARGE_BODY)
        self.assertEqual(budget.reserved, 2 * len(LARGE_BODY))
        with self.assertRaises(AnswerBudgetExhaustedError):
            self.dispatch()
        del first
        self.assertEqual(budget.reserved, 0)
        self.assertEqual(self.dispatch().body, LARGE_BODY)
