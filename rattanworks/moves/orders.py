"""Carries out the move orders that operators write to the store."""

import random
import threading
from dataclasses import dataclass

from rattanworks.distribution.keys import (
    ORDER_STATUS_PREFIX,
    order_key,
    order_status_key,
)
from rattanworks.exceptions import (
    MoveRefusedError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreRecordError,
)
from rattanworks.model.order import MoveOrder, OrderStatus
from rattanworks.model.service import MoveStatus
from rattanworks.moves.received_orders import (
    REWRITE_SECONDS,
    ReceivedOrder,
    ServiceOrders,
    order_revision,
)
from rattanworks.moves.record import ServiceRecords
from rattanworks.moves.requests import MoveRequests
from rattanworks.ports.base import Write, era_of, revision_of
from rattanworks.utils.codec import DecodeError, decode_json, encode_json
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

STEP_SECONDS = 0.3
# Several nodes watch for orders; a random delay lets one of them act before the rest.
MAX_JITTER_SECONDS = 0.4
# An order is reported as done this long after the end of its move, for calls that still
# run on the old version to end.
DRAIN_SECONDS = 1.2
# The finish time of the move is this long before the deadline of the order, to leave
# DRAIN_SECONDS after the end, which may be late by up to a look and a stage's dwell
# time.
MARGIN_SECONDS = 2.6
AUTHOR = "order"


@dataclass(frozen=True, slots=True)
class _StoredStatus:
    status: OrderStatus | None
    revision: int


