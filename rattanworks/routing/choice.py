"""Choice of one endpoint among those that serve a version."""

import random
import threading
from collections import Counter
from dataclasses import dataclass

from rattanworks.routing.outliers import OutlierDetector
from rattanworks.routing.speeds import Speeds

CANDIDATES = 2
BASE_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 30.0
SLOW_START_SECONDS = 5.0
SLOW_START_LEAST_SHARE = 0.1
# What an answer says of the load fades: a queue drains within some hundred ms.
LOAD_MEMORY_SECONDS = 0.5
# Load and the time at which it was seen.
NO_LOAD = (0.0, 0.0)
# Loads by node and route; past the bound all are learned anew.
MAX_LOADS = 8192
# Bodies above this size cost more to carry than a short wait.
LARGE_BODY_BYTES = 16 * 1024
OWN_LOAD_LIMIT = 0.75


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Costs and margins of the choice, in parts of an endpoint's slots.

    ``spill_cost`` is the cost at which no slot is free: only then may a nearer
    group be left. After a refusal a call goes only where room is likely: past
    ``room_cost`` the next endpoint would refuse it as well. A farther group must
    be better by ``farther_margin``, so that calls stay near when all are loaded
    alike, for large bodies by ``large_body_margin``.
    """

    spill_cost: float = 1.0
    room_cost: float = 1.5
    farther_margin: float = 1.0
    large_body_margin: float = 2.0


class EndpointChooser:
    """Picks the less loaded of two random endpoints, nearer ones first.

    An endpoint's cost is the larger of the node's own calls in flight and the
    load that the latest answer of the route carried, both as fractions of its
    slots, times how slow it is: the load counts the node's own calls too. A nearer
    group is left once the better candidate of it costs ``spill_cost``, for one that
    is better by a margin. ``own_load()`` is the load of this node's own endpoint.

    Load pattern: overload everywhere. Without the margin, calls are sent to other
    failure domains only to be refused by queues as full as the near ones.
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
        self._speeds = Speeds()
        self._avoided_until_by_node = {}
        self._avoidances_by_node = Counter()
        self._endpoints_by_service = {}
        self._seen_at_by_start = {}
        self._last_warm_at = 0.0

    def choose(self, endpoints, tried=(), body_bytes=0, needs_room=False, route=""):
        """Return an endpoint that was not tried, or None.

        With ``needs_room`` one that is likely to refuse the call is no choice.

        Load pattern: every queue is full. A call that was refused once is refused
        everywhere, each time after a hop, and its caller learns late.
        """
        usable = self._usable(endpoints, tried)
        if not usable:
            return None
        self._note_new(endpoints)
        own = self._own_if_free(usable)
        if own is not None:
            return own
        is_large = body_bytes > LARGE_BODY_BYTES
        settings = self._settings
        margin = settings.large_body_margin if is_large else settings.farther_margin
        best, best_cost = None, None
        for group in self._nearest_first(usable):
            candidate, cost = self._better_of_two(group, route)
            if best is None or cost <= min(best_cost - margin, settings.room_cost):
                best, best_cost = candidate, cost
            if best_cost < settings.spill_cost:
                break
        return None if needs_room and best_cost > settings.room_cost else best

    def _usable(self, endpoints, tried):
        now = self._clock.monotonic()
        left = [record for record in endpoints if record.node not in tried]
        reached = left
        if self._avoided_until_by_node:
            reached = [record for record in left if not self._is_avoided(record, now)]
        healthy = self._outliers.remaining(reached)
        return healthy or reached or left

    def _own_if_free(self, usable):
        # A call that the own endpoint serves needs no second hop.
        if self._own_load is None:
            return None
        for record in usable:
            if record.node == self._host.name:
                slowness = self._speeds.factor(record.node, record.service)
                return record if self._own_load() * slowness < OWN_LOAD_LIMIT else None
        return None

    def _nearest_first(self, usable):
        host = self._host
        groups = [[r for r in usable if r.failure_domain == host.failure_domain]]
        groups.append([r for r in usable if r.region == host.region])
        groups.append(usable)
        return [group for group in groups if group]

    def _better_of_two(self, group, route):
        pool = self._warm(group)
        candidates = self._random.sample(pool, min(CANDIDATES, len(pool)))
        costs = [self._cost(record, route) for record in candidates]
        least = min(costs)
        return candidates[costs.index(least)], least

    def _warm(self, group):
        """Return the group without those new endpoints that sit this call out."""
        now = self._clock.monotonic()
        if now >= self._last_warm_at:
            return group
        warm = [r for r in group if self._random.random() < self._warmth(r, now)]
        return warm or group

    def _warmth(self, record, now):
        seen_at = self._seen_at_by_start.get((record.node, record.incarnation), now)
        return max(SLOW_START_LEAST_SHARE, (now - seen_at) / SLOW_START_SECONDS)

    def _note_new(self, endpoints):
        # The tuple of endpoints is replaced whenever one of them changes.
        service = endpoints[0].service
        if self._endpoints_by_service.get(service) is endpoints:
            return
        now = self._clock.monotonic()
        with self._lock:
            is_first = service not in self._endpoints_by_service
            self._endpoints_by_service[service] = endpoints
            for record in endpoints:
                key = (record.node, record.incarnation)
                if key not in self._seen_at_by_start:
                    self._seen_at_by_start[key] = now - is_first * SLOW_START_SECONDS
                    if not is_first:
                        self._last_warm_at = now + SLOW_START_SECONDS

    def started(self, record):
        """Count a call in flight."""
        with self._lock:
            self._in_flight_by_node[record.node] += 1

    def ended(self, record, load=None, is_failed=False, seconds=None, route=""):
        """Count a call's end and the load its answer carried for its route.

        ``seconds`` is how long a backend server's answer took, None without one.
        """
        node = record.node
        if seconds is not None:
            self._speeds.note(node, record.service, seconds)
        with self._lock:
            self._in_flight_by_node[node] -= 1
            if load is not None:
                self._note_load(node, route, load)
                self._avoidances_by_node.pop(node, None)
                self._avoided_until_by_node.pop(node, None)
        self._outliers.record(node, is_failed)

    def _note_load(self, node, route, load):
        key = (node, route)
        if len(self._loads_by_key) >= MAX_LOADS and key not in self._loads_by_key:
            self._loads_by_key.clear()
        self._loads_by_key[key] = (load, self._clock.monotonic())

    def avoid(self, record):
        """Send no new calls to an unreachable endpoint, longer each time."""
        with self._lock:
            times = self._avoidances_by_node[record.node]
            self._avoidances_by_node[record.node] += 1
            seconds = min(MAX_AVOID_SECONDS, BASE_AVOID_SECONDS * 2**times)
            until = self._clock.monotonic() + seconds
            self._avoided_until_by_node[record.node] = until

    def _is_avoided(self, record, now):
        return now < self._avoided_until_by_node.get(record.node, 0.0)

    def _cost(self, record, route):
        in_flight = self._in_flight_by_node[record.node] / max(1, record.slots)
        load, seen_at = self._loads_by_key.get((record.node, route), NO_LOAD)
        age = self._clock.monotonic() - seen_at
        load *= max(0.0, 1.0 - age / LOAD_MEMORY_SECONDS)
        return max(in_flight, load) * self._speeds.factor(record.node, record.service)
