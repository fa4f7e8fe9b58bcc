"""State of probe grants and of the probes sent under them."""


class TargetProbe:
    """State of the probes to one target.

    `latest_arrival_at` is the latest time at which the last probe can have arrived.
    """

    __slots__ = (
        "shard",
        "service",
        "target",
        "address",
        "port",
        "latest_arrival_at",
        "cost_s",
        "pending",
        "scheduled",
        "suspected",
        "sent_in_flight",
        "reachable",
        "announced_at",
        "stagger",
    )

    def __init__(
        self,
        shard: int,
        service: str,
        target: str,
        address: str,
        port: int,
        latest_arrival_at: float,
    ) -> None:
        self.shard = shard
        self.service = service
        self.target = target
        self.address = address
        self.port = port
        self.latest_arrival_at = latest_arrival_at
        self.cost_s = 0.0
        self.pending = False
        # Whether the agent's heap of probes contains this target.
        self.scheduled = False
        self.suspected = True
        self.sent_in_flight = -1
        self.reachable = True
        self.announced_at = 0.0
        # Fraction of the interval added to the first wait, so that probes are not synchronised.
        self.stagger = 0.0


class ShardProbes:
    """The probe grant of one shard of services and the probes sent under it.

    `services` are those that may be probed. `available_at` is when the grant seen at the platform
    has certainly expired; None before the first read. `grant_until` is this process's own deadline,
    0 without a grant. `targets` are keyed by service and name, and are up to date only while the
    grant is held.
    """

    __slots__ = (
        "services",
        "version",
        "term",
        "holder",
        "available_at",
        "grant_until",
        "call_pending",
        "announced_at",
        "next_try_at",
        "holder_seen_at",
        "outranked_since",
        "targets",
        "sent",
    )

    def __init__(self, now: float) -> None:
        self.services: set[str] = set()
        self.version = 0
        self.term = 0
        self.holder = ""
        self.available_at: float | None = None
        self.grant_until = 0.0
        self.call_pending = False
        self.announced_at = 0.0
        self.next_try_at = now
        # When there was last evidence of a holder: a probe result, or an unexpired grant.
        self.holder_seen_at = now
        self.outranked_since = 0.0
        self.targets: dict[str, dict[str, TargetProbe]] = {}
        self.sent = 0

    def is_held(self, now: float) -> bool:
        """Return whether this process holds the grant and so may probe the shard's services."""
        return now < self.grant_until

    def find(self, service: str, target: str) -> TargetProbe | None:
        """Return the state of the probes to a target, if any."""
        return self.targets.get(service, {}).get(target)
