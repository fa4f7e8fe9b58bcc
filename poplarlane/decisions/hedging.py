"""Second copies of reads that are not answered in time."""

from poplarlane.decisions import limits, probe_rounds, request_log, retries
from poplarlane.decisions.attempts import send
from poplarlane.decisions.dispatching import choose, choose_measured
from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.entry_effects import SetTimer
from poplarlane.decisions.entry_events import AttemptSent
from poplarlane.decisions.entry_state import (
    Attempt,
    EntryState,
    Request,
    RequestState,
    ServiceState,
    TimerKind,
    add_timer,
    next_draw,
    reachable_targets,
)
from poplarlane.decisions.policies import Measured
from poplarlane.decisions.reducer import reduce
from poplarlane.types import TargetLoad, Verdict

# A second copy of a read is considered after this multiple of its usual work, but early enough
# that the copy can be answered in time, and never before half of the work.
HEDGE_DELAY_RATIO = 1.3
HEDGE_RESERVE_RATIO = 1.15
MIN_HEDGE_DELAY_RATIO = 0.5
# How soon a second copy is considered again when no other target is good, or the budget is used up.
HEDGE_RECHECK_S = 0.04
BUDGET_RECHECK_S = 0.1
# A silent target is known as lost by then.
LOST_TARGET_RECHECK_S = probe_rounds.PROBE_LIMIT_S + 0.05
# A read without an answer so many times its work before its deadline is about to fail.
URGENT_SERVICE_TIMES = 2.5
# Marks the round of probes of a second copy; a request is sent after two rounds at the most.
HEDGE_PROBE_ROUND = 10


@reduce.register
def attempt_sent(event: AttemptSent, state: EntryState) -> list[Effect]:
    """Record that a target may start the request from now on."""
    attempt = state.attempts[event.attempt_id]
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
    """Set the time at which an unanswered read may be sent a second time.

    The delay counts from the sending. Counted from the choice of the target, it could pass while
    the connection was still being opened, and the read then went without a hedge.
    """
    request = attempt.request
    p95_s = request.service.health.p95_s
    if p95_s <= 0.0:
        return []
    at = now + retries.hedge_delay_s(p95_s, attempt.load.verdict is Verdict.AVOIDED)
    return [SetTimer(at)] if add_timer(state, at, TimerKind.HEDGE, request.request_id) else []


def schedule_measured_hedge(state: EntryState, attempt: Attempt, now: float) -> list[Effect]:
    """Set the time at which a second copy of a late read is considered.

    A trial of an avoided target gets it as early as possible, so that it costs its caller little.
    """
    request = attempt.request
    if not request.hedge or request.hedged or request.sends >= request.max_attempts:
        return []
    patience_s = HEDGE_DELAY_RATIO * request.service_time_s
    if attempt.load.verdict is Verdict.AVOIDED:
        patience_s = 0.0
    latest = request.soft_deadline - HEDGE_RESERVE_RATIO * request.service_time_s
    at = max(now + request.service_time_s * MIN_HEDGE_DELAY_RATIO, min(now + patience_s, latest))
    return [SetTimer(at)] if add_timer(state, at, TimerKind.HEDGE, request.request_id) else []


def hedge(
    state: EntryState, request: Request, now: float, draw: int, effects: list[Effect]
) -> None:
    """Send a slow read to a second target within the budget, now or once a target has room."""
    service = request.service
    if request.hedged or request.streaming or request.state is not RequestState.SENT:
        return
    if not request.attempts:
        return
    first = request.attempts[0].load
    targets = reachable_targets(service, request.labels) or []
    others = [load for load in targets if load is not first]
    if type(service.policy) is Measured:
        hedge_measured(state, request, others, now, draw, effects)
        return
    load = choose(request, others, now, draw)
    if load is None:
        service.pending_hedges.append(request)
    elif retries.may_hedge(service.hedge_budget, request, service.health.p95_s, now):
        send_hedge(state, request, load, now, effects)


def hedge_measured(
    state: EntryState,
    request: Request,
    others: list[TargetLoad],
    now: float,
    draw: int,
    effects: list[Effect],
) -> None:
    """Send a slow read to a second target once the budget, probes and others that wait allow it."""
    service = request.service
    first = request.attempts[0].load
    is_lost = probe_rounds.is_lost(first, now)
    is_urgent = is_lost or now >= urgent_from(request)
    probe_rounds.ask_silent(state, request, first, now, effects)
    if not retries.allows_hedge(service.hedge_budget, now, is_urgent):
        schedule_recheck_after_denial(state, request, is_urgent, now, effects)
        return
    if request.probe_round < HEDGE_PROBE_ROUND:
        request.probe_round = HEDGE_PROBE_ROUND
        request.probed = []
        request.awaiting_probes = probe_rounds.start_round(
            state, request, others, now, draw, effects
        )
        if request.awaiting_probes:
            return
    # A second copy does not take the room that others wait for, unless the first is lost.
    yields = service.limits.queued and not is_lost
    load = None if yields else choose_measured(request, others, now)
    if load is None:
        schedule_hedge_recheck(state, request, now + HEDGE_RECHECK_S, effects)
    elif retries.may_hedge(service.hedge_budget, request, service.health.p95_s, now, is_urgent):
        request_log.request_hedged(state, request, load, effects)
        send_hedge(state, request, load, now, effects)


def send_hedge(
    state: EntryState, request: Request, load: TargetLoad, now: float, effects: list[Effect]
) -> None:
    """Send a read a second time."""
    request.hedged = True
    request.attempt += 1
    effects.append(Count("hedge_total", 1.0, {"service": request.service.name}))
    send(state, request, load, now, effects)


def urgent_from(request: Request) -> float:
    """Give the instant from which a read without an answer is about to fail."""
    return request.deadline - URGENT_SERVICE_TIMES * request.service_time_s


def schedule_recheck_after_denial(
    state: EntryState, request: Request, is_urgent: bool, now: float, effects: list[Effect]
) -> None:
    """Look again at a read for which the budget has no second copy now.

    Between its first look and its last chance it leaves the budget to reads that can still be
    answered in time, unless its target turns out to be lost.
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
    """Consider the second copy of a read again at a later instant."""
    request.probe_round = 0
    if at < request.deadline and add_timer(state, at, TimerKind.HEDGE, request.request_id):
        effects.append(SetTimer(state.timer_at))


def send_pending_hedges(
    state: EntryState, service: ServiceState, now: float, draw: int, effects: list[Effect]
) -> None:
    """Hedge the reads whose hedge was due when no second target had room."""
    bounds = service.limits
    due = [found for found in service.pending_hedges if found.request_id in state.requests]
    service.pending_hedges = []
    for index, request in enumerate(due):
        if not limits.targets_with_capacity(bounds, bounds.loads):
            service.pending_hedges += due[index:]
            return
        hedge(state, request, now, draw, effects)
        draw = next_draw(draw)
