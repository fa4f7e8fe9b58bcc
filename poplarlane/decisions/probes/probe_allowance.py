"""Rate limit of the probes that an entry sends."""


class ProbeTokenBucket:
    """Token bucket for probes; the rate per target is divided by the entries of the fleet."""

    __slots__ = ("rate_per_s", "tokens", "refilled_at")

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.tokens = 0.0
        self.refilled_at = 0.0

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate; the bucket holds at most one second's worth of tokens."""
        self.refill(now)
        if self.rate_per_s == 0.0:
            self.tokens = rate_per_s
        self.rate_per_s = rate_per_s

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        self.tokens = min(self.rate_per_s, self.tokens + (now - self.refilled_at) * self.rate_per_s)
        self.refilled_at = now

    def take(self, most: int, now: float) -> int:
        """Take tokens for up to `most` probes and return how many were taken."""
        self.refill(now)
        taken = max(0, min(most, int(self.tokens)))
        self.tokens -= taken
        return taken
