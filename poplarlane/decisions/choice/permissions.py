"""When the statements of a target let this node send it a request."""

import math
from collections.abc import Iterable

from poplarlane.decisions.choice.rate_limits import has_permit, next_permit_at
from poplarlane.decisions.cold import cold_permits
from poplarlane.types import TargetLoad


def may_send(load: TargetLoad, now: float) -> bool:
    """Return whether this node may send the target a request now."""
    found = load.statements
    if found.paused_until > now or (found.is_returning and load.outstanding):
        return False
    if found.cold_until > now and cold_permits.is_limited(load, now):
        return cold_permits.has_permit(load, now) and has_permit(load, now)
    # Few targets name a rate; this runs for each target of a service several times a request.
    return found.rate_limit_per_s is None or has_permit(load, now)


def next_send_at(load: TargetLoad, now: float) -> float:
    """Return the earliest instant at which the target may be sent a request; past means now."""
    at = max(load.statements.paused_until, next_permit_at(load, now))
    if load.statements.cold_until > now and cold_permits.is_limited(load, now):
        return max(at, cold_permits.next_permit_at(load, now))
    return at


def first_send_at(loads: Iterable[TargetLoad], now: float) -> float:
    """Return the earliest instant at which one of the targets may be sent a request."""
    return min((next_send_at(load, now) for load in loads), default=now)


def are_paused(loads: Iterable[TargetLoad], now: float) -> bool:
    """Return whether all of the targets have turned this node away for a time."""
    return min((load.statements.paused_until for load in loads), default=-math.inf) > now
