"""Handlers for request arrival and for callers, and the dispatch of queued requests."""

from poplarlane.decisions.admission import (
    admission,
    caller_deadlines,
    limits,
    queueing,
)
from poplarlane.decisions.admission.caller_deadlines import CallerDeadlines
from poplarlane.decisions.choice import completion
from poplarlane.decisions.choice.dispatching import await_permission, choose, dispatch
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.configuration.route_table import Route, choose_service
from poplarlane.decisions.customers import charges, key_checks
from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.effects import Count, Effect, Log
from poplarlane.decisions.quarantine import enforcement
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats import retries
from poplarlane.decisions.repeats.hedging import send_pending_hedges
from poplarlane.decisions.requests import request_log
from poplarlane.decisions.requests.attempts import (
    cancel_attempts,
    enqueue,
    finish_refused,
    observe_abandoned,
    remove_request,
    send,
    unreachable_refusal,
)
from poplarlane.decisions.requests.drain import late_refusal, schedule_drain_refusal
from poplarlane.decisions.requests.entry_effects import RefuseCaller, RefuseRequest, SetTimer
from poplarlane.decisions.requests.entry_events import (
    CallerDisconnected,
    RequestArrived,
    RequestMalformed,
)
from poplarlane.decisions.requests.entry_state import (
    MALFORMED_LOGS_PER_S,
    EntryState,
    Request,
    RequestState,
    ServiceState,
    TimerKind,
    add_timer,
    next_random_value,
    reachable_targets,
)
from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import Priority, RequestKind

# Time that a response needs to reach a caller at another site.
CALLER_RESERVE_S = 0.008
DEFAULT_DEADLINE_MS = 2_000
# A longer deadline would hold a connection and a slot for a caller that no longer waits.
MAX_DEADLINE_MS = 600_000
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Defaults for requests that match none of the service's kinds.
SAFE_KIND = RequestKind(
    "read", SAFE_METHODS, "/", True, Priority.NORMAL, DEFAULT_DEADLINE_MS, False
)
UNSAFE_KIND = RequestKind(
    "write", frozenset(), "/", False, Priority.NORMAL, DEFAULT_DEADLINE_MS, False
)


@reduce.register
def request_arrived(event: RequestArrived, state: EntryState) -> list[Effect]:
    """Admit, queue or refuse a request."""
    state.now = event.now
    if not state.ready:
        return refuse_arrival(event, state, ResultCode.NOT_READY, "no complete view yet")
    route = customer = None
    if state.routes is not None:
        route = state.routes.find(event.host, event.path)
        if route is None:
            return refuse_unrouted(event, state)
        if state.customers.by_name:
            customer = key_checks.find_customer(state, route, event.key_digest, event.now)
            if isinstance(customer, NotRun):
                return refuse_arrival(event, state, customer.code, customer.detail, customer.status)
        service = state.services.get(choose_service(route, event.random_value))
    else:
        service = state.hosts.get(event.host)
    if service is None:
        return refuse_arrival(event, state, ResultCode.NO_SERVICE, "no service has this host")
    regions = route.allowed_regions if route is not None else None
    if customer is not None:
        regions = customer.restrict(regions)
    targets = reachable_targets(service, event.labels, regions)
    if state.evacuated and not targets and not service.loads:
        detail = "every target is leaving or in an evacuated data centre"
        return refuse_arrival(event, state, ResultCode.NO_TARGET, detail)
    if regions is not None and not targets and (targets is not None or not service.loads):
        detail = "no target in the allowed regions"
        return refuse_arrival(event, state, ResultCode.NO_TARGET_AT_HOME, detail)
    if targets is None:
        return refuse_arrival(event, state, ResultCode.NOT_ALLOWED, "no selector allows this")
    if not targets:
        return refuse_arrival(event, state, ResultCode.NO_TARGET, "every target is leaving")
    request = new_request(event, service, route)
    effects: list[Effect] = []
    if customer is not None:
        set_customer(request, customer)
        excess = charges.charge(state, customer, event.random_value, event.now, effects)
        if excess is not None:
            return effects + refuse_excess(event, state, request, excess)
        request.is_charged = customer.rate_per_s > 0.0
    measured = type(service.policy) is Measured
    decision = late_refusal(state, request, event.now)
    if decision is None and state.quarantine.items:
        decision = enforcement.refusal_at_arrival(state, request, event.now, effects)
    if decision is None:
        decision = admission.admit(service.policy, service, request, event.now)
    if isinstance(decision, NotRun):
        if customer is not None:
            charges.credit_unrun(state, request, event.now)
        effects.append(RefuseRequest(event.request_id, decision, False, state.draining))
        if measured:
            request_log.request_refused(state, request, decision, effects)
        return effects
    state.requests[request.request_id] = request
    retries.observe_request(service.retry_budget, request.attempt)
    if service.hedge_budget is not service.retry_budget:
        retries.observe_request(service.hedge_budget, request.attempt)
    if add_timer(state, request.deadline, TimerKind.DEADLINE, request.request_id):
        effects.append(SetTimer(state.timer_at))
    if state.draining:
        schedule_drain_refusal(state, request, event.now, effects)
    if state.quarantine.items and enforcement.hold_for_trial(state, request, event.now, effects):
        return effects
    if measured:
        dispatch(state, request, targets, event.now, event.random_value, effects)
    elif decision is limits.ADMIT:
        load = choose(request, targets, event.now, event.random_value)
        if load is not None:
            send(state, request, load, event.now, effects)
        else:
            enqueue(state, request, effects)
            await_permission(state, service, event.now, effects)
    else:
        send_queued(state, service, event.now, event.random_value, effects)
        await_permission(state, service, event.now, effects)
    return effects


