import json
import threading
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanworks.distribution.keys import (
    HEAD,
    SHARED_PREFIX,
    blob_key,
    order_key,
    order_status_key,
)
from rattanworks.exceptions import (
    HistoryLostError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreRecordError,
    StoreUnavailableError,
)
from rattanworks.model.order import MoveOrder, OrderStatus
from rattanworks.model.service import MoveStatus
from rattanworks.model.version import Head
from rattanworks.platform.configuration import translate
from rattanworks.platform.store import PlatformStore
from rattanworks.ports.base import ABSENT, Write
from rattanworks.tests.platform.builders import build_configuration
from rattanworks.tests.platform.standins import StandInPlatformStore
from rattanworks.tests.servers import BrokenOff, ScriptedServer, raw_answer
from rattanworks.utils.codec import decode_json, encode_json


class PlatformStoreTests(unittest.TestCase):
    def setUp(self):
        self.platform = StandInPlatformStore()
        self.addCleanup(self.platform.close)
        self.store = PlatformStore(self.platform.address, "mesh", 5.0, 1.0)
        self.addCleanup(self.store.close)

    def test_records_are_written_by_compare_and_swap(self):
        entry = self.store.put("roles/a", b"one", ABSENT)
        self.assertEqual(self.store.get("roles/a"), entry)
        self.assertEqual(self.platform.memory.get("mesh/roles/a").value, b"one")
        with self.assertRaises(StoreConflictError) as raised:
            self.store.put("roles/a", b"two", ABSENT)
        self.assertEqual(raised.exception.actual, entry.revision)
        self.store.delete("roles/a", entry.revision)
        self.assertIsNone(self.store.get("roles/a"))

    def test_several_writes_are_made_together_or_not_at_all(self):
        kept = self.store.put("roles/a", b"one", ABSENT)
        stale = (
            Write("roles/b", b"two", ABSENT),
            Write("roles/a", None, kept.revision + 1),
        )
        with self.assertRaises(StoreConflictError) as raised:
            self.store.write_all(stale)
        self.assertEqual(
            (raised.exception.key, raised.exception.actual), ("roles/a", kept.revision)
        )
        self.assertIsNone(self.store.get("roles/b"))
        written = self.store.write_all(
            (
                Write("roles/b", b"two", ABSENT),
                Write("roles/a", None, kept.revision),
            )
        )
        self.assertEqual(self.store.get("roles/b"), written[0])
        self.assertIsNone(self.store.get("roles/a"))

    def test_a_lost_answer_to_several_writes_raises_answer_lost(self):
        self.platform.loses_answers = True
        with self.assertRaises(StoreAnswerLostError):
            self.store.write_all((Write("roles/a", b"one", ABSENT),))
        self.assertEqual(self.store.get("roles/a").value, b"one")

    def test_all_pages_of_a_list_are_read(self):
        for number in range(10):
            self.store.put(f"roles/{number}", b"x", ABSENT)
        self.assertEqual(len(self.store.list("roles/").entries), 10)

    def test_leases_keep_records_until_they_end(self):
        lease_id = self.store.grant_lease(30.0)
        self.store.put("roles/a", b"x", ABSENT, lease_id)
        self.store.renew_lease(lease_id)
        self.store.revoke_lease(lease_id)
        self.assertIsNone(self.store.get("roles/a"))
        with self.assertRaises(LeaseLostError):
            self.store.renew_lease(lease_id)
        with self.assertRaises(LeaseLostError):
            self.store.put("roles/b", b"x", ABSENT, lease_id)

    def test_the_operators_configuration_is_the_head_and_its_blobs(self):
        content = build_configuration()
        self.platform.write_as_operator("op/config", content)
        version = translate(content)
        head = decode_json(self.store.get(HEAD).value, Head)
        self.assertEqual(head, version.head)
        for blob_hash, blob in version.content_by_hash.items():
            self.assertEqual(self.store.get(blob_key(blob_hash)).value, blob)
        self.assertIsNone(self.store.get(blob_key("0" * 64)))

    def test_blobs_are_found_when_the_head_was_not_read_from_the_store(self):
        content = build_configuration()
        self.platform.write_as_operator("op/config", content)
        blob_hash = translate(content).head.manifest_hash
        self.assertIsNotNone(self.store.get(blob_key(blob_hash)))

    def test_orders_and_their_status_are_translated_both_ways(self):
        order = {"service": "catalogue", "targetVersion": "v2", "within": "12s"}
        self.platform.write_as_operator("op/rollout/catalogue", order)
        entry = self.store.get(order_key("catalogue"))
        self.assertEqual(
            decode_json(entry.value, MoveOrder), MoveOrder("catalogue", "v2", 12.0)
        )
        for status, state in (
            (MoveStatus.RUNNING, "running"),
            (MoveStatus.DONE, "completed"),
            (MoveStatus.TAKEN_BACK, "rolled_back"),
        ):
            key = order_status_key("catalogue")
            known = self.store.get(key)
            written = OrderStatus("catalogue", "v2", status)
            self.store.put(
                key, encode_json(written), known.revision if known else ABSENT
            )
            self.assertEqual(
                self.platform.value_of("status/rollout/catalogue"),
                {"service": "catalogue", "state": state, "targetVersion": "v2"},
            )
            self.assertEqual(
                decode_json(self.store.get(key).value, OrderStatus), written
            )

    def test_one_watch_reports_all_shared_records(self):
        before = self.store.list(SHARED_PREFIX).revision
        self.platform.write_as_operator("op/config", build_configuration())
        self.platform.write_as_operator("servers/other", b"not ours")
        self.store.put("shared/services/catalogue", b"{}", ABSENT)
        self.store.put("roles/a", b"x", ABSENT)
        event = self.store.watch(SHARED_PREFIX, before, 5.0)
        keys = {entry.key for entry in event.entries}
        self.assertEqual(keys, {HEAD, "shared/services/catalogue"})
        later = self.store.watch(SHARED_PREFIX, event.revision, 0.0)
        self.assertEqual(later.entries, ())

    def test_a_waiting_watch_returns_on_a_change(self):
        revision = self.store.list(SHARED_PREFIX).revision
        events = []
        waiting = threading.Thread(
            target=lambda: events.append(self.store.watch(SHARED_PREFIX, revision, 30))
        )
        waiting.start()
        self.platform.write_as_operator("op/config", build_configuration())
        waiting.join(20.0)
        self.assertEqual([entry.key for entry in events[0].entries], [HEAD])

    def test_a_watch_reports_a_deleted_record(self):
        entry = self.store.put("shared/services/catalogue", b"{}", ABSENT)
        self.store.delete("shared/services/catalogue", entry.revision)
        event = self.store.watch(SHARED_PREFIX, entry.revision, 5.0)
        self.assertIsNone(event.entries[0].value)

    def test_lost_history_is_distinguished_from_an_outage(self):
        self.platform.kept_after = 10
        with self.assertRaises(HistoryLostError):
            self.store.watch(SHARED_PREFIX, 1, 0.0)

    def test_a_record_that_cannot_be_decoded_does_not_hide_others(self):
        self.platform.write_as_operator("op/config", b"\xff garbage")
        self.store.put("shared/services/catalogue", b"{}", ABSENT)
        self.assertEqual(len(self.store.list(SHARED_PREFIX).entries), 2)
        with self.assertRaises(StoreRecordError):
            self.store.get(HEAD)

    def test_an_operators_record_in_the_products_form_is_not_read(self):
        head = Head(9, "hash")
        order = MoveOrder("catalogue", "v2", 12.0)
        status = OrderStatus("catalogue", "v2", MoveStatus.DONE)
        for key, value in (
            ("op/config", head),
            ("op/rollout/catalogue", order),
            ("status/rollout/catalogue", status),
        ):
            self.platform.write_as_operator(key, encode_json(value))
        entries = self.store.list(SHARED_PREFIX).entries
        self.assertEqual({entry.value for entry in entries}, {b""})
        self.assertEqual(len(entries), 3)

    def test_refusals_mean_that_nothing_was_done(self):
        for status in (429, 503):
            self.platform.next_statuses = [status]
            with self.assertRaises(StoreUnavailableError):
                self.store.put("roles/a", b"x", ABSENT)
        self.assertIsNone(self.store.get("roles/a"))

    def test_a_lost_answer_leaves_the_outcome_unknown(self):
        self.platform.loses_answers = True
        with self.assertRaises(StoreAnswerLostError):
            self.store.put("roles/a", b"x", ABSENT)
        self.assertEqual(self.platform.memory.get("mesh/roles/a").value, b"x")

    def test_values_are_any_bytes(self):
        value = bytes(range(256))
        self.store.put("roles/a", value, ABSENT)
        self.assertEqual(self.store.get("roles/a").value, value)
        self.assertTrue(json.dumps(self.platform.calls))


