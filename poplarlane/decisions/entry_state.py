"""State of one entry: services, requests, attempts and timers."""

import heapq
from enum import IntEnum

from poplarlane.decisions.health import ServiceHealth
from poplarlane.decisions.labels import InvalidLabels, parse_labels
from poplarlane.decisions.limits import ServiceLimits
from poplarlane.decisions.policies import Policy
from poplarlane.decisions.retries import Budget
from poplarlane.decisions.selectors import Access
from poplarlane.decisions.subsets import TargetGroup
from poplarlane.outcomes import Refusal
from poplarlane.types import Priority, RequestKind, TargetLoad

MAX_CACHED_ACCESSES = 1_024
# Malformed input is logged at most this often, so that a flood of it costs other callers nothing.
MALFORMED_LOGS_PER_S = 20
# A request has up to two timers, and most end unused. When all of them were dropped together with
# the next due one, 2 s of 1,700 calls/s took 3 ms, in which no other request was worked on.
DROPPED_TIMERS_PER_REQUEST = 4
DROPPED_TIMERS_PER_FIRING = 64
DRAW_MULTIPLIER = 6_364_136_223_846_793_005
DRAW_INCREMENT = 1_442_695_040_888_963_407
DRAW_MASK = (1 << 64) - 1


class RequestState(IntEnum):
    """Name the states of a request; one that is refused or unknown may be sent again."""

    QUEUED = 1
    NOT_SENT = 2
    SENT = 3
    ANSWERED = 4
    REFUSED = 5
    UNKNOWN = 6


class TimerKind(IntEnum):
    """Name what a timer is for."""

    DEADLINE = 1
    HEDGE = 2
    ACCEPT_END = 3
    DRAIN_LIMIT = 4
    VIEW_LIMIT = 5


