"""Order and maximum waiting time of the requests queued for a target with capacity.

Requests that can still meet their soft deadline go first, by priority, and within a priority newer
ones go before older ones (adaptive LIFO, Facebook's "Fail at Scale"): under overload the newest can
be answered in time, while the oldest would miss their soft deadline and make others miss theirs. A
request that can no longer meet it stays queued a little in case load drops, and is then refused as
not run while its caller still has time to retry.
"""

from poplarlane.decisions.admission import limits
from poplarlane.decisions.requests.entry_state import Request, ServiceState

# Service times vary by about a third around their mean.
SERVICE_TIME_MARGIN = 1.2
# A queued request is refused after this share of the time to its deadline, or later, once it can
# no longer meet its soft deadline.
MIN_QUEUE_TIME_SHARE = 0.3
PRIORITY_ORDER = {name: index for index, name in enumerate(limits.PRIORITIES)}


def can_meet_soft_deadline(request: Request, now: float) -> bool:
    """Return whether a request that starts now at normal speed would meet its soft deadline."""
    return now + request.service_time_s * SERVICE_TIME_MARGIN <= request.soft_deadline


def give_up_at(request: Request) -> float:
    """Return the instant at which a request that is still queued is refused."""
    soft_deadline_missed_at = request.soft_deadline - request.service_time_s * SERVICE_TIME_MARGIN
    min_queue_time_s = MIN_QUEUE_TIME_SHARE * (request.deadline - request.arrived_at)
    latest = request.deadline - request.service_time_s
    return min(latest, max(soft_deadline_missed_at, request.arrived_at + min_queue_time_s))


def dispatch_order(service: ServiceState, now: float) -> list[Request]:
    """Return the queued requests in the order in which they are sent."""
    queued = limits.queued_in_order(service.limits)
    # The sorts are stable, so the key sorted by last takes precedence.
    queued.sort(key=lambda request: -request.arrived_at)
    queued.sort(key=lambda request: PRIORITY_ORDER[request.priority])
    queued.sort(key=lambda request: not can_meet_soft_deadline(request, now))
    return queued
