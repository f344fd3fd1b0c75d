"""What a backend server says of itself with an answer to a call."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """A backend server's notice to the node beside it.

    ``calls_per_second`` is the most that it takes from all entries together, None when
    it names no limit. ``is_limit_readable`` is False when it names one that cannot be
    read; what it named before then holds. ``is_leaving`` is set when the server is
    about to stop.
    """

    calls_per_second: float | None = None
    is_limit_readable: bool = True
    is_leaving: bool = False
