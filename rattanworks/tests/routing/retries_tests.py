import unittest
from dataclasses import replace

from rattanworks.adapters.http_backend import HttpBackendServer
from rattanworks.admission.waiting import NO_OBJECTIVE
from rattanworks.exceptions import CallNotSentError
from rattanworks.model.call import Answer, Outcome, refusal, unknown_outcome
from rattanworks.model.service import Move, ServiceState
from rattanworks.routing.entry import CallerRequest
from rattanworks.routing.retries import RetryBudget, RetrySettings, is_retriable
from rattanworks.tests.builders import build_call, build_record, lists_with_route
from rattanworks.tests.fakes import FakeClock, FakePeerCalls
from rattanworks.tests.routing.honesty_tests import ScriptedPeerCalls, entry_with
from rattanworks.tests.servers import ScriptedServer, raw_answer

BUSY = refusal(503, "busy", 2.0)


def request(**changes):
    fields = {
        "request_id": "request",
        "customer": "shop",
        "method": "GET",
        "path": "/catalogue/1",
        "target": "/catalogue/1",
        "headers": (),
        "body": b"",
        "deadline": 5.0,
    }
    return CallerRequest(**{**fields, **changes})


class RetryTests(unittest.TestCase):
    def handle(self, *steps, attempts=0, **changes):
        peer_calls = ScriptedPeerCalls(*steps)
        entry = entry_with(peer_calls, lists=lists_with_route(attempts=attempts))
        answer = entry.handle(request(**changes))
        return answer, len(peer_calls.dispatched)

    def test_only_calls_that_are_safe_to_repeat_are_retriable(self):
        get, post = build_call(), build_call(method="POST")
        lost = unknown_outcome(502, "lost")
        self.assertTrue(is_retriable(get, lost))
        self.assertFalse(is_retriable(post, lost))
        self.assertTrue(is_retriable(post, BUSY))
        self.assertFalse(is_retriable(get, refusal(429, "beyond the plan")))
        self.assertTrue(is_retriable(get, Answer(500)))
        self.assertFalse(is_retriable(post, Answer(500)))
        self.assertFalse(is_retriable(get, Answer(404)))

    def test_a_late_call_that_may_not_be_repeated_is_not_taken_for_its_objective(self):
        """In a planned stop it could be cut, and its caller could not repeat it."""

        def call_deadline(deadline, objective):
            return None if objective == NO_OBJECTIVE else deadline

        for method, expected in (("GET", (200, 1)), ("POST", (503, 0))):
            with self.subTest(method):
                peer_calls = ScriptedPeerCalls(Answer(200))
                entry = entry_with(
                    peer_calls, lists=lists_with_route(objective_seconds=0.2)
                )
                answer = entry.handle(
                    request(method=method, call_deadline=call_deadline)
                )
                self.assertEqual((answer.status, len(peer_calls.dispatched)), expected)

    def test_inner_entries_of_a_chain_do_not_retry(self):
        answer, tries = self.handle(BUSY, Answer(200), has_outer_retries=True)
        self.assertEqual((answer.outcome, tries), (Outcome.NOT_RUN, 1))
        answer, tries = self.handle(BUSY, Answer(200))
        self.assertEqual((answer.status, tries), (200, 2))

    def test_inner_entries_still_try_another_endpoint_when_one_is_unreachable(self):
        unreachable = CallNotSentError("nobody there")
        answer, tries = self.handle(unreachable, Answer(200), has_outer_retries=True)
        self.assertEqual((answer.status, tries), (200, 2))

    def test_a_call_carries_the_header_that_stops_retries_by_inner_entries(self):
        peer_calls = ScriptedPeerCalls(Answer(200))
        entry_with(peer_calls).handle(request())
        headers = peer_calls.dispatched[0][1].headers
        self.assertIn(("X-Retries", "outer"), headers)

    def test_an_abandoned_call_is_not_retried(self):
        has_left = iter((False, True, True))
        _, tries = self.handle(BUSY, Answer(200), is_abandoned=lambda: next(has_left))
        self.assertEqual(tries, 1)

    def test_a_call_that_is_late_or_abandoned_at_the_start_is_not_sent_at_all(self):
        # After a pause of the process it reads requests whose callers left long ago.
        answer, tries = self.handle(Answer(200), deadline=0.0)
        self.assertEqual((tries, answer.outcome), (0, Outcome.NOT_RUN))
        answer, tries = self.handle(Answer(200), is_abandoned=lambda: True)
        self.assertEqual((tries, answer.outcome), (0, Outcome.NOT_RUN))

    def test_the_budget_bounds_retries_to_a_share_of_calls(self):
        clock = FakeClock()
        budget = RetryBudget(clock)
        taken = sum(budget.take("catalogue") for _ in range(100))
        self.assertEqual(taken, RetrySettings().burst)
        allowed = 0
        for _ in range(100):
            budget.count_call("catalogue")
            allowed += budget.take("catalogue")
        self.assertEqual(allowed, 20)
        clock.advance(1.0)
        self.assertTrue(budget.take("catalogue"))

    def test_a_service_that_fails_does_not_use_up_the_budget_of_others(self):
        budget = RetryBudget(FakeClock())
        while budget.take("catalogue"):
            pass
        self.assertTrue(budget.take("orders"))

    def test_entries_share_the_burst_of_the_mesh_evenly(self):
        settings = RetrySettings(share=0.0, per_second=0.0, mesh_burst=40.0)
        budget = RetryBudget(FakeClock(), settings, lambda: 10)
        self.assertEqual(sum(budget.take("catalogue") for _ in range(100)), 4)

    def test_repeats_in_a_chain_stay_within_one_budget(self):
        # Each call of the outer service makes two calls of the inner one; all fail.
        settings = RetrySettings(share=0.1, burst=5.0, per_second=0.0)
        budget = RetryBudget(FakeClock(), settings)
        inner_calls = inner_repeats = 0
        repeat_share = 0.0
        for _ in range(2000):
            budget.count_call("outer")
            runs = 1 + budget.take("outer")
            for run in range(runs):
                repeat_share += 0.02 * ((run > 0) - repeat_share)
                for _ in range(2):
                    budget.count_call("inner", repeat_share)
                    inner_calls += run == 0
                    inner_repeats += (run > 0) + budget.take("inner")
        # Without ``repeat_share`` there are twice as many repeats as the budget allows.
        self.assertLess(inner_repeats, 0.13 * inner_calls)

    def test_attempts_of_the_route_bound_the_servers_that_a_call_is_sent_to(self):
        failed = Answer(500, is_offered=True)
        _, tries = self.handle(failed, failed, failed, Answer(200), attempts=2)
        self.assertEqual(tries, 2)

    def test_a_refusal_before_sending_does_not_count_as_an_attempt_of_the_route(self):
        answer, tries = self.handle(BUSY, BUSY, Answer(200), attempts=1)
        self.assertEqual((answer.status, tries), (200, 3))

    def test_a_refusal_carries_the_seconds_to_retry_after(self):
        answer, _ = self.handle(BUSY, BUSY, BUSY)
        self.assertEqual(answer.retry_after, 2.0)


