"""Targets of the model: slots, a queue, neighbours that slow a VM, crowding and cold start."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

PACE_INTERVAL_S = 0.15
COLD_S = 3.0
COLD_FACTOR = 2.0
WORK_SPREAD = 0.3


@dataclass(frozen=True, slots=True)
class TargetShape:
    """Describe the targets of a pattern; `crowded_from` is the place from which work is slower."""

    slots: int = 6
    queue: int = 12
    slow_share: float = 0.25
    slow_pace: float = 5.0
    crowded_from: int = 5
    crowded_factor: float = 1.7


class Work:
    """Hold one attempt at a target; `begin` is called when it starts, `done` with its status."""

    __slots__ = ("service_time_s", "begin", "done", "started", "cancelled")

    def __init__(
        self, service_time_s: float, begin: Callable[[], None], done: Callable[[int], None]
    ) -> None:
        self.service_time_s = service_time_s
        self.begin = begin
        self.done = done
        self.started = False
        self.cancelled = False


class ModelTarget:
    """Run attempts in virtual time."""

    __slots__ = (
        "name",
        "data_centre",
        "shape",
        "schedule",
        "generator",
        "running",
        "waiting",
        "slowdown",
        "factor",
        "sheds",
        "fails",
        "grey_share",
        "rate_limit_per_s",
        "begun_at",
        "cold_until",
        "started_at",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        shape: TargetShape,
        schedule: Callable[[float, Callable[[float], None]], None],
        generator: random.Random,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.shape = shape
        self.schedule = schedule
        self.generator = generator
        self.running = 0
        self.waiting: deque[Work] = deque()
        self.slowdown = 1.0
        # A fault that the load report does not show, one that refuses everything, and one that
        # answers everything with a failure.
        self.factor = 1.0
        self.sheds = False
        self.fails = False
        # Share of attempts that fail at once, whatever the load report says.
        self.grey_share = 0.0
        # Rate that it names in its answers, for all nodes together; None while it names none.
        self.rate_limit_per_s: float | None = None
        # When attempts were begun.
        self.begun_at: list[float] = []
        # End of the time for which it says that it is cold; 0 while it says nothing.
        self.cold_until = 0.0
        self.started_at = -COLD_S

    def change_pace(self, now: float) -> None:
        """Draw the pace that the neighbours leave for the next interval."""
        slow = self.generator.random() < self.shape.slow_share
        self.slowdown = self.shape.slow_pace if slow else 1.0
        self.schedule(now + PACE_INTERVAL_S, self.change_pace)

    def arrive(self, work: Work, now: float) -> None:
        """Start, queue or refuse an attempt."""
        if self.sheds or len(self.waiting) >= self.shape.queue:
            work.done(503)
        elif self.grey_share and self.generator.random() < self.grey_share:
            work.begin()
            work.done(500)
        elif self.running < self.shape.slots:
            self.start(work, now)
        else:
            self.waiting.append(work)

    def start(self, work: Work, now: float) -> None:
        """Begin the work; its time is decided by what holds now."""
        self.running += 1
        work.begin()
        work.started = True
        self.begun_at.append(now)
        time_s = (
            work.service_time_s
            * self.generator.lognormvariate(0.0, WORK_SPREAD)
            * self.slowdown
            * self.factor
        )
        if self.running >= self.shape.crowded_from:
            time_s *= self.shape.crowded_factor
        if now < self.started_at + COLD_S:
            time_s *= COLD_FACTOR
        self.schedule(now + time_s, lambda at: self.finish(work, at))

    def finish(self, work: Work, now: float) -> None:
        """End the work unless it was cancelled, and start the next."""
        if work.cancelled:
            return
        work.done(500 if self.fails else 200)
        self.leave(now)

    def cancel(self, work: Work, now: float) -> None:
        """Give up an attempt whose caller has left."""
        if work.cancelled:
            return
        work.cancelled = True
        if work.started:
            self.leave(now)
        elif work in self.waiting:
            self.waiting.remove(work)

    def leave(self, now: float) -> None:
        """Free a slot and start what waits."""
        self.running -= 1
        if self.waiting:
            self.start(self.waiting.popleft(), now)
