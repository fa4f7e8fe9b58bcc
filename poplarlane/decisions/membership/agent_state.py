"""State of an agent. Times are in seconds, on the clock that the shell passes in events."""

from collections import OrderedDict

import xxhash

from poplarlane.decisions.probes.probe_state import ShardProbes, TargetProbe
from poplarlane.exchange_messages import RejectionNotice
from poplarlane.messages import ProbeNotice, VerdictNotice
from poplarlane.objects import ServiceObject
from poplarlane.types import MemberFact, MemberKind

DIGEST_BUCKETS = 32
BUCKET_BYTES = 4
# Limits of what one agent sends to its peers. The burst lets 500 objects of 4 KB pass at once; the
# rate keeps a fault from saturating a small VM's link.
EXCHANGE_BYTES_PER_S = 2_000_000.0
EXCHANGE_BURST_BYTES = 4_000_000.0


class HashIndex:
    """Incremental digest of a map: one XOR hash per bucket of keys, updated in constant time."""

    __slots__ = ("hashes", "fingerprints")

    def __init__(self) -> None:
        self.hashes = [0] * DIGEST_BUCKETS
        self.fingerprints: dict[str, int] = {}

    def put(self, key: str, value: str) -> None:
        """Add or replace the value of a key."""
        fingerprint = xxhash.xxh32_intdigest(f"{key}\0{value}".encode())
        self.hashes[bucket_of(key)] ^= fingerprint ^ self.fingerprints.get(key, 0)
        self.fingerprints[key] = fingerprint

    def pack(self) -> bytes:
        """Serialise all bucket hashes."""
        return b"".join(value.to_bytes(BUCKET_BYTES, "little") for value in self.hashes)

    def differing_buckets(self, packed: bytes) -> list[int]:
        """Return the buckets whose hash differs from that of a peer's packed hashes."""
        own = self.pack()
        if own == packed or len(packed) != len(own):
            return []
        steps = range(0, len(own), BUCKET_BYTES)
        return [
            at // BUCKET_BYTES
            for at in steps
            if own[at : at + BUCKET_BYTES] != packed[at : at + BUCKET_BYTES]
        ]


def bucket_of(key: str) -> int:
    """Return the bucket of a key."""
    return xxhash.xxh32_intdigest(key.encode(), seed=1) % DIGEST_BUCKETS


class AcceptedService:
    """The accepted revision of one service; `body` is its stored JSON.

    `packed` caches the body as encoded for other agents, built on first use.
    """

    __slots__ = ("revision", "body", "service", "accepted_at", "packed")

    def __init__(
        self, revision: int, body: bytes, service: ServiceObject, accepted_at: float
    ) -> None:
        self.revision = revision
        self.body = body
        self.service = service
        self.accepted_at = accepted_at
        self.packed = b""


class Peer:
    """What is known about another agent; `heard_at` is when it was last known to be running."""

    __slots__ = (
        "name",
        "incarnation",
        "data_centre",
        "address",
        "port",
        "ready",
        "heard_at",
        "contacted",
        "advertised",
        "seed",
        "facts_requested_at",
    )

    def __init__(self, name: str, data_centre: str, address: str, port: int, now: float) -> None:
        self.name = name
        self.incarnation = 0
        self.data_centre = data_centre
        self.address = address
        self.port = port
        self.ready = False
        self.heard_at = now
        # Whether any message from it or notice about it has arrived; a seed may no longer exist.
        self.contacted = False
        # The address that the agent advertises; a seed's configured address may be a proxy.
        self.advertised = ""
        self.seed = False
        self.facts_requested_at = 0.0


class EntryLink:
    """One connected entry; `applied` holds the revisions that it reported as applied."""

    __slots__ = (
        "name",
        "identity",
        "incarnation",
        "applied",
        "ready",
        "draining",
        "heard_at",
        "sequence",
        "rejected",
        "sent_at",
        "leaving",
        "nonce",
    )

    def __init__(self, name: str, identity: bytes, incarnation: int, now: float) -> None:
        self.name = name
        self.identity = identity
        self.incarnation = incarnation
        self.applied: dict[str, int] = {}
        self.ready = False
        self.draining = False
        self.heard_at = now
        self.sequence = 0
        self.rejected: dict[str, str] = {}
        # When each service was last sent, so that it is not resent to a slow entry twice a second.
        self.sent_at: dict[str, float] = {}
        self.leaving: set[str] = set()
        # Nonce of the entry's last hello, echoed in every view.
        self.nonce = 0


class Verification:
    """Whether this agent's view is verified to be complete.

    `ready` is set once enough ready peers, or the platform, were found to hold nothing newer.
    `nonce` identifies the digests of the current attempt, so that answers from before a pause of
    the process are ignored.
    """

    __slots__ = (
        "ready",
        "started_at",
        "nonce",
        "verified_by",
        "ready_peers",
        "next_try_at",
        "list_at",
        "listed",
    )

    def __init__(self) -> None:
        self.ready = False
        self.started_at = 0.0
        self.nonce = 0
        self.verified_by: set[str] = set()
        self.ready_peers: set[str] = set()
        self.next_try_at = 0.0
        self.list_at = 0.0
        self.listed: set[str] = set()


