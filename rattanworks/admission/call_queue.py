"""Queue of the calls that wait for a slot of a backend server.

It has neither threads nor locks: callers serialize access and pass in the time, in
seconds of one monotonic clock.
"""

import enum
import itertools
import math
from dataclasses import dataclass

from rattanworks.admission.rate_limit import RateLimit
from rattanworks.admission.waiting import Rank, is_servable, queue_sort_key
from rattanworks.utils.weighted_mean import updated_mean

# Weight of one call in the mean time for which calls hold a slot.
HOLD_SAMPLE_WEIGHT = 0.1
MIN_RETRY_AFTER_SECONDS = 0.05
# Slots that a server counts for at least, however low its limit.
MIN_CAPACITY = 0.1


class AdmissionResult(enum.Enum):
    """Whether a call got a slot, or why it was refused.

    The values are sent to callers, the names of the members are logged.
    """

    GRANTED = "granted"
    FULL = "no free slot and the queue is full"
    DISPLACED = "a call of better priority took the place in the queue"
    TOO_SLOW = "the queue cannot drain before the deadline"
    EXPIRED = "too little time is left after waiting in the queue"
    CLOSED = "the backend server is leaving"


@dataclass(frozen=True, slots=True)
class Admission:
    """The decision on one call.

    ``granted_at`` is in seconds of the monotonic clock, for ``CallQueue.release``.
    ``retry_after`` is in seconds, set when the call is refused.
    """

    result: AdmissionResult
    granted_at: float = 0.0
    retry_after: float = 0.0

    @property
    def is_granted(self):
        """Return whether the call holds a slot."""
        return self.result == AdmissionResult.GRANTED


class Waiter:
    """A call that asks for a slot; ``admission`` is None until it is decided.

    ``arrival_number`` is its position in the order of arrival.
    """

    __slots__ = ("admission", "arrival_number", "rank")

    def __init__(self, rank: Rank):
        self.rank = rank
        self.arrival_number = 0
        self.admission = None

    def complete(self, admission):
        """Set the decision."""
        self.admission = admission


