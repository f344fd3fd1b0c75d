"""Reads what a backend server says of itself in the headers of an answer."""

import re

from rattanworks.model.notice import ServerNotice
from rattanworks.platform.names import SERVER_LEAVING, SERVER_LIMIT
from rattanworks.utils.logging import log_event

DECIMAL_PATTERN = re.compile(r"\d+(?:\.\d*)?|\.\d+", re.ASCII)
# Far above what any server takes; a higher number is an error of its sender.
MAX_CALLS_PER_SECOND = 1e6
LEAVING_VALUE = "1"
MAX_LOGGED_LENGTH = 40


def read_notice(headers, address):
    """Return the ServerNotice in the headers of an answer of the server at ``address``.

    A value that cannot be read is logged and has no effect.
    """
    limits = _values(headers, SERVER_LIMIT)
    limit = _parse_limit(limits)
    is_limit_readable = limit is not None or not limits
    if not is_limit_readable:
        _log_unreadable(address, SERVER_LIMIT, limits)
    leaving = _values(headers, SERVER_LEAVING)
    is_leaving = set(leaving) == {LEAVING_VALUE}
    if leaving and not is_leaving:
        _log_unreadable(address, SERVER_LEAVING, leaving)
    return ServerNotice(limit, is_limit_readable, is_leaving)


def _values(headers, wanted):
    wanted = wanted.lower()
    return [value.strip() for name, value in headers if name.lower() == wanted]


def _parse_limit(values):
    """Return the only value as a number, None when it is none or out of bounds."""
    if len(values) != 1 or not DECIMAL_PATTERN.fullmatch(values[0]):
        return None
    limit = float(values[0])
    return limit if limit <= MAX_CALLS_PER_SECOND else None


def _log_unreadable(address, header, values):
    log_event(
        "backend-notice-unreadable",
        address=address,
        header=header,
        value=", ".join(values)[:MAX_LOGGED_LENGTH],
    )
