"""Rejections by targets that have free slots.

A target may reject part of its requests whatever its load. Pausing it after each rejection leaves
its slots unused and crowds the other targets, and a caller that is told to wait loses the time in
which it could be served. Such rejections say nothing about load, so neither is done.
"""

from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.decisions.requests.entry_state import ServiceState, next_random_value

# Callers return between MIN_RETURN_S and MIN_RETURN_S + RETURN_SPREAD_S later, spread so that those
# refused together do not meet again.
MIN_RETURN_S = 0.02
RETURN_SPREAD_S = 0.06


def has_free_slots(service: ServiceState, metadata: ResponseMetadata) -> bool:
    """Return whether a target reports free slots in a response that rejects a request."""
    if not service.has_mixed_priorities or metadata.running is None:
        return False
    return metadata.running + metadata.waiting < service.limits.slots_per_target


def return_after_s(request_id: int) -> float:
    """Return when a caller may repeat a request that such a target rejected."""
    share = ((next_random_value(request_id) >> 16) & 0xFFF) / 4096.0
    return MIN_RETURN_S + RETURN_SPREAD_S * share
