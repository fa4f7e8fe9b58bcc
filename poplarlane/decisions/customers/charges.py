"""Charging of customers' quotas: once for each request of a caller, not for retries and hedges."""

from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.requests.entry_effects import NotifyFleet
from poplarlane.decisions.requests.entry_state import EntryState, Request
from poplarlane.outcomes import NotRun


def charge(
    state: EntryState, customer: Customer, random_value: int, now: float, effects: list[Effect]
) -> NotRun | None:
    """Charge a request that arrives to its customer's quota, or return its refusal."""
    if state.quotas is None:
        return None
    refusal = state.quotas.admit(customer, random_value, now)
    if state.quotas.is_urgent(now):
        effects.append(NotifyFleet())
    return refusal


def credit_unrun(state: EntryState, request: Request, now: float) -> None:
    """Credit a request that never ran and never will."""
    if request.is_charged and state.quotas is not None:
        request.is_charged = False
        state.quotas.credit_back(request, now)
