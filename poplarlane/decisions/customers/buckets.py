"""Use of customers in the last window at the root of the fleet, and the shares that follow."""

import math

from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.customers.quota_messages import ListedCustomer, listed_customer
from poplarlane.decisions.customers.rates import DecayingRate, DemandWindow, WindowUse

# Use that is not known here yet: reports and digests take this long.
DELAY_S = 0.4
USE_RATE_S = 2.0
# A customer is not limited while this time at its demand is a few requests and not more than it
# has left: some requests that arrive together say little about the demand of a small customer.
CERTAIN_S = 0.6
# Part of the tolerance of the bound that may be used in normal operation, so that chance does not
# limit small customers; the rest is for the time until a surge is known everywhere.
CUSHION_SLACK_SHARE = 0.5
CUSHION_OVERAGE_SHARE = 0.05
# A share that falls by more than this is sent at once.
URGENT_FALL = 0.15
# The same for a share that rises, in absolute terms, after a surge has ended.
URGENT_RISE = 0.3
# A customer without use for this long needs no bucket.
IDLE_PER_S = 0.01


class Tolerance:
    """By how much the use in any window may exceed the quota."""

    __slots__ = ("window_s", "overage", "slack")

    def __init__(self, window_s: float, overage: float, slack: float) -> None:
        self.window_s = window_s
        self.overage = overage
        self.slack = slack

    def cushion(self, customer: Customer) -> float:
        """Return what a customer may use in a window beyond its rate and burst."""
        allowed = customer.rate_per_s * self.window_s + customer.burst
        return self.slack * CUSHION_SLACK_SHARE + allowed * self.overage * CUSHION_OVERAGE_SHARE


class Bucket:
    """Use of one customer; its tokens are negative after a surge that was known too late."""

    __slots__ = (
        "customer",
        "tolerance",
        "tokens",
        "window",
        "at",
        "demand",
        "use",
        "share",
        "limited_since",
    )

    def __init__(self, customer: Customer, tolerance: Tolerance, tokens: float, now: float) -> None:
        self.customer = customer
        self.tolerance = tolerance
        # What the next root starts from.
        self.tokens = min(tokens, customer.burst)
        self.window = WindowUse(tolerance.window_s)
        # The missing tokens count as used now: an earlier root knew when they were.
        self.window.add(customer.burst - self.tokens, now)
        self.at = now
        self.demand = DemandWindow(now)
        self.use = DecayingRate(now, USE_RATE_S)
        # The admitted share that the nodes were last told.
        self.share = 1.0
        # Since when the share is below 1; infinite in the past while it is not.
        self.limited_since = -math.inf

    def refill(self, customer: Customer, charged_per_s: float, now: float) -> None:
        """Add the tokens since the last call, less what silent nodes may have used.

        Their part of the burst is kept back for them as well.
        """
        gained = (customer.rate_per_s - charged_per_s) * max(0.0, now - self.at)
        part = max(0.0, 1.0 - charged_per_s / customer.rate_per_s)
        self.tokens = max(-customer.burst, min(customer.burst * part, self.tokens + gained))
        self.customer = customer
        self.at = now

    def charge(self, amount: float, now: float) -> None:
        """Take tokens for what was used or may have been."""
        self.tokens -= amount
        self.window.add(amount, now)

    def count(self, used: int, asked: int, now: float) -> None:
        """Take the tokens of admitted requests."""
        self.charge(used, now)
        self.use.add(used, now)
        self.demand.add(asked, now)

    def due_share(self, charged_per_s: float, now: float) -> float:
        """Return the share of arrivals to admit from now on.

        A customer may use its rate and its burst in each window. Spread evenly, that is more than
        its rate at any moment, and a surge is not served at first and refused afterwards.
        """
        demand_per_s = self.demand.per_s(now)
        if demand_per_s <= 0.0:
            return 1.0
        window_s, rate_per_s = self.tolerance.window_s, self.customer.rate_per_s
        # A burst beyond a second of the rate is for surges, not to be used in each window.
        burst = min(self.customer.burst, max(rate_per_s, self.tokens))
        part = max(0.0, 1.0 - charged_per_s / rate_per_s)
        limit = (rate_per_s * window_s + burst + self.tolerance.cushion(self.customer)) * part
        left = limit - self.window.total
        if demand_per_s * CERTAIN_S <= min(left, self.tolerance.slack):
            return 1.0
        excess_per_s = max(0.0, demand_per_s * self.share - limit / window_s)
        allowed_per_s = self.window.most_per_s(limit - excess_per_s * DELAY_S, now)
        return min(1.0, max(0.0, allowed_per_s / demand_per_s))

    def set_share(self, share: float, now: float) -> None:
        """Record the share that the nodes are told."""
        if share >= 1.0:
            self.limited_since = -math.inf
        elif self.share >= 1.0:
            self.limited_since = now
        self.share = share

    def listed(self, now: float) -> ListedCustomer:
        """Return the bucket as digests carry it."""
        return listed_customer(
            self.customer.name,
            self.share,
            self.tokens,
            self.use.value(now),
            self.demand.per_s(now),
        )
