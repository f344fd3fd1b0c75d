import argparse
import unittest

from rattanworks.bench.load.bench import LoadBench
from rattanworks.exceptions import UsageError


class LoadBenchTests(unittest.TestCase):
    def run_with(self, *arguments):
        parser = argparse.ArgumentParser()
        parser.add_argument("--seed", type=int, default=1)
        bench = LoadBench()
        bench.add_arguments(parser)
        quick = ("--trials", "1", "--workers", "1")
        return bench.run(parser.parse_args([*quick, *arguments]))

    def test_report_has_a_row_and_a_series_for_each_policy(self):
        report = self.run_with(
            "--scenarios", "calm", "--policies", "product,no_queue", "--loads", "0.2"
        )
        (table,) = report.figures["scenarios"].values()
        self.assertEqual(set(table), {"product", "no_queue"})
        self.assertEqual(set(report.series), {"calm, product", "calm, no_queue"})

    def test_unknown_names_and_loads_are_rejected(self):
        for arguments in (
            ("--policies", "guess"),
            ("--scenarios", ""),
            ("--loads", "much"),
        ):
            with self.subTest(arguments=arguments), self.assertRaises(UsageError):
                self.run_with(*arguments)


if __name__ == "__main__":
    unittest.main()
