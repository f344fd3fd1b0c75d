"""Operators that edit the lists during a run."""

import threading
import time
from dataclasses import dataclass

from rattanworks.adapters.http_store import HttpStore
from rattanworks.adapters.system_clock import SystemClock
from rattanworks.distribution.keys import HEAD
from rattanworks.distribution.publisher import Publisher
from rattanworks.exceptions import (
    ConflictError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from rattanworks.model.lists import Customer, OperatorLists, Plan, ServiceUse
from rattanworks.model.version import Head
from rattanworks.utils.codec import decode_json

STORE_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.2
EDIT_TIMEOUT_SECONDS = 30.0
SERVICE = "catalogue"
PROBED_CUSTOMER = "prober"


class TimedStore(HttpStore):
    """Records when each head was written, and counts its own calls."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.written_at_by_head = {}
        self.calls_by_kind = {"read": 0, "write": 0}

    def put(self, key, value, expected_revision, lease_id=""):
        """Write a record; if it is a head, record the time just before the write.

        A write whose answer was lost is recorded too, as it may have taken effect.
        """
        started = time.time()
        try:
            entry = super().put(key, value, expected_revision, lease_id)
        except (StoreConflictError, StoreUnavailableError):
            raise
        except StoreError:
            self._record_write(key, value, started)
            raise
        self._record_write(key, value, started)
        return entry

    def _record_write(self, key, value, started):
        if key == HEAD:
            self.written_at_by_head[decode_json(value, Head)] = started

    def _exchange(self, method, target, headers, body, timeout):
        self.calls_by_kind["read" if method == "GET" else "write"] += 1
        return super()._exchange(method, target, headers, body, timeout)


@dataclass(frozen=True, slots=True)
class Edit:
    """The plan that an operator's customer must have in the last version."""

    customer: str
    plan: str


class Operator:
    """Gives its own customer a new plan in each edit; both change in one version."""

    def __init__(self, address, prefix, name):
        self.name = name
        self.store = TimedStore(address, prefix, STORE_TIMEOUT_SECONDS)
        self.publisher = Publisher(self.store, SystemClock())
        self.accepted_heads = []
        self.latest_edit = None
        self.abandoned_edits = 0

    def run(self, changes, interval, start):
        """Make ``changes`` edits, one each ``interval`` seconds, from ``start`` on."""
        for number in range(changes):
            due = start + number * interval
            time.sleep(max(0.0, due - time.monotonic()))
            if not self._edit(number):
                self.abandoned_edits += 1

    def _edit(self, number):
        deadline = time.monotonic() + EDIT_TIMEOUT_SECONDS
        base = None
        while time.monotonic() < deadline:
            try:
                base = base or self.publisher.current()
                edited = self._edited(self.publisher.lists(base.manifest), number)
                head = self._accept(edited, base)
            except (StoreError, ConflictError):
                time.sleep(RETRY_SECONDS)
                continue
            self.accepted_heads.append(head)
            self.latest_edit = Edit(self.name, f"{self.name}-{number}")
            return True
        return False

    def _accept(self, edited, base):
        try:
            return self.publisher.accept(edited, base, self.name, "")
        except (ConflictError, StoreError):
            return self.publisher.accept_merged(edited, base, self.name, "")

    def _edited(self, lists, number):
        # Customer and plan change together: if a node applied only part of a version,
        # the customer would lack its plan.
        plan = f"{self.name}-{number}"
        customers = dict(lists.customers_by_id)
        plans = dict(lists.plans_by_name)
        previous = customers.get(self.name)
        if previous is not None:
            plans.pop(previous.plan, None)
        customers[self.name] = Customer(self.name, plan)
        plans[plan] = build_plan(plan)
        return OperatorLists.of(customers.values(), plans.values())


def build_plan(name):
    """Return a plan that permits calls to the run's service."""
    routes = (f"/{SERVICE}",)
    return Plan(name, 5, (ServiceUse(SERVICE, 1000.0, 1000, routes),))


def initial_lists(customers):
    """Return lists with the probed customer and ``customers`` more, all on one plan."""
    names = [PROBED_CUSTOMER, *(f"customer-{number}" for number in range(customers))]
    return OperatorLists.of(
        [Customer(name, "standard") for name in names], [build_plan("standard")]
    )


def run_operators(operators, changes, interval):
    """Divide ``changes`` edits among the operators and wait until all are made.

    Each operator edits every ``interval * len(operators)`` seconds, so that all of
    them together make one edit per ``interval`` on average.
    """
    start = time.monotonic()
    shares = [
        changes // len(operators) + (number < changes % len(operators))
        for number in range(len(operators))
    ]
    threads = [
        threading.Thread(
            target=operator.run, args=(share, interval * len(operators), start)
        )
        for operator, share in zip(operators, shares, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
