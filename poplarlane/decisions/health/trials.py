"""Filter out ejected (avoided) targets, and send them a limited share of trial requests."""

from functools import singledispatch

from poplarlane.decisions.choice.permissions import may_send
from poplarlane.decisions.choice.policies import Adaptive, Measured, Policy, ProbePool
from poplarlane.decisions.health.verdicts import ramp_eighths, trial_interval_s
from poplarlane.types import TargetLoad, Verdict

# Trials go to the slowest targets, so their share must be well below 1% in order not to raise p99.
TRIAL_SHARE = 0.002
# Under `Measured`, a read that serves as a trial is hedged early and still meets its latency
# objective. An entry of a large fleet has only a few requests per second for a service, and three
# trials must pass; when several targets recover together, each of them needs its own.
MEASURED_TRIAL_SHARE = 0.1
# Target faults often end within seconds, and trials under `Measured` are cheap.
MEASURED_TRIAL_WAIT_S = 1.0
# A trial this long overdue goes ahead even if the share of trials does not allow it.
MAX_TRIAL_WAIT_S = 10.0


def usable_targets(candidates: list[TargetLoad], now: float, random_value: int) -> list[TargetLoad]:
    """Return the targets for this request: healthy, willing, let through by a ramp."""
    return [
        load
        for load in candidates
        if load.verdict is not Verdict.AVOIDED
        and load.shed_until <= now
        and may_send(load, now)
        and (load.ramp_until <= now or (random_value >> 40) % 8 < ramp_eighths(load, now))
    ]


@singledispatch
def trial_share(policy: Policy) -> float:
    """Return the fraction of a service's requests that may serve as trials."""
    return TRIAL_SHARE


@trial_share.register
def _(policy: Measured) -> float:
    return MEASURED_TRIAL_SHARE


@singledispatch
def ignores_trial_share(policy: Policy, load: TargetLoad) -> bool:
    """Return whether a due trial of the target goes ahead regardless of the share of trials."""
    return False


@ignores_trial_share.register
def _(policy: Measured, load: TargetLoad) -> bool:
    # A target that has passed a trial is more likely to be healthy than not.
    return load.trials_passed > 0


@singledispatch
def trial_due_at(policy: Policy, load: TargetLoad) -> float:
    """Return the time from which an avoided target may get a trial."""
    return load.next_trial_at


@trial_due_at.register
def _(policy: Measured, load: TargetLoad) -> float:
    return load.next_trial_at - max(0.0, trial_interval_s(load) - MEASURED_TRIAL_WAIT_S)


def take_due_trial(
    policy: Adaptive | ProbePool | Measured,
    candidates: list[TargetLoad],
    now: float,
    random_value: int,
    repeatable: bool,
) -> TargetLoad | None:
    """Find an avoided target whose trial is due, and schedule its next one.

    A non-repeatable request is used only if the trial is long overdue, as in a service that only
    takes bookings.
    """
    policy.trial_credit = min(1.0, policy.trial_credit + trial_share(policy))
    for load in candidates:
        if (
            load.verdict is not Verdict.AVOIDED
            or load.outstanding
            or not may_send(load, now)
            or now < trial_due_at(policy, load)
        ):
            continue
        early = now < load.next_trial_at + MAX_TRIAL_WAIT_S and not ignores_trial_share(
            policy, load
        )
        if early and (policy.trial_credit < 1.0 or not repeatable):
            continue
        policy.trial_credit = 0.0
        # Jitter: entries that started to avoid a target at the same time spread their trials.
        spread = 0.75 + (random_value >> 48) % 1024 / 2048
        load.next_trial_at = now + trial_interval_s(load) * spread
        return load
    return None
