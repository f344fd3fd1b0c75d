"""A queue for slots in which the threads of the calls block."""

import threading

from rattanworks.admission.call_queue import CallQueue, Waiter


class _BlockingWaiter(Waiter):
    __slots__ = ("completed",)

    def __init__(self, rank):
        super().__init__(rank)
        self.completed = threading.Event()

    def complete(self, admission):
        super().complete(admission)
        self.completed.set()


class SlotQueue:
    """A thread-safe CallQueue; ``acquire`` blocks until the call is decided."""

    def __init__(self, slots, queue_length, clock):
        self._queue = CallQueue(slots, queue_length)
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

    def load_ahead(self, rank, arrived_at):
        """Return the load ahead of a new call like one that came at ``arrived_at``."""
        with self._lock:
            return self._queue.load_ahead(rank, arrived_at, self._clock.monotonic())

    def acquire(self, rank, may_wait=True):
        """Return the Admission, after waiting in the queue if need be."""
        waiter = _BlockingWaiter(rank)
        with self._lock:
            self._queue.submit(waiter, self._clock.monotonic(), may_wait)
        if waiter.admission is None:
            self._wait(waiter)
        return waiter.admission

    def _wait(self, waiter):
        # Past its latest start a call cannot meet its deadline and is refused at once.
        left = max(0.0, waiter.rank.latest_start - self._clock.monotonic())
        if not waiter.completed.wait(left):
            with self._lock:
                self._queue.expire(waiter)

    def release(self, admission):
        """Free the slot of a call that ended and grant it to the next in the queue."""
        with self._lock:
            self._queue.release(admission, self._clock.monotonic())

    def resize(self, slots):
        """Change the number of slots; running calls keep theirs."""
        with self._lock:
            self._queue.resize(slots, self._clock.monotonic())

    def close(self):
        """Refuse all waiting and later calls; running calls finish."""
        with self._lock:
            self._queue.close()
