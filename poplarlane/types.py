"""Core data types shared by decisions, plumbing and programs."""

import math
from enum import StrEnum


class Priority(StrEnum):
    """Name the order in which queued requests are served."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class MemberKind(StrEnum):
    """Name what a member of the fleet is."""

    AGENT = "agent"
    ENTRY = "entry"
    TARGET = "target"


class MemberState(StrEnum):
    """Name what is known of a member within one incarnation."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Verdict(StrEnum):
    """Name what an entry concludes about a target from its traffic."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    AVOIDED = "avoided"


class RequestKind:
    """Describe how one kind of request of a service is treated."""

    __slots__ = (
        "name",
        "methods",
        "path_prefix",
        "idempotent",
        "priority",
        "deadline_ms",
        "hedge",
    )

    def __init__(
        self,
        name: str,
        methods: frozenset[str],
        path_prefix: str,
        idempotent: bool,
        priority: Priority,
        deadline_ms: int,
        hedge: bool,
    ) -> None:
        self.name = name
        self.methods = methods
        self.path_prefix = path_prefix
        self.idempotent = idempotent
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.hedge = hedge


class Target:
    """Describe one target of a service as configured."""

    __slots__ = ("name", "address", "port", "data_centre", "labels", "instance", "probe_path")

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        data_centre: str,
        labels: dict[str, str],
        instance: str = "",
        probe_path: str = "",
    ) -> None:
        self.name = name
        self.address = address
        self.port = port
        self.data_centre = data_centre
        self.labels = labels
        # What the target calls itself; requests name it, so that no other process runs them.
        self.instance = instance
        # Path whose answer reports the load at once; empty without one.
        self.probe_path = probe_path


class TargetLoad:
    """Hold what one entry knows about the load and health of one target.

    Times are seconds of the monotonic clock; latencies are seconds.
    """

    __slots__ = (
        "target",
        "rtt_s",
        "outstanding",
        "sent_at",
        "sent_since_report",
        "reported_in_flight",
        "reported_at",
        "report_repeats",
        "probed_in_flight",
        "probed_at",
        "latency_s",
        "latency_at",
        "latency_weight",
        "typical_s",
        "slowness",
        "reports_trusted",
        "error_rate",
        "error_at",
        "typical_error_rate",
        "consecutive_failures",
        "answers",
        "suspicion",
        "suspicion_at",
        "penalty_s",
        "verdict",
        "peer_verdict",
        "peer_verdict_expires_at",
        "peer_suspicion",
        "next_trial_at",
        "trials_passed",
        "trials_failed",
        "ramp_until",
        "peers_notified",
        "consecutive_sheds",
        "shed_until",
        "leaving",
        "connection_share",
        "in_flight_share",
        "running",
        "waiting",
        "slowdown",
        "measured_at",
        "sent_since_measured",
        "cold_until",
        "probes_in_flight",
    )

    def __init__(self, target: Target, rtt_s: float = 0.0) -> None:
        self.target = target
        # Round trip between the entry's and the target's data centre.
        self.rtt_s = rtt_s
        self.outstanding = 0
        # Send times of outstanding requests by request id, oldest first.
        self.sent_at: dict[int, float] = {}
        self.sent_since_report = 0
        self.reported_in_flight = 0.0
        self.reported_at = -math.inf
        # How many reports in a row gave the same number.
        self.report_repeats = 0
        # The last probe, which all entries hear of at the same time.
        self.probed_in_flight = 0.0
        self.probed_at = -math.inf
        self.latency_s = 0.0
        self.latency_at = 0.0
        # Number of recent answers behind latency_s, decayed with age.
        self.latency_weight = 0.0
        # Latency and error rate of the service's median target at the last review.
        self.typical_s = 0.0
        self.typical_error_rate = 0.0
        # Latency as a multiple of the typical one, 1 unless the difference is significant.
        self.slowness = 1.0
        self.reports_trusted = True
        self.error_rate = 0.0
        self.error_at = 0.0
        self.consecutive_failures = 0
        self.answers = 0
        # Evidence that the target is faulty, as a log-likelihood ratio never below 0.
        self.suspicion = 0.0
        self.suspicion_at = 0.0
        # Time that the doubt adds to the expected time of a request, as of the last review.
        self.penalty_s = 0.0
        self.verdict = Verdict.HEALTHY
        self.peer_verdict = Verdict.HEALTHY
        self.peer_verdict_expires_at = 0.0
        self.peer_suspicion = 0.0
        self.next_trial_at = 0.0
        self.trials_passed = 0
        self.trials_failed = 0
        self.ramp_until = 0.0
        self.peers_notified = False
        self.consecutive_sheds = 0
        self.shed_until = 0.0
        self.leaving = False
        # What this entry may keep of the target's connections, and always have in flight there.
        self.connection_share = 0
        self.in_flight_share = 0
        # The last detailed report: requests that run and wait there, time of work as a multiple of
        # the usual, and when it was true.
        self.running = 0
        self.waiting = 0
        self.slowdown = 1.0
        self.measured_at = -math.inf
        self.sent_since_measured = 0
        # Instant until which the target still warms up after its start.
        self.cold_until = 0.0
        # Probes under way.
        self.probes_in_flight = 0


class MemberFact:
    """State what one source knows about one member at one time.

    `observed_at` is wall-clock seconds, because facts travel between VMs.
    """

    __slots__ = ("name", "kind", "incarnation", "state", "observed_at", "source")

    def __init__(
        self,
        name: str,
        kind: MemberKind,
        incarnation: int,
        state: MemberState,
        observed_at: float,
        source: str,
    ) -> None:
        self.name = name
        self.kind = kind
        self.incarnation = incarnation
        self.state = state
        self.observed_at = observed_at
        self.source = source


class CallerLimits:
    """Bound what a caller may send and how long it may take; sizes in bytes."""

    __slots__ = ("max_head_bytes", "max_body_bytes", "head_timeout_s", "idle_timeout_s")

    def __init__(
        self,
        max_head_bytes: int,
        max_body_bytes: int,
        head_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s
