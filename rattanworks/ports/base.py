"""Abstract interfaces to the store, backend servers, peers and clock."""

import abc
from dataclasses import dataclass

ABSENT = 0
# Bits of a revision that count the changes within an era; the bits above are the era.
REVISION_BITS = 40


def qualified_revision(era, number):
    """Return the revision of the change ``number`` of an era.

    An era begins when a store returns from an older copy of its records, after which
    it gives out the same numbers again. Revisions of a later era are higher than all
    those of the earlier ones. A store that counts no eras stays in era 0.
    """
    return era << REVISION_BITS | number


def era_of(revision):
    """Return the era of a revision."""
    return revision >> REVISION_BITS


def number_of(revision):
    """Return the number of a revision within its era."""
    return revision & ((1 << REVISION_BITS) - 1)


def revision_of(record):
    """Return the revision of a record that was read, ABSENT for None."""
    return ABSENT if record is None else record.revision


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A record in the store; ``value`` is None once it was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Entries that changed and the store revision up to which they are complete."""

    entries: tuple[StoreEntry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """One write of a transaction, made only if the record is at ``expected_revision``.

    A ``value`` of None deletes the record; an ``expected_revision`` of ABSENT
    creates it.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: str = ""


@dataclass(frozen=True, slots=True)
class TransactionConflict:
    """The position of a write whose record is at another revision than expected."""

    position: int
    actual_revision: int


class Store(abc.ABC):
    """The platform's key-value service.

    Every method raises StoreUnavailableError when the store did not accept the
    request; writes raise StoreAnswerLostError when they may have taken effect.

    A store may return from an older copy of its records: what was written since is
    lost, and so are all leases. Revisions are qualified by the era in which they were
    read (see ``qualified_revision``). Those of an earlier era cannot be watched
    (HistoryLostError) or expected by a write (StoreConflictError), and leases of an
    earlier era have ended (LeaseLostError).
    """

    @property
    def era(self):
        """Return the latest era that an answer of the store has shown."""
        return 0

    def add_restore_listener(self, listener):
        """Call ``listener`` when an answer shows a later era than the ones before.

        It is called on the thread that makes the request, and may not wait. A store
        that counts no eras never calls it.
        """
        return

    def remove_restore_listener(self, listener):
        """Call ``listener`` no more."""
        return

    @abc.abstractmethod
    def get(self, key):
        """Return the StoreEntry at ``key`` or None."""

    def get_kept(self, key):
        """Return the StoreEntry at ``key`` if the client holds it, or None.

        Never calls the store. Only for records that do not change, such as blobs.
        """
        return None

    @abc.abstractmethod
    def list(self, prefix):
        """Return the entries whose keys start with ``prefix`` as a WatchEvent."""

    def put(self, key, value, expected_revision, lease_id=""):
        """Write by compare-and-swap and return the new StoreEntry.

        ``expected_revision`` is ABSENT to create. Raise StoreConflictError when
        the record is at another revision, LeaseLostError when the lease is gone.
        """
        (entry,) = self.write_all((Write(key, value, expected_revision, lease_id),))
        return entry

    def delete(self, key, expected_revision):
        """Delete by compare-and-swap; raise StoreConflictError on a mismatch."""
        self.write_all((Write(key, None, expected_revision),))

    @abc.abstractmethod
    def write_all(self, writes):
        """Make all Writes atomically or none; return the new Entries in order.

        Raise StoreConflictError for the first record at another revision,
        LeaseLostError when a lease is gone.
        """

    @abc.abstractmethod
    def watch(self, prefix, after_revision, timeout):
        """Wait up to ``timeout`` seconds for changes and return a WatchEvent."""

    @abc.abstractmethod
    def grant_lease(self, ttl):
        """Return the id of a new lease of ``ttl`` seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease_id):
        """Renew a lease; raise LeaseLostError when it has expired."""

    @abc.abstractmethod
    def revoke_lease(self, lease_id):
        """End a lease and delete the records bound to it."""


class BackendServer(abc.ABC):
    """The backend server beside this node."""

    @abc.abstractmethod
    def run(self, call):
        """Run the call and return its Answer.

        Raise CallNotSentError when no byte was sent, CallOutcomeUnknownError
        when the answer did not come back whole.
        """

    def is_reachable(self):
        """Return whether the server accepts a new connection."""
        return True

    @abc.abstractmethod
    def cancel(self, request_id):
        """Notify the server that the caller no longer waits for this call."""

    def close(self):
        """Close idle connections; called when the server is no longer used."""
        return


class PeerCalls(abc.ABC):
    """Sends calls to the nodes that own other endpoints."""

    @abc.abstractmethod
    def dispatch(self, record, call):
        """Send the call to the node of ``record`` and return its Answer.

        Raise CallNotSentError or CallOutcomeUnknownError as BackendServer does.
        """


class ControlPeers(abc.ABC):
    """Requests between nodes for membership, configuration and evidence."""

    @abc.abstractmethod
    def request(self, address, message, timeout):
        """Send a typed message and return the typed reply.

        Raise PeerUnavailableError when no reply comes within ``timeout`` seconds.
        """

    @abc.abstractmethod
    def forget(self, address):
        """Close the connection to a peer that is not, or no longer, a neighbour."""


class Clock(abc.ABC):
    """The clocks that the process reads."""

    @abc.abstractmethod
    def monotonic(self):
        """Return seconds that never decrease; only differences are meaningful."""

    @abc.abstractmethod
    def now(self):
        """Return seconds since the Unix epoch."""
