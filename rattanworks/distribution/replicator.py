"""Fetching of versions that the store or a neighbour told of."""

import random
import threading

from rattanworks.distribution.content import decode_manifest, verify_blob
from rattanworks.distribution.sources import PeerSource, SourceQueue, StoreSource
from rattanworks.exceptions import (
    BlobUnusableError,
    RattanworksError,
    VersionRefusedError,
)
from rattanworks.model.control import FetchReply
from rattanworks.model.version import NO_HEAD, Head
from rattanworks.utils.backoff import TokenBucket
from rattanworks.utils.compression import compress
from rattanworks.utils.logging import log_event

STORE_READS_PER_SECOND = 20.0
STORE_READS_AT_ONCE = 64
STORE_FALLBACK_SECONDS = 4.0
MAX_START_DELAY_SECONDS = 2.0


class Replicator:
    """Pulls each newer version from whoever told of it and puts it in force.

    Only the blobs that the node lacks are fetched. A source that fails is tried
    again after a jittered delay while the others are tried; when no peer has
    helped for STORE_FALLBACK_SECONDS, the store is asked. ``on_refused`` is called
    when this node refused a version that it can hand on all the same.
    """

    def __init__(self, configuration, peers, store, clock):
        self._configuration = configuration
        self._peers = peers
        self._clock = clock
        self._random = random.Random()
        budget = TokenBucket(STORE_READS_PER_SECOND, STORE_READS_AT_ONCE, clock)
        self._store_source = StoreSource(store, budget)
        self._changed = threading.Condition()
        self._wanted = NO_HEAD
        self._wanted_since = 0.0
        self._sources = SourceQueue()
        self._is_stopped = False
        self.on_refused = lambda: None
        self._thread = threading.Thread(
            target=self._run, name="replicator", daemon=True
        )

    @property
    def head(self):
        """Return the newest head whose content this node can hand on."""
        return self._configuration.held.head

    def start(self):
        """Begin to fetch what is told."""
        self._thread.start()

    def stop(self):
        """End without waiting for a running fetch."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()

    def serve(self, message):
        """Handle a FetchRequest of a peer."""
        held = self._configuration.held.content_by_hash
        return FetchReply(
            {hash: compress(held[hash]) for hash in message.hashes if hash in held}
        )

    def handle_peer_head(self, head, address):
        """Take note of a peer's head."""
        if self._configuration.is_news(head):
            self._offer(head, PeerSource(self._peers, address))

    def handle_store_head(self, head, delay=0.0):
        """Take note of the store's head; peers have ``delay`` seconds to help."""
        if self._configuration.is_news(head):
            self._offer(head, self._store_source, delay)

    def handle_store_head_at_start(self, head):
        """Take note of the store's head, which a starting herd learns together."""
        self.handle_store_head(head, self._random.uniform(0, MAX_START_DELAY_SECONDS))

    def _offer(self, head, source, delay=0.0):
        now = self._clock.monotonic()
        with self._changed:
            if head.version < self._wanted.version:
                return
            if head != self._wanted:
                self._want(head, now)
            self._sources.add(source, now + delay)
            if now - self._wanted_since > STORE_FALLBACK_SECONDS:
                self._sources.add(self._store_source, now)
            self._changed.notify_all()

    def _want(self, head, now):
        self._wanted = head
        self._wanted_since = now
        self._sources.clear()

    def _run(self):
        while not self._is_stopped:
            step = self._wait_for_step()
            if step is not None:
                self.pull(*step)

    def _wait_for_step(self):
        with self._changed:
            step = self.next_step()
            if step is None and not self._is_stopped:
                due = self._sources.next_due()
                pause = None if due is None else due - self._clock.monotonic()
                self._changed.wait(pause if pause is None else max(0.0, pause))
            return step

    def next_step(self):
        """Return the wanted head and the source to try now, or None."""
        source = self._sources.take_due(self._clock.monotonic())
        return None if source is None else (self._wanted, source)

    def pull(self, head, source):
        """Fetch a version from one source and put it in force."""
        try:
            self._configuration.put_in_force(head, self._collect(head, source))
        except BlobUnusableError as error:
            self._note_failure(head, source, error)
        except VersionRefusedError:
            self._settle(head)
            self._want_parent_if_empty(head, source)
            self.on_refused()
        except RattanworksError as error:
            self._note_failure(head, source, error)
        else:
            self._settle(head)

    def _note_failure(self, head, source, error):
        log_event(
            "fetch-failed", version=head.version, source=source.name, reason=str(error)
        )
        with self._changed:
            if head == self._wanted:
                self._sources.note_failure(source, self._clock.monotonic())

    def _settle(self, head):
        with self._changed:
            if head == self._wanted:
                self._want(NO_HEAD, 0.0)

    def _want_parent_if_empty(self, head, source):
        # A node that has nothing in force falls back to what it would have kept.
        if self._configuration.head != NO_HEAD:
            return
        held = self._configuration.held
        if held.head != head:
            return
        content = held.content_by_hash[head.manifest_hash]
        parent = Head(
            head.version - 1, decode_manifest(content, head.manifest_hash).parent_hash
        )
        if parent.version:
            self._offer(parent, source)
            self._offer(parent, self._store_source)

    def _collect(self, head, source):
        fetched = self._fetch_verified(source, [head.manifest_hash])
        content = fetched[head.manifest_hash]
        manifest = decode_manifest(content, head.manifest_hash)
        held = self._configuration.held.content_by_hash
        missing = [
            reference.hash for reference in manifest.blobs if reference.hash not in held
        ]
        if missing:
            fetched = {**fetched, **self._fetch_verified(source, missing)}
        return fetched

    def _fetch_verified(self, source, hashes):
        fetched = source.fetch(hashes)
        for hash in hashes:
            if hash not in fetched:
                raise BlobUnusableError(
                    f"{source.name} has no blob {hash[:12]}; another source may"
                )
            verify_blob(fetched[hash], hash)
        return {hash: fetched[hash] for hash in hashes}
