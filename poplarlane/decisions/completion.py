"""Expected completion time of a request at a target, from detailed load reports.

A report says how many requests run and wait at the target and how long work takes on its VM at
that moment, as a multiple of the usual time. Load shifts within a few hundred milliseconds, so
reports are taken right before the choice (the synchronous mode of Prequal, Wydrowski et al. 2024)
and an older one fades towards the mean.
"""

import math

from poplarlane.decisions.contention import Contention, best_concurrency, contention_factor
from poplarlane.types import TargetLoad

# A VM keeps its pace for about this long, so an older report says little about the pace now.
SLOWDOWN_MEMORY_S = 0.1
# What a target without a recent report is expected to take, as a multiple of the usual.
DEFAULT_SLOWDOWN = 2.0
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
SERVICE_TIME_GAIN = 0.1
# An answer that took longer than this multiple of the estimate says more about the target.
MAX_SAMPLE_RATIO = 3.0
# First estimate of the work of a kind, as a share of the time in which it should be answered.
INITIAL_SERVICE_TIME_SHARE = 0.4


def expected_slowdown(load: TargetLoad, now: float) -> float:
    """Give the pace of a target, faded from its last report towards the mean."""
    trust = math.exp(min(0.0, load.measured_at - now) / SLOWDOWN_MEMORY_S)
    slowdown = DEFAULT_SLOWDOWN + (load.slowdown - DEFAULT_SLOWDOWN) * trust
    return slowdown * COLD_FACTOR if now < load.cold_until else slowdown


def requests_at_target(load: TargetLoad) -> int:
    """Give the requests at a target: those reported and those that this entry sent since."""
    return max(load.running + load.waiting + load.sent_since_measured, load.outstanding)


def expected_completion_s(
    load: TargetLoad, contention: Contention, service_time_s: float, slots: int, now: float
) -> float:
    """Give the time until the answer of a request that needs `service_time_s` at the usual pace."""
    slowdown = expected_slowdown(load, now)
    there = requests_at_target(load)
    slowed = service_time_s * slowdown * contention_factor(contention, min(there + 1, slots))
    wait_s = max(0, there - slots + 1) * slowed / slots
    return slowed + wait_s + load.rtt_s + load.penalty_s


def failure_cost_s(load: TargetLoad, service_time_s: float, now: float) -> float:
    """Give what the failures of a target cost a request on average, as a time.

    Targets that fail at once look idle in every load report. The comparison with the other targets
    in the verdicts finds none of them when more than half of a service fails.
    """
    if load.error_rate < LEAST_ERROR_RATE:
        return 0.0
    rate = load.error_rate * math.exp((load.error_at - now) / FAILURE_MEMORY_S)
    return FAILURE_COST * service_time_s * rate if rate >= LEAST_ERROR_RATE else 0.0


def has_capacity(load: TargetLoad, contention: Contention, slots: int) -> bool:
    """Tell whether one more request at the target is worth it, by what is known of it."""
    if load.outstanding >= load.connection_share:
        return False
    return requests_at_target(load) < best_concurrency(contention, slots)


def observe_load_report(
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


def observe_service_time(known_s: float, usual_s: float) -> float:
    """Fold an answer into the estimate of the work of its kind of request."""
    sample_s = min(usual_s, known_s * MAX_SAMPLE_RATIO)
    return known_s + SERVICE_TIME_GAIN * (sample_s - known_s)
