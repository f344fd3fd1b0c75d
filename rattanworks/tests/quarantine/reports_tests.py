import random
import unittest

from rattanworks.model.crash import CrashReport
from rattanworks.quarantine.reports import KEEP_SECONDS, MAX_REPORTS, CrashReports
from rattanworks.tests.fakes import FakeClock
from rattanworks.tests.membership.mesh import Mesh
from rattanworks.utils.codec import DecodeError, decode_binary, encode_binary


class CrashReportsTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock(10_000.0)
        self.reports = CrashReports(self.clock)

    def merge(self, *reports):
        return self.reports.merge(CrashReport(*report) for report in reports)

    def crashes(self, fingerprint):
        return len(self.reports.crash_times(fingerprint))

    def test_reports_merge_in_any_order_and_any_number_of_times(self):
        reports = [
            CrashReport(f"call-{call}", f"server-{server}", float(server), cleared)
            for call in range(3)
            for server in range(4)
            for cleared in (False, call == 1)
        ]
        digests = set()
        for seed in range(20):
            shuffled = reports * 2
            random.Random(seed).shuffle(shuffled)
            known = CrashReports(self.clock)
            for report in shuffled:
                known.merge((report,))
            digests.add(known.digest)
            self.assertEqual(len(known.crash_times("call-0")), 4)
            self.assertEqual(len(known.crash_times("call-1")), 0)
        self.assertEqual(len(digests), 1)

    def test_the_age_of_a_report_counts_wherever_it_was_sent_on(self):
        self.merge(("call", "server", KEEP_SECONDS - 1.0))
        self.assertEqual(self.crashes("call"), 1)
        self.clock.advance(1.0)
        self.assertEqual(self.crashes("call"), 0)
        self.assertEqual(self.reports.reports(), ())
        self.assertEqual(self.merge(("call", "server", KEEP_SECONDS)), ())

    def test_a_node_that_starts_when_reports_have_expired_does_not_differ(self):
        self.merge(("call", "a", 0.0), ("call", "b", 0.0))
        self.assertNotEqual(self.reports.digest, 0)
        self.clock.advance(KEEP_SECONDS)
        self.assertEqual(self.reports.digest, CrashReports(self.clock).digest)

    def test_a_call_with_many_crashes_is_kept_when_there_are_too_many_reports(self):
        self.merge(("deadly", "a", 50.0), ("deadly", "b", 50.0))
        for number in range(2 * MAX_REPORTS):
            self.merge((f"call-{number}", "server", 0.0))
        self.assertEqual(self.crashes("deadly"), 2)
        self.assertLessEqual(len(self.reports.reports()), MAX_REPORTS)

    def test_odd_reports_of_other_nodes_cannot_be_decoded(self):
        good = {"fingerprint": "f", "server": "s", "age_seconds": 1.0}
        for changes in (
            {"fingerprint": "f" * 1000},
            {"server": 5},
            {"age_seconds": -1.0},
            {"age_seconds": float("nan")},
            {"age_seconds": 1e12},
        ):
            with self.subTest(changes), self.assertRaises(DecodeError):
                decode_binary(encode_binary({**good, **changes}), CrashReport)
        self.assertEqual(
            decode_binary(encode_binary(good), CrashReport), CrashReport("f", "s", 1.0)
        )


class SpreadingTests(unittest.TestCase):
    def test_nodes_that_could_not_hear_of_crashes_learn_of_them_afterwards(self):
        mesh = Mesh(["a1", "b1", "c1"])
        mesh["a1"].crashes.merge((CrashReport("call", "x", 0.0),))
        mesh["b1"].crashes.merge((CrashReport("call", "y", 0.0),))
        mesh["a1"].reconciler.reconcile(mesh["b1"].address)
        mesh["c1"].reconciler.reconcile(mesh["b1"].address)
        for name in ("a1", "b1", "c1"):
            with self.subTest(name):
                self.assertEqual(len(mesh[name].crashes.crash_times("call")), 2)
