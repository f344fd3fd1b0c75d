"""Runs tests and compares the failures with the list of known ones."""

import io
import multiprocessing
import os
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PATTERN = "*_tests.py"
# Tests that start processes of their own keep more than one processor busy.
PROCESSORS_PER_WORKER = 2
SLOW_PACKAGES = (
    "rattanworks.tests.bench.",
    "rattanworks.tests.commands.",
    "rattanworks.tests.node.",
)


@dataclass(frozen=True, slots=True)
class RunSummary:
    """Whether a run is green, and the lines that are printed about it."""

    is_green: bool
    lines: tuple[str, ...]


class RecordingResult(unittest.TextTestResult):
    """Records the id of each test that ran."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.ran_ids = set()

    def startTest(self, test):
        """Record the test before it runs."""
        super().startTest(test)
        self.ran_ids.add(test.id())


def known_red_ids(text):
    """Return the test ids listed in the text of KNOWN-RED.txt.

    An entry starts with its test id; lines that begin with ``#`` or a space are
    comments or the rest of an entry.
    """
    entries = [line for line in text.splitlines() if line and line[0] not in "# "]
    return {entry.split()[0].rstrip(":;,") for entry in entries}


def summarize(ran, failed, known):
    """Summarize a run by the ids of tests that ran, failed and are known to fail.

    A run is green when at least one test ran and only known failures occurred.
    """
    lines = [f"known red: {test_id}" for test_id in sorted(failed & known)]
    lines += [
        f"known red passed: {test_id}: take it off KNOWN-RED.txt"
        for test_id in sorted((known & ran) - failed)
    ]
    lines += [f"FAILED: {test_id}" for test_id in sorted(failed - known)]
    passed = len(ran - failed)
    lines.append(f"{passed} passed, {len(failed - known)} failed")
    return RunSummary(bool(ran) and not failed - known, tuple(lines))


def failed_ids(result):
    """Return the ids of the tests that failed; a subtest counts as its test."""
    tests = [test for test, _ in (*result.failures, *result.errors)]
    tests += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in tests}


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of running the tests of one name."""

    name: str
    ran: frozenset[str]
    failed: frozenset[str]
    report: str


def run_one(name):
    """Run the tests of one name in this process and return the Outcome."""
    stream = io.StringIO()
    suite = unittest.TestLoader().loadTestsFromName(name)
    runner = unittest.TextTestRunner(stream=stream, resultclass=RecordingResult)
    result = runner.run(suite)
    return Outcome(
        name,
        frozenset(result.ran_ids),
        frozenset(failed_ids(result)),
        stream.getvalue(),
    )


def module_names():
    """Return the names of all test modules."""
    paths = sorted((ROOT / "rattanworks" / "tests").rglob(PATTERN))
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def slowest_first(names):
    """Return the names sorted so that packages that start many processes come first."""
    return sorted(names, key=lambda name: not name.startswith(SLOW_PACKAGES))


def run(names):
    """Run the named tests, or all, in parallel; return the exit status.

    Each name gets a process of its own, so that modules share no state.
    """
    names = slowest_first(names or module_names())
    known_red = KNOWN_RED.read_text("utf-8") if KNOWN_RED.exists() else ""
    workers = max(1, (os.cpu_count() or 1) // PROCESSORS_PER_WORKER)
    with ProcessPoolExecutor(
        workers, multiprocessing.get_context("spawn"), max_tasks_per_child=1
    ) as executor:
        outcomes = list(executor.map(run_one, names))
    for outcome in outcomes:
        if outcome.failed:
            print(f"{outcome.name}\n{outcome.report}")
    ran = frozenset().union(*(outcome.ran for outcome in outcomes))
    failed = frozenset().union(*(outcome.failed for outcome in outcomes))
    summary = summarize(ran, failed, known_red_ids(known_red))
    print("\n".join(summary.lines))
    return 0 if summary.is_green else 1
