"""State of one entry: services, requests, attempts and timers."""

import heapq
import math
from enum import IntEnum
from typing import TYPE_CHECKING

from poplarlane.decisions.access.labels import InvalidLabels, parse_labels
from poplarlane.decisions.access.selectors import Access
from poplarlane.decisions.admission.caller_deadlines import CallerDeadlines
from poplarlane.decisions.admission.limits import ServiceLimits
from poplarlane.decisions.choice.contention import Contention
from poplarlane.decisions.choice.policies import Policy
from poplarlane.decisions.choice.slowdowns import Slowdowns
from poplarlane.decisions.choice.subsets import TargetGroup
from poplarlane.decisions.cold import cold_permits
from poplarlane.decisions.configuration.route_table import RouteTable
from poplarlane.decisions.customers.keys import Customer, CustomerTable
from poplarlane.decisions.fleet.sections import FleetState
from poplarlane.decisions.health.health import ServiceHealth
from poplarlane.decisions.probes.probe_allowance import ProbeTokenBucket
from poplarlane.decisions.quarantine.convictions import Quarantine
from poplarlane.decisions.quarantine.fingerprints import Content
from poplarlane.decisions.repeats.retries import Budget
from poplarlane.objects import ServiceObject
from poplarlane.outcomes import RequestFailure
from poplarlane.types import Priority, RequestKind, TargetLoad, TargetStatements

if TYPE_CHECKING:
    from poplarlane.decisions.customers.section import CustomersSection

MAX_CACHED_ACCESSES = 1_024
# Limits the log lines about malformed input, so that a flood of it does not slow other callers.
MALFORMED_LOGS_PER_S = 20
# A request has up to two timers, most of which never fire. Stale timers are dropped in small
# batches: dropping all of them with the next due one blocked the process for 3 ms after 2 s at
# 1,700 requests/s.
DROPPED_TIMERS_PER_REQUEST = 4
DROPPED_TIMERS_PER_FIRING = 64
LCG_MULTIPLIER = 6_364_136_223_846_793_005
LCG_INCREMENT = 1_442_695_040_888_963_407
LCG_MASK = (1 << 64) - 1


ReachableKey = str | tuple[str, frozenset[str]]


class RequestState(IntEnum):
    """States of a request; a REFUSED or UNKNOWN one may be sent again."""

    QUEUED = 1
    NOT_SENT = 2
    SENT = 3
    ANSWERED = 4
    REFUSED = 5
    UNKNOWN = 6


class TimerKind(IntEnum):
    """Purposes of timers."""

    DEADLINE = 1
    HEDGE = 2
    ACCEPT_END = 3
    DRAIN_LIMIT = 4
    VIEW_LIMIT = 5
    PROBE_END = 6
    TRIAL_LIMIT = 10
    # RECHECK and WARM_CHECK belong to a service and PROBE_LIMIT to a probe; others to requests.
    RECHECK = 7
    GIVE_UP = 9
    WARM_CHECK = 12
    PROBE_LIMIT = 8
    DRAIN_REFUSAL = 11


# Kinds of timers that belong to a request and end with it.
REQUEST_TIMERS = frozenset(
    {
        TimerKind.DEADLINE,
        TimerKind.HEDGE,
        TimerKind.PROBE_END,
        TimerKind.GIVE_UP,
        TimerKind.DRAIN_REFUSAL,
        TimerKind.TRIAL_LIMIT,
    }
)


