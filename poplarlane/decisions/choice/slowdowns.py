"""How long a slowdown of targets lasts and how large it is on average, learned from load reports.

Targets share their VMs with others, so their speed changes while a node is not looking. Two
reports of one target that differ show that it changed in between; a report is worth using as long
as a change since then is unlikely.
"""

import math

# Assumed before any report: the slowdown of a target lasts this long, and is this large on average.
PRIOR_DURATION_S = 0.4
PRIOR_MEAN = 2.0
# The prior counts as this many observed changes; a service of a calm node sees few reports.
PRIOR_CHANGES = 4.0
MIN_DURATION_S = 0.02
MAX_DURATION_S = 5.0
# A report is recent for this share of the duration: one target in 13 has changed by then.
RECENT_SHARE = 0.075
# An old report loses its weight within this share of the duration, because most changes are back to
# the usual speed.
MEMORY_SHARE = 0.25
# Reports further apart say little: several changes may lie between them.
MAX_GAP_DURATIONS = 0.5
# Slowdowns whose ratio is below this count as unchanged.
CHANGE_RATIO = 1.25
# A target that reports more counts as this slow; one absurd report must not decide the mean.
MAX_SLOWDOWN = 20.0
# Old evidence fades by this factor with each pair of reports.
KEPT_SHARE = 0.995
MEAN_GAIN = 0.02


class Slowdowns:
    """Estimates of one service: changes seen, the time over which, and the mean slowdown."""

    __slots__ = ("changes", "watched_s", "mean")

    def __init__(self) -> None:
        self.changes = PRIOR_CHANGES
        self.watched_s = PRIOR_CHANGES * PRIOR_DURATION_S
        self.mean = PRIOR_MEAN


def duration_s(slowdowns: Slowdowns) -> float:
    """Return how long the slowdown of a target lasts on average."""
    found_s = slowdowns.watched_s / max(slowdowns.changes, 1e-6)
    return min(MAX_DURATION_S, max(MIN_DURATION_S, found_s))


def memory_s(slowdowns: Slowdowns) -> float:
    """Return the decay time of a reported slowdown towards the mean."""
    return MEMORY_SHARE * duration_s(slowdowns)


def recent_s(slowdowns: Slowdowns) -> float:
    """Return the age up to which a load report tells whether a target is slow now."""
    return RECENT_SHARE * duration_s(slowdowns)


def observe(slowdowns: Slowdowns, before: float, after: float, gap_s: float) -> None:
    """Learn from two reports of one target, `gap_s` apart."""
    slowdowns.mean += MEAN_GAIN * (min(after, MAX_SLOWDOWN) - slowdowns.mean)
    if gap_s <= 0.0 or gap_s > MAX_GAP_DURATIONS * duration_s(slowdowns):
        return
    ratio = max(before, after) / max(min(before, after), 1e-6)
    slowdowns.changes = KEPT_SHARE * slowdowns.changes + (ratio >= CHANGE_RATIO)
    slowdowns.watched_s = KEPT_SHARE * slowdowns.watched_s + gap_s


def expected(slowdowns: Slowdowns, reported: float, age_s: float) -> float:
    """Return the slowdown to expect of a target some time after its report."""
    weight = math.exp(-max(0.0, age_s) / memory_s(slowdowns))
    return slowdowns.mean + (reported - slowdowns.mean) * weight
