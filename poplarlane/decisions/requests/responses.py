"""Handlers for responses from targets and for failed attempts."""

from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice import (
    completion,
    contention,
    slowdowns,
    statements,
)
from poplarlane.decisions.choice.dispatching import (
    await_permission,
    barred_refusal,
    choose,
    dispatch,
)
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.choice.statements import Source
from poplarlane.decisions.customers.key_checks import send_refusal
from poplarlane.decisions.effects import Count, Effect
from poplarlane.decisions.health import health
from poplarlane.decisions.overload.rejections import has_free_slots, return_after_s
from poplarlane.decisions.quarantine import crashes, enforcement
from poplarlane.decisions.quarantine.fingerprints import fingerprint
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats import retries
from poplarlane.decisions.requests import request_log
from poplarlane.decisions.requests.attempts import (
    cancel_attempts,
    end_attempt,
    enqueue,
    finish_refused,
    observe_abandoned,
    remove_request,
    send,
)
from poplarlane.decisions.requests.entry_effects import (
    DeliverAnswer,
    FinishStream,
    StreamAnswer,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    FailureCause,
    InterimReceived,
    ResponseCompleted,
    ResponseMetadata,
    ResponseStarted,
)
from poplarlane.decisions.requests.entry_state import (
    Attempt,
    EntryState,
    Request,
    RequestState,
    next_random_value,
    reachable_targets,
)
from poplarlane.decisions.requests.reports import verdict_report
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.outcomes import (
    REFUSAL_STATUSES,
    NotRun,
    OutcomeUnknown,
    RequestFailure,
    ResultCode,
)
from poplarlane.types import TargetLoad, Verdict

SERVER_ERROR = 500
MISDIRECTED_REQUEST = 421
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
FAILURE_CODES = {
    FailureCause.CLOSED_BEFORE_ANSWER: ResultCode.OUTCOME_UNKNOWN,
    FailureCause.ANSWER_TRUNCATED: ResultCode.ANSWER_TRUNCATED,
    FailureCause.ANSWER_INVALID: ResultCode.ANSWER_INVALID,
}


@reduce.register
def response_completed(event: ResponseCompleted, state: EntryState) -> list[Effect]:
    """Deliver a complete response, or retry a request that the target did not run."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    state.now = event.now
    request = attempt.request
    metadata = event.metadata
    effects: list[Effect] = []
    observe_response(state, attempt, metadata, event.now, event.random_value, effects)
    if state.quarantine.items and shows_survival(metadata):
        state.quarantine.record_answer(fingerprint(request), event.now)
    end_attempt(state, attempt)
    if request.streaming is attempt:
        effects.append(FinishStream(request.request_id, attempt.attempt_id))
        remove_request(state, request, effects)
    elif metadata.not_run:
        request.possibly_started -= 1
        request.sends -= 1
        request.retried_below = request.retried_below or metadata.retried
        outcome = rejection(attempt, metadata)
        send_again_or_finish(state, attempt, outcome, event.now, event.random_value, effects)
    elif is_unproven_refusal(request, metadata):
        finish_refused(state, request, unproven_refusal(attempt, metadata), effects)
    elif not retry_failed_response(state, attempt, metadata, event, effects):
        observe_abandoned(request, None, event.now)
        deliver(state, request, attempt, metadata, effects)
    if state.quarantine.waiting:
        enforcement.resume_acquitted(state, event.now, effects)
    dispatch_waiting(
        state, request.service, event.now, next_random_value(event.random_value), effects
    )
    return effects


def observe_response(
    state: EntryState,
    attempt: Attempt,
    metadata: ResponseMetadata,
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Update the health and load estimates of the target and its service from a response."""
    load, service = attempt.load, attempt.request.service
    latency_s = now - attempt.sent_at
    ok = metadata.status < SERVER_ERROR
    if metadata.not_run:
        if not has_free_slots(service, metadata):
            health.observe_shed(load, now)
    else:
        slowdown = max(attempt.slowdown, metadata.slowdown)
        health.observe_answer(load, latency_s, ok, now, slowdown)
    completion.record_load_report(load, service.slowdowns, metadata, now)
    if not is_misdirected(metadata) and attempt.request.streaming is not attempt:
        statements.observe(state, load, metadata, Source.RESPONSE, random_value, effects)
    is_measured = ok and not attempt.spans_halt
    if is_measured and attempt.request.service_time_s:
        update_service_time(attempt, latency_s)
    if is_measured:
        health.observe_latency(service.health, latency_s)
    if metadata.in_flight is not None:
        # The report dates from when the response left the target, half a round trip ago.
        health.observe_report(load, metadata.in_flight, now - load.rtt_s / 2.0, now)
    changed = health.review(service.health, service.limits.loads, now)
    limits.observe_min_latency(service.limits, service.health.fast_s, now)
    if changed:
        effects.append(verdict_report(state, service, changed))


