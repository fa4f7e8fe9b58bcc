"""Handlers for the request life cycle: arrival, queue, sending, and the caller's answer."""

import math

from poplarlane.decisions import (
    admission,
    completion,
    health,
    limits,
    probe_rounds,
    request_log,
    retries,
    waiting,
)
from poplarlane.decisions.effects import Count, Effect, Log
from poplarlane.decisions.entry_effects import (
    CancelAttempt,
    CutAnswer,
    RefuseCaller,
    RefuseRequest,
    SendRequest,
    SetTimer,
    Stop,
)
from poplarlane.decisions.entry_events import (
    AttemptSent,
    CallerGone,
    RequestArrived,
    RequestMalformed,
)
from poplarlane.decisions.entry_state import (
    DROPPED_TIMERS_PER_REQUEST,
    MALFORMED_LOGS_PER_S,
    Attempt,
    EntryState,
    Request,
    RequestState,
    ServiceState,
    TimerKind,
    add_timer,
    drop_ended_timers,
    next_draw,
    reachable_targets,
)
from poplarlane.decisions.policies import Measured
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.route_table import Route, choose_service
from poplarlane.decisions.routing import choose_target
from poplarlane.decisions.trials import take_due_trial
from poplarlane.outcomes import NotRun, Refusal, ResultCode, Unknown
from poplarlane.types import Priority, RequestKind, TargetLoad, Verdict

# How soon a queued request looks for room again.
RECHECK_S = 0.012
# A target at which the work would take longer than this multiple of the usual is not used.
MAX_WORK_RATIO = 3.0
# Time that an answer needs to reach a caller in another place.
CALLER_RESERVE_S = 0.008
# A second copy of a read is considered after this multiple of its usual work, but early enough
# that the copy can be answered in time, and never before half of the work.
HEDGE_WORK_RATIO = 1.3
HEDGE_RESERVE_RATIO = 1.15
MIN_HEDGE_WORK_RATIO = 0.5
# How soon a second copy is considered again when no other target is good.
SECOND_LOOK_S = 0.04
# Marks the round of probes of a second copy; a request is sent after two rounds at the most.
HEDGE_ROUND = 10
DEFAULT_DEADLINE_MS = 2_000
# A caller's longer deadline would hold a connection and a slot that nobody waits for any more.
MAX_DEADLINE_MS = 600_000
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Kinds for requests that the service's own kinds do not cover.
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
    route = None
    if state.routes is not None:
        route = state.routes.find(event.host, event.path)
        if route is None:
            return refuse_arrival(event, state, ResultCode.NO_ROUTE, "no route leads there", 404)
        service = state.services.get(choose_service(route, event.draw))
    else:
        service = state.hosts.get(event.host)
    if service is None:
        return refuse_arrival(event, state, ResultCode.NO_SERVICE, "no service has this host")
    targets = reachable_targets(service, event.labels)
    if targets is None:
        return refuse_arrival(event, state, ResultCode.NOT_ALLOWED, "no selector allows this")
    if not targets:
        return refuse_arrival(event, state, ResultCode.NO_TARGET, "every target is leaving")
    request = new_request(event, service, route)
    measured = type(service.policy) is Measured
    if measured:
        decision = admission.admit(service, request, event.now)
    else:
        decision = limits.admit(service.limits, request, event.now)
    if isinstance(decision, NotRun):
        refused: list[Effect] = [RefuseRequest(event.request_id, decision, False, state.draining)]
        if measured:
            request_log.request_refused(state, request, decision, refused)
        return refused
    state.requests[request.request_id] = request
    retries.observe_request(service.retry_budget, request.attempt)
    if service.hedge_budget is not service.retry_budget:
        retries.observe_request(service.hedge_budget, request.attempt)
    effects: list[Effect] = []
    if add_timer(state, request.deadline, TimerKind.DEADLINE, request.request_id):
        effects.append(SetTimer(state.timer_at))
    if measured:
        dispatch(state, request, targets, event.now, event.draw, effects)
    elif decision is limits.ADMIT:
        load = choose(request, targets, event.now, event.draw)
        if load is not None:
            send(state, request, load, event.now, effects)
        else:
            enqueue(state, request, effects)
    else:
        send_queued(state, service, event.now, event.draw, effects)
    return effects


def refuse_arrival(
    event: RequestArrived, state: EntryState, code: ResultCode, detail: str, status: int = 503
) -> list[Effect]:
    """Refuse a request that was never sent."""
    retry_after_s = admission.retry_after_s(event.draw) if status == 503 else 0.0
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
        request_log.write(state, "request_refused", "warning", fields, effects)
    return effects


