"""This node's part of the request rates that targets name for all nodes together.

A node knows only its own requests, so each takes an equal part of a target's rate, as it does of
connections and probes. A part may be one request in a minute. The right to send one request (a
permit) therefore comes at even intervals with a random start and lapses soon: permits that idle
nodes saved up would allow the fleet a request per node at once, many times the rate.
"""

import math
from collections.abc import Iterable

from poplarlane.types import Permits, TargetLoad, Tolerance

# Targets count requests in windows of this length, in which they bear this multiple of their rate
# and a few requests more.
WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5.0
# A permit that was not used by then lapses.
PERMIT_VALID_S = 1.0
# Rates that targets name.
NAMED_RATES = Tolerance(WINDOW_S, TOLERANCE_RATIO, TOLERANCE_REQUESTS, PERMIT_VALID_S)
# A window of all nodes together stays this many standard deviations below what is borne.
DEVIATIONS = 4.5
# Lower rates count as this, so that a target that names 0 is tried again by some node.
MIN_RATE_PER_S = 0.05
# Bounds the interval between permits where next to nothing is borne.
MIN_SHARE = 0.001
RANDOM_RANGE = 1 << 32


def set_rate(
    found: Permits,
    rate_per_s: float,
    nodes: int,
    random_value: int,
    tolerance: Tolerance = NAMED_RATES,
) -> None:
    """Take a rate into force, or change it; the wait for the next permit is adapted."""
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    interval_s = nodes / (used_share(rate_per_s, nodes, tolerance) * rate_per_s)
    if found.rate_limit_per_s is None:
        # A random start spreads the permits of nodes that hear of the rate at the same time.
        found.next_permit_at = found.heard_at + interval_s * random_share(random_value)
    elif interval_s != found.permit_interval_s:
        wait_s = max(0.0, found.next_permit_at - found.heard_at)
        found.next_permit_at = found.heard_at + wait_s * interval_s / found.permit_interval_s
    found.rate_limit_per_s = rate_per_s
    found.permit_interval_s = interval_s


def used_share(rate_per_s: float, nodes: int, tolerance: Tolerance = NAMED_RATES) -> float:
    """Return the share of a rate that the nodes use together, at most 1.

    The permits of all nodes in a window are a sum of random numbers. Its variance is at most its
    mean, and at most a quarter per node, because each node's number varies by at most 1. So a few
    nodes can use a whole rate, and many nodes that share a low rate have to keep a distance.
    """
    window_s = tolerance.window_s
    borne = tolerance.ratio * rate_per_s * window_s + tolerance.requests
    root = (math.sqrt(DEVIATIONS * DEVIATIONS + 4.0 * borne) - DEVIATIONS) / 2.0
    most = max(root * root, borne - DEVIATIONS * math.sqrt(nodes / 4.0))
    # Permits that have not lapsed when the window begins are used in it too.
    share = most / (rate_per_s * (window_s + tolerance.permit_valid_s))
    return min(1.0, max(MIN_SHARE, share))


def random_share(random_value: int) -> float:
    """Return a number from 0 to 1 from 64 random bits."""
    return (random_value >> 16) % RANDOM_RANGE / RANDOM_RANGE


def next_permit_at(load: TargetLoad, now: float) -> float:
    """Return when the rate that the target named next allows a request; past means now."""
    return first_permit_at(load.statements, now, PERMIT_VALID_S)


def first_permit_at(found: Permits, now: float, valid_s: float) -> float:
    """Return the instant of the first permit that has not lapsed; past instants mean now."""
    if found.rate_limit_per_s is None:
        return now
    lapsed_s = now - valid_s - found.next_permit_at
    if lapsed_s > 0.0:
        found.next_permit_at += found.permit_interval_s * math.ceil(
            lapsed_s / found.permit_interval_s
        )
    return found.next_permit_at


def any_limited(loads: Iterable[TargetLoad]) -> bool:
    """Return whether one of the targets has named a rate."""
    return any(load.statements.rate_limit_per_s is not None for load in loads)


def has_permit(load: TargetLoad, now: float) -> bool:
    """Return whether this node may send the target a request now."""
    return load.statements.rate_limit_per_s is None or next_permit_at(load, now) <= now


def take_permit(load: TargetLoad, now: float) -> None:
    """Use a permit for a request that is being sent."""
    if load.statements.rate_limit_per_s is not None:
        use_permit(load.statements, now, PERMIT_VALID_S)


def use_permit(found: Permits, now: float, valid_s: float) -> None:
    """Use the first permit that has not lapsed."""
    found.next_permit_at = first_permit_at(found, now, valid_s) + found.permit_interval_s
