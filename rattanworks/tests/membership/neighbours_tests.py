import unittest

from hypothesis import given
from hypothesis import strategies as st

from rattanworks.membership.neighbours import RINGS, Rings, choose_neighbours
from rattanworks.tests.builders import build_record

NAMES = st.sets(st.integers(0, 40).map("n{}".format), max_size=30)


def records(count, domains=5, regions=1):
    return [
        build_record(
            f"n{number}",
            failure_domain=f"d{number % domains}",
            region=f"r{number % regions}",
        )
        for number in range(count)
    ]


def names(chosen):
    return {record.node for record in chosen}


def reachable_from(start, members):
    rings = Rings(members)
    seen, waiting = {start.node}, [start]
    while waiting:
        for record in rings.neighbours(waiting.pop()):
            if record.node not in seen:
                seen.add(record.node)
                waiting.append(record)
    return seen


class NeighboursTests(unittest.TestCase):
    def test_being_adjacent_is_mutual(self):
        rings = Rings(records(60))
        for record in records(60):
            for neighbour in rings.adjacent(record.node):
                self.assertIn(record.node, names(rings.adjacent(neighbour.node)))

    @given(NAMES, NAMES)
    def test_changes_lead_to_the_same_rings_as_a_fresh_start(self, before, after):
        rings = Rings([build_record(name) for name in before])
        after_records = [build_record(name) for name in after]
        rings.update(after_records)
        for name in after | {"n99"}:
            self.assertEqual(
                names(rings.adjacent(name)), names(Rings(after_records).adjacent(name))
            )

    def test_other_failure_domains_and_regions_are_among_the_neighbours(self):
        same_domain = [build_record(f"n{number}") for number in range(200)]
        elsewhere = [
            build_record("far-1", failure_domain="d2"),
            build_record("far-2", failure_domain="d3"),
            build_record("far-3", failure_domain="d4", region="elsewhere"),
        ]
        for own in same_domain[:20]:
            chosen = choose_neighbours(own, same_domain + elsewhere)
            self.assertTrue(names(elsewhere[:2]) & names(chosen))
            self.assertIn("far-3", names(chosen))
            self.assertLessEqual(len(chosen), RINGS * 2 + 3)

    def test_the_graph_stays_connected_without_a_failure_domain(self):
        remaining = [row for row in records(400) if row.failure_domain != "d0"]
        self.assertEqual(len(reachable_from(remaining[0], remaining)), len(remaining))

    def test_small_meshes(self):
        one, two = records(2)
        self.assertEqual(choose_neighbours(one, [one]), ())
        self.assertEqual(choose_neighbours(one, [one, two]), (two,))
        self.assertEqual(choose_neighbours(one, []), ())