def is_misdirected(metadata: ResponseMetadata) -> bool:
    """Return whether another process than the target sent the response."""
    return metadata.not_run and metadata.status == MISDIRECTED_REQUEST


def shows_survival(metadata: ResponseMetadata) -> bool:
    """Return whether a target has run a request and survived it.

    A target that refuses a request without saying so, or fails, may not have run all of it.
    """
    is_refusal = metadata.not_run or metadata.status in (REQUEST_TIMEOUT, TOO_MANY_REQUESTS)
    return metadata.status < SERVER_ERROR and not is_refusal


def update_service_time(attempt: Attempt, latency_s: float) -> None:
    """Update the service time of the request kind, and the contention, from a success."""
    request = attempt.request
    service = request.service
    known_s = service.service_time_s.get(request.kind.name, request.service_time_s)
    normalized_s = max(0.0, latency_s - attempt.load.rtt_s) / max(1.0, attempt.slowdown)
    slots = service.limits.slots_per_target
    concurrency = attempt.requests_ahead + 1
    if request.corrects_estimate:
        service.service_time_s[request.kind.name] = min(known_s, normalized_s)
    elif concurrency * 2 <= slots:
        service.service_time_s[request.kind.name] = completion.observe_service_time(
            known_s, normalized_s
        )
    report_age_s = attempt.chosen_at - attempt.load_measured_at
    # A slowdown of the VM since an old report, or a fault of the target, is not contention.
    is_recent = report_age_s <= slowdowns.recent_s(service.slowdowns)
    is_clear = is_recent and attempt.load.verdict is Verdict.HEALTHY
    if concurrency <= slots and is_clear:
        contention.observe(service.contention, concurrency, normalized_s / known_s)


def deliver(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    metadata: ResponseMetadata,
    effects: list[Effect],
) -> None:
    """Deliver the first complete response to the caller and cancel the other attempts."""
    request.state = RequestState.ANSWERED
    if type(request.service.policy) is Measured:
        request_log.request_answered(state, request, attempt, metadata.status, effects)
    if request.attempts:
        cancel_attempts(state, request, effects)
    effects.append(
        DeliverAnswer(
            request.request_id,
            attempt.attempt_id,
            response_code(metadata),
            metadata.retried or request.retried,
            state.draining,
        )
    )
    remove_request(state, request, effects)


def response_code(metadata: ResponseMetadata) -> ResultCode:
    """Return the result code of a response from a target."""
    return ResultCode.ANSWERED if metadata.status < SERVER_ERROR else ResultCode.TARGET_FAILED


def rejection(attempt: Attempt, metadata: ResponseMetadata) -> NotRun:
    """Return the outcome of an attempt that the target has rejected."""
    request = attempt.request
    detail = f"refused by {attempt.load.target.name}"
    after_s = 0.0
    if has_free_slots(request.service, metadata):
        after_s = return_after_s(request.request_id)
    return NotRun(ResultCode.REFUSED_BY_TARGET, detail, 503, after_s)


