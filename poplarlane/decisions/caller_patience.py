"""How long callers wait in total, learned from the time that their requests say is left.

A caller that was refused, or whose connection failed, comes back with less time left than it had at
first, and its latency objective still counts from its first attempt. A request that has much less
time left than first attempts usually have is therefore already under way.
"""

import math

# Decay time of the longest time left that was seen, so that shorter deadlines are recognised.
LONGEST_MEMORY_S = 60.0
# Share of the longest time left that first attempts are assumed to have at least, at first.
INITIAL_SHARE = 0.8
# First attempts with less time left than the estimate are to be this share of all requests.
SHORT_SHARE = 0.05
# Steps of the estimate, as a share of the longest time left: small, because nearly all requests
# after a loss of all nodes are repeated ones.
STEP_SHARE = 0.01


class CallerPatience:
    """Longest time left seen, and what first attempts have left at least, in seconds."""

    __slots__ = ("longest_s", "first_s", "seen_at")

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.first_s = 0.0
        self.seen_at = 0.0


def elapsed_s(patience: CallerPatience, left_s: float, now: float) -> float:
    """Return how long a request has been under way at least, and learn from it."""
    kept = math.exp(min(0.0, patience.seen_at - now) / LONGEST_MEMORY_S)
    longest_s = max(left_s, patience.longest_s * kept)
    patience.seen_at = now
    # The estimate stays the same share of the longest time left.
    first_s = patience.first_s * longest_s / patience.longest_s if patience.longest_s else 0.0
    first_s = first_s or INITIAL_SHARE * longest_s
    patience.longest_s = longest_s
    elapsed = max(0.0, first_s - left_s)
    step_s = STEP_SHARE * longest_s
    first_s += step_s * (SHORT_SHARE - 1.0 if left_s < first_s else SHORT_SHARE)
    patience.first_s = min(longest_s, max(0.0, first_s))
    return elapsed
