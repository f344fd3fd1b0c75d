"""Announcements of a backend server to the node beside it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Announcement:
    """A backend server's description of itself.

    ``slots`` is the number of calls it runs at once, ``connections`` the number of
    connections it accepts. ``instance`` differs for each start of the server. A
    server that repeats its announcement every ``heartbeat_seconds`` is considered
    dead when the announcements stop; 0 means that it does not repeat them.
    ``started_at`` distinguishes starts that share an ``instance``; it is 0 when the
    server does not report it.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int
    instance: str = ""
    heartbeat_seconds: float = 0.0
    started_at: int = 0

    @property
    def identity(self):
        """Return the key that identifies this run of the server."""
        return (self.address, self.instance, self.started_at)


@dataclass(frozen=True, slots=True)
class Report:
    """An announcement that may arrive late; ``sequence`` increases with each one."""

    announcement: Announcement
    sequence: int
    is_leaving: bool
