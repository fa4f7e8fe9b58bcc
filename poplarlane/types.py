"""Core data types shared by decisions, plumbing and programs."""

import math
from enum import StrEnum


class Priority(StrEnum):
    """Priority class of queued requests."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class MemberKind(StrEnum):
    """Kind of a fleet member."""

    AGENT = "agent"
    ENTRY = "entry"
    TARGET = "target"


class MemberState(StrEnum):
    """Membership state of a member within one incarnation."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Verdict(StrEnum):
    """Health verdict of an entry on a target, derived from its traffic."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    AVOIDED = "avoided"


class RequestKind:
    """Treatment of one kind of request of a service."""

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
    """Configuration of one target of a service."""

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
        # Instance name of the target; sent with requests, so that no other process executes them.
        self.instance = instance
        # Path whose response reports the current load; empty if there is none.
        self.probe_path = probe_path


class Tolerance:
    """What targets bear in a window, as a multiple of a rate and requests on top of that.

    A permit to send one request lapses after `permit_valid_s`.
    """

    __slots__ = ("window_s", "ratio", "requests", "permit_valid_s")

    def __init__(
        self, window_s: float, ratio: float, requests: float, permit_valid_s: float
    ) -> None:
        self.window_s = window_s
        self.ratio = ratio
        self.requests = requests
        self.permit_valid_s = permit_valid_s


class Permits:
    """This node's part of a rate that a target takes from all nodes together."""

    __slots__ = ("rate_limit_per_s", "permit_interval_s", "next_permit_at", "heard_at")

    def __init__(self) -> None:
        # Requests per second that the target takes from all nodes together; None without a limit.
        self.rate_limit_per_s: float | None = None
        # Under a limit, this node may send one request at a time, at instants this far apart.
        self.permit_interval_s = 0.0
        self.next_permit_at = -math.inf
        # Instant of the last response that made a statement.
        self.heard_at = -math.inf


class TargetStatements(Permits):
    """What a target process says about itself in its responses, in force until it is withdrawn.

    A statement binds a node without the store, so it outlives changes of the catalogue.
    """

    __slots__ = (
        "paused_until",
        "is_returning",
        "is_limit_on_probes",
        "cold_until",
        "cold_heard_at",
        "cold_permits",
        "is_cold_held",
        "is_cold",
    )

    def __init__(self) -> None:
        super().__init__()
        # Until then the target wants nothing from this node; afterwards it gets one request at a
        # time until it has taken one.
        self.paused_until = -math.inf
        self.is_returning = False
        # Whether responses to probes carry the limit too; only then does one without it end it.
        self.is_limit_on_probes = False
        # End of the time in which the target is cold, and when it was last stated.
        self.cold_until = -math.inf
        self.cold_heard_at = -math.inf
        # Permits for the time in which it is cold, and whether this node may not use them yet.
        self.cold_permits = Permits()
        self.is_cold_held = False
        # Whether the log shows the target as cold.
        self.is_cold = False


class TargetLoad:
    """Load and health of one target as seen by one entry.

    Times are in seconds of the monotonic clock, latencies in seconds.
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
        "region",
        "probes_in_flight",
        "statements",
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
        # Number of consecutive reports with the same value.
        self.report_repeats = 0
        # Result of the last probe, which all entries receive at the same time.
        self.probed_in_flight = 0.0
        self.probed_at = -math.inf
        self.latency_s = 0.0
        self.latency_at = 0.0
        # Decayed number of responses that latency_s averages.
        self.latency_weight = 0.0
        # Median latency and error rate of the service's targets at the last health review.
        self.typical_s = 0.0
        self.typical_error_rate = 0.0
        # Latency as a multiple of typical_s; 1 unless the difference is significant.
        self.slowness = 1.0
        self.reports_trusted = True
        self.error_rate = 0.0
        self.error_at = 0.0
        self.consecutive_failures = 0
        self.answers = 0
        # Evidence that the target is faulty, as a log-likelihood ratio of at least 0.
        self.suspicion = 0.0
        self.suspicion_at = 0.0
        # Added to the expected time of a request because of the suspicion, as of the last review.
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
        # This entry's share of the target's connections, and the requests it may always have in
        # flight there.
        self.connection_share = 0
        self.in_flight_share = 0
        # Last detailed report: running and waiting requests, service time as a multiple of the
        # usual, and the instant to which it refers.
        self.running = 0
        self.waiting = 0
        self.slowdown = 1.0
        self.measured_at = -math.inf
        self.sent_since_measured = 0
        # Region of the target's data centre; empty if it is not known.
        self.region = ""
        self.probes_in_flight = 0
        self.statements = TargetStatements()


class MemberFact:
    """Membership record: state of one member as observed by one source.

    `observed_at` is in wall-clock seconds, because records are exchanged between VMs.
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
    """Size limits in bytes and timeouts for callers."""

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
