"""What a trial of the load model plays: services, kinds of requests, troubles."""

import enum
from dataclasses import dataclass

from rattanworks.model.route import RouteKind


@dataclass(frozen=True, slots=True)
class ServiceModel:
    """A service; ``domains`` has the failure domain of each of its endpoints.

    ``paces`` are factors on the time of each run, one is drawn for an endpoint.
    """

    name: str
    domains: tuple[str, ...]
    slots: int
    paces: tuple[float, ...] = (1.0,)


@dataclass(frozen=True, slots=True)
class CallModel:
    """Calls that a run makes: ``times`` at once, in a ``share`` of the runs."""

    kind: str
    times: int = 1
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class KindModel:
    """A kind of request; times in seconds, sizes in bytes.

    Runs last ``work`` on average, log-normal with ``spread``. ``per_second`` is
    the rate of first attempts in all domains, 0 for calls of other runs.
    ``returns`` is how often a caller tries again.
    """

    name: str
    service: str
    work: float
    objective: float
    timeout: float
    per_second: float = 0.0
    spread: float = 0.5
    worth: float = 1.0
    late_worth: float = 0.5
    priority: int = 1
    route_kind: RouteKind = RouteKind.IDEMPOTENT
    returns: int = 1
    request_bytes: int = 200
    answer_bytes: int = 1500
    calls: CallModel | None = None


class TroubleKind(enum.StrEnum):
    """What can happen during a trial."""

    BURST = "burst"
    RETRY_STORM = "retry_storm"
    SLOW = "slow"
    GONE = "gone"
    SHEDDING = "shedding"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class Trouble:
    """A trouble from ``at`` for ``seconds``.

    ``factor`` is how many times as many requests (BURST), as long runs (SLOW) or
    attempts (RETRY_STORM), or the part of calls that a backend server turns away
    or fails. ``share`` is the part of a service's endpoints, or of the callers.
    """

    kind: TroubleKind
    at: float
    seconds: float
    factor: float = 2.0
    share: float = 1.0
    service: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load pattern, played for ``seconds`` with ``load`` times the rates."""

    name: str
    domains: tuple[str, ...]
    services: tuple[ServiceModel, ...]
    kinds: tuple[KindModel, ...]
    troubles: tuple[Trouble, ...] = ()
    seconds: float = 8.0
    load: float = 1.0

    @property
    def kinds_by_name(self):
        """Return the kinds of requests by their names."""
        return {kind.name: kind for kind in self.kinds}