class BrokenOffHeadTests(unittest.TestCase):
    """An answer whose head breaks off says nothing of a record, lease or write."""

    def start(self, whole):
        """Start a store whose answers lack the last line of their head."""
        server = ScriptedServer([BrokenOff(whole.removesuffix(b"\r\n"))])
        self.addCleanup(server.close)
        self.store = PlatformStore(server.address, "mesh", 5.0, 1.0)
        self.addCleanup(self.store.close)

    def test_a_broken_404_does_not_mean_that_record_or_lease_is_gone(self):
        self.start(raw_answer(b"", status="404 Not Found"))
        with self.assertRaises(StoreUnavailableError):
            self.store.get("roles/a")
        with self.assertRaises(StoreAnswerLostError):
            self.store.renew_lease("0.7")

    def test_a_broken_410_does_not_mean_that_history_is_lost(self):
        self.start(raw_answer(b"", status="410 Gone"))
        with self.assertRaises(StoreUnavailableError) as raised:
            self.store.watch(SHARED_PREFIX, 1, 0.0)
        self.assertNotIsInstance(raised.exception, HistoryLostError)

    def test_a_broken_refusal_does_not_mean_that_a_write_was_not_made(self):
        self.start(raw_answer(b"", status="503 Service Unavailable"))
        with self.assertRaises(StoreAnswerLostError):
            self.store.put("roles/a", b"x", ABSENT)


