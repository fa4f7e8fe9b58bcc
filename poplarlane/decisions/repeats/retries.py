"""Limits on the extra requests that retries and hedges cause, also along a call chain.

Two headers are passed along a chain. `x-attempt` goes down: a retry or hedge is a later attempt,
which adds nothing to the budgets below and is not hedged again. `x-poplar-retried` goes up with a
refusal: a level below has already decided about a retry, whether the budget allowed it or not, so
no level above decides again. If denied retries were not marked as well, refusals that the exhausted
budget of one level did not retry would be retried by every level above it.
"""

from enum import IntEnum
from typing import Protocol

from poplarlane.outcomes import NotRun, RequestFailure

MAX_ATTEMPTS = 3
RETRY_CAPACITY = 10.0
# Tokens of a new process; kept low because all nodes of a large fleet may start together.
INITIAL_TOKENS = 1.5
HEDGE_CAPACITY = 4.0
MIN_HEDGE_DELAY_S = 0.001
# Weight of one request in the share of requests that need a retry.
RETRY_DEMAND_GAIN = 0.05
# From this share on, hedges leave the budget to retries unless the budget is nearly full.
RETRY_DEMAND_LIMIT = 0.03
NEARLY_FULL_SHARE = 0.95


class RetryDecision(IntEnum):
    """Whether to retry; after NO_BUDGET the refusal carries `x-poplar-retried: 1`."""

    NO = 0
    NO_BUDGET = 1
    RETRY = 2


class Retriable(Protocol):
    """What a retry decision needs of a request; `attempt` starts at 1.

    `retried_below` is true if a process further down the call chain already decided about a retry.
    """

    idempotent: bool
    attempt: int
    deadline: float
    retried_below: bool


class Budget:
    """Token bucket: each first attempt adds `ratio` tokens, each extra request takes one.

    `refill_per_s` also adds tokens over time, counted from the instant `refilled_at`.
    `retry_demand` is the share of recent requests that needed a retry, whether the budget allowed
    it or not.
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


def set_timed_refill(budget: Budget, limit: float, window_s: float, now: float) -> None:
    """Allow `limit` extra requests in any window, in addition to the ratio.

    Half of them may accumulate as tokens and half are refilled over the window, so no window
    exceeds it. In a large fleet half of an entry's share is less than one token, and the
    capacity is one token instead.
    """
    refill(budget, now)
    capacity = max(limit / 2.0, min(1.0, limit))
    if not budget.has_timed_refill:
        budget.has_timed_refill = True
        # A starting node knows neither the size of the fleet nor the tokens used before its start.
        budget.tokens = min(capacity, INITIAL_TOKENS)
    budget.capacity = capacity
    budget.refill_per_s = (limit - capacity) / window_s


def refill(budget: Budget, now: float) -> None:
    """Add the tokens for the time since the last refill."""
    if budget.refill_per_s:
        refilled = budget.tokens + (now - budget.refilled_at) * budget.refill_per_s
        budget.tokens = min(budget.capacity, refilled)
    budget.refilled_at = now


def observe_request(budget: Budget, attempt: int = 1) -> None:
    """Add the tokens for a request that arrived; later attempts of it add none."""
    if attempt == 1:
        budget.tokens = min(budget.capacity, budget.tokens + budget.ratio)
        budget.retry_demand *= 1.0 - RETRY_DEMAND_GAIN


def take(budget: Budget) -> bool:
    """Take a token for one extra request; return whether the budget allowed it."""
    if budget.ratio <= 0.0 or budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def decide_retry(
    budget: Budget, request: Retriable, outcome: RequestFailure, now: float
) -> RetryDecision:
    """Decide whether to retry a request, and take a token if so."""
    certain = isinstance(outcome, NotRun)
    if not (certain or request.idempotent):
        return RetryDecision.NO
    if request.retried_below or request.attempt >= MAX_ATTEMPTS or now >= request.deadline:
        return RetryDecision.NO
    refill(budget, now)
    budget.retry_demand = min(1.0, budget.retry_demand + RETRY_DEMAND_GAIN)
    return RetryDecision.RETRY if take(budget) else RetryDecision.NO_BUDGET


def may_retry(budget: Budget, request: Retriable, outcome: RequestFailure, now: float) -> bool:
    """Return whether `decide_retry` allows a retry."""
    return decide_retry(budget, request, outcome, now) is RetryDecision.RETRY


def hedge_delay_s(p95_s: float, trial: bool = False) -> float:
    """Return the time after which a read is hedged, from the p95 latency of its service.

    A read that serves as the trial of an avoided target is hedged almost immediately, so that the
    trial does not delay its caller.
    """
    return MIN_HEDGE_DELAY_S if trial else max(MIN_HEDGE_DELAY_S, p95_s)


def may_hedge(
    budget: Budget, request: Retriable, p95_s: float, now: float, is_urgent: bool = False
) -> bool:
    """Decide whether to hedge an outstanding read, and take a token if so."""
    if not request.idempotent or request.attempt > 1:
        return False
    if p95_s <= 0.0 or now >= request.deadline:
        return False
    return allows_hedge(budget, now, is_urgent) and take(budget)


def allows_hedge(budget: Budget, now: float, is_urgent: bool) -> bool:
    """Return whether the budget allows a hedge now.

    Retries take precedence: a retry turns a failure into a success, while a hedge that is not
    urgent only turns a late response into a timely one.
    """
    refill(budget, now)
    defers_to_retries = budget.retry_demand >= RETRY_DEMAND_LIMIT and not is_urgent
    return budget.tokens >= max(
        1.0, NEARLY_FULL_SHARE * budget.capacity if defers_to_retries else 0.0
    )
