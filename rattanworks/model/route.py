"""Routes from requests to services, and the limits that apply to them."""

import enum
from dataclasses import dataclass

ANY_HOST = ""
NO_LIMIT = 0
# Stands for the service of a route that names none. No endpoint serves it, so calls
# of such a route are refused with 503.
NO_SERVICE = "no-service"


class RouteKind(enum.StrEnum):
    """Which calls of a route may be repeated.

    BY_METHOD decides by the HTTP method. UPLOAD is for large request bodies and is
    otherwise treated as NON_IDEMPOTENT, DOWNLOAD for large answers and is otherwise
    treated as IDEMPOTENT.
    """

    BY_METHOD = "by-method"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's calls in proportion to ``weight``."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with ``prefix``.

    ``host`` is ANY_HOST for all hosts. ``timeout_seconds`` is the longest time
    that a caller waits, ``objective_seconds`` the time within which an answer has
    its full value; both are NO_LIMIT when unset. ``attempts`` is the largest number
    of endpoints that one call is sent to, NO_LIMIT for the entry's default.
    ``priority`` is None for that of the plan; lower numbers are served first.
    """

    name: str
    prefix: str
    services: tuple[WeightedService, ...]
    host: str = ANY_HOST
    kind: RouteKind = RouteKind.BY_METHOD
    timeout_seconds: float = NO_LIMIT
    objective_seconds: float = NO_LIMIT
    attempts: int = NO_LIMIT
    priority: int | None = None

    def choose_service(self, fraction):
        """Return the service for a call; ``fraction`` is drawn from [0, 1)."""
        remaining = fraction * sum(part.weight for part in self.services)
        for part in self.services:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's connection; times are in seconds.

    ``header_seconds`` is the time within which the header of a request must arrive,
    ``idle_seconds`` the time for which a connection without a request is kept open.
    """

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 30.0
    idle_seconds: float = 300.0


DEFAULT_LIMITS = CallerLimits()
