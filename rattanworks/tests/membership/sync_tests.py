import unittest

from rattanworks.membership.sync import (
    MAX_CONCURRENT_SNAPSHOTS,
    ROWS_IN_MESSAGE,
    SNAPSHOT_IDLE_SECONDS,
)
from rattanworks.model.control import (
    Gossip,
    SnapshotReply,
    SnapshotRequest,
)
from rattanworks.tests.builders import build_record
from rattanworks.tests.membership.mesh import Mesh


def build_records(count, **changes):
    return [build_record(f"n{number}", **changes) for number in range(count)]


class SyncTests(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(["a1", "b1", "c1", "c2"])
        self.one, self.other = self.mesh["a1"], self.mesh["b1"]

    def record_replies(self):
        replies = []
        handlers = self.mesh.network.handlers_by_address[self.other.address]
        for request, handler in list(handlers.items()):
            handlers[request] = lambda message, handler=handler: self.record_reply(
                replies, handler(message)
            )
        return replies

    def record_reply(self, replies, reply):
        replies.append(reply)
        return reply

    def messages_sent(self, kind):
        return [
            message
            for _, _, message in self.mesh.network.requests
            if isinstance(message, kind)
        ]

    def test_both_sides_learn_what_they_lack(self):
        self.one.members.table.merge(build_records(700))
        self.other.members.table.merge(build_records(300, incarnation=2))
        self.assertTrue(self.one.reconciler.reconcile(self.other.address))
        self.assertEqual(self.one.members.by_node, self.other.members.by_node)
        self.assertEqual(self.one.members.table.digest, self.other.members.table.digest)
        self.assertLessEqual(
            max(len(message.records) for message in self.messages_sent(Gossip)),
            ROWS_IN_MESSAGE,
        )

    def test_only_buckets_that_differ_are_compared(self):
        rows = build_records(3000)
        self.one.members.table.merge(rows)
        self.other.members.table.merge(rows)
        self.other.members.table.merge((build_record("n7", sequence=9),))
        replies = self.record_replies()
        self.one.reconciler.reconcile(self.other.address)
        self.assertLess(len(replies[0].members), 3000 / 16)
        self.assertEqual(self.one.members.by_node["n7"].sequence, 9)

    def test_a_joiner_gets_everything_in_bounded_parts(self):
        self.other.members.table.merge(build_records(1000))
        replies = self.record_replies()
        self.assertTrue(self.one.reconciler.join([self.other.address]))
        parts = [reply for reply in replies if isinstance(reply, SnapshotReply)]
        self.assertGreater(len(parts), 1000 // (2 * ROWS_IN_MESSAGE))
        self.assertLess(max(len(part.records) for part in parts), 2 * ROWS_IN_MESSAGE)
        self.assertEqual(self.one.members.by_node, self.other.members.by_node)

    def test_concurrent_snapshots_are_capped_and_others_get_referrals(self):
        self.other.members.table.merge(build_records(1000))
        for number in range(MAX_CONCURRENT_SNAPSHOTS):
            self.other.reconciler.receive_snapshot(SnapshotRequest(f"joiner-{number}"))
        late = SnapshotRequest("late")
        reply = self.other.reconciler.receive_snapshot(late)
        self.assertEqual(reply.records, ())
        self.assertTrue(reply.referrals)
        self.other.clock.advance(SNAPSHOT_IDLE_SECONDS + 1)
        reply = self.other.reconciler.receive_snapshot(late)
        self.assertTrue(reply.records)

    def test_a_joiner_follows_referrals(self):
        self.other.members.table.merge(build_records(600))
        for number in range(MAX_CONCURRENT_SNAPSHOTS):
            self.other.reconciler.receive_snapshot(SnapshotRequest(f"joiner-{number}"))
        self.other.members.table.drop([f"n{number}" for number in range(600)])
        for name in ("c1", "c2"):
            self.mesh[name].members.table.merge(build_records(50))
        self.assertTrue(self.one.reconciler.join([self.other.address]))
        self.assertIn("n49", self.one.members.by_node)

    def test_a_peer_that_repeats_a_snapshot_part_does_not_block_a_joiner(self):
        handlers = self.mesh.network.handlers_by_address[self.other.address]
        handlers[SnapshotRequest] = lambda message: SnapshotReply(None, next_bucket=0)
        self.assertFalse(self.one.reconciler.join([self.other.address]))

    def test_no_peer_answers(self):
        self.mesh.kill("b1")
        self.assertFalse(self.one.reconciler.reconcile(self.other.address))
        self.assertFalse(self.one.reconciler.join([self.other.address]))
        self.assertFalse(self.one.reconciler.join([]))
