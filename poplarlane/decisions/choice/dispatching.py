"""Choice of the target of a request, now or once a target has capacity."""

import math

from poplarlane.decisions.admission import (
    admission,
    limits,
    queueing,
)
from poplarlane.decisions.choice import (
    completion,
    contention,
    slowdowns,
)
from poplarlane.decisions.choice.permissions import (
    are_paused,
    first_send_at,
    may_send,
    next_send_at,
)
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.choice.routing import choose_target
from poplarlane.decisions.cold import cold_permits
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.health.trials import take_due_trial
from poplarlane.decisions.probes import probe_rounds
from poplarlane.decisions.requests.attempts import enqueue, finish_refused, send
from poplarlane.decisions.requests.entry_effects import SetTimer
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    Request,
    ServiceState,
    TimerKind,
    add_timer,
)
from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import TargetLoad, Verdict

# A target is not used if the expected completion time there exceeds this multiple of the service
# time.
MAX_COMPLETION_RATIO = 3.0
# Cost of sending a request to another data centre on top of the round trip, as a share of its
# service time: traffic between data centres is paid for, and one of them may be cut off.
CROSS_DATA_CENTRE_SHARE = 0.3
# Interval at which queued requests are checked against the capacity of the targets.
RECHECK_S = 0.012
# A request that can only be late leaves this many places of a target to requests in time: their
# queues are at other nodes, where its own place in the queue says nothing.
RESERVED_SLOTS = 1


def choose(
    request: Request, targets: list[TargetLoad], now: float, random_value: int
) -> TargetLoad | None:
    """Choose a target with capacity, preferably one that was not tried yet."""
    service = request.service
    bounds = service.limits
    if type(service.policy) is Measured:
        return choose_measured(request, targets, now)
    willing = [load for load in targets if may_send(load, now)]
    available = limits.targets_with_capacity(bounds, willing)
    if request.tried:
        tried = request.tried
        available = [load for load in available if load not in tried] or available
    # Only a request that may be retried serves as a trial of an avoided target.
    trial = request.idempotent and not request.attempts
    return choose_target(service.policy, available, now, random_value, trial)


def choose_measured(request: Request, targets: list[TargetLoad], now: float) -> TargetLoad | None:
    """Choose the target with the earliest expected completion among those with capacity.

    A currently slow target would occupy one of its slots for long; while the soft deadline can
    still be met, it is better to wait for a faster target. The slowdown of a target changes within
    a few reports, so targets without a recent report are used only where none can be had.
    """
    service = request.service
    if service.limits.held:
        return None
    if not request.may_use_old_reports:
        recent_s = slowdowns.recent_s(service.slowdowns)
        recent = [load for load in targets if now - load.measured_at <= recent_s]
        targets = recent or targets
    slots = service.limits.slots_per_target
    contention.age(service.contention, now)
    is_timely = queueing.can_meet_soft_deadline(request, now)
    limit_s = request.soft_deadline - now if is_timely else math.inf
    reserved = 0 if is_timely else RESERVED_SLOTS
    limit_s = min(limit_s, MAX_COMPLETION_RATIO * request.service_time_s, request.deadline - now)
    best, best_s = None, math.inf
    for load in targets:
        if load.verdict is Verdict.AVOIDED or load.shed_until > now or load in request.tried:
            continue
        if not completion.has_capacity(load, service.contention, slots, reserved):
            continue
        if not may_send(load, now):
            continue
        cost_s = completion.expected_completion_s(
            load, service.contention, service.slowdowns, request.service_time_s, slots, now
        )
        if cost_s > limit_s:
            continue
        cost_s += completion.failure_cost_s(load, request.service_time_s, now)
        if load.rtt_s:
            cost_s += CROSS_DATA_CENTRE_SHARE * request.service_time_s
        if cost_s < best_s:
            best, best_s = load, cost_s
    return best


def dispatch(
    state: EntryState,
    request: Request,
    targets: list[TargetLoad],
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Probe targets and choose once they have answered, or choose immediately.

    A first attempt may serve as the trial of an avoided target, which is then not probed. A request
    for which no target may be sent anything in time is refused at once.
    """
    refusal = barred_refusal(request, targets, now)
    if refusal is not None:
        finish_refused(state, request, refusal, effects)
        return
    if not request.tried and not request.service.limits.held:
        policy = request.service.policy
        trial = take_due_trial(policy, targets, now, random_value, request.idempotent)
        if trial is not None:
            send(state, request, trial, now, effects)
            return
    request.probed = []
    request.probe_round = 1
    request.awaiting_probes = probe_rounds.start_round(
        state, request, targets, now, random_value, effects
    )
    if not request.awaiting_probes:
        send_or_queue(state, request, targets, now, effects)


def barred_refusal(request: Request, targets: list[TargetLoad], now: float) -> NotRun | None:
    """Return the refusal of a request that its targets' statements leave no room for in time."""
    send_at = first_send_at(targets, now)
    if send_at <= max(now, queueing.give_up_at(request)):
        return None
    after_s = send_at - now + admission.request_retry_after_s(request)
    if are_paused(targets, now):
        detail = "every target has turned requests away for a time"
        return NotRun(ResultCode.TARGETS_PAUSED, detail, 503, after_s)
    if cold_permits.all_limited(targets, now):
        return NotRun(ResultCode.RATE_LIMITED, "every target is cold", 503, after_s)
    return NotRun(ResultCode.RATE_LIMITED, "the targets' rates are used up", 503, after_s)


def send_or_queue(
    state: EntryState,
    request: Request,
    targets: list[TargetLoad],
    now: float,
    effects: list[Effect],
) -> None:
    """Send a request to the best target by current knowledge, queue it, or refuse it."""
    load = choose(request, targets, now, 0)
    if load is not None:
        send(state, request, load, now, effects)
        return
    refusal = barred_refusal(request, targets, now)
    if refusal is not None:
        finish_refused(state, request, refusal, effects)
        return
    enqueue(state, request, effects)
    if request.request_id in state.requests:
        schedule_recheck(state, request.service, now, effects)
        schedule_give_up(state, request, now, effects)


def schedule_give_up(
    state: EntryState, request: Request, now: float, effects: list[Effect]
) -> None:
    """Set the time at which the request is refused if it is still queued."""
    at = max(now, queueing.give_up_at(request))
    if add_timer(state, at, TimerKind.GIVE_UP, request.request_id):
        effects.append(SetTimer(state.timer_at))


def schedule_recheck(
    state: EntryState, service: ServiceState, now: float, effects: list[Effect]
) -> None:
    """Schedule the next check whether a target has capacity for queued requests."""
    recheck_at(state, service, now + RECHECK_S, now, effects)


def await_permission(
    state: EntryState, service: ServiceState, now: float, effects: list[Effect]
) -> None:
    """Schedule a check of the queue for when a target's statements next let it be used.

    Under policies without probes nothing else would wake requests that wait while no target works.
    """
    later = [at for load in service.limits.loads if (at := next_send_at(load, now)) > now]
    if later and service.limits.queued:
        recheck_at(state, service, min(later), now, effects)


def recheck_at(
    state: EntryState, service: ServiceState, at: float, now: float, effects: list[Effect]
) -> None:
    """Set the time of the next check of the queue unless one is scheduled."""
    if service.recheck_at > now:
        return
    service.recheck_at = at
    if add_timer(state, service.recheck_at, TimerKind.RECHECK, service.number):
        effects.append(SetTimer(state.timer_at))
