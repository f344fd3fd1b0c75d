"""Announcements of a backend server to the node beside it."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from rattanworks.model.endpoint import Counter, Name

# A server runs one call at a time on a connection, and an address has so many ports.
MAX_SLOTS = 65_535
MAX_HEARTBEAT_SECONDS = 3600

Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


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

    service: Name
    version: Name
    address: Name
    slots: Slots
    connections: Slots
    instance: Name = ""
    heartbeat_seconds: Annotated[float, Meta(ge=0, le=MAX_HEARTBEAT_SECONDS)] = 0.0
    started_at: Counter = 0

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
