"""Announces the backend server stand-in to its node."""

import threading
import uuid

from rattanworks.adapters.http_local import ANNOUNCE_PATH, LEAVE_PATH
from rattanworks.exceptions import CallNotSentError, CallOutcomeUnknownError
from rattanworks.model.announcement import Announcement
from rattanworks.utils.codec import encode_json
from rattanworks.utils.http_pool import HttpPool
from rattanworks.utils.logging import log_event

RETRY_SECONDS = 0.2
HEARTBEAT_SECONDS = 1.0
TIMEOUT_SECONDS = 5.0


class Announcer:
    """Announces the stand-in to its node and repeats this as a heartbeat."""

    def __init__(self, arguments, address):
        self._pool = HttpPool(arguments.node, 2) if arguments.node else None
        self._announcement = Announcement(
            arguments.service,
            arguments.service_version,
            address,
            arguments.slots,
            arguments.connections,
            instance=uuid.uuid4().hex,
            heartbeat_seconds=HEARTBEAT_SECONDS,
        )
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def start(self):
        """Start the announcing thread, unless no node is configured."""
        if self._pool:
            threading.Thread(target=self._run, name="announce", daemon=True).start()

    def _run(self):
        was_accepted = False
        while not self._stopped.is_set():
            is_accepted = self._announce()
            if is_accepted and not was_accepted:
                log_event("standin-announced", service=self._announcement.service)
            was_accepted = is_accepted
            self._stopped.wait(HEARTBEAT_SECONDS if is_accepted else RETRY_SECONDS)

    def _announce(self):
        with self._lock:
            if self._stopped.is_set():
                return False
            return self._post(ANNOUNCE_PATH, encode_json(self._announcement))

    def leave(self):
        """Notify the node that the stand-in accepts no new calls."""
        self._stopped.set()
        if self._pool:
            # The lock waits for a heartbeat under way: one that reached the node after
            # the leave request would restore the endpoint.
            with self._lock:
                self._post(LEAVE_PATH, b"")

    def _post(self, path, body):
        try:
            answer = self._pool.exchange("POST", path, (), body, TIMEOUT_SECONDS)
        except (CallNotSentError, CallOutcomeUnknownError):
            return False
        return answer.status == 204
