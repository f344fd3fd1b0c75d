"""Golden files of whole sessions and their comparison."""

import difflib
import os
import re
from pathlib import Path

FOLDER = Path(__file__).parent
REWRITE_VARIABLE = "RATTANWORKS_REWRITE_GOLDEN"

# Values that vary between runs are replaced by a placeholder, never removed.
REPLACEMENTS = (
    (re.compile(r"\b127\.0\.0\.1:\d+\b"), "<address>"),
    (re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(\+00:00|Z)?"), "<time>"),
    (re.compile(r"\b[0-9a-f]{12,64}\b"), "<hash>"),
    (re.compile(r"\b\d+\.\d+ ms\b"), "<number> ms"),
    (re.compile(r"\b\d+\.\d+ s\b"), "<number> s"),
    (re.compile(r"\b\d+(\.\d+)?%"), "<number>%"),
    (re.compile(r"\b\d+ s left\b"), "<number> s left"),
    (re.compile(r"Retry-After: \d+\.\d{3}\b"), "Retry-After: <seconds>"),
    (re.compile(r"reason='[^']*'"), "reason='<reason>'"),
    (re.compile(r"(, ended <time>), .*"), r"\1, <reason>"),
)


def normalise(text):
    """Replace addresses, times, hashes and measured figures by placeholders."""
    for pattern, replacement in REPLACEMENTS:
        text = pattern.sub(replacement, text)
    return text


def assert_golden(test, name, text):
    """Compare a session with its golden file.

    Rewrites the file first if the environment variable REWRITE_VARIABLE is set.
    """
    path = FOLDER / f"{name}.txt"
    actual = normalise(text)
    if os.environ.get(REWRITE_VARIABLE):
        path.write_text(actual, encoding="utf-8")
    expected = path.read_text(encoding="utf-8")
    if actual != expected:
        difference = difflib.unified_diff(
            expected.splitlines(), actual.splitlines(), "golden", "session", lineterm=""
        )
        test.fail("the session differs from its golden file:\n" + "\n".join(difference))
