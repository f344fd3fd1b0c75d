import argparse
import unittest

from rattanworks.bench.convergence import ConvergenceBench

EXPECTED_FIGURES = (
    "nodes",
    "changes",
    "accepted",
    "in_force",
    "convergence_seconds",
    "returned_to_older",
    "applied_in_part",
    "dangling_routes",
    "lost",
    "control_bytes_per_node_per_second",
    "control_core_fraction",
    "node_rss_mb",
    "store_calls_per_second",
)
FIGURES_THAT_MUST_BE_ZERO = (
    "returned_to_older",
    "applied_in_part",
    "dangling_routes",
    "lost",
    "edits_given_up",
    "nodes_never_ready",
)


class ConvergenceBenchTests(unittest.TestCase):
    def run_bench(self, *arguments):
        parser = argparse.ArgumentParser()
        parser.add_argument("--seed", type=int, default=1)
        ConvergenceBench().add_arguments(parser)
        return ConvergenceBench().run(parser.parse_args(arguments)).figures

    def test_no_version_is_lost_when_nodes_restart_during_a_store_outage(self):
        figures = self.run_bench(
            *("--nodes", "4", "--changes", "4", "--interval", "0.25"),
            *("--faults", "store-outage,restart-storm,racing-edits"),
        )
        self.assertEqual([name for name in EXPECTED_FIGURES if name not in figures], [])
        self.assertEqual((figures["accepted"], figures["in_force"]), (4, 4))
        for name in FIGURES_THAT_MUST_BE_ZERO:
            self.assertEqual(figures[name], 0, name)
