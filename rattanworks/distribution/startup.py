"""What a starting node must learn before it may serve.

A node keeps nothing over a restart, so it could come back with an older version
than it served before. It serves only once it has the store's head in force or,
while the store is out, the highest head among several informed peers in at least
two failure domains (as far as that many are known).
"""

import itertools
import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from rattanworks.distribution.archive import decode_head
from rattanworks.distribution.keys import HEAD
from rattanworks.exceptions import PeerUnavailableError, StoreError
from rattanworks.model.control import HeadRequest
from rattanworks.model.version import NO_HEAD, Head
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.logging import log_event

NEEDED_PEERS = 3
NEEDED_FAILURE_DOMAINS = 2
ASKED_IN_EACH_FAILURE_DOMAIN = 3
MAX_ASKED = 18
ASK_THREADS = 6
ASK_TIMEOUT_SECONDS = 1.0
STORE_RETRY_BASE_SECONDS = 0.5
STORE_RETRY_CAP_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """A peer's answer; ``head`` is None when it did not answer."""

    address: str
    failure_domain: str
    head: Head | None
    is_informed: bool = False


def choose_asked(records, rng):
    """Return the peers to ask: a few at random in each failure domain."""
    shuffled = rng.sample(records, len(records))
    asked_by_domain = {}
    for record in shuffled:
        asked = asked_by_domain.setdefault(record.failure_domain, [])
        if len(asked) < ASKED_IN_EACH_FAILURE_DOMAIN:
            asked.append(record)
    groups = list(asked_by_domain.values())
    by_turns = itertools.chain.from_iterable(itertools.zip_longest(*groups))
    return [record for record in by_turns if record is not None][:MAX_ASKED]


def choose_head(answers):
    """Return the highest head that enough informed peers vouch for, or None.

    Peers that have only just started know nothing and count neither for nor
    against; silent ones may know a higher head, so they raise what is needed.
    """
    known = [answer for answer in answers if answer.head is None or answer.is_informed]
    informed = [answer for answer in known if answer.head is not None]
    domains = {answer.failure_domain for answer in informed}
    known_domains = {answer.failure_domain for answer in known}
    if not informed or len(informed) < min(NEEDED_PEERS, len(known)):
        return None
    if len(domains) < min(NEEDED_FAILURE_DOMAINS, len(known_domains)):
        return None
    return max((answer.head for answer in informed), key=lambda head: head.version)


class StartupSync:
    """Finds the head that a starting node needs and waits until it is in force."""

    def __init__(
        self, store, configuration, replicator, members, peers, clock, rng=None
    ):
        self._store = store
        self._configuration = configuration
        self._replicator = replicator
        self._members = members
        self._peers = peers
        self._clock = clock
        self._random = rng or random.Random()
        self._backoff = FullJitterBackoff(
            STORE_RETRY_BASE_SECONDS, STORE_RETRY_CAP_SECONDS, self._random
        )
        self._store_due = 0.0
        self._needed = None

    def try_once(self):
        """Go one step further and tell whether the node may serve."""
        if self._needed is None:
            self._needed = self._head_of_store()
        if self._needed is not None:
            return self._has_reached(self._needed)
        head = self._head_of_peers()
        return head is not None and self._has_reached(head)

    def _has_reached(self, head):
        if self._configuration.head.version >= head.version:
            return True
        # A version that is invalid here is in force on no restart of this node.
        return (
            self._configuration.is_invalid(head)
            and self._configuration.head.version == head.version - 1
        )

    def _head_of_store(self):
        now = self._clock.monotonic()
        if now < self._store_due:
            return None
        try:
            entry = self._store.get(HEAD)
            head = NO_HEAD if entry is None else decode_head(entry.value)
        except StoreError as error:
            self._store_due = now + self._backoff.next_delay()
            log_event("store-unavailable", reason=str(error))
            return None
        self._replicator.handle_store_head_at_start(head)
        return head

    def _head_of_peers(self):
        own = self._members.own.node
        others = [record for record in self._members.present() if record.node != own]
        asked = choose_asked(others, self._random)
        if not asked:
            return None
        with ThreadPoolExecutor(ASK_THREADS) as executor:
            answers = list(executor.map(self._ask, asked))
        for answer in answers:
            if answer.head is not None:
                self._replicator.handle_peer_head(answer.head, answer.address)
        return choose_head(answers)

    def _ask(self, record):
        address, domain = record.control_address, record.failure_domain
        try:
            reply = self._peers.request(address, HeadRequest(), ASK_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            return PeerAnswer(address, domain, None)
        return PeerAnswer(address, domain, reply.head, reply.is_informed)
