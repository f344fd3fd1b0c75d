"""Membership records of nodes and the endpoints they own."""

import enum
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

MAX_COUNTER = 2**60
MAX_NAME_LENGTH = 200

Counter = Annotated[int, Meta(ge=0, le=MAX_COUNTER)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]


class EndpointState(enum.IntEnum):
    """States of an endpoint; within one incarnation the state only advances."""

    JOINED = 0
    SERVING = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What a node announces about itself.

    Only that node advances the record, except that other nodes may mark it as GONE.
    ``incarnation`` is a number that increases with each start of the node;
    ``sequence`` increases with each change within an incarnation. ``slots`` is the
    number of calls the backend server runs at once.
    """

    node: Name
    incarnation: Counter
    sequence: Counter
    state: EndpointState
    region: Name
    failure_domain: Name
    control_address: Name
    peers_address: Name
    service: Name = ""
    version: Name = ""
    slots: Counter = 0

    @property
    def precedence(self):
        """Return a key; of two records of a node, the higher key wins."""
        return (self.incarnation, self.state, self.sequence)

    @property
    def accepts_calls(self):
        """Return whether new calls may be sent to the endpoint."""
        return self.state == EndpointState.SERVING
