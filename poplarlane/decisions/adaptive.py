"""The adaptive policy: the lowest expected time of all targets, trickles for avoided ones.

Reports travel on answers, so the freshest report of an entry is usually about as old as the time
between two of its answers, and each report reaches one entry only. Comparing all targets by
reports that lose weight with age therefore sends each entry to the targets that answered it last
with few requests in flight, and different entries to different targets.
"""

import math

from poplarlane.decisions.draws import sample_targets
from poplarlane.decisions.policies import Adaptive
from poplarlane.decisions.trials import take_due_trial, usable_targets
from poplarlane.types import TargetLoad

# Requests in flight forget their past within about one service time. A quarter of it did best in
# trials with fixed service times and equally well with exponential ones.
REPORT_MEMORY_RATIO = 0.25
# Assumed until the first answers arrive.
DEFAULT_TYPICAL_S = 0.01
# Smaller differences between targets are noise. Without this, entries that hold the same stale
# reports would all choose the same target.
TIE_REQUESTS = 0.05
# Random choices spread the requests in flight with a variance of about 1.4 times their mean,
# choices by fresh reports with 0.5 times. Above the first bound the reports must be so stale that
# entries follow each other to the same targets; then a few random targets are compared, which
# gives 0.75 with fresh reports and 1.1 with stale ones. Below the second bound all are compared
# again. Bounds of 1.4 and 0.9 let too many entries return at a time.
SAMPLING_START_DISPERSION = 1.0
SAMPLING_STOP_DISPERSION = 0.75
SAMPLE_SIZE = 4
# Reports that are stale on arrival lose their weight sooner. Halving their weight helped less.
SAMPLING_MEMORY_RATIO = 0.25
DISPERSION_INTERVAL_S = 0.05
DISPERSION_GAIN = 0.05


def choose_adaptively(
    policy: Adaptive, candidates: list[TargetLoad], now: float, draw: int, trial: bool = True
) -> TargetLoad | None:
    """Choose the lowest expected time of all usable targets, or a target whose trial is due."""
    if not candidates:
        return None
    usable = usable_targets(candidates, now, draw)
    due = take_due_trial(policy, candidates, now, draw, trial)
    return due or lowest_expected_time(policy, usable or candidates, now, draw)


def lowest_expected_time(
    policy: Adaptive, loads: list[TargetLoad], now: float, draw: int
) -> TargetLoad:
    """Compare targets, starting at a random one so that ties are spread."""
    typical_s = loads[0].typical_s or DEFAULT_TYPICAL_S
    slot_s = typical_s / policy.slots
    memory_s = typical_s * REPORT_MEMORY_RATIO
    mean = sum([load.reported_in_flight for load in loads]) / len(loads)
    if now >= policy.dispersion_at + DISPERSION_INTERVAL_S:
        observe_dispersion(policy, loads, now)
    if policy.is_sampling:
        loads = sample_targets(loads, SAMPLE_SIZE, draw >> 8)
        memory_s *= SAMPLING_MEMORY_RATIO
    count = len(loads)
    start = draw % count
    tie_s = slot_s * TIE_REQUESTS
    best, best_s = loads[start], math.inf
    for index in range(start - count, start):
        load = loads[index]
        in_flight = mean
        if load.reports_trusted:
            trust = math.exp((load.reported_at - now) / memory_s)
            in_flight += (load.reported_in_flight - mean) * trust
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
    """Update how unevenly loaded the targets are, and whether to compare only a few of them."""
    policy.dispersion_at = now
    reports = [load.reported_in_flight for load in loads if load.reported_at > -math.inf]
    if len(reports) <= SAMPLE_SIZE:
        return
    mean = sum(reports) / len(reports)
    variance = sum([(report - mean) ** 2 for report in reports]) / len(reports)
    found = variance / max(mean, 1.0)
    policy.dispersion += DISPERSION_GAIN * (found - policy.dispersion)
    bound = SAMPLING_STOP_DISPERSION if policy.is_sampling else SAMPLING_START_DISPERSION
    policy.is_sampling = policy.dispersion > bound
