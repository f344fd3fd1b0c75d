"""A queue for slots in which the threads of the calls block."""

import threading

from rattanworks.admission.call_queue import CallQueue, Waiter
from rattanworks.utils.turns import end_turn


class _BlockingWaiter(Waiter):
    __slots__ = ("changed",)

    def __init__(self, rank):
        super().__init__(rank)
        # Set when the call is decided or the time of its start may have changed; None
        # while no thread can wait for it.
        self.changed = None

    def complete(self, admission):
        super().complete(admission)
        if self.changed is not None:
            self.changed.set()


class SlotQueue:
    """A thread-safe CallQueue; ``acquire`` blocks until the call is decided.

    ``limit`` is the RateLimit of the backend server, by default a new one.
    """

    def __init__(self, slots, queue_length, clock, limit=None):
        self._queue = CallQueue(slots, queue_length, limit=limit)
        self._clock = clock
        self._lock = threading.Lock()

    @property
    def load(self):
        """Return the running and waiting calls as a fraction of the slots."""
        return self._queue.load

    @property
    def running(self):
        """Return the number of running calls."""
        return self._queue.running

    @property
    def waiting(self):
        """Return the number of waiting calls."""
        return self._queue.waiting

    @property
    def limit(self):
        """Return the RateLimit of the backend server."""
        return self._queue.limit

    def load_ahead(self, rank, arrived_at):
        """Return the load ahead of a new call like one that came at ``arrived_at``."""
        with self._lock:
            return self._queue.load_ahead(rank, arrived_at, self._clock.monotonic())

    def acquire(self, rank, may_wait=True):
        """Return the Admission, after waiting in the queue if need be."""
        waiter = _BlockingWaiter(rank)
        with self._lock:
            self._queue.submit(waiter, self._clock.monotonic(), may_wait)
            # Most calls are decided at once: an event costs more than the decision.
            if waiter.admission is None:
                waiter.changed = threading.Event()
        while waiter.admission is None:
            self._wait(waiter)
        return waiter.admission

    def _wait(self, waiter):
        """Wait until the call is decided or something is to be decided."""
        end_turn()
        left, pause = self._times_to_wait(waiter)
        if waiter.changed.wait(min(left, pause)):
            waiter.changed.clear()
            return
        with self._lock:
            if left <= pause:
                # Past its latest start a call cannot meet its deadline and is refused
                # at once.
                self._queue.expire(waiter)
            else:
                # The limit of the backend server lets a call start although none has
                # ended.
                self._queue.grant_waiters(self._clock.monotonic())

    def _times_to_wait(self, waiter):
        """Return the seconds to the latest start and to the next one by the limit."""
        with self._lock:
            now = self._clock.monotonic()
            left = max(0.0, waiter.rank.latest_start - now)
            return left, self._queue.seconds_to_start(now)

    def update_limit(self, calls_per_second):
        """Take the rate that the backend server names, see CallQueue.update_limit."""
        with self._lock:
            now = self._clock.monotonic()
            is_changed = self._queue.update_limit(calls_per_second, now)
            if is_changed:
                self._wake_waiters()
            return is_changed

    def _wake_waiters(self):
        # With a free slot and calls in the queue, only the limit holds them back: they
        # wait for a time that did not count while all slots were taken.
        if self._queue.has_free_slot:
            for waiter in self._queue.waiters:
                waiter.changed.set()

    def release(self, admission):
        """Free the slot of a call that ended and grant it to the next in the queue."""
        with self._lock:
            self._queue.release(admission, self._clock.monotonic())
            self._wake_waiters()

    def resize(self, slots):
        """Change the number of slots; running calls keep theirs."""
        with self._lock:
            self._queue.resize(slots, self._clock.monotonic())

    def close(self):
        """Refuse all waiting and later calls; running calls finish."""
        with self._lock:
            self._queue.close()
