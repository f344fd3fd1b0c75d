"""Counts how the requests of one trial ended."""

from collections import Counter
from dataclasses import dataclass, field

from rattanworks.bench.figures import percentile

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class _KindCounts:
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refused_again: int = 0
    seconds: list = field(default_factory=list)
    held: list = field(default_factory=list)


class TrialStatistics:
    """Counts requests by kind, repeats by service and traffic between domains."""

    def __init__(self, scenario):
        self._kinds = [kind for kind in scenario.kinds if kind.per_second]
        self._counts_by_kind = {kind.name: _KindCounts() for kind in self._kinds}
        self._arrivals_by_service = Counter()
        self._repeats_by_service = Counter()
        self._crossed_bytes = 0

    def record_request(self, kind):
        """Count a new request of a caller; retries are not counted."""
        self._counts_by_kind[kind.name].asked += 1

    def record_success(self, kind, seconds):
        """Count a request that succeeded ``seconds`` after its first attempt."""
        counts = self._counts_by_kind[kind.name]
        counts.seconds.append(seconds)
        if seconds <= kind.objective:
            counts.in_time += 1
        else:
            counts.late += 1

    def record_failure(self, kind, is_refused, held, was_refused):
        """Count a request that ended without success.

        ``held`` is how long its last attempt waited in seconds, 0 if it was offered to
        a backend server. ``was_refused`` says whether an earlier attempt was refused.
        """
        counts = self._counts_by_kind[kind.name]
        counts.refused += is_refused
        counts.failed += not is_refused
        counts.refused_again += was_refused
        if held:
            counts.held.append(held)

    def record_arrival(self, kind, is_repeat):
        """Count an attempt that reached an owner, and whether it is a repeat."""
        self._arrivals_by_service[kind.service] += 1
        self._repeats_by_service[kind.service] += is_repeat

    def record_crossing(self, kind):
        """Add the bytes of a call that went to another failure domain."""
        self._crossed_bytes += kind.request_bytes + kind.answer_bytes

    def figures(self):
        """Return the figures of the trial as a dict."""
        return {
            "goodput": round(self._goodput(), 4),
            "refused_again": round(self._share_of("refused_again"), 4),
            "held_ms_p99": self._held_ms_p99(),
            "crossed_mb": round(self._crossed_bytes / 1e6, 2),
            "repeat_share": round(self._repeat_share(), 4),
            "kinds": {kind.name: self._kind_figures(kind) for kind in self._kinds},
        }

    def _goodput(self):
        maximum = sum(
            k.utility * self._counts_by_kind[k.name].asked for k in self._kinds
        )
        achieved = sum(
            k.utility * self._counts_by_kind[k.name].in_time
            + k.utility * k.late_factor * self._counts_by_kind[k.name].late
            for k in self._kinds
        )
        return achieved / max(1.0, maximum)

    def _share_of(self, name):
        counts = self._counts_by_kind.values()
        asked = sum(count.asked for count in counts)
        return sum(getattr(count, name) for count in counts) / max(1, asked)

    def _held_ms_p99(self):
        held = [s for counts in self._counts_by_kind.values() for s in counts.held]
        return round(percentile(held, 99) * MILLISECONDS_PER_SECOND, 1)

    def _repeat_share(self):
        arrivals = sum(self._arrivals_by_service.values())
        return sum(self._repeats_by_service.values()) / max(1, arrivals)

    def _kind_figures(self, kind):
        counts = self._counts_by_kind[kind.name]
        asked = max(1, counts.asked)
        return {
            "asked": counts.asked,
            "in_time": round(counts.in_time / asked, 4),
            "late": round(counts.late / asked, 4),
            "refused": round(counts.refused / asked, 4),
            "failed": round(counts.failed / asked, 4),
            "ms_p50": round(
                percentile(counts.seconds, 50) * MILLISECONDS_PER_SECOND, 1
            ),
            "ms_p99": round(
                percentile(counts.seconds, 99) * MILLISECONDS_PER_SECOND, 1
            ),
        }
