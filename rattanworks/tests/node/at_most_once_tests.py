"""At-most-once execution of orders by real processes under faults.

The backend servers count how often they ran each request and each idempotency key.
"""

import unittest
import uuid
from concurrent.futures import ThreadPoolExecutor

from rattanworks.bench.caller import Caller
from rattanworks.bench.fleet import Place, running_fleet, running_store, wait_until
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.standins.backend import Behaviour
from rattanworks.tests.builders import build_lists
from rattanworks.utils.codec import decode_json, encode_json

LIMIT_SECONDS = 30.0
ORDER_SECONDS = 1.0
OWNERS = ("orders-1", "orders-2")
ENTRIES = ("entry-1", "entry-2", "entry-3")


def place(name, domain, service=""):
    return Place(name, "qc-est", f"qc-est-{domain}", service, "v1", 6, 100)


class Order:
    """One order and the answer that its caller got."""

    def __init__(self, key=""):
        self.key = key
        self.request_id = uuid.uuid4().hex
        self.status = None
        self.outcome = "no answer"
        self.body = b""

    def send(self, node, timeout=10.0):
        caller = Caller(node.callers, "shop")
        try:
            answer = caller.send(
                "POST", "/orders/1", b"crate", self.key, timeout, self.request_id
            )
        except (CallNotSentError, CallOutcomeUnknownError):
            return self
        finally:
            caller.close()
        self.status, self.body = answer.status, answer.body
        self.outcome = answer.header("x-request-outcome")
        return self


