"""Simulates moves: feeds generated call outcomes to the real decision code.

The routing table, the evidence at owners, the collector, the decision and the
driver are the real code. Callers, backend servers, the store and the clock are
simulated.
"""

import math
import random
from dataclasses import dataclass

from rattanworks.bench.move_kinds import ROUTE_WEIGHTS, ROUTES, ReferenceDetector
from rattanworks.exceptions import StoreConflictError, StoreUnavailableError
from rattanworks.model.call import Answer, Call
from rattanworks.model.endpoint import EndpointRecord, EndpointState
from rattanworks.model.service import Move, MoveStatus, ServiceState
from rattanworks.moves.driver import MoveDriver
from rattanworks.moves.evidence import EvidenceLog
from rattanworks.moves.record import ServiceRecords
from rattanworks.ports.base import ABSENT, Clock
from rattanworks.routing.table import ServiceTarget
from rattanworks.standins.store import MemoryStore, TransactionConflictError
from rattanworks.utils.precedence_table import PrecedenceTable

SERVICE = "service"
OLD, NEW = "v1", "v2"
MEDIAN_SECONDS = 0.01
LOOK_OFFSET_SECONDS = 0.2
LOAD_TIME_CONSTANT_SECONDS = 2.0
ROLE_ACQUISITION_SECONDS = 2.0
FAILOVER_SECONDS = (6.0, 9.0)
HOST_SPEED_SIGMA = 0.03
GRACE_SHARE = 0.5
STARTED_AT = 1_000_000.0


class SimulatedClock(Clock):
    """A clock that the trial sets."""

    def __init__(self):
        self.time = STARTED_AT

    def monotonic(self):
        """Return simulated seconds."""
        return self.time

    def now(self):
        """Return simulated seconds."""
        return self.time


class SimulatedStore:
    """The store methods that a driver uses, on the in-memory stand-in store."""

    def __init__(self):
        self._memory = MemoryStore()
        self.is_down = False

    def get(self, key):
        """Return the StoreEntry at ``key`` or None."""
        self._require_up()
        return self._memory.get(key)

    def write_all(self, writes):
        """Apply all the Writes or none."""
        self._require_up()
        try:
            return self._memory.write_all(writes)
        except TransactionConflictError as error:
            write = writes[error.position]
            raise StoreConflictError(
                write.key, write.expected_revision, error.actual
            ) from error

    def _require_up(self):
        if self.is_down:
            raise StoreUnavailableError("the store is down; try again later")


class _MembersView:
    """The members as one owner sees them."""

    def __init__(self, own, by_node):
        self.own = own
        self.by_node = by_node


@dataclass(frozen=True, slots=True)
class TrialResult:
    """How one trial ended; times in seconds.

    ``is_shown`` says whether the ReferenceDetector detected the bad version.
    ``seconds_shown_to_none`` counts from that detection, and
    ``seconds_first_bad_to_none`` from the first bad call, to the last call of the new
    version; both are None if the version was not taken back or that moment never came.
    ``first_stage_share`` is the new version's largest share at its calls of the first
    stage, ``share_before_shown`` that at bad calls up to the detection. ``shares`` has
    a (seconds, share of the new version) pair for each second.
    """

    scenario: object
    status: MoveStatus
    ended_after: float
    in_time: bool
    first_stage_share: float
    share_before_shown: float
    is_shown: bool
    seconds_shown_to_none: float | None
    seconds_first_bad_to_none: float | None
    bad_calls: int
    reason: str
    shares: tuple[tuple[float, float], ...] = ()


