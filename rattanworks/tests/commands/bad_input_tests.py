"""Faulty input files give exit status 2 and a report of the faults, no traceback."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from rattanworks.__main__ import main
from rattanworks.tests.builders import CUSTOMERS, PLANS

NODE_SETTINGS = b"""
[host]
name = "node-1"
region = "qc-est"
failure_domain = "qc-est-a"
[store]
address = "127.0.0.1:7100"
"""

FAULTY_LISTS_BY_NAME = {
    "wrong type": (CUSTOMERS, PLANS.replace(b"100", b"[]")),
    "unknown plan": (CUSTOMERS.replace(b"counter", b"golden"), PLANS),
    "unknown key": (CUSTOMERS + b"colour = 1\n", PLANS),
    "duplicate": (CUSTOMERS, PLANS + b"[plans.counter]\n"),
    "empty": (CUSTOMERS, b" \n"),
    "not UTF-8": (b"\xff\xfe" + CUSTOMERS, PLANS),
    "two megabytes": (CUSTOMERS, PLANS + b"#" * 2_000_000),
}

FAULTY_SETTINGS_BY_NAME = {
    "wrong type": NODE_SETTINGS.replace(b'"node-1"', b"1"),
    "unknown key": NODE_SETTINGS + b"colour = 1\n",
    "missing key": NODE_SETTINGS.replace(b'name = "node-1"\n', b""),
    "duplicate": NODE_SETTINGS + b'address = "127.0.0.1:1"\n',
    "bad address": NODE_SETTINGS.replace(b"127.0.0.1:7100", b"nowhere"),
    "port out of range": NODE_SETTINGS.replace(b"7100", b"99999"),
    "nested too deeply": NODE_SETTINGS + b"[drain]\nx = " + b"[" * 100_000,
    "too many digits": NODE_SETTINGS + b"[listen]\nlocal_port = " + b"9" * 5000,
    "too many hexadecimal digits": NODE_SETTINGS
    + b"[listen]\nlocal_port = 0x"
    + b"f" * 5000,
    "empty": b"",
    "not UTF-8": NODE_SETTINGS + b"# \xff\n",
    "two megabytes": NODE_SETTINGS + b"#" * 2_000_000,
}


class BadInputTests(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder)

    def write(self, name, content):
        path = self.folder / name
        path.write_bytes(content)
        return str(path)

    def run_command(self, *arguments):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            status = main(list(arguments))
        return status, errors.getvalue()

    def assert_clear_report(self, status, report, file):
        self.assertEqual(status, 2)
        self.assertNotIn("Traceback", report)
        for line in report.splitlines():
            self.assertTrue(line.startswith(f"rattanworks: {file}"), line)
            self.assertRegex(line, "expected .*, found .*; ")

    def test_check_reports_faulty_lists(self):
        for name, (customers, plans) in FAULTY_LISTS_BY_NAME.items():
            with self.subTest(name):
                paths = [
                    self.write("customers.toml", customers),
                    self.write("plans.toml", plans),
                ]
                status, report = self.run_command("check", *paths)
                self.assert_clear_report(status, report, self.folder)

    def test_apply_checks_the_lists_before_it_contacts_the_store(self):
        customers, plans = FAULTY_LISTS_BY_NAME["unknown plan"]
        paths = [
            self.write("customers.toml", customers),
            self.write("plans.toml", plans),
        ]
        status, report = self.run_command("apply", *paths, "--store", "127.0.0.1:1")
        self.assert_clear_report(status, report, self.folder)

    def test_node_reports_faulty_settings(self):
        for name, content in FAULTY_SETTINGS_BY_NAME.items():
            with self.subTest(name):
                path = self.write("node.toml", content)
                status, report = self.run_command("node", "--settings", path)
                self.assert_clear_report(status, report, path)

    def test_a_missing_file_is_reported(self):
        path = str(self.folder / "absent.toml")
        status, report = self.run_command("node", "--settings", path)
        self.assert_clear_report(status, report, path)

    def test_an_unreachable_store_is_refused_with_a_remedy(self):
        paths = [
            self.write("customers.toml", CUSTOMERS),
            self.write("plans.toml", PLANS),
        ]
        status, report = self.run_command("apply", *paths, "--store", "127.0.0.1:1")
        self.assertEqual(status, 1)
        self.assertEqual(len(report.splitlines()), 1)
