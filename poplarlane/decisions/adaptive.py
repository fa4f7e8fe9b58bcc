"""The adaptive policy: the lowest expected time of all targets, trickles for avoided ones.

Reports travel on answers, so the freshest report of an entry is usually about as old as the time
between two of its answers, and each report reaches one entry only. Comparing all targets by
reports that lose weight with age therefore sends each entry to the targets that answered it last
with few requests in flight, and different entries to different targets.
"""

import math

from poplarlane.decisions.policies import Adaptive
from poplarlane.decisions.verdicts import ramp_eighths, trial_interval_s
from poplarlane.types import TargetLoad, Verdict

# Requests in flight forget their past within about one service time; half of it did best in
# trials at 3 to 96 entries.
REPORT_MEMORY_TYPICAL = 0.5
# Assumed until the first answers arrive.
DEFAULT_TYPICAL_S = 0.01
TRIAL_SHARE = 0.005
# Trials go on at this interval when there are too few requests for the share.
LONGEST_TRIAL_WAIT_S = 10.0
# A suspect is chosen only when all others would take this many typical latencies longer.
SUSPECT_PENALTY_TYPICAL = 3.0


def choose_adaptively(
    policy: Adaptive, candidates: list[TargetLoad], now: float, draw: int, trial: bool = True
) -> TargetLoad | None:
    """Choose the lowest expected time of all usable targets, or a target whose trial is due."""
    if not candidates:
        return None
    policy.trial_credit = min(1.0, policy.trial_credit + TRIAL_SHARE)
    usable = [load for load in candidates if is_usable(load, now, draw)]
    if trial and len(usable) < len(candidates):
        due = take_due_trial(policy, candidates, now, draw)
        if due is not None:
            return due
    return lowest_expected_time(policy, usable or candidates, now, draw)


def is_usable(load: TargetLoad, now: float, draw: int) -> bool:
    """Tell whether the target takes part in the choice for this request."""
    if load.verdict == Verdict.AVOIDED or load.shed_until > now:
        return False
    return load.ramp_until <= now or (draw >> 40) % 8 < ramp_eighths(load, now)


def take_due_trial(
    policy: Adaptive, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Find an avoided target whose trial is due, and set the time of its next one."""
    for load in candidates:
        if load.verdict != Verdict.AVOIDED or load.outstanding or now < load.next_trial_at:
            continue
        if policy.trial_credit < 1.0 and now < load.next_trial_at + LONGEST_TRIAL_WAIT_S:
            continue
        policy.trial_credit = 0.0
        spread = 0.75 + (draw >> 48) % 1024 / 2048
        load.next_trial_at = now + trial_interval_s(load) * spread
        return load
    return None


def lowest_expected_time(
    policy: Adaptive, loads: list[TargetLoad], now: float, draw: int
) -> TargetLoad:
    """Compare all targets, starting at a random one so that ties are spread."""
    count = len(loads)
    typical_s = loads[0].typical_s or DEFAULT_TYPICAL_S
    slot_s = typical_s / policy.slots
    memory_s = typical_s * REPORT_MEMORY_TYPICAL
    mean = sum([load.reported_in_flight for load in loads]) / count
    start = draw % count
    best, best_s = loads[start], math.inf
    for index in range(start - count, start):
        load = loads[index]
        in_flight = mean
        if load.reports_believed:
            trust = math.exp((load.reported_at - now) / memory_s)
            in_flight += (load.reported_in_flight - mean) * trust
        in_flight += load.sent_since_report
        if in_flight < load.outstanding:
            in_flight = load.outstanding
        slowness = load.slowness
        expected_s = in_flight * slot_s * slowness + load.distance_s
        if slowness != 1.0:
            expected_s += typical_s * (slowness - 1.0)
        if load.verdict is not Verdict.HEALTHY:
            expected_s += SUSPECT_PENALTY_TYPICAL * typical_s
        if expected_s < best_s:
            best, best_s = load, expected_s
    return best
