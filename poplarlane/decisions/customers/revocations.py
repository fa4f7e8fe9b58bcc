"""What happens to requests whose customer's key a newer configuration has removed."""

from poplarlane.decisions.admission import limits
from poplarlane.decisions.customers.key_checks import send_refusal
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.requests.attempts import end_attempt, finish_refused
from poplarlane.decisions.requests.entry_effects import CancelAttempt
from poplarlane.decisions.requests.entry_state import EntryState, Request, RequestState
from poplarlane.outcomes import NotRun


def refuse_removed_keys(state: EntryState, now: float, effects: list[Effect]) -> None:
    """Refuse the requests whose key is no longer valid, except those that may be running."""
    for request in list(state.requests.values()):
        refusal = send_refusal(state, request, now)
        if refusal is not None:
            refuse_unsent(state, request, refusal, effects)


def refuse_unsent(
    state: EntryState, request: Request, refusal: NotRun, effects: list[Effect]
) -> None:
    """Cancel the attempts of which no byte was sent; refuse the request if no other is left."""
    for attempt in list(request.attempts):
        if not attempt.sent_at:
            end_attempt(state, attempt)
            effects.append(CancelAttempt(attempt.attempt_id))
    if request.attempts:
        return
    if request.state is RequestState.QUEUED:
        limits.remove_queued(request.service.limits, request)
    finish_refused(state, request, refusal, effects)
