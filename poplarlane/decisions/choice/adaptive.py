"""The adaptive policy: lowest expected response time, with trial requests to avoided targets.

Load reports arrive on responses, so an entry's newest report is usually about as old as the time
between two of its responses, and each report reaches one entry only. Because reports lose weight
with age, each entry prefers the targets that last answered it with few requests in flight, and
different entries prefer different targets.
"""

import math

from poplarlane.decisions.choice.policies import Adaptive
from poplarlane.decisions.choice.sampling import sample_targets
from poplarlane.decisions.health.trials import take_due_trial, usable_targets
from poplarlane.types import TargetLoad

# Decay time of a load report, as a multiple of the typical latency. A target's number of requests
# in flight becomes independent of its past within about one service time. A quarter of that did
# best with fixed service times, and equally well with exponential ones.
REPORT_MEMORY_RATIO = 0.25
# Assumed until the first responses arrive.
DEFAULT_TYPICAL_S = 0.01
# Differences in expected time below this many requests count as ties. Without it, entries that
# hold the same stale reports would all choose the same target.
TIE_REQUESTS = 0.05
# Bounds on the dispersion (variance over mean) of the requests in flight per target. It is about
# 1.4 with random choices and 0.5 with choices by fresh reports. Above the first bound, reports are
# so stale that entries herd on the same targets, and only a random sample of targets is compared;
# that gives 0.75 with fresh reports and 1.1 with stale ones. Below the second bound all targets are
# compared again. With 1.4 and 0.9, too many entries switched back at the same time.
SAMPLING_START_DISPERSION = 1.0
SAMPLING_STOP_DISPERSION = 0.75
SAMPLE_SIZE = 4
# While sampling, reports are stale on arrival and decay faster. Halving their weight instead
# helped less.
SAMPLING_MEMORY_RATIO = 0.25
DISPERSION_INTERVAL_S = 0.05
DISPERSION_GAIN = 0.05


def choose_adaptively(
    policy: Adaptive,
    candidates: list[TargetLoad],
    now: float,
    random_value: int,
    trial: bool = True,
) -> TargetLoad | None:
    """Choose the usable target with the lowest expected time, or one whose trial is due."""
    if not candidates:
        return None
    usable = usable_targets(candidates, now, random_value)
    due = take_due_trial(policy, candidates, now, random_value, trial)
    return due or lowest_expected_time(policy, usable or candidates, now, random_value)


def lowest_expected_time(
    policy: Adaptive, loads: list[TargetLoad], now: float, random_value: int
) -> TargetLoad:
    """Compare targets, starting at a random one to break ties evenly."""
    typical_s = loads[0].typical_s or DEFAULT_TYPICAL_S
    slot_s = typical_s / policy.slots
    memory_s = typical_s * REPORT_MEMORY_RATIO
    mean = sum([load.reported_in_flight for load in loads]) / len(loads)
    if now >= policy.dispersion_at + DISPERSION_INTERVAL_S:
        observe_dispersion(policy, loads, now)
    if policy.is_sampling:
        loads = sample_targets(loads, SAMPLE_SIZE, random_value >> 8)
        memory_s *= SAMPLING_MEMORY_RATIO
    count = len(loads)
    start = random_value % count
    tie_s = slot_s * TIE_REQUESTS
    best, best_s = loads[start], math.inf
    for index in range(start - count, start):
        load = loads[index]
        in_flight = mean
        if load.reports_trusted:
            weight = math.exp((load.reported_at - now) / memory_s)
            in_flight += (load.reported_in_flight - mean) * weight
        in_flight += load.sent_since_report
        if in_flight < load.outstanding:
            in_flight = load.outstanding
        slowness = load.slowness
        expected_s = in_flight * slot_s * slowness + load.rtt_s + load.penalty_s
        if slowness != 1.0:
            expected_s += typical_s * (slowness - 1.0)
        if expected_s < best_s - tie_s:
            best, best_s = load, expected_s
    return best


def observe_dispersion(policy: Adaptive, loads: list[TargetLoad], now: float) -> None:
    """Update the dispersion of the reported loads, and whether to compare only a sample."""
    policy.dispersion_at = now
    reports = [load.reported_in_flight for load in loads if load.reported_at > -math.inf]
    if len(reports) <= SAMPLE_SIZE:
        return
    mean = sum(reports) / len(reports)
    variance = sum([(report - mean) ** 2 for report in reports]) / len(reports)
    observed = variance / max(mean, 1.0)
    policy.dispersion += DISPERSION_GAIN * (observed - policy.dispersion)
    bound = SAMPLING_STOP_DISPERSION if policy.is_sampling else SAMPLING_START_DISPERSION
    policy.is_sampling = policy.dispersion > bound
