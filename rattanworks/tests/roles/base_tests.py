import time
import unittest
from unittest import mock

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.fleet import wait_until
from rattanworks.exceptions import HistoryLostError, StoreConflictError
from rattanworks.ports.base import ABSENT
from rattanworks.roles import base
from rattanworks.roles.base import (
    DEFAULT_TIMING,
    FAST_TIMING,
    LeasedRole,
    LeaseTiming,
)
from rattanworks.roles.candidates import candidates, needed_slots
from rattanworks.standins.store import MemoryStore
from rattanworks.tests.fakes import FakeClock, FakeStore

KEY = "roles/watcher/a/0"
LIMIT_SECONDS = 30.0


class CountingStore(FakeStore):
    """Counts the reads of role records."""

    reads = 0

    def get(self, key):
        self.reads += 1
        return super().get(key)

    def list(self, prefix):
        self.reads += 1
        return super().list(prefix)


class DefectiveStore(FakeStore):
    """Raises an unexpected error with its first lease."""

    leases = 0

    def grant_lease(self, ttl):
        self.leases += 1
        if self.leases == 1:
            raise RuntimeError("a defect")
        return super().grant_lease(ttl)


class ForgetfulStore(CountingStore):
    """Drops the history before its latest revision with each watch that it answers.

    Writes a record of others before each answer, as a busy fleet does.
    """

    watches = 0
    drop_history_with_each_read = False

    def __init__(self, store):
        super().__init__(store)
        self._kept_after = 0

    def list(self, prefix):
        event = super().list(prefix)
        if self.drop_history_with_each_read:
            self._kept_after = event.revision + 1
        return event

    def watch(self, prefix, after_revision, timeout):
        self.watches += 1
        if after_revision < self._kept_after:
            raise HistoryLostError("the store dropped these changes")
        self.put(f"shared/{self.watches}", b"", ABSENT)
        event = super().watch(prefix, after_revision, timeout)
        self._kept_after = event.revision
        return event

    def drop_history(self):
        """Drop all changes up to now."""
        self._kept_after = self.list("").revision + 1


class SlowStore(FakeStore):
    """Answers each call ``seconds`` after it was carried out, by a FakeClock."""

    def __init__(self, clock, seconds):
        super().__init__(MemoryStore(clock.monotonic))
        self._clock = clock
        self.seconds_of_next = lambda: seconds

    def _answer(self, call, *arguments):
        try:
            return call(*arguments)
        finally:
            self._clock.advance(self.seconds_of_next())

    def list(self, prefix):
        return self._answer(super().list, prefix)

    def write_all(self, writes):
        return self._answer(super().write_all, writes)

    def grant_lease(self, ttl):
        return self._answer(super().grant_lease, ttl)

    def renew_lease(self, lease_id):
        return self._answer(super().renew_lease, lease_id)

    def revoke_lease(self, lease_id):
        return self._answer(super().revoke_lease, lease_id)


class SlowStoreTests(unittest.TestCase):
    """A role with a short lease at a store that takes long to answer."""

    STEPS = 40

    def test_a_role_is_held_at_a_store_whose_answers_take_long_for_its_lease(self):
        for timing in (FAST_TIMING, DEFAULT_TIMING):
            for seconds in (0.25, 0.5, 0.75, 1.0, 1.9):
                with self.subTest(timing=timing, seconds=seconds):
                    self.hold(timing, seconds)

    def test_one_slow_answer_makes_no_lease_longer(self):
        clock = FakeClock()
        store = SlowStore(clock, 1.0)
        role = LeasedRole(store, KEY, b"one", clock, timing=FAST_TIMING)
        seconds_by_call = iter((1.0, 0.0, 0.0, 0.0))
        store.seconds_of_next = lambda: next(seconds_by_call)
        role.step()
        self.assertTrue(role.is_held)
        clock.advance(FAST_TIMING.lease_seconds + 0.1)
        self.assertEqual(store.memory.list(KEY).entries, ())

    def hold(self, timing, seconds):
        clock = FakeClock()
        store = SlowStore(clock, seconds)
        role = LeasedRole(store, KEY, b"one", clock, timing=timing)
        held_at_calls, terms = [], set()
        role.on_held = lambda: held_at_calls.append(role.is_held)
        for _ in range(self.STEPS):
            pause = role.step()
            terms.add(role.term)
            clock.advance(pause)
        self.assertEqual(held_at_calls, [True] * self.STEPS)
        self.assertEqual(len(terms), 1)


class LeasedRoleTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.memory = MemoryStore(self.clock.monotonic)
        self.store = CountingStore(self.memory)

    def role(self, name, **changes):
        return LeasedRole(self.store, KEY, name.encode(), self.clock, **changes)

    def forgetful_roles(self):
        """Return a ForgetfulStore, the role's holder and a node to stand by."""
        store = ForgetfulStore(MemoryStore())
        first = LeasedRole(store, KEY, b"one", SystemClock())
        second = LeasedRole(store, KEY, b"two", SystemClock())
        self.addCleanup(second.stop)
        first.step()
        return store, first, second

    def test_one_holds_and_another_takes_over_with_a_higher_term(self):
        first, second = self.role("one"), self.role("two")
        first.step()
        second.step()
        self.assertTrue(first.is_held)
        self.assertFalse(second.is_held)
        first_term = first.term
        self.clock.advance(DEFAULT_TIMING.lease_seconds + 0.1)
        second.step()
        self.assertTrue(second.is_held)
        self.assertGreater(second.term, first_term)

    def test_a_standby_node_takes_over_without_polling_the_store(self):
        memory = MemoryStore()
        store = CountingStore(memory)
        timing = LeaseTiming(lease_seconds=1.0, renew_seconds=0.3)
        clock = SystemClock()
        first = LeasedRole(store, KEY, b"one", clock, timing=timing)
        second = LeasedRole(store, KEY, b"two", clock, timing=timing)
        self.addCleanup(second.stop)
        first.step()
        second.start()
        # The first role is not started, as if its node had died: its lease expires.
        wait_until(lambda: second.is_held, LIMIT_SECONDS, "the role is taken over")
        self.assertLessEqual(store.reads, 5)

    def test_a_standby_node_reads_once_though_the_store_drops_its_history(self):
        store, _, second = self.forgetful_roles()
        reads_before = store.reads
        with mock.patch.object(base, "STANDBY_WATCH_SECONDS", 0.01):
            second.start()
            wait_until(lambda: store.watches >= 5, LIMIT_SECONDS, "five watches end")
        self.assertEqual(store.reads - reads_before, 1)

    def test_a_standby_node_reads_again_if_the_history_it_needs_was_dropped(self):
        store, first, second = self.forgetful_roles()
        with mock.patch.object(base, "STANDBY_WATCH_SECONDS", 0.01):
            second.start()
            wait_until(lambda: store.watches >= 2, LIMIT_SECONDS, "two watches end")
            first.stop()
            store.drop_history()
            wait_until(lambda: second.is_held, LIMIT_SECONDS, "the role is taken over")

    def test_a_standby_node_pauses_at_a_store_that_keeps_no_history(self):
        store, _, second = self.forgetful_roles()
        store.drop_history_with_each_read = True
        began = time.monotonic()
        second.start()
        wait_until(lambda: store.watches >= 4, LIMIT_SECONDS, "four watches fail")
        self.assertGreaterEqual(time.monotonic() - began, 3 * base.REACQUIRE_SECONDS)

    def test_a_holder_paused_past_its_lease_knows_and_cannot_write(self):
        # Represents any record that a role writes by compare-and-swap.
        first, second = self.role("one"), self.role("two")
        first.step()
        record = self.store.put("shared/record", b"by one", ABSENT)
        self.clock.advance(DEFAULT_TIMING.lease_seconds + 0.1)
        second.step()
        self.store.put("shared/record", b"by two", record.revision)
        self.assertFalse(first.is_held)
        with self.assertRaises(StoreConflictError):
            self.store.put("shared/record", b"late by one", record.revision)
        first.step()
        self.assertFalse(first.is_held)
        self.assertTrue(second.is_held)

    def test_lost_answers_never_make_two_holders(self):
        for lost in range(1, 6):
            with self.subTest(lost=lost):
                self.setUp()
                roles = [self.role("one"), self.role("two")]
                self.store.lose_answers = lost
                for _ in range(12):
                    for role in roles:
                        role.step()
                    held = [role for role in roles if role.is_held]
                    self.assertLessEqual(len(held), 1)
                    if held:
                        entry = self.memory.get(KEY)
                        self.assertEqual(entry.revision, held[0].term)
                    self.clock.advance(1.0)
                self.assertEqual(len(held), 1)

    def test_a_released_role_is_free_at_once(self):
        first, second = self.role("one"), self.role("two")
        first.step()
        first.stop()
        second.step()
        self.assertTrue(second.is_held)

    def test_only_candidates_read_the_store(self):
        role = self.role("one", is_candidate=lambda: False)
        for _ in range(5):
            role.step()
        self.assertEqual(self.store.reads, 0)

    def test_a_role_no_longer_needed_is_released_and_not_asked_for_again(self):
        needs = [True]
        role = self.role("one", is_needed=lambda: needs[-1])
        role.step()
        self.assertTrue(role.is_held)
        needs.append(False)
        for _ in range(3):
            role.step()
            self.assertFalse(role.is_held)
            self.assertIsNone(self.memory.get(KEY))
        needs.append(True)
        role.step()
        self.assertTrue(role.is_held)

    def test_on_held_is_called_after_each_step_that_holds_the_role(self):
        held_at_calls = []
        role = self.role("one")
        role.on_held = lambda: held_at_calls.append(role.is_held)
        for _ in range(3):
            role.step()
        self.assertEqual(held_at_calls, [True] * 3)


class CandidatesTests(unittest.TestCase):
    def test_candidates_do_not_grow_with_the_fleet(self):
        for size in (1, 2, 5, 200):
            names = [f"node-{number}" for number in range(size)]
            chosen = [candidates("a", number, 2, names) for number in range(2)]
            self.assertEqual(len({*chosen[0], *chosen[1]}), min(4, size))
            self.assertTrue(chosen[0])

    def test_one_slot_a_domain_is_needed_where_other_domains_have_watchers(self):
        self.assertEqual(
            [needed_slots(count, 2) for count in (1, 2, 3, 17)], [2, 2, 1, 1]
        )


class DefectTests(unittest.TestCase):
    def test_a_role_is_acquired_after_an_unexpected_error(self):
        timing = LeaseTiming(1.4, 0.1)
        role = LeasedRole(DefectiveStore(), KEY, b"one", SystemClock(), timing=timing)
        self.addCleanup(role.stop)
        role.start()
        wait_until(lambda: role.is_held, LIMIT_SECONDS, "role held")
