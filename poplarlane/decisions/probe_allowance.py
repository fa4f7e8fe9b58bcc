"""A rate of probes that an entry may send."""


class ProbeAllowance:
    """Bound the probes of this entry: a rate per target, divided by the entries of the fleet."""

    __slots__ = ("per_s", "tokens", "at")

    def __init__(self) -> None:
        self.per_s = 0.0
        self.tokens = 0.0
        self.at = 0.0

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate; at most one second's worth is saved up."""
        self.refill(now)
        if self.per_s == 0.0:
            self.tokens = per_s
        self.per_s = per_s

    def refill(self, now: float) -> None:
        """Add what the time since the last refill allows."""
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s)
        self.at = now

    def take(self, most: int, now: float) -> int:
        """Take up to `most` probes."""
        self.refill(now)
        taken = max(0, min(most, int(self.tokens)))
        self.tokens -= taken
        return taken
