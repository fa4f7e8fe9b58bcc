"""Events that shells feed to the reducer.

`now` is seconds of the monotonic clock; `draw` is 64 random bits from a seeded generator.
"""


class Event:
    """Base class of all events."""

    __slots__ = ("now",)

    def __init__(self, now: float) -> None:
        self.now = now