def is_unproven_refusal(request: Request, metadata: ResponseMetadata) -> bool:
    """Return whether a response would promise the caller more than the target has said.

    A target that fails may answer with such a status after it has run the request.
    """
    promises = metadata.status in REFUSAL_STATUSES and not metadata.not_run
    return promises and not request.idempotent


def unproven_refusal(attempt: Attempt, metadata: ResponseMetadata) -> OutcomeUnknown:
    """Return the outcome of a request that its target may have run, whatever its status says."""
    detail = f"{attempt.load.target.name} answered {metadata.status} and may have run it"
    return OutcomeUnknown(ResultCode.REFUSAL_UNPROVEN, detail)


@reduce.register
def response_started(event: ResponseStarted, state: EntryState) -> list[Effect]:
    """Start to stream a response that is too large to buffer, and cancel the other attempts."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    request = attempt.request
    effects: list[Effect] = []
    if is_unproven_refusal(request, event.metadata):
        state.now = event.now
        finish_refused(state, request, unproven_refusal(attempt, event.metadata), effects)
        return effects
    request.streaming = attempt
    observe_abandoned(request, attempt, event.now)
    cancel_attempts(state, request, effects, kept=attempt)
    metadata = event.metadata
    state.now = event.now
    statements.observe(state, attempt.load, metadata, Source.RESPONSE, event.random_value, effects)
    effects.append(
        StreamAnswer(
            request.request_id,
            attempt.attempt_id,
            response_code(metadata),
            metadata.retried or request.retried,
            state.draining,
        )
    )
    return effects


@reduce.register
def interim_received(event: InterimReceived, state: EntryState) -> list[Effect]:
    """Record what a target says about itself before its final response."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    state.now = event.now
    effects: list[Effect] = []
    statements.observe(
        state, attempt.load, event.metadata, Source.INTERIM, event.random_value, effects
    )
    return effects


@reduce.register
def attempt_failed(event: AttemptFailed, state: EntryState) -> list[Effect]:
    """Retry a request where that is safe, or report its outcome."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return []
    state.now = event.now
    request = attempt.request
    effects: list[Effect] = []
    suspicion = crashes.suspect(state, attempt, event.cause, effects)
    is_unreachable = event.cause is FailureCause.CONNECT_FAILED
    if is_unreachable and attempt.spans_halt:
        # The time to connect may have run out while this process stood still.
        pass
    elif is_unreachable:
        health.observe_unreachable(attempt.load, event.now)
    elif suspicion is None:
        health.observe_failure(attempt.load, event.now)
    end_attempt(state, attempt)
    labels = {"service": request.service.name, "cause": event.cause.name.lower()}
    effects.append(Count("attempt_failed_total", 1.0, labels))
    outcome = failure_outcome(attempt, event)
    if request.streaming is attempt:
        finish_refused(state, request, outcome, effects)
    elif suspicion and not request.attempts and crashes.must_wait(state, suspicion):
        crashes.wait_for_checks(state, suspicion, outcome)
    else:
        send_again_or_finish(state, attempt, outcome, event.now, event.random_value, effects)
    changed = health.review(request.service.health, request.service.limits.loads, event.now)
    if changed:
        effects.append(verdict_report(state, request.service, changed))
    dispatch_waiting(
        state, request.service, event.now, next_random_value(event.random_value), effects
    )
    return effects


def failure_outcome(attempt: Attempt, event: AttemptFailed) -> RequestFailure:
    """Return the outcome of a failed attempt; it is `NotRun` only if nothing was sent."""
    detail = f"{attempt.load.target.name}: {event.detail}"
    if event.cause is FailureCause.CONNECT_FAILED and not attempt.sent_at:
        return NotRun(ResultCode.CONNECT_FAILED, detail)
    return OutcomeUnknown(FAILURE_CODES.get(event.cause, ResultCode.OUTCOME_UNKNOWN), detail)


def send_again_or_finish(
    state: EntryState,
    attempt: Attempt,
    outcome: RequestFailure,
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Retry within the budget, wait for the other attempt, or answer the caller."""
    request = attempt.request
    request.tried.append(attempt.load)
    if request.attempts:
        # The other attempt of a hedged read may still succeed.
        request.last_refusal = outcome
        return
    if not send_again(state, request, outcome, now, random_value, effects):
        finish_refused(state, request, outcome, effects)


