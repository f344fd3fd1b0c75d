"""Carries out the move orders that operators leave in the store."""

import random
import threading
from dataclasses import dataclass

from rattanworks.distribution.keys import order_status_key
from rattanworks.exceptions import (
    MoveRefusedError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
)
from rattanworks.model.order import MoveOrder, OrderStatus
from rattanworks.model.service import MoveStatus
from rattanworks.moves.record import ServiceRecords
from rattanworks.moves.requests import MoveRequests
from rattanworks.ports.base import ABSENT, Write
from rattanworks.utils.codec import decode_json, encode_json
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

STEP_SECONDS = 0.3
# Several nodes see an order; a short random pause lets one act before the rest.
MAX_PAUSE_SECONDS = 0.4
# Calls that still run on the old version end before the order counts as done.
SETTLE_SECONDS = 1.2
# The move ends this much before the order's time, which leaves time to settle.
# The end itself comes up to a look and a stage's dwell late.
MARGIN_SECONDS = 2.6
AUTHOR = "order"


@dataclass(slots=True)
class _Order:
    order: MoveOrder
    revision: int
    seen_at: float
    due: float
    done_at: float | None = None

    @property
    def operation_id(self):
        return f"order-{self.revision}"


@dataclass(frozen=True, slots=True)
class _Status:
    status: OrderStatus
    revision: int


class MoveOrders:
    """Starts the ordered moves and writes back what became of them.

    Every node that watches the store does this; each write is a
    compare-and-swap, so that it is carried out once.
    """

    def __init__(self, store, services, members, clock, rng=None):
        self._store = store
        self._services = services
        self._members = members
        self._clock = clock
        self._random = rng or random.Random()
        self._requests = MoveRequests(store, clock)
        self._records = ServiceRecords(store)
        self._lock = threading.Lock()
        self._orders_by_service = {}
        self._statuses_by_service = {}
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)

    def start(self):
        """Begin to carry orders out."""
        self._thread.start()

    def stop(self):
        """End."""
        self._stopped.set()
        self._wake.set()

    def receive_order(self, entry):
        """Take note of an order in the store; raise DecodeError."""
        order = decode_json(entry.value, MoveOrder)
        now = self._clock.monotonic()
        with self._lock:
            known = self._orders_by_service.get(order.service)
            if known is not None and known.revision >= entry.revision:
                return
            due = now + self._random.uniform(0, MAX_PAUSE_SECONDS)
            self._orders_by_service[order.service] = _Order(
                order, entry.revision, now, due
            )
        log_event(
            "move-ordered",
            service=order.service,
            to_version=order.to_version,
            within_seconds=order.within_seconds,
            revision=entry.revision,
        )
        self._wake.set()

    def receive_status(self, entry):
        """Take note of what the store says became of an order."""
        status = decode_json(entry.value, OrderStatus)
        known = self._statuses_by_service.get(status.service)
        if known is None or known.revision < entry.revision:
            self._statuses_by_service[status.service] = _Status(status, entry.revision)

    def _run(self):
        while not self._stopped.is_set():
            run_guarded("orders", self.step)
            self._wake.wait(STEP_SECONDS if self._orders_by_service else None)
            self._wake.clear()

    def step(self):
        """Do what each order needs now."""
        for given in list(self._orders_by_service.values()):
            if self._clock.monotonic() < given.due:
                continue
            try:
                self._carry_out(given)
            except (StoreError, MoveRefusedError) as error:
                log_event("order-waits", service=given.order.service, reason=str(error))

    def _carry_out(self, given):
        state = self._services.rows_by_name.get(given.order.service)
        if state is None:
            return
        move = state.move
        if move is not None and move.operation_id == given.operation_id:
            self._tell(given, move.status)
        elif state.is_moving:
            self._require_later(given, move)
        elif state.serving_version == given.order.to_version:
            self._tell(given, MoveStatus.DONE)
        else:
            self._begin(given)

    def _require_later(self, given, move):
        # A newer order replaces the move that an earlier one began.
        if not move.operation_id.startswith("order-"):
            raise MoveRefusedError(
                f"another move of {given.order.service} is running; it goes first"
            )
        state = self._requests.withdraw(given.order.service, AUTHOR)
        self._services.merge((state,))

    def _begin(self, given):
        order = given.order
        left = order.within_seconds - (self._clock.monotonic() - given.seen_at)
        if left <= MARGIN_SECONDS:
            self._tell(given, MoveStatus.TAKEN_BACK)
            return
        announced = {
            record.version
            for record in self._members.by_node.values()
            if record.service == order.service and record.takes_calls
        }
        running = OrderStatus(order.service, order.to_version, MoveStatus.RUNNING)
        try:
            state = self._requests.start(
                order.service,
                order.to_version,
                self._clock.now() + left - MARGIN_SECONDS,
                AUTHOR,
                announced,
                again=True,
                operation_id=given.operation_id,
                beside=(self._status_write(running),),
            )
        except MoveRefusedError:
            # The status may be at another revision than the one known here.
            self._learn_status(order.service)
            raise
        self._services.merge((state,))
        self._learn_status(order.service)
        _log_status(running)

    def _tell(self, given, status):
        wanted = OrderStatus(given.order.service, given.order.to_version, status)
        known = self._statuses_by_service.get(wanted.service)
        if known is not None and known.status == wanted:
            return
        if status == MoveStatus.DONE and not self._is_settled(given):
            return
        if status != MoveStatus.RUNNING and not self._is_recorded(given, status):
            return
        self._write(wanted)

    def _is_settled(self, given):
        now = self._clock.monotonic()
        if given.done_at is None:
            given.done_at = now
        return now - given.done_at >= SETTLE_SECONDS

    def _is_recorded(self, given, status):
        """Tell whether the store's own record has the end, which is final."""
        recorded = self._records.read(given.order.service)
        if recorded is None:
            return False
        state = recorded.state
        if state.move is not None and state.move.operation_id == given.operation_id:
            return state.move.status == status
        # No move was needed, or there was no time left to begin one.
        is_served = state.serving_version == given.order.to_version
        return is_served == (status == MoveStatus.DONE)

    def _write(self, wanted):
        try:
            (entry,) = self._store.write_all((self._status_write(wanted),))
        except (StoreConflictError, StoreAnswerLostError):
            self._learn_status(wanted.service)
            return
        self.receive_status(entry)
        _log_status(wanted)

    def _status_write(self, wanted):
        known = self._statuses_by_service.get(wanted.service)
        return Write(
            order_status_key(wanted.service),
            encode_json(wanted),
            known.revision if known else ABSENT,
        )

    def _learn_status(self, service):
        entry = self._store.get(order_status_key(service))
        if entry is None:
            self._statuses_by_service.pop(service, None)
        else:
            self.receive_status(entry)


def _log_status(status):
    """Log what has been written of an order."""
    log_event(
        "order-status",
        service=status.service,
        to_version=status.to_version,
        status=status.status.name.lower(),
    )