class ServiceState:
    """Configuration and observed state of one service."""

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
        "pending_hedges",
        "service_time_s",
        "next_correction_at",
        "caller_deadlines",
        "contention",
        "slowdowns",
        "number",
        "recheck_at",
        "has_mixed_priorities",
        "cold_per_s",
        "cold_until",
        "warm_check_at",
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
        # Cache of usable targets by the caller's labels header, and by allowed regions if there are
        # any; None if no selector allows any.
        self.reachable: dict[ReachableKey, list[TargetLoad] | None] = {}
        # Usable targets by the set of target names that one selector allows.
        self.groups: dict[frozenset[str], TargetGroup] = {}
        self.limits: ServiceLimits
        self.health = ServiceHealth()
        self.retry_budget: Budget
        self.hedge_budget: Budget
        # Reads whose hedge was due when no second target had capacity.
        self.pending_hedges: list[Request] = []
        # Estimated service time of a request at normal speed, by kind.
        self.service_time_s: dict[str, float] = {}
        # When a request may next be admitted against that estimate, by kind.
        self.next_correction_at: dict[str, float] = {}
        # Time that callers give a request at first, by kind.
        self.caller_deadlines: dict[str, CallerDeadlines] = {}
        self.contention = Contention()
        self.slowdowns = Slowdowns()
        # Number of the service within this entry, and when its queue is checked for capacity again
        # (0: not scheduled).
        self.number = 0
        self.recheck_at = 0.0
        # Whether its routes differ in priority.
        self.has_mixed_priorities = False
        # Requests per second that a cold target bears from all nodes; 0 without a limit.
        self.cold_per_s = 0.0
        # Latest end of the cold time of a limited target, and the next check for warm ones.
        self.cold_until = -math.inf
        self.warm_check_at = -math.inf


class Request:
    """One request, kept until its caller has been answered."""

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
        "possibly_started",
        "hedged",
        "retried",
        "tried",
        "streaming",
        "last_refusal",
        "kind",
        "trace_id",
        "soft_deadline",
        "arrived_at",
        "max_attempts",
        "sends",
        "service_time_s",
        "corrects_estimate",
        "awaiting_probes",
        "probe_round",
        "probed",
        "pending_probes",
        "may_use_old_reports",
        "poll_at",
        "content",
        "fingerprint",
        "regions",
        "key_digest",
        "is_public",
        "customer",
        "is_charged",
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
        # Only one level of a call chain hedges; hedges at 26 levels would multiply the leaf's load.
        self.hedge = kind.hedge and kind.idempotent and not hedged_above
        self.hedged_above = hedged_above
        # Instant of the monotonic clock.
        self.deadline = deadline
        self.attempt = attempt
        self.retried_below = retried_below
        self.state = RequestState.QUEUED
        self.attempts: list[Attempt] = []
        # Number of attempts that a target may have started, whatever their outcome.
        self.possibly_started = 0
        self.hedged = False
        self.retried = False
        self.tried: list[TargetLoad] = []
        self.streaming: Attempt | None = None
        self.last_refusal: RequestFailure | None = None
        self.kind = kind
        # The caller's request id.
        self.trace_id = ""
        # Instant at which the latency objective ends; later responses are worth less.
        self.soft_deadline = deadline
        self.arrived_at = 0.0
        # Limit on the attempts that a target may have run, and their number so far.
        self.max_attempts = 0
        self.sends = 0
        # Estimated service time at normal speed.
        self.service_time_s = 0.0
        # Whether it was admitted to correct an estimate that refuses its whole kind.
        self.corrects_estimate = False
        # Whether the choice of a target waits for probes, the number of the probe round, the
        # targets considered in it, and the probes not answered yet.
        self.awaiting_probes = False
        self.probe_round = 0
        self.probed: list[TargetLoad] = []
        self.pending_probes: set[int] = set()
        # Whether its targets cannot be probed now, so that old load reports have to do.
        self.may_use_old_reports = False
        # While it is queued, when it probes targets again.
        self.poll_at = 0.0
        # What the caller sent, and the digest of it and of the customer once it was needed.
        self.content: Content | None = None
        self.fingerprint = b""
        # Regions whose targets it may be sent to; None allows all.
        self.regions: frozenset[str] | None = None
        # Digest of the caller's key, and the customer that it belongs to; None on public routes and
        # without customers.
        self.key_digest = b""
        # Whether it needs no key, as on a public route.
        self.is_public = True
        self.customer: Customer | None = None
        # Whether the customer's quota was charged for it.
        self.is_charged = False


