"""Load generator of the traffic bench; runs in separate processes."""

import random
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from rattanworks.client import Client
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.settings.node import HostSettings
from rattanworks.utils.codec import DecodeError, decode_json
from rattanworks.utils.http_answers import HttpAnswer
from rattanworks.utils.http_pool import HttpPool

CONNECTIONS_PER_ADDRESS = 2
MAX_ENTRIES_TRIED = 5
ANSWER_GRACE_SECONDS = 1.0
NO_ANSWER = 0
STRAIGHT = "straight"
THROUGH = "through"
BY_CLIENT = "client"
CLIENT_READY_TIMEOUT_SECONDS = 20.0
LOOKUP = "lookup"
ORDER = "order"
KEYED = "keyed-order"
UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The calls that one load process sends.

    ``start_at`` and ``stop_at`` are in monotonic seconds, which all processes of a
    machine share. ``calls_per_second`` is the mean rate of each thread, 0 for no
    pause between calls. With ``is_compared``, each look-up through the system follows
    one sent straight to a backend server, to compare their latency;
    ``backends_by_service`` holds the addresses of these servers. With ``host``, each
    is also sent by the client library, whose node has the address ``control``.
    """

    seed: int
    threads: int
    start_at: float
    stop_at: float
    calls_per_second: float
    customer: str
    entries: tuple[str, ...]
    backends_by_service: dict[str, tuple[str, ...]]
    services_by_kind: dict[str, str]
    weights_by_kind: dict[str, float]
    upload_bytes: int
    timeout_seconds: float
    is_compared: bool = True
    host: HostSettings | None = None
    control: str = ""


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call as its caller saw it.

    ``status`` is ``NO_ANSWER`` when no answer came. ``via`` is ``STRAIGHT`` (to a
    backend server), ``THROUGH`` (by an entry node) or ``BY_CLIENT`` (by the client
    library). ``sent_at`` is in monotonic seconds, ``seconds`` the time until the whole
    answer was read.
    """

    request_id: str
    key: str
    kind: str
    via: str
    customer: str
    sent_at: float
    seconds: float
    status: int
    outcome: str
    is_whole: bool
    retry_after: str = ""


def run_load(plan):
    """Send the plan's calls and return their CallRecords."""
    client = _client_of(plan)
    with ThreadPoolExecutor(plan.threads) as executor:
        sequences = executor.map(
            lambda number: _CallSequence(plan, number, client).run(),
            range(plan.threads),
        )
        records = [record for sequence in sequences for record in sequence]
    if client:
        client.close()
    return records


def _client_of(plan):
    if plan.host is None:
        return None
    client = Client(plan.host, plan.control, plan.entries[0])
    client.start()
    client.wait_ready(CLIENT_READY_TIMEOUT_SECONDS)
    return client


class _CallSequence:
    """Sends the calls of one thread, one after the other."""

    def __init__(self, plan, number, client):
        self._plan = plan
        self._client = client
        self._random = random.Random(f"{plan.seed}/{number}")
        self._pools_by_address = {}
        self._upload = bytes(plan.upload_bytes)
        self._kinds = list(plan.weights_by_kind)
        self._weights = list(plan.weights_by_kind.values())

    def run(self):
        plan, records = self._plan, []
        due = plan.start_at
        while True:
            due = self._next_due(due)
            time.sleep(max(0.0, due - time.monotonic()))
            if time.monotonic() >= plan.stop_at:
                break
            kind = self._random.choices(self._kinds, self._weights)[0]
            if kind == LOOKUP and plan.is_compared:
                records.append(self._send_straight(kind))
                if self._client:
                    records.append(self._send(BY_CLIENT, kind, ()))
            records.append(self._send_through(kind))
        for pool in self._pools_by_address.values():
            pool.close()
        return records

    def _next_due(self, due):
        rate = self._plan.calls_per_second
        if not rate:
            return max(due, self._plan.start_at)
        return max(due + self._random.expovariate(rate), time.monotonic() - 1.0)

    def _send_straight(self, kind):
        addresses = self._plan.backends_by_service[self._plan.services_by_kind[kind]]
        return self._send(STRAIGHT, kind, [self._random.choice(addresses)])

    def _send_through(self, kind):
        entries = self._random.sample(
            self._plan.entries, min(MAX_ENTRIES_TRIED, len(self._plan.entries))
        )
        return self._send(THROUGH, kind, entries)

    def _send(self, via, kind, addresses):
        request_id = f"{via}-{self._random.getrandbits(64):016x}"
        key = uuid.UUID(int=self._random.getrandbits(128)).hex if kind == KEYED else ""
        method = "GET" if kind == LOOKUP else "POST"
        path = f"/{self._plan.services_by_kind[kind]}/{request_id}"
        body = {LOOKUP: b"", UPLOAD: self._upload}.get(kind, b"one crate of skulls")
        headers = self._headers(request_id, key)
        sent_at = time.monotonic()
        if via == BY_CLIENT:
            answer = self._exchange_by_client(method, path, request_id)
        else:
            answer = self._exchange(addresses, method, path, headers, body)
        seconds = time.monotonic() - sent_at
        return CallRecord(
            request_id=request_id,
            key=key,
            kind=kind,
            via=via,
            customer=self._plan.customer,
            sent_at=sent_at,
            seconds=seconds,
            status=answer.status if answer else NO_ANSWER,
            outcome=answer.header("x-request-outcome") if answer else "unknown",
            is_whole=bool(answer)
            and _matches_request(answer, request_id, path, len(body)),
            retry_after=answer.header("retry-after") if answer else "",
        )

    def _headers(self, request_id, key):
        timeout = f"{self._plan.timeout_seconds:.3f}"
        headers = [
            ("X-Customer", self._plan.customer),
            ("X-Request-Id", request_id),
            ("X-Request-Timeout", timeout),
        ]
        return [*headers, ("Idempotency-Key", key)] if key else headers

    def _exchange_by_client(self, method, path, request_id):
        answer = self._client.send(
            self._plan.customer,
            method,
            path,
            timeout=self._plan.timeout_seconds,
            request_id=request_id,
        )
        headers = (("x-request-outcome", str(answer.outcome)),)
        return HttpAnswer(answer.status, headers, answer.body)

    def _exchange(self, addresses, method, path, headers, body):
        wait = self._plan.timeout_seconds + ANSWER_GRACE_SECONDS
        for address in addresses:
            try:
                return self._pool(address).exchange(method, path, headers, body, wait)
            except CallNotSentError:
                continue
            except CallOutcomeUnknownError:
                return None
        return None

    def _pool(self, address):
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = HttpPool(address, CONNECTIONS_PER_ADDRESS)
            self._pools_by_address[address] = pool
        return pool


def _matches_request(answer, request_id, path, sent_bytes):
    if answer.status != 200:
        return True
    try:
        reply = decode_json(answer.body, dict)
    except DecodeError:
        return False
    return (
        reply.get("request_id"),
        reply.get("path"),
        reply.get("received_bytes"),
    ) == (
        request_id,
        path,
        sent_bytes,
    )
