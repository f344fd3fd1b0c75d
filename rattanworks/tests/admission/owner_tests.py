"""What the owner runs and refuses, and how its backend server joins and leaves."""

import math
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.admission.limits import PlanLimits
from rattanworks.admission.owner import Owner
from rattanworks.bench.fleet import wait_until
from rattanworks.exceptions import (
    CallMisdirectedError,
    CallNotSentError,
    CallOutcomeUnknownError,
)
from rattanworks.membership.members import Members
from rattanworks.model.call import Answer, Outcome
from rattanworks.model.endpoint import EndpointState
from rattanworks.tests.builders import (
    CUSTOMERS,
    build_announcement,
    build_call,
    build_lists,
    build_record,
    build_tables,
)
from rattanworks.tests.fakes import FakeBackendServer, FakeClock
from rattanworks.tests.moves.world import running_state
from rattanworks.utils.precedence_table import PrecedenceTable

LIMIT_SECONDS = 30.0

PLANS = b"""
[plans.counter]
priority = 2
[plans.counter.uses.catalogue]
calls_per_second = 1
burst = 2
"""


class OwnerTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.members = Members(build_record(state=EndpointState.JOINED))
        lists = build_lists(CUSTOMERS, PLANS)
        self.services = PrecedenceTable(lambda state: state.service)
        tables = build_tables(self.members, self.services, lists)
        self.limits = PlanLimits(self.clock)
        self.use = lists.plans_by_name["counter"].uses[0]
        self.owner = Owner(self.members, tables, self.limits, self.clock, 4)
        self.backend = FakeBackendServer()

    def attach(self, backend=None, **changes):
        backend = backend or self.backend
        self.owner.attach(backend, build_announcement(**changes))

    def dispatch(self, **changes):
        own = self.members.own
        return self.owner.dispatch(build_call(**changes), own.node, own.incarnation)


class DispatchTests(OwnerTestCase):
    def test_during_a_move_a_version_has_its_share_of_the_plans_rate(self):
        self.attach()
        self.members.table.merge((build_record("new", version="v2"),))
        self.services.merge((running_state(share=0.25),))
        shares = []
        self.limits.admit = lambda customer, use, owners: shares.append(1 / owners)
        self.dispatch()
        self.assertAlmostEqual(shares[0], 0.75)

    def test_a_call_is_not_sent_if_its_server_leaves_after_the_call_got_its_slot(self):
        # The thread of a call may get to run long after its slot was granted.
        for leave in (self.owner.leave, self.leave_for_another):
            with self.subTest(leave.__name__):
                self.attach(instance=leave.__name__)
                slot_queue = self.owner._slot_queue
                acquire = slot_queue.acquire

                def acquire_and_leave(*arguments, acquire=acquire, leave=leave, **rest):
                    admission = acquire(*arguments, **rest)
                    leave()
                    return admission

                slot_queue.acquire = acquire_and_leave
                answer = self.dispatch()
                self.assertEqual(answer.outcome, Outcome.NOT_RUN)
                self.assertEqual(answer.status, 503)
        self.assertEqual(self.backend.runs, [])

    def test_a_server_without_heartbeats_that_left_and_returned_gets_calls(self):
        self.attach(heartbeat_seconds=0.0)
        self.owner.leave()
        self.attach(heartbeat_seconds=0.0)
        self.assertEqual(self.dispatch().outcome, Outcome.DONE)

    def leave_for_another(self):
        self.owner.leave()
        self.attach(FakeBackendServer(), instance="another")

    def test_refused_calls_are_reported_as_not_run_and_do_not_run(self):
        self.attach()
        for changes in ({"service": "orders"}, {"version": "v2"}, {"deadline": -1.0}):
            with self.subTest(changes):
                answer = self.dispatch(**changes)
                self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.backend.runs, [])

    def test_a_servers_retry_after_is_a_number_that_callers_can_be_sent(self):
        headers = (("Retry-After", "9" * 400),)
        shed = Answer(503, headers, outcome=Outcome.NOT_RUN)
        self.attach(FakeBackendServer(lambda call: shed))
        answer = self.dispatch()
        self.assertTrue(math.isfinite(answer.retry_after))
        self.assertEqual(answer.headers, ())

    def test_a_broken_exchange_is_never_reported_as_not_run(self):
        def break_off(call):
            raise CallOutcomeUnknownError("cut")

        self.attach(FakeBackendServer(break_off))
        answer = self.dispatch()
        self.assertEqual((answer.status, answer.outcome), (502, Outcome.UNKNOWN))
        self.assertEqual(self.owner.running, 0)

    def test_a_call_beyond_the_plan_runs_only_in_a_free_slot(self):
        gate = threading.Event()
        self.addCleanup(gate.set)

        def hold(call):
            gate.wait(LIMIT_SECONDS)
            return Answer(200)

        self.attach(FakeBackendServer(hold))
        with ThreadPoolExecutor(2) as executor:
            held = [executor.submit(self.dispatch) for _ in range(2)]
            wait_until(lambda: self.owner.running == 2, LIMIT_SECONDS, "slots taken")
            refused = self.dispatch()
            gate.set()
            self.assertTrue(all(future.result().status == 200 for future in held))
        self.assertEqual((refused.status, refused.outcome), (429, Outcome.NOT_RUN))
        self.assertGreater(refused.retry_after, 0)
        self.assertEqual(self.dispatch().status, 200)

    def test_no_dispatch_after_the_host_was_suspended_past_the_deadline(self):
        # In a suspended host the monotonic clock stops and the wall clock goes on.
        gate = threading.Event()

        def hold(call):
            gate.wait(LIMIT_SECONDS)
            return Answer(200)

        backend = FakeBackendServer(hold)
        self.attach(backend, slots=1)
        self.clock.now = lambda: self.clock.time + self.suspended
        self.suspended = 0.0
        with ThreadPoolExecutor(2) as executor:
            executor.submit(self.dispatch, request_id="first")
            wait_until(lambda: self.owner.running, LIMIT_SECONDS, "slot taken")
            waiter = executor.submit(self.dispatch, request_id="late")
            wait_until(lambda: self.owner.waiting, LIMIT_SECONDS, "queued")
            self.suspended = 60.0
            gate.set()
            answer = waiter.result(LIMIT_SECONDS)
        self.assertEqual((answer.status, answer.outcome), (504, Outcome.NOT_RUN))
        self.assertEqual(backend.runs, ["first"])


