"""Handlers for the results of probe rounds, and the choice of a target after a round."""

from poplarlane.decisions.admission import (
    limits,
    queueing,
)
from poplarlane.decisions.choice import (
    completion,
    slowdowns,
    statements,
)
from poplarlane.decisions.choice.dispatching import (
    RECHECK_S,
    await_permission,
    choose,
    schedule_recheck,
    send_or_queue,
)
from poplarlane.decisions.choice.permissions import first_send_at
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.choice.statements import Source
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.health import health
from poplarlane.decisions.overload.priorities import poll_factor
from poplarlane.decisions.probes import probe_rounds
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats.hedging import hedge
from poplarlane.decisions.requests.attempts import finish_refused, send, unreachable_refusal
from poplarlane.decisions.requests.entry_events import ProbeAnswered, ProbeFailed
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    Request,
    RequestState,
    ServiceState,
    reachable_targets,
)
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import TargetLoad

# Only the first requests of a queue probe for free slots; the results also serve those behind them.
MAX_QUEUED_PROBING = 2


@reduce.register
def probe_answered(event: ProbeAnswered, state: EntryState) -> list[Effect]:
    """Record the reported load; choose a target once the round of the request is complete."""
    probe = state.probes.pop(event.probe_id, None)
    if probe is None:
        return []
    state.now = event.now
    load, metadata = probe.load, event.metadata
    load.probes_in_flight -= 1
    effects: list[Effect] = []
    if metadata.instance and metadata.instance != load.target.instance:
        # Another process now uses the address.
        health.observe_unreachable(load, event.now)
    else:
        completion.record_load_report(load, probe.request.service.slowdowns, metadata, event.now)
        statements.observe(state, load, metadata, Source.PROBE, event.random_value, effects)
    end_probe(state, probe.request, event.probe_id, event.now, event.random_value, effects)
    return effects


@reduce.register
def probe_failed(event: ProbeFailed, state: EntryState) -> list[Effect]:
    """Count a failed probe as a failure of its target."""
    state.now = event.now
    effects: list[Effect] = []
    fail_probe(state, event.probe_id, event.now, event.random_value, effects)
    return effects


def fail_probe(
    state: EntryState, probe_id: int, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Record that a probe was not answered."""
    probe = state.probes.pop(probe_id, None)
    if probe is None:
        return
    probe.load.probes_in_flight -= 1
    health.observe_unreachable(probe.load, now)
    end_probe(state, probe.request, probe_id, now, random_value, effects)


def end_probe(
    state: EntryState,
    request: Request,
    probe_id: int,
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Remove a probe from the round of its request; the last one ends the round."""
    request.pending_probes.discard(probe_id)
    live = request.request_id in state.requests
    if live and request.awaiting_probes and not request.pending_probes:
        finish_round(state, request, now, random_value, effects)


def finish_round(
    state: EntryState, request: Request, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Choose a target by the results of the round, or start another round."""
    request.awaiting_probes = False
    request.pending_probes.clear()
    targets = reachable_targets(request.service, request.labels, request.regions)
    if request.attempts:
        hedge(state, request, now, random_value, effects)
        return
    if not targets:
        if request.state is RequestState.QUEUED:
            limits.remove_queued(request.service.limits, request)
        finish_refused(state, request, unreachable_refusal(targets, request.regions), effects)
        return
    load = choose(request, targets, now, random_value)
    if needs_another_round(request, load, targets, now):
        request.probe_round += 1
        request.awaiting_probes = probe_rounds.start_round(
            state, request, targets, now, random_value, effects
        )
        if request.awaiting_probes:
            return
    if is_queued(request):
        dispatch_waiting(state, request.service, now, random_value, effects)
    elif load is not None:
        send(state, request, load, now, effects)
    else:
        send_or_queue(state, request, targets, now, effects)


def refuse_queued(state: EntryState, request: Request, now: float, effects: list[Effect]) -> None:
    """Refuse a request that found no free slot, early enough for its caller to retry."""
    if request.state is not RequestState.QUEUED:
        return
    limits.remove_queued(request.service.limits, request)
    outcome = NotRun(ResultCode.OVERLOADED, "no target had room in time")
    if request.regions is not None:
        detail = "no target in the allowed regions had room in time"
        outcome = NotRun(ResultCode.NO_TARGET_AT_HOME, detail)
    finish_refused(state, request, outcome, effects)


def is_queued(request: Request) -> bool:
    """Return whether a request waits in the queue of its service."""
    return request in request.service.limits.queues[request.priority]


def needs_another_round(
    request: Request, load: TargetLoad | None, targets: list[TargetLoad], now: float
) -> bool:
    """Return whether other targets should be probed because the best one found is slow."""
    service = request.service
    if request.probe_round >= service.policy.max_probe_rounds:
        return False
    if len({id(candidate) for candidate in request.probed}) >= len(targets):
        return False
    if load is None or now - load.measured_at > slowdowns.recent_s(service.slowdowns):
        return True
    slots = service.limits.slots_per_target
    best_s = completion.expected_completion_s(
        load, service.contention, service.slowdowns, request.service_time_s, slots, now
    )
    return best_s > probe_rounds.SECOND_ROUND_RATIO * request.service_time_s


def recheck_queue(
    state: EntryState, service: ServiceState, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Probe targets again for the first requests of a queue."""
    service.recheck_at = 0.0
    measured = type(service.policy) is Measured
    queued = queueing.dispatch_order(service, now) if measured else []
    for request in [found for found in queued if found.poll_at <= now][:MAX_QUEUED_PROBING]:
        targets = reachable_targets(service, request.labels, request.regions)
        if targets and first_send_at(targets, now) > now:
            continue
        if targets and not request.awaiting_probes:
            # The timer fires slightly late, so the instant allows for half an interval.
            request.poll_at = now + (poll_factor(request, now) - 0.5) * RECHECK_S
            request.probe_round = service.policy.max_probe_rounds
            request.probed = []
            request.awaiting_probes = probe_rounds.start_round(
                state, request, targets, now, random_value, effects
            )
    dispatch_waiting(state, service, now, random_value, effects)
    if service.limits.queued and measured:
        schedule_recheck(state, service, now, effects)
    else:
        await_permission(state, service, now, effects)
