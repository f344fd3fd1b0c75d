import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from rattanworks.__main__ import main
from rattanworks.bench.fleet import running_store
from rattanworks.tests.builders import PLANS
from rattanworks.utils.codec import decode_json


class ListsCommandsTests(unittest.TestCase):
    """Commands on the lists: diff, apply, conflict, merge and history."""

    def setUp(self):
        self.store = self.enterContext(running_store())
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (self.folder / "plans.toml").write_bytes(PLANS)

    def files(self, *customers):
        path = self.folder / "customers.toml"
        path.write_text(
            "".join(f'[customers.{name}]\nplan = "counter"\n' for name in customers)
        )
        return [str(path), str(self.folder / "plans.toml")]

    def run_command(self, name, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            status = main([name, *arguments, "--store", self.store.address])
        return status, output.getvalue(), errors.getvalue()

    def apply(self, files, *arguments):
        return self.run_command("apply", *files, *arguments)

    def test_edits_are_applied_merged_and_shown_in_the_history(self):
        self.assertEqual(self.apply(self.files("a"), "--author", "ana")[0], 0)
        status, _, error = self.apply(self.files("a", "b"))
        self.assertEqual(status, 1)
        self.assertIn("--base", error)
        self.assertEqual(
            self.apply(self.files("a", "b"), "--base", "1", "--author", "rui")[0], 0
        )
        status, output, _ = self.run_command("diff", *self.files("a", "c"))
        self.assertIn("2 entries differ from version 2", output)
        status, _, error = self.apply(self.files("a", "c"), "--base", "1")
        self.assertEqual((status, error.count("\n")), (1, 1))
        self.assertRegex(error, "by rui .*customer b.*--merge")
        merged = self.apply(self.files("a", "c"), "--base", "1", "--merge")
        self.assertIn("accepted version 3", merged[1])
        again = self.apply(self.files("a", "b", "c"))
        self.assertIn("unchanged, already in version 3", again[1])
        status, output, _ = self.run_command("diff", "--from", "1", "--to", "3")
        self.assertIn("customer b: absent -> plan counter", output)
        self.assertIn("customer c: absent -> plan counter", output)
        status, output, _ = self.run_command("history", "--json", "--limit", "2")
        versions = decode_json(output.encode(), dict)["versions"]
        self.assertEqual([entry["version"] for entry in versions], [3, 2])
        self.assertEqual((versions[1]["author"], versions[1]["from"]), ("rui", 1))

    def test_an_unknown_version_is_refused_in_one_line(self):
        status, _, error = self.run_command("diff", "--from", "9")
        self.assertEqual((status, error.count("\n")), (1, 1))

    def test_invalid_combinations_of_arguments_are_usage_errors(self):
        files = self.files("a")
        for name, arguments in (
            ("apply", [*files, "--merge"]),
            ("diff", []),
            ("diff", [files[0]]),
            ("diff", [*files, "--to", "1"]),
        ):
            with self.subTest(name=name, arguments=arguments):
                status, _, error = self.run_command(name, *arguments)
                self.assertEqual((status, error.count("\n")), (2, 1))
