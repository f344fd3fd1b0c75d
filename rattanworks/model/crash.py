"""Reports of calls that were running on a backend server when it crashed."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from rattanworks.model.endpoint import Name

MAX_AGE_SECONDS = 86_400


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A call was running on a backend server when the server crashed.

    ``fingerprint`` is the same for all calls with the same content. ``server``
    identifies the run of the backend server. ``age_seconds`` is the time since the
    crash when the report is sent. ``is_cleared`` is set once such a call has ended well
    on another server.
    """

    fingerprint: Name
    server: Name
    age_seconds: Annotated[float, Meta(ge=0, le=MAX_AGE_SECONDS)]
    is_cleared: bool = False

    @property
    def key(self):
        """Return what identifies the report whatever its age."""
        return (self.fingerprint, self.server)
