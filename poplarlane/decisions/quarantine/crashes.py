"""From a connection that ended before its response to the evidence of a crash."""

from poplarlane.decisions.effects import Effect
from poplarlane.decisions.quarantine.convictions import Suspicion
from poplarlane.decisions.quarantine.fingerprints import fingerprint
from poplarlane.decisions.requests.entry_effects import CheckProcess
from poplarlane.decisions.requests.entry_events import FailureCause
from poplarlane.decisions.requests.entry_state import Attempt, EntryState, Request, RequestState
from poplarlane.outcomes import RequestFailure

CRASH_CAUSES = frozenset({FailureCause.CLOSED_BEFORE_ANSWER, FailureCause.ANSWER_TRUNCATED})


def suspect(
    state: EntryState, attempt: Attempt, cause: FailureCause, effects: list[Effect]
) -> Suspicion | None:
    """Start the check whether a target's process is gone; return None if nothing suggests it.

    A target that leaves announces it, and ends its process by itself.
    """
    known = state.quarantine
    target = attempt.load.target
    if not known.enabled or cause not in CRASH_CAUSES or not attempt.sent_at:
        return None
    if attempt.load.leaving or target.name in state.leaving:
        return None
    digest = fingerprint(attempt.request)
    if not digest:
        return None
    suspicion = Suspicion(digest, attempt, state.now)
    if target.name not in known.suspicions:
        known.suspicions[target.name] = []
        may_probe = state.probe_allowance.take(1, state.now) > 0
        effects.append(CheckProcess(target, may_probe))
    known.suspicions[target.name].append(suspicion)
    return suspicion


def must_wait(state: EntryState, suspicion: Suspicion) -> bool:
    """Return whether a request may be sent again only if its target turns out to be alive.

    That is so if another target has crashed with the request, or may have, during a trial, and
    while other copies are at work, which may be about to end their targets as well.
    """
    known = state.quarantine
    if any(is_copy(attempt.request, suspicion) for attempt in state.attempts.values()):
        return True
    name = suspicion.attempt.load.target.name
    for target, suspicions in known.suspicions.items():
        if target != name and any(found.digest == suspicion.digest for found in suspicions):
            return True
    item = known.items.get(suspicion.digest)
    if item is None:
        return False
    crashes = item.crashes.items()
    return bool(item.terms) or any(
        target != name and at > item.answered_at for target, at in crashes
    )


def is_copy(request: Request, suspicion: Suspicion) -> bool:
    """Return whether another request has the content of a suspicion."""
    is_same = request is suspicion.attempt.request
    return not is_same and fingerprint(request) == suspicion.digest


def wait_for_checks(state: EntryState, suspicion: Suspicion, outcome: RequestFailure) -> None:
    """Hold a request until the checks of the targets at which it ran have ended."""
    request = suspicion.attempt.request
    state.quarantine.unchecked.setdefault(suspicion.digest, []).append(request.request_id)
    request.tried.append(suspicion.attempt.load)
    request.last_refusal = outcome
    request.state = RequestState.QUEUED
