"""Latency histograms whose buckets grow by a constant factor."""

import math
from collections import Counter

BUCKETS_PER_DOUBLING = 8
SMALLEST_SECONDS = 0.0001
LAST_BUCKET = 20 * BUCKETS_PER_DOUBLING


def latency_bucket(seconds):
    """Return the number of the bucket that holds a latency."""
    if seconds <= SMALLEST_SECONDS:
        return 0
    doublings = math.log2(seconds / SMALLEST_SECONDS)
    return min(LAST_BUCKET, int(doublings * BUCKETS_PER_DOUBLING) + 1)


def buckets_in(factor):
    """Return the number of whole buckets that a factor spans."""
    return int(math.log2(factor) * BUCKETS_PER_DOUBLING + 1e-9)


def shifted(counts, buckets):
    """Return a histogram whose latencies are shorter by ``buckets`` buckets."""
    result = Counter()
    for bucket, count in counts.items():
        result[max(0, bucket - buckets)] += count
    return result
