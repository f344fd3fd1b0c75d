"""A service during a move and the nodes that drive it, on fakes."""

from rattanworks.model.control import Evidence, RouteSums
from rattanworks.model.endpoint import EndpointState
from rattanworks.model.service import Move, ServiceState
from rattanworks.moves.driver import MoveDriver
from rattanworks.moves.record import ServiceRecords
from rattanworks.ports.base import ABSENT
from rattanworks.settings.moves import MoveSettings
from rattanworks.tests.builders import build_record
from rattanworks.tests.fakes import FakeClock, FakeStore
from rattanworks.utils.precedence_table import PrecedenceTable

START = 1000.0
MOVE_SECONDS = 100.0
SERVERS = 2
LATENCY_BUCKET = 40


def services_table():
    return PrecedenceTable(lambda state: state.service)


class FakeMembers:
    def __init__(self, records, own="v1-0"):
        self.by_node = {record.node: record for record in records}
        self.own = self.by_node[own]

    def remove(self, *nodes):
        for node in nodes:
            del self.by_node[node]


def endpoints():
    return [
        build_record(
            f"{version}-{number}", version=version, state=EndpointState.SERVING
        )
        for version in ("v1", "v2")
        for number in range(SERVERS)
    ]


def running_state(**changes):
    fields = {"stage": 0, "share": 0.05, **changes}
    move = Move("op", "v1", "v2", "ana", START, START + MOVE_SECONDS, **fields)
    return ServiceState("catalogue", 2, "v1", move)


class DriverNode:
    """A node that drives the move, with its own services table and driver."""

    def __init__(self, world, name):
        self.services = services_table()
        self.services.merge((world.records.read("catalogue").state,))
        self.driver = MoveDriver(
            self.services.rows_by_name["catalogue"],
            name,
            self.services,
            world.members,
            world.records,
            world.clock,
            world.settings,
        )

    @property
    def move(self):
        return self.services.rows_by_name["catalogue"].move


class World:
    """The store's record of a running move, the clock and the owners' sums."""

    def __init__(self, state=None, **settings):
        self.clock = FakeClock(START)
        self.store = FakeStore()
        self.records = ServiceRecords(self.store)
        self.members = FakeMembers(endpoints())
        self.settings = MoveSettings(**settings)
        self.records.write(state or running_state(), ABSENT)
        self._sums = {node: (0, 0) for node in self.members.by_node}

    @property
    def recorded(self):
        self.store.is_down, was_down = False, self.store.is_down
        state = self.records.read("catalogue").state
        self.store.is_down = was_down
        return state

    def driver_node(self, name="v1-0"):
        return DriverNode(self, name)

    def report(self, driver_node, failing=(), calls=20):
        """Report ``calls`` more calls per owner, failed for ``failing`` versions."""
        for record in self.members.by_node.values():
            known, failures = self._sums[record.node]
            failures += calls if record.version in failing else 0
            self._sums[record.node] = (known + calls, failures)
            driver_node.driver.collector.receive(self.evidence(driver_node, record))

    def evidence(self, driver_node, record, **changes):
        calls, failures = self._sums[record.node]
        latency = {LATENCY_BUCKET: calls - failures}
        sums = RouteSums("/catalogue", calls, failures, latency)
        fields = {
            "sender": record.node,
            "incarnation": 1,
            "service": "catalogue",
            "generation": 2,
            "stage": driver_node.move.stage,
            "version": record.version,
            "sums": (sums,),
            "unreachable_by_node": {},
        }
        return Evidence(**{**fields, **changes})

    def run(self, driver_node, seconds, failing=()):
        """Advance the clock, with a report and a look each second of a running move."""
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            if not driver_node.services.rows_by_name["catalogue"].is_moving:
                return
            self.report(driver_node, failing)
            driver_node.driver.look()
