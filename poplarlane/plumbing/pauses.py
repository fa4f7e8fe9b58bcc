"""Detection of pauses and halts, during which this process was stopped or its VM suspended."""

import time

# After a longer gap deadlines may have been missed; busy machines stay below it.
PAUSE_THRESHOLD_S = 1.5
# The loop takes a step every 0.1 s (SWEEP_INTERVAL_S in entry_shell.py), and a busy one is late by
# less than the rest.
HALT_THRESHOLD_S = 0.25


def clock() -> float:
    """Return seconds of a monotonic clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HaltDetector:
    """Detect halts: gaps between steps in which the event loop cannot have run as it should.

    Unlike a pause, a halt changes nothing but what is measured, so it may be short. Its clock is
    that of the events, which stands still while the VM is suspended.
    """

    __slots__ = ("stepped_at",)

    def __init__(self, now: float) -> None:
        self.stepped_at = now

    def step(self, now: float) -> float:
        """Record a step; return the seconds since the last one if that was a halt, else 0."""
        gap_s = now - self.stepped_at
        self.stepped_at = now
        return gap_s if gap_s > HALT_THRESHOLD_S else 0.0


class PauseDetector:
    """Detect pauses by the time between steps, which the process takes several times a second."""

    __slots__ = ("stepped_at",)

    def __init__(self) -> None:
        self.stepped_at = clock()

    def step(self) -> float:
        """Record a step; return the seconds since the last one if that was a pause, else 0."""
        now = clock()
        gap_s = now - self.stepped_at
        self.stepped_at = now
        return gap_s if gap_s > PAUSE_THRESHOLD_S else 0.0
