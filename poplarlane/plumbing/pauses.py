"""Detection of pauses, during which this process was stopped or its VM suspended."""

import time

# After a longer gap deadlines may have been missed; busy machines stay below it.
PAUSE_THRESHOLD_S = 1.5


def clock() -> float:
    """Return seconds of a monotonic clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
