"""Messages between nodes on the control listener."""

import enum
from dataclasses import dataclass, field

from rattanworks.model.claim import Claim
from rattanworks.model.endpoint import Counter, EndpointRecord, Name
from rattanworks.model.service import ServiceState
from rattanworks.model.version import NO_HEAD, Head


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells that the sender runs, and sums up what it knows.

    ``version`` is its configuration version, ``digest`` a hash of its tables.
    """

    sender: Name
    incarnation: Counter
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The same of the receiver.

    ``hidden_by`` is the incarnation that keeps the sender's record from being
    seen by the receiver, 0 when nothing does.
    """

    node: Name
    incarnation: Counter
    version: int
    digest: int
    hidden_by: Counter = 0


@dataclass(frozen=True, slots=True)
class Gossip:
    """News for a neighbour."""

    sender: Name
    sender_address: Name
    head: Head = NO_HEAD
    records: tuple[EndpointRecord, ...] = ()
    services: tuple[ServiceState, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReply:
    """The receiver's own head after it merged the news."""

    head: Head


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """The sender's digests of each bucket of its tables."""

    members: tuple[int, ...] = ()
    services: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The buckets that differ, and the receiver's precedences in them by name."""

    head: Head
    members: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    services: dict[str, tuple[int, int, int, int]] = field(default_factory=dict)
    member_buckets: tuple[int, ...] = ()
    service_buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsRequest:
    """Names of the rows that the sender lacks."""

    members: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsReply:
    """The rows asked for, as far as the receiver has them."""

    records: tuple[EndpointRecord, ...]
    services: tuple[ServiceState, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the rows of all buckets from ``first_bucket`` on."""

    sender: Name
    first_bucket: Counter = 0


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Rows of some buckets; the next request starts at ``next_bucket``.

    ``referrals`` are control addresses of nodes to ask instead, when the
    receiver already serves as many snapshots as it may.
    """

    head: Head
    records: tuple[EndpointRecord, ...] = ()
    services: tuple[ServiceState, ...] = ()
    next_bucket: Counter = 0
    referrals: tuple[str, ...] = ()


class Reachability(enum.Enum):
    """What a node can say of another one."""

    REACHABLE = "reachable"
    SILENT = "silent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SilenceCheck:
    """Asks whether a node answers the receiver either."""

    sender: Name
    node: Name
    incarnation: Counter
    address: Name


@dataclass(frozen=True, slots=True)
class SilenceReply:
    """What the receiver found."""

    verdict: Reachability


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Hashes of blobs that the sender lacks."""

    hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Compressed contents of the blobs that the receiver has, by hash."""

    compressed_by_hash: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class RouteSums:
    """Running sums of one route since a stage of a move began.

    ``latency_counts`` are the calls by bucket of the latency histogram; calls
    of a backend server that is still cold are left out of it.
    """

    route: str
    calls: int
    failures: int
    latency_counts: dict[int, int]


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a node saw of a move, for the holder of the move's role.

    ``version`` is the version that the sender's own backend server serves, empty
    when it serves another service; ``stage`` is the one the sums belong to.
    ``unreachable_by_node`` are calls that the sender, as an entry, could not
    bring to an endpoint of the new version. ``knows_taken_back`` tells that the
    sender has heard the move was taken back.
    """

    sender: str
    incarnation: int
    service: str
    generation: int
    stage: int
    version: str
    sums: tuple[RouteSums, ...]
    unreachable_by_node: dict[str, int]
    knows_taken_back: bool = False


@dataclass(frozen=True, slots=True)
class EvidenceReply:
    """Whether the receiver holds the move's role."""

    is_holder: bool


@dataclass(frozen=True, slots=True)
class HeadRequest:
    """Asks a node for its head."""


@dataclass(frozen=True, slots=True)
class HeadReply:
    """The version in force; ``is_informed`` once the node has learnt it after start."""

    head: Head
    is_informed: bool


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks a node for its status."""


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """A version that failed verification or validation on a node, and why."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class StatusReply:
    """The state of one node as operators see it."""

    node: str
    failure_domain: str
    head: Head
    refused: tuple[RefusedVersion, ...]
    members: tuple[EndpointRecord, ...]
    services: tuple[ServiceState, ...]
    roles: tuple[str, ...]
    is_draining: bool


class ChangeKind(enum.StrEnum):
    """What a ClaimRequest asks for."""

    CLAIM = "claim"
    SETTLE = "settle"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A change of a claim, for the node that writes the claim's page.

    ``timeout`` is in seconds.
    """

    kind: ChangeKind
    claim: Claim
    timeout: float


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """The claim in force, or None when the change could not be stored, and why."""

    claim: Claim | None
    reason: str = ""


REPLIES_BY_REQUEST = {
    ClaimRequest: ClaimReply,
    Heartbeat: HeartbeatReply,
    Gossip: GossipReply,
    SyncRequest: SyncReply,
    RowsRequest: RowsReply,
    SnapshotRequest: SnapshotReply,
    SilenceCheck: SilenceReply,
    FetchRequest: FetchReply,
    Evidence: EvidenceReply,
    HeadRequest: HeadReply,
    StatusRequest: StatusReply,
}
