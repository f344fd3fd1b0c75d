"""The `move` and `history` commands, run through the command line."""

import contextlib
import io
import unittest
from unittest import mock

from rattanworks.__main__ import main
from rattanworks.commands import context, history, move
from rattanworks.model.service import ServiceState
from rattanworks.moves.record import ServiceRecords
from rattanworks.ports.base import ABSENT
from rattanworks.tests.fakes import FakeStore

ANNOUNCED_VERSIONS = {"v1", "v2"}


class MoveCommandTests(unittest.TestCase):
    def setUp(self):
        store = FakeStore()
        ServiceRecords(store).write(ServiceState("catalogue", 1, "v1"), ABSENT)
        for module in (context, history, move):
            self.patch(module, "open_store", lambda arguments: store)
        self.patch(move, "_announced_versions", lambda arguments: ANNOUNCED_VERSIONS)

    def patch(self, module, name, value):
        self.enterContext(mock.patch.object(module, name, value))

    def run_command(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            status = main(list(arguments))
        return status, output.getvalue(), errors.getvalue()

    def move(self, *arguments):
        return self.run_command("move", *arguments, "--author", "ana")

    def test_a_move_is_started_withdrawn_and_in_the_history(self):
        status, output, _ = self.move("catalogue", "--to", "v2", "--within", "600")
        self.assertEqual(status, 0)
        self.assertIn("v1 -> v2 running", output)
        status, output, _ = self.move("catalogue", "--withdraw")
        self.assertEqual(status, 0)
        self.assertIn("withdrawn by ana", output)
        status, output, _ = self.run_command("history")
        self.assertEqual(status, 0)
        self.assertIn("move=catalogue/2 from=v1 to=v2", output)
        self.assertIn("status=taken_back", output)

    def test_a_refusal_is_one_line_with_the_remedy(self):
        for arguments, remedy in (
            (["orders", "--to", "v2", "--within", "600"], "known: catalogue"),
            (["catalogue", "--to", "v9", "--within", "600"], "start servers of v9"),
            (["catalogue", "--to", "v2", "--by", "2001-01-01"], "in the past"),
            (["catalogue", "--withdraw"], "rattanworks status"),
        ):
            status, _, error = self.move(*arguments)
            self.assertEqual((status, error.count("\n")), (1, 1), error)
            self.assertIn(remedy, error)

    def test_invalid_combinations_of_arguments_are_usage_errors(self):
        for arguments in (
            ["catalogue"],
            ["catalogue", "--to", "v2"],
            ["catalogue", "--to", "v2", "--by", "soon"],
            ["catalogue", "--to", "v2", "--by", "2030-01-01", "--within", "60"],
            ["catalogue", "--withdraw", "--to", "v2"],
        ):
            status, _, error = self.move(*arguments)
            self.assertEqual((status, error.count("\n")), (2, 1), error)


if __name__ == "__main__":
    unittest.main()
