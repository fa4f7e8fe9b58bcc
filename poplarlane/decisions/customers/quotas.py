"""Admission of customers' requests at one node, by the shares of the last digest.

A node without a digest admits from a local bucket of one request.
"""

import math

from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.customers.quota_messages import ListedCustomer
from poplarlane.decisions.customers.rates import DecayingRate
from poplarlane.outcomes import NotRun, ResultCode

TOO_MANY_REQUESTS = 429
# Time over which a node averages a customer's arrivals, which bounds what it admits while it is
# isolated, and between two digests.
OWN_DEMAND_S = 5.0
ISOLATED_SHARE = 0.9
# Between two digests a node admits this multiple of what usually arrives or of its part of the
# quota, whichever is more, and some requests. Chance seldom exceeds it.
DEMAND_MULTIPLE = 2.0
PART_MULTIPLE = 1.25
FEW_REQUESTS = 2.0
# Part of the burst that all nodes together may admit in addition to that.
BURST_SHARE = 0.15
# Usual time from the making of one digest until the next has arrived.
DIGEST_AGE_S = 0.5
# By then the next digest has usually arrived, also if it takes 0.4 s.
LATE_DIGEST_S = 0.65
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 5.0
CAUSES = ("share", "local", "isolated")


class Usage:
    """What one node has seen of a customer, and the share of its requests to admit."""

    __slots__ = (
        "share",
        "late_share",
        "tokens",
        "credit",
        "demand",
        "usual_per_s",
        "since_digest",
        "local_tokens",
        "local_at",
        "used",
        "asked",
        "refused",
        "limited_at",
        "is_limited",
    )

    def __init__(self, now: float, random_value: int) -> None:
        self.share = 1.0
        # The share that keeps the customer at its rate, when the tokens may have been used up.
        self.late_share = 1.0
        # Tokens at the root, as of the last digest.
        self.tokens = 0.0
        # Sum of the shares of arrivals since the last admission; random, so that nodes with few
        # requests do not all admit or refuse their first one.
        self.credit = (random_value & 0xFFFF) / 65_536.0
        self.demand = DecayingRate(now, OWN_DEMAND_S)
        # Arrivals per second as of the last digest.
        self.usual_per_s = 0.0
        # Requests admitted since the last digest.
        self.since_digest = 0
        self.local_tokens = (random_value >> 16 & 0xFFFF) / 65_536.0
        self.local_at = now
        self.used = 0
        self.asked = 0
        self.refused = dict.fromkeys(CAUSES, 0)
        # When a digest last limited the customer, and whether that was logged.
        self.limited_at = -math.inf
        self.is_limited = False


class Circumstances:
    """What admission at a node depends on; `age_s` counts from the making of the last digest."""

    __slots__ = ("is_isolated", "is_alone", "nodes", "age_s")

    def __init__(self, is_isolated: bool, is_alone: bool, nodes: int, age_s: float) -> None:
        self.is_isolated = is_isolated
        # Whether the node belongs to no exchange, so that no digest can be expected.
        self.is_alone = is_alone
        self.nodes = nodes
        self.age_s = age_s


def admit(
    usage: Usage, customer: Customer, around: Circumstances, random_value: int, now: float
) -> NotRun | None:
    """Admit a request and count it, or return its refusal."""
    usage.asked += 1
    usage.demand.add(1, now)
    refusal = None
    if around.is_isolated:
        refusal = isolated_refusal(usage, customer, around, random_value, now)
    else:
        refusal = connected_refusal(usage, customer, around, random_value)
    if refusal is None:
        usage.used += 1
        usage.since_digest += 1
    return refusal


def connected_refusal(
    usage: Usage, customer: Customer, around: Circumstances, random_value: int
) -> NotRun | None:
    """Admit by the share of the last digest, and no more than the node may before the next."""
    share = current_share(usage, around)
    if share < 1.0:
        refusal = share_refusal(usage, customer, share, random_value)
        if refusal is not None:
            return refusal
    if usage.since_digest >= local_limit(usage, customer, around):
        return refuse(usage, "local", MIN_RETRY_AFTER_S, random_value)
    return None


