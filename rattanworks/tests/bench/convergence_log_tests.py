import unittest

from rattanworks.bench.convergence_log import (
    AcceptedVersion,
    NodeRun,
    VersionInForce,
    count_applied_in_part,
    count_regressions,
    measure_convergence,
)

ACCEPTED = [AcceptedVersion(2, 10.0, "two"), AcceptedVersion(3, 20.0, "three")]


class StubProcess:
    """A process with the given log lines."""

    def __init__(self, *lines):
        self.log = lines


def run(name, *events, ready_version=0, ready_at=0.0, **changes):
    """Return a NodeRun with (time, version, lists digest) tuples in force."""
    node_run = NodeRun(name, None, **changes)
    node_run.ready_at, node_run.ready_version = ready_at, ready_version
    node_run.in_force = [VersionInForce(*one) for one in events]
    return node_run


class ConvergenceLogTests(unittest.TestCase):
    def test_fields_are_read_from_the_log(self):
        node_run = NodeRun(
            "n",
            StubProcess(
                "time=1.500 event=node-ready version=0 node=n",
                "time=2.500 event=version-in-force version=1 lists=ab node=n",
            ),
        )
        node_run.read_log()
        self.assertEqual((node_run.ready_at, node_run.ready_version), (1.5, 0))
        self.assertEqual(node_run.in_force, [VersionInForce(2.5, 1, "ab")])

    def test_seconds_are_those_of_the_slowest_live_node_less_its_pauses(self):
        runs = [
            run("a", (10.1, 2, "two"), (20.1, 3, "three")),
            run("b", (14.5, 2, "two"), (20.3, 3, "three"), pauses=[(9.0, 14.0)]),
            run("dead", is_alive=False),
        ]
        in_force, seconds = measure_convergence(runs, ACCEPTED)
        self.assertEqual(in_force, 2)
        self.assertEqual([round(value, 6) for value in seconds], [0.5, 0.3])

    def test_a_version_missing_on_one_live_node_is_not_in_force(self):
        runs = [
            run("a", (10.1, 2, "two"), (20.1, 3, "three")),
            run("b", (10.1, 2, "two")),
        ]
        self.assertEqual(measure_convergence(runs, ACCEPTED)[0], 1)

    def test_regressions_are_counted_within_a_run_and_across_restarts(self):
        self.assertEqual(count_regressions([run("a", (1, 3, ""), (2, 2, ""))]), 1)
        before = run("a", (1, 3, ""), is_alive=False)
        self.assertEqual(count_regressions([before, run("a", ready_version=2)]), 1)
        self.assertEqual(count_regressions([before, run("a", ready_version=3)]), 0)

    def test_lists_that_differ_from_the_accepted_ones_are_counted(self):
        by_version = {one.version: one for one in ACCEPTED}
        whole = run("a", (1, 2, "two"))
        partial = run("b", (1, 2, "half"))
        self.assertEqual(count_applied_in_part([whole, partial], by_version), 1)
