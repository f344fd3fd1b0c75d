"""Exponentially weighted means, one by itself or several by a key."""

import threading


def updated_mean(mean, sample, weight):
    """Return a mean moved towards a sample; the first sample is the mean."""
    return sample if mean is None else mean + weight * (sample - mean)


class WeightedMeans:
    """Means by key, bounded in number, safe for threads."""

    def __init__(self, weight, max_keys):
        self._weight = weight
        self._max_keys = max_keys
        self._lock = threading.Lock()
        self._mean_by_key = {}

    def add(self, key, sample):
        """Take in one sample of a key; past the bound all keys begin anew."""
        with self._lock:
            is_new = key not in self._mean_by_key
            if is_new and len(self._mean_by_key) >= self._max_keys:
                self._mean_by_key.clear()
            mean = self._mean_by_key.get(key)
            self._mean_by_key[key] = updated_mean(mean, sample, self._weight)

    def get(self, key, default=None):
        """Return the mean of a key, ``default`` before its first sample."""
        return self._mean_by_key.get(key, default)
