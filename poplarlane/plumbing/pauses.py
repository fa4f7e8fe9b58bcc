"""Notice that this process did not run for a while."""

import time

# A process that did not run for this long may have missed deadlines; busy machines stay below.
PAUSE_THRESHOLD_S = 1.5


def clock() -> float:
    """Give seconds of a clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Measure the time between steps of a process that takes one several times a second."""

    __slots__ = ("stepped_at",)

    def __init__(self) -> None:
        self.stepped_at = clock()

    def step(self) -> float:
        """Note a step; give the seconds since the last one when that was a pause, else 0."""
        now = clock()
        gap_s = now - self.stepped_at
        self.stepped_at = now
        return gap_s if gap_s > PAUSE_THRESHOLD_S else 0.0
