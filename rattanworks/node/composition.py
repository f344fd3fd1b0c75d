"""The composition root: builds a node's parts and wires them together."""

import dataclasses
import functools
import time
from dataclasses import dataclass

from prometheus_client import CollectorRegistry

from rattanworks.adapters.fault_injection import (
    SENDER_KEY,
    FaultInjectionApp,
    FaultInjector,
    FaultyControlPeers,
    FaultyControlServer,
    FaultyDispatch,
    FaultyPeerCalls,
)
from rattanworks.adapters.grpc_control import GrpcControlPeers, GrpcControlServer
from rattanworks.adapters.peer_calls import FramePeerCalls
from rattanworks.adapters.peer_listener import PeerListener
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.admission.heartbeats import HeartbeatMonitor
from rattanworks.admission.limits import PlanLimits
from rattanworks.admission.owner import Owner
from rattanworks.admission.presence import Presence
from rattanworks.distribution.configuration import Configuration
from rattanworks.distribution.keys import WATCHERS_PREFIX
from rattanworks.distribution.replicator import Replicator
from rattanworks.distribution.startup import StartupSync
from rattanworks.distribution.validation import validate_version
from rattanworks.distribution.watcher import Watcher
from rattanworks.ledger.claims import ClaimLedger
from rattanworks.ledger.pages import PagedClaims
from rattanworks.ledger.routed import RoutedClaims
from rattanworks.membership.contacts import read_contacts
from rattanworks.membership.gossip import Gossiper
from rattanworks.membership.members import Members
from rattanworks.model.control import (
    REPLIES_BY_REQUEST,
    ClaimRequest,
    Evidence,
    FetchRequest,
    Gossip,
    HeadReply,
    HeadRequest,
    Heartbeat,
    RowsRequest,
    SilenceCheck,
    SnapshotRequest,
    StatusReply,
    StatusRequest,
    SyncRequest,
)
from rattanworks.model.endpoint import EndpointRecord, EndpointState
from rattanworks.model.version import NO_HEAD
from rattanworks.moves.declaration import ServiceDeclarer
from rattanworks.moves.evidence import EvidenceLog
from rattanworks.moves.orders import MoveOrders
from rattanworks.moves.participant import MoveParticipant
from rattanworks.moves.record import MoveTrail, ServiceRecords
from rattanworks.moves.restoration import StateRestorer
from rattanworks.node.adapters import Adapters
from rattanworks.node.lifecycle import Lifecycle
from rattanworks.node.metrics import MeteredEntry, add_gauges, new_delays, new_registry
from rattanworks.ports.base import Store
from rattanworks.quarantine.breaker import CallQuarantine, build_quarantine
from rattanworks.roles.base import FAST_TIMING, LeasedRole
from rattanworks.roles.candidates import candidates, needed_slots
from rattanworks.routing.choice import EndpointChooser
from rattanworks.routing.entry import Entry
from rattanworks.routing.retries import RetryBudget
from rattanworks.routing.table import RoutingTables
from rattanworks.utils.answer_limits import AnswerBounds
from rattanworks.utils.delays import WorkDelays
from rattanworks.utils.frames import FrameServer
from rattanworks.utils.http_parts import RequestOrder
from rattanworks.utils.http_server import HttpServer
from rattanworks.utils.logging import log_event
from rattanworks.utils.memory_budget import MemoryBudget
from rattanworks.utils.precedence_table import PrecedenceTable
from rattanworks.utils.turns import Turns

MILLISECONDS_PER_SECOND = 1000
ADMIN_THREADS = 2
# Tables of the settings whose changes take effect without a restart.
RELOADED_TABLES = frozenset({"drain", "retries"})
# Watcher number n of a failure domain gives peers n times this long to deliver a new
# version before it reads the store.
WATCHER_DELAY_STEP_SECONDS = 0.3
ADMIN_MAX_BODY_BYTES = 64 * 1024


