"""Hedged requests: second copies of reads that are not answered in time."""

from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice import rate_limits
from poplarlane.decisions.choice.dispatching import choose, choose_measured
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.customers.key_checks import send_refusal
from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.probes import probe_rounds
from poplarlane.decisions.quarantine.enforcement import is_suspect
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats import retries
from poplarlane.decisions.requests import request_log
from poplarlane.decisions.requests.attempts import send
from poplarlane.decisions.requests.entry_effects import SetTimer
from poplarlane.decisions.requests.entry_events import AttemptSent
from poplarlane.decisions.requests.entry_state import (
    Attempt,
    EntryState,
    Request,
    RequestState,
    ServiceState,
    TimerKind,
    add_timer,
    next_random_value,
    reachable_targets,
)
from poplarlane.types import TargetLoad, Verdict

# A read is hedged after HEDGE_DELAY_RATIO service times, or earlier if the hedge needs that to be
# answered by the soft deadline (HEDGE_RESERVE_RATIO service times before it), but never before
# MIN_HEDGE_DELAY_RATIO service times.
HEDGE_DELAY_RATIO = 1.3
HEDGE_RESERVE_RATIO = 1.15
MIN_HEDGE_DELAY_RATIO = 0.5
# Interval until a hedge is considered again when no other target qualifies, or the budget is empty.
HEDGE_RECHECK_S = 0.04
BUDGET_RECHECK_S = 0.1
# By then the probe of an unresponsive target has timed out.
LOST_TARGET_RECHECK_S = probe_rounds.PROBE_REPLY_TIMEOUT_S + 0.05
# A read that is unanswered this many service times before its deadline is about to fail.
URGENT_SERVICE_TIMES = 2.5
# Number of the probe round of a hedge; above any round of a first attempt, which are two at most.
HEDGE_PROBE_ROUND = 10


@reduce.register
def attempt_sent(event: AttemptSent, state: EntryState) -> list[Effect]:
    """Record that the target may have started the request from now on."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    request = attempt.request
    attempt.sent_at = event.now
    request.state = RequestState.SENT
    request.possibly_started += 1
    request.sends += 1
    if type(request.service.policy) is Measured:
        return schedule_measured_hedge(state, attempt, event.now)
    if request.hedge and state.hedged_reads and not request.hedged:
        return schedule_hedge(state, attempt, event.now)
    return []


def schedule_hedge(state: EntryState, attempt: Attempt, now: float) -> list[Effect]:
    """Set the time at which an unanswered read is hedged.

    The delay counts from the first byte sent. Counted from the choice of the target, it could
    elapse while the connection was still being opened, and the read was then never hedged.
    """
    request = attempt.request
    p95_s = request.service.health.p95_s
    if p95_s <= 0.0:
        return []
    at = now + retries.hedge_delay_s(p95_s, attempt.load.verdict is Verdict.AVOIDED)
    return [SetTimer(at)] if add_timer(state, at, TimerKind.HEDGE, request.request_id) else []


def schedule_measured_hedge(state: EntryState, attempt: Attempt, now: float) -> list[Effect]:
    """Set the time at which a hedge of a late read is considered.

    A trial of an avoided target is hedged as early as possible, to limit the caller's delay.
    """
    request = attempt.request
    if request.hedged or not may_be_hedged(request):
        return []
    delay_s = HEDGE_DELAY_RATIO * request.service_time_s
    if attempt.load.verdict is Verdict.AVOIDED:
        delay_s = 0.0
    latest = request.soft_deadline - HEDGE_RESERVE_RATIO * request.service_time_s
    at = max(now + request.service_time_s * MIN_HEDGE_DELAY_RATIO, min(now + delay_s, latest))
    return [SetTimer(at)] if add_timer(state, at, TimerKind.HEDGE, request.request_id) else []


def may_be_hedged(request: Request) -> bool:
    """Return whether its kind allows hedges, and its route another attempt."""
    return request.hedge and (not request.max_attempts or request.sends < request.max_attempts)


def hedge(
    state: EntryState, request: Request, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Hedge a slow read within the budget, now or once a second target has capacity."""
    service = request.service
    if request.hedged or request.streaming or request.state is not RequestState.SENT:
        return
    if not request.attempts or not may_be_hedged(request):
        return
    # A second copy of a request that crashes targets would end another target.
    if state.quarantine.items and is_suspect(state, request):
        return
    if state.customers.by_name and send_refusal(state, request, now) is not None:
        return
    first = request.attempts[0].load
    targets = reachable_targets(service, request.labels, request.regions) or []
    others = [load for load in targets if load is not first]
    if type(service.policy) is Measured:
        hedge_measured(state, request, others, now, random_value, effects)
        return
    load = choose(request, others, now, random_value)
    if load is None:
        service.pending_hedges.append(request)
    elif retries.may_hedge(service.hedge_budget, request, service.health.p95_s, now):
        send_hedge(state, request, load, now, effects)


