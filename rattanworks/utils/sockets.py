"""Socket options with which the kernel ends connections to silent peers."""

import re
import socket
from dataclasses import dataclass

MAX_PORT = 65535
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_SHOWN_LENGTH = 80
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Liveness:
    """How soon the kernel ends a connection to a silent peer; times are in seconds.

    Keepalive starts after ``idle_seconds`` and fails after ``probes`` unanswered
    probes, ``idle_seconds`` apart. Sent bytes must be acknowledged within
    ``acknowledged_seconds``; bytes that do not fit into the peer's full receive
    buffer, since its program does not read, count as unacknowledged.
    """

    idle_seconds: int
    probes: int
    acknowledged_seconds: float


# A connection to a silent peer ends within 3 s, the time in which a node that lost
# its connections must have connected again.
DEFAULT_LIVENESS = Liveness(idle_seconds=1, probes=2, acknowledged_seconds=2.0)
# A call sent to a silent node must leave time for another endpoint: the time is
# below the shortest deadline of callers and above two retransmissions of a packet.
FAST_LIVENESS = Liveness(idle_seconds=1, probes=2, acknowledged_seconds=0.5)


def apply_liveness(sock, liveness):
    """Set the options, and TCP_NODELAY so that small messages are sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, liveness.idle_seconds),
        (socket.TCP_KEEPINTVL, liveness.idle_seconds),
        (socket.TCP_KEEPCNT, liveness.probes),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    set_acknowledgement_timeout(sock, liveness.acknowledged_seconds)


def set_acknowledgement_timeout(sock, seconds):
    """Set for how many seconds a TCP socket allows unacknowledged bytes."""
    milliseconds = max(1, round(seconds * MILLISECONDS_PER_SECOND))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def split_address(address):
    """Return the host and the port of a HOST:PORT text; raise ValueError."""
    host, _, port = address.rpartition(":")
    is_port = PORT_PATTERN.fullmatch(port) and 1 <= int(port) <= MAX_PORT
    if not host or not is_port:
        raise ValueError(f"{address[:MAX_SHOWN_LENGTH]!r} is not an address HOST:PORT")
    return host, int(port)


def is_closed_by_peer(sock):
    """Return whether the peer has closed the connection; pending bytes stay unread."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