@dataclass(slots=True)
class Node:
    """All parts of a node, built and wired but not started."""

    settings: object
    adapters: Adapters
    clock: object
    lifecycle: Lifecycle
    store: Store
    control_peers: GrpcControlPeers
    control_server: GrpcControlServer
    members: Members
    services: PrecedenceTable
    configuration: Configuration
    gossiper: Gossiper
    replicator: Replicator
    startup: StartupSync
    watchers: tuple[Watcher, ...]
    tables: RoutingTables
    owner: Owner
    heartbeats: HeartbeatMonitor
    presence: Presence
    claims: RoutedClaims
    registry: CollectorRegistry
    delays: WorkDelays
    turns: Turns
    entry: MeteredEntry
    retry_budget: RetryBudget
    quarantine: CallQuarantine
    moves: MoveParticipant
    orders: MoveOrders
    declarer: ServiceDeclarer
    answer_bounds: AnswerBounds
    servers_by_listener: dict
    fault_injector: FaultInjector | None

    def held_roles(self):
        """Return the keys of the roles that this node holds."""
        watcher_roles = [
            watcher.role.key for watcher in self.watchers if watcher.role.is_held
        ]
        return (*watcher_roles, *self.moves.held_roles)

    @property
    def serves_callers(self):
        """Return whether the node is ready and has a version in force."""
        return self.lifecycle.is_ready and self.configuration.head != NO_HEAD

    def serve_announced(self, announcement):
        """Serve the backend server of an Announcement and declare its service."""
        if not self.owner.renew(announcement):
            backend = self.adapters.new_backend(self, announcement)
            self.owner.attach(backend, announcement)
        # Each heartbeat repeats this until the declaration is in the store.
        self.declarer.declare(announcement.service, announcement.version)

    def apply(self, settings):
        """Apply the changed settings that take effect without a restart."""
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        applied = [name for name in changed if name in RELOADED_TABLES]
        self.retry_budget.settings = settings.retries
        self.settings = dataclasses.replace(
            self.settings, **{name: getattr(settings, name) for name in applied}
        )
        log_event(
            "settings-reloaded",
            applied=",".join(applied),
            needs_restart=",".join(sorted(set(changed) - set(applied))),
        )

    def status(self):
        """Return the node's StatusReply."""
        return StatusReply(
            node=self.settings.host.name,
            failure_domain=self.settings.host.failure_domain,
            head=self.configuration.head,
            refused=self.configuration.refused,
            members=tuple(self.members.by_node.values()),
            services=tuple(self.services.rows_by_name.values()),
            roles=self.held_roles(),
            is_draining=self.lifecycle.is_draining,
        )


