"""Handler for a pause of the entry process.

Requests are held until the agent confirms the view, which may have become stale in the meantime.
"""

import math

from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.attempts import end_attempt, enqueue
from poplarlane.decisions.requests.entry_effects import CancelAttempt, SendToAgent, SetTimer
from poplarlane.decisions.requests.entry_events import EntryPaused
from poplarlane.decisions.requests.entry_state import (
    Attempt,
    EntryState,
    TimerKind,
    add_timer,
    next_random_value,
)
from poplarlane.decisions.requests.reports import hello
from poplarlane.decisions.requests.requests import dispatch_waiting

# Within this time, an agent that was paused together with its entry has compared its view with
# peers, even at 20% packet loss. Afterwards the entry serves by its current view, as it does
# without an agent.
VIEW_CONFIRM_TIMEOUT_S = 2.0


@reduce.register
def entry_paused(event: EntryPaused, state: EntryState) -> list[Effect]:
    """Hold all requests, and ask the agent for a view from after the pause."""
    unsent = [attempt for attempt in state.attempts.values() if not attempt.sent_at]
    fields = {"gap_ms": round(event.gap_s * 1000), "unsent": len(unsent)}
    effects: list[Effect] = [Log("paused", "warning", fields)]
    # Quotas and levels from before the pause are out of date.
    state.fleet.digest_at = -math.inf
    if state.confirmed_at < math.inf:
        state.confirmed_at = -math.inf
    if not state.ready:
        return effects
    state.view_nonce += 1
    state.unconfirmed_until = event.now + VIEW_CONFIRM_TIMEOUT_S
    for service in state.services.values():
        service.limits.held = True
    for attempt in unsent:
        requeue_unsent(state, attempt, effects)
    effects.append(SendToAgent(hello(state)))
    if add_timer(state, state.unconfirmed_until, TimerKind.VIEW_LIMIT):
        effects.append(SetTimer(state.timer_at))
    return effects


def requeue_unsent(state: EntryState, attempt: Attempt, effects: list[Effect]) -> None:
    """Cancel an attempt of which no byte was sent, and queue its request again."""
    end_attempt(state, attempt)
    effects.append(CancelAttempt(attempt.attempt_id))
    if not attempt.request.attempts:
        enqueue(state, attempt.request, effects)


def resume_confirmed(state: EntryState, now: float, effects: list[Effect]) -> None:
    """End the hold because the current view is confirmed to be up to date with the agent's."""
    waited_s = VIEW_CONFIRM_TIMEOUT_S - (state.unconfirmed_until - now)
    effects.append(Log("view_confirmed", "info", {"after_ms": round(waited_s * 1000)}))
    lift_hold(state)


def lift_hold(state: EntryState) -> None:
    """End the hold of all services; the calling function then sends queued requests."""
    state.unconfirmed_until = 0.0
    for service in state.services.values():
        service.limits.held = False


def view_confirm_timed_out(
    state: EntryState, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Serve by the current view if the agent has not confirmed it in time."""
    if not state.unconfirmed_until or now < state.unconfirmed_until:
        return
    effects.append(Log("view_unconfirmed", "warning", {}))
    lift_hold(state)
    for service in state.services.values():
        random_value = next_random_value(random_value)
        dispatch_waiting(state, service, now, random_value, effects)
