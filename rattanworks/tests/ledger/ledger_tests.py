"""Calls with idempotency keys at several nodes over one store, with store faults.

The tests count how often a call ran; they don't rely on the ledger's own report.
"""

import threading
import unittest
import unittest.mock
from concurrent.futures import ThreadPoolExecutor

from rattanworks.bench.fleet import wait_until
from rattanworks.exceptions import StoreAnswerLostError
from rattanworks.ledger import page_view
from rattanworks.ledger.claims import MAX_KEPT_BODY_BYTES, ClaimLedger
from rattanworks.ledger.page import PageHead, SealedSlice, SliceReference
from rattanworks.ledger.pages import PagedClaims
from rattanworks.model.call import Answer, Outcome, refusal, unknown_outcome
from rattanworks.model.claim import Claim, ClaimState
from rattanworks.ports.base import ABSENT
from rattanworks.standins.store import MemoryStore
from rattanworks.tests.builders import build_call
from rattanworks.tests.fakes import FakeClock, FakeStore
from rattanworks.utils.codec import encode_binary

LIMIT_SECONDS = 30.0
PAGES = 2
DAY_SECONDS = 24 * 3600.0


class Node:
    """A node's ledger over its own connection to the store."""

    def __init__(self, memory, clock):
        self.store = FakeStore(memory)
        self.table = PagedClaims(self.store, clock, pages=PAGES, interval=0.0)
        self.ledger = ClaimLedger(self.table, clock)


class LedgerTestCase(unittest.TestCase):
    def setUp(self):
        self.memory = MemoryStore()
        self.clock = FakeClock(1000.0)
        self.runs = []
        self.answer = Answer(200, body=b"order 7")
        self.nodes = [self.node() for _ in range(5)]

    def node(self):
        node = Node(self.memory, self.clock)
        self.addCleanup(node.table.close)
        return node

    def run_call(self):
        self.runs.append(threading.get_ident())
        return self.answer

    def order(self, node=None, key="key", body=b"one crate", run=None):
        call = build_call(
            method="POST",
            service="orders",
            body=body,
            idempotency_key=key,
            deadline=self.clock.monotonic() + 5.0,
        )
        return (node or self.nodes[0]).ledger.run_once(call, run or self.run_call)


class OddRecordTests(LedgerTestCase):
    def put_heads(self, claims=(), slices=()):
        head = encode_binary(PageHead(claims, slices))
        for page in range(PAGES):
            key = f"claims/{page:03}"
            known = self.memory.get(key)
            self.memory.put(key, head, known.revision if known else ABSENT)

    def test_a_page_goes_on_when_a_claim_of_another_writer_is_gone(self):
        odd = Claim("-1", "x", ClaimState.UNKNOWN, "x", 0.0, 0.0)
        self.put_heads(slices=(SliceReference(5, 1000.0),))
        for page in range(PAGES):
            key = f"claims/{page:03}/5"
            self.memory.put(key, encode_binary(SealedSlice((odd,))), ABSENT)
        for _ in range(2):
            answer = self.order()
            self.assertEqual((answer.status, answer.outcome), (503, Outcome.NOT_RUN))
        self.put_heads()
        self.assertEqual(self.order().status, 200)


