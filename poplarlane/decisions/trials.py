"""Keep avoided targets out of the choice, and give each a bounded trickle of trial requests."""

from poplarlane.decisions.policies import Adaptive, ProbePool
from poplarlane.decisions.verdicts import ramp_eighths, trial_interval_s
from poplarlane.types import TargetLoad, Verdict

# Trials reach the slowest targets, so their share must stay well below the 1% that p99 leaves.
TRIAL_SHARE = 0.002
# Trials go on at this interval when there are too few requests for the share.
LONGEST_TRIAL_WAIT_S = 10.0


def usable_targets(candidates: list[TargetLoad], now: float, draw: int) -> list[TargetLoad]:
    """List the targets that take part in the choice for this request."""
    return [
        load
        for load in candidates
        if load.verdict is not Verdict.AVOIDED
        and load.shed_until <= now
        and (load.ramp_until <= now or (draw >> 40) % 8 < ramp_eighths(load, now))
    ]


def take_due_trial(
    policy: Adaptive | ProbePool,
    candidates: list[TargetLoad],
    now: float,
    draw: int,
    repeatable: bool,
) -> TargetLoad | None:
    """Find an avoided target whose trial is due, and set the time of its next one.

    A request that may not be repeated serves only when no other one came for long, as in a
    service that only takes bookings.
    """
    policy.trial_credit = min(1.0, policy.trial_credit + TRIAL_SHARE)
    for load in candidates:
        if load.verdict is not Verdict.AVOIDED or load.outstanding or now < load.next_trial_at:
            continue
        early = now < load.next_trial_at + LONGEST_TRIAL_WAIT_S
        if early and (policy.trial_credit < 1.0 or not repeatable):
            continue
        policy.trial_credit = 0.0
        # Entries that began to avoid a target together spread their trials.
        spread = 0.75 + (draw >> 48) % 1024 / 2048
        load.next_trial_at = now + trial_interval_s(load) * spread
        return load
    return None
