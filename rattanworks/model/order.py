"""An operator's order to move a service, and its status."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from rattanworks.model.endpoint import Name
from rattanworks.model.service import MoveStatus

MAX_ORDER_SECONDS = 366 * 24 * 3600


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Asks for a move to ``to_version`` that ends ``within_seconds`` of the order."""

    service: Name
    to_version: Name
    within_seconds: Annotated[float, Meta(ge=0, le=MAX_ORDER_SECONDS)]


@dataclass(frozen=True, slots=True)
class OrderStatus:
    """The status of the latest order for a service."""

    service: Name
    to_version: Name
    status: MoveStatus
