import socket
import threading
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanworks.exceptions import (
    CallAbandonedError,
    CallNotSentError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.tests.servers import ScriptedServer, raw_answer
from rattanworks.utils.http_connection import RequestOptions
from rattanworks.utils.http_pool import HttpPool


class HttpPoolTests(unittest.TestCase):
    def start(self, *scripts):
        self.server = ScriptedServer(*scripts)
        self.addCleanup(self.server.close)
        self.pool = HttpPool(self.server.address, 4)
        self.addCleanup(self.pool.close)

    def send(self, method="GET", seconds=10.0, body=b"", **options):
        deadline = time.monotonic() + seconds
        return self.pool.send(
            method, "/x", (), body, RequestOptions(deadline, **options)
        )

    def test_complete_answers_reuse_a_connection(self):
        chunked = raw_answer(
            b"2\r\nok\r\n0\r\n\r\n", framing="Transfer-Encoding: chunked\r\n"
        )
        self.start([raw_answer(), chunked, raw_answer()])
        self.assertEqual([self.send().body for _ in range(3)], [b"ok"] * 3)
        self.assertEqual(self.server.connections, 1)

    def test_answers_without_a_body_are_complete(self):
        head = raw_answer(b"", framing="Content-Length: 5\r\n")
        no_content = raw_answer(b"", status="204 No Content", framing="")
        not_modified = raw_answer(b"", status="304 Not Modified", framing="")
        self.start([head, no_content, not_modified])
        self.assertEqual(self.send("HEAD").header("content-length"), "5")
        self.assertEqual(self.send().status, 204)
        self.assertEqual(self.send().status, 304)
        self.assertEqual(self.server.connections, 1)

    def test_a_truncated_answer_has_an_unknown_outcome_and_ends_its_connection(self):
        cut = {
            "length": raw_answer(b"ok", framing="Content-Length: 9\r\n"),
            "chunk": raw_answer(b"9\r\nok", framing="Transfer-Encoding: chunked\r\n"),
            "no framing": raw_answer(b"ok", framing="Connection: close\r\n"),
            "nothing": b"",
            "interim": raw_answer(b"", status="103 Early Hints", framing=""),
        }
        for name, raw in cut.items():
            with self.subTest(name):
                self.start([raw, None], [raw_answer()])
                if raw and name not in ("no framing", "interim"):
                    self.server._scripts[0] = [raw]
                with self.assertRaises(CallOutcomeUnknownError):
                    self.send(seconds=0.3)
                self.assertEqual(self.send().body, b"ok")
                self.assertEqual(self.server.connections, 2)

    def test_a_late_answer_is_not_taken_for_the_next_one(self):
        self.start([b""], [raw_answer(b"second")])
        with self.assertRaises(CallTimedOutError):
            self.send(seconds=0.1)
        self.assertEqual(self.send().body, b"second")

    def test_an_answer_to_another_request_is_refused_and_empties_the_pool(self):
        self.start([raw_answer(request_id="other"), raw_answer()], [raw_answer()])
        with self.assertRaises(CallOutcomeUnknownError):
            self.send(
                is_own_answer=lambda answer: answer.header("x-request-id") == "own"
            )
        self.assertEqual(self.send().body, b"ok")
        self.assertEqual(self.server.connections, 2)

    def test_a_request_on_an_idle_connection_that_closes_is_not_sent_again(self):
        for method in ("GET", "POST"):
            with self.subTest(method):
                self.start([raw_answer(), None], [raw_answer(b"again")])
                self.send()
                with self.assertRaises(CallOutcomeUnknownError):
                    self.send(method)
                self.assertEqual(len(self.server.requests), 2)
                self.assertEqual(self.send(method).body, b"again")

    def test_a_request_that_may_not_reuse_a_connection_gets_a_new_one(self):
        self.start([raw_answer(), None], [raw_answer(b"again")])
        self.send()
        self.assertEqual(self.send("POST", may_reuse=False).body, b"again")

    def test_a_request_under_which_the_server_ended_is_not_reported_as_not_sent(self):
        self.start([raw_answer(), None])
        self.send()
        self.server.close()
        with self.assertRaises(CallOutcomeUnknownError):
            self.send()

    def test_an_abandoned_exchange_ends_before_its_deadline(self):
        self.start([b""])
        with self.assertRaises(CallAbandonedError):
            self.send(seconds=60.0, is_abandoned=lambda: bool(self.server.requests))

    def test_an_early_refusal_of_a_body_is_returned(self):
        self.start([raw_answer(status="413 Content Too Large")])
        answer = self.send("POST", body=b"x" * 100)
        self.assertEqual(answer.status, 413)

    def test_a_refused_connection_raises_call_not_sent(self):
        self.start([raw_answer()])
        self.pool = HttpPool("127.0.0.1:1", 1)
        with self.assertRaises(CallNotSentError):
            self.send()


class EarlyAnswerTests(unittest.TestCase):
    """A server answers before it has read a long body, and reads no further."""

    def test_the_answer_is_returned_and_the_connection_is_not_reused(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        done = threading.Event()
        self.addCleanup(done.set)
        accepted = []

        def serve():
            while len(accepted) < 2:
                sock, _ = listener.accept()
                accepted.append(sock)
                sock.recv(1024)
                sock.sendall(raw_answer(b"too long", status="413 Too Large"))
            done.wait(60.0)

        threading.Thread(target=serve, daemon=True).start()
        pool = HttpPool(f"127.0.0.1:{listener.getsockname()[1]}", 2)
        self.addCleanup(pool.close)
        options = RequestOptions(time.monotonic() + 30.0)
        body = b"x" * (64 * 1024 * 1024)
        self.assertEqual(pool.send("POST", "/x", (), body, options).status, 413)
        self.assertEqual(pool.send("GET", "/x", (), b"", options).status, 413)
        self.assertEqual(len(accepted), 2)

    def test_a_caller_that_disconnects_ends_a_body_that_the_server_does_not_read(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        pool = HttpPool(f"127.0.0.1:{listener.getsockname()[1]}", 2)
        self.addCleanup(pool.close)
        options = RequestOptions(time.monotonic() + 30.0, is_abandoned=lambda: True)
        with self.assertRaises(CallAbandonedError):
            pool.send("POST", "/x", (), b"x" * (64 * 1024 * 1024), options)


class ArbitraryBytesTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_nothing_but_an_unknown_outcome(self, raw):
        for answer in (raw, b"HTTP/1.1 200 OK\r\n" + raw):
            server = ScriptedServer([answer])
            pool = HttpPool(server.address, 1)
            try:
                options = RequestOptions(time.monotonic() + 0.05, may_end_by_close=True)
                pool.send("GET", "/x", (), b"", options)
            except CallOutcomeUnknownError:
                pass
            finally:
                pool.close()
                server.close()
