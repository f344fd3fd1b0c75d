"""Retry delays with full jitter, and a token bucket."""

import random
import threading


class FullJitterBackoff:
    """Exponential backoff with full jitter.

    Each delay is drawn from [0, bound); the bound starts at ``base`` and doubles
    with each failure up to ``cap``. Both are in seconds.
    """

    def __init__(self, base, cap, rng=None):
        self._base = base
        self._cap = cap
        self._random = rng or random.Random()
        self._failures = 0

    def reset(self):
        """Start again from ``base`` after a success."""
        self._failures = 0

    def next_delay(self):
        """Return the seconds to wait after one more failure."""
        bound = min(self._cap, self._base * 2**self._failures)
        if bound < self._cap:
            self._failures += 1
        return self._random.uniform(0, bound)


class TokenBucket:
    """Admits ``rate`` calls a second on average, in bursts of up to ``burst``."""

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = burst
        self._refilled_at = clock.monotonic()

    def take(self):
        """Take one token and return whether one was available."""
        with self._lock:
            self._refill()
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True

    def seconds_until_token(self):
        """Return the seconds until a token is available, 0 if one is."""
        with self._lock:
            self._refill()
            return max(0.0, 1.0 - self._tokens) / self._rate

    def _refill(self):
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