class CallQueue:
    """Grants up to ``slots`` calls at once; up to ``max_length`` others wait.

    ``sort_key(rank, now)`` returns the key by which waiting calls are sorted, the
    next one first. A call that cannot be served in time is refused at once: its
    wait is estimated from the mean time for which calls hold a slot, and from the
    ``limit`` of the backend server, a RateLimit.

    Load pattern: a backend server in need names a rate that is below what its slots
    could do. It gets calls at that rate, and its load, the length of its queue and the
    waits are those of a server with as many slots as the rate keeps busy, so that
    entries send the other calls elsewhere.
    """

    def __init__(self, slots, max_length, sort_key=queue_sort_key, limit=None):
        self.limit = limit or RateLimit()
        self._slots = slots
        self._max_length = max_length
        self._sort_key = sort_key
        self.running = 0
        self._waiters = []
        self._arrival_numbers = itertools.count()
        self._mean_hold_seconds = 0.0
        self._is_closed = False

    @property
    def waiting(self):
        """Return the number of waiting calls."""
        return len(self._waiters)

    @property
    def waiters(self):
        """Return the waiting calls, in the order of their arrival."""
        return tuple(self._waiters)

    @property
    def has_free_slot(self):
        """Return whether a slot is free, also if the limit lets no call take it."""
        return self.running < self._slots

    @property
    def load(self):
        """Return the running and waiting calls as a fraction of the capacity."""
        return (self.running + len(self._waiters)) / self._capacity

    @property
    def _capacity(self):
        """Return the slots that can be kept busy, fewer than all under a limit."""
        slots = max(1, self._slots)
        rate = self.limit.calls_per_second
        if rate is None or not self._mean_hold_seconds:
            return slots
        return max(MIN_CAPACITY, min(slots, rate * self._mean_hold_seconds))

    def load_ahead(self, rank, arrived_at, now):
        """Return the load ahead of a new call like one that came at ``arrived_at``.

        Load pattern: short calls, on which other calls wait, overtake the long ones
        of a long queue. If their load counted the whole queue, they would be routed
        to distant endpoints without need.
        """
        if not self._waiters:
            return self.load
        key = self._sort_key(rank.shifted(now - arrived_at), now)
        ahead = sum(self._sort_key(w.rank, now) <= key for w in self._waiters)
        return (self.running + ahead) / self._capacity

    def submit(self, waiter, now, may_wait=True):
        """Decide on a new call or queue it; others that wait may be refused for it."""
        waiter.arrival_number = next(self._arrival_numbers)
        if self._is_closed:
            waiter.complete(self._refusal(AdmissionResult.CLOSED))
        elif not self._waiters and self._may_start(now):
            waiter.complete(self._take_slot(now))
        elif not may_wait:
            waiter.complete(self._refusal(AdmissionResult.FULL, now))
        else:
            self._enqueue(waiter, now)

    def release(self, admission, now):
        """Free the slot of a call that ended and grant it to the next in the queue."""
        self._record_hold(now - admission.granted_at)
        self.running -= 1
        self.grant_waiters(now)

    def update_limit(self, calls_per_second, now):
        """Take the rate that the backend server names, None for none.

        Returns whether the rate in force has changed.
        """
        is_changed = self.limit.update(calls_per_second, now)
        if is_changed:
            self.grant_waiters(now)
        return is_changed

    def seconds_to_start(self, now):
        """Return when the limit lets a waiting call start, infinity without a slot."""
        if not self.has_free_slot:
            return math.inf
        return self.limit.wait_seconds(now)

    def expire(self, waiter):
        """Refuse a call past its latest start unless it is decided already."""
        if waiter.admission is None:
            self._refuse(waiter, AdmissionResult.EXPIRED)

    def resize(self, slots, now):
        """Change the number of slots; running calls keep theirs."""
        self._slots = slots
        self.grant_waiters(now)

    def close(self):
        """Refuse all waiting and later calls; running calls finish."""
        self._is_closed = True
        for waiter in self._waiters:
            waiter.complete(self._refusal(AdmissionResult.CLOSED))
        self._waiters.clear()

    def _enqueue(self, new_waiter, now):
        self._waiters.append(new_waiter)
        waiters = self._sorted_waiters(now)
        if len(waiters) > self._length_limit:
            last = waiters.pop()
            result = (
                AdmissionResult.FULL
                if last is new_waiter
                else AdmissionResult.DISPLACED
            )
            self._refuse(last, result, now)
        if new_waiter in waiters:
            self._refuse_too_slow(waiters, waiters.index(new_waiter), now)

    @property
    def _length_limit(self):
        share = self._capacity / max(1, self._slots)
        return min(self._max_length, max(1, math.ceil(self._max_length * share)))

    def _sorted_waiters(self, now):
        return sorted(self._waiters, key=self._waiter_key(now))

    def _waiter_key(self, now):
        return lambda waiter: (self._sort_key(waiter.rank, now), waiter.arrival_number)

    def _refuse(self, waiter, result, now=None):
        self._waiters.remove(waiter)
        waiter.complete(self._refusal(result, now))

    def _refuse_too_slow(self, waiters, position, now):
        # The new call is at ``position``; those behind it now wait for one more call.
        for waiter in waiters[position:]:
            if is_servable(waiter.rank, now, self._expected_wait(position, now)):
                position += 1
            else:
                self._refuse(waiter, AdmissionResult.TOO_SLOW, now)

    def _may_start(self, now):
        return self.has_free_slot and not self.limit.wait_seconds(now)

    def grant_waiters(self, now):
        """Grant the free slots to the calls in the queue, as far as the limit goes."""
        while self._waiters and self._may_start(now):
            waiter = min(self._waiters, key=self._waiter_key(now))
            if waiter.rank.latest_start <= now:
                self._refuse(waiter, AdmissionResult.EXPIRED, now)
            else:
                self._waiters.remove(waiter)
                waiter.complete(self._take_slot(now))

    def _take_slot(self, now):
        self.running += 1
        self.limit.take(now)
        return Admission(AdmissionResult.GRANTED, now)

    def _refusal(self, result, now=None):
        wait = self._expected_wait(len(self._waiters), now)
        return Admission(result, retry_after=max(MIN_RETRY_AFTER_SECONDS, wait))

    def _expected_wait(self, position, now=None):
        """Return the wait behind ``position`` calls; without ``now``, by slots only."""
        by_slots = (position + 1) * self._mean_hold_seconds / max(1, self._slots)
        if now is None:
            return by_slots
        return max(by_slots, self.limit.wait_seconds(now, position))

    def _record_hold(self, seconds):
        # A mean of 0 means that no call has ended yet.
        self._mean_hold_seconds = updated_mean(
            self._mean_hold_seconds or None, seconds, HOLD_SAMPLE_WEIGHT
        )