class OnceTests(LedgerTestCase):
    def test_the_same_key_at_five_nodes_at_once_runs_once(self):
        self.order(key="warm")
        self.runs.clear()
        for round in range(20):
            with ThreadPoolExecutor(len(self.nodes)) as executor:
                answers = list(
                    executor.map(
                        lambda node, key=f"key-{round}": self.order(node, key),
                        self.nodes,
                    )
                )
            done = [answer for answer in answers if answer.outcome == Outcome.DONE]
            others = [answer for answer in answers if answer.outcome != Outcome.DONE]
            self.assertEqual(len(self.runs), round + 1)
            self.assertTrue(done)
            self.assertEqual({answer.body for answer in done}, {b"order 7"})
            # A repeat made while the call ran must not report that it did not run.
            self.assertLessEqual({answer.status for answer in others}, {409})
            self.assertLessEqual({answer.outcome for answer in others}, {"unknown"})

    def test_a_repeat_at_another_node_gets_the_first_answer(self):
        first = self.order()
        self.assertEqual(self.order(self.node()), first)
        self.assertEqual(len(self.runs), 1)

    def test_a_key_used_for_another_request_is_refused(self):
        self.order()
        answer = self.order(self.nodes[1], body=b"two crates")
        self.assertEqual((answer.status, answer.outcome), (422, Outcome.NOT_RUN))
        self.assertEqual(len(self.runs), 1)

    def test_a_call_that_did_not_run_may_be_asked_again_anywhere(self):
        refused = self.order(run=lambda: refusal(503, "busy"))
        self.assertEqual(refused.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.order(self.nodes[1]).status, 200)
        self.assertEqual(len(self.runs), 1)

    def test_an_unknown_outcome_is_never_run_again(self):
        self.order(run=lambda: unknown_outcome(502, "cut"))
        answer = self.order(self.nodes[1])
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.runs, [])

    def test_a_dead_claimers_key_is_answered_unknown_at_once_and_never_run_again(self):
        class Killed(BaseException):
            """Ends the claimer after its claim and before its answer."""

        def die():
            raise Killed

        with self.assertRaises(Killed):
            self.order(run=die)
        early = self.order(self.nodes[1])
        self.clock.advance(6.0)
        overdue = self.order(self.nodes[1])
        self.clock.advance(100.0)
        late = self.order(self.nodes[1])
        statuses = [answer.status for answer in (early, overdue, late)]
        self.assertEqual(statuses, [409, 409, 502])
        self.assertEqual({early.outcome, overdue.outcome, late.outcome}, {"unknown"})
        self.assertGreater(early.retry_after, 0)
        self.assertEqual(late.retry_after, 0)
        self.assertEqual(self.runs, [])

    def test_the_repeat_of_an_answer_too_large_to_keep_reports_that_it_ran(self):
        self.answer = Answer(200, body=bytes(MAX_KEPT_BODY_BYTES + 1))
        self.order()
        again = self.order(self.nodes[1])
        self.assertEqual((again.status, again.outcome), (409, Outcome.DONE))
        self.assertEqual(len(self.runs), 1)

    def test_no_run_when_the_claim_took_all_the_time(self):
        node = self.nodes[0]
        put = node.store.put

        def slow_put(*arguments):
            self.clock.advance(6.0)
            return put(*arguments)

        node.store.put = slow_put
        answer = self.order(node)
        self.assertEqual((answer.status, answer.outcome), (504, Outcome.NOT_RUN))
        self.assertEqual(self.runs, [])
        node.store.put = put
        wait_until(
            lambda: self.order(self.nodes[1]).status == 200,
            LIMIT_SECONDS,
            "the key is free again",
        )
        self.assertEqual(len(self.runs), 1)


