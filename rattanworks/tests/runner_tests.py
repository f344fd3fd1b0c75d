import unittest

from rattanworks.tests.runner import known_red_ids, summarize

KNOWN = """\
# Known failures.
rattanworks.tests.a_tests.A.test_one: command; seed 1; seen; issue 4
 more about it
rattanworks.tests.a_tests.A.test_two; command
"""

ONE = "rattanworks.tests.a_tests.A.test_one"
TWO = "rattanworks.tests.a_tests.A.test_two"


class KnownRedTests(unittest.TestCase):
    def test_entries_start_with_the_test_id(self):
        self.assertEqual(known_red_ids(KNOWN), {ONE, TWO})

    def test_a_known_failure_does_not_fail_the_run(self):
        result = summarize(ran={ONE, TWO}, failed={ONE}, known={ONE})
        self.assertTrue(result.is_green)
        self.assertIn(f"known red: {ONE}", result.lines)

    def test_any_other_failure_fails_the_run(self):
        result = summarize(ran={ONE, TWO}, failed={TWO}, known={ONE})
        self.assertFalse(result.is_green)
        self.assertIn(f"FAILED: {TWO}", result.lines)

    def test_a_known_failure_that_passes_is_named(self):
        result = summarize(ran={ONE, TWO}, failed=set(), known={ONE})
        self.assertTrue(result.is_green)
        self.assertTrue(any("passed" in line and ONE in line for line in result.lines))

    def test_a_run_without_tests_fails(self):
        self.assertFalse(summarize(ran=set(), failed=set(), known=set()).is_green)
