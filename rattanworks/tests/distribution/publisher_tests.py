import threading
import unittest
import unittest.mock
from concurrent.futures import ThreadPoolExecutor

from rattanworks.audit.trail import trail_entries
from rattanworks.distribution.archive import Archive
from rattanworks.distribution.keys import HEAD
from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import (
    ConflictError,
    MergeConflictError,
    StoreAnswerLostError,
    StoreUnavailableError,
    UnknownVersionError,
)
from rattanworks.tests.builders import build_lists, build_numbered_lists
from rattanworks.tests.fakes import FakeClock, FakeStore


class LostAnswerStore(FakeStore):
    """Calls an action once, after the next write of the head took effect.

    The answer of that write is then lost, unless ``is_answer_lost`` is False.
    """

    after_head_write = None
    is_answer_lost = True

    def put(self, key, value, expected_revision, lease_id=""):
        entry = super().put(key, value, expected_revision, lease_id)
        action, self.after_head_write = self.after_head_write, None
        if key == HEAD and action is not None:
            action()
            if self.is_answer_lost:
                raise StoreAnswerLostError("the answer was lost")
        elif action is not None:
            self.after_head_write = action
        return entry


def no_sleep(seconds):
    pass


class PublisherTests(unittest.TestCase):
    def setUp(self):
        self.store = LostAnswerStore()
        self.publisher = Publisher(self.store, FakeClock(), no_sleep)

    def accept(self, lists, base=None, author="ana"):
        return self.publisher.accept(
            lists, base or self.publisher.current(), author, ""
        )

    def versions(self):
        return [manifest.version for manifest in self.publisher.chain()]

    def test_a_head_write_with_a_lost_answer_is_resolved(self):
        self.store.after_head_write = lambda: None
        head = self.accept(build_lists())
        self.assertEqual(self.publisher.current().head, head)

    def test_a_lost_answer_is_resolved_with_later_versions_on_top(self):
        other = Publisher(self.store, FakeClock(), no_sleep)
        self.store.after_head_write = lambda: [
            other.accept(build_numbered_lists(number), other.current(), "rui", "")
            for number in range(3)
        ]
        head = self.accept(build_lists())
        self.assertEqual(head.version, 1)
        self.assertEqual(self.versions(), [4, 3, 2, 1])

    def test_an_unresolved_outcome_is_reported_as_unknown(self):
        def stop_store():
            self.store.is_down = True

        self.store.after_head_write = stop_store
        with self.assertRaisesRegex(StoreAnswerLostError, "history"):
            self.accept(build_lists())

    def test_accepting_into_an_unavailable_store_fails(self):
        self.store.is_down = True
        base = unittest.mock.Mock(head=unittest.mock.Mock(version=0, manifest_hash=""))
        base.manifest = None
        with self.assertRaises(StoreUnavailableError):
            self.accept(build_lists(), base)

    def test_a_conflict_names_author_changes_and_remedy(self):
        base = self.publisher.current()
        self.accept(build_lists(), author="rui")
        with self.assertRaises(ConflictError) as caught:
            self.accept(build_numbered_lists(1), base)
        self.assertRegex(
            str(caught.exception), r"version 1 .*by rui \(.*customer shop.*--merge"
        )
        self.assertNotIn("\n", str(caught.exception))

    def test_edits_of_different_entries_are_merged(self):
        self.accept(build_numbered_lists(0, customers={"a": "gold", "b": "gold"}))
        base = self.publisher.current()
        self.accept(build_numbered_lists(0, customers={"a": "tin", "b": "gold"}))
        mine = build_numbered_lists(0, customers={"a": "gold", "b": "gold", "c": "tin"})
        self.publisher.accept_merged(mine, base, "ana", "")
        lists = self.publisher.lists(self.publisher.current().manifest)
        plans = {id: customer.plan for id, customer in lists.customers_by_id.items()}
        self.assertEqual(plans, {"a": "tin", "b": "gold", "c": "tin"})

    def test_edits_of_the_same_entry_are_not_merged(self):
        self.accept(build_numbered_lists(0, customers={"a": "gold"}))
        base = self.publisher.current()
        self.accept(build_numbered_lists(0, customers={"a": "tin"}))
        mine = build_numbered_lists(0, customers={})
        with self.assertRaisesRegex(MergeConflictError, "customer a: theirs plan tin"):
            self.publisher.accept_merged(mine, base, "ana", "")
        self.assertEqual(self.publisher.current().head.version, 2)

    def test_removing_the_plan_of_a_new_customer_is_a_conflict(self):
        self.accept(build_numbered_lists(0))
        base = self.publisher.current()
        self.accept(build_numbered_lists(0, customers={"a": "tin"}))
        mine = build_numbered_lists(0, plans=("gold",))
        with self.assertRaisesRegex(MergeConflictError, "removes that plan"):
            self.publisher.accept_merged(mine, base, "ana", "")

    def test_repeating_an_accepted_merge_changes_nothing(self):
        self.accept(build_numbered_lists(0))
        base = self.publisher.current()
        mine = build_numbered_lists(0, customers={"a": "tin"})
        first = self.publisher.accept_merged(mine, base, "ana", "")
        again = self.publisher.accept_merged(mine, base, "ana", "")
        self.assertEqual(first, again)

    def test_a_blob_is_read_once(self):
        for number in range(5):
            self.accept(build_numbered_lists(number))
        reads = []
        read = self.store.get
        self.store.get = lambda key: reads.append(key) or read(key)
        archive = Archive(self.store)
        entries = list(trail_entries(archive, 10))
        self.assertEqual([entry.manifest.version for entry in entries], [5, 4, 3, 2, 1])
        self.assertEqual(len(reads), len(set(reads)))

    def test_an_unknown_version_is_refused_with_a_remedy(self):
        self.accept(build_lists())
        with self.assertRaisesRegex(UnknownVersionError, "history"):
            self.publisher.version(7)
        self.assertEqual(self.publisher.version(0).head.version, 0)

    def test_concurrent_operators_lose_no_accepted_edit(self):
        for operators in (2, 8):
            with self.subTest(operators=operators):
                self.setUp()
                self.accept(build_numbered_lists(0))
                base = self.publisher.current()
                start = threading.Barrier(operators)

                def edit(number, base=base, start=start):
                    lists = build_numbered_lists(0, customers={f"c{number}": "gold"})
                    start.wait()
                    return self.publisher.accept_merged(lists, base, f"{number}", "")

                with ThreadPoolExecutor(operators) as executor:
                    heads = list(executor.map(edit, range(operators)))
                self.assertEqual(len({head.version for head in heads}), operators)
                lists = self.publisher.lists(self.publisher.current().manifest)
                self.assertEqual(len(lists.customers_by_id), operators)
                self.assertEqual(self.versions(), list(range(operators + 1, 0, -1)))
