import unittest

from rattanworks.membership.members import Members
from rattanworks.model.endpoint import MAX_COUNTER, EndpointState
from rattanworks.tests.builders import build_record


class MembersTests(unittest.TestCase):
    def setUp(self):
        self.members = Members(build_record("own", incarnation=5))

    def other_view(self, *records):
        other = Members(build_record("other"))
        other.table.merge(records)
        return other

    def test_the_owner_refutes_its_removal(self):
        other = self.other_view(self.members.own)
        other.remove(self.members.own)
        self.members.table.merge((other.by_node["own"],))
        self.assertEqual(self.members.own.state, EndpointState.SERVING)
        other.table.merge((self.members.own,))
        self.assertEqual(other.by_node["own"].state, EndpointState.SERVING)

    def test_a_start_after_the_clock_went_back_supersedes_the_old_record(self):
        known = build_record("own", incarnation=900, sequence=7)
        self.members.table.merge((known,))
        other = self.other_view(known)
        other.table.merge((self.members.own,))
        self.assertEqual(other.by_node["own"], self.members.own)

    def test_a_start_hidden_by_a_forgotten_record_learns_the_incarnation(self):
        gone = build_record("own", incarnation=900, state=EndpointState.GONE)
        other = self.other_view(gone)
        other.table.merge((self.members.own,))
        self.assertNotIn("own", other.by_node)
        own = self.members.own
        hidden_by = other.hiding_incarnation("own", own.incarnation)
        self.members.raise_incarnation_above(hidden_by)
        other.table.merge((self.members.own,))
        self.assertEqual(other.by_node["own"], self.members.own)
        own = self.members.own
        self.assertEqual(other.hiding_incarnation("own", own.incarnation), 0)

    def test_a_node_that_stops_does_not_refute(self):
        self.members.announce_gone()
        own = self.members.own
        self.members.table.merge((build_record("own", incarnation=900),))
        self.assertEqual(self.members.own, own)

    def test_a_removal_loses_against_a_record_advanced_meanwhile(self):
        other = self.other_view(self.members.own)
        old = other.by_node["own"]
        self.members.raise_incarnation_above(old.incarnation)
        other.table.merge((self.members.own,))
        other.remove(old)
        self.assertEqual(other.by_node["own"].state, EndpointState.SERVING)

    def test_the_highest_incarnation_is_not_exceeded(self):
        self.members.raise_incarnation_above(MAX_COUNTER)
        self.assertEqual(self.members.own.incarnation, 5)