def set_customer(request: Request, customer: Customer) -> None:
    """Record the customer of a request; its priority takes precedence over that of the route."""
    request.customer = customer
    request.regions = customer.restrict(request.regions)
    if customer.priority is not None:
        request.priority = customer.priority


def refuse_excess(
    event: RequestArrived, state: EntryState, request: Request, outcome: NotRun
) -> list[Effect]:
    """Refuse a request beyond its customer's quota."""
    effects: list[Effect] = [RefuseRequest(event.request_id, outcome, False, state.draining)]
    if event.trace_id:
        request_log.request_refused(state, request, outcome, effects)
    return effects


def refuse_unrouted(event: RequestArrived, state: EntryState) -> list[Effect]:
    """Refuse a request without a route, unless a newer configuration may have one."""
    if state.customers.by_name and not key_checks.is_confirmed(state, event.now):
        detail = "no route leads there, but the configuration may be out of date"
        return refuse_arrival(event, state, ResultCode.CONFIGURATION_UNCONFIRMED, detail)
    return refuse_arrival(event, state, ResultCode.NO_ROUTE, "no route leads there", 404)


def refuse_arrival(
    event: RequestArrived, state: EntryState, code: ResultCode, detail: str, status: int = 503
) -> list[Effect]:
    """Refuse a request that was never sent."""
    retry_after_s = admission.retry_after_s(event.random_value) if status == 503 else 0.0
    outcome = NotRun(code, detail, status, retry_after_s)
    effects: list[Effect] = [RefuseRequest(event.request_id, outcome, False, state.draining)]
    if event.trace_id:
        fields = {
            "id": event.trace_id,
            "code": int(code),
            "result": code.name.lower(),
            "status": status,
            "detail": detail,
            "host": event.host,
            "path": event.path,
            "version": state.routes.version if state.routes is not None else 0,
        }
        request_log.append_line(state, "request_refused", "warning", fields, effects)
    return effects


def new_request(event: RequestArrived, service: ServiceState, route: Route | None) -> Request:
    """Create a request from its arrival event and the route or kind that applies to it."""
    kind = route.kind if route is not None else kind_of(service, event.method, event.path)
    given_ms = event.deadline_ms
    allowed_ms = kind.deadline_ms if given_ms is None else min(given_ms, MAX_DEADLINE_MS)
    if route is not None:
        # The route's timeout applies in addition to the caller's deadline.
        allowed_ms = min(allowed_ms, kind.deadline_ms)
    request = Request(
        event.request_id,
        service,
        event.labels,
        kind,
        event.now + allowed_ms / 1000.0,
        event.attempt,
        event.retried,
        event.hedged_above,
    )
    request.trace_id = event.trace_id
    request.content = event.content
    if route is not None:
        request.arrived_at = event.now
        elapsed_s = 0.0
        if given_ms is not None:
            known = service.caller_deadlines.setdefault(kind.name, CallerDeadlines())
            left_s = min(given_ms, MAX_DEADLINE_MS) / 1000.0
            elapsed_s = caller_deadlines.elapsed_s(known, left_s)
        began_at = event.now - elapsed_s
        request.soft_deadline = began_at + route.latency_objective_s - CALLER_RESERVE_S
        if given_ms is not None:
            request.deadline = min(
                request.deadline, event.now + given_ms / 1000.0 - CALLER_RESERVE_S
            )
        request.max_attempts = route.max_attempts
        request.regions = route.allowed_regions
        request.key_digest = event.key_digest
        request.is_public = route.is_public
        known_s = service.service_time_s.get(kind.name, 0.0)
        request.service_time_s = (
            known_s or route.latency_objective_s * completion.INITIAL_SERVICE_TIME_SHARE
        )
    return request


