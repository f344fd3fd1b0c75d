"""Calls with idempotency keys when the store returns from an older copy."""

import unittest
import unittest.mock

from rattanworks.ledger import page_view
from rattanworks.ledger.claims import ClaimLedger
from rattanworks.ledger.pages import PagedClaims
from rattanworks.model.call import Answer, refusal
from rattanworks.tests.builders import build_call
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.platform.restored import RestoredStoreTestCase


class RestoredLedgerTests(RestoredStoreTestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock(1000.0)
        self.runs = []
        self.ledger = self.build()
        self.empty = self.platform.copy()

    def build(self):
        table = PagedClaims(self.new_store(), self.clock, pages=1, interval=0.0)
        self.addCleanup(table.close)
        return ClaimLedger(table, self.clock)

    def order(self, key, ledger=None, run=None):
        call = build_call(
            method="POST",
            service="orders",
            body=b"one crate",
            idempotency_key=key,
            deadline=self.clock.monotonic() + 5.0,
        )

        def run_call():
            self.runs.append(key)
            return Answer(200, body=f"order {key}".encode())

        return (ledger or self.ledger).run_once(call, run or run_call)

    def seal_early(self):
        self.enterContext(
            unittest.mock.patch.object(page_view, "SEAL_THRESHOLD_BYTES", 2000)
        )

    def test_a_call_whose_claim_was_lost_does_not_run_again(self):
        self.order("a")
        self.platform.restore(self.empty)
        self.assertEqual(self.order("a").body, b"order a")
        self.assertEqual(self.order("a", self.build()).body, b"order a")
        self.assertEqual(self.runs, ["a"])

    def test_a_claim_that_was_lost_while_its_call_runs_gets_its_outcome(self):
        def run():
            self.platform.restore(self.empty)
            self.runs.append("a")
            return Answer(200, body=b"order a")

        self.order("a", run=run)
        self.assertEqual(self.order("a", self.build()).body, b"order a")
        self.assertEqual(self.runs, ["a"])

    def test_an_outcome_that_was_lost_is_recorded_again(self):
        def run():
            self.copy = self.platform.copy()
            return Answer(200, body=b"order a")

        self.order("a", run=run)
        self.platform.restore(self.copy)
        self.order("b")
        self.assertEqual(self.order("a", self.build()).body, b"order a")

    def test_a_claim_on_a_released_key_that_the_store_lost_is_kept(self):
        self.seal_early()

        def run():
            # Seals the claim, so that its release stays in the page.
            for number in range(12):
                self.order(f"other-{number}")
            return refusal(503, "the server is full")

        self.order("a", run=run)
        copy = self.platform.copy()
        self.order("a")
        self.platform.restore(copy)
        self.assertEqual(self.order("a").body, b"order a")
        self.assertEqual(self.runs.count("a"), 1)

    def test_claims_that_were_sealed_since_the_copy_are_kept(self):
        self.seal_early()
        keys = [str(number) for number in range(12)]
        for key in keys:
            self.order(key)
        self.assertEqual(len(self.platform.memory.list("mesh/claims").entries), 2)
        self.platform.restore(self.empty)
        for key in keys:
            self.order(key)
        self.assertEqual(self.runs, keys)

    def test_a_slice_at_a_revision_given_out_again_is_told_from_the_lost_one(self):
        self.seal_early()
        for number in range(12):
            self.order(f"lost-{number}")
        self.platform.restore(self.empty)
        other = self.build()
        for number in range(12):
            self.order(f"kept-{number}", other)
        runs = list(self.runs)
        for number in range(12):
            self.order(f"kept-{number}")
        self.assertEqual(self.runs, runs)


if __name__ == "__main__":
    unittest.main()
