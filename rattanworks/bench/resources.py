"""Processor time and memory of running processes."""

from dataclasses import dataclass

import psutil

MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds since start and resident memory in MiB."""

    core_seconds: float
    rss_mb: float


def usage_of(pid):
    """Return the Usage of a process, or None if it has ended."""
    try:
        process = psutil.Process(pid)
        times = process.cpu_times()
        return Usage(times.user + times.system, process.memory_info().rss / MEBIBYTE)
    except psutil.NoSuchProcess:
        return None
