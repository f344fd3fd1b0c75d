import unittest

from rattanworks.client import Client
from rattanworks.model.call import Outcome
from rattanworks.settings.node import HostSettings
from rattanworks.tests.servers import ScriptedServer, raw_answer

NO_ADDRESS = "127.0.0.1:1"


class AnswerOfNodeTests(unittest.TestCase):
    """Calls with an idempotency key, which go through the node of the host."""

    def outcome_of(self, raw):
        server = ScriptedServer([raw])
        self.addCleanup(server.close)
        host = HostSettings("shop-host", "qc-est", "qc-est-a")
        client = Client(host, NO_ADDRESS, server.address)
        self.addCleanup(client._node_pool.close)
        return client.send("shop", "POST", "/orders", idempotency_key="k").outcome

    def test_an_answer_without_an_outcome_does_not_say_that_nothing_ran(self):
        for status in ("500 Internal Server Error", "503 Busy", "200 OK"):
            with self.subTest(status):
                outcome = self.outcome_of(raw_answer(status=status))
                self.assertEqual(outcome, Outcome.UNKNOWN)

    def test_a_request_that_cannot_be_read_was_not_run(self):
        for status in ("400 Bad Request", "413 Too Large", "431 Too Large"):
            with self.subTest(status):
                outcome = self.outcome_of(raw_answer(status=status))
                self.assertEqual(outcome, Outcome.NOT_RUN)

    def test_the_outcome_is_that_of_the_node(self):
        for outcome in Outcome:
            with self.subTest(outcome):
                framing = f"Content-Length: 2\r\nX-Request-Outcome: {outcome}\r\n"
                raw = raw_answer(status="502 Bad Gateway", framing=framing)
                self.assertEqual(self.outcome_of(raw), outcome)
