"""Header names, paths and formats of the platform, decoded in this package only."""

import re

REQUEST_ID = "X-Request-Id"
# Despite its name a duration: the milliseconds for which the sender still waits.
REQUEST_DEADLINE = "X-Request-Deadline"
# The only instance that may run the request; any other answers 421.
EXPECTED_INSTANCE = "X-Expected-Instance"
# The service of the host whose node took the request from its caller.
CALLER_SERVICE = "X-Caller-Service"
# In an answer: the backend server did not run the request.
NOT_EXECUTED = "X-Not-Executed"
# In an answer: proves which backend server made it, and from which body.
SIGNATURE = "X-Server-Signature"
# In an answer: the calls a second that the backend server takes from all hosts.
SERVER_LIMIT = "Server-Limit"
# In an answer: the backend server is about to stop.
SERVER_LEAVING = "Server-Leaving"

READY_PATH = "/rattanworks/ready"
INSTANCES_PATH = "/rattanworks/instances/"

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}
VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{1,15}")
MAX_SHOWN_LENGTH = 40


def parse_duration(text):
    """Return the seconds in a text such as 1500ms or 2.5s; raise ValueError."""
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration: expected a number with ms or s")
    return float(match[1]) * SECONDS_BY_UNIT[match[2]]


def render_duration(seconds):
    """Return a duration in the platform's format, in whole milliseconds."""
    return f"{round(seconds * 1000)}ms"


def parse_version(text):
    """Return a configuration version from hexadecimal digits; raise ValueError."""
    if not VERSION_PATTERN.fullmatch(text):
        raise ValueError(
            f"{text[:MAX_SHOWN_LENGTH]!r} is not a version: expected up to 15 "
            "hexadecimal digits"
        )
    return int(text, 16)


def header_key(name):
    """Return the key of a header in the WSGI environ."""
    return "HTTP_" + name.upper().replace("-", "_")
