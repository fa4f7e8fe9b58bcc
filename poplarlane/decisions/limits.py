"""Bound the work of one entry: admission queue, in-flight limits and connection shares."""

from collections import deque
from typing import Protocol

from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import Priority, TargetLoad

PRIORITIES = (Priority.HIGH, Priority.NORMAL, Priority.LOW)
# The part of the queue that each priority may fill; the rest is kept for higher ones.
QUEUE_SHARE = {Priority.HIGH: 1.0, Priority.NORMAL: 0.75, Priority.LOW: 0.5}
# All entries together may give a target this many requests per slot, queued ones included.
IN_FLIGHT_PER_SLOT = 2.0
# Two requests per entry keep a target busy between an answer and the next request.
MIN_IN_FLIGHT_SHARE = 2
# The shortest answer time is only believed this long after the last answer; otherwise an entry
# that refuses everything would never learn that the targets became faster again.
MIN_LATENCY_VALID_S = 1.0


class Admissible(Protocol):
    """Say what admission needs of a request: its id, priority and deadline (an instant)."""

    request_id: int
    priority: Priority
    deadline: float


class Admit:
    """Let the request be sent now."""

    __slots__ = ()


class Queue:
    """Keep the request in the service's queue; `limits.queued_in_order` lists it."""

    __slots__ = ()


ADMIT = Admit()
QUEUE = Queue()


class ServiceLimits:
    """Hold the limits of one service and the requests that wait for a target."""

    __slots__ = (
        "slots_per_target",
        "connections_per_target",
        "queue_length",
        "entries",
        "loads",
        "queues",
        "queued",
        "subset_size",
        "entry_rank",
        "min_latency_s",
        "min_latency_at",
        "held",
    )

    def __init__(
        self,
        slots_per_target: int,
        connections_per_target: int,
        queue_length: int,
        entries: int,
        loads: list[TargetLoad],
    ) -> None:
        self.slots_per_target = slots_per_target
        self.connections_per_target = connections_per_target
        self.queue_length = queue_length
        self.entries = max(1, entries)
        self.loads = loads
        self.queues: dict[Priority, deque[Admissible]] = {name: deque() for name in PRIORITIES}
        self.queued = 0
        # The most targets of one group that an entry uses (0 is no bound), and its place among the
        # entries.
        self.subset_size = 0
        self.entry_rank = 0
        # Time within which a request of this service can be answered at best; 0 is unknown.
        self.min_latency_s = 0.0
        self.min_latency_at = 0.0
        # Nothing is sent while the entry waits for its agent to confirm the view after a pause.
        self.held = False
        for load in loads:
            share_target(self, load, self.entries)


def share_target(limits: ServiceLimits, load: TargetLoad, users: int) -> None:
    """Give this entry its part of a target that `users` entries of the fleet use."""
    if users == 0:
        load.connection_share = load.in_flight_share = 0
        return
    load.connection_share = max(1, limits.connections_per_target // users)
    in_flight = round(limits.slots_per_target * IN_FLIGHT_PER_SLOT / users)
    load.in_flight_share = min(load.connection_share, max(MIN_IN_FLIGHT_SHARE, in_flight))


def has_capacity(limits: ServiceLimits, load: TargetLoad) -> bool:
    """Tell whether this entry may send one more request to the target.

    Beyond its share it may while the target reports free slots, because the platform's balancer
    may send most of the traffic to a few entries.
    """
    if load.outstanding < load.in_flight_share:
        return True
    if load.outstanding >= load.connection_share or not load.reports_trusted:
        return False
    return load.reported_in_flight + load.sent_since_report < limits.slots_per_target


def targets_with_capacity(limits: ServiceLimits, loads: list[TargetLoad]) -> list[TargetLoad]:
    """List the targets that this entry may send one more request to."""
    if limits.held:
        return []
    return [
        load
        for load in loads
        if load.outstanding < load.in_flight_share or has_capacity(limits, load)
    ]


def observe_min_latency(limits: ServiceLimits, min_latency_s: float, now: float) -> None:
    """Record the time within which a request was answered at best, as known now."""
    limits.min_latency_s = min_latency_s
    limits.min_latency_at = now


def admit(limits: ServiceLimits, request: Admissible, now: float) -> Admit | Queue | NotRun:
    """Decide on a request that arrived: send, keep in the queue, or refuse as not run."""
    if cannot_answer_by(limits, request.deadline, now):
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the deadline cannot be met")
    if not limits.queued and any(has_capacity(limits, load) for load in limits.loads):
        return ADMIT
    wait_s = expected_wait_s(limits, request.priority)
    if cannot_answer_by(limits, request.deadline - wait_s, now):
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the queue is longer than the deadline")
    return enqueue(limits, request) or QUEUE


def enqueue(limits: ServiceLimits, request: Admissible) -> NotRun | None:
    """Put a request into the queue unless its priority's part is full."""
    if limits.queued >= limits.queue_length * QUEUE_SHARE[request.priority]:
        return NotRun(ResultCode.QUEUE_FULL, "the service's queue is full")
    limits.queues[request.priority].append(request)
    limits.queued += 1
    return None


def cannot_answer_by(limits: ServiceLimits, deadline: float, now: float) -> bool:
    """Tell whether no target can answer a request that is sent now by the deadline."""
    if deadline <= now:
        return True
    known = now - limits.min_latency_at <= MIN_LATENCY_VALID_S
    return known and deadline - now < limits.min_latency_s


def expected_wait_s(limits: ServiceLimits, priority: Priority) -> float:
    """Estimate the wait in the queue: requests ahead, times the time between two answers."""
    ahead = 1
    for name in PRIORITIES:
        ahead += len(limits.queues[name])
        if name == priority:
            break
    outstanding = 0
    typical_s = 0.0
    for load in limits.loads:
        outstanding += load.outstanding
        typical_s = max(typical_s, load.typical_s)
    return ahead * typical_s / outstanding if outstanding else 0.0


def queued_in_order(limits: ServiceLimits) -> list[Admissible]:
    """List the queued requests: highest priority first, then first in, first out."""
    return [request for name in PRIORITIES for request in limits.queues[name]]


def remove_queued(limits: ServiceLimits, request: Admissible) -> bool:
    """Drop a request from the queue, for example when its caller left."""
    queue = limits.queues[request.priority]
    if request not in queue:
        return False
    queue.remove(request)
    limits.queued -= 1
    return True