def new_request(event: RequestArrived, service: ServiceState, route: Route | None) -> Request:
    """Create a request from its arrival and the route or the kind that applies to it."""
    kind = route.kind if route is not None else kind_of(service, event.method, event.path)
    given_ms = event.deadline_ms
    allowed_ms = kind.deadline_ms if given_ms is None else min(given_ms, MAX_DEADLINE_MS)
    if route is not None:
        # The route's own bound on the wait holds beside the caller's deadline.
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
    if route is not None:
        request.arrived_at = event.now
        request.aim = event.now + route.aim_s - CALLER_RESERVE_S
        if given_ms is not None:
            request.deadline = min(
                request.deadline, event.now + given_ms / 1000.0 - CALLER_RESERVE_S
            )
        request.max_attempts = route.max_attempts
        known_s = service.work_s.get(kind.name, 0.0)
        request.work_s = known_s or route.aim_s * completion.INITIAL_WORK_SHARE
    return request


def kind_of(service: ServiceState, method: str, path: str) -> RequestKind:
    """Find the first kind that matches; the defaults follow the method."""
    for kind in service.kinds:
        if method in kind.methods and path.startswith(kind.path_prefix):
            return kind
    return SAFE_KIND if method in SAFE_METHODS else UNSAFE_KIND


def choose(request: Request, targets: list[TargetLoad], now: float, draw: int) -> TargetLoad | None:
    """Choose a target that has room, if possible one that was not tried yet."""
    service = request.service
    bounds = service.limits
    if type(service.policy) is Measured:
        return choose_measured(request, targets, now)
    open_targets = limits.targets_with_room(bounds, targets)
    if request.tried:
        tried = request.tried
        open_targets = [load for load in open_targets if load not in tried] or open_targets
    # Only a request that may be repeated serves as a trial of an avoided target.
    trial = request.idempotent and not request.attempts
    return choose_target(service.policy, open_targets, now, draw, trial)


def choose_measured(request: Request, targets: list[TargetLoad], now: float) -> TargetLoad | None:
    """Choose the target with the earliest expected completion among those with room.

    A target that is slow at the moment would hold one of its slots for long; until the aim is lost
    it is better to wait for one that is not.
    """
    service = request.service
    if service.limits.held:
        return None
    slots = service.limits.slots_per_target
    limit_s = request.aim - now if waiting.can_meet_aim(request, now) else math.inf
    limit_s = min(limit_s, MAX_WORK_RATIO * request.work_s, request.deadline - now)
    best, best_s = None, math.inf
    for load in targets:
        if load.verdict is Verdict.AVOIDED or load.shed_until > now or load in request.tried:
            continue
        if not completion.has_room(load, service.crowding, slots):
            continue
        cost_s = completion.expected_s(load, service.crowding, request.work_s, slots, now)
        if cost_s > limit_s:
            continue
        if load.distance_s:
            cost_s += service.policy.transfer_s
        if cost_s < best_s:
            best, best_s = load, cost_s
    return best


def dispatch(
    state: EntryState,
    request: Request,
    targets: list[TargetLoad],
    now: float,
    draw: int,
    effects: list[Effect],
) -> None:
    """Ask targets for their load and choose when they have answered, or choose at once.

    A first sending may serve as the trial of an avoided target, which is not asked.
    """
    if not request.tried and not request.service.limits.held:
        policy = request.service.policy
        trial = take_due_trial(policy, targets, now, draw, request.idempotent)
        if trial is not None:
            send(state, request, trial, now, effects)
            return
    request.probed = []
    request.rounds = 1
    request.in_round = probe_rounds.start_round(state, request, targets, now, draw, effects)
    if not request.in_round:
        place(state, request, targets, now, effects)


def place(
    state: EntryState,
    request: Request,
    targets: list[TargetLoad],
    now: float,
    effects: list[Effect],
) -> None:
    """Send a request to the best target by what is known, or queue it."""
    load = choose(request, targets, now, 0)
    if load is not None:
        send(state, request, load, now, effects)
        return
    enqueue(state, request, effects)
    if request.request_id in state.requests:
        plan_recheck(state, request.service, now, effects)
        plan_give_up(state, request, now, effects)


def plan_give_up(state: EntryState, request: Request, now: float, effects: list[Effect]) -> None:
    """Set the time at which a request that still waits is refused."""
    at = max(now, waiting.give_up_at(request))
    if add_timer(state, at, TimerKind.GIVE_UP, request.request_id):
        effects.append(SetTimer(state.timer_at))


