import unittest

from hypothesis import given
from hypothesis import strategies as st

from rattanworks.adapters.http_callers import MAX_TIMEOUT_SECONDS
from rattanworks.model.call import Answer, refusal, unknown_outcome
from rattanworks.platform.callers import PlatformDialect

DEADLINE = "HTTP_X_REQUEST_DEADLINE"


class DialectTests(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformDialect()

    def headers(self, answer):
        return dict(self.dialect.answer_headers(answer, "r1"))

    def test_the_deadline_header_is_in_milliseconds(self):
        self.assertEqual(self.dialect.timeout({DEADLINE: "800"}, 5.0), 0.8)
        self.assertEqual(self.dialect.timeout({}, 5.0), 5.0)
        self.assertEqual(self.dialect.timeout({DEADLINE: "-3"}, 5.0), 0.0)

    @given(st.text(max_size=12) | st.sampled_from(["inf", "-inf", "nan", "1e999"]))
    def test_any_deadline_header_is_a_bounded_number_or_refused(self, text):
        try:
            seconds = self.dialect.timeout({DEADLINE: text}, 5.0)
        except ValueError:
            return
        self.assertTrue(0.0 <= seconds <= MAX_TIMEOUT_SECONDS)

    def test_headers_that_the_system_sets_are_not_forwarded(self):
        environ = {
            "HTTP_X_CALLER_SERVICE": "another",
            "HTTP_X_EXPECTED_INSTANCE": "i-9",
            DEADLINE: "800",
            "HTTP_CONNECTION": "keep-alive, X-Hop",
            "HTTP_X_HOP": "1",
            "HTTP_ACCEPT": "text/plain",
        }
        forwarded = self.dialect.request_headers(environ)
        self.assertEqual(forwarded, (("Accept", "text/plain"),))

    def test_only_an_answer_that_was_not_run_has_retry_after(self):
        self.assertEqual(
            self.headers(refusal(503, "full", 0.1234))["Retry-After"], "0.123"
        )
        self.assertNotIn("Retry-After", self.headers(refusal(404, "no route")))
        self.assertNotIn("Retry-After", self.headers(unknown_outcome(502, "lost", 1.0)))

    def test_a_servers_answer_keeps_its_signature_and_gets_the_callers_id(self):
        signed = (("X-Server-Signature", "3e1b"), ("X-Request-Id", "stale"))
        self.assertEqual(
            self.headers(Answer(200, signed)),
            {"X-Server-Signature": "3e1b", "X-Request-Id": "r1"},
        )
