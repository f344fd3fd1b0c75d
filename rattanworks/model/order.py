"""An operator's order to move a service, and its status."""

from dataclasses import dataclass

from rattanworks.model.service import MoveStatus


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Asks for a move to ``to_version`` that ends ``within_seconds`` of the order."""

    service: str
    to_version: str
    within_seconds: float


@dataclass(frozen=True, slots=True)
class OrderStatus:
    """The status of the latest order for a service."""

    service: str
    to_version: str
    status: MoveStatus
