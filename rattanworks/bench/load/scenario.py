"""Input of a trial: services, kinds of requests and disturbances."""

import enum
from dataclasses import dataclass

from rattanworks.model.route import RouteKind


@dataclass(frozen=True, slots=True)
class ServiceModel:
    """A service; ``domains`` has the failure domain of each of its endpoints.

    Each endpoint gets one of ``time_factors``, which multiplies the times of its runs.
    ``slots`` is per endpoint.
    """

    name: str
    domains: tuple[str, ...]
    slots: int
    time_factors: tuple[float, ...] = (1.0,)


@dataclass(frozen=True, slots=True)
class NestedCalls:
    """Calls that a run makes: ``count`` at once, in a ``share`` of the runs."""

    kind: str
    count: int = 1
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class KindModel:
    """A kind of request; times in seconds, sizes in bytes.

    Run times are log-normal with the mean ``mean_run_seconds`` and the standard
    deviation ``sigma`` of their logarithm, apart from a tail of slow runs.
    ``per_second`` is the rate of first attempts in all domains together, 0 for kinds
    that are only nested calls. ``utility`` is the value of an answer within
    ``objective``; a later one has ``late_factor`` times that value.
    """

    name: str
    service: str
    mean_run_seconds: float
    objective: float
    timeout: float
    per_second: float = 0.0
    sigma: float = 0.5
    utility: float = 1.0
    late_factor: float = 0.5
    priority: int = 1
    route_kind: RouteKind = RouteKind.IDEMPOTENT
    max_retries: int = 1
    request_bytes: int = 200
    answer_bytes: int = 1500
    calls: NestedCalls | None = None


class DisturbanceKind(enum.StrEnum):
    """Kinds of disturbances; GONE endpoints receive no calls."""

    BURST = "burst"
    RETRY_STORM = "retry_storm"
    SLOW = "slow"
    GONE = "gone"
    SHEDDING = "shedding"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A disturbance from ``start`` for ``seconds``.

    ``factor`` multiplies the request rate (BURST) or the run times (SLOW), is the
    number of additional retries (RETRY_STORM), or the share of calls that a backend
    server refuses (SHEDDING) or fails (FAILING). ``share`` is the part of the
    endpoints of ``service``, or of all if it is empty, that are disturbed; for a
    RETRY_STORM the part of the callers' requests.
    """

    kind: DisturbanceKind
    start: float
    seconds: float
    factor: float = 2.0
    share: float = 1.0
    service: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load pattern: requests for ``seconds`` at ``load`` times the given rates."""

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceModel, ...]
    kinds: tuple[KindModel, ...]
    disturbances: tuple[Disturbance, ...] = ()
    seconds: float = 8.0
    load: float = 1.0

    @property
    def kinds_by_name(self):
        """Return the kinds of requests by name."""
        return {kind.name: kind for kind in self.kinds}
