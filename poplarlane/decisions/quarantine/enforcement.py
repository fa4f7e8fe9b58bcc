"""What follows from convictions: refusals at arrival, the end of copies at work, and trials."""

from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice.dispatching import await_permission, choose, dispatch
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.effects import Count, Effect, Log
from poplarlane.decisions.quarantine.convictions import Item
from poplarlane.decisions.quarantine.fingerprints import fingerprint
from poplarlane.decisions.requests.attempts import (
    enqueue,
    finish_refused,
    send,
    unreachable_refusal,
)
from poplarlane.decisions.requests.entry_effects import NotifyFleet, SetTimer
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    Request,
    RequestState,
    TimerKind,
    add_timer,
    next_random_value,
    reachable_targets,
)
from poplarlane.outcomes import NotRun, OutcomeUnknown, ResultCode

# A request that waits for its trial is answered after this; asking the root takes some 10 ms.
TRIAL_WAIT_S = 0.5
# Part of the time of a trial that is left at its end for the difference between two clocks and for
# messages on their way.
TRIAL_RESERVE_S = 1.0
# Least time that the refusal names until the caller may come back.
MIN_RETRY_AFTER_S = 1.0
TRIAL_RETRY_AFTER_S = 5.0


def known_item(state: EntryState, request: Request) -> Item | None:
    """Return the evidence about a request; costs a digest only while there is any."""
    known = state.quarantine
    return known.items.get(fingerprint(request)) if known.items else None


def refusal_at_arrival(
    state: EntryState, request: Request, now: float, effects: list[Effect]
) -> NotRun | None:
    """Return the refusal of a request that is in quarantine."""
    settle(state, now, effects)
    item = known_item(state, request)
    if item is None or not item.is_convicted(now):
        return None
    return quarantined(item, request, now, effects)


def quarantined(item: Item, request: Request, now: float, effects: list[Effect]) -> NotRun:
    """Return the refusal by a conviction, and count it."""
    count_refused(request, effects)
    retry_after_s = max(MIN_RETRY_AFTER_S, item.ends_at() - now)
    return NotRun(ResultCode.QUARANTINED, detail(item), 503, retry_after_s)


def count_refused(request: Request, effects: list[Effect]) -> None:
    """Count a request that was refused for the quarantine."""
    labels = {"service": request.service.name}
    effects.append(Count("quarantined_requests_total", 1.0, labels))


def detail(item: Item) -> str:
    """Say in a response why a request is refused."""
    return f"quarantine {item.digest.hex()}: its targets crashed"


def hold_for_trial(state: EntryState, request: Request, now: float, effects: list[Effect]) -> bool:
    """Let a request whose conviction has expired wait for a trial; return whether it does."""
    item = known_item(state, request)
    if item is None or not item.is_on_trial(now):
        return False
    known = state.quarantine
    # Admission may have queued it already, from where it would be sent besides its trial.
    limits.remove_queued(request.service.limits, request)
    request.state = RequestState.QUEUED
    known.waiting.setdefault(item.digest, []).append(request.request_id)
    if add_timer(state, now + TRIAL_WAIT_S, TimerKind.TRIAL_LIMIT, request.request_id):
        effects.append(SetTimer(state.timer_at))
    if known.has_peers:
        known.asking.add(item.digest)
        known.is_urgent = True
        effects.append(NotifyFleet())
    else:
        lease_s = TRIAL_WAIT_S + request.deadline - now + TRIAL_RESERVE_S
        start_trial(state, item, lease_s, lease_s, now, effects)
    return True


def start_trial(
    state: EntryState, item: Item, left_s: float, lease_s: float, now: float, effects: list[Effect]
) -> None:
    """Send one of the requests that wait for a trial that this node was allowed.

    The digest repeats the permission while it lasts, and it may come late.
    """
    is_late = left_s < lease_s - TRIAL_RESERVE_S
    if is_late or now < item.trial_until or not item.is_on_trial(now):
        return
    request = next_waiting(state, item.digest)
    if request is None:
        return
    item.trial_until = now + left_s
    ends_at = item.trial_until - TRIAL_RESERVE_S
    if ends_at < request.deadline:
        request.deadline = ends_at
        if add_timer(state, ends_at, TimerKind.DEADLINE, request.request_id):
            effects.append(SetTimer(state.timer_at))
    effects.append(Log("quarantine_trial", "info", {"digest": item.digest.hex()}))
    resume(state, request, now, effects)


def next_waiting(state: EntryState, digest: bytes) -> Request | None:
    """Take the first request that still waits for a trial."""
    waiting = state.quarantine.waiting.get(digest, [])
    while waiting:
        request = state.requests.get(waiting.pop(0))
        if request is not None:
            return request
    return None