class WatchState:
    """State of this agent's calls to the platform; `since` is None until a list has succeeded."""

    __slots__ = (
        "watching",
        "since",
        "call_pending",
        "called_at",
        "next_at",
        "failures",
        "answered_at",
        "tried_at",
        "listed_at",
        "fallback_at",
        "vm_list_slot_ends",
        "vm_list_pending",
        "vm_list_as_of",
        "copies_pending",
    )

    def __init__(self, now: float) -> None:
        self.watching = False
        self.since: int | None = None
        self.call_pending = False
        self.called_at = now
        self.next_at = now
        self.failures = 0
        # When any agent last got a response from the platform, and last called it.
        self.answered_at = now - 3600.0
        self.tried_at = now - 3600.0
        self.listed_at = now - 3600.0
        self.fallback_at = 0.0
        self.vm_list_slot_ends = 0.0
        self.vm_list_pending = False
        self.vm_list_as_of = -1.0
        self.copies_pending: set[str] = set()


class AgentState:
    """The whole state of one agent."""

    __slots__ = (
        "name",
        "incarnation",
        "process",
        "data_centre",
        "address",
        "port",
        "nonce",
        "watchers",
        "exchange_interval_s",
        "vm_list_interval_s",
        "grant_duration_s",
        "moved_target_wait_s",
        "now",
        "wall",
        "services",
        "service_index",
        "highest_revisions",
        "recent",
        "rejected",
        "facts",
        "fact_index",
        "recent_facts",
        "facts_requested_at",
        "peers",
        "retired",
        "entries",
        "verdicts",
        "verification",
        "watch",
        "shards",
        "probe_queue",
        "probe_sequence",
        "candidate_ranks",
        "probe_candidates",
        "probes_checked_at",
        "platform_silent_at",
        "probe_outbox",
        "probe_flush_at",
        "probe_tokens",
        "changed",
        "changed_facts",
        "changed_verdicts",
        "new_probes",
        "housekeeping_at",
        "fleet_entries_sent",
        "backlog",
        "tokens",
        "tokens_at",
        "next_digest_at",
        "isolated",
        "stopping",
        "pauses",
        "counts",
    )

    def __init__(self, name: str, incarnation: int, data_centre: str, address: str, port: int):
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.address = address
        self.port = port
        # Unlike the incarnation, this never changes while the process runs, and it differs between
        # two processes that start within one millisecond.
        self.process = incarnation
        self.nonce = incarnation
        self.watchers = 2
        self.exchange_interval_s = 1.0
        self.vm_list_interval_s = 2.0
        self.grant_duration_s = 10.0
        # None selects the shortest time after which no other holder can still probe a moved target.
        self.moved_target_wait_s: float | None = None
        self.now = 0.0
        self.wall = 0.0
        self.services: dict[str, AcceptedService] = {}
        self.service_index = HashIndex()
        # Highest revision of each service known to exist; a view with a lower one is incomplete.
        self.highest_revisions: dict[str, int] = {}
        # Recently accepted services with the time of acceptance, newest last.
        self.recent: OrderedDict[str, float] = OrderedDict()
        self.rejected: dict[str, RejectionNotice] = {}
        self.facts: dict[tuple[MemberKind, str], MemberFact] = {}
        self.fact_index = HashIndex()
        self.recent_facts: OrderedDict[tuple[MemberKind, str], float] = OrderedDict()
        # When facts were last requested from any peer.
        self.facts_requested_at = 0.0
        self.peers: dict[str, Peer] = {}
        # Incarnation at which an agent was removed, so that old notices do not add it again.
        self.retired: dict[str, int] = {}
        self.entries: dict[str, EntryLink] = {}
        self.verdicts: dict[tuple[str, str, str], tuple[VerdictNotice, float]] = {}
        self.verification = Verification()
        self.watch = WatchState(0.0)
        self.shards: dict[int, ShardProbes] = {}
        # Heap of the targets of held shards by earliest due time; the sequence number breaks ties.
        self.probe_queue: list[tuple[float, int, TargetProbe]] = []
        self.probe_sequence = 0
        # This agent's rank among the candidates for each shard, and the inputs of that ranking.
        self.candidate_ranks: dict[int, int] = {}
        self.probe_candidates: tuple[list[str], list[int]] = ([], [])
        self.probes_checked_at = 0.0
        # When a check of grants last found that no agent had heard from the platform for long.
        self.platform_silent_at = -3600.0
        # Results not yet sent to peers, with the time of measurement.
        self.probe_outbox: list[tuple[ProbeNotice, float]] = []
        self.probe_flush_at = 0.0
        self.probe_tokens = 0.0
        # Changes made by the current event, propagated when its handler returns.
        self.changed: dict[str, bool] = {}
        self.changed_facts: list[MemberFact] = []
        self.changed_verdicts: list[VerdictNotice] = []
        self.new_probes: list[ProbeNotice] = []
        self.housekeeping_at = 0.0
        self.fleet_entries_sent = 0
        # Names of services still to be sent to each peer; the revision is looked up on sending.
        self.backlog: dict[str, OrderedDict[str, None]] = {}
        self.tokens = EXCHANGE_BURST_BYTES
        self.tokens_at = 0.0
        self.next_digest_at = 0.0
        self.isolated = False
        self.stopping = False
        self.pauses = 0
        self.counts: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter shown in status and metrics."""
        self.counts[name] = self.counts.get(name, 0) + amount
