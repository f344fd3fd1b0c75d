"""Detects that this process was paused, for example frozen or starved of CPU."""


class PauseGuard:
    """Decides whether this node's evidence about other nodes can be trusted.

    ``tick`` must be called at least every ``max_gap_seconds`` while the process
    runs. A longer gap means that the process itself was paused, and other nodes
    only seemed silent. The node then has to synchronize with a peer
    (``record_sync``) and listen for another ``listen_seconds`` before it may
    suspect any node.
    """

    def __init__(self, clock, max_gap_seconds, listen_seconds):
        self._clock = clock
        self._max_gap_seconds = max_gap_seconds
        self._listen_seconds = listen_seconds
        self._ticked_at = clock.monotonic()
        self._may_suspect_from = self._ticked_at + listen_seconds
        self.pause_count = 0
        self._is_sync_pending = False

    @property
    def needs_sync(self):
        """Return whether to synchronize with a peer before sending or suspecting."""
        return self._is_sync_pending or self._is_late()

    def tick(self):
        """Record that the process runs; return whether it was paused before."""
        was_paused = self._is_late()
        if was_paused:
            self.pause_count += 1
            self._is_sync_pending = True
        self._ticked_at = self._clock.monotonic()
        return was_paused

    def record_sync(self):
        """Record that the node has synchronized with a peer."""
        if self.needs_sync:
            self.tick()
            self._is_sync_pending = False
            self._may_suspect_from = self._clock.monotonic() + self._listen_seconds

    @property
    def may_suspect(self):
        """Return whether the node may consider other nodes silent."""
        if self.needs_sync:
            return False
        return self._clock.monotonic() >= self._may_suspect_from

    def _is_late(self):
        return self._clock.monotonic() - self._ticked_at > self._max_gap_seconds
