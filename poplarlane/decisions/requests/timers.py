"""Handler for timers: deadlines, hedges, probes, drains and the confirmation of a view."""

import heapq

from poplarlane.decisions.admission import limits
from poplarlane.decisions.cold import cold_targets
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.health import health
from poplarlane.decisions.probes.probe_events import (
    fail_probe,
    finish_round,
    recheck_queue,
    refuse_queued,
)
from poplarlane.decisions.probes.probe_rounds import PROBE_REPLY_TIMEOUT_S
from poplarlane.decisions.quarantine.enforcement import trial_limit_passed
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats.hedging import hedge
from poplarlane.decisions.requests.attempts import finish_refused
from poplarlane.decisions.requests.drain import accept_ended, drain_limit_passed, refuse_unsent
from poplarlane.decisions.requests.entry_effects import CancelAttempt, SetTimer
from poplarlane.decisions.requests.entry_events import TimerFired
from poplarlane.decisions.requests.entry_state import (
    DROPPED_TIMERS_PER_FIRING,
    EntryState,
    Request,
    RequestState,
    TimerKind,
    add_timer,
    drop_ended_timers,
    next_random_value,
)
from poplarlane.decisions.requests.pauses import view_confirm_timed_out
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.error_text import error_text
from poplarlane.outcomes import NotRun, OutcomeUnknown, RequestFailure, ResultCode

# A timeout counts as a failure of the target only after this many typical latencies; an earlier one
# is no evidence of a fault.
TIMEOUT_LATENCIES = 4.0


@reduce.register
def timer_fired(event: TimerFired, state: EntryState) -> list[Effect]:
    """Handle every timer that is due, and schedule the next one."""
    state.now = event.now
    effects: list[Effect] = []
    random_value = event.random_value
    timers = state.timers
    while timers and timers[0][0] <= event.now:
        _, _, kind, number = heapq.heappop(timers)
        try:
            handle_timer(state, kind, number, event.now, random_value, effects)
        except Exception as error:
            # The remaining due timers belong to other requests and must still be handled.
            fields = {"kind": kind.name.lower(), "reason": error_text(error)}
            effects.append(Log("timer_failed", "error", fields))
        random_value = next_random_value(random_value)
    drop_ended_timers(state, DROPPED_TIMERS_PER_FIRING)
    state.timer_at = timers[0][0] if timers else 0.0
    if timers:
        # Must precede any SendRequest, because executing that may set an earlier timer.
        effects.insert(0, SetTimer(state.timer_at))
    return effects


def handle_timer(
    state: EntryState,
    kind: TimerKind,
    number: int,
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Handle one due timer; `number` identifies a request, a probe or a service."""
    if kind is TimerKind.ACCEPT_END:
        accept_ended(state, effects)
    elif kind is TimerKind.DRAIN_LIMIT:
        drain_limit_passed(state, effects)
    elif kind is TimerKind.VIEW_LIMIT:
        view_confirm_timed_out(state, now, random_value, effects)
    elif kind is TimerKind.PROBE_LIMIT:
        probe_limit_passed(state, number, now, random_value, effects)
    elif kind is TimerKind.RECHECK:
        recheck_queue(state, state.services_by_number[number], now, random_value, effects)
    elif kind is TimerKind.WARM_CHECK:
        service = state.services_by_number[number]
        cold_targets.check_warm(state, service, effects)
        dispatch_waiting(state, service, now, random_value, effects)
    elif number in state.requests:
        request_timer(state, state.requests[number], kind, now, random_value, effects)


def probe_limit_passed(
    state: EntryState, probe_id: int, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Fail a probe that was not answered, or wait on if this process stood still meanwhile."""
    probe = state.probes.get(probe_id)
    if probe is None:
        return
    ends_at = probe.sent_at + PROBE_REPLY_TIMEOUT_S
    if ends_at > now:
        add_timer(state, ends_at, TimerKind.PROBE_LIMIT, probe_id)
        return
    effects.append(CancelAttempt(probe_id))
    fail_probe(state, probe_id, now, random_value, effects)


def request_timer(
    state: EntryState,
    request: Request,
    kind: TimerKind,
    now: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Handle a due timer of a request that has not been answered yet."""
    if kind is TimerKind.HEDGE:
        hedge(state, request, now, random_value, effects)
    elif kind is TimerKind.PROBE_END:
        if request.awaiting_probes:
            finish_round(state, request, now, random_value, effects)
    elif kind is TimerKind.GIVE_UP:
        refuse_queued(state, request, now, effects)
    elif kind is TimerKind.DRAIN_REFUSAL:
        refuse_unsent(state, request, now, effects)
    elif kind is TimerKind.TRIAL_LIMIT:
        trial_limit_passed(state, request, now, effects)
    else:
        deadline_passed(state, request, now, random_value, effects)


def deadline_passed(
    state: EntryState, request: Request, now: float, random_value: int, effects: list[Effect]
) -> None:
    """Fail a request whose deadline has passed."""
    service = request.service
    if request.state is RequestState.QUEUED:
        limits.remove_queued(service.limits, request)
    request.awaiting_probes = False
    min_wait_s = TIMEOUT_LATENCIES * service.health.typical_s
    for attempt in request.attempts:
        if attempt.sent_at and now - attempt.sent_at >= min_wait_s:
            health.observe_failure(attempt.load, now)
    if request.possibly_started or request.hedged:
        detail = "the deadline passed before a whole answer"
        outcome: RequestFailure = OutcomeUnknown(ResultCode.DEADLINE_AFTER_SEND, detail, 504)
    else:
        outcome = NotRun(ResultCode.DEADLINE_BEFORE_SEND, "the deadline passed before sending")
    finish_refused(state, request, outcome, effects)
    dispatch_waiting(state, service, now, random_value, effects)
