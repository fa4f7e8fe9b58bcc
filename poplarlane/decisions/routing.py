"""Choose a target for a request: singledispatch on the policy class."""

import math
from functools import singledispatch

from poplarlane.decisions.health import RAMP_S, TRIAL_INTERVAL_S
from poplarlane.decisions.policies import (
    Adaptive,
    LeastOutstanding,
    Policy,
    PowerOfTwo,
    ProbePool,
    Random,
    RoundRobin,
)
from poplarlane.types import TargetLoad, Verdict

REPORT_MEMORY_S = 0.05
CHOICES = 4


def pick(draw: int, count: int) -> tuple[int, int]:
    """Take a number below `count` from the random bits; return it and the remaining bits."""
    return draw % count, draw // count


@singledispatch
def choose_target(
    policy: Policy, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose one of the candidates, none of which is leaving; None without candidates."""
    raise TypeError(f"no choice for policy {type(policy).__name__}")


@choose_target.register
def choose_random(
    policy: Random, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose uniformly."""
    return candidates[draw % len(candidates)] if candidates else None


@choose_target.register
def choose_in_turn(
    policy: RoundRobin, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose the next in turn; the first turn starts at a random target."""
    if not candidates:
        return None
    if policy.next_index < 0:
        policy.next_index = draw % len(candidates)
    chosen = candidates[policy.next_index % len(candidates)]
    policy.next_index += 1
    return chosen


@choose_target.register
def choose_least_outstanding(
    policy: LeastOutstanding, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose the fewest own outstanding requests, ties at random."""
    if not candidates:
        return None
    fewest = min(load.outstanding for load in candidates)
    tied = [load for load in candidates if load.outstanding == fewest]
    return tied[draw % len(tied)]


@choose_target.register
def choose_of_two(
    policy: PowerOfTwo, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose the better of two different random targets."""
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    first, draw = pick(draw, len(candidates))
    second, draw = pick(draw, len(candidates) - 1)
    one, two = candidates[first], candidates[second + (second >= first)]
    return one if one.outstanding <= two.outstanding else two


@choose_target.register
def choose_from_probes(
    policy: ProbePool, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose the lowest latency among cold targets, else the fewest in flight among hot ones."""
    if not candidates:
        return None
    fresh = [load for load in candidates if now - load.reported_at <= policy.max_age_s]
    if len(fresh) < 2:
        return candidates[draw % len(candidates)]
    loads = sorted(estimated_in_flight(load) for load in fresh)
    limit = loads[int(policy.hot_quantile * (len(loads) - 1))]
    cold = [load for load in fresh if estimated_in_flight(load) < limit]
    if cold:
        return min(cold, key=lambda load: load.latency_s)
    return min(fresh, key=estimated_in_flight)


def estimated_in_flight(load: TargetLoad) -> float:
    """Give the reported requests in flight plus those sent since the report."""
    return load.reported_in_flight + load.sent_since_report


@choose_target.register
def choose_adaptively(
    policy: Adaptive, candidates: list[TargetLoad], now: float, draw: int
) -> TargetLoad | None:
    """Choose the lowest expected wait of a few random candidates; suspects get a trickle."""
    if not candidates:
        return None
    trial = due_trial(candidates, now)
    if trial is not None:
        return trial
    usable = [load for load in candidates if load.verdict != Verdict.AVOIDED] or candidates
    mean = sum(load.reported_in_flight for load in candidates) / len(candidates)
    best, best_cost = None, math.inf
    for _ in range(min(CHOICES, len(usable))):
        index, draw = pick(draw, len(usable))
        load = usable[index]
        cost = expected_wait_s(load, mean, now)
        if load.ramp_until > now:
            cost *= 1.0 + 4.0 * (load.ramp_until - now) / RAMP_S
        if cost < best_cost:
            best, best_cost = load, cost
    return best


def due_trial(candidates: list[TargetLoad], now: float) -> TargetLoad | None:
    """Find an avoided target whose next trial request is due."""
    for load in candidates:
        if load.verdict == Verdict.AVOIDED and now >= load.next_trial_at and not load.outstanding:
            load.next_trial_at = now + TRIAL_INTERVAL_S
            return load
    return None


def expected_wait_s(load: TargetLoad, mean: float, now: float) -> float:
    """Estimate the time a request would take; stale reports count as the mean."""
    trust = math.exp((load.reported_at - now) / REPORT_MEMORY_S)
    in_flight = mean + (load.reported_in_flight - mean) * trust
    latency_s = load.latency_s or 0.001
    return (load.outstanding + in_flight + 1.0) * latency_s + load.distance_s
