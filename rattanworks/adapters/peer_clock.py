"""An entry's estimate of an owner's clock, so that no call runs after its deadline.

A call may wait in a socket buffer while its owner's process is paused. Its deadline
is therefore sent as a time of the owner's monotonic clock, which goes on during a
pause.
"""

from typing import Annotated

from msgspec import Meta

from rattanworks.utils.codec import decode_binary, encode_binary

CLOCK_REQUEST = b"clock"
# Bound on the drift between the clocks of two hosts, in seconds per second.
MAX_DRIFT = 0.0005
MAX_CLOCK_SECONDS = 1e12

# A time of a monotonic clock in seconds; the bounds exclude NaN as well.
ClockTime = Annotated[float, Meta(ge=-MAX_CLOCK_SECONDS, le=MAX_CLOCK_SECONDS)]


def encode_clock(clock):
    """Return the frame that answers CLOCK_REQUEST."""
    return encode_binary(clock.monotonic())


def decode_clock(frame):
    """Return the owner's monotonic time in a frame; raise DecodeError."""
    return decode_binary(frame, ClockTime)


class ClockOffset:
    """A lower bound of the owner's monotonic clock minus this node's, in seconds.

    Each sample is too low by the time that its message spent on the network, so
    that a converted deadline is never late and the highest sample is the best.
    """

    def __init__(self, owner_time, now):
        self._offset = owner_time - now
        self._sampled_at = now

    def add_sample(self, owner_time, now):
        """Update the bound with one more sample."""
        drift = MAX_DRIFT * (now - self._sampled_at)
        self._offset = max(owner_time - now, self._offset - drift)
        self._sampled_at = now

    def to_owner_time(self, own_time):
        """Convert a time of this node's clock to the owner's clock, never too late."""
        drift = MAX_DRIFT * max(0.0, own_time - self._sampled_at)
        return own_time + self._offset - drift

    def to_own_time(self, owner_time):
        """Convert a time of the owner's clock to this node's, never too early."""
        return owner_time - self._offset
