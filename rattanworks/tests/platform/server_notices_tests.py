"""What a backend server says of itself with its answers: its limit, its leaving."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.admission.limits import PlanLimits
from rattanworks.admission.owner import Owner
from rattanworks.bench.fleet import wait_until
from rattanworks.membership.members import Members
from rattanworks.model.call import Outcome
from rattanworks.model.endpoint import EndpointState
from rattanworks.model.route import RouteKind
from rattanworks.platform.backend import PlatformBackendServer
from rattanworks.tests.builders import (
    build_announcement,
    build_call,
    build_record,
    build_tables,
)
from rattanworks.tests.platform.standins import StandInPlatformBackend
from rattanworks.tests.rates import allowed_in_window, most_in_window
from rattanworks.utils.precedence_table import PrecedenceTable

LIMIT = 2.0
THREADS = 4
WAIT_SECONDS = 30.0
CALLS = 40


class ServerNoticesTestCase(unittest.TestCase):
    def start(self, *notices):
        self.server = StandInPlatformBackend()
        self.addCleanup(self.server.close)
        self.server.notices = notices
        self.server.answer = self.record_arrival
        self.arrivals = []
        self.members = Members(build_record(state=EndpointState.JOINED))
        services = PrecedenceTable(lambda state: state.service)
        clock = SystemClock()
        self.owner = Owner(
            self.members,
            build_tables(self.members, services),
            PlanLimits(clock),
            clock,
            4,
        )
        self.clock = clock
        self.announce()

    def record_arrival(self, environ, body):
        self.arrivals.append(time.monotonic())
        return 200, b"ok"

    def announce(self, started_at=1):
        backend = PlatformBackendServer(
            self.server.address, 8, self.server.instance, self.clock
        )
        self.addCleanup(backend.close)
        self.announcement = build_announcement(
            address=self.server.address,
            slots=4,
            heartbeat_seconds=1.0,
            started_at=started_at,
        )
        self.owner.attach(backend, self.announcement)

    def dispatch(self, seconds=0.9):
        own = self.members.own
        call = build_call(
            kind=RouteKind.IDEMPOTENT,
            customer="",
            deadline=time.monotonic() + seconds,
        )
        return self.owner.dispatch(call, own.node, own.incarnation)


class ServerLimitTests(ServerNoticesTestCase):
    def test_a_server_gets_no_more_calls_than_the_limit_that_it_names(self):
        self.start(("Server-Limit", str(LIMIT)))
        self.assertEqual(self.dispatch(WAIT_SECONDS).status, 200)
        with ThreadPoolExecutor(THREADS) as executor:
            answers = list(executor.map(lambda _: self.dispatch(), range(CALLS)))
        self.assertLessEqual(most_in_window(self.arrivals), allowed_in_window(LIMIT))
        refused = [answer for answer in answers if answer.status != 200]
        self.assertEqual({answer.outcome for answer in refused}, {Outcome.NOT_RUN})
        self.assertTrue(all(answer.retry_after for answer in refused))


class ServerLeavingTests(ServerNoticesTestCase):
    def test_a_server_that_says_it_leaves_gets_no_more_calls(self):
        self.start(("Server-Leaving", "1"))
        self.assertEqual(self.dispatch(WAIT_SECONDS).status, 200)
        refused = self.dispatch()
        self.assertEqual((refused.status, refused.outcome), (503, Outcome.NOT_RUN))
        self.assertEqual(len(self.arrivals), 1)
        self.assertEqual(self.members.own.state, EndpointState.LEAVING)
        # Its heartbeats may go on for a while and say nothing of it.
        self.owner.renew(self.announcement)
        self.assertEqual(self.dispatch().outcome, Outcome.NOT_RUN)

    def test_another_start_of_a_server_that_left_gets_calls_again(self):
        self.start(("Server-Leaving", "1"))
        self.assertEqual(self.dispatch(WAIT_SECONDS).status, 200)
        self.server.notices = ()
        self.announce(started_at=2)
        self.assertEqual(self.dispatch(WAIT_SECONDS).status, 200)

    def test_a_late_answer_of_an_earlier_start_says_nothing_of_the_present_one(self):
        release = threading.Event()
        self.addCleanup(release.set)
        self.start(("Server-Leaving", "1"), ("Server-Limit", "0"))

        def answer_late(environ, body):
            release.wait(WAIT_SECONDS)
            return self.record_arrival(environ, body)

        self.server.answer = answer_late
        with ThreadPoolExecutor(1) as executor:
            late = executor.submit(self.dispatch, WAIT_SECONDS)
            wait_until(lambda: self.server.requests, WAIT_SECONDS, "at the server")
            self.announce(started_at=2)
            release.set()
            self.assertEqual(late.result().status, 200)
        self.assertEqual(self.members.own.state, EndpointState.SERVING)
        self.assertIsNone(self.owner.limit)

    def test_a_server_that_was_silent_for_a_while_keeps_its_limit(self):
        self.start(("Server-Limit", str(LIMIT)))
        self.assertEqual(self.dispatch(WAIT_SECONDS).status, 200)
        while self.members.own.state == EndpointState.SERVING:
            self.owner.check_heartbeat(1.0)
        self.announce()
        self.assertEqual(self.members.own.state, EndpointState.SERVING)
        self.assertEqual(self.owner.limit, LIMIT)
