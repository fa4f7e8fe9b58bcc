"""Log lines and latency metrics of single requests; each line has the caller's request id.

Every refused, retried, hedged, late or failed request is logged with the reasons, and one in
SAMPLE_EVERY of the others. The lines per second are limited and dropped lines are counted, so that
overload does not flood the log. The histograms cover all requests.
"""

import math

from poplarlane.decisions.effects import Count, Effect, Log, Observe
from poplarlane.decisions.requests.entry_state import Attempt, EntryState, Request
from poplarlane.outcomes import REFUSAL_STATUSES, NotRun, RequestFailure
from poplarlane.types import TargetLoad

# Limit on the log lines per second of one node; 24 nodes write at most 720.
LINES_PER_S = 30
SAMPLE_EVERY = 100


def request_refused(
    state: EntryState, request: Request, outcome: RequestFailure, effects: list[Effect]
) -> None:
    """Log a response that this entry generates instead of a target's."""
    result = outcome.code.name.lower()
    labels = {"route": request.kind.name, "result": result}
    effects.append(Observe("refusal_seconds", state.now - request.arrived_at, labels))
    fields = common_fields(state, request)
    fields["code"] = int(outcome.code)
    fields["result"] = result
    fields["status"] = outcome.status
    fields["detail"] = outcome.detail
    if isinstance(outcome, NotRun):
        fields["retry_after_s"] = outcome.retry_after_s
    fields["started"] = request.possibly_started
    fields["in_flight"] = target_names([attempt.load for attempt in request.attempts])
    append_line(state, "request_refused", "warning", fields, effects)


def request_repeated(
    state: EntryState, request: Request, outcome: RequestFailure, effects: list[Effect]
) -> None:
    """Log why a request is retried."""
    log_failed_attempt(state, "request_repeated", request, outcome, effects)


def repeat_denied(
    state: EntryState, request: Request, outcome: RequestFailure, effects: list[Effect]
) -> None:
    """Log that the budget denied a retry."""
    log_failed_attempt(state, "repeat_denied", request, outcome, effects)


def log_failed_attempt(
    state: EntryState, event: str, request: Request, outcome: RequestFailure, effects: list[Effect]
) -> None:
    """Log the outcome of the last attempt of a request."""
    fields = common_fields(state, request)
    fields["result"] = outcome.code.name.lower()
    fields["detail"] = outcome.detail
    append_line(state, event, "info", fields, effects)


def request_hedged(
    state: EntryState, request: Request, load: TargetLoad, effects: list[Effect]
) -> None:
    """Log the hedge of a read that is not answered yet."""
    fields = common_fields(state, request)
    fields["first"] = target_names([attempt.load for attempt in request.attempts])
    fields |= target_fields(load, state.now)
    append_line(state, "request_hedged", "info", fields, effects)


def request_answered(
    state: EntryState, request: Request, attempt: Attempt, status: int, effects: list[Effect]
) -> None:
    """Log late and failed responses, and a sample of the others."""
    route, target = request.kind.name, attempt.load.target.name
    effects.append(Observe("answer_seconds", state.now - request.arrived_at, {"route": route}))
    effects.append(Observe("target_seconds", state.now - attempt.sent_at, {"target": target}))
    late = request.soft_deadline < state.now
    event = "request_answered"
    if status >= 500 or status in REFUSAL_STATUSES:
        event = "request_failed"
    elif late:
        event = "request_late"
    elif request.request_id % SAMPLE_EVERY:
        return
    fields = common_fields(state, request)
    fields["status"] = status
    fields["target"] = target
    fields["sent_ms"] = round((state.now - attempt.sent_at) * 1000)
    fields["pace"] = attempt.slowdown
    fields["there"] = attempt.requests_ahead
    fields["report_ms"] = age_ms(attempt.load_measured_at, attempt.chosen_at)
    append_line(state, event, "info", fields, effects)


def common_fields(state: EntryState, request: Request) -> dict[str, object]:
    """Return the fields that every line about a request has."""
    service = request.service
    fields: dict[str, object] = {
        "id": request.trace_id,
        "route": request.kind.name,
        "service": service.name,
        "version": state.routes.version if state.routes is not None else 0,
        "age_ms": round((state.now - request.arrived_at) * 1000),
        "left_ms": round((request.deadline - state.now) * 1000),
        "sends": request.sends,
        "tried": target_names(request.tried),
        "queued": service.limits.queued,
        "budget": round(service.retry_budget.tokens, 1),
    }
    if request.customer is not None:
        fields["customer"] = request.customer.name
    return fields


def target_fields(load: TargetLoad, now: float) -> dict[str, object]:
    """Return the known load of a target, and the age of that report."""
    return {
        "target": load.target.name,
        "pace": load.slowdown,
        "there": load.running + load.waiting + load.sent_since_measured,
        "report_ms": age_ms(load.measured_at, now),
    }


def age_ms(at: float, now: float) -> int:
    """Return the age of a report; -1 if there was none."""
    return round((now - at) * 1000) if at > -math.inf else -1


def target_names(loads: list[TargetLoad]) -> str:
    """Join the names of targets."""
    return ",".join(load.target.name for load in loads)


def append_line(
    state: EntryState, event: str, level: str, fields: dict[str, object], effects: list[Effect]
) -> None:
    """Add a line unless the limit is reached; log how many the previous second dropped."""
    second = int(state.now)
    if second != state.log_second:
        if state.log_dropped:
            effects.append(Log("lines_dropped", "warning", {"count": state.log_dropped}))
        state.log_second = second
        state.log_lines = 0
        state.log_dropped = 0
    if state.log_lines >= LINES_PER_S:
        state.log_dropped += 1
        effects.append(Count("log_lines_dropped_total", 1.0, {}))
        return
    state.log_lines += 1
    effects.append(Log(event, level, fields))
