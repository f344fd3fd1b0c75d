"""Fake implementations of the ports."""

from rattanworks.exceptions import (
    LeaseLostError,
    PeerUnavailableError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from rattanworks.model.call import Answer
from rattanworks.ports.base import (
    BackendServer,
    Clock,
    ControlPeers,
    PeerCalls,
    Store,
)
from rattanworks.standins.store import (
    MemoryStore,
    TransactionConflictError,
    UnknownLeaseError,
)


class FakeClock(Clock):
    """A clock that moves only when a test advances it."""

    def __init__(self, start=0.0):
        self.time = start

    def monotonic(self):
        return self.time

    def now(self):
        return self.time

    def advance(self, seconds):
        self.time += seconds


class FakeStore(Store):
    """Store port over an in-process MemoryStore, with faults that tests switch on.

    ``lose_answers`` is the number of writes and lease requests, from the next one
    on, that take effect but whose answers are lost.
    """

    def __init__(self, memory=None):
        self.memory = memory or MemoryStore()
        self.is_down = False
        self.lose_answers = 0

    def get(self, key):
        self._require_up()
        return self.memory.get(key)

    def list(self, prefix):
        self._require_up()
        return self.memory.list(prefix)

    def write_all(self, writes):
        self._require_up()
        try:
            entries = self.memory.write_all(writes)
        except TransactionConflictError as error:
            write = writes[error.position]
            raise StoreConflictError(
                write.key, write.expected_revision, error.actual
            ) from error
        except UnknownLeaseError as error:
            raise LeaseLostError("the lease has expired") from error
        self._maybe_lose_answer()
        return entries

    def watch(self, prefix, after_revision, timeout):
        self._require_up()
        return self.memory.watch(prefix, after_revision, timeout)

    def grant_lease(self, ttl):
        self._require_up()
        lease_id = self.memory.grant_lease(ttl)
        self._maybe_lose_answer()
        return lease_id

    def renew_lease(self, lease_id):
        self._require_up()
        try:
            self.memory.renew_lease(lease_id)
        except UnknownLeaseError as error:
            raise LeaseLostError("the lease has expired") from error
        self._maybe_lose_answer()

    def revoke_lease(self, lease_id):
        self._require_up()
        try:
            self.memory.revoke_lease(lease_id)
        except UnknownLeaseError as error:
            raise LeaseLostError("the lease has expired") from error
        self._maybe_lose_answer()

    def _require_up(self):
        if self.is_down:
            raise StoreUnavailableError("the store is down; try again later")

    def _maybe_lose_answer(self):
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreAnswerLostError("the answer was lost; read the record back")


class FakeBackendServer(BackendServer):
    """Records runs by request id; ``on_run`` may wait, raise or answer."""

    def __init__(self, on_run=lambda call: Answer(200)):
        self.on_run = on_run
        self.runs = []
        self.cancelled = []

    def run(self, call):
        self.runs.append(call.request_id)
        return self.on_run(call)

    def cancel(self, request_id):
        self.cancelled.append(request_id)


class FakeNetwork:
    """Connects nodes in one process, with links that can be cut and nodes that can die.

    ``cuts`` holds (sender, receiver) pairs of addresses: requests and replies of
    the sender do not arrive at the receiver.
    """

    def __init__(self):
        self.handlers_by_address = {}
        self.dead = set()
        self.cuts = set()
        self.requests = []

    def cut(self, senders, receivers):
        self.cuts |= {
            (sender, receiver) for sender in senders for receiver in receivers
        }

    def deliver(self, sender, receiver, message):
        if receiver in self.dead or (sender, receiver) in self.cuts:
            raise PeerUnavailableError(f"{receiver} is silent; ask another peer")
        self.requests.append((sender, receiver, message))
        reply = self.handlers_by_address[receiver][type(message)](message)
        if (receiver, sender) in self.cuts:
            raise PeerUnavailableError(f"{receiver} is silent; ask another peer")
        return reply


class NetworkControlPeers(ControlPeers):
    """The control peers of one node of a FakeNetwork."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def request(self, address, message, timeout):
        return self.network.deliver(self.address, address, message)

    def forget(self, address):
        return None


class FakeControlPeers(ControlPeers):
    """Passes each request to the handler of its address.

    ``handlers_by_address`` maps an address to a function of the message; if it is
    None, every reply is None. Addresses in ``silent`` do not answer.
    """

    def __init__(self, handlers_by_address=None):
        self.handlers_by_address = handlers_by_address
        self.silent = set()
        self.requests = []
        self.forgotten = []

    def request(self, address, message, timeout):
        self.requests.append((address, message))
        if self.handlers_by_address is None:
            return None
        if address in self.silent or address not in self.handlers_by_address:
            raise PeerUnavailableError(f"{address} is silent; ask another peer")
        return self.handlers_by_address[address](message)

    def forget(self, address):
        self.forgotten.append(address)


class FakePeerCalls(PeerCalls):
    """Records each dispatched call with its record; always returns ``answer``."""

    def __init__(self, answer=None):
        self.answer = answer
        self.dispatched = []

    def dispatch(self, record, call):
        self.dispatched.append((record, call))
        return self.answer


def by_type(**handlers):
    """Return a handler that passes a message to the one named after its type."""
    return lambda message: handlers[type(message).__name__](message)
