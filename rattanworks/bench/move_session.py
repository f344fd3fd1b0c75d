"""Runs one move through real processes, from its start to its end."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from rattanworks.adapters.system_clock import SystemClock
from rattanworks.bench.caller import Caller
from rattanworks.bench.fleet import POLL_SECONDS, wait_until
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.model.service import MoveStatus
from rattanworks.moves.record import ServiceRecords
from rattanworks.moves.requests import MoveRequests
from rattanworks.utils.codec import DecodeError, decode_json

CALL_TIMEOUT_SECONDS = 3.0
SERVING_TIMEOUT_SECONDS = 20.0
CALLER_THREADS = 4
GRACE_SECONDS = 30.0
ALLOWED_AFTER_END_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class AnsweredCall:
    """One call of the load: when it ended and which version answered it."""

    ended_at: float
    status: int
    version: str


class MoveLoad:
    """Sends look-ups at a steady rate to several nodes while a move runs."""

    def __init__(self, addresses, customer, paths, calls_per_second):
        self._callers = [Caller(address, customer) for address in addresses]
        self._paths = paths
        self._interval = CALLER_THREADS / calls_per_second
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._answered_calls = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLER_THREADS)
        ]

    def __enter__(self):
        """Start sending."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        """Stop sending and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(CALL_TIMEOUT_SECONDS * 2)
        for caller in self._callers:
            caller.close()

    @property
    def answered_calls(self):
        """Return the calls that were answered so far."""
        with self._lock:
            return tuple(self._answered_calls)

    def _run(self, number):
        due = time.monotonic() + self._interval * number / CALLER_THREADS
        while not self._stopped.wait(max(0.0, due - time.monotonic())):
            self._send(number)
            number += 1
            due += self._interval

    def _send(self, number):
        caller = self._callers[number % len(self._callers)]
        path = f"{self._paths[number % len(self._paths)]}/{number}"
        try:
            answer = caller.send("GET", path, timeout=CALL_TIMEOUT_SECONDS)
        except (CallNotSentError, CallOutcomeUnknownError):
            return
        call = AnsweredCall(time.monotonic(), answer.status, _version_of(answer))
        with self._lock:
            self._answered_calls.append(call)


def _version_of(answer):
    version = answer.header("x-version")
    if version or answer.status != 200:
        return version
    try:
        return decode_json(answer.body, dict).get("version", "")
    except DecodeError:
        return ""


@dataclass(frozen=True, slots=True)
class MoveResult:
    """How a move through real processes ended.

    ``max_share`` is the new version's greatest share that was read from the store.
    ``new_calls_after_end`` is the number of calls that a backend server of the new
    version answered more than two seconds after the move ended.
    """

    state: object
    seconds: float
    in_time: bool
    max_share: float
    calls: int
    new_calls: int
    failed_calls: int
    new_calls_after_end: int

    @property
    def status(self):
        """Return the MoveStatus at the end."""
        return self.state.move.status


def start_version(fleet, service, version, behaviour="{}", count=None):
    """Start a server of a new version beside each, or ``count``, of the old ones."""
    old = [
        node.place
        for node in sorted(fleet.nodes, key=lambda node: node.place.name)
        if node.place.service == service and node.place.version != version
    ]
    places = [
        replace(place, name=f"{service}-{version}-{number}", version=version)
        for number, place in enumerate(old[:count], 1)
    ]
    with ThreadPoolExecutor(len(places)) as executor:
        list(executor.map(lambda place: fleet.start_node(place, behaviour), places))
    fleet.wait_ready()
    expected = sum(node.backend is not None for node in fleet.nodes)
    wait_until(
        lambda: fleet.sees_serving(expected), SERVING_TIMEOUT_SECONDS, "new servers"
    )


def run_move(
    fleet,
    service,
    version,
    within_seconds,
    customer,
    calls_per_second=60,
    on_state=None,
):
    """Move a service to ``version`` under load and return the MoveResult.

    Servers of the version must be serving already, see ``start_version``.
    ``on_state`` is called with each ServiceState that is read from the store.
    """
    client = fleet.store_client
    MoveRequests(client, SystemClock()).start(
        service, version, time.time() + within_seconds, "bench", {version}
    )
    started = time.monotonic()
    addresses = [node.callers for node in fleet.nodes]
    with MoveLoad(addresses, customer, [f"/{service}"], calls_per_second) as load:
        state, max_share = _wait_for_end(client, service, within_seconds, on_state)
        ended = time.monotonic()
        time.sleep(ALLOWED_AFTER_END_SECONDS * 1.5)
    answered_calls = load.answered_calls
    allowed_until = ended + ALLOWED_AFTER_END_SECONDS
    return MoveResult(
        state=state,
        seconds=round(ended - started, 2),
        in_time=state.move.ended_at <= state.move.finish_by,
        max_share=max_share,
        calls=len(answered_calls),
        new_calls=sum(call.version == version for call in answered_calls),
        failed_calls=sum(call.status >= 500 for call in answered_calls),
        new_calls_after_end=sum(
            call.version == version and call.ended_at > allowed_until
            for call in answered_calls
        ),
    )


def _wait_for_end(client, service, within_seconds, on_state):
    records = ServiceRecords(client)
    max_share = 0.0
    deadline = time.monotonic() + within_seconds + GRACE_SECONDS
    while True:
        state = records.read(service).state
        if on_state is not None:
            on_state(state)
        if state.move.status == MoveStatus.RUNNING:
            max_share = max(max_share, state.move.share)
        elif state.move.status == MoveStatus.DONE:
            return state, 1.0
        else:
            return state, max_share
        if time.monotonic() > deadline:
            return state, max_share
        time.sleep(POLL_SECONDS * 4)