class ServiceState:
    """Hold one service as configured and as observed."""

    __slots__ = (
        "name",
        "revision",
        "body",
        "hosts",
        "deleted",
        "kinds",
        "policy",
        "access",
        "loads",
        "reachable",
        "groups",
        "limits",
        "health",
        "retry_budget",
        "hedge_budget",
        "waiting_hedges",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.revision = 0
        self.body = b""
        self.hosts: list[str] = []
        self.deleted = False
        self.kinds: list[RequestKind] = []
        self.policy: Policy
        self.access: Access
        self.loads: dict[str, TargetLoad] = {}
        # Usable targets by the text of the caller's labels; None when no selector allows any.
        self.reachable: dict[str, list[TargetLoad] | None] = {}
        # Usable targets by the names that one selector allows.
        self.groups: dict[frozenset[str], TargetGroup] = {}
        self.limits: ServiceLimits
        self.health = ServiceHealth()
        self.retry_budget: Budget
        self.hedge_budget: Budget
        # Reads whose hedge was due when no second target had room.
        self.waiting_hedges: list[Request] = []


class Request:
    """Hold one request until its caller has an answer."""

    __slots__ = (
        "request_id",
        "service",
        "labels",
        "idempotent",
        "priority",
        "deadline",
        "hedge",
        "hedged_above",
        "attempt",
        "retried_below",
        "state",
        "attempts",
        "uncertain",
        "hedged",
        "retried",
        "tried",
        "streaming",
        "last_refusal",
    )

    def __init__(
        self,
        request_id: int,
        service: ServiceState,
        labels: str,
        kind: RequestKind,
        deadline: float,
        attempt: int,
        retried_below: bool,
        hedged_above: bool = False,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.labels = labels
        self.idempotent = kind.idempotent
        self.priority: Priority = kind.priority
        # One level of a call chain hedges; hedges at 26 levels would multiply the load of the leaf.
        self.hedge = kind.hedge and kind.idempotent and not hedged_above
        self.hedged_above = hedged_above
        # Instant of the monotonic clock.
        self.deadline = deadline
        self.attempt = attempt
        self.retried_below = retried_below
        self.state = RequestState.QUEUED
        self.attempts: list[Attempt] = []
        # Number of attempts that a target may have started, whatever became of them.
        self.uncertain = 0
        self.hedged = False
        self.retried = False
        self.tried: list[TargetLoad] = []
        self.streaming: Attempt | None = None
        self.last_refusal: Refusal | None = None


class Attempt:
    """Hold one sending of a request to a target."""

    __slots__ = ("attempt_id", "request", "load", "sent_at")

    def __init__(self, attempt_id: int, request: Request, load: TargetLoad) -> None:
        self.attempt_id = attempt_id
        self.request = request
        self.load = load
        # Instant at which the first byte was handed to a socket; 0 before that.
        self.sent_at = 0.0


class EntryState:
    """Hold everything that the entry's decisions depend on; durations are seconds."""

    __slots__ = (
        "name",
        "incarnation",
        "verdict_sequence",
        "policy_name",
        "hedged_reads",
        "delay_s_by_data_centre",
        "drain_accept_s",
        "drain_limit_s",
        "services",
        "hosts",
        "rejected",
        "members",
        "leaving",
        "fleet_entries",
        "entry_rank",
        "requests",
        "attempts",
        "next_attempt_id",
        "timers",
        "timer_at",
        "next_timer",
        "ready",
        "draining",
        "accepting",
        "malformed_logged",
        "malformed_second",
        "last_view_at",
        "agent_incarnation",
        "view_nonce",
        "unconfirmed_until",
    )

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.verdict_sequence = 0
        self.policy_name = ""
        self.hedged_reads = True
        self.delay_s_by_data_centre: dict[str, float] = {}
        self.drain_accept_s = 2.0
        self.drain_limit_s = 30.0
        self.services: dict[str, ServiceState] = {}
        self.hosts: dict[str, ServiceState] = {}
        self.rejected: dict[str, str] = {}
        # Target name to its highest known incarnation and whether it is leaving in it.
        self.members: dict[str, tuple[int, bool]] = {}
        self.leaving: set[str] = set()
        self.fleet_entries = 1
        self.entry_rank = 0
        self.requests: dict[int, Request] = {}
        self.attempts: dict[int, Attempt] = {}
        self.next_attempt_id = 1
        self.timers: list[tuple[float, int, TimerKind, int]] = []
        self.timer_at = 0.0
        self.next_timer = 0
        self.ready = False
        self.draining = False
        self.accepting = True
        self.malformed_logged = 0
        self.malformed_second = 0
        self.last_view_at = 0.0
        self.agent_incarnation = 0
        # Marks the hellos sent since the last pause; a view that answers one confirms the view.
        self.view_nonce = 0
        # Instant until which requests wait for that; 0 while the view is not in doubt.
        self.unconfirmed_until = 0.0


def add_timer(state: EntryState, at: float, kind: TimerKind, request_id: int = 0) -> bool:
    """Add a timer; tell whether it is now the earliest one."""
    state.next_timer += 1
    heapq.heappush(state.timers, (at, state.next_timer, kind, request_id))
    if state.timer_at and state.timer_at <= at:
        return False
    state.timer_at = at
    return True


def drop_ended_timers(state: EntryState, most: int) -> None:
    """Drop the earliest timers, up to a number, while they belong to requests that have ended."""
    timers = state.timers
    while timers and most and timers[0][3] and timers[0][3] not in state.requests:
        heapq.heappop(timers)
        most -= 1


def next_draw(draw: int) -> int:
    """Derive the next random bits of an event from the last."""
    return (draw * DRAW_MULTIPLIER + DRAW_INCREMENT) & DRAW_MASK


def reachable_targets(service: ServiceState, text: str) -> list[TargetLoad] | None:
    """Give the targets that a caller may reach and that are not leaving; None is a denial."""
    try:
        return service.reachable[text]
    except KeyError:
        pass
    labels = parse_labels(text)
    # Malformed labels reach nothing: as no labels they could satisfy a selector such as `!kind`.
    denied = isinstance(labels, InvalidLabels)
    rules = [] if denied else service.access.matching(labels)
    groups = {rule.target_names for rule in rules if rule.target_names}
    usable = [service.groups[names] for names in groups if names in service.groups]
    chosen = {load.target.name: load for group in usable for load in group.subset}
    found = [load for _, load in sorted(chosen.items())] if groups else None
    if len(service.reachable) >= MAX_CACHED_ACCESSES:
        service.reachable.clear()
    service.reachable[text] = found
    return found
