"""Calls through real processes, of which one of each kind is killed."""

import contextlib
import threading
import unittest

from rattanworks.bench.caller import Caller
from rattanworks.bench.fleet import (
    Place,
    running_fleet,
    running_store,
    wait_until,
)
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.tests.builders import build_lists
from rattanworks.utils.codec import decode_json, encode_json

TIMEOUT_SECONDS = 30.0


def place(name, domain, service="catalogue"):
    return Place(name, "qc-est", domain, service, "v1", 6, 100)


class PathTests(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(self.store))
        self.places = [
            place("catalogue-1", "qc-est-a"),
            place("catalogue-2", "qc-est-b"),
            place("orders-1", "qc-est-c", "orders"),
        ]
        self.fleet.start_all(self.places)
        self.fleet.wait_ready()
        head = self.fleet.accept(build_lists())
        self.wait(lambda: self.fleet.has_in_force(head.version), "version in force")
        self.wait(lambda: self.fleet.sees_serving(3), "endpoints known")

    def wait(self, condition, what):
        wait_until(condition, TIMEOUT_SECONDS, what)

    def send(self, node, path="/catalogue/7"):
        caller = Caller(self.fleet.nodes_by_name[node].callers, "shop")
        try:
            return caller.send("GET", path)
        except CallNotSentError:
            return None
        finally:
            caller.close()

    def is_served(self, node, path="/catalogue/7"):
        answer = self.send(node, path)
        return answer is not None and answer.status == 200

    def test_a_call_is_served_by_another_nodes_backend_server(self):
        answer = self.send("orders-1")
        self.assertEqual(answer.status, 200)
        reply = decode_json(answer.body, dict)
        self.assertEqual(reply["path"], "/catalogue/7")
        self.assertEqual(answer.header("x-request-outcome"), "done")

    def test_unknown_customer_and_route_are_refused_as_not_run(self):
        caller = Caller(self.fleet.nodes[0].callers, "stranger")
        self.assertEqual(caller.send("GET", "/catalogue/1").status, 403)
        answer = self.send("catalogue-1", "/elsewhere")
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.header("x-request-outcome"), "not-run")

    def test_service_goes_on_after_each_kind_of_process_was_killed(self):
        self.store.process.kill()
        self.assertTrue(self.is_served("orders-1"))
        self.fleet.nodes_by_name["catalogue-1"].process.kill()
        self.wait(lambda: self.is_served("orders-1"), "service without one node")
        self.fleet.nodes_by_name["catalogue-2"].backend.kill()
        self.assertFalse(self.is_served("orders-1"))
        self.fleet.nodes_by_name["catalogue-2"].start_backend()
        self.wait(lambda: self.is_served("orders-1"), "service after a restart")

    def test_a_terminated_node_ends_cleanly(self):
        node = self.fleet.nodes_by_name["catalogue-1"]
        node.process.terminate()
        self.assertEqual(node.process.wait(), 0)
        self.assertTrue(self.is_served("orders-1"))

    def test_a_second_interrupt_ends_a_draining_node_at_once(self):
        node, call = self.start_draining(work_seconds=60)
        self.assertTrue(node.process.is_running)
        node.process.interrupt()
        self.assertEqual(node.process.wait(), 1)
        call.join(TIMEOUT_SECONDS)
        self.assertFalse(call.is_alive())

    def test_a_repeated_sigterm_cuts_no_call(self):
        node, call = self.start_draining(work_seconds=3)
        node.process.terminate()
        call.join(TIMEOUT_SECONDS)
        self.assertEqual(self.statuses, [200])
        self.assertEqual(node.process.wait(), 0)

    def start_draining(self, work_seconds):
        """Return a draining node and the thread of a call that it is serving."""
        node = self.fleet.nodes_by_name["orders-1"]
        behaviour = encode_json({"work_seconds": work_seconds})
        node.backend_control("POST", "/control/behaviour", behaviour)
        caller = Caller(node.callers, "shop")
        self.addCleanup(caller.close)
        self.statuses = []
        call = threading.Thread(
            target=self.send_and_record, args=(caller, "/orders/1"), daemon=True
        )
        call.start()
        self.wait(lambda: node.runs_by_request_id(), "the call runs")
        node.process.terminate()
        node.process.wait_for("node-draining")
        return node, call

    def send_and_record(self, caller, path):
        with contextlib.suppress(CallNotSentError, CallOutcomeUnknownError):
            self.statuses.append(caller.send("GET", path, timeout=60.0).status)
