"""Status reports from an entry to its agent."""

from poplarlane.decisions.effects import Effect
from poplarlane.decisions.health.health import review
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import SendToAgent
from poplarlane.decisions.requests.entry_events import ReportDue
from poplarlane.decisions.requests.entry_state import EntryState, ServiceState
from poplarlane.messages import EntryHello, EntryReport, VerdictNotice
from poplarlane.types import TargetLoad

VERDICT_VALID_S = 5.0
# Without a view for this long, the entry requests one again: the agent may have restarted.
HELLO_INTERVAL_S = 3.0


@reduce.register
def report_due(event: ReportDue, state: EntryState) -> list[Effect]:
    """Send the periodic report, and request a view if none was received recently."""
    effects: list[Effect] = []
    # Only services with outstanding requests can change without a response. Reviewing all services
    # would take 10 ms for 350 of them.
    active = {request.service.name: request.service for request in state.requests.values()}
    for service in active.values():
        changed = review(service.health, service.limits.loads, event.now)
        if changed:
            effects.append(verdict_report(state, service, changed))
    effects.append(current_report(state))
    view_overdue = event.now - state.last_view_at > HELLO_INTERVAL_S
    if not state.ready or state.unconfirmed_until or view_overdue:
        state.last_view_at = event.now
        effects.append(SendToAgent(hello(state)))
    return effects


def hello(state: EntryState) -> EntryHello:
    """Build a hello, which requests every service that is newer than the applied revision."""
    return EntryHello(state.name, state.incarnation, applied_revisions(state), state.view_nonce)


def applied_revisions(state: EntryState) -> dict[str, int]:
    """Return the applied revision of each service."""
    return {name: service.revision for name, service in state.services.items()}


def current_report(state: EntryState, verdicts: list[VerdictNotice] | None = None) -> Effect:
    """Build a report of the entry's state for the agent."""
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
    """Build a report with changed verdicts, which is sent without waiting for the period."""
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