def current_share(usage: Usage, around: Circumstances) -> float:
    """Return the share to admit; while the next digest is late, tokens may be used up."""
    return usage.share if around.age_s <= LATE_DIGEST_S else usage.late_share


def share_refusal(
    usage: Usage, customer: Customer, share: float, random_value: int
) -> NotRun | None:
    """Admit the share of a limited customer's requests by error diffusion."""
    usage.credit += share
    if usage.credit >= 1.0:
        usage.credit -= 1.0
        return None
    deficit_s = max(0.0, -usage.tokens / customer.rate_per_s)
    # Of the callers that are refused now, the share that comes back first is admitted.
    repeats_s = MIN_RETRY_AFTER_S / max(share, MIN_RETRY_AFTER_S / MAX_RETRY_AFTER_S)
    return refuse(usage, "share", deficit_s + repeats_s, random_value)


def isolated_refusal(
    usage: Usage, customer: Customer, around: Circumstances, random_value: int, now: float
) -> NotRun | None:
    """Admit requests from the local bucket of a node that hears of no other.

    Its rate is the admitted share of what arrived before, at least the node's part of the quota.
    """
    part_per_s = customer.rate_per_s / max(1, around.nodes)
    rate_per_s, capacity = part_per_s, 1.0
    if around.is_alone:
        capacity = max(1.0, customer.burst / max(1, around.nodes))
    else:
        rate_per_s = max(part_per_s, ISOLATED_SHARE * usage.share * usage.usual_per_s)
    gained = rate_per_s * max(0.0, now - usage.local_at)
    usage.local_tokens = min(capacity, usage.local_tokens + gained)
    usage.local_at = now
    if usage.local_tokens >= 1.0:
        usage.local_tokens -= 1.0
        return None
    wait_s = (1.0 - usage.local_tokens) / rate_per_s
    return refuse(usage, "isolated", wait_s, random_value)


def local_limit(usage: Usage, customer: Customer, around: Circumstances) -> float:
    """Return how many requests the node may admit before the next digest."""
    part = 1.0 / max(1, around.nodes)
    rate_per_s = max(
        DEMAND_MULTIPLE * usage.usual_per_s, PART_MULTIPLE * part * customer.rate_per_s
    )
    extra = max(FEW_REQUESTS, BURST_SHARE * part * customer.burst)
    return extra + rate_per_s * max(DIGEST_AGE_S, around.age_s)


def refuse(usage: Usage, cause: str, wait_s: float, random_value: int) -> NotRun:
    """Refuse a request; the times to come back are spread over a factor of two."""
    usage.refused[cause] += 1
    spread = 1.0 + (random_value >> 32 & 0xFFF) / 4_096.0
    after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)) * spread
    detail = f"the customer's quota is used up ({cause})"
    return NotRun(ResultCode.QUOTA_EXCEEDED, detail, TOO_MANY_REQUESTS, after_s)


def adopt(usage: Usage, item: ListedCustomer | None, customer: Customer | None) -> None:
    """Take the share and tokens of a digest; a customer that it does not list is not limited."""
    usage.share = usage.late_share = 1.0
    usage.tokens = 0.0
    if item is not None and customer is not None:
        usage.share, usage.tokens = item.share, item.tokens
        sustained = customer.rate_per_s / max(customer.rate_per_s, item.demand_per_s, 1e-9)
        usage.late_share = min(item.share, sustained)


def credit_back(usage: Usage) -> None:
    """Take back the count of an admitted request that never ran."""
    usage.used -= 1
    usage.since_digest = max(0, usage.since_digest - 1)
    # The next admission limits them to the capacity, which depends on its circumstances.
    usage.local_tokens += 1.0
