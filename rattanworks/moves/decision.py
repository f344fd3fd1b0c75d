"""Decides how a running move goes on, from the evidence that each look adds."""

import enum
import math
from collections import deque
from dataclasses import dataclass

from rattanworks.moves.collector import UNREACHABLE_ROUTE, PairedSums, Sums
from rattanworks.moves.comparison import Comparison
from rattanworks.moves.schedule import (
    LAST_STAGE,
    Schedule,
    comparison_share,
    first_share_for,
    stage_share,
)

LOOK_SECONDS = 1.0
# A move is in doubt while a test at this error rate finds a regression; its next
# stage is then postponed.
DOUBT_RATE = 0.2
# The evidence of a stage is thin with fewer calls of the new version than this.
MIN_STAGE_CALLS = 150
# The new version is suspect if, over the last SUSPECT_LOOKS looks, it had at least
# SUSPECT_FAILURES failures, and its share of failed calls was SUSPECT_FACTOR times
# the tolerated share and, unless the old version had no failure, that of the old one.
SUSPECT_LOOKS = 5
SUSPECT_FACTOR = 3.0
SUSPECT_FAILURES = 5
# A move in doubt ends at the earliest this long before its finish time.
FINAL_LOOK_LEAD_SECONDS = 3.0
# A move is taken back after this time without a server of the new version.
NO_SERVER_TIMEOUT_SECONDS = 10.0
# The next stage needs this fraction of the most servers of the new version seen.
MIN_SERVERS_FRACTION = 0.5
# The share is not changed within a stage by less than this.
MIN_SHARE_CHANGE = 0.005


class Action(enum.Enum):
    """What the node that drives a move does next."""

    HOLD = "hold"
    SET_SHARE = "set-share"
    ADVANCE = "advance"
    TAKE_BACK = "take-back"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class Decision:
    """An action, the new version's share after it and the reason for operators."""

    action: Action
    share: float
    reason: str


@dataclass(frozen=True, slots=True)
class ServerCounts:
    """Numbers of serving endpoints of the new and of the old version."""

    new: int
    old: int


