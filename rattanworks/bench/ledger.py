"""`bench ledger`: one store record per key, or pages with group commit."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from rattanworks.adapters.http_store import HttpStore
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.base import Bench, Report
from rattanworks.bench.figures import percentile
from rattanworks.bench.fleet import running_store
from rattanworks.bench.ledger_records import RecordClaims
from rattanworks.ledger.claims import ClaimLedger
from rattanworks.ledger.pages import PagedClaims
from rattanworks.model.call import Answer, Call, Outcome
from rattanworks.utils.codec import JSON_HEADERS

STORE_TIMEOUT_SECONDS = 2.0
STORE_DELAY_SECONDS = 0.003
RUN_SECONDS = 0.005
DEADLINE_SECONDS = 5.0
FORWARD_SECONDS = 0.001
WORKERS = 256
MILLISECONDS_PER_SECOND = 1000
ANSWER = Answer(200, JSON_HEADERS, bytes(200))


@dataclass(frozen=True, slots=True)
class FinishedOrder:
    """How long one order took, in seconds, and how it ended."""

    seconds: float
    outcome: Outcome


class ForwardedClaims:
    """Simulates claims that are forwarded over the network to a page's only writer."""

    def __init__(self, claims):
        self._claims = claims

    def claim(self, claim, timeout):
        """Forward a claim to the writer."""
        time.sleep(FORWARD_SECONDS)
        return self._claims.claim(claim, timeout)

    def complete(self, claim, timeout):
        """Forward a completion to the writer."""
        time.sleep(FORWARD_SECONDS)
        return self._claims.complete(claim, timeout)

    def release(self, claim, timeout):
        """Forward a release to the writer."""
        time.sleep(FORWARD_SECONDS)
        return self._claims.release(claim, timeout)

    def close(self):
        """Close the writer."""
        self._claims.close()


def _record_tables(stores, clock):
    return [RecordClaims(store) for store in stores]


def _page_tables(stores, clock):
    return [PagedClaims(store, clock) for store in stores]


def _forwarded_tables(stores, clock):
    return [ForwardedClaims(PagedClaims(stores[0], clock))] * len(stores)


TABLES_BY_METHOD = {
    "record_a_key": _record_tables,
    "pages_each_node_writes": _page_tables,
    "pages_one_writer": _forwarded_tables,
}


class LedgerBench(Bench):
    """Runs orders with idempotency keys at several nodes against one store."""

    name = "ledger"
    help = "store calls, latency and throughput of idempotency keys"

    def add_arguments(self, parser):
        """Declare the load, the number of nodes and the store's capacity."""
        parser.add_argument("--nodes", type=int, default=11)
        parser.add_argument("--rates", default="20,200,600", help="orders a second")
        parser.add_argument("--seconds", type=float, default=4.0)
        parser.add_argument(
            "--store-rate", type=float, default=400.0, help="calls a second it takes"
        )

    def run(self, arguments):
        """Measure every method at every rate."""
        figures = {}
        for rate in (float(text) for text in arguments.rates.split(",")):
            for method in TABLES_BY_METHOD:
                figures[f"{method}_at_{rate:g}"] = _measure(method, rate, arguments)
        return Report(self.name, arguments.seed, figures)


def _measure(method, rate, arguments):
    clock = SystemClock()
    with running_store() as process:
        process.set_faults(
            delay_seconds=STORE_DELAY_SECONDS,
            max_calls_per_second=arguments.store_rate,
        )
        stores = [
            HttpStore(process.address, "bench", STORE_TIMEOUT_SECONDS)
            for _ in range(arguments.nodes)
        ]
        tables = TABLES_BY_METHOD[method](stores, clock)
        ledgers = [ClaimLedger(table, clock) for table in tables]
        before = process.counts()
        orders = _offer_orders(ledgers, clock, rate, arguments)
        after = process.counts()
        for resource in (*tables, *stores):
            resource.close()
    counts = {kind: after[kind] - before[kind] for kind in after}
    return _summary(orders, counts, arguments.seconds)


def _offer_orders(ledgers, clock, rate, arguments):
    rng = random.Random(arguments.seed)
    orders, lock = [], threading.Lock()

    def order(number, ledger):
        started = clock.monotonic()
        answer = ledger.run_once(_call(number, started), _run)
        with lock:
            orders.append(FinishedOrder(clock.monotonic() - started, answer.outcome))

    with ThreadPoolExecutor(WORKERS) as executor:
        due = end = time.monotonic()
        end += arguments.seconds
        number = 0
        while due < end:
            due += rng.expovariate(rate)
            time.sleep(max(0.0, due - time.monotonic()))
            number += 1
            executor.submit(order, number, rng.choice(ledgers))
    return orders


def _run():
    time.sleep(RUN_SECONDS)
    return ANSWER


def _call(number, started):
    return Call(
        request_id=str(number),
        customer="shop",
        plan="counter",
        priority=2,
        service="orders",
        route="/orders",
        method="POST",
        target="/orders",
        headers=(),
        body=b"one crate",
        deadline=started + DEADLINE_SECONDS,
        version="v1",
        idempotency_key=str(number),
    )


def _summary(orders, counts, seconds):
    done = [
        order.seconds * MILLISECONDS_PER_SECOND
        for order in orders
        if order.outcome == Outcome.DONE
    ]
    return {
        "orders_done_per_second": round(len(done) / seconds, 1),
        "refused_not_run": len(orders) - len(done),
        "p50_ms": round(percentile(done, 50), 1),
        "p99_ms": round(percentile(done, 99), 1),
        "store_writes_per_second": round(counts["write"] / seconds, 1),
        "store_reads_per_second": round(counts["read"] / seconds, 1),
        "store_rejected_per_second": round(counts["rejected"] / seconds, 1),
    }
