import time
import unittest

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.exceptions import (
    CallAbandonedError,
    CallMisdirectedError,
    CallOutcomeUnknownError,
)
from rattanworks.model.call import Outcome
from rattanworks.model.route import RouteKind
from rattanworks.platform.backend import PlatformBackendServer
from rattanworks.tests.builders import build_call
from rattanworks.tests.servers import BrokenOff, ScriptedServer

SIGNED = "X-Server-Signature: 3e1b.07\r\n"


def answer(body=b"ok", request_id="r1", status="200 OK", extra=SIGNED, length=None):
    length = len(body) if length is None else length
    framing = "" if length < 0 else f"Content-Length: {length}\r\n"
    head = f"HTTP/1.1 {status}\r\n{framing}X-Request-Id: {request_id}\r\n{extra}\r\n"
    return head.encode() + body


def refusal(request_id="", status="503 Busy", extra=""):
    extra += "X-Not-Executed: 1\r\n"
    if request_id:
        return answer(b"", request_id, status, extra)
    return f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n{extra}\r\n".encode()


class BackendTestCase(unittest.TestCase):
    def start(self, *scripts):
        self.server = ScriptedServer(*scripts)
        self.addCleanup(self.server.close)
        self.backend = PlatformBackendServer(
            self.server.address, 4, "i-7", SystemClock()
        )
        self.addCleanup(self.backend.close)

    def run_call(self, seconds=5.0, **changes):
        fields = {
            "request_id": "r1",
            "host": "shop.example",
            "caller_service": "orders",
            "kind": RouteKind.IDEMPOTENT,
            "target": "/lookup/%2F1?q=a%20b",
            "deadline": time.monotonic() + seconds,
        }
        return self.backend.run(build_call(**{**fields, **changes}))


class PlatformBackendTests(BackendTestCase):
    def test_a_server_that_ended_is_not_reachable(self):
        self.start([answer()])
        self.assertTrue(self.backend.is_reachable())
        self.server.close()
        self.assertFalse(self.backend.is_reachable())

    def test_the_server_gets_the_headers_that_the_system_sets(self):
        self.start([answer()])
        result = self.run_call(headers=(("Accept", "text/plain"),))
        self.assertEqual((result.status, result.body), (200, b"ok"))
        self.assertIn(("X-Server-Signature", "3e1b.07"), result.headers)
        head = self.server.requests[0].decode().split("\r\n")
        self.assertEqual(head[0], "GET /lookup/%2F1?q=a%20b HTTP/1.1")
        for line in (
            "Host: shop.example",
            "Accept: text/plain",
            "X-Request-Id: r1",
            "X-Expected-Instance: i-7",
            "X-Caller-Service: orders",
        ):
            self.assertEqual(head.count(line), 1, line)
        (deadline,) = [line for line in head if line.startswith("X-Request-Deadline")]
        self.assertLessEqual(int(deadline.split()[1]), 5000)

    def test_an_answer_421_means_another_instance_at_the_address(self):
        misdirected = answer(b"", status="421 Misdirected Request", extra="")
        self.start([misdirected])
        with self.assertRaises(CallMisdirectedError):
            self.run_call()

    def test_only_the_not_executed_header_proves_that_a_call_did_not_run(self):
        shed = answer(b"", status="503 Busy", extra="X-Not-Executed: 1\r\n")
        failed = answer(b"", status="500 Failed")
        self.start([shed, failed])
        self.assertEqual(self.run_call().outcome, Outcome.NOT_RUN)
        self.assertEqual(self.run_call().outcome, Outcome.DONE)

    def test_a_status_that_means_not_run_is_not_passed_on_without_its_proof(self):
        for status in ("408 Timeout", "429 Too Many Requests", "503 Busy"):
            with self.subTest(status):
                self.start([answer(b"", status=status)])
                with self.assertRaises(CallOutcomeUnknownError):
                    self.run_call()

    def test_a_success_without_its_signature_is_no_answer(self):
        self.start([answer(extra="")])
        with self.assertRaises(CallOutcomeUnknownError):
            self.run_call()

    def test_a_success_whose_head_breaks_off_is_no_empty_answer(self):
        head = answer(b"", length=-1, extra=SIGNED + "Connection: close\r\n")
        after_signature = head.index(SIGNED.encode()) + len(SIGNED)
        cut = [head[:end] for end in range(after_signature, len(head))]
        self.start(*[[BrokenOff(raw)] for raw in cut])
        for raw in cut:
            with self.subTest(raw), self.assertRaises(CallOutcomeUnknownError):
                self.run_call()

    def test_headers_after_a_malformed_line_are_not_lost_unnoticed(self):
        broken = answer(b"", status="503 Busy", extra="X-A\r\nX-Not-Executed: 1\r\n")
        self.start([broken])
        with self.assertRaises(CallOutcomeUnknownError):
            self.run_call(kind=RouteKind.NON_IDEMPOTENT, method="POST")

    def test_an_answer_with_two_ids_belongs_to_no_call(self):
        self.start([BrokenOff(answer(extra=SIGNED + "X-Request-Id: r0\r\n"))])
        with self.assertRaises(CallOutcomeUnknownError):
            self.run_call()

    def test_a_late_answer_to_an_earlier_call_is_dropped(self):
        self.start([answer(b"late", "r0") + answer(b"own"), answer(b"next", "r2")])
        self.assertEqual(self.run_call().body, b"own")
        self.assertEqual(self.run_call(request_id="r2").body, b"next")

    def test_a_connection_with_bytes_after_an_answer_is_not_reused(self):
        self.start([answer() + b"surplus"], [answer(b"fresh")])
        self.assertEqual(self.run_call().body, b"ok")
        self.assertEqual(self.run_call().body, b"fresh")
        self.assertEqual(self.server.connections, 2)

    def test_an_answer_without_a_length_is_incomplete_until_its_connection_ends(self):
        self.start([answer(b"until the end", length=-1), None], [answer()])
        self.server._scripts[0] = [answer(b"until the end", length=-1)]
        with self.assertRaises(CallOutcomeUnknownError):
            self.run_call(seconds=0.3)

    def test_a_call_whose_answer_is_lost_on_a_kept_connection_arrives_once(self):
        self.start([answer(), None], [answer()])
        self.run_call()
        with self.assertRaises(CallOutcomeUnknownError):
            self.run_call()
        self.assertEqual(len(self.server.requests), 2)

    def test_a_non_idempotent_call_may_reuse_a_connection(self):
        self.start([answer(), answer()])
        self.run_call()
        self.run_call(kind=RouteKind.NON_IDEMPOTENT, method="POST", body=b"order")
        self.assertEqual(self.server.connections, 1)

    def test_a_non_idempotent_call_is_not_resent_when_its_connection_ends(self):
        self.start([answer(), None], [answer()])
        self.run_call()
        with self.assertRaises(CallOutcomeUnknownError):
            self.run_call(kind=RouteKind.NON_IDEMPOTENT, method="POST")
        self.assertEqual(len(self.server.requests), 2)

    def test_a_call_ends_when_its_caller_has_disconnected(self):
        self.start([b""])
        with self.assertRaises(CallAbandonedError):
            self.run_call(is_abandoned=lambda: True)


