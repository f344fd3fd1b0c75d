"""Tables in the docs list exactly what the code defines."""

import re
import unittest

from rattanworks.bench.capacity import read_slopes, render_table, work_out
from rattanworks.commands import COMMANDS
from rattanworks.settings.base import Table
from rattanworks.settings.node import NODE
from rattanworks.tests.runner import ROOT

PACKAGE = ROOT / "rattanworks"
ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)
DEFAULT = re.compile(r"^\| `([^`]+)` \| ([^|]+?) \|", re.MULTILINE)
LINK = re.compile(r"\]\((?!https?:)([^)#]+)")
EVENT = re.compile(r'log_event\(\s*"([^"]+)"')
METRIC = re.compile(r'"(rattanworks_[a-z_]+)"')


def sources():
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" not in path.parts:
            yield path.read_text("utf-8")


def find_all(pattern):
    return {name for source in sources() for name in pattern.findall(source)}


def settings_options(table, prefix=""):
    for name, option in table.options.items():
        if isinstance(option, Table):
            yield from settings_options(option, f"{prefix}{name}.")
        else:
            yield prefix + name, option


def settings_keys(table):
    return [key for key, _ in settings_options(table)]


def format_default(option):
    if option.is_required:
        return "required"
    if option.default in ((), ""):
        return "none"
    if isinstance(option.default, bool):
        return str(option.default).lower()
    is_number = isinstance(option.default, int | float)
    return f"{option.default:.10g}" if is_number else option.default


class TableTests(unittest.TestCase):
    def assert_documented(self, page, names):
        names = set(names)
        path = ROOT / "docs" / page
        found_rows = ROW.findall(path.read_text("utf-8"))
        rows = set(found_rows)
        self.assertEqual(len(found_rows), len(rows), f"a row twice in docs/{page}")
        self.assertEqual(names - rows, set(), f"add a row each to docs/{page}")
        self.assertEqual(rows - names, set(), f"take these off docs/{page}")

    def test_each_log_event_has_a_row(self):
        self.assert_documented("user-guide/logs.md", find_all(EVENT))

    def test_each_metric_has_a_row(self):
        self.assert_documented("user-guide/metrics.md", find_all(METRIC))

    def test_each_setting_has_a_row(self):
        self.assert_documented("user-guide/settings.md", settings_keys(NODE))

    def test_each_default_is_as_its_row_says(self):
        text = (ROOT / "docs/user-guide/settings.md").read_text("utf-8")
        documented_by_key = dict(DEFAULT.findall(text))
        for key, option in settings_options(NODE):
            with self.subTest(key):
                self.assertEqual(
                    documented_by_key[key].strip("`"), format_default(option)
                )

    def test_each_command_has_a_row(self):
        names = [command.name for command in COMMANDS]
        self.assert_documented("user-guide/commands.md", names)

    def test_the_capacity_table_is_worked_out_from_the_slopes(self):
        page = (ROOT / "docs/CAPACITY.md").read_text("utf-8")
        rows = work_out(read_slopes(ROOT / "docs/capacity-slopes.toml"))
        self.assertIn(render_table(rows), page)

    def test_each_test_named_as_proof_exists(self):
        page = (ROOT / "docs/PROOF.md").read_text("utf-8")
        named = set(re.findall(r"`([a-z_]+(?:\.[a-z_]+)*_tests)`", page))
        self.assertTrue(named)
        for name in named:
            with self.subTest(name):
                path = PACKAGE / "tests" / (name.replace(".", "/") + ".py")
                self.assertTrue(path.exists())

    def test_links_between_pages_lead_somewhere(self):
        for page in [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]:
            for target in LINK.findall(page.read_text("utf-8")):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())