def plan_recheck(
    state: EntryState, service: ServiceState, now: float, effects: list[Effect]
) -> None:
    """Look again soon whether a target has room for what is queued."""
    if service.recheck_at > now:
        return
    service.recheck_at = now + RECHECK_S
    if add_timer(state, service.recheck_at, TimerKind.RECHECK, service.number):
        effects.append(SetTimer(state.timer_at))


def send(
    state: EntryState, request: Request, load: TargetLoad, now: float, effects: list[Effect]
) -> Attempt:
    """Send a request to a target as a new attempt."""
    attempt_id = state.next_attempt_id
    state.next_attempt_id = attempt_id + 1
    attempt = Attempt(attempt_id, request, load)
    attempt.chosen_at = now
    state.attempts[attempt_id] = attempt
    request.attempts.append(attempt)
    request.state = RequestState.NOT_SENT
    health.observe_sent(load, attempt_id, now)
    load.sent_since_measured += 1
    effects.append(
        SendRequest(
            request.request_id,
            attempt_id,
            load.target,
            request.attempt,
            request.retried,
            request.hedged_above or (request.hedge and state.hedged_reads),
            request.deadline,
        )
    )
    return attempt


@reduce.register
def attempt_sent(event: AttemptSent, state: EntryState) -> list[Effect]:
    """Record that a target may start the request from now on."""
    attempt = state.attempts[event.attempt_id]
    request = attempt.request
    attempt.sent_at = event.now
    request.state = RequestState.SENT
    request.uncertain += 1
    request.sends += 1
    if type(request.service.policy) is Measured:
        return plan_measured_hedge(state, attempt, event.now)
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


def plan_measured_hedge(state: EntryState, attempt: Attempt, now: float) -> list[Effect]:
    """Set the time at which a second copy of a late read is considered.

    A trial of an avoided target gets it as early as possible, so that it costs its caller little.
    """
    request = attempt.request
    if not request.hedge or request.hedged or request.sends >= request.max_attempts:
        return []
    patience_s = HEDGE_WORK_RATIO * request.work_s
    if attempt.load.verdict is Verdict.AVOIDED:
        patience_s = 0.0
    latest = request.aim - HEDGE_RESERVE_RATIO * request.work_s
    at = max(now + request.work_s * MIN_HEDGE_WORK_RATIO, min(now + patience_s, latest))
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
    if type(service.policy) is Measured and request.rounds < HEDGE_ROUND:
        request.rounds = HEDGE_ROUND
        request.probed = []
        request.in_round = probe_rounds.start_round(state, request, others, now, draw, effects)
        if request.in_round:
            return
    if type(service.policy) is Measured:
        load = None if service.limits.queued else choose_measured(request, others, now)
        if load is None:
            plan_second_look(state, request, now, effects)
            return
    else:
        load = choose(request, others, now, draw)
        if load is None:
            service.waiting_hedges.append(request)
            return
    if not retries.may_hedge(service.hedge_budget, request, service.health.p95_s, now):
        return
    request.hedged = True
    if type(service.policy) is Measured:
        request_log.request_hedged(state, request, load, effects)
    request.attempt += 1
    effects.append(Count("hedge_total", 1.0, {"service": service.name}))
    send(state, request, load, now, effects)


def plan_second_look(
    state: EntryState, request: Request, now: float, effects: list[Effect]
) -> None:
    """Consider the second copy of a read again, because no other target is good at the moment."""
    request.rounds = 0
    at = now + SECOND_LOOK_S
    if at < request.deadline and add_timer(state, at, TimerKind.HEDGE, request.request_id):
        effects.append(SetTimer(state.timer_at))


def use_room(
    state: EntryState, service: ServiceState, now: float, draw: int, effects: list[Effect]
) -> None:
    """Send what waits for a target with room: queued requests first, then hedges."""
    if service.limits.queued:
        send_queued(state, service, now, draw, effects)
    if service.waiting_hedges:
        send_waiting_hedges(state, service, now, next_draw(draw), effects)


def send_waiting_hedges(
    state: EntryState, service: ServiceState, now: float, draw: int, effects: list[Effect]
) -> None:
    """Hedge the reads whose hedge was due when no second target had room."""
    bounds = service.limits
    due = [found for found in service.waiting_hedges if found.request_id in state.requests]
    service.waiting_hedges = []
    for index, request in enumerate(due):
        if not limits.targets_with_room(bounds, bounds.loads):
            service.waiting_hedges += due[index:]
            return
        hedge(state, request, now, draw, effects)
        draw = next_draw(draw)


