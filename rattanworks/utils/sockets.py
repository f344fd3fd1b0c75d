"""Options with which the kernel ends a connection whose other side went silent."""

import socket
from dataclasses import dataclass

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Liveness:
    """How soon silence ends a connection; times are in seconds.

    An idle connection is probed after ``idle_seconds``, then ``probes`` times
    that far apart; sent bytes must be acknowledged within
    ``acknowledged_seconds``. Bytes that the other side's program leaves unread for
    so long that they fill its buffer count as not acknowledged.
    """

    idle_seconds: int
    probes: int
    acknowledged_seconds: float


# Silence ends within 3 s, the time in which a node that lost its connections
# must be in touch again.
DEFAULT_LIVENESS = Liveness(idle_seconds=1, probes=2, acknowledged_seconds=2.0)
# A call that was sent to a silent node leaves time for another endpoint: less
# than the shortest deadline of callers, more than two repeats of a lost packet.
FAST_LIVENESS = Liveness(idle_seconds=1, probes=2, acknowledged_seconds=0.5)


def apply_liveness(sock, liveness):
    """Set the options on a TCP socket, and send small messages at once."""
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
    """Set how long sent bytes may go unacknowledged on a TCP socket."""
    milliseconds = max(1, round(seconds * MILLISECONDS))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def is_closed_by_peer(sock):
    """Tell whether the other side has closed; bytes that wait are not read."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
