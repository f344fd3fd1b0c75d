"""The announced versions that are newer than the one in force."""

import threading

from rattanworks.model.version import NO_HEAD

MAX_ANNOUNCED = 64


class Announcements:
    """Records when each version that is still to come into force was first announced.

    Times are in seconds of a monotonic clock. Of more than MAX_ANNOUNCED versions the
    earliest and the newest are kept, which tell how far behind the node is.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._announced_at_by_version = {}
        self._newest = NO_HEAD

    @property
    def newest(self):
        """Return the newest head announced so far."""
        return self._newest

    def record(self, head):
        """Record the announcement of a head that is an update."""
        with self._lock:
            known = self._announced_at_by_version
            if head.version > self._newest.version:
                if len(known) >= MAX_ANNOUNCED:
                    del known[max(known)]
                self._newest = head
            elif len(known) >= MAX_ANNOUNCED:
                return
            known.setdefault(head.version, self._clock.monotonic())

    def settle(self, head):
        """Forget the versions up to a head that came into force or is invalid."""
        with self._lock:
            self._announced_at_by_version = {
                version: announced_at
                for version, announced_at in self._announced_at_by_version.items()
                if version > head.version
            }

    @property
    def behind_since(self):
        """Return when the first version still missing was announced, None if none is.

        A version that came into force replaces the earlier ones.
        """
        with self._lock:
            return min(self._announced_at_by_version.values(), default=None)

    @property
    def behind_seconds(self):
        """Return for how long an announced version has not been in force, 0 if none."""
        since = self.behind_since
        return 0.0 if since is None else max(0.0, self._clock.monotonic() - since)
