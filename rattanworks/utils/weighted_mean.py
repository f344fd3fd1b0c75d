"""Exponentially weighted moving averages, single or by key."""

import threading


def updated_mean(mean, sample, weight):
    """Return the mean after one more sample; the first sample becomes the mean."""
    return sample if mean is None else mean + weight * (sample - mean)


class WeightedMeans:
    """Exponentially weighted means of up to ``max_keys`` keys; thread-safe."""

    def __init__(self, weight, max_keys):
        self._weight = weight
        self._max_keys = max_keys
        self._lock = threading.Lock()
        self._mean_by_key = {}

    def add(self, key, sample):
        """Add a sample of a key; a new key beyond the maximum clears all others."""
        with self._lock:
            is_new = key not in self._mean_by_key
            if is_new and len(self._mean_by_key) >= self._max_keys:
                self._mean_by_key.clear()
            mean = self._mean_by_key.get(key)
            self._mean_by_key[key] = updated_mean(mean, sample, self._weight)

    def get(self, key, default=None):
        """Return the mean of a key, or ``default`` before its first sample."""
        return self._mean_by_key.get(key, default)
