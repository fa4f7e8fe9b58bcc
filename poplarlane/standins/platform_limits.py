"""Rates, call counts and faults of the stand-in platform."""

import random
from collections import Counter
from typing import Any

import msgspec

CALLER_HEADER = "x-poplarlane-caller"


class TokenBucket:
    """Allow a rate per second with bursts of up to one second's worth."""

    __slots__ = ("rate", "tokens", "filled_at")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = float(rate)
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        self.tokens = min(self.rate, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class CallCounts:
    """Count calls per verb, object kind and caller."""

    __slots__ = ("total", "reads", "writes", "refused", "by_kind", "by_caller")

    def __init__(self) -> None:
        self.total = 0
        self.reads = 0
        self.writes = 0
        self.refused = 0
        self.by_kind: Counter[str] = Counter()
        self.by_caller: Counter[str] = Counter()

    def add(self, verb: str, kind: str, caller: str) -> None:
        """Count one call; a watch counts once however long it waits."""
        self.total += 1
        self.by_kind[f"{verb} {kind}".strip()] += 1
        self.by_caller[caller] += 1
        if verb == "put":
            self.writes += 1
        else:
            self.reads += 1

    def document(self) -> dict[str, Any]:
        """Show the counts."""
        return {
            "total": self.total,
            "reads": self.reads,
            "writes": self.writes,
            "refused": self.refused,
            "by_kind": dict(self.by_kind),
            "by_caller": dict(self.by_caller),
        }


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the faults in force; `lose_answers` is a share as a float, a count as an integer."""

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: int | float = 0
    stale_reads_ms: float = 0.0

    def lose_this_answer(self, generator: random.Random) -> bool:
        """Decide whether the answer to a write is lost; a count is used up."""
        if isinstance(self.lose_answers, float):
            return generator.random() < self.lose_answers
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return False