def send_again(
    state: EntryState,
    request: Request,
    outcome: RequestFailure,
    now: float,
    random_value: int,
    effects: list[Effect],
) -> bool:
    """Retry a request if that is safe and within the budget; return whether it was retried."""
    if state.customers.by_name and refuse_retry(state, request, outcome, now, effects):
        return request.request_id not in state.requests
    service = request.service
    targets = reachable_targets(service, request.labels, request.regions)
    decision = retries.RetryDecision.NO
    if targets and barred_refusal(request, targets, now) is None:
        decision = retries.decide_retry(service.retry_budget, request, outcome, now)
    if request.max_attempts and request.sends >= request.max_attempts:
        decision = retries.RetryDecision.NO
    if decision is not retries.RetryDecision.RETRY:
        # Callers further up the call chain must not make a retry that the budget denied here.
        request.retried = request.retried or decision is retries.RetryDecision.NO_BUDGET
        if decision is retries.RetryDecision.NO_BUDGET and type(service.policy) is Measured:
            request_log.repeat_denied(state, request, outcome, effects)
        return False
    request.retried = True
    request.attempt += 1
    effects.append(Count("retry_total", 1.0, {"service": service.name}))
    if type(service.policy) is Measured:
        request_log.request_repeated(state, request, outcome, effects)
        request.state = RequestState.QUEUED
        dispatch(state, request, targets, now, random_value, effects)
        return True
    load = choose(request, targets, now, random_value)
    if load is not None:
        send(state, request, load, now, effects)
    else:
        enqueue(state, request, effects)
        await_permission(state, service, now, effects)
    return True


def refuse_retry(
    state: EntryState,
    request: Request,
    outcome: RequestFailure,
    now: float,
    effects: list[Effect],
) -> bool:
    """Return whether the key does not allow a retry; refuse the request if nothing has run it."""
    refusal = send_refusal(state, request, now)
    if refusal is not None and isinstance(outcome, NotRun):
        finish_refused(state, request, refusal, effects)
    return refusal is not None


def retry_failed_response(
    state: EntryState,
    attempt: Attempt,
    metadata: ResponseMetadata,
    event: ResponseCompleted,
    effects: list[Effect],
) -> bool:
    """Retry an idempotent request that failed at a target which is or should be avoided.

    The current verdict may predate this failure, because reviews are rate-limited.
    """
    request, load = attempt.request, attempt.load
    if metadata.status < SERVER_ERROR or request.attempts:
        return False
    if type(request.service.policy) is Measured:
        return request.idempotent and retry_failed_read(state, request, load, event, effects)
    current = health.verdict(load, request.service.limits.loads, event.now)
    if Verdict.AVOIDED not in (load.verdict, current):
        return False
    request.tried.append(load)
    outcome = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, f"{load.target.name} is to be avoided")
    return send_again(state, request, outcome, event.now, event.random_value, effects)


def retry_failed_read(
    state: EntryState,
    request: Request,
    load: TargetLoad,
    event: ResponseCompleted,
    effects: list[Effect],
) -> bool:
    """Retry a read that failed at one target if another can still answer by the deadline."""
    if event.now + request.service_time_s > request.deadline:
        return False
    request.tried.append(load)
    outcome = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, f"{load.target.name} failed")
    return send_again(state, request, outcome, event.now, event.random_value, effects)
