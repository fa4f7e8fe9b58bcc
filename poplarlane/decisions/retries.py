"""Bound the extra requests that retries and hedges cause."""

from typing import Protocol

from poplarlane.outcomes import NotRun, Refusal

MAX_ATTEMPTS = 3
RETRY_RESERVE = 10.0
HEDGE_RESERVE = 4.0
MIN_HEDGE_DELAY_S = 0.001


class Retriable(Protocol):
    """Say what a retry decision needs of a request; `attempt` starts at 1.

    `retried_below` is true when a process lower in the call chain already retried it.
    """

    idempotent: bool
    attempt: int
    deadline: float
    retried_below: bool


class Budget:
    """Hold a budget that each first attempt fills by a ratio and each extra request uses."""

    __slots__ = ("ratio", "reserve", "tokens")

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve


def retry_budget(ratio: float) -> Budget:
    """Create the retry budget of one service."""
    return Budget(ratio, RETRY_RESERVE)


def hedge_budget(ratio: float) -> Budget:
    """Create the hedge budget of one service."""
    return Budget(ratio, HEDGE_RESERVE)


def observe_request(budget: Budget) -> None:
    """Fill the budget for one first attempt."""
    budget.tokens = min(budget.reserve, budget.tokens + budget.ratio)


def take(budget: Budget) -> bool:
    """Use the budget for one extra request when it allows one."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def may_retry(budget: Budget, request: Retriable, outcome: Refusal, now: float) -> bool:
    """Decide whether to send a request again, and use the budget if so."""
    certain = isinstance(outcome, NotRun)
    if not (certain or request.idempotent):
        return False
    if request.retried_below or request.attempt >= MAX_ATTEMPTS or now >= request.deadline:
        return False
    return take(budget)


def hedge_delay_s(p95_s: float) -> float:
    """Give the time after which a read is hedged, from the p95 of its service."""
    return max(MIN_HEDGE_DELAY_S, p95_s)


def may_hedge(budget: Budget, request: Retriable, p95_s: float, now: float) -> bool:
    """Decide whether to hedge an outstanding read, and use the budget if so."""
    if not request.idempotent or p95_s <= 0.0 or now + p95_s >= request.deadline:
        return False
    return take(budget)
