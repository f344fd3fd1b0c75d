"""Planned stops of one node, seen by its callers."""

import http.client
import math
import threading
import time
import unittest
from unittest import mock

from rattanworks.model.endpoint import EndpointState
from rattanworks.node import stopping
from rattanworks.node.stopping import STOP_NOTICE_SECONDS, plan_stop
from rattanworks.tests.platform.session import (
    CALLER_SECONDS,
    WAIT_SECONDS,
    Session,
    bring_up,
)
from rattanworks.utils import http_server

WORK_SECONDS = 1.6


class PlannedStopTests(unittest.TestCase):
    def test_a_running_call_keeps_its_connection_until_the_last_sixth_of_a_stop(self):
        for grace_seconds in (2, 6):
            with self.subTest(grace_seconds=grace_seconds):
                kept_seconds = self.seconds_until_cut(grace_seconds)
                # The platform accepts cut calls only in the last sixth of a stop.
                self.assertGreaterEqual(kept_seconds, grace_seconds * 5 / 6)

    def test_a_late_call_is_taken_if_its_route_or_its_deadline_ends_it_in_time(self):
        session = Session(self, grace="20s")
        bring_up(self, session)
        node = session.daemon.node
        began = node.clock.monotonic()
        # Late enough in the stop that calls on routes with long timeouts are refused.
        plan = plan_stop(began - STOP_NOTICE_SECONDS - 1.0, node.settings.drain)
        node.lifecycle.begin_stop(plan)
        long_deadline = {"X-Request-Deadline": "19000"}
        self.assertEqual(
            session.send_call("r-short", "GET", "/lookup/1", **long_deadline), 200
        )
        self.assertEqual(
            session.send_call("r-long", "GET", "/slow/1", **long_deadline), 503
        )
        short_deadline = {"X-Request-Deadline": "1000"}
        self.assertEqual(
            session.send_call("r-brief", "GET", "/slow/1", **short_deadline),
            200,
        )

    def test_a_late_call_that_is_taken_is_not_given_up_while_it_runs(self):
        """Once it runs, its caller can no longer repeat it elsewhere."""
        session = Session(self, grace="6s")
        bring_up(self, session)
        node = session.daemon.node
        # Two objectives of the route fit into what is left of the stop, but not the
        # time that the call takes. It would end before its route's timeout of 2 s.
        plan = plan_stop(node.clock.monotonic() - 4.0, node.settings.drain)
        node.lifecycle.begin_stop(plan)
        answer = session.backend.answer

        def answer_late(environ, body):
            time.sleep(WORK_SECONDS)
            return answer(environ, body)

        session.backend.answer = answer_late
        status = session.send_call("r-late", "POST", "/photos/1", b"a photo")
        self.assertIn(status, (200, 503))

    def test_a_node_to_which_callers_keep_coming_answers_them_beyond_the_notice(self):
        """Callers stay with a stopping node if most of their nodes stop at once."""
        session = Session(self, grace="20s")
        bring_up(self, session)
        self.enterContext(mock.patch.object(stopping, "CALLERS_QUIET_SECONDS", 5.0))
        began = time.monotonic()
        stopper = threading.Thread(target=session.stop)
        stopper.start()
        self.addCleanup(stopper.join, WAIT_SECONDS)
        statuses = set()
        while time.monotonic() < began + 2 * STOP_NOTICE_SECONDS:
            statuses.add(session.send_call("r-late", "GET", "/lookup/1"))
            session.pause()
        # The only endpoint has left before: then calls are refused, not cut off.
        self.assertEqual(statuses, {200, 503})
        self.assertTrue(stopper.is_alive())

    def test_a_connection_opened_in_a_stop_is_not_closed_before_its_first_request(self):
        self.enterContext(
            mock.patch.object(
                http_server, "FIRST_REQUEST_SECONDS", WAIT_SECONDS, create=True
            )
        )
        session = Session(self, grace="20s")
        bring_up(self, session)
        callers = session.daemon.node.servers_by_listener["callers"]
        members = session.daemon.node.members
        stopper = threading.Thread(target=session.stop)
        self.addCleanup(stopper.join, WAIT_SECONDS)
        # Without calls the stop would end, and with it the listener.
        self.enterContext(
            mock.patch.object(stopping, "CALLERS_QUIET_SECONDS", math.inf)
        )
        stopper.start()
        # From then on the stop closes idle connections: none is open at first.
        self.assertTrue(
            session.wait(lambda: members.own.state == EndpointState.LEAVING)
        )
        self.assertFalse(callers.has_connections)
        for _ in range(3):
            connection = http.client.HTTPConnection(
                session.addresses["callers"], timeout=CALLER_SECONDS
            )
            self.addCleanup(connection.close)
            connection.connect()
            for _ in range(10):
                session.pause()
            headers = {"Host": "shop.example", "X-Request-Deadline": "1000"}
            connection.request("GET", "/lookup/1", headers=headers)
            self.assertIn(connection.getresponse().status, (200, 503))

    def seconds_until_cut(self, grace_seconds):
        session = Session(self, f"{grace_seconds}s")
        bring_up(self, session)
        release = threading.Event()
        self.addCleanup(release.set)

        def answer(environ, body):
            release.wait(WAIT_SECONDS)
            return 200, b"late"

        session.backend.answer = answer
        connection = http.client.HTTPConnection(
            session.addresses["callers"], timeout=CALLER_SECONDS
        )
        self.addCleanup(connection.close)
        headers = {
            "Host": "shop.example",
            "X-Request-Id": "r-at-work",
            "X-Request-Deadline": "15000",
        }
        connection.request("POST", "/slow/1", b"one crate", headers)
        self.assertTrue(session.wait(lambda: session.backend.has_begun("r-at-work")))
        began = time.monotonic()
        stopping = threading.Thread(target=session.stop)
        stopping.start()
        with self.assertRaises(http.client.RemoteDisconnected):
            connection.getresponse()
        kept_seconds = time.monotonic() - began
        stopping.join(WAIT_SECONDS)
        self.assertFalse(stopping.is_alive())
        return kept_seconds


if __name__ == "__main__":
    unittest.main()
