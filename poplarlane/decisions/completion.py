"""Expected completion time of a request at a target, from detailed load reports.

A report says how many requests run and wait at the target and how long work takes on its VM at
that moment, as a multiple of the usual time. Load shifts within a few hundred milliseconds, so
reports are taken right before the choice (the synchronous mode of Prequal, Wydrowski et al. 2024)
and an older one fades towards the mean.
"""

import math

from poplarlane.decisions.crowding import Crowding, best_concurrency, factor
from poplarlane.types import TargetLoad

# A VM keeps its pace for about this long, so an older report says little about the pace now.
PACE_MEMORY_S = 0.1
# What a target without a recent report is expected to take, as a multiple of the usual.
UNKNOWN_PACE = 2.0
# A target that has just started takes about twice the usual time.
COLD_FACTOR = 2.0
# A failed sending costs a read another start and a part of the budget of repeats, and a booking
# everything; as a multiple of the work.
FAILURE_COST = 4.0
# A target that failed is tried again by a request now and then, as its failures fade in this time.
FAILURE_MEMORY_S = 1.5
# Lower error rates count as none; otherwise a faded one would still order the targets to be asked.
LEAST_ERROR_RATE = 0.05
# Weight of one answer in the estimate of the work of a kind of request.
WORK_GAIN = 0.1
# An answer that took longer than this multiple of the estimate says more about the target.
MAX_WORK_RATIO = 3.0
# First estimate of the work of a kind, as a share of the time in which it should be answered.
INITIAL_WORK_SHARE = 0.4


def expected_pace(load: TargetLoad, now: float) -> float:
    """Give the pace of a target, faded from its last report towards the mean."""
    trust = math.exp(min(0.0, load.measured_at - now) / PACE_MEMORY_S)
    slowdown = UNKNOWN_PACE + (load.slowdown - UNKNOWN_PACE) * trust
    return slowdown * COLD_FACTOR if now < load.cold_until else slowdown


def requests_there(load: TargetLoad) -> int:
    """Give the requests at a target: those reported and those that this entry sent since."""
    return max(load.running + load.waiting + load.sent_since_measured, load.outstanding)


def expected_s(
    load: TargetLoad, crowding: Crowding, work_s: float, slots: int, now: float
) -> float:
    """Give the time until the answer of a request that needs `work_s` at the usual pace."""
    slowdown = expected_pace(load, now)
    there = requests_there(load)
    slowed = work_s * slowdown * factor(crowding, min(there + 1, slots))
    wait_s = max(0, there - slots + 1) * slowed / slots
    return slowed + wait_s + load.rtt_s + load.penalty_s


def failure_s(load: TargetLoad, work_s: float, now: float) -> float:
    """Give what the failures of a target cost a request on average, as a time.

    Targets that fail at once look idle in every load report. The comparison with the other targets
    in the verdicts finds none of them when more than half of a service fails.
    """
    if load.error_rate < LEAST_ERROR_RATE:
        return 0.0
    rate = load.error_rate * math.exp((load.error_at - now) / FAILURE_MEMORY_S)
    return FAILURE_COST * work_s * rate if rate >= LEAST_ERROR_RATE else 0.0


def has_room(load: TargetLoad, crowding: Crowding, slots: int) -> bool:
    """Tell whether one more request at the target is worth it, by what is known of it."""
    if load.outstanding >= load.connection_share:
        return False
    return requests_there(load) < best_concurrency(crowding, slots)


def observe_details(
    load: TargetLoad, running: int, waiting: int, slowdown: float, at: float
) -> None:
    """Record a detailed report that was true at `at`; older ones are ignored."""
    if at < load.measured_at:
        return
    load.running = running
    load.waiting = waiting
    load.slowdown = slowdown
    load.measured_at = at
    load.sent_since_measured = sum(1 for sent_at in load.sent_at.values() if sent_at > at)


def observe_work(known_s: float, usual_s: float) -> float:
    """Fold an answer into the estimate of the work of its kind of request."""
    sample_s = min(usual_s, known_s * MAX_WORK_RATIO)
    return known_s + WORK_GAIN * (sample_s - known_s)
