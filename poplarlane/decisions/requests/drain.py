"""Draining of targets, and graceful shutdown of an entry."""

from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice.shares import update_shares
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.attempts import finish_refused
from poplarlane.decisions.requests.entry_effects import (
    SetConnectionLimit,
    SetTimer,
    Stop,
    StopAccepting,
)
from poplarlane.decisions.requests.entry_events import StopSignalled
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    Request,
    RequestState,
    TimerKind,
    add_timer,
)
from poplarlane.decisions.requests.reports import current_report
from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import Target, TargetLoad

# Targets that are slow or full take this many times the usual time and more for one request in a
# hundred.
MARGIN_SERVICE_TIMES = 8.0
# Time before the end of a drain that a refusal needs to reach its caller.
REFUSAL_RESERVE_S = 0.3
# Usual time of a request before any was answered.
DEFAULT_TIME_S = 0.1


def mark_leaving(state: EntryState, target: Target, source: str, effects: list[Effect]) -> None:
    """Send a target no new requests in any service; those in flight continue."""
    state.leaving.add(target.name)
    for service in state.services.values():
        load = service.loads.get(target.name)
        if load is not None and not load.leaving:
            load.leaving = True
            update_shares(service, effects)
    effects.append(SetConnectionLimit(target, 0))
    effects.append(Log("target_leaving", "info", {"target": target.name, "source": source}))
    effects.append(current_report(state))


def mark_returned(state: EntryState, name: str, effects: list[Effect]) -> None:
    """Return a target with a new incarnation to service."""
    state.leaving.discard(name)
    for service in state.services.values():
        load = service.loads.get(name)
        if load is not None:
            # Observations of the old process do not apply to the new one.
            service.loads[name] = TargetLoad(load.target, load.rtt_s)
            state.statements[name] = service.loads[name].statements
            update_shares(service, effects)


@reduce.register
def stop_signalled(event: StopSignalled, state: EntryState) -> list[Effect]:
    """Start to drain; a second signal ends the drain immediately."""
    effects: list[Effect] = []
    state.now = event.now
    if state.draining:
        drain_limit_passed(state, effects)
        return effects
    state.draining = True
    accept_end = event.now + state.drain_accept_s
    reschedule = add_timer(state, accept_end, TimerKind.ACCEPT_END)
    state.drain_ends_at = event.now + state.drain_limit_s
    reschedule |= add_timer(state, state.drain_ends_at, TimerKind.DRAIN_LIMIT)
    if reschedule:
        effects.append(SetTimer(state.timer_at))
    for request in state.requests.values():
        schedule_drain_refusal(state, request, event.now, effects)
    effects.append(Log("draining", "info", {"in_flight": len(state.requests)}))
    effects.append(current_report(state))
    return effects


def late_refusal(state: EntryState, request: Request, now: float) -> NotRun | None:
    """Return the refusal of a request that the end of the drain would probably cut off.

    It is safe to send again at once, to another entry. A request whose own time ends before the
    drain is answered by then anyway.
    """
    ends_at = min(request.deadline, now + margin_s(request))
    return None if ends_at <= state.drain_ends_at else shutdown_refusal()


def margin_s(request: Request) -> float:
    """Return the time in which nearly every request of this kind is answered."""
    usual_s = request.service_time_s or request.service.health.p95_s or DEFAULT_TIME_S
    return MARGIN_SERVICE_TIMES * usual_s


def shutdown_refusal() -> NotRun:
    """Return the refusal of a request that the end of the drain would cut off."""
    return NotRun(ResultCode.SHUTTING_DOWN, "the process stops before an answer can be expected")


def schedule_drain_refusal(
    state: EntryState, request: Request, now: float, effects: list[Effect]
) -> None:
    """Set the time at which a request that is still unsent is refused because of the stop.

    From then on the end of the drain would probably cut it off if it were sent.
    """
    if request.deadline <= state.drain_ends_at - REFUSAL_RESERVE_S:
        return
    reserve_s = max(REFUSAL_RESERVE_S, margin_s(request))
    at = max(now, state.drain_ends_at - reserve_s)
    if add_timer(state, at, TimerKind.DRAIN_REFUSAL, request.request_id):
        effects.append(SetTimer(state.timer_at))


def refuse_unsent(state: EntryState, request: Request, now: float, effects: list[Effect]) -> None:
    """Refuse a request that no target has got; check others once more before the end."""
    if request.possibly_started or request.hedged:
        # A target may still refuse it, and it is then queued again.
        last_at = state.drain_ends_at - REFUSAL_RESERVE_S
        if now < last_at and add_timer(state, last_at, TimerKind.DRAIN_REFUSAL, request.request_id):
            effects.append(SetTimer(state.timer_at))
        return
    if request.state is RequestState.QUEUED:
        limits.remove_queued(request.service.limits, request)
    request.awaiting_probes = False
    finish_refused(state, request, shutdown_refusal(), effects)


def accept_ended(state: EntryState, effects: list[Effect]) -> None:
    """Stop accepting connections, and exit if nothing is in flight."""
    state.accepting = False
    effects.append(StopAccepting())
    if not state.requests:
        effects.append(Stop(False))


def drain_limit_passed(state: EntryState, effects: list[Effect]) -> None:
    """End the drain now and log how many requests are aborted."""
    effects.append(Log("drain_cut", "warning", {"cut": len(state.requests)}))
    effects.append(Stop(True))