ODD_ITEMS = (
    b'{"key":"mesh/roles/a","value":"!","revision":1}',
    b'{"key":"mesh/roles/a","value":5,"revision":1}',
    b'{"key":"mesh/roles/a","value":"","revision":' + b"9" * 5000 + b"}",
    b'{"key":"mesh/roles/a","value":"","revision":-1}',
    b'{"key":"mesh/roles/a","value":"","revision":true}',
    b'{"key":["mesh/roles/a"],"value":"","revision":1}',
    b'{"value":"","revision":1}',
    b'{"key":"mesh/roles/\xff","value":"","revision":1}',
    b"[]",
    b"null",
)
GOOD_ITEM = b'{"key":"mesh/roles/b","value":"eA==","revision":7}'


class GarbledAnswerTests(unittest.TestCase):
    def open_store(self, *bodies):
        server = ScriptedServer([raw_answer(body) for body in bodies])
        self.addCleanup(server.close)
        store = PlatformStore(server.address, "mesh", 5.0, 1.0)
        self.addCleanup(store.close)
        return store

    def test_one_item_that_cannot_be_read_does_not_hide_the_others(self):
        for odd in ODD_ITEMS:
            with self.subTest(odd[:60]):
                items = b",".join((odd, GOOD_ITEM, odd))
                end = b'],"currentRev":9}'
                store = self.open_store(
                    b'{"morePages":true,"items":[' + items + end,
                    b'{"morePages":false,"items":[' + odd + end,
                    b'{"events":[' + items + end,
                )
                listed = store.list("roles/")
                self.assertEqual([entry.key for entry in listed.entries], ["roles/b"])
                self.assertEqual(store.watch("roles/", 9, 0.0), listed)

    def test_pages_without_any_readable_item_do_not_repeat_for_ever(self):
        page = b'{"morePages":true,"items":[' + ODD_ITEMS[0] + b'],"currentRev":9}'
        with self.assertRaises(StoreUnavailableError):
            self.open_store(page).list("roles/")

    @settings(max_examples=60, deadline=None)
    @given(st.binary(max_size=200))
    def test_no_answer_of_the_store_raises_anything_but_store_errors(self, body):
        server = ScriptedServer([raw_answer(body)])
        self.addCleanup(server.close)
        store = PlatformStore(server.address, "mesh", 5.0, 1.0)
        self.addCleanup(store.close)
        steps = (
            lambda: store.get("roles/a"),
            lambda: store.get(HEAD),
            lambda: store.list(SHARED_PREFIX),
            lambda: store.watch(SHARED_PREFIX, 1, 0.0),
            lambda: store.put("roles/a", b"x", ABSENT),
            lambda: store.grant_lease(6.0),
        )
        for step in steps:
            try:
                step()
            except StoreError:
                continue
