"""A waiting line for calls on threads of their own."""

import threading

from rattanworks.admission.line import CallQueue, Waiter


class _WaitingThread(Waiter):
    __slots__ = ("settled",)

    def __init__(self, rank):
        super().__init__(rank)
        self.settled = threading.Event()

    def complete(self, admission):
        super().complete(admission)
        self.settled.set()


class SlotQueue:
    """Makes threads wait in a CallQueue until their calls are settled."""

    def __init__(self, slots, queue_length, clock):
        self._line = CallQueue(slots, queue_length)
        self._clock = clock
        self._lock = threading.Lock()

    @property
    def load(self):
        """Return calls running and waiting as a fraction of the slots."""
        return self._line.load

    @property
    def running(self):
        """Return the number of calls running."""
        return self._line.running

    @property
    def waiting(self):
        """Return the number of calls in the queue."""
        return self._line.waiting

    def load_ahead(self, rank, arrived):
        """Return the load in front of a call that is like one that ``arrived``."""
        with self._lock:
            return self._line.load_ahead(rank, arrived, self._clock.monotonic())

    def acquire(self, rank, may_wait=True):
        """Return the Admission, after waiting in the queue if need be."""
        waiter = _WaitingThread(rank)
        with self._lock:
            self._line.submit(waiter, self._clock.monotonic(), may_wait)
        if waiter.admission is None:
            self._wait(waiter)
        return waiter.admission

    def _wait(self, waiter):
        # Past its latest start the call is of no use: its caller learns it at once.
        left = max(0.0, waiter.rank.latest_start - self._clock.monotonic())
        if not waiter.settled.wait(left):
            with self._lock:
                self._line.expire(waiter)

    def release(self, admission):
        """Give a slot back; the best waiter gets it."""
        with self._lock:
            self._line.release(admission, self._clock.monotonic())

    def resize(self, slots):
        """Change the number of slots; calls that run keep theirs."""
        with self._lock:
            self._line.resize(slots, self._clock.monotonic())

    def close(self):
        """Refuse every waiter and newcomer at once; running calls end."""
        with self._lock:
            self._line.close()
