"""The watcher role: a few nodes watch the store on behalf of all."""

import functools
import threading

from rattanworks.distribution.archive import decode_head
from rattanworks.distribution.keys import (
    HEAD,
    ORDER_STATUS_PREFIX,
    ORDERS_PREFIX,
    SERVICES_PREFIX,
    SHARED_PREFIX,
)
from rattanworks.distribution.service_states import decode_state
from rattanworks.exceptions import HistoryLostError, StoreError
from rattanworks.utils.backoff import FullJitterBackoff
from rattanworks.utils.codec import DecodeError
from rattanworks.utils.logging import log_event
from rattanworks.utils.tasks import run_guarded

WATCH_SECONDS = 20.0
RETRY_BASE_SECONDS = 0.5
RETRY_CAP_SECONDS = 3.0


class Watcher:
    """Watches the store's shared records while its role is held.

    New heads go to ``on_head``, states of services to the table ``services``. The
    operators' orders to move a service and the status of orders go to ``orders`` as
    entries of the store. After each list of all shared records, ``on_listed`` is called
    with its entries; the list is repeated if that raises StoreError.
    """

    def __init__(self, role, store, services, orders=None):
        self.role = role
        self._store = store
        self._services = services
        self._orders = orders
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._is_watching = False
        self._watch_number = 0
        self._revision = 0
        self._backoff = FullJitterBackoff(RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        self.on_head = lambda head: None
        self.on_listed = lambda entries: None
        role.on_held = self._start_thread
        store.add_restore_listener(self._handle_restore)

    def start(self):
        """Start to compete for the role and to watch while holding it."""
        self.role.start()

    def stop(self):
        """Stop watching and release the role."""
        self._stopped.set()
        self.role.stop()

    def _start_thread(self):
        # Only one thread watches at a time, also if the role was lost and regained
        # while a watch was still waiting: that thread then continues.
        with self._lock:
            if self._is_watching:
                return
            self._is_watching = True
            self._watch_number += 1
            number = self._watch_number
        threading.Thread(
            target=self._run, args=(number,), name="watcher", daemon=True
        ).start()

    def _handle_restore(self):
        # A watch that waits at a revision of before the restore may wait until it times
        # out, though there are changes: another thread reads all records again.
        with self._lock:
            was_watching, self._is_watching = self._is_watching, False
            self._watch_number += 1
        if was_watching:
            log_event("watch-abandoned", role=self.role.key, reason="store-restored")
        if self.role.is_held:
            self._start_thread()

    def _run(self, number):
        self._revision = 0
        while self._update_is_watching(number):
            if not run_guarded("watcher", self._step):
                self._stopped.wait(self._backoff.next_delay())

    def _step(self):
        try:
            self.watch_once()
            self._backoff.reset()
        except HistoryLostError as error:
            log_event("watch-restarted", reason=str(error))
            self._revision = 0
        except StoreError as error:
            log_event("watch-failed", reason=str(error))
            self._stopped.wait(self._backoff.next_delay())

    def _update_is_watching(self, number):
        with self._lock:
            if number != self._watch_number:
                return False
            self._is_watching = self.role.is_held and not self._stopped.is_set()
            return self._is_watching

    def watch_once(self):
        """Read all shared records the first time; after that, wait for changes."""
        is_list = not self._revision
        if is_list:
            event = self._store.list(SHARED_PREFIX)
        else:
            event = self._store.watch(SHARED_PREFIX, self._revision, WATCH_SECONDS)
            if event.revision < self._revision:
                self._revision = 0
                return
        self._handle(event.entries)
        if is_list:
            self.on_listed(event.entries)
        self._revision = event.revision

    def _handle(self, entries):
        for entry in entries:
            if entry.value is not None:
                run_guarded("watcher", functools.partial(self._handle_entry, entry))

    def _handle_entry(self, entry):
        try:
            self._apply_entry(entry)
        except (DecodeError, StoreError) as error:
            log_event("record-unreadable", key=entry.key, reason=str(error))

    def _apply_entry(self, entry):
        if entry.key == HEAD:
            self.on_head(decode_head(entry.value))
        elif entry.key.startswith(SERVICES_PREFIX):
            self._services.merge((decode_state(entry),))
        elif self._orders is not None:
            self._handle_order_entry(entry)

    def _handle_order_entry(self, entry):
        if entry.key.startswith(ORDERS_PREFIX):
            self._orders.receive_order(entry)
        elif entry.key.startswith(ORDER_STATUS_PREFIX):
            self._orders.receive_status(entry)
