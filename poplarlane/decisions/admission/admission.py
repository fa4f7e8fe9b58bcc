"""Admission control by deadline, and the retry-after time of refused requests."""

from functools import singledispatch

from poplarlane.decisions.admission import corrections, limits
from poplarlane.decisions.choice.policies import Measured, Policy
from poplarlane.decisions.requests.entry_state import Request, ServiceState, next_random_value
from poplarlane.outcomes import NotRun, ResultCode

# Retry-after times lie between RETRY_AFTER_S and RETRY_AFTER_S + RETRY_AFTER_SPREAD_S, so that
# callers refused together do not retry together.
RETRY_AFTER_S = 0.15
RETRY_AFTER_SPREAD_S = 0.3


def retry_after_s(random_value: int) -> float:
    """Return a retry-after time with random jitter."""
    return RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * ((random_value >> 16) & 0xFFF) / 4096.0


def request_retry_after_s(request: Request) -> float:
    """Return the retry-after time of a refused request.

    Request ids are small integers, so they are mixed into 64 random bits first.
    """
    return retry_after_s(next_random_value(request.request_id))


@singledispatch
def admit(
    policy: Policy, service: ServiceState, request: Request, now: float
) -> limits.Admit | limits.Queue | NotRun:
    """Decide whether to send, queue or refuse a request that arrived."""
    return limits.admit(service.limits, request, now)


@admit.register
def _(
    policy: Measured, service: ServiceState, request: Request, now: float
) -> limits.Admit | limits.Queue | NotRun:
    # Whether a target has capacity is known only after its probe.
    is_unmeetable = now + request.service_time_s > request.deadline
    if is_unmeetable and not corrections.admit_against_estimate(service, request, now):
        after_s = request_retry_after_s(request)
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the deadline cannot be met", 503, after_s)
    return limits.ADMIT
