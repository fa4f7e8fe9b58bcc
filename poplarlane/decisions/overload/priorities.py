"""Services whose requests differ in priority, and how often their queued requests ask for a slot.

In a large fleet the queue of a node is empty or one long, so its order decides nothing. A slot that
becomes free goes to the node that probes next. Requests that cost callers less by waiting therefore
probe less often: those of a lower priority, and those that can only be late.
"""

from collections import defaultdict

from poplarlane.decisions.admission import queueing
from poplarlane.decisions.configuration.route_table import Route
from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.requests.entry_state import EntryState, Request
from poplarlane.types import Priority

# Intervals between two probe rounds of a queued request, as multiples of the shortest one. With a
# factor of 2 between priorities, an urgent request takes two of three slots that both wait for.
POLL_FACTORS = {Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 4}
# A request that can only be late has its deadline still, so it yields to all that can be in time.
LATE_FACTOR = 2


def mark_mixed_services(state: EntryState, routes: list[Route], customers: list[Customer]) -> None:
    """Mark the services that carry requests of several priorities, by route or by customer."""
    by_customer = {found.priority for found in customers if found.priority is not None}
    priorities: dict[str, set[Priority]] = defaultdict(set)
    for route in routes:
        for part in route.services:
            priorities[part.service].add(route.kind.priority)
            priorities[part.service] |= by_customer
    for name, service in state.services.items():
        service.has_mixed_priorities = len(priorities[name]) > 1


def poll_factor(request: Request, now: float) -> int:
    """Return how many of the shortest intervals lie between two probe rounds of a request."""
    if not request.service.has_mixed_priorities:
        return 1
    factor = POLL_FACTORS[request.priority]
    return factor if queueing.can_meet_soft_deadline(request, now) else factor * LATE_FACTOR
