"""The backend server stand-in injects the faults of its Behaviour."""

import unittest

from rattanworks.exceptions import CallOutcomeUnknownError
from rattanworks.standins.backend import BackendServerApp, Behaviour
from rattanworks.utils.codec import decode_json, encode_json
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.http_server import HttpServer

TIMEOUT_SECONDS = 10.0


class BackendStandinTests(unittest.TestCase):
    def setUp(self):
        app = BackendServerApp("catalogue", "v1", 2, Behaviour(work_seconds=0.0))
        server = HttpServer(app, "127.0.0.1", 0, 4, 1024 * 1024, "backend")
        server.start()
        self.addCleanup(server.stop)
        self.pool = HttpPool(server.address, 4)
        self.addCleanup(self.pool.close)

    def set_behaviour(self, **fields):
        body = encode_json(Behaviour(work_seconds=0.0, **fields))
        self.send("POST", "/control/behaviour", body)

    def send(self, method, target, body=b"", **headers):
        pairs = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return self.pool.exchange(method, target, pairs, body, TIMEOUT_SECONDS)

    def runs(self):
        return decode_json(self.send("GET", "/control/runs").body, dict)

    def test_refusals_carry_the_not_run_header_and_are_not_counted(self):
        self.send("POST", "/control/cancel", b"cancelled")
        refused = [
            self.send("GET", "/x", X_Request_Id="cancelled"),
            self.send("GET", "/x", X_Request_Id="late", X_Request_Deadline="1.0"),
        ]
        self.send("POST", "/control/drain")
        refused.append(self.send("GET", "/x", X_Request_Id="drained"))
        self.assertEqual([answer.status for answer in refused], [499, 504, 503])
        self.assertTrue(all(answer.header("x-not-run") for answer in refused))
        self.assertEqual(self.runs(), {})

    def test_a_truncated_answer_is_an_unknown_outcome(self):
        self.set_behaviour(cut_share=1.0)
        with self.assertRaises(CallOutcomeUnknownError):
            self.send("GET", "/x", X_Request_Id="cut")
        self.assertEqual(self.runs(), {"cut": 1})

    def test_a_call_whose_connection_is_closed_does_not_run(self):
        self.set_behaviour(close_share=1.0)
        with self.assertRaises(CallOutcomeUnknownError):
            self.send("GET", "/x", X_Request_Id="closed")
        self.assertEqual(self.runs(), {})

    def test_a_swapped_answer_carries_an_earlier_request_id(self):
        self.send("GET", "/x", X_Request_Id="first")
        self.set_behaviour(swap_share=1.0)
        answer = self.send("GET", "/x", X_Request_Id="second")
        self.assertEqual(answer.header("x-request-id"), "first")

    def test_health_and_load_report_what_the_behaviour_claims(self):
        self.set_behaviour(claims_healthy=True, claimed_load=0.1, fail_share=1.0)
        self.assertEqual(self.send("GET", "/health").status, 200)
        self.assertEqual(self.send("GET", "/load").body, b"0.1")
        self.assertEqual(self.send("GET", "/x").status, 500)

    def test_runs_are_counted_by_idempotency_key(self):
        for number in range(2):
            self.send("POST", "/x", X_Request_Id=f"{number}", Idempotency_Key="key")
        answer = self.send("GET", "/control/runs-by-key")
        self.assertEqual(decode_json(answer.body, dict), {"key": 2})
