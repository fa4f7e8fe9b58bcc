"""Keep avoided targets out of the choice, and give each a bounded trickle of trial requests."""

from functools import singledispatch

from poplarlane.decisions.policies import Adaptive, Measured, Policy, ProbePool
from poplarlane.decisions.verdicts import ramp_eighths, trial_interval_s
from poplarlane.types import TargetLoad, Verdict

# Trials reach the slowest targets, so their share must stay well below the 1% that p99 leaves.
TRIAL_SHARE = 0.002
# A read that serves as a trial of `Measured` gets its second copy early and still meets its aim. An
# entry of a large fleet has a few requests per second for a service, and three trials must pass.
MEASURED_TRIAL_SHARE = 0.02
# Faults of targets often end within seconds, and such a trial is cheap.
MEASURED_TRIAL_WAIT_S = 1.0
# Trials go on at this interval when there are too few requests for the share.
MAX_TRIAL_WAIT_S = 10.0


def usable_targets(candidates: list[TargetLoad], now: float, draw: int) -> list[TargetLoad]:
    """List the targets that take part in the choice for this request."""
    return [
        load
        for load in candidates
        if load.verdict is not Verdict.AVOIDED
        and load.shed_until <= now
        and (load.ramp_until <= now or (draw >> 40) % 8 < ramp_eighths(load, now))
    ]


@singledispatch
def trial_share(policy: Policy) -> float:
    """Give the share of a service's requests that may serve as trials."""
    return TRIAL_SHARE


@trial_share.register
def _(policy: Measured) -> float:
    return MEASURED_TRIAL_SHARE


@singledispatch
def ignores_trial_share(policy: Policy, load: TargetLoad) -> bool:
    """Tell whether a due trial of the target goes ahead whatever the share of trials is."""
    return False


@ignores_trial_share.register
def _(policy: Measured, load: TargetLoad) -> bool:
    # A target that has passed a trial is more likely to be well than not.
    return load.trials_passed > 0


@singledispatch
def trial_due_at(policy: Policy, load: TargetLoad) -> float:
    """Give the instant from which an avoided target may get a trial."""
    return load.next_trial_at


@trial_due_at.register
def _(policy: Measured, load: TargetLoad) -> float:
    return load.next_trial_at - max(0.0, trial_interval_s(load) - MEASURED_TRIAL_WAIT_S)


def take_due_trial(
    policy: Adaptive | ProbePool | Measured,
    candidates: list[TargetLoad],
    now: float,
    draw: int,
    repeatable: bool,
) -> TargetLoad | None:
    """Find an avoided target whose trial is due, and set the time of its next one.

    A request that may not be repeated serves only when no other one came for long, as in a
    service that only takes bookings.
    """
    policy.trial_credit = min(1.0, policy.trial_credit + trial_share(policy))
    for load in candidates:
        if (
            load.verdict is not Verdict.AVOIDED
            or load.outstanding
            or now < trial_due_at(policy, load)
        ):
            continue
        early = now < load.next_trial_at + MAX_TRIAL_WAIT_S and not ignores_trial_share(
            policy, load
        )
        if early and (policy.trial_credit < 1.0 or not repeatable):
            continue
        policy.trial_credit = 0.0
        # Entries that began to avoid a target together spread their trials.
        spread = 0.75 + (draw >> 48) % 1024 / 2048
        load.next_trial_at = now + trial_interval_s(load) * spread
        return load
    return None
