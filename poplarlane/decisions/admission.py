"""Admission by what can still be answered in time, and when a refused caller should return."""

from poplarlane.decisions import limits
from poplarlane.decisions.entry_state import Request, ServiceState, next_draw
from poplarlane.outcomes import NotRun, ResultCode

# Callers that were refused together come back spread over this range.
RETRY_AFTER_S = 0.15
RETRY_AFTER_SPREAD_S = 0.3


def retry_after_s(draw: int) -> float:
    """Give when a refused caller should come back, spread by random bits."""
    return RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * ((draw >> 16) & 0xFFF) / 4096.0


def request_retry_after_s(request: Request) -> float:
    """Give when the caller of a refused request should come back.

    Request numbers are small; the draw that follows from one has all its bits mixed.
    """
    return retry_after_s(next_draw(request.request_id))


def admit(service: ServiceState, request: Request, now: float) -> limits.Admit | NotRun:
    """Refuse a request whose work does not fit into the time that it has."""
    if now + request.service_time_s > request.deadline:
        after_s = request_retry_after_s(request)
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the deadline cannot be met", 503, after_s)
    return limits.ADMIT
