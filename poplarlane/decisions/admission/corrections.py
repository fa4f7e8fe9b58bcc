"""Requests that are admitted although an estimate says that they cannot be answered in time.

An estimate that refuses every request of a kind gets no response that could lower it again. A kind
is shut out only if the estimate exceeds what callers give a request at first; a request that is
refused because its own time is short says nothing about the others.
"""

from poplarlane.decisions.requests.entry_state import Request, ServiceState

# Interval between such requests of one kind at one node. In a large fleet it grows so that the
# targets get about one of them in this time from all nodes.
CORRECTION_INTERVAL_S = 1.0
# Share of the time left that the admitted request is taken to need.
ASSUMED_SHARE = 0.5


def admit_against_estimate(service: ServiceState, request: Request, now: float) -> bool:
    """Admit a request now and then whose kind the estimate of its service time shuts out."""
    kind = request.kind
    left_s = request.deadline - now
    if request.service_time_s <= first_left_s(service, request) or left_s <= 0.0:
        return False
    if now < service.next_correction_at.get(kind.name, now):
        return False
    spread = max(1.0, service.limits.entries / max(1, len(service.limits.loads)))
    service.next_correction_at[kind.name] = now + CORRECTION_INTERVAL_S * spread
    request.corrects_estimate = True
    request.service_time_s = ASSUMED_SHARE * left_s
    return True


def first_left_s(service: ServiceState, request: Request) -> float:
    """Return the time that first attempts of a kind usually have."""
    timeout_s = request.kind.deadline_ms / 1000.0
    known = service.caller_deadlines.get(request.kind.name)
    return min(timeout_s, known.first_s) if known is not None and known.first_s else timeout_s