class MoveEvaluator:
    """Decides on one move from its evidence.

    Needs no state of an earlier evaluator: a node that takes over builds one from
    the stored move, and the owners report their sums of the current stage to it.
    ``move`` is the Move as this node found it. Each ``now`` is in seconds since
    the Unix epoch.
    """

    def __init__(self, settings, move, now):
        self._settings = settings
        self._schedule = Schedule(
            move.started_at, move.finish_by, settings.finish_margin
        )
        self._stage = move.stage
        self._stage_entered_at = now
        self._share = move.share
        self._first_seen_at = now
        seconds = move.finish_by - move.started_at
        looks = math.ceil(max(1.0, seconds / LOOK_SECONDS))
        self._comparison = Comparison(settings, looks)
        self._recent_pairs = deque(maxlen=SUSPECT_LOOKS)
        self._total_calls = 0
        self._stage_new_calls = 0
        self._old_totals = Sums()
        self._max_new_servers = 0
        self._no_server_since = None

    def observe(self, pairs_by_route, servers):
        """Add the sums of one look, PairedSums by route."""
        pairs, total = {}, PairedSums()
        for route, pair in pairs_by_route.items():
            self._total_calls += pair.new.calls + pair.old.calls
            self._stage_new_calls += pair.new.calls
            self._old_totals.calls += pair.old.calls
            self._old_totals.failures += pair.old.failures
            total.new.add(pair.new)
            total.old.add(pair.old)
            pairs[route] = self._with_old_baseline(route, pair, servers)
        self._recent_pairs.append(total)
        self._comparison.add(pairs)

    def _with_old_baseline(self, route, pair, servers):
        # Without old servers, and for calls that reached no endpoint, there are no
        # calls of the old version to compare with; its share of failed calls so far
        # in the move is used instead.
        is_baseline_missing = not servers.old or route == UNREACHABLE_ROUTE
        if pair.old.calls or not is_baseline_missing:
            return pair
        calls = max(1, pair.new.calls)
        share = self._old_totals.failures / max(1, self._old_totals.calls)
        return PairedSums(pair.new, Sums(calls, round(share * calls)))

    def decide(self, now, servers):
        """Return the Decision on the evidence so far."""
        self._record_servers(now, servers)
        reason = self._take_back_reason(now)
        if reason:
            return Decision(Action.TAKE_BACK, 0.0, reason)
        if self._stage == LAST_STAGE:
            return self._decide_at_full_share(now, servers)
        return self._decide_before_full_share(now, servers)

    def _record_servers(self, now, servers):
        self._max_new_servers = max(self._max_new_servers, servers.new)
        if servers.new:
            self._no_server_since = None
        elif self._no_server_since is None:
            self._no_server_since = now

    def _take_back_reason(self, now):
        since = self._no_server_since
        if since is not None and now - since >= NO_SERVER_TIMEOUT_SECONDS:
            return "no server of the new version is left"
        return self._comparison.find_regression(self._settings.false_alarm_rate)

    def _is_in_doubt(self):
        return self._is_suspect() or bool(self._comparison.find_regression(DOUBT_RATE))

    def _is_suspect(self):
        new, old = Sums(), Sums()
        for pair in self._recent_pairs:
            new.add(pair.new)
            old.add(pair.old)
        share = new.failures / max(1, new.calls)
        old_share = (old.failures + 1) / max(1, old.calls + 1)
        return (
            new.failures >= SUSPECT_FAILURES
            and share >= SUSPECT_FACTOR * self._settings.failure_tolerance
            and (share >= SUSPECT_FACTOR * old_share or not old.failures)
        )

    def _decide_at_full_share(self, now, servers):
        is_in_doubt = self._is_in_doubt()
        full_share = 1.0 - self._settings.control_share
        target_share = comparison_share(servers.new) if is_in_doubt else full_share
        if abs(self._share - target_share) > MIN_SHARE_CHANGE:
            return Decision(Action.SET_SHARE, target_share, self._evidence_summary())
        has_dwelt = now - self._stage_entered_at >= self._schedule.dwell_seconds
        may_end = self._schedule.may_end(now)
        if is_in_doubt:
            may_end = now >= self._schedule.finish_by - FINAL_LOOK_LEAD_SECONDS
        if not may_end or not has_dwelt:
            return self._hold()
        reason = self._comparison.find_regression(self._settings.final_doubt_rate)
        if reason:
            return Decision(Action.TAKE_BACK, 0.0, f"in doubt at the end: {reason}")
        return Decision(Action.FINISH, 1.0, self._evidence_summary())

    def _decide_before_full_share(self, now, servers):
        next_stage = self._stage + 1
        has_dwelt = now - self._stage_entered_at >= self._schedule.dwell_seconds
        may_begin = has_dwelt and self._schedule.may_begin(next_stage, now)
        if may_begin and self._may_advance(next_stage, now, servers):
            share = stage_share(
                next_stage, self._settings, servers.new, self._least_share()
            )
            return Decision(
                Action.ADVANCE, max(share, self._share), self._evidence_summary()
            )
        target_share = self._target_first_share(now)
        if self._stage == 0 and target_share > self._share + MIN_SHARE_CHANGE:
            return Decision(Action.SET_SHARE, target_share, self._evidence_summary())
        return self._hold()

    def _may_advance(self, stage, now, servers):
        if servers.new < MIN_SERVERS_FRACTION * self._max_new_servers:
            return False
        if self._schedule.must_begin(stage, now):
            return True
        return not self._is_in_doubt() and self._stage_new_calls >= MIN_STAGE_CALLS

    def _least_share(self):
        return max(self._share, self._settings.first_share)

    def _target_first_share(self, now):
        seconds = now - self._first_seen_at
        if not self._schedule.is_rate_known(seconds):
            # Too few seconds were observed, as after a change of the role holder.
            return self._settings.first_share
        return first_share_for(
            self._settings, self._schedule, self._total_calls / seconds
        )

    def _hold(self):
        return Decision(Action.HOLD, self._share, self._evidence_summary())

    def _evidence_summary(self):
        calls = self._stage_new_calls
        thin = ", thin evidence" if calls < MIN_STAGE_CALLS else ""
        return f"{calls} calls of the new version in this stage{thin}"

    def update(self, move, now):
        """Update the stage and share to those of a move written to the store."""
        if move.stage != self._stage:
            self._stage_new_calls = 0
            self._stage_entered_at = now
        if move.share != self._share:
            self._comparison.close_blocks()
        self._stage = move.stage
        self._share = move.share
