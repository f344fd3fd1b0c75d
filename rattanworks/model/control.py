"""Messages between nodes on the control listener."""

import enum
from dataclasses import dataclass, field

from rattanworks.model.claim import Claim
from rattanworks.model.crash import CrashReport
from rattanworks.model.endpoint import Counter, EndpointRecord, Name
from rattanworks.model.service import ServiceState
from rattanworks.model.version import NO_HEAD, Head


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is running, and summarizes its state.

    ``version`` is its configuration version, ``digest`` a hash of its tables of
    endpoint records and service states.
    """

    sender: Name
    incarnation: Counter
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The receiver's own identity, version and digest, as in Heartbeat.

    ``hidden_by`` is the incarnation, as known to the receiver, that takes precedence
    over the sender's record there; 0 when the record is not hidden.
    """

    node: Name
    incarnation: Counter
    version: int
    digest: int
    hidden_by: Counter = 0


@dataclass(frozen=True, slots=True)
class Gossip:
    """Changed rows and the head, for a neighbour.

    ``head`` is NO_HEAD when the message announces no version.
    """

    sender: Name
    sender_address: Name
    head: Head = NO_HEAD
    records: tuple[EndpointRecord, ...] = ()
    services: tuple[ServiceState, ...] = ()
    crashes: tuple[CrashReport, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReply:
    """The receiver's head after the merge; NO_HEAD if only rows were sent."""

    head: Head


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """The digest of each bucket of the sender's tables, and its crash reports."""

    members: tuple[int, ...] = ()
    services: tuple[int, ...] = ()
    crashes: tuple[CrashReport, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The buckets that differ, and the precedences of the receiver's rows in them.

    Precedences are keyed by the name of the node or service. ``crashes`` has all the
    crash reports of the receiver.
    """

    head: Head
    members: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    services: dict[str, tuple[int, int, int, int]] = field(default_factory=dict)
    member_buckets: tuple[int, ...] = ()
    service_buckets: tuple[int, ...] = ()
    crashes: tuple[CrashReport, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsRequest:
    """Names of the rows that the sender lacks or knows only in an older state."""

    members: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RowsReply:
    """The requested rows, except those that the receiver does not have."""

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
    """What a node reports on whether another node can be reached."""

    REACHABLE = "reachable"
    SILENT = "silent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SilenceCheck:
    """Asks the receiver whether it can reach a node that the sender cannot reach."""

    sender: Name
    node: Name
    incarnation: Counter
    address: Name


@dataclass(frozen=True, slots=True)
class SilenceReply:
    """Whether the receiver can reach the node of a SilenceCheck."""

    verdict: Reachability


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Hashes of blobs that the sender lacks.

    With ``accepts_newest`` the sender asks for the newest version that the receiver
    holds, whole but for the blobs whose hashes begin with one of ``known_prefixes``;
    a receiver that does not know this field sends the blobs of ``hashes``.
    """

    hashes: tuple[str, ...]
    accepts_newest: bool = False
    known_prefixes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Compressed contents of blobs that the receiver has, by hash.

    ``head`` is the version that they belong to when the newest one was asked for,
    else NO_HEAD.
    """

    compressed_by_hash: dict[str, bytes]
    head: Head = NO_HEAD


@dataclass(frozen=True, slots=True)
class RouteSums:
    """Counts of one route's calls since a stage of a move began.

    ``latency_counts`` maps buckets of the latency histogram to numbers of calls.
    Failed calls and calls of a backend server that is still warming up are left out
    of it.
    """

    route: str
    calls: int
    failures: int
    latency_counts: dict[int, int]


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a node observed of a move, for the holder of the move's role.

    ``version`` is the version that the sender's own backend server serves, empty
    when it serves neither version of the move; ``stage`` is the stage that the sums
    belong to. ``unreachable_by_node`` counts the calls that the sender, as an entry,
    could not deliver to an endpoint of the new version. ``knows_taken_back`` is set
    when the sender knows that the move was taken back (rolled back).
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
    """The node's head; ``is_informed`` is set once the node is ready after a start."""

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
    """The claim in force, or None and a reason when the change was not stored."""

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