class OverloadTests(OwnerTestCase):
    def test_at_twice_the_load_calls_within_plans_run_and_refusals_are_immediate(self):
        gate = threading.Event()
        self.addCleanup(gate.set)

        def hold(call):
            gate.wait(LIMIT_SECONDS)
            return Answer(200)

        backend = FakeBackendServer(hold)
        self.attach(backend, slots=2)
        # "shop" uses up its burst of 2, so its later calls are beyond its plan.
        self.assertTrue(self.limits.admit("shop", self.use, 1))
        self.assertTrue(self.limits.admit("shop", self.use, 1))
        with ThreadPoolExecutor(16) as executor:
            beyond_plan = [
                executor.submit(self.dispatch, customer="shop") for _ in range(2)
            ]
            wait_until(lambda: self.owner.running == 2, LIMIT_SECONDS, "slots taken")
            within_plan = [
                executor.submit(
                    self.dispatch, customer="guest", request_id=f"w{number}"
                )
                for number in range(4)
            ]
            wait_until(lambda: self.owner.waiting == 4, LIMIT_SECONDS, "queued")
            # No call ends before the gate opens: the refusals did not wait for a slot.
            refused = [self.dispatch(customer="shop", priority=1) for _ in range(4)]
            self.assertFalse(
                any(future.done() for future in (*beyond_plan, *within_plan))
            )
            gate.set()
            served = [future.result(LIMIT_SECONDS).status for future in within_plan]
        self.assertEqual(served, [200] * 4)
        self.assertEqual({answer.status for answer in refused}, {429})
        self.assertEqual({answer.outcome for answer in refused}, {Outcome.NOT_RUN})
        self.assertLessEqual({f"w{number}" for number in range(4)}, set(backend.runs))
        self.assertEqual(len(backend.runs), 6)

    def test_the_token_of_a_call_that_did_not_run_is_refunded(self):
        self.attach()
        late = [self.dispatch(deadline=0.0) for _ in range(5)]
        self.assertEqual({answer.outcome for answer in late}, {Outcome.NOT_RUN})
        left = [self.limits.admit("shop", self.use, 1) for _ in range(3)]
        self.assertEqual(left, [True, True, False])


class AnnouncementTests(OwnerTestCase):
    def state(self):
        return self.members.own.state

    def test_a_repeated_announcement_changes_nothing(self):
        self.attach()
        record = self.members.own
        self.assertTrue(self.owner.renew(build_announcement()))
        self.assertEqual(self.members.own, record)

    def test_a_server_that_left_serves_again_as_another_instance(self):
        self.attach()
        self.owner.leave()
        self.assertEqual(self.dispatch().outcome, Outcome.NOT_RUN)
        returned = build_announcement(instance="second")
        self.assertFalse(self.owner.renew(returned))
        self.attach(instance="second")
        self.assertEqual(self.dispatch().status, 200)
        record = self.members.by_node[self.members.own.node]
        self.assertEqual(record.state, EndpointState.SERVING)

    def test_a_heartbeat_does_not_bring_back_a_server_that_left(self):
        self.attach()
        self.owner.leave()
        self.assertTrue(self.owner.renew(build_announcement()))
        self.attach()
        self.assertEqual(self.state(), EndpointState.LEAVING)

    def test_a_restarted_server_takes_over_with_its_own_slots(self):
        self.attach()
        replacement = FakeBackendServer()
        self.attach(replacement, instance="second", slots=5, version="v2")
        self.assertEqual(self.dispatch(version="v2").status, 200)
        self.assertEqual((len(self.backend.runs), len(replacement.runs)), (0, 1))
        self.assertEqual(self.members.own.slots, 5)

    def test_a_silent_server_leaves_and_returns_with_its_next_heartbeat(self):
        self.attach()
        for _ in range(4):
            self.owner.check_heartbeat(1.0)
        self.assertEqual(self.state(), EndpointState.LEAVING)
        self.attach()
        self.assertEqual(self.state(), EndpointState.SERVING)

    def test_a_server_that_sends_no_heartbeats_is_never_silent(self):
        self.attach(heartbeat_seconds=0.0)
        for _ in range(100):
            self.owner.check_heartbeat(1.0)
        self.assertEqual(self.state(), EndpointState.SERVING)

    def test_a_server_that_cannot_be_reached_leaves(self):
        def refuse(call):
            raise CallNotSentError("connection refused")

        self.attach(FakeBackendServer(refuse))
        for _ in range(3):
            self.assertEqual(self.dispatch().outcome, Outcome.NOT_RUN)
        self.assertEqual(self.state(), EndpointState.LEAVING)

    def test_no_announcement_brings_a_stopping_node_back(self):
        self.attach()
        self.owner.stop()
        self.assertTrue(self.owner.renew(build_announcement()))
        self.attach(instance="second")
        self.assertEqual(self.state(), EndpointState.LEAVING)


