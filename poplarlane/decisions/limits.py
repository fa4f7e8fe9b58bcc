"""Bound the work of one entry: admission queue, in-flight limits and connection shares."""

from collections import deque
from typing import Protocol

from poplarlane.outcomes import NotRun, ResultCode
from poplarlane.types import Priority, TargetLoad

PRIORITIES = (Priority.HIGH, Priority.NORMAL, Priority.LOW)
# A target may hold this many requests per slot, so that a slot never idles between answers.
IN_FLIGHT_PER_SLOT = 2.0


class Admissible(Protocol):
    """Say what admission needs of a request: its id, priority and deadline (an instant)."""

    request_id: int
    priority: Priority
    deadline: float


class Admit:
    """Let the request be sent now."""

    __slots__ = ()


class Queue:
    """Keep the request in the service's queue; `limits.next_queued` gives it back."""

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
        "minimum_s",
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
        # Shortest time in which a request of this service was answered lately; 0 is unknown.
        self.minimum_s = 0.0


def connection_share(limits: ServiceLimits) -> int:
    """Give the connections that this entry may keep to one target."""
    return max(1, limits.connections_per_target // limits.entries)


def in_flight_share(limits: ServiceLimits) -> int:
    """Give the requests that this entry may have outstanding at one target."""
    share = limits.slots_per_target * IN_FLIGHT_PER_SLOT / limits.entries
    return min(connection_share(limits), max(2, round(share)))


def has_room(limits: ServiceLimits, load: TargetLoad) -> bool:
    """Tell whether this entry may send one more request to the target."""
    return load.outstanding < in_flight_share(limits)


def admit(limits: ServiceLimits, request: Admissible, now: float) -> Admit | Queue | NotRun:
    """Decide on a request that arrived: send, keep in the queue, or refuse as not run."""
    if request.deadline - now <= limits.minimum_s:
        return NotRun(ResultCode.DEADLINE_UNMEETABLE, "the deadline cannot be met")
    if not limits.queued and any(has_room(limits, load) for load in limits.loads):
        return ADMIT
    if limits.queued >= limits.queue_length:
        return NotRun(ResultCode.QUEUE_FULL, "the service's queue is full")
    limits.queues[request.priority].append(request)
    limits.queued += 1
    return QUEUE


def next_queued(limits: ServiceLimits) -> Admissible | None:
    """Take the next request to send: highest priority first, then first in, first out."""
    for name in PRIORITIES:
        if limits.queues[name]:
            limits.queued -= 1
            return limits.queues[name].popleft()
    return None


def remove_queued(limits: ServiceLimits, request: Admissible) -> bool:
    """Drop a request from the queue, for example when its caller left."""
    queue = limits.queues[request.priority]
    if request not in queue:
        return False
    queue.remove(request)
    limits.queued -= 1
    return True


def expire_queued(limits: ServiceLimits, now: float) -> list[Admissible]:
    """Take the queued requests whose deadline can no longer be met; they were not run."""
    expired = []
    for name in PRIORITIES:
        queue = limits.queues[name]
        late = [request for request in queue if request.deadline - now <= limits.minimum_s]
        for request in late:
            queue.remove(request)
        expired.extend(late)
    limits.queued -= len(expired)
    return expired