class RepeatedRefusalTests(BackendTestCase):
    """A server writes an earlier refusal again before the answer to a call it ran."""

    def order(self, request_id):
        return self.run_call(
            request_id=request_id, kind=RouteKind.NON_IDEMPOTENT, method="POST"
        )

    def test_a_refusal_written_again_does_not_say_that_the_next_call_was_not_run(self):
        for refused in (refusal(), refusal("r1")):
            with self.subTest(refused):
                self.start([refused, refused + answer(b"own", "r2")])
                self.assertEqual(self.order("r1").outcome, Outcome.NOT_RUN)
                result = self.order("r2")
                self.assertEqual((result.status, result.body), (200, b"own"))
                self.assertEqual(result.outcome, Outcome.DONE)

    def test_a_refusal_written_again_and_no_answer_leave_the_outcome_unknown(self):
        for refused in (refusal(), refusal("r1")):
            with self.subTest(refused):
                self.start([refused, BrokenOff(refused)])
                self.order("r1")
                with self.assertRaises(CallOutcomeUnknownError):
                    self.order("r2")

    def test_another_refusal_that_names_no_call_does_not_misdirect_the_next_one(self):
        misdirected = refusal(status="421 Misdirected Request")
        self.start([answer(), misdirected + answer(b"own", "r2")])
        self.order("r1")
        self.assertEqual(self.order("r2").body, b"own")

    def test_a_refusal_written_again_gives_no_notice(self):
        refused = refusal(extra="Server-Leaving: 1\r\n")
        self.start([refused, refused + answer(b"own", "r2")])
        self.assertTrue(self.order("r1").notice.is_leaving)
        self.assertFalse(self.order("r2").notice.is_leaving)

    def test_the_first_answer_on_a_connection_may_refuse_without_an_id(self):
        self.start([refusal()], [refusal(status="421 Misdirected Request")])
        self.assertEqual(self.order("r1").outcome, Outcome.NOT_RUN)
        self.backend.close()
        with self.assertRaises(CallMisdirectedError):
            self.order("r2")
