"""Figures of a traffic run, from the callers' records and the servers' run counts."""

from collections import Counter

from rattanworks.bench.figures import percentile
from rattanworks.bench.traffic_load import (
    BY_CLIENT,
    KEYED,
    LOOKUP,
    NO_ANSWER,
    ORDER,
    STRAIGHT,
    THROUGH,
    UPLOAD,
)

MILLISECONDS_PER_SECOND = 1000
OK = 200
NOT_RUN = "not-run"
UNKNOWN = "unknown"


def compute_figures(records, runs_by_request_id, customers_within_plan):
    """Return the figures of a run.

    ``runs_by_request_id`` is the sum over all backend servers. Whether a request ran
    is taken from it alone. ``customers_within_plan`` are the customers that stay
    within the limits of their plans.
    """
    through = [record for record in records if record.via != STRAIGHT]
    within = [record for record in through if record.customer in customers_within_plan]
    refused = [record for record in through if record.outcome == NOT_RUN]
    served = sum(record.status == OK for record in within)
    return {
        "calls": len(through),
        "whole_answers": sum(_is_answered(record) for record in through),
        "wrong_or_partial_answers": sum(not record.is_whole for record in through)
        - sum(record.status == NO_ANSWER for record in through),
        "refused_not_run": len(refused),
        "not_run_but_ran": _count_refused_but_run(refused, runs_by_request_id),
        "ran_more_than_once": _count_run_repeatedly(through, runs_by_request_id),
        "outcome_unknown": sum(_is_unknown(record) for record in through),
        "no_answer": sum(record.status == NO_ANSWER for record in through),
        "server_faults": sum(_is_server_fault(record) for record in through),
        "served_within_plan_fraction": round(served / max(1, len(within)), 4),
        **_latencies(records),
        "refusal_ms": _latency_percentiles([record.seconds for record in refused]),
        "statuses": _count_statuses(through),
    }


def _is_answered(record):
    return record.is_whole and record.outcome not in (NOT_RUN, UNKNOWN)


def _is_unknown(record):
    return record.outcome == UNKNOWN or record.status == NO_ANSWER


def _is_server_fault(record):
    return record.status >= 500 and record.outcome == "done"


def _count_refused_but_run(refused, runs_by_request_id):
    # Counted by request id, not by idempotency key: a repeated request may be refused
    # while the first one under the same key runs.
    return sum(bool(runs_by_request_id.get(record.request_id)) for record in refused)


def _count_run_repeatedly(through, runs_by_request_id):
    runs_by_order = Counter()
    for record in through:
        if record.kind in (ORDER, KEYED, UPLOAD):
            order = record.key or record.request_id
            runs_by_order[order] += runs_by_request_id.get(record.request_id, 0)
    return sum(runs > 1 for runs in runs_by_order.values())


def _latencies(records):
    by_via = {
        via: [
            record.seconds
            for record in records
            if record.via == via and record.kind == LOOKUP and record.status == OK
        ]
        for via in (STRAIGHT, THROUGH, BY_CLIENT)
    }
    figures = {
        "added_ms": _added_milliseconds(by_via[STRAIGHT], by_via[THROUGH]),
        "straight_ms": _latency_percentiles(by_via[STRAIGHT]),
        "through_ms": _latency_percentiles(by_via[THROUGH]),
    }
    if by_via[BY_CLIENT]:
        figures["client_added_ms"] = _added_milliseconds(
            by_via[STRAIGHT], by_via[BY_CLIENT]
        )
    return figures


def _added_milliseconds(straight, other):
    base, total = _latency_percentiles(straight), _latency_percentiles(other)
    return {
        name: round(total[name] - base[name], 3) if straight else 0.0 for name in base
    }


def _latency_percentiles(seconds):
    return {
        f"p{percent}": round(percentile(seconds, percent) * MILLISECONDS_PER_SECOND, 3)
        for percent in (50, 99)
    }


def _count_statuses(records):
    counts = Counter(str(record.status) for record in records)
    return dict(sorted(counts.items()))
