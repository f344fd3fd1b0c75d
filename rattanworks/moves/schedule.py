"""When each stage of a move begins, and the new version's share in it."""

from dataclasses import dataclass

# Fractions of the usable time from which a stage may begin if the evidence allows it,
# and from which it begins even on thin evidence or in doubt.
EARLIEST_STARTS = (0.0, 0.4, 0.55, 0.8)
LATEST_STARTS = (0.0, 0.5, 0.65, 0.87)
LAST_STAGE = len(EARLIEST_STARTS) - 1
HALF_SHARE = 0.5
# A stage lasts at least MIN_DWELL_SECONDS or DWELL_FRACTION of the usable time,
# whichever is less.
MIN_DWELL_SECONDS = 4.0
DWELL_FRACTION = 0.05

# The first stage's share is raised to bring the new version TARGET_FIRST_STAGE_CALLS,
# which prove a regression, but to at most MAX_SHARE_FOR_TARGET_CALLS. In thin traffic
# it is raised further to bring MIN_FIRST_STAGE_CALLS, but to at most
# MAX_SHARE_FOR_MIN_CALLS.
TARGET_FIRST_STAGE_CALLS = 150.0
MAX_SHARE_FOR_TARGET_CALLS = 0.1
MIN_FIRST_STAGE_CALLS = 30.0
MAX_SHARE_FOR_MIN_CALLS = 0.5
# The rate of calls is known after this fraction of the usable time.
RATE_KNOWN_FRACTION = 0.08


@dataclass(frozen=True, slots=True)
class Schedule:
    """Times of a move, in seconds since the Unix epoch."""

    started_at: float
    finish_by: float
    finish_margin: float

    @property
    def usable_seconds(self):
        """Return the seconds from the start to the margin before the finish."""
        return (self.finish_by - self.started_at) * (1.0 - self.finish_margin)

    @property
    def dwell_seconds(self):
        """Return the least seconds that a stage lasts, also in a late move."""
        return min(MIN_DWELL_SECONDS, DWELL_FRACTION * self.usable_seconds)

    def may_begin(self, stage, now):
        """Return whether a stage may begin if the evidence allows it."""
        return self._elapsed_fraction(now) >= EARLIEST_STARTS[stage]

    def must_begin(self, stage, now):
        """Return whether a stage begins even on thin evidence or in doubt."""
        return self._elapsed_fraction(now) >= LATEST_STARTS[stage]

    def may_end(self, now):
        """Return whether the move may be done."""
        return self._elapsed_fraction(now) >= 1.0

    def is_rate_known(self, seconds):
        """Return whether ``seconds`` of counted calls suffice to know their rate."""
        return seconds >= RATE_KNOWN_FRACTION * self.usable_seconds

    def _elapsed_fraction(self, now):
        return (now - self.started_at) / max(1e-9, self.usable_seconds)


def stage_share(stage, settings, endpoints, first_share):
    """Return the new version's share in a stage.

    With two or more endpoints of the new version, one of them in the second stage and
    up to half of them in the third have about the load that each has at full share.
    A greater ``first_share`` is kept.
    """
    shares = (
        first_share,
        max(first_share, min(HALF_SHARE, 1.0 / max(1, endpoints))),
        max(first_share, comparison_share(endpoints)),
        1.0 - settings.control_share,
    )
    return shares[stage]


def comparison_share(endpoints):
    """Return the share at which a difference between the versions shows soonest.

    It is at most a half and, with two or more endpoints, a multiple of the share of
    one endpoint, so that those in use have about the load of full share.
    """
    if endpoints < 2:
        return HALF_SHARE
    return (endpoints // 2) / endpoints


def first_share_for(settings, schedule, calls_per_second):
    """Return the first stage's share, which is greater if traffic is thin."""
    seconds = schedule.usable_seconds * EARLIEST_STARTS[1]
    expected_calls = max(1e-9, calls_per_second * seconds)
    return max(
        settings.first_share,
        min(MAX_SHARE_FOR_TARGET_CALLS, TARGET_FIRST_STAGE_CALLS / expected_calls),
        min(MAX_SHARE_FOR_MIN_CALLS, MIN_FIRST_STAGE_CALLS / expected_calls),
    )


def endpoints_in_use(share, endpoints):
    """Return how many endpoints of the new version get its calls.

    A small share goes to few endpoints, so that each has about the load of full
    share and a version that fails under load shows it early.
    """
    return max(1, min(endpoints, int(share * endpoints + 0.999)))
