"""Slots of a backend server and the calls that wait for one, as decisions alone.

Times are in seconds of one monotonic clock and given by whoever calls; neither
threads nor locks are used here.
"""

import enum
import itertools
from dataclasses import dataclass

from rattanworks.admission.waiting import Rank, is_servable, order_key
from rattanworks.utils.weighted_mean import moved_mean

HOLD_SAMPLE_WEIGHT = 0.1
MIN_RETRY_AFTER_SECONDS = 0.05


class AdmissionResult(enum.Enum):
    """What became of a wish for a slot."""

    GRANTED = "granted"
    FULL = "no free slot and the queue is full"
    DISPLACED = "a call of better priority took the place in the queue"
    TOO_SLOW = "the queue cannot drain before the deadline"
    EXPIRED = "too little time is left after waiting in the queue"
    CLOSED = "the backend server is leaving"


@dataclass(frozen=True, slots=True)
class Admission:
    """The verdict on one call; ``retry_after`` is in seconds.

    ``granted_at`` is in monotonic seconds and meant for ``CallQueue.release``.
    """

    result: AdmissionResult
    granted_at: float = 0.0
    retry_after: float = 0.0

    @property
    def is_granted(self):
        """Tell whether the call holds a slot."""
        return self.result == AdmissionResult.GRANTED


class Waiter:
    """One wish for a slot; ``admission`` is None until it is settled."""

    __slots__ = ("admission", "arrival", "rank")

    def __init__(self, rank: Rank):
        self.rank = rank
        self.arrival = 0
        self.admission = None

    def complete(self, admission):
        """Take the verdict."""
        self.admission = admission


class CallQueue:
    """Grants up to ``slots`` calls at once; others wait, best rank first.

    Whoever cannot be served in time learns it at once: the line's drain rate is
    estimated from how long calls hold a slot. ``order`` gives the key by which
    waiting calls are sorted.
    """

    def __init__(self, slots, length, order=order_key):
        self._slots = slots
        self._length = length
        self._order_key = order
        self.running = 0
        self._waiters = []
        self._arrivals = itertools.count()
        self._mean_hold_seconds = 0.0
        self._is_closed = False

    @property
    def waiting(self):
        """Return the number of calls that wait."""
        return len(self._waiters)

    @property
    def load(self):
        """Return calls running and waiting as a fraction of the slots."""
        return (self.running + len(self._waiters)) / max(1, self._slots)

    def load_ahead(self, rank, arrived, now):
        """Return the load in front of a call that is like one that ``arrived``.

        Load pattern: short calls that others wait for pass a long queue. By its
        whole length they would be sent far away without need.
        """
        if not self._waiters:
            return self.load
        key = self._order_key(rank.renewed(now - arrived), now)
        ahead = sum(self._order_key(w.rank, now) <= key for w in self._waiters)
        return (self.running + ahead) / max(1, self._slots)

    def submit(self, waiter, now, may_wait=True):
        """Settle a newcomer or let it wait; others may be settled for it."""
        waiter.arrival = next(self._arrivals)
        if self._is_closed:
            waiter.complete(self._refused(AdmissionResult.CLOSED))
        elif self.running < self._slots and not self._waiters:
            waiter.complete(self._granted(now))
        elif not may_wait:
            waiter.complete(self._refused(AdmissionResult.FULL))
        else:
            self._enqueue(waiter, now)

    def release(self, admission, now):
        """Give a slot back; the best waiter gets it."""
        self._note_hold(now - admission.granted_at)
        self.running -= 1
        self._grant_waiters(now)

    def expire(self, waiter):
        """Refuse a waiter past its latest start unless it is settled already."""
        if waiter.admission is None:
            self._refuse(waiter, AdmissionResult.EXPIRED)

    def resize(self, slots, now):
        """Change the number of slots; calls that run keep theirs."""
        self._slots = slots
        self._grant_waiters(now)

    def close(self):
        """Refuse every waiter and newcomer at once; running calls end."""
        self._is_closed = True
        for waiter in self._waiters:
            waiter.complete(self._refused(AdmissionResult.CLOSED))
        self._waiters.clear()

    def _enqueue(self, newcomer, now):
        self._waiters.append(newcomer)
        order = self._order(now)
        if len(order) > self._length:
            worst = order.pop()
            verdict = (
                AdmissionResult.FULL if worst is newcomer else AdmissionResult.DISPLACED
            )
            self._refuse(worst, verdict)
        if newcomer in order:
            self._refuse_too_slow(order, order.index(newcomer), now)

    def _order(self, now):
        return sorted(self._waiters, key=self._place(now))

    def _place(self, now):
        return lambda waiter: (self._order_key(waiter.rank, now), waiter.arrival)

    def _refuse(self, waiter, verdict):
        self._waiters.remove(waiter)
        waiter.complete(self._refused(verdict))

    def _refuse_too_slow(self, order, position, now):
        # Those behind the newcomer have one more call in front of them now.
        for waiter in order[position:]:
            if is_servable(waiter.rank, now, self._expected_wait(position)):
                position += 1
            else:
                self._refuse(waiter, AdmissionResult.TOO_SLOW)

    def _grant_waiters(self, now):
        while self._waiters and self.running < self._slots:
            waiter = min(self._waiters, key=self._place(now))
            if waiter.rank.latest_start <= now:
                self._refuse(waiter, AdmissionResult.EXPIRED)
            else:
                self._waiters.remove(waiter)
                waiter.complete(self._granted(now))

    def _granted(self, now):
        self.running += 1
        return Admission(AdmissionResult.GRANTED, now)

    def _refused(self, verdict):
        wait = self._expected_wait(len(self._waiters))
        return Admission(verdict, retry_after=max(MIN_RETRY_AFTER_SECONDS, wait))

    def _expected_wait(self, position):
        return (position + 1) * self._mean_hold_seconds / max(1, self._slots)

    def _note_hold(self, seconds):
        # Before the first call the mean is 0, which stands for no mean.
        self._mean_hold_seconds = moved_mean(
            self._mean_hold_seconds or None, seconds, HOLD_SAMPLE_WEIGHT
        )
