"""Limits of one entry: admission queue, in-flight limits and connection shares."""

from collections import deque
from typing import Protocol

from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import Priority, TargetLoad

PRIORITIES = (Priority.HIGH, Priority.NORMAL, Priority.LOW)
# Share of the queue that each priority may fill; the rest is reserved for higher priorities.
QUEUE_SHARE = {Priority.HIGH: 1.0, Priority.NORMAL: 0.75, Priority.LOW: 0.5}
# All entries together may send a target this many requests per slot, queued ones included.
IN_FLIGHT_PER_SLOT = 2.0
# Two requests per entry keep a target busy between a response and the next request.
MIN_IN_FLIGHT_SHARE = 2
# The minimum latency expires this long after the last response; otherwise an entry that refuses
# everything would never notice that the targets have become faster again.
MIN_LATENCY_VALID_S = 1.0


class Admissible(Protocol):
    """What admission needs of a request: its id, priority and deadline (an instant)."""

    request_id: int
    priority: Priority
    deadline: float


class Admit:
    """The request can be sent now."""

    __slots__ = ()


class Queue:
    """The request was put into the service's queue; `queued_in_order` lists it."""

    __slots__ = ()


ADMIT = Admit()
QUEUE = Queue()


class ServiceLimits:
    """The limits of one service, and its queued requests."""

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
        # Maximum number of targets of one group that an entry uses (0: unlimited), and the rank of
        # this entry among the entries.
        self.subset_size = 0
        self.entry_rank = 0
        # Minimum latency of the service's requests, and when it was observed; 0 is unknown.
        self.min_latency_s = 0.0
        self.min_latency_at = 0.0
        # While true, nothing is sent: the entry waits for its agent to confirm the view after a
        # process pause.
        self.held = False
        for load in loads:
            share_target(self, load, self.entries)


def share_target(limits: ServiceLimits, load: TargetLoad, users: int) -> None:
    """Set this entry's share of a target that `users` entries of the fleet use."""
    if users == 0:
        load.connection_share = load.in_flight_share = 0
        return
    load.connection_share = max(1, limits.connections_per_target // users)
    in_flight = round(limits.slots_per_target * IN_FLIGHT_PER_SLOT / users)
    load.in_flight_share = min(load.connection_share, max(MIN_IN_FLIGHT_SHARE, in_flight))


def has_capacity(limits: ServiceLimits, load: TargetLoad) -> bool:
    """Return whether this entry may send one more request to the target.

    It may exceed its share while the target reports free slots, because the platform's load
    balancer may send most of the traffic to a few entries.
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
    """Record the current minimum latency of the service."""
    limits.min_latency_s = min_latency_s
    limits.min_latency_at = now


def admit(limits: ServiceLimits, request: Admissible, now: float) -> Admit | Queue | NotRun:
    """Decide whether to send, queue or refuse a request that arrived."""
    if cannot_answer_by(limits, request.deadline, now):
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the deadline cannot be met")
    if not limits.queued and any(has_capacity(limits, load) for load in limits.loads):
        return ADMIT
    wait_s = expected_wait_s(limits, request.priority)
    if cannot_answer_by(limits, request.deadline - wait_s, now):
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the queue is longer than the deadline")
    return enqueue(limits, request) or QUEUE


def enqueue(limits: ServiceLimits, request: Admissible) -> NotRun | None:
    """Queue a request unless the share of its priority is full."""
    if limits.queued >= limits.queue_length * QUEUE_SHARE[request.priority]:
        return NotRun(ResultCode.QUEUE_FULL, "the service's queue is full")
    limits.queues[request.priority].append(request)
    limits.queued += 1
    return None


def cannot_answer_by(limits: ServiceLimits, deadline: float, now: float) -> bool:
    """Return whether no target could answer by the deadline if the request were sent now."""
    if deadline <= now:
        return True
    known = now - limits.min_latency_at <= MIN_LATENCY_VALID_S
    return known and deadline - now < limits.min_latency_s


def expected_wait_s(limits: ServiceLimits, priority: Priority) -> float:
    """Estimate the queueing delay: requests ahead times the mean time between two responses."""
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
    """Return the queued requests by priority, first in, first out within each."""
    return [request for name in PRIORITIES for request in limits.queues[name]]


def remove_queued(limits: ServiceLimits, request: Admissible) -> bool:
    """Remove a request from the queue, for example when its caller disconnects."""
    queue = limits.queues[request.priority]
    if request not in queue:
        return False
    queue.remove(request)
    limits.queued -= 1
    return True