def may_run_pipelined(state: EntryState, host: str, method: str, path: str) -> bool:
    """Return whether a pipelined request may run before the responses ahead of it are delivered.

    If one of those responses closes the connection, the caller sends the requests behind it again,
    so only an idempotent request may run early.
    """
    if state.routes is not None:
        route = state.routes.find(host, path)
        return route is None or route.kind.idempotent
    service = state.hosts.get(host)
    return service is None or kind_of(service, method, path).idempotent


def kind_of(service: ServiceState, method: str, path: str) -> RequestKind:
    """Return the first kind that matches, or a default by method."""
    for kind in service.kinds:
        if method in kind.methods and path.startswith(kind.path_prefix):
            return kind
    return SAFE_KIND if method in SAFE_METHODS else UNSAFE_KIND


def dispatch_waiting(
    state: EntryState, service: ServiceState, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Send requests that wait for capacity: queued requests first, then hedges."""
    if service.limits.queued:
        send_queued(state, service, now, random_value, effects)
    if service.pending_hedges:
        send_pending_hedges(state, service, now, next_random_value(random_value), effects)


def send_queued(
    state: EntryState, service: ServiceState, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Send queued requests, highest priority first, while targets have capacity."""
    bounds = service.limits
    if not bounds.queued:
        return
    blocked: set[str] = set()
    measured = type(service.policy) is Measured
    for request in (
        queueing.dispatch_order(service, now) if measured else limits.queued_in_order(bounds)
    ):
        # Where one kind finds no target, a kind with a shorter service time may still find one.
        group = request.labels + "/" + request.kind.name if measured else request.labels
        if group in blocked:
            continue
        targets = reachable_targets(service, request.labels, request.regions)
        load = choose(request, targets, now, random_value) if targets else None
        if load is not None:
            limits.remove_queued(bounds, request)
            send(state, request, load, now, effects)
            random_value = next_random_value(random_value)
        elif targets:
            blocked.add(group)
        else:
            limits.remove_queued(bounds, request)
            finish_refused(state, request, unreachable_refusal(targets, request.regions), effects)


@reduce.register
def caller_disconnected(event: CallerDisconnected, state: EntryState) -> list[Effect]:
    """Cancel the request of a caller that disconnected."""
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    effects: list[Effect] = []
    state.now = event.now
    service = request.service
    if request.state is RequestState.QUEUED:
        limits.remove_queued(service.limits, request)
    observe_abandoned(request, None, event.now)
    if not request.possibly_started:
        charges.credit_unrun(state, request, event.now)
    cancel_attempts(state, request, effects)
    remove_request(state, request, effects)
    effects.append(Count("caller_left_total", 1.0, {"service": service.name}))
    dispatch_waiting(state, service, event.now, event.random_value, effects)
    return effects


@reduce.register
def request_malformed(event: RequestMalformed, state: EntryState) -> list[Effect]:
    """Refuse malformed input, with a limited rate of log lines."""
    refusal = event.refusal
    effects: list[Effect] = [
        RefuseCaller(event.caller_id, refusal),
        Count("malformed_input_total", 1.0, {"code": str(int(refusal.code))}),
    ]
    second = int(event.now)
    if second != state.malformed_second:
        state.malformed_second = second
        state.malformed_logged = 0
    if state.malformed_logged < MALFORMED_LOGS_PER_S:
        state.malformed_logged += 1
        fields = {"code": int(refusal.code), "detail": refusal.detail, "source": event.source}
        effects.append(Log("malformed_input", "warning", fields))
    return effects
