"""Rate limits that plans grant to each customer, enforced at owners."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

MIN_BURST_CALLS = 8.0
MAX_BUCKETS = 4096


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class PlanLimits:
    """Token buckets by customer and service, bounded in number.

    Each owner enforces its share of the customer's rate. ``min_burst`` is the
    minimum burst at one owner, in calls: a bucket that holds less than a few calls
    would refuse some only because they are not evenly spaced. Past ``max_buckets``
    the least recently used bucket is dropped: it is the most likely to be full
    again, and a full bucket is the same as a new one.
    """

    def __init__(self, clock, min_burst=MIN_BURST_CALLS, max_buckets=MAX_BUCKETS):
        self._clock = clock
        self._min_burst = min_burst
        self._max_buckets = max_buckets
        self._lock = threading.Lock()
        self._buckets_by_key = OrderedDict()

    def __len__(self):
        """Return the number of buckets held."""
        return len(self._buckets_by_key)

    def admit(self, customer, use, owners):
        """Take a token; return whether the call is within the plan's rate here.

        The rate is divided by ``owners``: the number of endpoints, or more where
        they get only a share of the service's calls.
        """
        share = 1.0 / max(1, owners)
        burst = max(min(self._min_burst, use.burst), use.burst * share)
        rate = use.calls_per_second * share
        with self._lock:
            bucket = self._bucket((customer, use.service), burst)
            self._refill(bucket, rate, burst)
            if bucket.tokens < 1.0:
                return False
            bucket.tokens -= 1.0
            return True

    def refund(self, customer, use):
        """Give back the token of a call that was admitted but did not run."""
        with self._lock:
            bucket = self._buckets_by_key.get((customer, use.service))
            if bucket is not None:
                bucket.tokens += 1.0

    def _bucket(self, key, burst):
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            bucket = _Bucket(burst, self._clock.monotonic())
            self._buckets_by_key[key] = bucket
            if len(self._buckets_by_key) > self._max_buckets:
                self._buckets_by_key.popitem(last=False)
        else:
            self._buckets_by_key.move_to_end(key)
        return bucket

    def _refill(self, bucket, rate, burst):
        now = self._clock.monotonic()
        gained = (now - bucket.refilled_at) * rate
        bucket.tokens = min(burst, bucket.tokens + gained)
        bucket.refilled_at = now
