"""Health verdicts from suspicion; trials of avoided targets and their gradual return."""

from poplarlane.types import TargetLoad, Verdict

# Thresholds of the log-likelihood ratio. A healthy target exceeds h at any time with probability
# below exp(-h): 2% for a suspect (which only costs more) and 0.03% for an avoided target.
SUSPECT_THRESHOLD = 4.0
AVOIDED_THRESHOLD = 8.0
# Hysteresis against flapping between two targets when more than a third qualify to be avoided.
AVOIDED_HYSTERESIS = 2.0
MAX_AVOIDED_SHARE = 1 / 3
TRIAL_INTERVAL_S = 0.5
MAX_TRIAL_INTERVAL_S = 8.0
NEXT_TRIAL_AFTER_PASS_S = 0.1
TRIALS_TO_RETURN = 3
# An exponential service time exceeds this many means in 8% of cases; a target that is ten times
# slower stays below it in 22%, so three consecutive passes are needed to return.
TRIAL_PASS_RATIO = 2.5
MAX_SUSPICION_ON_RETURN = 2.0
# Reached with the verdicts of two peers, each of which adds 3; evidence.py limits the sum to 4.9.
SUFFICIENT_PEER_SUSPICION = 4.5
RAMP_S = 2.0


def judge(suspicion: float) -> Verdict:
    """Turn the evidence against one target into a verdict."""
    if suspicion >= AVOIDED_THRESHOLD:
        return Verdict.AVOIDED
    if suspicion >= SUSPECT_THRESHOLD:
        return Verdict.SUSPECT
    return Verdict.HEALTHY


def apply_suspicions(
    loads: list[TargetLoad], suspicions: list[float], shared: float, now: float
) -> list[TargetLoad]:
    """Set new verdicts, with at most a third of the targets avoided; return changes for peers."""
    new_verdicts = [
        next_verdict(load, suspicion - shared, now)
        for load, suspicion in zip(loads, suspicions, strict=True)
    ]
    limit_avoided(loads, suspicions, new_verdicts)
    for load, new in zip(loads, new_verdicts, strict=True):
        if new != load.verdict:
            set_verdict(load, new, now)
    return [load for load in loads if should_notify_peers(load, now)]


def should_notify_peers(load: TargetLoad, now: float) -> bool:
    """Return whether peers should be notified of the target now, and record the notification.

    Only confirmed verdicts are worth a message to every VM: the target fails requests, or stayed
    slow after the verdict. Verdicts from a few slow responses fluctuate with the service times. A
    verdict that two peers have already reported is not sent, as a third one adds no suspicion.
    """
    if load.verdict is Verdict.AVOIDED:
        confirmed = load.consecutive_failures > 0 or load.trials_failed > 0
        if now < load.peer_verdict_expires_at and load.peer_suspicion >= SUFFICIENT_PEER_SUSPICION:
            confirmed = False
        notify = confirmed and not load.peers_notified
        load.peers_notified = load.peers_notified or confirmed
        return notify
    notify = load.peers_notified
    load.peers_notified = False
    return notify


def next_verdict(load: TargetLoad, suspicion: float, now: float) -> Verdict:
    """Judge a target; an avoided one returns only by passing its trials."""
    if load.verdict == Verdict.AVOIDED:
        returned = load.trials_passed >= TRIALS_TO_RETURN
        return Verdict.HEALTHY if returned else Verdict.AVOIDED
    return judge(suspicion)


def limit_avoided(
    loads: list[TargetLoad], suspicions: list[float], new_verdicts: list[Verdict]
) -> None:
    """Downgrade the least suspicious avoided targets to suspects when there are too many."""
    avoided = [index for index, new in enumerate(new_verdicts) if new == Verdict.AVOIDED]
    # Targets outside the entry's subset never answer and cannot replace avoided ones.
    allowed = int(sum(load.answers > 0 for load in loads) * MAX_AVOIDED_SHARE)
    if len(avoided) <= allowed:
        return
    avoided.sort(key=lambda index: -severity(loads[index], suspicions[index]))
    for index in avoided[allowed:]:
        new_verdicts[index] = Verdict.SUSPECT


def severity(load: TargetLoad, suspicion: float) -> float:
    """Return the sort key of targets that qualify to be avoided, the highest first."""
    return suspicion + (AVOIDED_HYSTERESIS if load.verdict == Verdict.AVOIDED else 0.0)


def set_verdict(load: TargetLoad, new: Verdict, now: float) -> None:
    """Change the verdict; a target that is no longer avoided is ramped up."""
    if new == Verdict.AVOIDED:
        load.trials_passed = 0
        load.next_trial_at = now + trial_interval_s(load)
    elif load.verdict == Verdict.AVOIDED:
        start_ramp(load, now)
        load.suspicion = min(load.suspicion, MAX_SUSPICION_ON_RETURN)
        load.suspicion_at = now
        load.peer_suspicion = 0.0
    load.verdict = new


def start_ramp(load: TargetLoad, now: float) -> None:
    """Start a slow start: the target's share of requests grows in steps from now on."""
    load.ramp_until = now + RAMP_S


def ramp_eighths(load: TargetLoad, now: float) -> int:
    """Return the target's share of its usual requests, in eighths: 1, 2, 4, then 8."""
    remaining_s = load.ramp_until - now
    if remaining_s <= 0.0:
        return 8
    return 8 >> (1 + min(2, int(3.0 * remaining_s / RAMP_S)))


def trial_interval_s(load: TargetLoad) -> float:
    """Return the time between trials, doubled with each failed one."""
    return min(MAX_TRIAL_INTERVAL_S, TRIAL_INTERVAL_S * 2.0**load.trials_failed)


def observe_trial(load: TargetLoad, ok: bool, latency_s: float, now: float) -> None:
    """Record a passed or failed trial of an avoided target, and schedule the next one."""
    if ok and latency_s <= TRIAL_PASS_RATIO * load.typical_s:
        load.trials_passed += 1
        if load.trials_passed >= TRIALS_TO_RETURN:
            load.trials_failed = 0
        load.next_trial_at = min(load.next_trial_at, now + NEXT_TRIAL_AFTER_PASS_S)
        return
    load.trials_passed = 0
    load.trials_failed = min(load.trials_failed + 1, 8)
    load.next_trial_at = max(load.next_trial_at, now + trial_interval_s(load))


def advance_trial(load: TargetLoad, now: float) -> None:
    """Schedule the next trial earlier because a peer found the target healthy."""
    load.trials_failed = 0
    load.next_trial_at = min(load.next_trial_at, now + TRIAL_INTERVAL_S)
