"""Slots, queue and ledger of the stand-in target.

Times in the ledger are seconds of CLOCK_MONOTONIC, which all processes of a machine share.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from statistics import NormalDist
from typing import Any

LOGNORMAL_SIGMA = 1.0
# The normal distribution has no quantile at 0.
SMALLEST_QUANTILE = 1e-12

ENDED_DONE = "done"
ENDED_FAILED = "failed"
ENDED_CANCELLED = "cancelled"
ENDED_EXPIRED = "expired"
RUNNING = "running"


class Execution:
    """Record one execution of a request."""

    __slots__ = (
        "attempt",
        "method",
        "path",
        "deadline_ms",
        "arrived_at",
        "started_at",
        "ended_at",
        "ended",
    )

    def __init__(self, method: str, path: str, headers: dict[str, str], arrived_at: float) -> None:
        self.method = method
        self.path = path
        self.attempt = headers.get("x-attempt", "")
        self.deadline_ms = int(headers.get("x-deadline-ms", "0"))
        self.arrived_at = arrived_at
        self.started_at = 0.0
        self.ended_at = 0.0
        self.ended = RUNNING

    def document(self) -> dict[str, Any]:
        """Show the execution."""
        return {name: getattr(self, name) for name in self.__slots__}


class Job:
    """Hold one piece of work that needs a slot; the callbacks run at most once in total."""

    __slots__ = (
        "service_s",
        "deadline",
        "on_start",
        "on_done",
        "on_expired",
        "timer",
        "deadline_timer",
        "running",
    )

    def __init__(
        self,
        service_s: Callable[[], float],
        deadline: float,
        on_start: Callable[[], None],
        on_done: Callable[[], None],
        on_expired: Callable[[bool], None],
    ) -> None:
        self.service_s = service_s
        self.deadline = deadline
        self.on_start = on_start
        self.on_done = on_done
        # Receives whether the job had started.
        self.on_expired = on_expired
        self.timer: asyncio.TimerHandle | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.running = False


class Slots:
    """Run jobs in a fixed number of slots, first come first served."""

    __slots__ = ("loop", "free", "total", "queue")

    def __init__(self, total: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.total = total
        self.free = total
        self.queue: deque[Job] = deque()

    @property
    def in_flight(self) -> int:
        """Count the running jobs."""
        return self.total - self.free

    def submit(self, job: Job) -> None:
        """Start a job or queue it."""
        if job.deadline < math.inf:
            job.deadline_timer = self.loop.call_at(job.deadline, self.expire, job)
        if self.free > 0:
            self.begin(job)
        else:
            self.queue.append(job)

    def begin(self, job: Job) -> None:
        """Give a job a free slot."""
        self.free -= 1
        job.running = True
        job.on_start()
        job.timer = self.loop.call_later(job.service_s(), self.finish, job)

    def finish(self, job: Job) -> None:
        """End a job after its service time."""
        self.release(job)
        job.on_done()

    def release(self, job: Job) -> None:
        """Free the slot of a job and start the next one."""
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        if job.timer is not None:
            job.timer.cancel()
        job.running = False
        self.free += 1
        if self.queue:
            self.begin(self.queue.popleft())

    def cancel(self, job: Job) -> bool:
        """End a job early; tells whether it was running."""
        if job.running:
            self.release(job)
            return True
        if job in self.queue:
            self.queue.remove(job)
        if job.deadline_timer is not None:
            job.deadline_timer.cancel()
        return False

    def expire(self, job: Job) -> None:
        """End a job whose deadline passed."""
        job.on_expired(self.cancel(job))


def deadline_of(headers: dict[str, str], received_at: float) -> float:
    """Turn the remaining milliseconds on the wire into an instant."""
    try:
        return received_at + int(headers["x-deadline-ms"]) / 1000
    except (KeyError, ValueError):
        return math.inf


def service_time_s(quantile: float, distribution: str, mean_s: float) -> float:
    """Give the quantile in [0, 1) of a service time with the given mean."""
    match distribution:
        case "fixed":
            return mean_s
        case "lognormal":
            normal = NormalDist(-(LOGNORMAL_SIGMA**2) / 2, LOGNORMAL_SIGMA)
            return mean_s * math.exp(normal.inv_cdf(max(quantile, SMALLEST_QUANTILE)))
        case _:
            return -math.log(1.0 - quantile) * mean_s
