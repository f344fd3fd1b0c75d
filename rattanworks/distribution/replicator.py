"""Fetches versions that peers or the store announce, and serves them to peers."""

import functools
import math
import random
import threading

from rattanworks.distribution.announcements import Announcements
from rattanworks.distribution.content import decode_manifest, verify_blob
from rattanworks.distribution.sources import (
    KNOWN_HASH_DIGITS,
    MAX_FETCHES,
    PeerSource,
    RunningFetches,
    SourceQueue,
    StoreSource,
)
from rattanworks.exceptions import (
    BlobUnusableError,
    RattanworksError,
    VersionRefusedError,
)
from rattanworks.model.call import return_true
from rattanworks.model.control import FetchReply
from rattanworks.model.version import NO_HEAD, Head
from rattanworks.utils.backoff import TokenBucket
from rattanworks.utils.compression import compress
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

STORE_READS_PER_SECOND = 20.0
STORE_READ_BURST = 64
STORE_FALLBACK_SECONDS = 4.0
MAX_START_DELAY_SECONDS = 2.0


class Replicator:
    """Fetches each newer version from the sources that announced it.

    A source gives the newest version that it has, of which only the blobs that the
    node lacks are fetched. A source that fails is retried after a jittered delay, and
    the others are tried meanwhile; beside one that is slow to answer, another is asked.
    When a version has been missing for STORE_FALLBACK_SECONDS, the store is added as a
    source. Newer announcements restart neither a fetch nor these times. ``on_refused``
    is called when a version fails validation on this node, which can still serve its
    blobs to peers.
    """

    def __init__(self, configuration, peers, store, clock):
        self._configuration = configuration
        self._peers = peers
        self._clock = clock
        self._random = random.Random()
        budget = TokenBucket(STORE_READS_PER_SECOND, STORE_READ_BURST, clock)
        self._stopped = threading.Event()
        self._store_source = StoreSource(store, budget, self._stopped.wait)
        self.announcements = Announcements(clock)
        self._changed = threading.Condition()
        self._sources = SourceQueue()
        self._running = RunningFetches()
        self.on_refused = lambda: None
        self._threads = [
            threading.Thread(target=self._run, name=f"replicator-{number}", daemon=True)
            for number in range(MAX_FETCHES)
        ]

    @property
    def head(self):
        """Return the newest head whose blobs this node can serve to peers."""
        return self._configuration.held.head

    def start(self):
        """Start the threads that fetch announced versions."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the threads without waiting for a running fetch."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    def serve(self, message):
        """Answer a peer's FetchRequest with the blobs that this node has."""
        held = self._configuration.held
        contents = held.content_by_hash
        if not message.accepts_newest:
            return FetchReply(_compressed(contents, message.hashes))
        known = frozenset(message.known_prefixes)
        hashes = [hash for hash in contents if hash[:KNOWN_HASH_DIGITS] not in known]
        return FetchReply(_compressed(contents, hashes), held.head)

    def handle_peer_head(self, head, address):
        """Add a peer as a source of its head, if that is an update."""
        if self._configuration.is_update(head):
            self._add_source(head, PeerSource(self._peers, address))

    def handle_store_head(self, head, delay=0.0):
        """Add the store as a source of its head, if that is an update.

        Peers have ``delay`` seconds to deliver the version before the store is asked.
        """
        if self._configuration.is_update(head):
            self._add_source(head, self._store_source, delay)

    def handle_store_head_at_start(self, head):
        """Handle the store's head with a random delay.

        It spreads the reads of nodes that start at the same time.
        """
        self.handle_store_head(head, self._random.uniform(0, MAX_START_DELAY_SECONDS))

    def _add_source(self, head, source, delay=0.0):
        self.announcements.record(head)
        with self._changed:
            self._sources.add(source, head, self._clock.monotonic() + delay)
            self._changed.notify_all()

    def _run(self):
        while not self._stopped.is_set():
            fetch = self._wait_for_fetch()
            if fetch is not None:
                run_guarded("replicator", functools.partial(self.pull, *fetch))

    def _wait_for_fetch(self):
        with self._changed:
            fetch = self.next_fetch()
            if fetch is None and not self._stopped.is_set():
                timeout = self._next_due() - self._clock.monotonic()
                is_finite = timeout < math.inf
                self._changed.wait(max(0.0, timeout) if is_finite else None)
            return fetch

    def _next_due(self):
        """Return the time at which to look for a fetch, infinity without one."""
        times = [self._sources.next_due(self._running.names)]
        if self._store_source not in self._sources:
            times.append(self._store_due())
        due = min((due for due in times if due is not None), default=math.inf)
        return max(due, self._running.next_start)

    def _store_due(self):
        behind_since = self.announcements.behind_since
        return None if behind_since is None else behind_since + STORE_FALLBACK_SECONDS

    def next_fetch(self):
        """Return an announced head and the source to try now, or None.

        The caller passes both to ``pull``.
        """
        # An announcement may have been recorded while its version came into force.
        self._settle(self._configuration.head)
        now = self._clock.monotonic()
        store_due = self._store_due()
        if store_due is not None and store_due <= now:
            self._sources.add(self._store_source, self.announcements.newest, now)
        if now < self._running.next_start:
            return None
        fetch = self._sources.find_due(now, self._running.names)
        if fetch is not None:
            self._running.begin(fetch[1], now)
        return fetch

    def pull(self, head, source):
        """Fetch ``head`` or a newer version from a source and put it in force."""
        try:
            self._pull(head, source)
        finally:
            with self._changed:
                self._running.end(source)
                self._changed.notify_all()

    def _pull(self, head, source):
        started_at = self._clock.monotonic()
        try:
            fetched = self._fetch(head, source)
            if fetched is not None:
                head, contents = fetched
                self._log_fetched(head, source, started_at)
                self._configuration.put_in_force(head, contents)
        except BlobUnusableError as error:
            self._record_failure(head, source, started_at, error)
        except VersionRefusedError:
            self._settle(head)
            self._target_parent_if_empty(head, source)
            self.on_refused()
        except RattanworksError as error:
            self._record_failure(head, source, started_at, error)
        except Exception as error:
            # The source must not be asked again at once.
            self._record_failure(head, source, started_at, error)
            raise
        else:
            self._settle(head)

    def _log_fetched(self, head, source, started_at):
        log_event(
            "version-fetched",
            version=head.version,
            source=source.name,
            **self._progress_since(started_at),
        )

    def _progress_since(self, started_at):
        now = self._clock.monotonic()
        return {
            "seconds": round(now - started_at, 3),
            "announced": self.announcements.newest.version,
            "behind_seconds": round(self.announcements.behind_seconds, 3),
        }

    def _record_failure(self, head, source, started_at, error):
        log_event(
            "fetch-failed",
            version=head.version,
            source=source.name,
            **self._progress_since(started_at),
            reason=str(error),
        )
        with self._changed:
            self._sources.record_failure(source, self._clock.monotonic())

    def _settle(self, head):
        """Forget the announcements up to a head that is in force or refused."""
        self.announcements.settle(head)
        with self._changed:
            self._sources.keep_newer_than(head.version)

    def _target_parent_if_empty(self, head, source):
        # A node with nothing in force uses the parent of the refused version: a node
        # that was running already keeps that version in force.
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
            self._add_source(parent, source)
            self._add_source(parent, self._store_source)

    def _fetch(self, head, source):
        """Return the head of the version fetched and all its blobs by hash.

        The held ones are included, as another fetch may replace them meanwhile. Returns
        None if another fetch has put a version in force that is as new.
        """
        held = self._configuration.held.content_by_hash
        newest, fetched = source.fetch_newest(head, held)
        for hash, content in fetched.items():
            verify_blob(content, hash)
        if self._configuration.is_update(newest):
            head = newest
        elif not self._configuration.is_update(head):
            return None
        if head.manifest_hash not in fetched:
            fetched = {**fetched, **_fetch_all(source, [head.manifest_hash])}
        manifest = decode_manifest(fetched[head.manifest_hash], head.manifest_hash)
        missing = [
            reference.hash
            for reference in manifest.blobs
            if reference.hash not in held and reference.hash not in fetched
        ]
        if missing:
            is_wanted = functools.partial(self._configuration.is_update, head)
            fetched = {**fetched, **_fetch_all(source, missing, is_wanted)}
        return head, {**held, **fetched}


def _compressed(content_by_hash, hashes):
    return {
        hash: compress(content_by_hash[hash])
        for hash in hashes
        if hash in content_by_hash
    }


def _fetch_all(source, hashes, is_wanted=return_true):
    fetched = source.fetch(hashes, is_wanted)
    for hash in hashes:
        if hash not in fetched:
            raise BlobUnusableError(
                f"{source.name} has no blob {hash[:12]}; another source may"
            )
        verify_blob(fetched[hash], hash)
    return {hash: fetched[hash] for hash in hashes}