def hedge_measured(
    state: EntryState,
    request: Request,
    others: list[TargetLoad],
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Hedge a slow read once the budget, the probes and the queued requests allow it.

    Where targets name rates the others are full, and a second copy takes the place of a request
    that was not sent yet. Only reads at lost targets are hedged then.
    """
    service = request.service
    first = request.attempts[0].load
    is_lost = probe_rounds.is_lost(first, now)
    is_urgent = is_lost or now >= urgent_from(request)
    probe_rounds.probe_if_silent(state, request, first, now, effects)
    is_scarce = rate_limits.any_limited(service.limits.loads) and not is_lost
    if is_scarce or not retries.allows_hedge(service.hedge_budget, now, is_urgent):
        schedule_recheck_after_denial(state, request, is_urgent, now, effects)
        return
    if request.probe_round < HEDGE_PROBE_ROUND:
        request.probe_round = HEDGE_PROBE_ROUND
        request.probed = []
        request.awaiting_probes = probe_rounds.start_round(
            state, request, others, now, random_value, effects
        )
        if request.awaiting_probes:
            return
    # A hedge does not take capacity that queued requests wait for, unless the first target is lost.
    defers_to_queue = service.limits.queued and not is_lost
    load = None if defers_to_queue else choose_measured(request, others, now)
    if load is None:
        schedule_hedge_recheck(state, request, now + HEDGE_RECHECK_S, effects)
    elif retries.may_hedge(service.hedge_budget, request, service.health.p95_s, now, is_urgent):
        request_log.request_hedged(state, request, load, effects)
        send_hedge(state, request, load, now, effects)


def send_hedge(
    state: EntryState, request: Request, load: TargetLoad, now: float, effects: list[Effect]
) -> None:
    """Send the second copy of a read."""
    request.hedged = True
    request.attempt += 1
    effects.append(Count("hedge_total", 1.0, {"service": request.service.name}))
    send(state, request, load, now, effects)


def urgent_from(request: Request) -> float:
    """Return the instant from which an unanswered read is about to miss its deadline."""
    return request.deadline - URGENT_SERVICE_TIMES * request.service_time_s


def schedule_recheck_after_denial(
    state: EntryState, request: Request, is_urgent: bool, now: float, effects: list[Effect]
) -> None:
    """Schedule another check of a read whose hedge the budget denied.

    Between its first check and the instant at which it becomes urgent, the read leaves the budget
    to reads that can still be answered in time, unless its target turns out to be lost.
    """
    if is_urgent:
        at = now + BUDGET_RECHECK_S
    elif now < request.soft_deadline:
        at = now + LOST_TARGET_RECHECK_S
    else:
        at = urgent_from(request)
    schedule_hedge_recheck(state, request, at, effects)


def schedule_hedge_recheck(
    state: EntryState, request: Request, at: float, effects: list[Effect]
) -> None:
    """Consider hedging a read again at a later instant."""
    request.probe_round = 0
    if at < request.deadline and add_timer(state, at, TimerKind.HEDGE, request.request_id):
        effects.append(SetTimer(state.timer_at))


def send_pending_hedges(
    state: EntryState, service: ServiceState, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Hedge the reads whose hedge was due when no second target had capacity."""
    bounds = service.limits
    due = [pending for pending in service.pending_hedges if pending.request_id in state.requests]
    service.pending_hedges = []
    for index, request in enumerate(due):
        if not limits.targets_with_capacity(bounds, bounds.loads):
            service.pending_hedges += due[index:]
            return
        hedge(state, request, now, random_value, effects)
        random_value = next_random_value(random_value)