def enqueue(state: EntryState, request: Request, effects: list[Effect]) -> None:
    """Keep a request until a target that it may reach has room."""
    refusal = limits.enqueue(request.service.limits, request)
    if refusal is not None:
        finish_refused(state, request, refusal, effects)
        return
    request.state = RequestState.QUEUED


def send_queued(
    state: EntryState, service: ServiceState, now: float, draw: int, effects: list[Effect]
) -> None:
    """Send queued requests, highest priority first, while targets have room."""
    bounds = service.limits
    if not bounds.queued:
        return
    blocked: set[str] = set()
    measured = type(service.policy) is Measured
    for request in waiting.in_order(service, now) if measured else limits.queued_in_order(bounds):
        # A kind of request that finds no room may leave some that is enough for shorter ones.
        group = request.labels + "/" + request.kind.name if measured else request.labels
        if group in blocked:
            continue
        targets = reachable_targets(service, request.labels)
        load = choose(request, targets, now, draw) if targets else None
        if load is not None:
            limits.remove_queued(bounds, request)
            send(state, request, load, now, effects)
            draw = next_draw(draw)
        elif targets:
            blocked.add(group)
        else:
            limits.remove_queued(bounds, request)
            finish_refused(state, request, unreachable(targets), effects)


def unreachable(targets: list[TargetLoad] | None) -> NotRun:
    """Say why a queued request can no longer be sent."""
    if targets is None:
        return NotRun(ResultCode.NOT_ALLOWED, "no selector allows this")
    return NotRun(ResultCode.NO_TARGET, "every target is leaving")


def end_attempt(state: EntryState, attempt: Attempt) -> None:
    """Stop counting an attempt, whatever its outcome."""
    state.attempts.pop(attempt.attempt_id, None)
    health.observe_end(attempt.load, attempt.attempt_id)
    if attempt in attempt.request.attempts:
        attempt.request.attempts.remove(attempt)


def observe_abandoned(request: Request, kept: Attempt | None, now: float) -> None:
    """Learn from the age of the attempts that are about to be cancelled."""
    for attempt in request.attempts:
        if attempt is not kept:
            health.observe_abandoned(request.service.health, attempt.load, attempt.attempt_id, now)


def cancel_attempts(
    state: EntryState, request: Request, effects: list[Effect], kept: Attempt | None = None
) -> None:
    """Give up all attempts of a request but one."""
    for attempt in list(request.attempts):
        if attempt is not kept:
            end_attempt(state, attempt)
            effects.append(CancelAttempt(attempt.attempt_id))


def finish_refused(
    state: EntryState, request: Request, outcome: Refusal, effects: list[Effect]
) -> None:
    """Answer the caller with an outcome of this entry; never a false `not run`."""
    certain = isinstance(outcome, NotRun)
    if certain and (request.uncertain or request.hedged):
        outcome = Unknown(ResultCode.OUTCOME_UNKNOWN, outcome.detail)
        certain = False
    if certain and not outcome.retry_after_s:
        after_s = admission.retry_after_s(hash(request.request_id))
        outcome = NotRun(outcome.code, outcome.detail, outcome.status, after_s)
    if type(request.service.policy) is Measured:
        request_log.request_refused(state, request, outcome, effects)
    cancel_attempts(state, request, effects)
    request.state = RequestState.REFUSED if certain else RequestState.UNKNOWN
    if request.streaming is not None:
        effects.append(CutAnswer(request.request_id))
    else:
        retried = request.retried or request.retried_below
        effects.append(RefuseRequest(request.request_id, outcome, retried, state.draining))
    forget(state, request, effects)


def forget(state: EntryState, request: Request, effects: list[Effect]) -> None:
    """Drop a request whose caller was answered or is gone."""
    del state.requests[request.request_id]
    drop_ended_timers(state, DROPPED_TIMERS_PER_REQUEST)
    if state.draining and not state.accepting and not state.requests:
        effects.append(Stop(False))


@reduce.register
def caller_gone(event: CallerGone, state: EntryState) -> list[Effect]:
    """Cancel the work of a caller that left."""
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    effects: list[Effect] = []
    state.now = event.now
    service = request.service
    if request.state is RequestState.QUEUED:
        limits.remove_queued(service.limits, request)
    observe_abandoned(request, None, event.now)
    cancel_attempts(state, request, effects)
    forget(state, request, effects)
    effects.append(Count("caller_left_total", 1.0, {"service": service.name}))
    use_room(state, service, event.now, event.draw, effects)
    return effects


@reduce.register
def request_malformed(event: RequestMalformed, state: EntryState) -> list[Effect]:
    """Refuse malformed input, with a bounded number of log lines."""
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
