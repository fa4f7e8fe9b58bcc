"""How much time callers give a request at first, learned from the time left that requests state.

A caller that was refused, or whose connection failed, comes back with less time left than it had at
first, and its latency objective still counts from its first attempt. A request that has much less
time left than first attempts usually have is therefore already under way.
"""

# After a start the longest time left of this many requests stands for the first attempts: right
# after a loss of all nodes nearly all requests are repeated ones.
LEARNING_REQUESTS = 20
# Share of that longest time that first attempts are assumed to have at least.
INITIAL_SHARE = 0.8
# Later the estimate follows the quantile below which this share of all requests lies, so that
# callers with short deadlines of their own do not count as repeated, and one with a very long
# deadline changes nothing.
SHORT_SHARE = 0.05
# Step of the estimate per request, relative to it; an overload with many repeated requests has to
# last for dozens of requests to move it.
STEP_SHARE = 0.01


class CallerDeadlines:
    """What first attempts of one kind have left at least, in seconds."""

    __slots__ = ("first_s", "longest_s", "seen")

    def __init__(self) -> None:
        self.first_s = 0.0
        self.longest_s = 0.0
        self.seen = 0


def elapsed_s(deadlines: CallerDeadlines, left_s: float) -> float:
    """Return how long a request has been under way at least, and learn from it."""
    if deadlines.seen < LEARNING_REQUESTS:
        deadlines.seen += 1
        deadlines.longest_s = max(deadlines.longest_s, left_s)
        deadlines.first_s = INITIAL_SHARE * deadlines.longest_s
        return max(0.0, deadlines.first_s - left_s)
    elapsed = max(0.0, deadlines.first_s - left_s)
    direction = SHORT_SHARE - 1.0 if elapsed else SHORT_SHARE
    deadlines.first_s *= 1.0 + STEP_SHARE * direction
    return elapsed
