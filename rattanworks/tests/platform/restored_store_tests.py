"""The store returns from an older copy and gives out the same revisions again."""

import contextlib
import gc
import threading
import unittest
import weakref

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.fleet import wait_until
from rattanworks.distribution.keys import HEAD, SHARED_PREFIX
from rattanworks.distribution.watcher import Watcher
from rattanworks.exceptions import (
    HistoryLostError,
    LeaseLostError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from rattanworks.ports.base import ABSENT, number_of
from rattanworks.roles.base import LeasedRole
from rattanworks.tests.platform.builders import build_configuration
from rattanworks.tests.platform.restored import RestoredStoreTestCase
from rattanworks.utils.precedence_table import PrecedenceTable

LIMIT_SECONDS = 20.0


class EraTests(RestoredStoreTestCase):
    def test_a_later_era_is_told_once(self):
        told = []
        self.store.add_restore_listener(lambda: told.append(self.store.era))
        self.store.get("a")
        copy = self.platform.copy()
        self.platform.restore(copy)
        for _ in range(3):
            self.store.get("a")
        self.assertEqual(told, [2])

    def test_any_answer_shows_a_later_era(self):
        for status in (404, 410, 429, 503):
            self.store.get("a")
            era = self.store.era
            self.platform.restore(self.platform.copy())
            self.platform.next_statuses = [status]
            with self.subTest(status=status):
                with contextlib.suppress(HistoryLostError, StoreUnavailableError):
                    self.store.list(SHARED_PREFIX)
                self.assertEqual(self.store.era, era + 1)

    def test_revisions_given_out_again_are_higher_than_before(self):
        copy = self.platform.copy()
        self.write_others(20)
        lost = self.store.put("a", b"one", ABSENT)
        self.platform.restore(copy)
        again = self.store.put("a", b"two", ABSENT)
        self.assertGreater(again.revision, lost.revision)
        self.assertEqual(self.store.get("a"), again)

    def test_a_late_answer_of_an_earlier_era_is_not_used(self):
        self.platform.write_as_operator("mesh/a", b"older")
        arrived, released = threading.Event(), threading.Event()

        def hold(path):
            if not arrived.is_set():
                arrived.set()
                released.wait(LIMIT_SECONDS)

        self.platform.hold_answer = hold
        errors = []

        def read():
            try:
                self.store.get("a")
            except StoreUnavailableError as error:
                errors.append(error)

        late = threading.Thread(target=read)
        late.start()
        arrived.wait(LIMIT_SECONDS)
        self.platform.restore(self.platform.copy())
        self.store.get("a")
        released.set()
        late.join(LIMIT_SECONDS)
        self.assertEqual(len(errors), 1)

    def test_pages_of_two_eras_make_no_list(self):
        for number in range(10):
            self.store.put(f"roles/{number}", b"x", ABSENT)
        copy = self.platform.copy()
        pages = []

        def restore_after_second_page(path):
            pages.append(path)
            if len(pages) == 2:
                self.platform.restore(copy)

        self.platform.hold_answer = restore_after_second_page
        with self.assertRaises(StoreUnavailableError):
            self.store.list("roles/")
        self.assertEqual(len(self.store.list("roles/").entries), 10)

    def test_a_revision_that_the_store_has_passed_again_cannot_be_watched(self):
        copy = self.platform.copy()
        self.write_others(5)
        revision = self.store.list(SHARED_PREFIX).revision
        self.platform.restore(copy)
        self.platform.write_as_operator("op/config", build_configuration())
        self.write_others(10)
        with self.assertRaises(HistoryLostError):
            self.store.watch(SHARED_PREFIX, revision, 0.0)


class RestoredRecordTests(RestoredStoreTestCase):
    def write_again_at(self, revision, value):
        """Write the record at a revision that was given out before the return."""
        while self.platform.memory.list("").revision < number_of(revision) - 1:
            self.write_others(1)
        return self.platform.write_as_operator("mesh/a", value)

    def test_a_write_decided_on_a_record_that_was_lost_is_refused(self):
        copy = self.platform.copy()
        self.write_others(5)
        read = self.store.put("a", b"lost", ABSENT)
        self.platform.restore(copy)
        again = self.write_again_at(read.revision, b"of another")
        self.assertEqual(again, number_of(read.revision))
        self.store.list("b")
        for change in (
            lambda: self.store.put("a", b"changed", read.revision),
            lambda: self.store.delete("a", read.revision),
        ):
            with self.assertRaises(StoreConflictError):
                change()
        self.assertEqual(self.store.get("a").value, b"of another")

    def test_a_write_that_shows_the_return_itself_is_in_doubt(self):
        copy = self.platform.copy()
        self.write_others(5)
        read = self.store.put("a", b"lost", ABSENT)
        self.platform.restore(copy)
        self.write_again_at(read.revision, b"of another")
        with self.assertRaises(StoreAnswerLostError):
            self.store.put("a", b"changed", read.revision)

    def test_a_record_kept_by_the_copy_can_be_changed_after_it_was_read_again(self):
        first = self.store.put("a", b"one", ABSENT)
        self.platform.restore(self.platform.copy())
        self.store.get("b")
        with self.assertRaises(StoreConflictError):
            self.store.put("a", b"two", first.revision)
        again = self.store.get("a")
        self.store.put("a", b"two", again.revision)
        self.assertEqual(self.store.get("a").value, b"two")


class RestoredRoleTests(RestoredStoreTestCase):
    def setUp(self):
        super().setUp()
        self.copy = self.platform.copy()

    def role(self, store, name, **changes):
        key = f"roles/{name}"
        return LeasedRole(store, key, name.encode(), SystemClock(), **changes)

    def test_a_role_whose_record_was_lost_is_not_held_any_more(self):
        role = self.role(self.store, "one")
        role.step()
        self.assertTrue(role.is_held)
        self.platform.restore(self.copy)
        self.store.get("a")
        self.assertFalse(role.is_held)

    def test_the_former_holder_takes_its_role_again_in_one_step(self):
        role = self.role(self.store, "one")
        role.step()
        term = role.term
        self.platform.restore(self.copy)
        role.step()
        self.assertTrue(role.is_held)
        self.assertGreater(role.term, term)
        self.assertIsNotNone(self.store.get("roles/one"))

    def test_a_former_holder_that_is_no_candidate_any_more_goes_on(self):
        is_candidate = [True]
        role = self.role(self.store, "one", is_candidate=lambda: is_candidate[-1])
        role.step()
        is_candidate.append(False)
        self.platform.restore(self.copy)
        role.step()
        self.assertTrue(role.is_held)

    def test_the_former_holder_does_not_wait_for_the_lease_in_the_copy_to_end(self):
        role = self.role(self.store, "one")
        role.step()
        self.platform.restore(self.copy)
        other = self.new_store()
        left = other.grant_lease(1.0)
        other.put("roles/one", b"one", ABSENT, left)
        role.step()
        self.assertTrue(role.is_held)
        other.revoke_lease(left)
        self.assertIsNotNone(self.store.get("roles/one"))

    def test_the_store_does_not_keep_roles_that_were_stopped(self):
        role = self.role(self.store, "one")
        role.step()
        role.stop()
        stopped = weakref.ref(role)
        del role
        gc.collect()
        self.assertIsNone(stopped())

    def test_a_lease_number_given_out_again_does_not_renew_anothers_lease(self):
        lost = self.store.grant_lease(30.0)
        self.platform.restore(self.copy)
        self.new_store().grant_lease(30.0)
        with self.assertRaises(LeaseLostError):
            self.store.renew_lease(lost)
        with self.assertRaises(LeaseLostError):
            self.store.put("a", b"x", ABSENT, lost)
        self.assertIsNone(self.store.get("a"))

    def test_a_lease_number_given_out_again_does_not_end_anothers_lease(self):
        lost = self.store.grant_lease(30.0)
        self.platform.restore(self.copy)
        other = self.role(self.new_store(), "two")
        other.step()
        self.store.get("a")
        self.store.revoke_lease(lost)
        self.assertIsNotNone(self.store.get("roles/two"))


class RestoredWatcherTests(RestoredStoreTestCase):
    def setUp(self):
        super().setUp()
        self.role = LeasedRole(self.store, "roles/watcher/a/0", b"one", SystemClock())
        services = PrecedenceTable(lambda state: state.service)
        self.watcher = Watcher(self.role, self.store, services)
        self.addCleanup(self.watcher.stop)
        self.versions = []
        self.watcher.on_head = lambda head: self.versions.append(head.version)

    def watches_begun(self):
        return self.platform.calls.count(("GET", "/rattanworks/kv-watch"))

    def test_a_version_written_while_the_store_passes_the_cursor_again_is_seen(self):
        copy = self.platform.copy()
        self.write_others(5)
        self.watcher.watch_once()
        self.platform.restore(copy)
        self.platform.write_as_operator("op/config", build_configuration())
        self.write_others(10)
        for _ in range(2):
            try:
                self.watcher.watch_once()
            except HistoryLostError:
                self.watcher._revision = 0
        self.assertEqual(len(self.versions), 1)

    def test_a_watch_that_waits_across_the_return_does_not_hide_changes(self):
        copy = self.platform.copy()
        self.write_others(5)
        self.role.step()
        wait_until(lambda: self.watches_begun(), LIMIT_SECONDS, "the watch waits")
        self.platform.restore(copy)
        self.platform.write_as_operator("op/config", build_configuration())
        # The holder renews its lease, and its role is free again.
        for _ in range(3):
            self.role.step()
        wait_until(lambda: self.versions, LIMIT_SECONDS / 2, "the version is seen")
        self.assertIsNotNone(self.store.get(HEAD))


if __name__ == "__main__":
    unittest.main()