class FallbackTests(unittest.TestCase):
    """A version of which all calls go to one endpoint refuses them."""

    def count_dispatched(self, refused, calls):
        peer_calls = ScriptedPeerCalls(*(calls * [refused, Answer(200)]))
        move = Move("op", "v1", "v2", "ana", 0.0, 100.0, share=1.0)
        entry = entry_with(
            peer_calls,
            records=[build_record(), build_record("node-2", version="v2")],
            state=ServiceState("catalogue", 2, "v1", move),
        )
        for _ in range(calls):
            entry.handle(request())
        return len(peer_calls.dispatched)

    def test_a_call_that_nodes_refuse_unsent_goes_to_the_old_version(self):
        self.assertEqual(self.count_dispatched(BUSY, 100), 200)

    def test_a_call_that_servers_refuse_goes_there_within_the_retry_budget(self):
        refused = replace(BUSY, is_offered=True)
        settings = RetrySettings()
        most = 100 + settings.share * 100 + settings.burst
        self.assertLessEqual(self.count_dispatched(refused, 100), most)


class _BackendCalls(FakePeerCalls):
    """Runs the calls of each node on a backend server of its own."""

    def __init__(self, new_backend):
        super().__init__()
        self._new_backend = new_backend
        self._backends_by_node = {}

    def dispatch(self, record, call):
        super().dispatch(record, call)
        backend = self._backends_by_node.get(record.node)
        if backend is None:
            backend = self._backends_by_node[record.node] = self._new_backend()
        return backend.run(call)


class LostAnswerTests(unittest.TestCase):
    """Servers run calls and close the kept connections instead of answering."""

    def new_backend(self):
        server = ScriptedServer([raw_answer(), raw_answer(), raw_answer(), None])
        self.servers.append(server)
        self.addCleanup(server.close)
        backend = HttpBackendServer(server.address, 4, FakeClock())
        self.addCleanup(backend.close)
        return backend

    def test_repeats_of_calls_on_kept_connections_stay_within_the_retry_budget(self):
        self.servers = []
        entry = entry_with(_BackendCalls(self.new_backend))
        calls = 200
        for _ in range(calls):
            entry.handle(request())
        arrivals = sum(len(server.requests) for server in self.servers)
        settings = RetrySettings()
        self.assertGreater(arrivals, calls)
        self.assertLessEqual(arrivals - calls, settings.share * calls + settings.burst)