def resume_acquitted(state: EntryState, now: float, effects: list[Effect]) -> None:
    """Send the requests that wait for a trial which is no longer needed."""
    known = state.quarantine
    for digest in list(known.waiting):
        item = known.items.get(digest)
        if item is None or item.terms:
            continue
        while (request := next_waiting(state, digest)) is not None:
            resume(state, request, now, effects)


def resume(state: EntryState, request: Request, now: float, effects: list[Effect]) -> None:
    """Choose a target for a request that was held back."""
    targets = reachable_targets(request.service, request.labels, request.regions)
    # Copies of one request that are sent at the same moment must not choose the same target.
    seed = int.from_bytes(fingerprint(request)[:8], "big") ^ request.request_id
    random_value = next_random_value(seed)
    if not targets:
        finish_refused(state, request, unreachable_refusal(targets, request.regions), effects)
    elif type(request.service.policy) is Measured:
        dispatch(state, request, targets, now, random_value, effects)
    elif (load := choose(request, targets, now, random_value)) is not None:
        send(state, request, load, now, effects)
    else:
        enqueue(state, request, effects)
        await_permission(state, request.service, now, effects)


def trial_limit_passed(
    state: EntryState, request: Request, now: float, effects: list[Effect]
) -> None:
    """Refuse a request that has waited in vain for its trial."""
    waiting = state.quarantine.waiting.get(fingerprint(request), [])
    if request.request_id not in waiting:
        return
    waiting.remove(request.request_id)
    count_refused(request, effects)
    text = "quarantine: another attempt is on trial"
    outcome = NotRun(ResultCode.QUARANTINED, text, 503, TRIAL_RETRY_AFTER_S)
    finish_refused(state, request, outcome, effects)


def settle(state: EntryState, now: float, effects: list[Effect]) -> None:
    """Enforce new convictions on this node, and end those that are over."""
    known = state.quarantine
    if known.waiting:
        drop_ended(state)
    known.find_shared()
    for item in known.items.values():
        if not item.terms:
            log_end(item, "answered", effects)
        elif not item.is_enforced:
            item.is_enforced = True
            announce(item, effects)
            if item.is_convicted(now):
                end_copies(state, item, now, effects)
    if known.waiting:
        resume_acquitted(state, now, effects)
    for item in known.take_expired(now):
        log_end(item, "forgotten", effects)


def drop_ended(state: EntryState) -> None:
    """Forget the requests that waited for a trial and have ended, as when their caller left."""
    waiting = {}
    for digest, numbers in state.quarantine.waiting.items():
        live = [number for number in numbers if number in state.requests]
        if live:
            waiting[digest] = live
    state.quarantine.waiting = waiting


def announce(item: Item, effects: list[Effect]) -> None:
    """Log a conviction, and count it at the nodes that saw one of the crashes."""
    item.is_announced = True
    fields = {
        "digest": item.digest.hex(),
        "route": item.route,
        "targets": ",".join(sorted(item.crashes)),
        "terms": item.terms,
        "term_s": round(item.ends_at() - item.convicted_at),
    }
    # The other nodes of the fleet would repeat the line.
    level = "warning" if item.is_own else "debug"
    effects.append(Log("request_quarantined", level, fields))
    if item.is_own:
        effects.append(Count("quarantine_total", 1.0, {"route": item.route}))


def log_end(item: Item, reason: str, effects: list[Effect]) -> None:
    """Log the end of a conviction that was logged."""
    if not item.is_announced:
        return
    item.is_announced = False
    fields = {
        "digest": item.digest.hex(),
        "route": item.route,
        "targets": ",".join(sorted(item.crashes)),
        "reason": reason,
    }
    effects.append(Log("quarantine_ended", "info" if item.is_own else "debug", fields))


def end_copies(state: EntryState, item: Item, now: float, effects: list[Effect]) -> None:
    """Answer the requests of this node that are now in quarantine, wherever they are.

    Closing the connection of a copy at work may save its target. A response that is being
    delivered shows that its target survived, so it is finished.
    """
    for request in list(state.requests.values()):
        if request.streaming is None and fingerprint(request) == item.digest:
            limits.remove_queued(request.service.limits, request)
            end_copy(state, request, item, now, effects)


def end_copy(
    state: EntryState, request: Request, item: Item, now: float, effects: list[Effect]
) -> None:
    """Answer one request that is in quarantine."""
    if request.possibly_started or request.hedged:
        outcome = OutcomeUnknown(ResultCode.CRASHES_TARGETS, detail(item))
        finish_refused(state, request, outcome, effects)
        return
    finish_refused(state, request, quarantined(item, request, now, effects), effects)


def is_suspect(state: EntryState, request: Request) -> bool:
    """Return whether a target has crashed while it ran the same request."""
    item = known_item(state, request)
    return item is not None and bool(item.terms or item.fresh_crashes())
