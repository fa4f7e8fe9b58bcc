"""Handler for the result of the check whether a target's process is gone."""

from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.health import health
from poplarlane.decisions.quarantine import enforcement
from poplarlane.decisions.quarantine.convictions import Suspicion
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.attempts import finish_refused
from poplarlane.decisions.requests.entry_effects import NotifyFleet
from poplarlane.decisions.requests.entry_events import ProcessChecked
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    Request,
    ServiceState,
    next_random_value,
)
from poplarlane.decisions.requests.reports import verdict_report
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.decisions.requests.responses import send_again

# A target whose process is gone needs about 3 s to start again; probes see it before.
GONE_PAUSE_S = 0.5


@reduce.register
def process_checked(event: ProcessChecked, state: EntryState) -> list[Effect]:
    """Record a crash, or send the requests again that waited for the result."""
    suspicions = state.quarantine.suspicions.pop(event.target_name, [])
    if not suspicions:
        return []
    state.now = event.now
    effects: list[Effect] = []
    is_blameless = event.is_gone and record_crash(state, event, suspicions, effects)
    for found in suspicions:
        if not is_blameless:
            health.observe_failure(found.attempt.load, event.now)
    random_value = event.random_value
    for request in take_checked(state):
        send_again_or_refuse(state, request, event.now, random_value, effects)
        random_value = next_random_value(random_value)
    services = {found.attempt.request.service.name: found.attempt for found in suspicions}
    for attempt in services.values():
        review(state, attempt.request.service, event.now, random_value, effects)
    return effects


def record_crash(
    state: EntryState, event: ProcessChecked, suspicions: list[Suspicion], effects: list[Effect]
) -> bool:
    """Record a crash against all requests that ran there; return whether a convicted one did."""
    now = event.now
    labels = {"target": event.target_name}
    effects.append(Count("target_crash_total", 1.0, labels))
    items = []
    for found in suspicions:
        route = found.attempt.request.kind.name
        items.append(
            state.quarantine.record_crash(found.digest, route, event.target_name, found.at)
        )
        load = found.attempt.load
        load.shed_until = max(load.shed_until, now + GONE_PAUSE_S)
    effects.append(NotifyFleet())
    enforcement.settle(state, now, effects)
    return any(item.is_convicted(now) for item in items)


def take_checked(state: EntryState) -> list[Request]:
    """Take the requests that waited for checks which have all ended, without a conviction."""
    known = state.quarantine
    ended = [digest for digest in known.unchecked if not known.is_being_checked(digest)]
    numbers = [number for digest in ended for number in known.unchecked.pop(digest)]
    return [state.requests[number] for number in numbers if number in state.requests]


def send_again_or_refuse(
    state: EntryState, request: Request, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Continue with a request that waited for checks."""
    outcome = request.last_refusal
    if not send_again(state, request, outcome, now, random_value, effects):
        finish_refused(state, request, outcome, effects)


def review(
    state: EntryState, service: ServiceState, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Review the health of a service and send what waits for capacity."""
    changed = health.review(service.health, service.limits.loads, now)
    if changed:
        effects.append(verdict_report(state, service, changed))
    dispatch_waiting(state, service, now, random_value, effects)
