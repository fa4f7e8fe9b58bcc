"""Who waits in an entry for a target with room, in which order, and for how long.

Requests that can still be answered within their aim go first, the urgent kinds before others and
newer ones before older ones of a kind (adaptive LIFO, Facebook's "Fail at Scale"): under overload
the newest can be answered in time, while the oldest would miss their aim and push others past
theirs. A request whose aim is lost waits a little for a lull and is then refused as not run, while
its caller still has time to come back.
"""

from poplarlane.decisions import limits
from poplarlane.decisions.entry_state import Request, ServiceState

# Work varies by about a third around its mean.
SERVICE_TIME_MARGIN = 1.2
# Share of the time that a request has, after which it is refused when its aim is lost.
MIN_QUEUE_TIME_SHARE = 0.3
PRIORITY_ORDER = {name: index for index, name in enumerate(limits.PRIORITIES)}


def can_meet_soft_deadline(request: Request, now: float) -> bool:
    """Tell whether a request that starts now at the usual pace would be answered in time."""
    return now + request.service_time_s * SERVICE_TIME_MARGIN <= request.soft_deadline


def give_up_at(request: Request) -> float:
    """Give the instant at which a request that still waits is refused."""
    hopeless_at = request.soft_deadline - request.service_time_s * SERVICE_TIME_MARGIN
    patience_s = MIN_QUEUE_TIME_SHARE * (request.deadline - request.arrived_at)
    last_s = request.deadline - request.service_time_s
    return min(last_s, max(hopeless_at, request.arrived_at + patience_s))


def dispatch_order(service: ServiceState, now: float) -> list[Request]:
    """List the waiting requests in the order in which they are sent."""
    waiting = limits.queued_in_order(service.limits)
    # The sort is stable, so the priorities keep their order among equals.
    waiting.sort(key=lambda request: -request.arrived_at)
    waiting.sort(key=lambda request: PRIORITY_ORDER[request.priority])
    waiting.sort(key=lambda request: not can_meet_soft_deadline(request, now))
    return waiting
