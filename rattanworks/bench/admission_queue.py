"""Offers calls to a SlotQueue in real time and records their results."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.admission.slots import SlotQueue
from rattanworks.admission.waiting import Rank
from rattanworks.bench.figures import percentile

HOLD_SECONDS = 0.01
DEADLINE_SECONDS = 0.25
WORKERS = 128
MILLISECONDS_PER_SECOND = 1000

QUEUE_LENGTHS = (0, 4, 16, 64)
LOADS = (0.7, 0.95, 2.0)
WITHIN_PLAN_LOAD = 0.8
BEYOND_PLAN_LOAD = 1.2


@dataclass(frozen=True, slots=True)
class QueueSize:
    """Slots of the backend server, and the length of each run in seconds."""

    slots: int
    seconds: float

    @property
    def calls_per_second(self):
        """Return the rate at which all slots are busy."""
        return self.slots / HOLD_SECONDS


@dataclass(frozen=True, slots=True)
class OfferedCall:
    """The result of one call; ``wait`` is the time to its admission or refusal."""

    is_beyond_plan: bool
    is_served: bool
    wait: float


class BeyondPlanPolicy:
    """Policies for calls beyond the plan.

    REFUSED calls are refused at once; FREE_SLOT calls run only if a slot is free;
    QUEUED_LAST calls wait behind all calls within the plan.
    """

    REFUSED = "refused"
    FREE_SLOT = "free_slot"
    QUEUED_LAST = "queued_last"


def compare_queues(seed, size):
    """Return figures by queue length and load, all calls within their plan."""
    figures = {}
    for length in QUEUE_LENGTHS:
        for load in LOADS:
            calls = _offer_calls(
                seed, size, length, load, 0.0, BeyondPlanPolicy.REFUSED
            )
            figures[f"queue_{length}_load_{load}"] = _summary(calls)
    return figures


def compare_beyond_plan(seed, size):
    """Return figures by policy, at twice the load that the slots can serve."""
    figures = {}
    for policy in (
        BeyondPlanPolicy.REFUSED,
        BeyondPlanPolicy.FREE_SLOT,
        BeyondPlanPolicy.QUEUED_LAST,
    ):
        calls = _offer_calls(seed, size, 16, WITHIN_PLAN_LOAD, BEYOND_PLAN_LOAD, policy)
        within = [call for call in calls if not call.is_beyond_plan]
        beyond = [call for call in calls if call.is_beyond_plan]
        figures[f"beyond_plan_{policy}_within"] = _summary(within)
        figures[f"beyond_plan_{policy}_beyond"] = _summary(beyond)
    return figures


def _summary(calls):
    served = [call.wait * MILLISECONDS_PER_SECOND for call in calls if call.is_served]
    refused = [
        call.wait * MILLISECONDS_PER_SECOND for call in calls if not call.is_served
    ]
    return {
        "offered": len(calls),
        "served_share": round(len(served) / max(1, len(calls)), 4),
        "wait_ms_p50": round(percentile(served, 50), 2),
        "wait_ms_p99": round(percentile(served, 99), 2),
        "refusal_ms_p50": round(percentile(refused, 50), 2),
        "refusal_ms_p99": round(percentile(refused, 99), 2),
    }


def _offer_calls(seed, size, length, within_load, beyond_load, policy):
    clock = SystemClock()
    queue = SlotQueue(size.slots, length, clock)
    rng = random.Random(seed)
    results, lock = [], threading.Lock()

    def call(is_beyond, hold):
        outcome = _attempt(queue, clock, is_beyond, hold, policy)
        with lock:
            results.append(outcome)

    rate = (within_load + beyond_load) * size.calls_per_second
    with ThreadPoolExecutor(WORKERS) as executor:
        due = end = time.monotonic()
        end += size.seconds
        while due < end:
            due += rng.expovariate(rate)
            is_beyond = rng.random() < beyond_load / (within_load + beyond_load)
            hold = HOLD_SECONDS * rng.uniform(0.5, 1.5)
            time.sleep(max(0.0, due - time.monotonic()))
            executor.submit(call, is_beyond, hold)
    return results


def _attempt(queue, clock, is_beyond, hold, policy):
    started = clock.monotonic()
    if is_beyond and policy == BeyondPlanPolicy.REFUSED:
        return OfferedCall(True, False, 0.0)
    rank = Rank(is_beyond, 2, started + DEADLINE_SECONDS)
    may_wait = not is_beyond or policy == BeyondPlanPolicy.QUEUED_LAST
    admission = queue.acquire(rank, may_wait)
    waited = clock.monotonic() - started
    if admission.is_granted:
        time.sleep(hold)
        queue.release(admission)
    return OfferedCall(is_beyond, admission.is_granted, waited)
