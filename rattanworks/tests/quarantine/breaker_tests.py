"""Calls that crash the backend servers that run them."""

import unittest

from rattanworks.exceptions import (
    AnswerTooLargeError,
    CallOutcomeUnknownError,
    CallTimedOutError,
)
from rattanworks.model.call import Answer, Outcome
from rattanworks.model.crash import CrashReport
from rattanworks.quarantine.breaker import (
    QUARANTINE_CRASHES,
    build_quarantine,
    trial_delay,
)
from rattanworks.quarantine.fingerprint import fingerprint_of
from rattanworks.tests.admission.owner_tests import OwnerTestCase
from rattanworks.tests.builders import build_call
from rattanworks.tests.fakes import FakeBackendServer, FakeClock
from rattanworks.tests.routing.honesty_tests import ScriptedPeerCalls, entry_with
from rattanworks.tests.routing.retries_tests import request

DEADLY = fingerprint_of("shop", "GET", "", "/catalogue/1", b"")
CALLS_PER_SECOND = 8
NEWS_SECONDS = 0.2


class CrashingServer(FakeBackendServer):
    """Runs calls with ``on_run`` and is not reachable once it has ``crashed``."""

    crashed = False

    def is_reachable(self):
        return not self.crashed


def crash_under(server):
    return Answer(502, outcome=Outcome.UNKNOWN, is_offered=True, crashed_server=server)


class CallQuarantineTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(100.0)
        self.quarantine = build_quarantine(self.clock, "node-1")
        self.call = build_call(fingerprint=DEADLY)

    def crash(self, *servers):
        for server in servers:
            self.quarantine.record_crash(self.call, server)

    def test_one_crash_holds_up_nobody(self):
        self.crash("a", "a")
        self.assertTrue(self.quarantine.check(DEADLY).may_run)
        self.assertFalse(self.quarantine.is_held(DEADLY))

    def test_a_call_that_crashed_two_servers_is_refused_until_one_trial(self):
        self.crash("a", "b")
        verdict = self.quarantine.check(DEADLY)
        self.assertFalse(verdict.may_run)
        self.clock.advance(verdict.retry_after)
        trial, second = (self.quarantine.check(DEADLY) for _ in range(2))
        self.assertTrue(trial.may_run and trial.is_trial)
        self.assertFalse(second.may_run)

    def test_the_delay_of_a_trial_grows_with_each_crash(self):
        delays = []
        for server in "abcde":
            self.crash(server)
            delays.append(self.quarantine.check(DEADLY).retry_after)
        self.assertEqual(delays[0], 0.0)
        for crashes, delay in enumerate(delays[1:], QUARANTINE_CRASHES):
            self.assertGreaterEqual(delay, trial_delay(crashes))
            self.assertLess(delay, 2 * trial_delay(crashes))

    def test_a_host_that_has_just_booted_grants_a_trial_by_the_age_of_the_crashes(self):
        clock = FakeClock(1.0)
        quarantine = build_quarantine(clock, "node-1")
        age = 2 * trial_delay(QUARANTINE_CRASHES)
        quarantine.reports.merge(CrashReport(DEADLY, server, age) for server in "ab")
        self.assertTrue(quarantine.check(DEADLY).is_trial)

    def test_an_innocent_call_that_ran_at_crashes_is_cleared_when_it_ends_well(self):
        self.crash("a", "b")
        self.quarantine.record_answer(self.call)
        self.assertTrue(self.quarantine.check(DEADLY).may_run)
        self.crash("c")
        self.assertTrue(self.quarantine.check(DEADLY).may_run)

    def test_calls_without_a_fingerprint_are_never_held(self):
        call = build_call()
        for server in "abc":
            self.quarantine.record_crash(call, server)
        self.assertTrue(self.quarantine.check(call.fingerprint).may_run)

    def test_nodes_grant_trials_one_after_the_other(self):
        self.crash("a", "b")
        reports = self.quarantine.reports.reports()
        due = []
        for number in range(50):
            other = build_quarantine(self.clock, f"node-{number}")
            other.reports.merge(reports)
            due.append(other.check(DEADLY).retry_after)
        first = trial_delay(QUARANTINE_CRASHES)
        self.assertLess(sum(first <= seconds < 1.2 * first for seconds in due), 25)
        self.assertLess(max(due), 2 * first)

    def test_a_call_sent_to_every_node_for_a_minute_reaches_few_servers(self):
        # Each crash is known everywhere after NEWS_SECONDS.
        nodes = [build_quarantine(self.clock, f"node-{n}") for n in range(11)]
        news, crashes = [], 0
        for step in range(60 * CALLS_PER_SECOND):
            now = self.clock.monotonic()
            for known_at, report in list(news):
                if known_at <= now:
                    for node in nodes:
                        node.reports.merge((report,))
                    news.remove((known_at, report))
            node = nodes[step % len(nodes)]
            if node.check(DEADLY).may_run:
                crashes += 1
                before = node.reports.reports()
                node.record_crash(self.call, f"server-{crashes}")
                new = set(node.reports.reports()) - set(before)
                news += [(now + NEWS_SECONDS, report) for report in new]
            self.clock.advance(1 / CALLS_PER_SECOND)
        # BUDGET allows three after the third crash.
        self.assertLessEqual(crashes, 6)