class AtMostOnceTests(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(running_store())
        self.fleet = self.enterContext(running_fleet(self.store))
        self.start([place(name, "a") for name in ENTRIES])
        self.start([place(name, name[-1], "orders") for name in OWNERS])
        self.fleet.wait_ready()
        head = self.fleet.accept(build_lists())
        self.wait(lambda: self.fleet.has_in_force(head.version), "version in force")
        self.wait(lambda: self.fleet.sees_serving(2), "endpoints known")
        self.backends = [self.node(name) for name in OWNERS]
        for name in ENTRIES:
            # Opens connections, on which the entry learns the owners' clocks, and
            # chooses the nodes that write the claims.
            for _ in range(6):
                self.assertEqual(
                    Order(uuid.uuid4().hex).send(self.node(name)).status, 200
                )

    def start(self, places):
        self.fleet.start_all(places)

    def node(self, name):
        return self.fleet.nodes_by_name[name]

    def wait(self, condition, what):
        wait_until(condition, LIMIT_SECONDS, what)

    def set_behaviour(self, **fields):
        body = encode_json(Behaviour(**fields))
        for node in self.backends:
            node.backend_control("POST", "/control/behaviour", body)

    def run_count(self, order):
        counts = [node.runs_by_request_id() for node in self.backends]
        return sum(count.get(order.request_id, 0) for count in counts)

    def run_count_of_key(self, key):
        total = 0
        for node in self.backends:
            body = node.backend_control("GET", "/control/runs-by-key").body
            total += decode_json(body, dict[str, int]).get(key, 0)
        return total

    def owner_running(self, order):
        for node in self.backends:
            if node.runs_by_request_id().get(order.request_id):
                return node
        return None

    def assert_not_run_again(self, key):
        """Repeat the order at every entry and check that it does not run again."""
        before = self.run_count_of_key(key)
        answers = [Order(key).send(self.node(name)) for name in ENTRIES]
        self.assertEqual(self.run_count_of_key(key), before)
        return answers

    def test_owner_killed_before_while_and_after_it_dispatches(self):
        key = uuid.uuid4().hex
        after = Order(key).send(self.node("entry-1"))
        self.set_behaviour(work_seconds=ORDER_SECONDS)
        while_key = uuid.uuid4().hex
        order = Order(while_key)
        with ThreadPoolExecutor(1) as executor:
            sent = executor.submit(order.send, self.node("entry-1"))
            self.wait(lambda: self.run_count(order), "the order runs")
            owner = self.owner_running(order)
            owner.process.kill()
            sent.result(LIMIT_SECONDS)
        self.assertEqual(order.outcome, "unknown")
        self.set_behaviour(work_seconds=0.002)
        for answer in self.assert_not_run_again(while_key):
            self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(self.run_count_of_key(while_key), 1)
        before = [Order(uuid.uuid4().hex).send(self.node("entry-2")) for _ in range(8)]
        self.assertEqual({item.outcome for item in before}, {"done"})
        self.assertEqual({self.run_count(item) for item in before}, {1})
        for answer in self.assert_not_run_again(key):
            self.assertEqual(answer.body, after.body)

    def test_owner_paused_past_the_deadline_does_not_run_the_order_later(self):
        # Open connections carry the orders to the sockets of the paused owners. An
        # entry without one first asks for the owner's clock, in vain, and may then
        # answer "not run".
        for _ in range(8):
            self.assertEqual(Order().send(self.node("entry-1")).status, 200)
        for node in self.backends:
            node.process.pause()
        with ThreadPoolExecutor(4) as executor:
            orders = list(
                executor.map(
                    lambda key: Order(key).send(self.node("entry-1"), timeout=0.7),
                    ["", "", "", ""],
                )
            )
        for order in orders:
            self.assertIn(order.outcome, ("unknown", "no answer", "not-run"))
        self.assertIn("unknown", [order.outcome for order in orders])
        for node in self.backends:
            node.process.resume()
        self.wait(
            lambda: Order().send(self.node("entry-2")).status == 200, "service again"
        )
        self.assertEqual([self.run_count(order) for order in orders], [0, 0, 0, 0])

    def test_one_order_at_five_nodes_at_once_and_after_its_node_was_replaced(self):
        key = uuid.uuid4().hex
        self.set_behaviour(work_seconds=0.2)
        nodes = [self.node(name) for name in (*ENTRIES, *OWNERS)]
        with ThreadPoolExecutor(5) as executor:
            orders = list(executor.map(lambda node: Order(key).send(node), nodes))
        self.assertEqual(self.run_count_of_key(key), 1)
        self.assertEqual([order.outcome for order in orders].count("not-run"), 0)
        first = next(order for order in orders if order.status == 200)
        self.node("entry-1").process.kill()
        self.fleet.start_node(place("entry-1", "a"))
        self.node("entry-1").process.wait_for("node-ready")
        self.store.set_faults(lose_answers=3)
        for answer in self.assert_not_run_again(key):
            self.assertEqual(answer.body, first.body)
        orders = [Order(uuid.uuid4().hex) for _ in range(6)]
        self.store.set_faults(lose_answers=6)
        for order in orders:
            order.send(self.node("entry-2"))
        self.store.set_faults()
        for order in orders:
            self.assert_not_run_again(order.key)
            expected = {"done": 1, "not-run": 0}
            self.assertEqual(self.run_count(order), expected[order.outcome])

    def test_store_out_and_an_owner_killed_while_orders_come_in(self):
        self.set_behaviour(work_seconds=ORDER_SECONDS)
        running = Order(uuid.uuid4().hex)
        with ThreadPoolExecutor(1) as executor:
            sent = executor.submit(running.send, self.node("entry-1"))
            self.wait(lambda: self.run_count(running), "the order runs")
            self.store.set_faults(is_down=True)
            self.owner_running(running).process.kill()
            sent.result(LIMIT_SECONDS)
        self.set_behaviour(work_seconds=0.002)
        refused = Order(uuid.uuid4().hex).send(self.node("entry-2"))
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
        self.assertEqual(Order().send(self.node("entry-2")).status, 200)
        self.assertEqual(self.run_count(refused), 0)
        self.store.set_faults()
        self.assertEqual(running.outcome, "unknown")
        self.assert_not_run_again(running.key)
        self.assertEqual(self.run_count_of_key(running.key), 1)
        again = Order(refused.key)
        self.wait(lambda: again.send(self.node("entry-3")).status == 200, "served")
        self.assertEqual(self.run_count(again), 1)

    def test_outcomes_match_the_runs_when_servers_shed_are_cold_or_fail(self):
        self.set_behaviour(
            work_seconds=0.02,
            cold_seconds=3600.0,
            cold_factor=10.0,
            shed_at_running=2,
            fail_share=0.3,
            claims_healthy=True,
            claimed_load=0.0,
        )
        with ThreadPoolExecutor(12) as executor:
            orders = list(
                executor.map(
                    lambda number: Order().send(self.node(ENTRIES[number % 3]), 0.5),
                    range(36),
                )
            )
        for order in orders:
            most = 0 if order.outcome == "not-run" else 1
            least = 1 if order.outcome == "done" else 0
            self.assertIn(self.run_count(order), range(least, most + 1))
        self.assertIn("done", {order.outcome for order in orders})
