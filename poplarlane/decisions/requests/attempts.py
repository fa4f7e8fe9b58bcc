"""Sending, queueing, cancelling and finishing requests."""

from poplarlane.decisions.admission import (
    admission,
    limits,
)
from poplarlane.decisions.choice import rate_limits
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.cold import cold_permits
from poplarlane.decisions.customers import charges, key_checks
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.health import health
from poplarlane.decisions.requests import request_log
from poplarlane.decisions.requests.entry_effects import (
    CancelAttempt,
    CutAnswer,
    RefuseRequest,
    SendRequest,
    Stop,
)
from poplarlane.decisions.requests.entry_state import (
    DROPPED_TIMERS_PER_REQUEST,
    Attempt,
    EntryState,
    Request,
    RequestState,
    drop_ended_timers,
)
from poplarlane.outcomes import NotRun, OutcomeUnknown, RequestFailure, ResultCode
from poplarlane.types import TargetLoad


def send(
    state: EntryState, request: Request, load: TargetLoad, now: float, effects: list[Effect]
) -> None:
    """Send a request to a target as a new attempt, or refuse it if its key has been removed."""
    if state.customers.by_name:
        refusal = key_checks.send_refusal(state, request, now)
        if refusal is not None:
            finish_refused(state, request, refusal, effects)
            return
    attempt_id = state.next_attempt_id
    state.next_attempt_id = attempt_id + 1
    attempt = Attempt(attempt_id, request, load)
    attempt.chosen_at = now
    state.attempts[attempt_id] = attempt
    request.attempts.append(attempt)
    request.state = RequestState.NOT_SENT
    # Probes that are still out were for this choice; their end must not start a hedge.
    request.awaiting_probes = False
    request.pending_probes.clear()
    health.observe_sent(load, attempt_id, now)
    load.sent_since_measured += 1
    rate_limits.take_permit(load, now)
    if load.statements.cold_until > now:
        cold_permits.take_permit(load, now)
    effects.append(
        SendRequest(
            request.request_id,
            attempt_id,
            load.target,
            request.attempt,
            request.retried,
            request.hedged_above or (request.hedge and state.hedged_reads),
            request.deadline,
            request.customer.name if request.customer is not None else "",
        )
    )


def enqueue(state: EntryState, request: Request, effects: list[Effect]) -> None:
    """Queue a request until a target that it may reach has capacity."""
    refusal = limits.enqueue(request.service.limits, request)
    if refusal is not None:
        finish_refused(state, request, refusal, effects)
        return
    request.state = RequestState.QUEUED


def unreachable_refusal(
    targets: list[TargetLoad] | None, regions: frozenset[str] | None = None
) -> NotRun:
    """Return the refusal of a queued request that can no longer be sent."""
    if regions is not None:
        return NotRun(ResultCode.NO_TARGET_AT_HOME, "no target in the allowed regions")
    if targets is None:
        return NotRun(ResultCode.NOT_ALLOWED, "no selector allows this")
    return NotRun(ResultCode.NO_TARGET, "every target is leaving")


def end_attempt(state: EntryState, attempt: Attempt) -> None:
    """Remove an attempt from the outstanding ones, whatever its outcome."""
    state.attempts.pop(attempt.attempt_id, None)
    health.observe_end(attempt.load, attempt.attempt_id)
    if attempt in attempt.request.attempts:
        attempt.request.attempts.remove(attempt)


def observe_abandoned(request: Request, kept: Attempt | None, now: float) -> None:
    """Record the age of the attempts that are about to be cancelled as latency evidence."""
    for attempt in request.attempts:
        if attempt is not kept:
            health.observe_abandoned(request.service.health, attempt.load, attempt.attempt_id, now)


def cancel_attempts(
    state: EntryState, request: Request, effects: list[Effect], kept: Attempt | None = None
) -> None:
    """Cancel all attempts of a request except `kept`."""
    for attempt in list(request.attempts):
        if attempt is not kept:
            end_attempt(state, attempt)
            effects.append(CancelAttempt(attempt.attempt_id))


def finish_refused(
    state: EntryState, request: Request, outcome: RequestFailure, effects: list[Effect]
) -> None:
    """Answer the caller with a refusal; never `NotRun` if a target may have run the request."""
    certain = isinstance(outcome, NotRun)
    if certain and (request.possibly_started or request.hedged):
        outcome = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, outcome.detail)
        certain = False
    if certain and not outcome.retry_after_s and outcome.status != key_checks.UNAUTHORIZED:
        after_s = admission.request_retry_after_s(request)
        outcome = NotRun(outcome.code, outcome.detail, outcome.status, after_s)
    if certain and request.is_charged:
        charges.credit_unrun(state, request, state.now)
    if type(request.service.policy) is Measured:
        request_log.request_refused(state, request, outcome, effects)
    cancel_attempts(state, request, effects)
    request.state = RequestState.REFUSED if certain else RequestState.UNKNOWN
    retried = request.retried or request.retried_below
    kind = RefuseRequest if request.streaming is None else CutAnswer
    effects.append(kind(request.request_id, outcome, retried, state.draining))
    remove_request(state, request, effects)


def remove_request(state: EntryState, request: Request, effects: list[Effect]) -> None:
    """Remove a request whose caller was answered or has disconnected."""
    del state.requests[request.request_id]
    drop_ended_timers(state, DROPPED_TIMERS_PER_REQUEST)
    if state.draining and not state.accepting and not state.requests:
        effects.append(Stop(False))