class StoreFaultTests(LedgerTestCase):
    def test_lost_answers_neither_lose_nor_repeat_an_order(self):
        self.nodes[0].store.lose_answers = 3
        self.assertEqual(self.order().status, 200)
        self.assertEqual(self.order(self.nodes[1]).body, b"order 7")
        self.assertEqual(len(self.runs), 1)

    def test_a_claim_in_doubt_is_refused_and_the_key_released_later(self):
        store = self.nodes[0].store
        put = store.put

        def put_and_go_down(*arguments):
            put(*arguments)
            store.is_down = True
            raise StoreAnswerLostError("lost")

        store.put = put_and_go_down
        answer = self.order()
        self.assertEqual((answer.status, answer.outcome), (503, Outcome.NOT_RUN))
        self.assertEqual(self.order(self.nodes[1]).status, 409)
        self.assertEqual(self.runs, [])
        store.put, store.is_down = put, False
        wait_until(
            lambda: self.order(self.nodes[1]).outcome == Outcome.DONE,
            LIMIT_SECONDS,
            "the key is free again",
        )
        self.assertEqual(len(self.runs), 1)

    def test_orders_while_the_store_is_down_are_refused_and_did_not_run(self):
        for node in self.nodes:
            node.store.is_down = True
        answers = [self.order(node) for node in self.nodes]
        self.assertEqual({answer.outcome for answer in answers}, {Outcome.NOT_RUN})
        self.assertTrue(all(answer.retry_after > 0 for answer in answers))
        self.assertEqual(self.runs, [])
        for node in self.nodes:
            node.store.is_down = False
        self.assertEqual(self.order(self.nodes[2]).status, 200)

    def test_an_answer_is_stored_later_when_the_store_was_down_in_between(self):
        store = self.nodes[0].store

        def run():
            store.is_down = True
            return self.run_call()

        self.assertEqual(self.order(run=run).status, 200)
        self.assertEqual(self.order(self.nodes[1]).status, 409)
        store.is_down = False
        wait_until(
            lambda: self.order(self.nodes[1]).body == b"order 7",
            LIMIT_SECONDS,
            "the answer is stored",
        )
        self.assertEqual(len(self.runs), 1)


class GrowthTests(LedgerTestCase):
    def setUp(self):
        super().setUp()
        self.enterContext(
            unittest.mock.patch.object(page_view, "SEAL_THRESHOLD_BYTES", 2000)
        )

    def test_sealed_keys_are_still_known_everywhere(self):
        keys = [f"key-{number}" for number in range(60)]
        for number, key in enumerate(keys):
            self.order(self.nodes[number % 2], key)
        slices = [entry for entry in self.memory.list("claims/").entries]
        self.assertGreater(len(slices), 6)
        new_node = self.node()
        for key in keys:
            self.assertEqual(self.order(new_node, key).body, b"order 7")
        self.assertEqual(len(self.runs), 60)

    def test_an_order_sealed_while_it_runs_gets_its_answer_recorded(self):
        def run():
            for number in range(40):
                self.order(self.nodes[1], f"other-{number}")
            return self.run_call()

        self.order(key="slow", run=run)
        runs = len(self.runs)
        self.assertEqual(self.order(self.node(), "slow").body, b"order 7")
        self.assertEqual(len(self.runs), runs)

    def test_a_refused_order_sealed_while_it_ran_may_be_asked_again(self):
        def run():
            for number in range(40):
                self.order(self.nodes[1], f"other-{number}")
            return refusal(503, "busy")

        self.order(key="slow", run=run)
        self.assertEqual(self.order(self.node(), "slow").body, b"order 7")

    def test_keys_are_kept_for_a_day_and_then_deleted(self):
        for number in range(60):
            self.order(key=f"key-{number}")
        size = len(self.memory.list("claims/").entries)
        self.clock.advance(DAY_SECONDS - 60.0)
        self.order(key="key-0")
        self.assertEqual(len(self.runs), 60)
        self.clock.advance(120.0)
        for number in range(60):
            self.order(key=f"later-{number}")
        self.assertLessEqual(len(self.memory.list("claims/").entries), size + 4)

    def test_a_full_page_refuses_rather_than_forgets(self):
        self.enterContext(unittest.mock.patch.object(page_view, "MAX_KEYS", 10))
        answers = [self.order(key=f"key-{number}") for number in range(60)]
        outcomes = {answer.outcome for answer in answers}
        self.assertEqual(outcomes, {Outcome.DONE, Outcome.NOT_RUN})
        for number, answer in enumerate(answers):
            if answer.outcome == Outcome.DONE:
                again = self.order(self.nodes[1], f"key-{number}")
                self.assertEqual(again.body, b"order 7")
        done = sum(answer.outcome == Outcome.DONE for answer in answers)
        self.assertEqual(len(self.runs), done)
