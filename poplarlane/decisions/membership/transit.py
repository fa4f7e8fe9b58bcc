"""Delay of messages between nodes, from the steady clocks of both, which show different times.

Messages wait in sockets while a link is full or a partition lasts. One that states the age of
something would make it look newer than it is, so the time that it has waited is added.
"""

# Differences below this are the scheduling of processes and the precision of clocks.
LEAST_DELAY_S = 0.05


class Clock:
    """Least difference seen between the receiver's clock and that of one process of a sender."""

    __slots__ = ("process", "least_s")

    def __init__(self, process: int, least_s: float) -> None:
        self.process = process
        self.least_s = least_s


def delay_s(
    clocks: dict[str, Clock], sender: str, process: int, sent_at: float, now: float
) -> float:
    """Return how much longer than the fastest message of its sender a message was under way."""
    found_s = now - sent_at
    clock = clocks.get(sender)
    if clock is None or clock.process != process:
        # The clock of a VM starts anew with it.
        clocks[sender] = Clock(process, found_s)
        return 0.0
    clock.least_s = min(clock.least_s, found_s)
    waited_s = found_s - clock.least_s
    return waited_s if waited_s >= LEAST_DELAY_S else 0.0
