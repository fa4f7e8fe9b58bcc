"""Bound the extra requests that retries and hedges cause, also along a chain of calls.

Two markers travel along a chain. `x-attempt` goes down: a retry or hedge is a later attempt, which
fills no budget below and is not hedged again. `x-poplar-retried` goes up with a refusal: somebody
below has already decided about a retry, whether the budget allowed it or not, so nobody above
decides again. Without the second half of that rule, refusals that the exhausted budget of one
level did not retry would be retried by every level above it.
"""

from enum import IntEnum
from typing import Protocol

from poplarlane.outcomes import NotRun, RequestFailure

MAX_ATTEMPTS = 3
RETRY_CAPACITY = 10.0
# What a new process may use at once; all nodes of a large fleet may start together.
INITIAL_TOKENS = 1.5
HEDGE_CAPACITY = 4.0
MIN_HEDGE_DELAY_S = 0.001
# Weight of one request in the share of requests that need a repeat.
RETRY_DEMAND_GAIN = 0.05
# From this share on, second copies leave the budget to repeats unless it is nearly full.
RETRY_DEMAND_LIMIT = 0.03
NEARLY_FULL_SHARE = 0.95


class RetryDecision(IntEnum):
    """Say whether to retry; after NO_BUDGET the refusal carries `x-poplar-retried: 1`."""

    NO = 0
    NO_BUDGET = 1
    RETRY = 2


class Retriable(Protocol):
    """Say what a retry decision needs of a request; `attempt` starts at 1.

    `retried_below` is true when a process lower in the call chain already decided about a retry.
    """

    idempotent: bool
    attempt: int
    deadline: float
    retried_below: bool


class Budget:
    """Hold a budget that each first attempt fills by a ratio and each extra request uses.

    `refill_per_s` also fills it over time, from the instant `refilled_at` on. `need` is the share of recent
    requests that needed a repeat, whether the budget allowed it or not.
    """

    __slots__ = (
        "ratio",
        "capacity",
        "tokens",
        "refill_per_s",
        "refilled_at",
        "has_timed_refill",
        "retry_demand",
    )

    def __init__(self, ratio: float, capacity: float) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity
        self.refill_per_s = 0.0
        self.refilled_at = 0.0
        self.has_timed_refill = False
        self.retry_demand = 0.0


def retry_budget(ratio: float) -> Budget:
    """Create the retry budget of one service."""
    return Budget(ratio, RETRY_CAPACITY)


def hedge_budget(ratio: float) -> Budget:
    """Create the hedge budget of one service."""
    return Budget(ratio, HEDGE_CAPACITY)


def set_timed_refill(budget: Budget, most: float, window_s: float, now: float) -> None:
    """Allow `most` extra requests in any window beside the ratio.

    Half of it may be saved up and half is filled in over the window, so no window exceeds it. In a
    large fleet half of an entry's part is less than one request, and one is saved up instead.
    """
    refill(budget, now)
    capacity = max(most / 2.0, min(1.0, most))
    if not budget.has_timed_refill:
        budget.has_timed_refill = True
        # A node that starts does not know the size of the fleet, nor what was used before.
        budget.tokens = min(capacity, INITIAL_TOKENS)
    budget.capacity = capacity
    budget.refill_per_s = (most - capacity) / window_s


def refill(budget: Budget, now: float) -> None:
    """Add what the time since the last filling allows."""
    if budget.refill_per_s:
        grown = budget.tokens + (now - budget.refilled_at) * budget.refill_per_s
        budget.tokens = min(budget.capacity, grown)
    budget.refilled_at = now


def observe_request(budget: Budget, attempt: int = 1) -> None:
    """Fill the budget for a request that arrived; later attempts of it do not count."""
    if attempt == 1:
        budget.tokens = min(budget.capacity, budget.tokens + budget.ratio)
        budget.retry_demand *= 1.0 - RETRY_DEMAND_GAIN


def take(budget: Budget) -> bool:
    """Use the budget for one extra request when it allows one."""
    if budget.ratio <= 0.0 or budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def decide_retry(
    budget: Budget, request: Retriable, outcome: RequestFailure, now: float
) -> RetryDecision:
    """Decide whether to send a request again, and use the budget if so."""
    certain = isinstance(outcome, NotRun)
    if not (certain or request.idempotent):
        return RetryDecision.NO
    if request.retried_below or request.attempt >= MAX_ATTEMPTS or now >= request.deadline:
        return RetryDecision.NO
    refill(budget, now)
    budget.retry_demand = min(1.0, budget.retry_demand + RETRY_DEMAND_GAIN)
    return RetryDecision.RETRY if take(budget) else RetryDecision.NO_BUDGET


def may_retry(budget: Budget, request: Retriable, outcome: RequestFailure, now: float) -> bool:
    """Tell whether `decide_retry` allows a retry."""
    return decide_retry(budget, request, outcome, now) is RetryDecision.RETRY


def hedge_delay_s(p95_s: float, trial: bool = False) -> float:
    """Give the time after which a read is hedged, from the p95 of its service.

    A read that serves as the trial of an avoided target is hedged almost at once, so that the
    trial costs its caller nothing.
    """
    return MIN_HEDGE_DELAY_S if trial else max(MIN_HEDGE_DELAY_S, p95_s)


def may_hedge(
    budget: Budget, request: Retriable, p95_s: float, now: float, is_urgent: bool = False
) -> bool:
    """Decide whether to hedge an outstanding read, and use the budget if so."""
    if not request.idempotent or request.attempt > 1:
        return False
    if p95_s <= 0.0 or now >= request.deadline:
        return False
    return allows_hedge(budget, now, is_urgent) and take(budget)


def allows_hedge(budget: Budget, now: float, is_urgent: bool) -> bool:
    """Tell whether the budget has something for a second copy now.

    A repeat turns a failure into an answer, a second copy only a late answer into a timely one,
    unless it is urgent.
    """
    refill(budget, now)
    yields = budget.retry_demand >= RETRY_DEMAND_LIMIT and not is_urgent
    return budget.tokens >= max(1.0, NEARLY_FULL_SHARE * budget.capacity if yields else 0.0)
