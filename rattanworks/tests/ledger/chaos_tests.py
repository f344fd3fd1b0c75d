"""Calls with idempotency keys over a store with random faults, by a fixed seed."""

import random
import threading
import unittest
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from rattanworks.exceptions import StoreAnswerLostError, StoreError
from rattanworks.ledger import page_view
from rattanworks.ledger.claims import ClaimLedger
from rattanworks.ledger.pages import PagedClaims
from rattanworks.model.call import Answer, Outcome, refusal, unknown_outcome
from rattanworks.standins.store import MemoryStore
from rattanworks.tests.builders import build_call
from rattanworks.tests.fakes import FakeClock, FakeStore

NODES = 4
KEYS = 24
ORDERS = 400
FAULT_SHARE = 0.1


class FaultyStore(FakeStore):
    """Refuses requests, loses answers, and applies writes it reported as lost."""

    def __init__(self, memory, seed):
        super().__init__(memory)
        self._random = random.Random(seed)
        self._late_writes = []
        self.is_faulty = True

    def get(self, key):
        self._maybe_fail()
        return super().get(key)

    def put(self, key, value, expected_revision, lease_id=""):
        self._maybe_fail()
        if self._draws_fault():
            self._late_writes.append((key, value, expected_revision))
            raise StoreAnswerLostError("the write is still under way")
        entry = super().put(key, value, expected_revision, lease_id)
        if self._draws_fault():
            raise StoreAnswerLostError("the answer was lost")
        return entry

    def _draws_fault(self):
        return self.is_faulty and self._random.random() < FAULT_SHARE

    def _maybe_fail(self):
        while self._late_writes and self._random.random() < 0.5:
            write = self._late_writes.pop()
            try:
                super().put(*write)
            except StoreError:
                continue
        if self._draws_fault():
            self.is_down = True
        try:
            self._require_up()
        finally:
            self.is_down = False


class ChaosTests(unittest.TestCase):
    def test_no_key_runs_twice_and_answers_match_the_runs(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.check(seed)

    def check(self, seed):
        self.enterContext(mock.patch.object(page_view, "SEAL_THRESHOLD_BYTES", 1500))
        memory, clock = MemoryStore(), FakeClock(1000.0)
        stores = [FaultyStore(memory, seed * 100 + node) for node in range(NODES)]
        tables = [PagedClaims(store, clock, 2, 0.0) for store in stores]
        ledgers = [ClaimLedger(table, clock) for table in tables]
        runs, lock = Counter(), threading.Lock()
        answers_by_key = defaultdict(list)
        plan = random.Random(seed)
        orders = [
            (plan.randrange(NODES), f"key-{plan.randrange(KEYS)}", plan.random())
            for _ in range(ORDERS)
        ]

        def run(key, draw):
            if draw < 0.2:
                return refusal(503, "busy")
            with lock:
                runs[key] += 1
            if draw < 0.3:
                return unknown_outcome(502, "cut")
            return Answer(200, body=key.encode())

        def order(item):
            node, key, draw = item
            call = build_call(
                method="POST",
                idempotency_key=key,
                deadline=clock.monotonic() + 30.0,
            )
            answer = ledgers[node].run_once(call, lambda: run(key, draw))
            with lock:
                answers_by_key[key].append(answer)

        with ThreadPoolExecutor(12) as executor:
            list(executor.map(order, orders))
        for store in stores:
            store.is_faulty = False
        for table in tables:
            table.close()
        self.check_answers(runs, answers_by_key)

    def check_answers(self, runs, answers_by_key):
        self.assertLessEqual(set(runs.values()), {1})
        for key, answers in answers_by_key.items():
            outcomes = {answer.outcome for answer in answers}
            if Outcome.DONE in outcomes:
                self.assertEqual(runs[key], 1)
            if outcomes == {Outcome.NOT_RUN}:
                self.assertEqual(runs[key], 0)
            bodies = {
                answer.body for answer in answers if answer.outcome == Outcome.DONE
            }
            self.assertLessEqual(bodies, {key.encode()})
        self.assertIn(
            Outcome.DONE, {a.outcome for v in answers_by_key.values() for a in v}
        )
