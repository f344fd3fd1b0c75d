"""Summaries of measured values."""

import statistics


def percentile(values, percent):
    """Return the value below which ``percent`` % of them lie, 0.0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    position = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[position]


def spread(values, *percents):
    """Return percentiles by name, such as ``{"p50": …, "p99": …, "max": …}``."""
    figures = {
        f"p{percent}": round(percentile(values, percent), 4) for percent in percents
    }
    return {**figures, "max": round(max(values, default=0.0), 4)}


def mean_and_max(values):
    """Return the mean and the maximum of the values, 0.0 each if there are none."""
    mean = statistics.fmean(values) if values else 0.0
    return {"mean": round(mean, 4), "max": round(max(values, default=0.0), 4)}