class OwnerCrashTests(OwnerTestCase):
    """What the node beside a backend server takes for a crash under a call."""

    def setUp(self):
        super().setUp()
        self.server = CrashingServer()
        self.owner._quarantine = build_quarantine(self.clock, "node-1")

    def run_and_fail(self, error, is_crash=True, **changes):
        def fail(call):
            self.server.crashed = is_crash
            raise error

        self.server.on_run = fail
        return self.dispatch(fingerprint=DEADLY, **changes)

    def test_a_server_that_is_gone_under_a_call_has_crashed(self):
        self.attach(self.server)
        answer = self.run_and_fail(CallOutcomeUnknownError("cut"))
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertTrue(answer.crashed_server)
        self.assertEqual(len(self.owner._quarantine.reports.crash_times(DEADLY)), 1)

    def test_each_run_of_a_server_crashes_once(self):
        servers = set()
        for started_at in (1, 1, 2):
            self.server.crashed = False
            self.attach(self.server, started_at=started_at)
            answer = self.run_and_fail(CallOutcomeUnknownError("cut"))
            servers.add(answer.crashed_server)
        self.assertEqual(len(servers), 2)

    def test_other_ends_of_a_connection_are_no_crashes(self):
        for error, is_crash in (
            (CallOutcomeUnknownError("reset"), False),
            (CallTimedOutError("late"), True),
            (AnswerTooLargeError("large"), True),
        ):
            with self.subTest(error):
                self.server.crashed = False
                self.attach(self.server)
                answer = self.run_and_fail(error, is_crash)
                self.assertEqual(answer.crashed_server, "")

    def test_a_server_that_ends_after_it_said_that_it_leaves_has_not_crashed(self):
        self.attach(self.server)

        def leave(call):
            self.owner.leave()
            self.server.crashed = True
            raise CallOutcomeUnknownError("cut")

        self.server.on_run = leave
        answer = self.dispatch(fingerprint=DEADLY)
        self.assertEqual(answer.crashed_server, "")

    def test_a_crash_is_reported_after_other_calls_found_the_server_gone(self):
        self.attach(self.server)

        def crash(call):
            self.server.crashed = True
            self.owner._withdraw()
            raise CallOutcomeUnknownError("cut")

        self.server.on_run = crash
        self.assertTrue(self.dispatch(fingerprint=DEADLY).crashed_server)

    def test_a_held_call_that_was_waiting_does_not_run(self):
        self.attach(self.server)
        for server in "ab":
            self.owner._quarantine.record_crash(build_call(fingerprint=DEADLY), server)
        answer = self.dispatch(fingerprint=DEADLY)
        self.assertEqual((answer.status, answer.outcome), (503, Outcome.NOT_RUN))
        self.assertEqual(self.server.runs, [])
        self.assertEqual(self.dispatch(fingerprint=DEADLY, is_trial=True).status, 200)
        self.assertEqual(self.dispatch(fingerprint=DEADLY).status, 200)


class EntryCrashTests(unittest.TestCase):
    def entry(self, *steps):
        self.peer_calls = ScriptedPeerCalls(*steps)
        return entry_with(self.peer_calls)

    def test_a_call_that_crashes_servers_is_not_sent_to_a_third(self):
        entry = self.entry(*(crash_under(server) for server in "abcd"))
        answers = [entry.handle(request()) for _ in range(3)]
        self.assertEqual(len(self.peer_calls.dispatched), 2)
        self.assertEqual(answers[0].outcome, Outcome.UNKNOWN)
        for answer in answers[1:]:
            self.assertEqual((answer.status, answer.outcome), (503, Outcome.NOT_RUN))
            self.assertGreater(answer.retry_after, 1.0)

    def test_the_same_path_with_another_body_is_served(self):
        entry = self.entry(crash_under("a"), crash_under("b"), Answer(200))
        for body in (b"deadly", b"deadly", b"innocent"):
            answer = entry.handle(request(method="POST", body=body))
        self.assertEqual(answer.status, 200)
