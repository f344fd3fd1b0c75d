"""Chains of 23 nested calls; each server holds its slot while it makes the next."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.tests.builders import build_lists
from rattanworks.utils.http_pool import HttpPool

LIMIT_SECONDS = 30.0
DEPTH = 23
CHAINS = 12
CHAIN_SECONDS = 4.0


class ChainTests(unittest.TestCase):
    def run_fleet(self, slots):
        store = self.enterContext(running_store())
        fleet = self.enterContext(running_fleet(store))
        fleet.start_all(
            [
                Place(
                    f"node-{n}", "qc-est", f"qc-est-{n}", "catalogue", "v1", slots, 100
                )
                for n in "ab"
            ]
        )
        fleet.wait_ready()
        head = fleet.accept(build_lists())
        for condition in (
            lambda: fleet.has_in_force(head.version),
            lambda: fleet.sees_serving(2),
        ):
            wait_until(condition, LIMIT_SECONDS, "lists and endpoints known")
        return fleet

    def send(self, fleet, number, depth):
        pool = HttpPool(fleet.nodes[number % 2].callers, 1)
        headers = [("X-Customer", "shop"), ("X-Request-Timeout", str(CHAIN_SECONDS))]
        if depth > 1:
            following = [f"/catalogue/{step}" for step in range(1, depth)]
            headers.append(("X-Call-Next", ",".join(following)))
        try:
            return pool.exchange("GET", "/catalogue/0", headers, b"", LIMIT_SECONDS)
        except (CallNotSentError, CallOutcomeUnknownError):
            return None
        finally:
            pool.close()

    def run_count(self, fleet):
        return sum(sum(node.runs_by_request_id().values()) for node in fleet.nodes)

    def test_a_chain_23_deep_reaches_its_end(self):
        fleet = self.run_fleet(slots=40)
        self.assertEqual(self.send(fleet, 0, DEPTH).status, 200)
        self.assertEqual(self.run_count(fleet), DEPTH)

    def test_chains_that_need_more_slots_than_there_are_do_not_deadlock(self):
        fleet = self.run_fleet(slots=6)
        with ThreadPoolExecutor(CHAINS) as executor:
            answers = list(
                executor.map(lambda n: self.send(fleet, n, DEPTH), range(CHAINS))
            )
        self.assertNotIn(None, answers)
        statuses = {answer.status for answer in answers}
        self.assertLessEqual(statuses, {200, 429, 502, 503, 504})
        wait_until(
            lambda: self.send(fleet, 0, 1).status == 200,
            LIMIT_SECONDS,
            "slots are free",
        )