class Trial:
    """Simulates one scenario until its move ends or is late by half of its time."""

    def __init__(self, scenario, settings):
        self._scenario = scenario
        self._settings = settings
        self._random = random.Random(f"feed/{scenario.kind}/{scenario.seed}")
        self._clock = SimulatedClock()
        self._services = PrecedenceTable(lambda state: state.service)
        self._records = ServiceRecords(SimulatedStore())
        self._detector = ReferenceDetector(scenario)
        self._endpoints = self._make_endpoints()
        by_node = {record.node: record for record in self._endpoints}
        self._members = _MembersView(self._endpoints[0], by_node)
        self._logs_by_node = {
            record.node: EvidenceLog(
                _MembersView(record, by_node),
                self._services,
                self._clock,
                settings.warm_up_seconds,
            )
            for record in self._endpoints
        }
        self._host_factor_by_node = {
            node: math.exp(self._random.gauss(0.0, HOST_SPEED_SIGMA))
            for node in by_node
        }
        self._first_call_by_node = {}
        self._calls = self._make_calls()
        self._driver = None
        self._driver_starts_at = STARTED_AT + ROLE_ACQUISITION_SECONDS
        self._first_stage_share = 0.0
        self._share_before_shown = 0.0
        self._last_new_call_at = None
        self._bad_calls = 0
        self._load_by_node = {}
        self._shares = []

    def _make_endpoints(self):
        return [
            EndpointRecord(
                node=f"{version}-{number}",
                incarnation=1,
                sequence=1,
                state=EndpointState.SERVING,
                region="region",
                failure_domain="domain",
                control_address="",
                peers_address="",
                service=SERVICE,
                version=version,
            )
            for version in (OLD, NEW)
            for number in range(self._scenario.endpoints)
        ]

    def _make_calls(self):
        return {
            (route, version): Call(
                "", "", "", 1, SERVICE, route, "GET", route, (), b"", 0.0, version
            )
            for route in ROUTES
            for version in (OLD, NEW)
        }

    def run(self):
        """Return the TrialResult."""
        self._start_move()
        scenario = self._scenario
        limit = scenario.move_seconds * (1.0 + GRACE_SHARE)
        for second in range(1, int(limit) + 1):
            self._simulate_second(STARTED_AT + second - 1)
            self._clock.time = STARTED_AT + second
            self._look(second)
            self._shares.append((second, self._share()))
            if not self._state.is_moving:
                break
        return self._result()

    @property
    def _state(self):
        return self._services.rows_by_name[SERVICE]

    def _share(self):
        move = self._state.move
        shares_by_status = {MoveStatus.DONE: 1.0, MoveStatus.TAKEN_BACK: 0.0}
        return shares_by_status.get(move.status, move.share)

    def _start_move(self):
        move = Move(
            "id",
            OLD,
            NEW,
            "bench",
            STARTED_AT,
            STARTED_AT + self._scenario.move_seconds,
        )
        state = ServiceState(SERVICE, 2, OLD, move)
        self._records.write(state, ABSENT)
        self._services.merge((state,))

    def _simulate_second(self, start):
        target = self._target()
        rate = self._scenario.calls_per_second
        for offset in self._arrivals(rate):
            self._clock.time = start + offset
            self._simulate_call(target)

    def _target(self):
        return ServiceTarget.of(SERVICE, self._state, self._endpoints)

    def _arrivals(self, rate):
        offset = self._random.expovariate(rate)
        while offset < 1.0:
            yield offset
            offset += self._random.expovariate(rate)

    def _simulate_call(self, target):
        route = self._random.choices(ROUTES, ROUTE_WEIGHTS)[0]
        version = target.choose_version(self._random.random())
        if version == NEW and not self._try_version(target, route, NEW):
            version = OLD
        if version == OLD:
            self._try_version(target, route, OLD)

    def _try_version(self, target, route, version):
        record = self._random.choice(target.endpoints(version))
        log = self._logs_by_node[record.node]
        call = self._calls[route, version]
        if log.refusal(call) is not None:
            return False
        fails, log_latency = self._outcome(record, route)
        seconds = MEDIAN_SECONDS * math.exp(log_latency)
        log.observe(call, Answer(500 if fails else 200), seconds)
        return True

    def _outcome(self, record, route):
        scenario, now = self._scenario, self._clock.time
        fail_share = scenario.base_failure_share
        factor = self._host_factor_by_node[record.node]
        if self._is_disturbed(now):
            fail_share = max(fail_share, scenario.disturbance_fail_share)
            factor *= scenario.disturbance_slow_factor
        is_bad = False
        if record.version == NEW:
            factor *= self._cold_factor(record, now)
            is_bad = self._is_bad(record, route, now)
        if is_bad:
            fail_share = max(fail_share, scenario.fail_share)
            factor *= scenario.slow_factor
        fails = self._random.random() < fail_share
        log_latency = math.log(factor) + self._random.gauss(0.0, scenario.sigma)
        if record.version == NEW:
            warm_at = self._first_call_by_node[record.node]
            warm_at += self._settings.warm_up_seconds
            self._record_new_version_call(
                now, is_bad, fails, log_latency, now < warm_at
            )
        return fails, log_latency

    def _record_new_version_call(self, now, is_bad, fails, log_latency, may_be_cold):
        self._last_new_call_at = now
        move = self._state.move
        if not move.stage:
            self._first_stage_share = max(self._first_stage_share, move.share)
        if not is_bad:
            return
        self._bad_calls += 1
        if self._detector.detectable_at is None:
            self._share_before_shown = max(self._share_before_shown, move.share)
        self._detector.observe(now, fails, log_latency, may_be_cold)

    def _is_disturbed(self, now):
        since = now - STARTED_AT - self._scenario.disturbed_from
        is_enabled = self._scenario.disturbed_from >= 0
        return is_enabled and 0 <= since < self._scenario.disturbed_seconds

    def _cold_factor(self, record, now):
        first = self._first_call_by_node.setdefault(record.node, now)
        is_cold = now - first < self._scenario.cold_seconds
        return self._scenario.cold_factor if is_cold else 1.0

    def _is_bad(self, record, route, now):
        scenario = self._scenario
        load = self._load_of(record, now)
        if scenario.is_good or route not in scenario.bad_routes:
            return False
        if now - STARTED_AT < scenario.bad_from:
            return False
        full = scenario.calls_per_second / scenario.endpoints
        return load >= scenario.load_threshold * full

    def _load_of(self, record, now):
        # Calls per second of one endpoint, as an exponentially decaying average.
        load, at = self._load_by_node.get(record.node, (0.0, now))
        load = (
            load * math.exp((at - now) / LOAD_TIME_CONSTANT_SECONDS)
            + 1.0 / LOAD_TIME_CONSTANT_SECONDS
        )
        self._load_by_node[record.node] = (load, now)
        return load

    def _look(self, second):
        self._kill_holder_when_due(second)
        if self._driver is None:
            if self._clock.time < self._driver_starts_at:
                return
            self._driver = self._new_driver()
            self._driver.attach()
            return
        for record in self._endpoints:
            report = self._logs_by_node[record.node].report(self._state)
            self._driver.collector.receive(report)
        self._clock.time += LOOK_OFFSET_SECONDS
        self._driver.look()

    def _new_driver(self):
        return MoveDriver(
            self._state,
            self._random.choice(self._endpoints).node,
            self._services,
            self._members,
            self._records,
            self._clock,
            self._settings,
        )

    def _kill_holder_when_due(self, second):
        killed_at = self._scenario.holder_killed_at
        if killed_at >= 0 and second == int(killed_at) + 1:
            self._driver = None
            pause = self._random.uniform(*FAILOVER_SECONDS)
            self._driver_starts_at = self._clock.time + pause

    def _result(self):
        state = self._state
        detector = self._detector
        last = self._last_new_call_at
        is_taken_back = state.move.status == MoveStatus.TAKEN_BACK
        shown = first = None
        if is_taken_back and detector.detectable_at is not None:
            shown = max(0.0, last - detector.detectable_at)
        if is_taken_back and detector.first_bad_call_at is not None:
            first = max(0.0, last - detector.first_bad_call_at)
        return TrialResult(
            scenario=self._scenario,
            status=state.move.status,
            ended_after=self._clock.time - STARTED_AT,
            in_time=self._clock.time - STARTED_AT <= self._scenario.move_seconds,
            first_stage_share=self._first_stage_share,
            share_before_shown=self._share_before_shown,
            is_shown=detector.detectable_at is not None,
            seconds_shown_to_none=shown,
            seconds_first_bad_to_none=first,
            bad_calls=self._bad_calls,
            reason=state.move.reason,
            shares=tuple(self._shares),
        )


def run_trial(scenario, settings):
    """Return the TrialResult of one scenario."""
    return Trial(scenario, settings).run()