def build_node(settings, adapters=None):
    """Return a Node built from NodeSettings and Adapters."""
    adapters = adapters or Adapters()
    clock = SystemClock()
    lifecycle = Lifecycle()
    store = adapters.new_store(settings)
    members = Members(_own_record(settings))
    injector = FaultInjector(members) if settings.fault_injection.enabled else None
    peers = _control_peers(settings, injector)
    services = PrecedenceTable(lambda state: state.service)
    configuration = Configuration(validate_version)
    replicator = Replicator(configuration, peers, store, clock)
    quarantine = build_quarantine(clock, settings.host.name)
    gossiper = Gossiper(
        members,
        services,
        replicator,
        peers,
        clock,
        settings.membership,
        crashes=quarantine.reports,
    )
    gossiper.on_head = replicator.handle_peer_head
    configuration.add_listener(gossiper.announce_head)
    replicator.on_refused = gossiper.announce_head
    tables = RoutingTables(configuration, members, services)
    owner = Owner(
        members,
        tables,
        PlanLimits(clock),
        clock,
        settings.traffic.queue_length,
        settings.traffic.queue_per_slot,
        quarantine,
    )
    chooser = EndpointChooser(settings.host, clock, lambda: owner.load)
    claims = RoutedClaims(PagedClaims(store, clock), members, peers, clock)
    ledger = ClaimLedger(claims, clock)
    evidence = EvidenceLog(members, services, clock, settings.moves.warm_up_seconds)
    owner.observer = evidence
    moves = MoveParticipant(
        members, services, store, peers, clock, evidence, settings.moves
    )
    answer_bounds = _answer_bounds(settings.traffic)
    registry = new_registry()
    delays = new_delays(registry)
    peer_calls = FramePeerCalls(
        settings.host.name,
        clock,
        settings.host.failure_domain,
        answer_bounds,
        delays=delays,
    )
    if injector:
        peer_calls = FaultyPeerCalls(peer_calls, injector, clock)
    retry_budget = RetryBudget(clock, settings.retries, lambda: len(members.by_node))
    entry = Entry(
        tables,
        chooser,
        owner,
        peer_calls,
        ledger,
        clock,
        budget=retry_budget,
        caller_service=settings.host.service,
        quarantine=quarantine,
    )
    entry.observer = evidence
    node = Node(
        settings=settings,
        adapters=adapters,
        clock=clock,
        lifecycle=lifecycle,
        store=store,
        control_peers=peers,
        control_server=None,
        members=members,
        services=services,
        configuration=configuration,
        gossiper=gossiper,
        replicator=replicator,
        startup=StartupSync(store, configuration, replicator, members, peers, clock),
        watchers=(),
        tables=tables,
        owner=owner,
        heartbeats=HeartbeatMonitor(owner),
        presence=None,
        claims=claims,
        registry=registry,
        delays=delays,
        turns=Turns(),
        entry=MeteredEntry(entry, registry, clock),
        retry_budget=retry_budget,
        quarantine=quarantine,
        moves=moves,
        orders=MoveOrders(store, services, members, clock),
        declarer=ServiceDeclarer(store, services),
        answer_bounds=answer_bounds,
        servers_by_listener={},
        fault_injector=injector,
    )
    node.presence = Presence(node.serve_announced, owner.leave, clock)
    node.control_server = _control_server(node)
    node.servers_by_listener = _http_servers(node)
    _publish_addresses(node)
    callers = node.servers_by_listener["callers"]
    configuration.add_listener(
        lambda: callers.apply(configuration.snapshot.lists.limits)
    )
    node.watchers = _watchers(node)
    gossiper.contacts = lambda: read_contacts(store, node.control_server.address)
    return node


def _answer_bounds(traffic):
    # The bodies of requests reserve memory from the same budget.
    return AnswerBounds(
        traffic.max_body_bytes, MemoryBudget(traffic.large_bodies_bytes)
    )


def _own_record(settings):
    return EndpointRecord(
        node=settings.host.name,
        incarnation=int(time.time() * MILLISECONDS_PER_SECOND),
        sequence=0,
        state=EndpointState.JOINED,
        region=settings.host.region,
        failure_domain=settings.host.failure_domain,
        control_address="",
        peers_address="",
    )


def _control_peers(settings, injector):
    if injector is None:
        return GrpcControlPeers(REPLIES_BY_REQUEST)
    sender = ((SENDER_KEY, settings.host.failure_domain),)
    return FaultyControlPeers(GrpcControlPeers(REPLIES_BY_REQUEST, sender), injector)


def _control_server(node):
    handlers = {
        Heartbeat: node.gossiper.receive_heartbeat,
        Gossip: node.gossiper.receive,
        ClaimRequest: node.claims.serve,
        SyncRequest: node.gossiper.reconciler.receive_sync,
        RowsRequest: node.gossiper.reconciler.receive_rows,
        SnapshotRequest: node.gossiper.reconciler.receive_snapshot,
        SilenceCheck: node.gossiper.detector.receive_check,
        FetchRequest: node.replicator.serve,
        Evidence: node.moves.receive,
        HeadRequest: lambda message: head_of(node),
        StatusRequest: lambda message: node.status(),
    }
    listen = node.settings.listen
    injector = node.fault_injector
    interceptors = (FaultyControlServer(injector),) if injector else ()
    return GrpcControlServer(
        listen.host,
        listen.control_port,
        handlers,
        interceptors,
        node.control_peers.traffic,
        uncounted=(StatusRequest,),
    )


