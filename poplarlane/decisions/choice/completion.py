"""Expected completion time of a request at a target, from detailed load reports.

A report gives the numbers of running and queued requests at the target and the slowdown of its VM
at that moment, as a multiple of the normal service time. Load shifts within a few hundred
milliseconds, so reports are taken right before the choice (the synchronous mode of Prequal,
Wydrowski et al. 2024), and an older one decays towards the mean.
"""

import math

from poplarlane.decisions.choice.contention import Contention, best_concurrency, contention_factor
from poplarlane.decisions.choice.slowdowns import Slowdowns, expected, observe
from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.types import TargetLoad

# A target that has just started takes about twice the normal service time.
COLD_FACTOR = 2.0
# Cost of a failed attempt, as a multiple of the service time: a read has to start again and uses
# retry budget, and a non-idempotent request such as a booking fails.
FAILURE_COST = 4.0
# Decay time of a target's error rate, so that a target that failed is tried again now and then.
FAILURE_MEMORY_S = 1.5
# Lower error rates count as 0; otherwise a decayed one would still decide which targets are probed.
LEAST_ERROR_RATE = 0.05
# Weight of one response in the moving average of a request kind's service time.
SERVICE_TIME_GAIN = 0.1
# Longer samples, as a multiple of the estimate, are clipped: they reflect the target, not the work.
MAX_SAMPLE_RATIO = 3.0
# Initial estimate of a request kind's service time, as a share of its latency objective.
INITIAL_SERVICE_TIME_SHARE = 0.4


def expected_slowdown(load: TargetLoad, slowdowns: Slowdowns, now: float) -> float:
    """Return the slowdown of a target, decayed from its last report towards the mean."""
    slowdown = expected(slowdowns, load.slowdown, now - load.measured_at)
    return slowdown * COLD_FACTOR if now < load.statements.cold_until else slowdown


def requests_at_target(load: TargetLoad) -> int:
    """Return the requests at a target: those reported plus those that this entry sent since."""
    return max(load.running + load.waiting + load.sent_since_measured, load.outstanding)


def expected_completion_s(
    load: TargetLoad,
    contention: Contention,
    slowdowns: Slowdowns,
    service_time_s: float,
    slots: int,
    now: float,
) -> float:
    """Return the time until the response to a request whose normal time is `service_time_s`."""
    slowdown = expected_slowdown(load, slowdowns, now)
    at_target = requests_at_target(load)
    concurrency = min(at_target + 1, slots)
    slowed_s = service_time_s * slowdown * contention_factor(contention, concurrency, slots)
    wait_s = max(0, at_target - slots + 1) * slowed_s / slots
    return slowed_s + wait_s + load.rtt_s + load.penalty_s


def failure_cost_s(load: TargetLoad, service_time_s: float, now: float) -> float:
    """Return the expected cost of a failure at the target, as a time.

    Targets that fail immediately look idle in every load report, and verdicts, which compare a
    target with the others, find none of them when more than half of a service's targets fail.
    """
    if load.error_rate < LEAST_ERROR_RATE:
        return 0.0
    rate = load.error_rate * math.exp((load.error_at - now) / FAILURE_MEMORY_S)
    return FAILURE_COST * service_time_s * rate if rate >= LEAST_ERROR_RATE else 0.0


def has_capacity(load: TargetLoad, contention: Contention, slots: int, reserved: int = 0) -> bool:
    """Return whether the connection share and the best concurrency allow one more request.

    `reserved` places stay free for requests that are worth more; a single place is never kept.
    """
    if load.outstanding >= load.connection_share:
        return False
    usable = best_concurrency(contention, slots)
    return requests_at_target(load) < max(1, usable - reserved)


def record_load_report(
    load: TargetLoad, slowdowns: Slowdowns, metadata: ResponseMetadata, now: float
) -> None:
    """Record the load report of a response or probe, if it has one, and learn from its slowdown."""
    if metadata.running is None:
        return
    # The report dates from when it left the target, half a round trip ago.
    at = now - load.rtt_s / 2.0
    if -math.inf < load.measured_at <= at:
        observe(slowdowns, load.slowdown, metadata.slowdown, at - load.measured_at)
    observe_load_report(load, metadata.running, metadata.waiting, metadata.slowdown, at)


def observe_load_report(
    load: TargetLoad, running: int, waiting: int, slowdown: float, at: float
) -> None:
    """Record a detailed load report taken at `at`; older ones are ignored."""
    if at < load.measured_at:
        return
    load.running = running
    load.waiting = waiting
    load.slowdown = slowdown
    load.measured_at = at
    load.sent_since_measured = sum(1 for sent_at in load.sent_at.values() if sent_at > at)


def observe_service_time(known_s: float, normalized_s: float) -> float:
    """Return the estimated service time of a request kind, updated with one response."""
    sample_s = min(normalized_s, known_s * MAX_SAMPLE_RATIO)
    return known_s + SERVICE_TIME_GAIN * (sample_s - known_s)
