"""Choice of a target for a request, by singledispatch on the policy class."""

from functools import singledispatch

from poplarlane.decisions.choice.adaptive import choose_adaptively
from poplarlane.decisions.choice.policies import (
    Adaptive,
    LeastOutstanding,
    Policy,
    PowerOfTwo,
    ProbePool,
    Random,
    RoundRobin,
)
from poplarlane.decisions.choice.sampling import pick, sample_targets
from poplarlane.decisions.health.trials import take_due_trial, usable_targets
from poplarlane.types import TargetLoad

PROBE_SAMPLE_SIZE = 5


@singledispatch
def choose_target(
    policy: Policy, candidates: list[TargetLoad], now: float, random_value: int, trial: bool = True
) -> TargetLoad | None:
    """Choose one of the candidates, none of which is leaving; None if there are none.

    `trial` means that the request may be retried, and so may serve as a trial of an avoided target.
    """
    raise TypeError(f"no choice for policy {type(policy).__name__}")


choose_target.register(Adaptive, choose_adaptively)


@choose_target.register
def choose_random(
    policy: Random, candidates: list[TargetLoad], now: float, random_value: int, trial: bool = True
) -> TargetLoad | None:
    """Choose uniformly at random."""
    return candidates[random_value % len(candidates)] if candidates else None


@choose_target.register
def choose_in_turn(
    policy: RoundRobin,
    candidates: list[TargetLoad],
    now: float,
    random_value: int,
    trial: bool = True,
) -> TargetLoad | None:
    """Choose the next target in rotation, which starts at a random one."""
    if not candidates:
        return None
    if policy.next_index < 0:
        policy.next_index = random_value % len(candidates)
    chosen = candidates[policy.next_index % len(candidates)]
    policy.next_index += 1
    return chosen


@choose_target.register
def choose_least_outstanding(
    policy: LeastOutstanding,
    candidates: list[TargetLoad],
    now: float,
    random_value: int,
    trial: bool = True,
) -> TargetLoad | None:
    """Choose the target with the fewest own outstanding requests, ties at random."""
    if not candidates:
        return None
    fewest = min(load.outstanding for load in candidates)
    tied = [load for load in candidates if load.outstanding == fewest]
    return tied[random_value % len(tied)]


@choose_target.register
def choose_of_two(
    policy: PowerOfTwo,
    candidates: list[TargetLoad],
    now: float,
    random_value: int,
    trial: bool = True,
) -> TargetLoad | None:
    """Choose the better of two different random targets."""
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    first, random_value = pick(random_value, len(candidates))
    second, random_value = pick(random_value, len(candidates) - 1)
    one, two = candidates[first], candidates[second + (second >= first)]
    return one if one.outstanding <= two.outstanding else two


@choose_target.register
def choose_from_probes(
    policy: ProbePool,
    candidates: list[TargetLoad],
    now: float,
    random_value: int,
    trial: bool = True,
) -> TargetLoad | None:
    """Choose the cold target with the lowest latency, else the one with the fewest in flight."""
    if not candidates:
        return None
    due = take_due_trial(policy, candidates, now, random_value, trial)
    if due is not None:
        return due
    usable = usable_targets(candidates, now, random_value) or candidates
    fresh = [load for load in usable if now - known_at(load) <= policy.max_age_s]
    if len(fresh) < 2:
        return usable[random_value % len(usable)]
    # Entries that hold the same probe results must not all choose the same target.
    pool = sample_targets(fresh, PROBE_SAMPLE_SIZE, random_value)
    loads = sorted(estimated_in_flight(load) for load in fresh)
    limit = loads[int(policy.hot_quantile * (len(loads) - 1))]
    cold = [load for load in pool if estimated_in_flight(load) < limit]
    if cold:
        return min(cold, key=lambda load: load.latency_s + load.rtt_s)
    return min(pool, key=estimated_in_flight)


def known_at(load: TargetLoad) -> float:
    """Return the time of the newest report or probe."""
    return max(load.reported_at, load.probed_at)


def estimated_in_flight(load: TargetLoad) -> float:
    """Return the last known requests in flight plus those that this entry sent since."""
    if load.probed_at > load.reported_at:
        return load.probed_in_flight + load.sent_since_report
    return load.reported_in_flight + load.sent_since_report