def _http_servers(node):
    listen, traffic = node.settings.listen, node.settings.traffic
    callers = node.adapters.new_callers_app(node)
    local = node.adapters.new_local_app(node)
    add_gauges(node.registry, node)
    admin = node.adapters.new_admin_app(node)
    if node.fault_injector:
        admin = FaultInjectionApp(admin, node.fault_injector)
    max_bytes = traffic.max_body_bytes
    budget = node.answer_bounds.budget

    def new_server(app, port, threads, max_body_bytes, name, order=None):
        return HttpServer(
            app,
            listen.host,
            port,
            threads,
            max_body_bytes,
            name,
            budget,
            node.delays,
            order,
        )

    servers = {
        "callers": new_server(
            callers,
            listen.callers_port,
            traffic.callers_threads,
            max_bytes,
            "callers",
            RequestOrder(node.turns, callers.rank_of),
        ),
        "local": new_server(
            local, listen.local_port, traffic.local_threads, max_bytes, "local"
        ),
        "peers": _peers_server(node),
        "admin": new_server(
            admin, listen.admin_port, ADMIN_THREADS, ADMIN_MAX_BODY_BYTES, "admin"
        ),
    }
    if listen.metrics_port:
        # A long metrics page must not delay readiness checks on the admin listener.
        servers["metrics"] = new_server(
            admin, listen.metrics_port, 1, ADMIN_MAX_BODY_BYTES, "metrics"
        )
    return servers


def _peers_server(node):
    listen = node.settings.listen

    def dispatch(message, call):
        return node.owner.dispatch(call, message.node, message.incarnation)

    if node.fault_injector:
        dispatch = FaultyDispatch(dispatch, node.fault_injector)
    return FrameServer(
        PeerListener(dispatch, node.clock, node.turns),
        listen.host,
        listen.peers_port,
        node.settings.traffic.peers_threads,
        "peers",
    )


def _publish_addresses(node):
    node.members.update_own(
        control_address=node.control_server.address,
        peers_address=node.servers_by_listener["peers"].address,
    )


def _watchers(node):
    domain = node.settings.host.failure_domain
    count = node.settings.distribution.watchers_per_failure_domain
    restorer = StateRestorer(
        node.services, ServiceRecords(node.store), MoveTrail(node.store)
    )
    watchers = []
    for number in range(count):
        role = LeasedRole(
            node.store,
            f"{WATCHERS_PREFIX}{domain}/{number}",
            node.control_server.address.encode(),
            node.clock,
            functools.partial(_may_watch, node, number, count),
            FAST_TIMING,
            functools.partial(_is_watcher_needed, node, number, count),
        )
        watcher = Watcher(role, node.store, node.services, node.orders)
        watcher.on_head = functools.partial(
            node.replicator.handle_store_head, delay=number * WATCHER_DELAY_STEP_SECONDS
        )
        watcher.on_listed = restorer.handle_list
        watchers.append(watcher)
    return tuple(watchers)


def _is_watcher_needed(node, number, count):
    domains = {record.failure_domain for record in node.members.present()}
    return number < needed_slots(len(domains), count)


def _may_watch(node, number, count):
    domain = node.settings.host.failure_domain
    names = [
        record.node
        for record in node.members.present()
        if record.failure_domain == domain
    ]
    return node.settings.host.name in candidates(domain, number, count, names)


def head_of(node):
    """Return the HeadReply of a node."""
    return HeadReply(node.configuration.head, node.lifecycle.is_ready)
