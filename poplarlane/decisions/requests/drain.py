"""Draining of targets, and graceful shutdown of an entry."""

from poplarlane.decisions.choice.shares import update_shares
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import (
    SetConnectionLimit,
    SetTimer,
    Stop,
    StopAccepting,
)
from poplarlane.decisions.requests.entry_events import StopSignalled
from poplarlane.decisions.requests.entry_state import EntryState, Request, TimerKind, add_timer
from poplarlane.decisions.requests.reports import current_report
from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import Target, TargetLoad

# Targets that are slow or full take this many times the usual time and more for one request in a
# hundred.
MARGIN_SERVICE_TIMES = 8.0
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
    effects.append(Log("draining", "info", {"in_flight": len(state.requests)}))
    effects.append(current_report(state))
    return effects


def late_refusal(state: EntryState, request: Request, now: float) -> NotRun | None:
    """Return the refusal of a request that the end of the drain would probably cut off.

    It is safe to send again at once, to another entry. A request whose own time ends before the
    drain is answered by then anyway.
    """
    usual_s = request.service_time_s or request.service.health.p95_s or DEFAULT_TIME_S
    ends_at = min(request.deadline, now + MARGIN_SERVICE_TIMES * usual_s)
    if ends_at <= state.drain_ends_at:
        return None
    return NotRun(ResultCode.SHUTTING_DOWN, "the process stops before an answer can be expected")


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
