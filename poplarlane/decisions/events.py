"""Base class of the events that shells pass to the reducer.

`now` is the monotonic clock in seconds; `random_value` is 64 random bits from a seeded generator.
"""


class Event:
    """Base class of all events."""

    __slots__ = ("now",)

    def __init__(self, now: float) -> None:
        self.now = now
