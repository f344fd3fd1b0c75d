import unittest

from hypothesis import given
from hypothesis import strategies as st

from rattanworks.membership.members import Members
from rattanworks.model.endpoint import EndpointState
from rattanworks.tests.builders import build_record
from rattanworks.utils.precedence_table import MAX_FORGOTTEN_NAMES

RECORDS = st.builds(
    build_record,
    node=st.sampled_from(["n1", "n2", "n3", "n4"]),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 3),
    state=st.sampled_from(EndpointState),
)
BATCHES = st.lists(RECORDS, max_size=12)


def table_of(*batches):
    table = Members(build_record("own")).table
    for batch in batches:
        table.merge(batch)
    return table


def live_rows(table):
    # A gone record is kept only in tables that knew the node before.
    return {
        name: row.precedence
        for name, row in table.rows_by_name.items()
        if row.state != EndpointState.GONE
    }


def view(table):
    return live_rows(table), table.digest, table.bucket_digests


class MergeTests(unittest.TestCase):
    @given(BATCHES, BATCHES)
    def test_merging_is_commutative(self, one, other):
        self.assertEqual(view(table_of(one, other)), view(table_of(other, one)))

    @given(BATCHES, BATCHES, BATCHES)
    def test_merging_is_associative(self, one, two, three):
        whole = view(table_of(one, two, three))
        self.assertEqual(view(table_of(one + two, three)), whole)
        self.assertEqual(view(table_of(one, two + three)), whole)

    @given(BATCHES)
    def test_merging_is_idempotent(self, batch):
        table = table_of(batch)
        before = view(table)
        self.assertEqual(table.merge(batch), ())
        self.assertEqual(view(table), before)

    @given(BATCHES, st.randoms())
    def test_the_order_of_updates_does_not_matter(self, batch, rng):
        one_by_one = [[record] for record in rng.sample(batch, len(batch))]
        self.assertEqual(view(table_of(*one_by_one)), view(table_of(batch)))
        self.assertEqual(view(table_of(batch[::-1])), view(table_of(batch)))

    @given(BATCHES)
    def test_the_highest_precedence_wins(self, batch):
        table = table_of(batch)
        for record in batch:
            self.assertGreaterEqual(table.precedence_of(record.node), record.precedence)


class ForgettingTests(unittest.TestCase):
    def setUp(self):
        self.alive = build_record("n1", sequence=4)
        self.gone = build_record("n1", sequence=4, state=EndpointState.GONE)
        self.table = table_of((self.alive, self.gone))

    def test_a_gone_record_is_removed_by_the_second_forget_retired(self):
        self.table.forget_retired()
        self.assertIn("n1", self.table.rows_by_name)
        self.table.forget_retired()
        self.assertNotIn("n1", self.table.rows_by_name)

    def test_an_older_record_does_not_bring_it_back(self):
        self.table.forget_retired()
        self.table.forget_retired()
        self.assertEqual(self.table.merge((self.alive,)), ())
        self.assertEqual(self.table.merge((self.gone,)), ())
        later = build_record("n1", incarnation=2)
        self.assertEqual(self.table.merge((later,)), (later,))

    def test_the_number_of_forgotten_names_is_bounded(self):
        for number in range(MAX_FORGOTTEN_NAMES + 10):
            name = f"n-{number}"
            self.table.merge((build_record(name, state=EndpointState.GONE),))
        self.assertLessEqual(len(self.table._forgotten), MAX_FORGOTTEN_NAMES)
        self.assertEqual(len(self.table.rows_by_name), 2)

    def test_digests_agree_whether_or_not_a_gone_record_is_kept(self):
        other = table_of(())
        self.assertEqual(self.table.digest, other.digest)
        self.assertEqual(self.table.bucket_digests, other.bucket_digests)
