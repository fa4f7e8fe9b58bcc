"""Base effects: what the reducer returns for a shell to execute."""


class Effect:
    """Base class of all effects."""

    __slots__ = ()


class Log(Effect):
    """Write one log line."""

    __slots__ = ("event", "level", "fields")

    def __init__(self, event: str, level: str, fields: dict[str, object]) -> None:
        self.event = event
        self.level = level
        self.fields = fields


class Count(Effect):
    """Add to a counter metric."""

    __slots__ = ("metric", "amount", "labels")

    def __init__(self, metric: str, amount: float, labels: dict[str, str]) -> None:
        self.metric = metric
        self.amount = amount
        self.labels = labels


class Observe(Effect):
    """Record a time in seconds in a histogram metric."""

    __slots__ = ("metric", "time_s", "labels")

    def __init__(self, metric: str, time_s: float, labels: dict[str, str]) -> None:
        self.metric = metric
        self.time_s = time_s
        self.labels = labels
