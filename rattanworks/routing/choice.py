"""Choice of an endpoint among those that serve a version."""

import random
import threading
from collections import Counter
from dataclasses import dataclass

from rattanworks.routing.outliers import OutlierDetector
from rattanworks.routing.response_times import ResponseTimes

SAMPLED_ENDPOINTS = 2
BASE_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 30.0
SLOW_START_SECONDS = 5.0
SLOW_START_MIN_SHARE = 0.1
# A reported load decays linearly to 0 in this time: queues drain within a few
# hundred milliseconds.
LOAD_DECAY_SECONDS = 0.5
# A load and the monotonic time at which it was reported.
NO_LOAD = (0.0, 0.0)
# Bounds the loads kept by node and route; all are dropped when it is reached.
MAX_LOADS = 8192
# Sending a larger body to a farther endpoint costs more than a short wait in a
# near queue.
LARGE_BODY_BYTES = 16 * 1024
OWN_LOAD_LIMIT = 0.75


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Cost thresholds of the choice, as fractions of an endpoint's slots.

    ``spill_cost`` is the cost at which no slot is free: a farther group is
    considered only when the nearer one costs at least that. Above ``refusal_cost``
    an endpoint is likely to refuse the call, so that neither a call that was refused
    before nor one that leaves its nearer group is sent there. A farther group must
    cost less by ``farther_margin``, or by ``large_body_margin`` for large bodies, so
    that calls stay near when all endpoints are equally loaded.
    """

    spill_cost: float = 1.0
    refusal_cost: float = 1.5
    farther_margin: float = 1.0
    large_body_margin: float = 2.0


class EndpointChooser:
    """Picks the cheaper of two random endpoints, nearer groups first.

    The groups are the node's failure domain, its region and all endpoints. The
    cost of an endpoint is the larger of this node's calls in flight there and the
    load reported by the latest answer for the route, both as fractions of its
    slots, times its relative response time. The two are not added, because the
    reported load includes this node's calls. A farther group is considered when
    the cheaper candidate of the nearer one costs ``spill_cost`` or more, and is
    used only if it is cheaper by a margin. ``own_load()`` returns the load of this
    node's own endpoint.

    Load pattern: overload everywhere. Without the margin, calls are sent to other
    failure domains only to be refused there, by queues as full as the near ones.
    """

    def __init__(self, host, clock, own_load=None, rng=None, settings=None):
        self._host = host
        self._clock = clock
        self._own_load = own_load
        self._random = rng or random.Random()
        self._settings = settings or ChoiceSettings()
        self._lock = threading.Lock()
        self._outliers = OutlierDetector(clock)
        self._in_flight_by_node = Counter()
        self._loads_by_key = {}
        self._response_times = ResponseTimes()
        self._avoided_until_by_node = {}
        self._avoidances_by_node = Counter()
        self._endpoints_by_service = {}
        self._first_seen_by_key = {}
        self._slow_starts_end_at = 0.0

    def choose(self, endpoints, tried=(), body_bytes=0, needs_capacity=False, route=""):
        """Return an endpoint whose node is not in ``tried``, or None.

        With ``needs_capacity``, return None rather than an endpoint that is likely
        to refuse the call.

        Load pattern: every queue is full. A call that was refused once is refused
        everywhere, each time after a network hop, and its caller gets the refusal
        late.
        """
        usable = self._usable(endpoints, tried)
        if not usable:
            return None
        self._record_new(endpoints)
        own = self._own_if_free(usable)
        if own is not None:
            return own
        is_large = body_bytes > LARGE_BODY_BYTES
        settings = self._settings
        margin = settings.large_body_margin if is_large else settings.farther_margin
        best, best_cost = None, None
        for group in self._nearest_first(usable):
            candidate, cost = self._better_of_two(group, route)
            if best is None or cost <= min(best_cost - margin, settings.refusal_cost):
                best, best_cost = candidate, cost
            if best_cost < settings.spill_cost:
                break
        return None if needs_capacity and best_cost > settings.refusal_cost else best

    def _usable(self, endpoints, tried):
        now = self._clock.monotonic()
        untried = [record for record in endpoints if record.node not in tried]
        reachable = untried
        if self._avoided_until_by_node:
            reachable = [r for r in untried if not self._is_avoided(r, now)]
        healthy = self._outliers.without_ejected(reachable)
        return healthy or reachable or untried

    def _own_if_free(self, usable):
        # A call served by this node's own endpoint needs no hop to another node.
        if self._own_load is None:
            return None
        for record in usable:
            if record.node == self._host.name:
                slowness = self._response_times.factor(record.node, record.service)
                return record if self._own_load() * slowness < OWN_LOAD_LIMIT else None
        return None

    def _nearest_first(self, usable):
        host = self._host
        groups = [[r for r in usable if r.failure_domain == host.failure_domain]]
        groups.append([r for r in usable if r.region == host.region])
        groups.append(usable)
        return [group for group in groups if group]

    def _better_of_two(self, group, route):
        pool = self._sample_slow_start(group)
        candidates = self._random.sample(pool, min(SAMPLED_ENDPOINTS, len(pool)))
        costs = [self._cost(record, route) for record in candidates]
        lowest = min(costs)
        return candidates[costs.index(lowest)], lowest

    def _sample_slow_start(self, group):
        """Return the group without some endpoints in slow start, drawn at random."""
        now = self._clock.monotonic()
        if now >= self._slow_starts_end_at:
            return group
        sampled = [
            r for r in group if self._random.random() < self._slow_start_share(r, now)
        ]
        return sampled or group

    def _slow_start_share(self, record, now):
        seen_at = self._first_seen_by_key.get((record.node, record.incarnation), now)
        return max(SLOW_START_MIN_SHARE, (now - seen_at) / SLOW_START_SECONDS)

    def _record_new(self, endpoints):
        # A change to any endpoint replaces the tuple, so comparing identity suffices.
        service = endpoints[0].service
        if self._endpoints_by_service.get(service) is endpoints:
            return
        now = self._clock.monotonic()
        with self._lock:
            is_first = service not in self._endpoints_by_service
            self._endpoints_by_service[service] = endpoints
            for record in endpoints:
                key = (record.node, record.incarnation)
                if key not in self._first_seen_by_key:
                    # Endpoints of a service new to this node skip the slow start.
                    self._first_seen_by_key[key] = now - is_first * SLOW_START_SECONDS
                    if not is_first:
                        self._slow_starts_end_at = now + SLOW_START_SECONDS

    def started(self, record):
        """Count a call to the endpoint as in flight."""
        with self._lock:
            self._in_flight_by_node[record.node] += 1

    def ended(self, record, load=None, is_failed=False, seconds=None, route=""):
        """Record the end of a call and the load that its answer reported.

        ``load`` applies to calls of the same ``route``; it is None without an answer.
        ``seconds`` is the time to a backend server's answer, None without one.
        """
        node = record.node
        if seconds is not None:
            self._response_times.record(node, record.service, seconds)
        with self._lock:
            self._in_flight_by_node[node] -= 1
            if load is not None:
                self._record_load(node, route, load)
                self._avoidances_by_node.pop(node, None)
                self._avoided_until_by_node.pop(node, None)
        self._outliers.record(node, is_failed)

    def _record_load(self, node, route, load):
        key = (node, route)
        if len(self._loads_by_key) >= MAX_LOADS and key not in self._loads_by_key:
            self._loads_by_key.clear()
        self._loads_by_key[key] = (load, self._clock.monotonic())

    def avoid(self, record):
        """Avoid an unreachable endpoint, twice as long each time up to a maximum."""
        with self._lock:
            previous = self._avoidances_by_node[record.node]
            self._avoidances_by_node[record.node] += 1
            seconds = min(MAX_AVOID_SECONDS, BASE_AVOID_SECONDS * 2**previous)
            until = self._clock.monotonic() + seconds
            self._avoided_until_by_node[record.node] = until

    def _is_avoided(self, record, now):
        return now < self._avoided_until_by_node.get(record.node, 0.0)

    def _cost(self, record, route):
        in_flight = self._in_flight_by_node[record.node] / max(1, record.slots)
        load, reported_at = self._loads_by_key.get((record.node, route), NO_LOAD)
        age = self._clock.monotonic() - reported_at
        load *= max(0.0, 1.0 - age / LOAD_DECAY_SECONDS)
        return max(in_flight, load) * self._response_times.factor(
            record.node, record.service
        )
