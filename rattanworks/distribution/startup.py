"""Synchronization of a starting node before it may serve.

A node stores nothing locally, so after a restart it could serve an older version than
before. It serves only once it has the store's head in force or, while the store is
unavailable, the highest head among several informed peers in at least two failure
domains (fewer if fewer are known). A peer is informed once it is ready itself.
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

MIN_PEERS = 3
MIN_FAILURE_DOMAINS = 2
MAX_PEERS_PER_FAILURE_DOMAIN = 3
MAX_ASKED_PEERS = 18
ASK_THREADS = 6
ASK_TIMEOUT_SECONDS = 1.0
STORE_RETRY_BASE_SECONDS = 0.5
STORE_RETRY_CAP_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """A peer's answer to a HeadRequest; ``head`` is None when it did not answer."""

    address: str
    failure_domain: str
    head: Head | None
    is_informed: bool = False


def choose_peers(records, rng):
    """Return the records of the peers to ask: a few random ones in each domain.

    The domains take turns, so that MAX_ASKED_PEERS shortens all of them evenly.
    """
    shuffled = rng.sample(records, len(records))
    chosen_by_domain = {}
    for record in shuffled:
        chosen = chosen_by_domain.setdefault(record.failure_domain, [])
        if len(chosen) < MAX_PEERS_PER_FAILURE_DOMAIN:
            chosen.append(record)
    groups = list(chosen_by_domain.values())
    interleaved = itertools.chain.from_iterable(itertools.zip_longest(*groups))
    return [record for record in interleaved if record is not None][:MAX_ASKED_PEERS]


def choose_head(answers):
    """Return the highest head of the informed peers, or None if too few answered.

    Peers that are starting themselves are ignored. A silent peer may know a higher
    head, so it counts as known and can raise the number of answers required.
    """
    known = [answer for answer in answers if answer.head is None or answer.is_informed]
    informed = [answer for answer in known if answer.head is not None]
    domains = {answer.failure_domain for answer in informed}
    known_domains = {answer.failure_domain for answer in known}
    if not informed or len(informed) < min(MIN_PEERS, len(known)):
        return None
    if len(domains) < min(MIN_FAILURE_DOMAINS, len(known_domains)):
        return None
    return max((answer.head for answer in informed), key=lambda head: head.version)


class StartupSync:
    """Finds the head that a starting node must have in force and requests it."""

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
        self._store_retry_at = 0.0
        self._required_head = None

    def try_once(self):
        """Return whether the node may serve.

        Reads the store's head, or asks peers for theirs while the store is
        unavailable. The caller repeats this until it returns True.
        """
        if self._required_head is None:
            self._required_head = self._read_store_head()
        if self._required_head is not None:
            return self._has_reached(self._required_head)
        head = self._ask_peers()
        return head is not None and self._has_reached(head)

    def _has_reached(self, head):
        if self._configuration.head.version >= head.version:
            return True
        # An invalid version never comes into force on this node: its parent suffices.
        return (
            self._configuration.is_invalid(head)
            and self._configuration.head.version == head.version - 1
        )

    def _read_store_head(self):
        now = self._clock.monotonic()
        if now < self._store_retry_at:
            return None
        try:
            entry = self._store.get(HEAD)
            head = NO_HEAD if entry is None else decode_head(entry.value)
        except StoreError as error:
            self._store_retry_at = now + self._backoff.next_delay()
            log_event("store-unavailable", reason=str(error))
            return None
        self._replicator.handle_store_head_at_start(head)
        return head

    def _ask_peers(self):
        own = self._members.own.node
        others = [record for record in self._members.present() if record.node != own]
        chosen = choose_peers(others, self._random)
        if not chosen:
            return None
        with ThreadPoolExecutor(ASK_THREADS) as executor:
            answers = list(executor.map(self._ask, chosen))
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
