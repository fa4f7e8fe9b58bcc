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
RETRY_RESERVE = 10.0
# What a new process may use at once; all nodes of a large fleet may start together.
FIRST_TOKENS = 1.5
HEDGE_RESERVE = 4.0
MIN_HEDGE_DELAY_S = 0.001
# Weight of one request in the share of requests that need a repeat.
NEED_GAIN = 0.05
# From this share on, second copies leave the budget to repeats unless it is nearly full.
NEED_LIMIT = 0.03
NEARLY_FULL = 0.95


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

    `per_s` also fills it over time, from the instant `filled_at` on. `need` is the share of recent
    requests that needed a repeat, whether the budget allowed it or not.
    """

    __slots__ = ("ratio", "reserve", "tokens", "per_s", "filled_at", "is_timed", "need")

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve
        self.per_s = 0.0
        self.filled_at = 0.0
        self.is_timed = False
        self.need = 0.0


def retry_budget(ratio: float) -> Budget:
    """Create the retry budget of one service."""
    return Budget(ratio, RETRY_RESERVE)


def hedge_budget(ratio: float) -> Budget:
    """Create the hedge budget of one service."""
    return Budget(ratio, HEDGE_RESERVE)


def allow_over_time(budget: Budget, most: float, window_s: float, now: float) -> None:
    """Allow `most` extra requests in any window beside the ratio.

    Half of it may be saved up and half is filled in over the window, so no window exceeds it. In a
    large fleet half of an entry's part is less than one request, and one is saved up instead.
    """
    fill(budget, now)
    reserve = max(most / 2.0, min(1.0, most))
    if not budget.is_timed:
        budget.is_timed = True
        # A node that starts does not know the size of the fleet, nor what was used before.
        budget.tokens = min(reserve, FIRST_TOKENS)
    budget.reserve = reserve
    budget.per_s = (most - reserve) / window_s


def fill(budget: Budget, now: float) -> None:
    """Add what the time since the last filling allows."""
    if budget.per_s:
        grown = budget.tokens + (now - budget.filled_at) * budget.per_s
        budget.tokens = min(budget.reserve, grown)
    budget.filled_at = now


def observe_request(budget: Budget, attempt: int = 1) -> None:
    """Fill the budget for a request that arrived; later attempts of it do not count."""
    if attempt == 1:
        budget.tokens = min(budget.reserve, budget.tokens + budget.ratio)
        budget.need *= 1.0 - NEED_GAIN


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
    fill(budget, now)
    budget.need = min(1.0, budget.need + NEED_GAIN)
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
    fill(budget, now)
    yields = budget.need >= NEED_LIMIT and not is_urgent
    return budget.tokens >= max(1.0, NEARLY_FULL * budget.reserve if yields else 0.0)