class MoveOrders:
    """Starts the ordered moves and writes the status of each order to the store.

    Every node that watches the store does this; each write is a compare-and-swap, so
    that only one of them makes it.
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
        """Start the thread that carries out orders."""
        self._thread.start()

    def stop(self):
        """Stop carrying out orders."""
        self._stopped.set()
        self._wake.set()

    def receive_order(self, entry):
        """Add an order read from the store; raise DecodeError or StoreRecordError."""
        order = decode_json(entry.value, MoveOrder)
        if entry.key != order_key(order.service):
            raise StoreRecordError(
                f"the order is for another service, {order.service}; check which tool "
                "wrote it"
            )
        now = self._clock.monotonic()
        with self._lock:
            orders = self._orders_by_service.setdefault(order.service, ServiceOrders())
            newest = orders.newest
            if newest is not None and newest.revision >= entry.revision:
                return
            orders.update_era(entry.revision, now)
            repeated = orders.find_repeated(order, entry.revision)
            if repeated is not None:
                is_newest = orders.repeat(
                    repeated, entry.revision, now + REWRITE_SECONDS
                )
            else:
                due = now + self._random.uniform(0, MAX_JITTER_SECONDS)
                orders.received.append(
                    ReceivedOrder(
                        order,
                        [entry.revision],
                        now,
                        due,
                        orders.may_follow_others(now),
                        orders.known_revisions,
                    )
                )
        if repeated is not None:
            log_event(
                "order-repeated",
                service=order.service,
                to_version=order.to_version,
                revision=entry.revision,
                is_newest=is_newest,
            )
            return
        log_event(
            "move-ordered",
            service=order.service,
            to_version=order.to_version,
            within_seconds=order.within_seconds,
            revision=entry.revision,
        )
        self._wake.set()

    def receive_status(self, entry):
        """Update the status of an order from the store; raise DecodeError.

        Of a record that cannot be read the revision is kept, over which the next
        status is written.
        """
        service = entry.key.removeprefix(ORDER_STATUS_PREFIX)
        known = self._statuses_by_service.get(service)
        if known is not None and known.revision >= entry.revision:
            return
        try:
            status = decode_json(entry.value, OrderStatus)
        except DecodeError:
            self._statuses_by_service[service] = _StoredStatus(None, entry.revision)
            raise
        self._statuses_by_service[service] = _StoredStatus(status, entry.revision)

    def _run(self):
        while not self._stopped.is_set():
            run_guarded("orders", self.step)
            self._wake.wait(STEP_SECONDS if self._orders_by_service else None)
            self._wake.clear()

    def step(self):
        """Take the next step of each order that is due."""
        with self._lock:
            newest = [orders.newest for orders in self._orders_by_service.values()]
        for received in newest:
            if self._clock.monotonic() < received.due:
                continue
            try:
                self._carry_out(received)
            except (StoreError, MoveRefusedError) as error:
                log_event(
                    "order-waits", service=received.order.service, reason=str(error)
                )

    def _carry_out(self, received):
        state = self._services.rows_by_name.get(received.order.service)
        if state is None:
            return
        move = state.move
        if move is not None and received.has_started(move):
            self._report_status(received, move.status)
        elif move is not None and self._is_too_early(received, move):
            raise MoveRefusedError(
                f"the move of {received.order.service} to {move.to_version} is of a "
                "later order that the store may have lost; this one waits for it"
            )
        elif state.is_moving:
            self._withdraw_earlier(received, move)
        elif state.serving_version == received.order.to_version:
            self._report_status(received, MoveStatus.DONE)
        else:
            self._start_move(received, state)

    def _is_too_early(self, received, move):
        is_settled = self._clock.monotonic() >= received.seen_at + REWRITE_SECONDS
        return received.may_follow(move) and not is_settled

    def _withdraw_earlier(self, received, move):
        # A newer order replaces the move that an earlier order started.
        if order_revision(move.operation_id) is None:
            raise MoveRefusedError(
                f"another move of {received.order.service} is running; "
                "the order waits for its end"
            )
        state = self._requests.withdraw(received.order.service, AUTHOR)
        self._services.merge((state,))

    def _start_move(self, received, state):
        order = received.order
        seconds_left = order.within_seconds - (
            self._clock.monotonic() - received.seen_at
        )
        if seconds_left <= MARGIN_SECONDS:
            self._report_status(received, MoveStatus.TAKEN_BACK)
            return
        self._require_recorded(state)
        announced = {
            record.version
            for record in self._members.by_node.values()
            if record.service == order.service and record.accepts_calls
        }
        running = OrderStatus(order.service, order.to_version, MoveStatus.RUNNING)
        try:
            started = self._requests.start(
                order.service,
                order.to_version,
                self._clock.now() + seconds_left - MARGIN_SECONDS,
                AUTHOR,
                announced,
                allow_taken_back=True,
                operation_id=received.operation_id,
                extra_writes=(self._status_write(running),),
            )
        except MoveRefusedError:
            # The stored status may have another revision than the one known here.
            self._refresh_status(order.service)
            raise
        self._services.merge((started,))
        self._refresh_status(order.service)
        _log_status(running)

    def _require_recorded(self, state):
        # The generation of a move that starts from an older state is taken already.
        recorded = self._records.read(state.service)
        if recorded is None or recorded.state.precedence < state.precedence:
            raise MoveRefusedError(
                f"the store has an older state of {state.service} than this node; "
                "the move starts once it is written again"
            )

    def _report_status(self, received, status):
        wanted = OrderStatus(received.order.service, received.order.to_version, status)
        known = self._known_status(wanted.service)
        if known is not None and (
            known.status == wanted or _is_end_of(known.status, wanted)
        ):
            return
        if status == MoveStatus.DONE and not self._is_drained(received):
            return
        if status != MoveStatus.RUNNING and not self._is_recorded(received, status):
            return
        self._write(wanted)

    def _is_drained(self, received):
        now = self._clock.monotonic()
        if received.done_at is None:
            received.done_at = now
        return now - received.done_at >= DRAIN_SECONDS

    def _is_recorded(self, received, status):
        """Return whether the service's stored record has the end, which is final."""
        recorded = self._records.read(received.order.service)
        if recorded is None:
            return False
        state = recorded.state
        if state.move is not None and received.has_started(state.move):
            return state.move.status == status
        # No move was needed, or there was no time left to start one.
        is_served = state.serving_version == received.order.to_version
        return is_served == (status == MoveStatus.DONE)

    def _write(self, wanted):
        try:
            (entry,) = self._store.write_all((self._status_write(wanted),))
        except (StoreConflictError, StoreAnswerLostError):
            self._refresh_status(wanted.service)
            return
        self.receive_status(entry)
        _log_status(wanted)

    def _status_write(self, wanted):
        known = self._known_status(wanted.service)
        return Write(
            order_status_key(wanted.service),
            encode_json(wanted),
            revision_of(known),
        )

    def _known_status(self, service):
        """Return the stored status, None if there is none or the store lost it."""
        known = self._statuses_by_service.get(service)
        if known is None or era_of(known.revision) != self._store.era:
            return None
        return known

    def _refresh_status(self, service):
        entry = self._store.get(order_status_key(service))
        if entry is None:
            self._statuses_by_service.pop(service, None)
        else:
            self.receive_status(entry)


def _is_end_of(status, running):
    # Written by a node that knew more: this one has yet to learn of the end.
    if status is None or running.status != MoveStatus.RUNNING:
        return False
    return status.to_version == running.to_version


def _log_status(status):
    """Log the status of an order that was written."""
    log_event(
        "order-status",
        service=status.service,
        to_version=status.to_version,
        status=status.status.name.lower(),
    )
