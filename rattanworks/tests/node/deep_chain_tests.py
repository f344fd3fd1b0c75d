"""Chains of 23 nested calls, and the client library, through real processes."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.client import Client
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.model.call import Outcome
from rattanworks.settings.node import HostSettings
from rattanworks.standins.backend_chain import NEXT_HEADER
from rattanworks.tests.builders import build_lists
from rattanworks.utils.http_pool import HttpPool

TIMEOUT_SECONDS = 30.0
CALL_SECONDS = 10.0
DEPTH = 23
SLOTS = 20
SERVICES = ("catalogue", "orders")
PLANS = b"[plans.counter]\npriority = 2\n" + b"".join(
    b"[plans.counter.uses.%s]\ncalls_per_second = 100000\n" % name.encode()
    for name in SERVICES
)


def place(name, domain, service):
    return Place(name, "qc-est", domain, service, "v1", SLOTS, 100)


class ChainTests(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(self.store))
        self.fleet.start_all(
            [
                place("catalogue-1", "qc-est-a", "catalogue"),
                place("orders-1", "qc-est-b", "orders"),
            ]
        )
        self.fleet.wait_ready()
        head = self.fleet.accept(build_lists(plans=PLANS))
        self.wait(lambda: self.fleet.has_in_force(head.version), "version in force")
        self.wait(lambda: self.fleet.sees_serving(2), "endpoints known")

    def wait(self, condition, what):
        wait_until(condition, TIMEOUT_SECONDS, what)

    def send_chain(self, number):
        """Return the status of a chain's outermost call, None without an answer."""
        paths = [f"/{SERVICES[depth % 2]}/{number}" for depth in range(DEPTH)]
        pool = HttpPool(self.fleet.nodes[number % 2].callers, 1)
        headers = [
            ("X-Customer", "shop"),
            ("X-Request-Timeout", str(CALL_SECONDS)),
            (NEXT_HEADER, ",".join(paths[1:])),
        ]
        try:
            answer = pool.exchange("GET", paths[0], headers, b"", CALL_SECONDS + 5.0)
            return answer.status
        except (CallNotSentError, CallOutcomeUnknownError):
            return None
        finally:
            pool.close()

    def run_count(self):
        return sum(sum(n.runs_by_request_id().values()) for n in self.fleet.nodes)

    def send_chains(self, count):
        with ThreadPoolExecutor(count) as executor:
            return list(executor.map(self.send_chain, range(count)))

    def test_deep_chains_end_and_leave_nothing_standing(self):
        self.assertEqual(self.send_chains(1), [200])
        self.assertEqual(self.run_count(), DEPTH)
        # Far more chains than slots: each chain still gets an answer.
        self.assertNotIn(None, self.send_chains(4 * SLOTS))
        self.wait(lambda: self.send_chain(0) == 200, "service after the load")
        self.check_client()

    def check_client(self):
        node = self.fleet.nodes[0]
        host = HostSettings("shop-host", "qc-est", "qc-est-a")
        client = Client(host, node.control, node.callers)
        self.addCleanup(client.close)
        client.start()
        self.assertTrue(client.wait_ready(TIMEOUT_SECONDS))
        self.assertEqual(client.send("shop", "GET", "/catalogue/1").status, 200)
        self.assertEqual(client.send("stranger", "GET", "/catalogue/1").status, 403)
        orders = [
            client.send("shop", "POST", "/orders/1", body=b"x", idempotency_key="k")
            for _ in range(2)
        ]
        self.assertEqual({order.outcome for order in orders}, {Outcome.DONE})
        self.assertEqual(orders[0].body, orders[1].body)