class Attempt:
    """One attempt to run a request at a target."""

    __slots__ = (
        "attempt_id",
        "request",
        "load",
        "sent_at",
        "slowdown",
        "requests_ahead",
        "load_measured_at",
        "chosen_at",
        "spans_halt",
    )

    def __init__(self, attempt_id: int, request: Request, load: TargetLoad) -> None:
        self.attempt_id = attempt_id
        self.request = request
        self.load = load
        # Instant at which the first byte was written to a socket; 0 before that.
        self.sent_at = 0.0
        # Slowdown of the target as known when it was chosen.
        self.slowdown = load.slowdown
        # Requests that were running or queued at the target when it was chosen.
        self.requests_ahead = load.running + load.waiting + load.sent_since_measured
        # When that load was measured, and when the target was chosen.
        self.load_measured_at = load.measured_at
        self.chosen_at = 0.0
        # Whether this process stood still meanwhile; the latency is then only a lower bound.
        self.spans_halt = False


class Probe:
    """One probe that was sent for a request."""

    __slots__ = ("request", "load", "sent_at")

    def __init__(self, request: Request, load: TargetLoad, sent_at: float) -> None:
        self.request = request
        self.load = load
        self.sent_at = sent_at


class EntryState:
    """All state that the entry's decisions depend on; durations are in seconds."""

    __slots__ = (
        "name",
        "incarnation",
        "verdict_sequence",
        "policy_name",
        "hedged_reads",
        "delay_s_by_data_centre",
        "drain_accept_s",
        "drain_limit_s",
        "drain_ends_at",
        "services",
        "hosts",
        "rejected",
        "members",
        "leaving",
        "fleet_entries",
        "is_fleet_known",
        "most_entries",
        "most_entries_at",
        "cold_tolerance",
        "evacuated",
        "entry_rank",
        "requests",
        "attempts",
        "next_attempt_id",
        "timers",
        "timer_at",
        "next_timer_id",
        "ready",
        "draining",
        "accepting",
        "malformed_logged",
        "malformed_second",
        "last_view_at",
        "agent_incarnation",
        "view_nonce",
        "unconfirmed_until",
        "routes",
        "catalogue",
        "services_by_number",
        "now",
        "log_second",
        "log_lines",
        "log_dropped",
        "probes",
        "probe_allowance",
        "probes_per_target_s",
        "data_centre",
        "region_of",
        "other_data_centre_s",
        "extra_sends",
        "extra_sends_window_s",
        "statements",
        "fleet",
        "quarantine",
        "customers",
        "quotas",
        "confirmed_at",
        "apply_limit_s",
        "reached_nodes_needed",
        "strict_revocation",
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
        # Instant at which a drain ends, whatever is in flight; infinite while there is none.
        self.drain_ends_at = math.inf
        self.services: dict[str, ServiceState] = {}
        self.hosts: dict[str, ServiceState] = {}
        self.rejected: dict[str, str] = {}
        # Highest known incarnation of each target, and whether the target is leaving in it.
        self.members: dict[str, tuple[int, bool]] = {}
        self.leaving: set[str] = set()
        self.fleet_entries = 1
        # Whether this node has heard of the others, and the largest number known lately.
        self.is_fleet_known = True
        self.most_entries = 1
        self.most_entries_at = -math.inf
        self.cold_tolerance = cold_permits.cold_tolerance()
        # Data centres whose targets get no new requests.
        self.evacuated: frozenset[str] = frozenset()
        self.entry_rank = 0
        self.requests: dict[int, Request] = {}
        self.attempts: dict[int, Attempt] = {}
        self.next_attempt_id = 1
        self.timers: list[tuple[float, int, TimerKind, int]] = []
        self.timer_at = 0.0
        self.next_timer_id = 0
        self.ready = False
        self.draining = False
        self.accepting = True
        self.malformed_logged = 0
        self.malformed_second = 0
        self.last_view_at = 0.0
        self.agent_incarnation = 0
        # Nonce of the hellos sent since the last process pause; a view update that echoes it
        # confirms the view.
        self.view_nonce = 0
        # Instant until which requests wait for that; 0 while the view is confirmed.
        self.unconfirmed_until = 0.0
        # None without a catalogue; requests are then routed by host.
        self.routes: RouteTable | None = None
        self.catalogue: dict[str, ServiceObject] = {}
        self.services_by_number: dict[int, ServiceState] = {}
        # Time of the current event.
        self.now = 0.0
        # Request log lines written and dropped in the current second.
        self.log_second = 0
        self.log_lines = 0
        self.log_dropped = 0
        self.probes: dict[int, Probe] = {}
        # Limit on the probes per second that a target gets from the whole fleet.
        self.probes_per_target_s = 0.0
        # The entry's own data centre, and the one-way delay assumed to others without a known one.
        self.data_centre = ""
        self.other_data_centre_s = 0.0
        # Region of each data centre.
        self.region_of: dict[str, str] = {}
        # Retries and hedges that the fleet may send per service and window beyond the ratio.
        self.extra_sends = 0.0
        self.extra_sends_window_s = 10.0
        self.probe_allowance = ProbeTokenBucket()
        # What targets said about themselves, by target name.
        self.statements: dict[str, TargetStatements] = {}
        # What this node shares with the others.
        self.fleet = FleetState()
        self.quarantine = Quarantine()
        self.customers = CustomerTable([])
        # The section that counts and limits the use of quotas; None without an exchange.
        self.quotas: CustomersSection | None = None
        # When the store, or a node that follows it, last confirmed the configuration, and the time
        # within which an accepted change has to be in force.
        self.confirmed_at = math.inf
        self.apply_limit_s = math.inf
        # Number of nodes that were known when the configuration was last confirmed; 0 without
        # other nodes.
        self.reached_nodes_needed = 0
        # Whether a node that may have missed the removal of a key refuses all keys.
        self.strict_revocation = False


def add_timer(state: EntryState, at: float, kind: TimerKind, request_id: int = 0) -> bool:
    """Add a timer; return whether it is now the earliest one."""
    state.next_timer_id += 1
    heapq.heappush(state.timers, (at, state.next_timer_id, kind, request_id))
    if state.timer_at and state.timer_at <= at:
        return False
    state.timer_at = at
    return True


def drop_ended_timers(state: EntryState, limit: int) -> None:
    """Drop up to `limit` of the earliest timers while they belong to requests that have ended."""
    timers = state.timers
    while timers and limit and timers[0][2] in REQUEST_TIMERS:
        if timers[0][3] in state.requests:
            return
        heapq.heappop(timers)
        limit -= 1


def next_random_value(random_value: int) -> int:
    """Derive the next random bits of an event from the previous ones."""
    return (random_value * LCG_MULTIPLIER + LCG_INCREMENT) & LCG_MASK


def reachable_targets(
    service: ServiceState, text: str, regions: frozenset[str] | None = None
) -> list[TargetLoad] | None:
    """Return the targets that a caller may reach and that are not leaving; None if denied."""
    key = text if regions is None else (text, regions)
    try:
        return service.reachable[key]
    except KeyError:
        pass
    labels = parse_labels(text)
    # Malformed labels match nothing: treated as empty, they could satisfy a selector like `!kind`.
    denied = isinstance(labels, InvalidLabels)
    rules = [] if denied else service.access.matching(labels)
    groups = {rule.target_names for rule in rules if rule.target_names}
    usable = [service.groups[names] for names in groups if names in service.groups]
    chosen = {load.target.name: load for group in usable for load in group.subset}
    found = [load for _, load in sorted(chosen.items())] if groups else None
    if found and regions is not None:
        found = [load for load in found if load.region in regions]
    if len(service.reachable) >= MAX_CACHED_ACCESSES:
        service.reachable.clear()
    service.reachable[key] = found
    return found
