"""Long bodies for a backend server that reads them slowly."""

import threading
import unittest

from rattanworks.adapters.peer_calls import FramePeerCalls
from rattanworks.adapters.peer_listener import PeerListener
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.exceptions import CallAbandonedError, CallTimedOutError
from rattanworks.model.call import Answer
from rattanworks.tests.builders import build_call, build_record
from rattanworks.utils.frames import FrameServer
from rattanworks.utils.sockets import FAST_LIVENESS

# More than the kernel buffers for a connection that is not read.
LONG_BODY = bytes(16 * 1024 * 1024)
TIMEOUT_SECONDS = 30.0


class SlowReaderTests(unittest.TestCase):
    """The owner forwards a body no faster than its backend server reads it."""

    def setUp(self):
        self.clock = SystemClock()
        self.calls = FramePeerCalls("entry", self.clock)
        self.addCleanup(self.calls.close)
        self.started, self.release = threading.Event(), threading.Event()
        self.addCleanup(self.release.set)
        server = FrameServer(
            PeerListener(self.run_slowly, self.clock), "127.0.0.1", 0, 8, "peers"
        )
        server.start()
        self.addCleanup(server.stop)
        self.record = build_record("owner", peers_address=server.address)
        self.failed = threading.Event()

    def run_slowly(self, message, call):
        if not call.body:
            return Answer(200)
        pieces = iter(call.body)
        size = len(next(pieces))
        self.started.set()
        self.release.wait(TIMEOUT_SECONDS)
        try:
            size += sum(map(len, pieces))
        except (EOFError, OSError):
            self.failed.set()
            raise
        return Answer(200, body=str(size).encode())

    def dispatch(self, seconds=TIMEOUT_SECONDS, body=LONG_BODY, **changes):
        deadline = self.clock.monotonic() + seconds
        call = build_call(method="POST", body=body, deadline=deadline, **changes)
        return self.calls.dispatch(self.record, call)

    def release_after(self, seconds):
        timer = threading.Timer(seconds, self.release.set)
        timer.start()
        self.addCleanup(timer.cancel)

    def test_a_body_that_stalls_for_long_does_not_break_the_call(self):
        self.release_after(4 * FAST_LIVENESS.acknowledged_seconds)
        self.assertEqual(self.dispatch().body, str(len(LONG_BODY)).encode())

    def test_a_stall_at_the_end_of_a_body_does_not_break_the_call(self):
        # The kernel has buffered all of it: the entry already waits for the answer.
        for size in (3, 4):
            with self.subTest(mebibytes=size):
                self.release.clear()
                self.release_after(4 * FAST_LIVENESS.acknowledged_seconds)
                body = bytes(size * 1024 * 1024)
                answer = self.dispatch(body=body)
                self.assertEqual(answer.body, str(len(body)).encode())

    def test_the_connection_serves_the_next_call(self):
        self.release.set()
        self.assertEqual(self.dispatch().status, 200)
        self.assertEqual(self.dispatch(body=b"").status, 200)
        self.assertEqual(self.dispatch().status, 200)

    def test_the_deadline_ends_a_body_that_stalls(self):
        with self.assertRaises(CallTimedOutError):
            self.dispatch(seconds=2 * FAST_LIVENESS.acknowledged_seconds)
        self.release.set()
        self.assertTrue(self.failed.wait(TIMEOUT_SECONDS))

    def test_a_caller_who_leaves_ends_a_body_that_stalls(self):
        with self.assertRaises(CallAbandonedError):
            self.dispatch(is_abandoned=self.started.is_set)
        self.release.set()
        self.assertTrue(self.failed.wait(TIMEOUT_SECONDS))


if __name__ == "__main__":
    unittest.main()
