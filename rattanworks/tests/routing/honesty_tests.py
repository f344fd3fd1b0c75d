"""The outcomes that the entry reports, also of calls with several attempts."""

import types
import unittest

from rattanworks.exceptions import (
    AnswerBudgetExhaustedError,
    AnswerTooLargeError,
    CallNotSentError,
    CallOutcomeUnknownError,
)
from rattanworks.model.call import Answer, Outcome, refusal
from rattanworks.routing.choice import EndpointChooser
from rattanworks.routing.entry import CallerRequest, Entry
from rattanworks.settings.node import HostSettings
from rattanworks.tests.builders import build_call, build_record, build_tables
from rattanworks.tests.fakes import FakeClock, FakePeerCalls
from rattanworks.utils.precedence_table import PrecedenceTable


class ScriptedPeerCalls(FakePeerCalls):
    """Answers each call with the next step of a script, or raises it if an error."""

    def __init__(self, *steps):
        super().__init__()
        self.steps = list(steps)

    def dispatch(self, record, call):
        super().dispatch(record, call)
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


def entry_with(peer_calls, ledger=None, lists=None, records=None, state=None):
    """Return an Entry with the endpoints ``records`` and the state of their service."""
    clock = FakeClock()
    records = records or [build_record(f"node-{number}") for number in range(3)]
    table = PrecedenceTable(lambda record: record.node)
    members = types.SimpleNamespace(
        by_node={record.node: record for record in records}, table=table
    )
    services = PrecedenceTable(lambda row: row.service)
    if state is not None:
        services.merge((state,))
    tables = build_tables(members, services, lists)
    owner = types.SimpleNamespace(owns=lambda record: False, repeat_share=0.0)
    chooser = EndpointChooser(HostSettings("entry", "qc-est", "qc-est-a"), clock)
    return Entry(tables, chooser, owner, peer_calls, ledger, clock)


def request(method="GET"):
    return CallerRequest(
        "request", "shop", method, "/catalogue/1", "/catalogue/1", (), b"", 5.0
    )


class ReportedOutcomeTests(unittest.TestCase):
    def outcome(self, method, *steps):
        peer_calls = ScriptedPeerCalls(*steps)
        answer = entry_with(peer_calls).handle(request(method))
        return answer.outcome, len(peer_calls.dispatched)

    def test_a_post_with_a_lost_answer_has_unknown_outcome_and_is_not_repeated(self):
        lost = CallOutcomeUnknownError("cut")
        self.assertEqual(self.outcome("POST", lost), (Outcome.UNKNOWN, 1))

    def test_only_an_oversized_answer_counts_against_its_endpoint(self):
        for error, expected in (
            (AnswerTooLargeError("cut"), 1),
            (AnswerBudgetExhaustedError("cut"), 0),
        ):
            with self.subTest(error):
                reported = []
                entry = entry_with(ScriptedPeerCalls(error))
                entry.observer = types.SimpleNamespace(
                    record_unreachable=reported.append
                )
                answer = entry.handle(request("POST"))
                self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
                self.assertEqual(len(reported), expected)

    def test_a_later_refusal_does_not_hide_that_an_earlier_attempt_may_have_run(self):
        lost = CallOutcomeUnknownError("cut")
        busy = refusal(503, "busy")
        for last in (busy, CallNotSentError("refused")):
            with self.subTest(last):
                outcome, tries = self.outcome("GET", lost, busy, last)
                self.assertEqual((outcome, tries), (Outcome.UNKNOWN, 3))

    def test_with_an_idempotency_key_only_safe_methods_are_idempotent(self):
        for method in ("PUT", "DELETE", "POST"):
            self.assertFalse(
                build_call(method=method, idempotency_key="k").is_idempotent
            )
        self.assertTrue(build_call(method="PUT").is_idempotent)
        self.assertTrue(build_call(method="GET", idempotency_key="k").is_idempotent)

    def test_a_post_is_sent_again_only_after_it_provably_did_not_run(self):
        refused, done = CallNotSentError("refused"), Answer(200)
        self.assertEqual(self.outcome("POST", refused, done), (Outcome.DONE, 2))
        self.assertEqual(
            self.outcome("POST", refused, CallOutcomeUnknownError("cut")),
            (Outcome.UNKNOWN, 2),
        )
