"""Which version a node offers to callers during a move and after its end."""

import unittest
from dataclasses import replace

from rattanworks.model.service import done, taken_back
from rattanworks.routing.table import ServiceTarget
from rattanworks.tests.moves.world import endpoints, running_state, services_table

DRAWS = [number / 200 for number in range(200)]


def target(state, versions=("v1", "v2")):
    records = [record for record in endpoints() if record.version in versions]
    return ServiceTarget.of("catalogue", state, records)


def offered(state, versions=("v1", "v2")):
    return [target(state, versions).choose_version(draw) for draw in DRAWS]


class OfferingTests(unittest.TestCase):
    def test_the_new_version_gets_its_share(self):
        self.assertEqual(offered(running_state(share=0.05)).count("v2"), 10)

    def test_a_version_taken_back_is_never_offered_again(self):
        state = taken_back(running_state(share=0.95), "bad", 1.0)
        self.assertNotIn("v2", offered(state))
        self.assertNotIn("v2", offered(state, ("v2",)))

    def test_after_done_only_the_new_version_is_offered(self):
        self.assertEqual(set(offered(done(running_state(), "", 1.0))), {"v2"})

    def test_before_any_declaration_the_version_that_serves_longest_is_offered(self):
        records = [
            replace(record, incarnation=1 if record.version == "v2" else 5)
            for record in endpoints()
        ]
        undeclared = ServiceTarget.of("catalogue", None, records)
        self.assertEqual(undeclared.choose_version(0.5), "v2")

    def test_without_old_servers_the_new_version_serves_every_call(self):
        self.assertEqual(set(offered(running_state(), ("v2",))), {"v2"})

    def test_without_new_servers_the_old_version_serves_every_call(self):
        self.assertEqual(set(offered(running_state(share=0.95), ("v1",))), {"v1"})

    def test_a_small_share_goes_to_few_servers_at_their_full_load(self):
        state = running_state(share=0.5)
        self.assertEqual(len(target(state).endpoints("v2")), 1)
        self.assertEqual(len(target(state).endpoints("v1")), 2)

    def test_a_node_that_joins_takes_up_the_current_share_and_no_older_one(self):
        current = running_state(share=0.5, stage=1, term=2, step=1)
        joined = services_table()
        joined.merge((current,))
        joined.merge((running_state(share=0.95, term=1, step=9),))
        self.assertEqual(joined.rows_by_name["catalogue"].move.share, 0.5)

    def test_a_node_that_joins_after_taking_back_never_offers_the_version(self):
        joined = services_table()
        joined.merge((taken_back(running_state(), "bad", 1.0),))
        later = replace(running_state().move, share=0.95, term=7)
        joined.merge((replace(running_state(), move=later),))
        self.assertNotIn("v2", offered(joined.rows_by_name["catalogue"]))


if __name__ == "__main__":
    unittest.main()
