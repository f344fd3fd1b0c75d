"""The orders of a service that a node has read, also across a return of the store.

When the store returns from an older copy, the operators write again what it lost, and
the same order comes with another revision.
"""

from collections import deque
from dataclasses import dataclass, field

from rattanworks.model.order import MoveOrder
from rattanworks.ports.base import era_of, number_of

OPERATION_PREFIX = "order-"
# After the store returned from an older copy, operators write again what it lost. An
# order that contradicts what was carried out before waits this long for a later one.
REWRITE_SECONDS = 2.0
# Orders of a service that are recognized when they are written again.
MAX_KNOWN_ORDERS = 8


@dataclass(slots=True)
class ReceivedOrder:
    """An order; ``revisions`` are those at which it was written, the latest last.

    ``may_be_repeated`` is set if the order is one of the first that this node has read
    since the store returned from a copy: another node may have carried it out before.
    ``known_revisions`` are those of the orders that this node had read by then.
    """

    order: MoveOrder
    revisions: list[int]
    seen_at: float
    due: float
    may_be_repeated: bool
    known_revisions: frozenset[int]
    done_at: float | None = None

    @property
    def revision(self):
        """Return the latest revision."""
        return self.revisions[-1]

    @property
    def operation_id(self):
        """Return the operation id of the move that this order starts."""
        return _operation_id(self.revision)

    def has_started(self, move):
        """Return whether a move was started by this order."""
        if move.operation_id in map(_operation_id, self.revisions):
            return True
        is_same_version = move.to_version == self.order.to_version
        return is_same_version and self.may_follow(move)

    def may_follow(self, move):
        """Return whether a move is of an order of before the store returned.

        This order may be the same or an earlier one, unless the node knows better.
        """
        revision = order_revision(move.operation_id)
        return (
            self.may_be_repeated
            and revision is not None
            and era_of(revision) < era_of(self.revision)
            and revision not in self.known_revisions
        )


def _operation_id(revision):
    return f"{OPERATION_PREFIX}{revision}"


def order_revision(operation_id):
    """Return the revision of the order that started an operation, or None."""
    number = operation_id.removeprefix(OPERATION_PREFIX)
    is_order = operation_id.startswith(OPERATION_PREFIX) and number.isdecimal()
    return int(number) if is_order else None


@dataclass(slots=True)
class ServiceOrders:
    """The latest orders of a service that this node has read, the newest last.

    ``era_seen_at`` is when it read the first one of the era ``era`` of the store, in
    seconds of the monotonic clock.
    """

    received: deque = field(default_factory=lambda: deque(maxlen=MAX_KNOWN_ORDERS))
    era: int | None = None
    era_seen_at: float = 0.0

    @property
    def newest(self):
        """Return the newest order, None before the first."""
        return self.received[-1] if self.received else None

    @property
    def known_revisions(self):
        """Return the revisions of all these orders."""
        return frozenset(
            revision for received in self.received for revision in received.revisions
        )

    def update_era(self, revision, now):
        """Note the time if an order is the first one of its era."""
        if era_of(revision) != self.era:
            self.era, self.era_seen_at = era_of(revision), now

    def may_follow_others(self, now):
        """Return whether this node may have missed orders of an earlier era.

        It has read those of this era for a moment only.
        """
        return now < self.era_seen_at + REWRITE_SECONDS

    def find_repeated(self, order, revision):
        """Return the same order of an earlier era of the store, or None."""
        for received in reversed(self.received):
            is_earlier = era_of(received.revision) < era_of(revision)
            if received.order == order and is_earlier:
                return received
        return None

    def repeat(self, received, revision, due):
        """Take over a new revision of a known order; return whether it is the newest.

        An order that isn't the newest one and has its former number is left from the
        copy. Written again, it may be followed by newer ones: it waits until ``due``.
        """
        if received is not self.newest:
            if number_of(received.revision) == number_of(revision):
                return False
            self.received.remove(received)
            self.received.append(received)
            received.due = due
        received.revisions.append(revision)
        return True
