"""Checks of a request's key, at its arrival and before each of its attempts."""

from poplarlane.decisions.configuration.route_table import Route
from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.customers.members import MIN_REACHED_SHARE
from poplarlane.decisions.requests.entry_state import EntryState, Request
from poplarlane.outcomes import NotRun, ResultCode

UNAUTHORIZED = 401


def find_customer(
    state: EntryState, route: Route, key_digest: bytes, now: float
) -> Customer | NotRun | None:
    """Return the customer of a request, None where the route needs none, or its refusal."""
    if route.is_public or not state.customers.by_name:
        return None
    return customer_of_key(state, key_digest, now)


def customer_of_key(state: EntryState, key_digest: bytes, now: float) -> Customer | NotRun:
    """Return the customer that a key belongs to now, or the refusal."""
    customer = state.customers.find(key_digest)
    # While requests are held after a pause, the check before they are sent decides.
    if customer is not None and (state.unconfirmed_until or not may_miss_removals(state, now)):
        return customer
    if not is_confirmed(state, now):
        detail = "the configuration may be out of date"
        return NotRun(ResultCode.CONFIGURATION_UNCONFIRMED, detail)
    detail = "the key is unknown" if key_digest else "the request has no key"
    return NotRun(ResultCode.KEY_UNKNOWN, detail, UNAUTHORIZED)


def is_confirmed(state: EntryState, now: float) -> bool:
    """Return whether every change that has to be in force by now is known here."""
    return now - state.confirmed_at <= state.apply_limit_s


def may_miss_removals(state: EntryState, now: float) -> bool:
    """Return whether other nodes may know of removed keys that have to be refused by now.

    Only strict revocation asks for it: otherwise a node that is cut off serves the keys it knows.
    While nobody reaches the store no change is accepted. A node knows that of the others only
    while it is in touch with most of them.
    """
    if not state.strict_revocation or is_confirmed(state, now):
        return False
    if state.reached_nodes_needed <= 1:
        return False
    fleet = state.fleet
    return fleet.is_isolated(now) or fleet.nodes < state.reached_nodes_needed * MIN_REACHED_SHARE


def send_refusal(state: EntryState, request: Request, now: float) -> NotRun | None:
    """Return the refusal of a request whose key was removed or moved since it arrived.

    One that arrived before there were customers needs a key as soon as there are.

    A request is charged to the customer that it arrived for; sent again, it belongs to the new one.
    """
    if request.is_public or not state.customers.by_name:
        return None
    found = customer_of_key(state, request.key_digest, now)
    if isinstance(found, NotRun):
        return found
    if request.customer is None or found.name != request.customer.name:
        detail = "the key belongs to another customer since the request arrived"
        return NotRun(ResultCode.CONFIGURATION_UNCONFIRMED, detail)
    return None
