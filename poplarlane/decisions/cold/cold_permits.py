"""This node's part of the requests that a cold target bears from all nodes together.

A target that has just started sustains a low rate and crashes well above it. One second is too
short for an exchange between nodes, so each sends by permits of its own, as for named rates.
"""

from poplarlane.decisions.choice import rate_limits
from poplarlane.types import TargetLoad, Tolerance

WINDOW_S = 1.0
OVERAGE = 1.5
SLACK = 8.0
# A longer time uses more of the permits, but leaves fewer of them: those that have not lapsed when
# a window begins may all be used in it.
PERMIT_VALID_S = 0.5


def cold_tolerance(overage: float = OVERAGE, slack: float = SLACK) -> Tolerance:
    """Return what cold targets bear in any one second."""
    return Tolerance(WINDOW_S, overage, slack, PERMIT_VALID_S)


def is_limited(load: TargetLoad, now: float) -> bool:
    """Return whether the target is cold and bears only a certain rate while it is."""
    found = load.statements
    return found.cold_until > now and found.cold_permits.rate_limit_per_s is not None


def has_permit(load: TargetLoad, now: float) -> bool:
    """Return whether this node may send a limited target a request now."""
    return next_permit_at(load, now) <= now


def next_permit_at(load: TargetLoad, now: float) -> float:
    """Return when a limited target may next be sent a request: by a permit, or once it is warm."""
    found = load.statements
    if found.is_cold_held:
        return found.cold_until
    permit_at = rate_limits.first_permit_at(found.cold_permits, now, PERMIT_VALID_S)
    return min(permit_at, found.cold_until)


def take_permit(load: TargetLoad, now: float) -> None:
    """Use a permit for a request that is being sent to a target, if it is limited."""
    if is_limited(load, now):
        rate_limits.use_permit(load.statements.cold_permits, now, PERMIT_VALID_S)


def all_limited(loads: list[TargetLoad], now: float) -> bool:
    """Return whether all of the targets are cold and limited."""
    return bool(loads) and all(is_limited(load, now) for load in loads)