class EndpointEndTests(OwnerTestCase):
    """An endpoint leaves or changes while calls run and one waits."""

    def setUp(self):
        super().setUp()
        self.gate, self.error = threading.Event(), None
        self.addCleanup(self.gate.set)
        self.backend = FakeBackendServer(self.hold)
        self.attach(slots=2)

    def hold(self, call):
        if call.request_id == "failing":
            raise self.error
        self.gate.wait(LIMIT_SECONDS)
        return Answer(200)

    def fall_silent(self):
        for _ in range(4):
            self.owner.check_heartbeat(1.0)

    def replace_server(self):
        self.attach(FakeBackendServer(), instance="second", slots=5)

    def change_version(self):
        self.attach(FakeBackendServer(), version="v2")

    def reduce_slots(self):
        self.attach(FakeBackendServer(), slots=1)

    def start_calls(self, executor, count):
        """Start calls; return their futures once the backend server runs them all."""
        held = [
            executor.submit(self.dispatch, request_id=f"held-{n}", customer="guest")
            for n in range(count)
        ]
        wait_until(lambda: self.owner.running == count, LIMIT_SECONDS, "running")
        return held

    def assert_answered(self, held):
        self.assertFalse(any(future.done() for future in held))
        self.gate.set()
        for future in held:
            self.assertEqual(future.result(LIMIT_SECONDS).status, 200)

    def assert_calls_finish(self, change, waiter_runs):
        """Change the endpoint; check the calls that run and the one that waits."""
        with ThreadPoolExecutor(3) as executor:
            held = self.start_calls(executor, 2)
            waiter = executor.submit(self.dispatch, customer="guest")
            wait_until(lambda: self.owner.waiting, LIMIT_SECONDS, "queued")
            change()
            if not waiter_runs:
                answer = waiter.result(LIMIT_SECONDS)
                self.assertEqual(answer.outcome, Outcome.NOT_RUN)
            self.assert_answered(held)
            if waiter_runs:
                self.assertEqual(waiter.result(LIMIT_SECONDS).status, 200)

    def test_a_server_that_leaves(self):
        self.assert_calls_finish(self.owner.leave, waiter_runs=False)

    def test_a_node_that_stops(self):
        self.assert_calls_finish(self.owner.stop, waiter_runs=False)

    def test_a_silent_server(self):
        self.assert_calls_finish(self.fall_silent, waiter_runs=False)

    def test_a_replaced_server(self):
        self.assert_calls_finish(self.replace_server, waiter_runs=False)

    def test_a_server_of_another_version(self):
        self.assert_calls_finish(self.change_version, waiter_runs=True)

    def test_a_server_with_fewer_slots(self):
        self.assert_calls_finish(self.reduce_slots, waiter_runs=True)

    def test_a_call_whose_caller_left_while_it_waited_is_not_sent(self):
        has_left = threading.Event()
        with ThreadPoolExecutor(3) as executor:
            held = self.start_calls(executor, 2)
            waiter = executor.submit(
                self.dispatch,
                request_id="left",
                customer="guest",
                is_abandoned=has_left.is_set,
            )
            wait_until(lambda: self.owner.waiting, LIMIT_SECONDS, "queued")
            has_left.set()
            self.assert_answered(held)
            answer = waiter.result(LIMIT_SECONDS)
        self.assertEqual((answer.outcome, answer.is_offered), (Outcome.NOT_RUN, False))
        self.assertNotIn("left", self.backend.runs)

    def test_a_server_that_says_it_is_another_instance(self):
        self.error = CallMisdirectedError("another instance")
        with ThreadPoolExecutor(1) as executor:
            held = self.start_calls(executor, 1)
            answer = self.dispatch(request_id="failing", customer="guest")
            self.assertEqual(answer.outcome, Outcome.NOT_RUN)
            # It was sent, so that a repeat is for the retry budget.
            self.assertTrue(answer.is_offered)
            self.assertEqual(self.members.own.state, EndpointState.LEAVING)
            self.assert_answered(held)
