"""Claims sent to the writer of their page: another node, which may be unavailable."""

import unittest

from rattanworks.ledger.pages import PagedClaims
from rattanworks.ledger.routed import RoutedClaims
from rattanworks.membership.members import Members
from rattanworks.model.claim import Claim, ClaimState
from rattanworks.standins.store import MemoryStore
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock, FakeControlPeers, FakeStore

NODES = ("node-1", "node-2", "node-3")
TIMEOUT_SECONDS = 10.0


def claim(number, operation_id):
    key = f"{number:08x}".ljust(32, "0")
    return Claim(key, operation_id, ClaimState.CLAIMED, "order", 0.0, 100.0)


class RoutedClaimsTests(unittest.TestCase):
    def setUp(self):
        self.memory = MemoryStore()
        self.clock = FakeClock()
        self.peers = FakeControlPeers({})
        records = [
            build_record(node, control_address=node, incarnation=number)
            for number, node in enumerate(NODES)
        ]
        self.stores, self.tables = [], []
        for record in records:
            members = Members(record)
            members.table.merge(records)
            store = FakeStore(self.memory)
            local = PagedClaims(store, self.clock, pages=8, interval=0.0)
            table = RoutedClaims(local, members, self.peers, self.clock)
            self.addCleanup(table.close)
            self.peers.handlers_by_address[record.node] = table.serve
            self.stores.append(store)
            self.tables.append(table)

    def claim_everywhere(self, number):
        return {
            table.claim(claim(number, f"operation-{node}"), TIMEOUT_SECONDS)
            for node, table in enumerate(self.tables)
        }

    def test_each_page_is_written_by_one_node_and_claimed_once(self):
        for number in range(16):
            self.assertEqual(len(self.claim_everywhere(number)), 1)
        writers = {address for address, request in self.peers.requests}
        self.assertEqual(writers, set(NODES))
        pages_by_node = [
            {page for page in range(8) if table._writer_of(page).node == node}
            for node, table in zip(NODES, self.tables, strict=True)
        ]
        self.assertEqual(sum(len(pages) for pages in pages_by_node), 8)

    def test_without_the_writer_every_node_writes_and_one_claim_wins(self):
        self.peers.silent.update(NODES)
        for number in range(16):
            self.assertEqual(len(self.claim_everywhere(number)), 1)

    def test_a_claim_stored_by_a_writer_whose_reply_was_lost_is_the_callers_own(self):
        for handler_address in NODES:
            serve = self.peers.handlers_by_address[handler_address]

            def serve_and_lose(request, serve=serve, address=handler_address):
                serve(request)
                self.peers.silent.add(address)
                return self.peers.request(address, request, 0.0)

            self.peers.handlers_by_address[handler_address] = serve_and_lose
        for number in range(16):
            own = claim(number, "own")
            self.assertEqual(self.tables[0].claim(own, TIMEOUT_SECONDS), own)
            self.peers.silent.clear()

    def test_a_change_that_the_writer_could_not_store_is_written_locally(self):
        for number in range(16):
            own = claim(number, "own")
            self.tables[0].claim(own, TIMEOUT_SECONDS)
            for store in self.stores[1:]:
                store.is_down = True
            self.assertTrue(self.tables[0].release(own, TIMEOUT_SECONDS))
            for store in self.stores[1:]:
                store.is_down = False
            other = claim(number, "other")
            self.assertEqual(self.tables[1].claim(other, TIMEOUT_SECONDS), other)

    def test_a_busy_writer_refuses_at_once(self):
        while self.tables[0]._request_slots.acquire(blocking=False):
            pass
        replies = [self.tables[0].serve(None)]
        self.assertIsNone(replies[0].claim)
