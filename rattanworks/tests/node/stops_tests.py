"""Planned stops of real processes that coincide with another event."""

import os
import signal
import socket
import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.bench.caller import Caller
from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.tests.builders import build_lists

LIMIT_SECONDS = 30.0
SLOW_BEHAVIOUR = b'{"work_seconds": 1.5}'
BODY = b"one crate of shells"


def place(name, service):
    return Place(name, "qc-est", f"domain-of-{name}", service, "v1", 6, 100)


class StopTests(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(self.store))
        self.fleet.start_all(
            [place("catalogue-1", "catalogue"), place("orders-1", "orders")]
        )
        self.fleet.wait_ready()
        head = self.fleet.accept(build_lists())
        self.wait(lambda: self.fleet.has_in_force(head.version), "version in force")
        self.wait(lambda: self.fleet.sees_serving(2), "endpoints known")
        self.entry = self.fleet.nodes_by_name["orders-1"]
        self.owner = self.fleet.nodes_by_name["catalogue-1"]

    def wait(self, condition, what):
        wait_until(condition, LIMIT_SECONDS, what)

    def begin_call(self, executor):
        """Return the future answer of a call that the owner's server is running.

        If a call is refused, as on a busy machine, another one is sent in its place.
        """
        self.owner.backend_control("POST", "/control/behaviour", SLOW_BEHAVIOUR)
        caller = Caller(self.entry.callers, "shop")
        self.addCleanup(caller.close)
        calls = []

        def is_running():
            if self.owner.runs_by_request_id():
                return True
            if not calls or calls[-1].done():
                call = executor.submit(
                    caller.send, "GET", "/catalogue/1", timeout=LIMIT_SECONDS
                )
                calls.append(call)
            return False

        self.wait(is_running, "the call runs")
        return calls[-1]

    def test_a_body_that_is_arriving_at_a_stop_is_received_whole(self):
        host, _, port = self.entry.callers.rpartition(":")
        head = (
            "PUT /catalogue/1 HTTP/1.1\r\nHost: h\r\nX-Customer: shop\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port)), LIMIT_SECONDS) as sock:
            sock.sendall(head.encode() + BODY[:5])
            self.entry.process.terminate()
            self.entry.process.wait_for("node-draining")
            sock.sendall(BODY[5:])
            answer = sock.recv(65536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
        self.assertEqual(self.entry.process.wait(), 0)

    def test_a_settings_reload_right_before_a_stop_cuts_no_call(self):
        with ThreadPoolExecutor(1) as executor:
            call = self.begin_call(executor)
            os.kill(self.entry.process.pid, signal.SIGHUP)
            self.entry.process.terminate()
            self.assertEqual(call.result(LIMIT_SECONDS).status, 200)
        self.assertEqual(self.entry.process.wait(), 0)

    def test_a_stopping_owner_cuts_no_running_call(self):
        with ThreadPoolExecutor(1) as executor:
            call = self.begin_call(executor)
            self.owner.process.terminate()
            self.assertEqual(call.result(LIMIT_SECONDS).status, 200)
        self.assertEqual(self.owner.process.wait(), 0)

    def test_a_node_that_is_not_ready_stops_while_the_store_does_not_answer(self):
        self.store.process.pause()
        node = self.fleet.start_node(place("late-1", "catalogue"), with_backend=False)
        node.process.terminate()
        self.assertEqual(node.process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
