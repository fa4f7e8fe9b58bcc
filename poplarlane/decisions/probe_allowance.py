"""A rate of probes that an entry may send."""


class ProbeTokenBucket:
    """Bound the probes of this entry: a rate per target, divided by the entries of the fleet."""

    __slots__ = ("rate_per_s", "tokens", "refilled_at")

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.tokens = 0.0
        self.refilled_at = 0.0

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; at most one second's worth is saved up."""
        self.refill(now)
        if self.rate_per_s == 0.0:
            self.tokens = rate_per_s
        self.rate_per_s = rate_per_s

    def refill(self, now: float) -> None:
        """Add what the time since the last refill allows."""
        self.tokens = min(self.rate_per_s, self.tokens + (now - self.refilled_at) * self.rate_per_s)
        self.refilled_at = now

    def take(self, most: int, now: float) -> int:
        """Take up to `most` probes."""
        self.refill(now)
        taken = max(0, min(most, int(self.tokens)))
        self.tokens -= taken
        return taken
