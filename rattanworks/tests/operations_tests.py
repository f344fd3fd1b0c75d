"""Three kinds of failed requests, each diagnosed by the steps of OPERATIONS.md."""

import re
import threading
import unittest
from pathlib import Path

from rattanworks.bench.caller import Caller
from rattanworks.bench.fleet import (
    Place,
    running_fleet,
    running_store,
    wait_until,
)
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.tests.builders import build_lists
from rattanworks.utils.logging import parse_line

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| (?P<found>`[^|]+) \| \[(?P<title>[^\]]+)\]")
EVENT = re.compile(r"`([a-z-]+)`")
TIMEOUT_SECONDS = 30.0
SHORT_SECONDS = 0.5


def sections_by_events():
    """Return the title of the section for each set of events in the page's table."""
    matches = map(ROW.match, PAGE.read_text(encoding="utf-8").splitlines())
    return {
        frozenset(EVENT.findall(match["found"])): match["title"]
        for match in matches
        if match
    }


class OperationsTests(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(self.store))
        self.fleet.start_all(
            [
                Place("catalogue-1", "qc-est", "qc-est-a", "catalogue", "v1", 1, 100),
                Place("orders-1", "qc-est", "qc-est-b", "orders", "v1", 1, 100),
            ]
        )
        self.fleet.wait_ready()
        head = self.fleet.accept(build_lists())
        self.wait(lambda: self.fleet.has_in_force(head.version), "version in force")
        self.wait(lambda: self.fleet.sees_serving(2), "endpoints known")

    def wait(self, condition, what):
        wait_until(condition, TIMEOUT_SECONDS, what)

    def send(self, method, path, timeout=TIMEOUT_SECONDS):
        caller = Caller(self.fleet.nodes_by_name["orders-1"].callers, "shop")
        self.addCleanup(caller.close)
        return caller.send(method, path, timeout=timeout)

    def lines_of(self, request_id):
        wanted = f"request_id={request_id}"
        return [
            parse_line(line)
            for node in self.fleet.nodes
            for line in list(node.process.log)
            if wanted in line
        ]

    def section_of(self, request_id):
        """Follow the page's first step: search all logs and look up the events."""
        events = {line["event"] for line in self.lines_of(request_id)}
        for wanted, title in sections_by_events().items():
            if wanted <= events:
                return title
        return None

    def find_section_and_line(self, answer, event):
        request_id = answer.header("x-request-id")
        self.wait(
            lambda: any(line["event"] == event for line in self.lines_of(request_id)),
            f"{event} in the log",
        )
        line = next(
            line for line in self.lines_of(request_id) if line["event"] == event
        )
        return self.section_of(request_id), line

    def occupy_slot(self):
        node = self.fleet.nodes_by_name["catalogue-1"]
        node.backend_control("POST", "/control/behaviour", b'{"work_seconds": 60}')

        def send_ignoring_failure():
            try:
                self.send("POST", "/catalogue/1", timeout=60.0)
            except (CallNotSentError, CallOutcomeUnknownError):
                return

        sender = threading.Thread(target=send_ignoring_failure, daemon=True)
        sender.start()
        self.wait(lambda: node.runs_by_request_id(), "the slot is taken")
        return node

    def test_a_path_that_no_route_covers(self):
        answer = self.send("GET", "/elsewhere")
        section, line = self.find_section_and_line(answer, "call-unmatched")
        self.assertEqual(answer.status, 404)
        self.assertEqual(section, "refused before an endpoint was chosen")
        self.assertEqual((line["status"], line["path"]), ("404", "/elsewhere"))
        self.assertIn("version", line)

    def test_an_owner_whose_slots_are_taken(self):
        self.occupy_slot()
        answer = self.send("GET", "/catalogue/2", timeout=SHORT_SECONDS)
        section, line = self.find_section_and_line(answer, "call-not-admitted")
        self.assertEqual(answer.status, 503)
        self.assertEqual(section, "refused by the owner")
        self.assertEqual((line["verdict"], line["running"]), ("expired", "1"))
        self.assertEqual(line["node"], "catalogue-1")

    def test_a_backend_server_that_dies_while_it_runs_the_call(self):
        node = self.fleet.nodes_by_name["catalogue-1"]
        node.backend_control("POST", "/control/behaviour", b'{"work_seconds": 60}')
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.send("POST", "/catalogue/3")),
            daemon=True,
        )
        caller.start()
        self.wait(lambda: node.runs_by_request_id(), "the call runs")
        node.backend.kill()
        caller.join(TIMEOUT_SECONDS)
        (answer,) = answers
        section, line = self.find_section_and_line(answer, "call-failed")
        self.assertEqual(section, "failed at or on the way to a backend server")
        self.assertEqual(line["tried"], "catalogue-1")
        _, attempt = self.find_section_and_line(answer, "attempt-failed")
        self.assertEqual(attempt["outcome"], "unknown")
        self.assertTrue(attempt["reason"])


if __name__ == "__main__":
    unittest.main()
