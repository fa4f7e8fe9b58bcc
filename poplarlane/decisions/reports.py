"""Reports from an entry to its agent."""

from poplarlane.decisions.effects import Effect
from poplarlane.decisions.entry_effects import SendToAgent
from poplarlane.decisions.entry_events import ReportDue
from poplarlane.decisions.entry_state import EntryState, ServiceState
from poplarlane.decisions.health import review
from poplarlane.decisions.reducer import reduce
from poplarlane.messages import EntryHello, EntryReport, VerdictNotice
from poplarlane.types import TargetLoad

VERDICT_VALID_S = 5.0
# Without a view for this long the entry asks again: the agent may have restarted.
HELLO_INTERVAL_S = 3.0


@reduce.register
def report_due(event: ReportDue, state: EntryState) -> list[Effect]:
    """Send the periodic report, and ask for a view when none came lately."""
    effects: list[Effect] = []
    # A review of 350 services takes 10 ms, and only outstanding requests change without answers.
    busy = {request.service.name: request.service for request in state.requests.values()}
    for service in busy.values():
        changed = review(service.health, service.limits.loads, event.now)
        if changed:
            effects.append(verdict_report(state, service, changed))
    effects.append(current_report(state))
    silent = event.now - state.last_view_at > HELLO_INTERVAL_S
    if not state.ready or state.unconfirmed_until or silent:
        state.last_view_at = event.now
        effects.append(SendToAgent(hello(state)))
    return effects


def hello(state: EntryState) -> EntryHello:
    """Ask for every service that is newer than what is applied."""
    return EntryHello(state.name, state.incarnation, applied_revisions(state), state.view_nonce)


def applied_revisions(state: EntryState) -> dict[str, int]:
    """Give the revision in force of each service."""
    return {name: service.revision for name, service in state.services.items()}


def current_report(state: EntryState, verdicts: list[VerdictNotice] | None = None) -> Effect:
    """Report the entry's state to the agent."""
    return SendToAgent(
        EntryReport(
            state.name,
            state.incarnation,
            state.ready,
            state.draining,
            applied_revisions(state),
            dict(state.rejected),
            sorted(state.leaving),
            verdicts or [],
        )
    )


def verdict_report(state: EntryState, service: ServiceState, changed: list[TargetLoad]) -> Effect:
    """Report changed verdicts at once."""
    state.verdict_sequence += 1
    notices = [
        VerdictNotice(
            service.name,
            load.target.name,
            load.verdict.value,
            state.name,
            VERDICT_VALID_S,
            state.incarnation,
            state.verdict_sequence,
        )
        for load in changed
    ]
    return current_report(state, notices)
