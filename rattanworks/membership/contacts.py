"""Contact addresses in the store, through which nodes find the others."""

import random
from concurrent.futures import ThreadPoolExecutor, as_completed

from rattanworks.distribution.keys import WATCHERS_PREFIX
from rattanworks.exceptions import PeerUnavailableError, StoreError
from rattanworks.model.control import HeadRequest
from rattanworks.roles.candidates import candidates
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import log_event
from rattanworks.utils.sockets import split_address

CHECK_BASE_SECONDS = 1.0
CHECK_CAP_SECONDS = 60.0
# Names the group in the order by which the nodes that check are chosen.
CHECKERS_GROUP = "contacts"
# Contacts that are probed at once, and for how long at first. The time doubles with
# each probe that finds none, for hosts that are slow.
MAX_PROBED = 3
PROBE_BASE_SECONDS = 0.25
PROBE_CAP_SECONDS = 4.0


def is_contact_checker(node, present_nodes):
    """Return whether ``node`` checks the contacts for all ``present_nodes``.

    Groups that do not know each other have checkers of their own, so that the rate of
    reads from the store grows with the groups and not with their nodes.
    """
    return node in candidates(CHECKERS_GROUP, 0, 1, present_nodes)


class ContactSchedule:
    """Schedules the checks of a node's members against the contacts in the store.

    Nodes that start together may form groups that do not know each other. The
    delay between checks grows over time.
    """

    def __init__(self, clock, rng=None):
        self._clock = clock
        self._backoff = FullJitterBackoff(CHECK_BASE_SECONDS, CHECK_CAP_SECONDS, rng)
        # The node has read the contacts for its start just before.
        self._due = clock.monotonic() + self._backoff.next_delay()
        self._backoff.reset()

    def is_due(self):
        """Return whether to check now, and if so schedule the next check."""
        now = self._clock.monotonic()
        if now < self._due:
            return False
        self._due = now + self._backoff.next_delay()
        return True


class ContactProbe:
    """Finds a contact that answers, so that a start does not wait for one that is down.

    A host that is down drops the first packet of a connection, and the system sends
    the next one a second later. After a loss of power, when all nodes start at once,
    the contacts in the store may be up a moment later than this node.
    """

    def __init__(self, peers, rng=None):
        self._peers = peers
        self._random = rng or random.Random()
        self._seconds = PROBE_BASE_SECONDS

    def find(self, addresses):
        """Return the first of some random addresses to answer, or None."""
        addresses = list(dict.fromkeys(addresses))
        probed = self._random.sample(addresses, min(MAX_PROBED, len(addresses)))
        if not probed:
            return None
        executor = ThreadPoolExecutor(len(probed))
        futures = [executor.submit(self._ask, address) for address in probed]
        try:
            for future in as_completed(futures):
                if future.result() is not None:
                    return future.result()
        finally:
            executor.shutdown(wait=False)
        log_event("contacts-silent", peers=",".join(probed), seconds=self._seconds)
        self._seconds = min(PROBE_CAP_SECONDS, 2 * self._seconds)
        return None

    def _ask(self, address):
        try:
            self._peers.request(address, HeadRequest(), self._seconds)
        except PeerUnavailableError:
            return None
        return address


def list_contacts(store):
    """Return the control addresses of the nodes in the watcher role.

    Raises StoreError.
    """
    addresses = []
    for entry in store.list(WATCHERS_PREFIX).entries:
        address = entry.value.decode("ascii", "replace")
        try:
            split_address(address)
        except ValueError as error:
            log_event("record-unreadable", key=entry.key, reason=str(error))
            continue
        addresses.append(address)
    return addresses


def read_contacts(store, own_address):
    """Return the other watchers' control addresses, or () if the store is down.

    Each failure domain has a few watchers, regardless of the size of the fleet.
    """
    try:
        addresses = list_contacts(store)
    except StoreError as error:
        log_event("store-unavailable", reason=str(error))
        return ()
    return tuple(address for address in addresses if address != own_address)
