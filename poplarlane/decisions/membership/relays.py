"""Two-level relay of store changes: which nodes follow the store and which rely on heartbeats.

The relay keeps the number of store calls almost independent of the fleet size. The first seed that
the store answers follows it for the whole fleet and forwards to one relay node per data centre,
elected by rendezvous hashing, which forwards to the other nodes there. Changes are forwarded at
once; heartbeats with the known revisions and the age of the store's last answer follow several
times a second. Seeds and relay nodes are the candidates. A candidate without a fresh heartbeat from
a higher-ranked node follows the store itself. The other nodes do so later, at staggered times,
because the store may refuse the candidates and still serve them. A node that misses an announced
change, or that holds nothing while the store does not answer it, fetches all objects of the kind
from another node. Wrong or outdated member lists cost extra calls but never delay changes.
"""

import heapq

import xxhash

# Sorts after the index of every seed.
NON_SEED_INDEX = 1_000
# A node that was silent for this long is dropped; hellos to other data centres are less frequent.
MEMBER_TIMEOUT_S = 3.5
REMOTE_MEMBER_TIMEOUT_S = 35.0
# Only nodes heard from within this time can be elected as relay. The relay node is heard with each
# heartbeat, the nodes ranked after it with each hello.
RELAY_TIMEOUT_S = 1.5
HELLO_FANOUT = 2
HEARTBEAT_INTERVAL_S = 0.3
HELLO_INTERVAL_S = 1.0
REMOTE_HELLO_INTERVAL_S = 10.0
# A sender whose last heartbeat is older is considered down.
HEARTBEAT_TIMEOUT_S = 0.9
# Contact age in the heartbeat of a node that the store does not answer.
NO_CONTACT_AGE_S = 1e9
# A new candidate waits this long for heartbeats before it follows the store; seeds do not wait.
START_DELAY_S = 0.7
# The first list may be stale. A new node polls the store for later changes after this time unless
# another node has confirmed the list; when the whole system starts there is time to wait longer.
INITIAL_POLL_AFTER_S = 0.1
BOOTSTRAP_POLL_AFTER_S = 1.5
# Consecutive failed calls after which the store counts as unavailable. A single failed watch does
# not count, because it may be cut off at any time; the short call after it shows the state.
LOST_AFTER_FAILURES = 2
# After this time a new or resumed node serves from its list even if no node has confirmed it.
CONFIRMATION_TIMEOUT_S = 2.0
# Fractions of the time in which an accepted change has to be in force everywhere. A watch, the next
# heartbeat and forwarding over two levels take less than MAX_CONTACT_AGE_FRACTION. The rest is left
# for a node that no candidate serves: its delay, staggered by FALLBACK_STAGGER_FRACTION, and a call
# to the store. Changes are batched for BATCH_DELAY_FRACTION because each watch answer costs a call.
WATCH_WAIT_FRACTION = 0.4
BATCH_DELAY_FRACTION = 0.1
MAX_CONTACT_AGE_FRACTION = 0.65
FALLBACK_STAGGER_FRACTION = 0.1
# Pause between calls of a non-candidate to a store that does not answer, per node of its data
# centre. This gives about 12 calls/s per kind and data centre, whatever the number of nodes.
FALLBACK_PAUSE_PER_NODE_S = 0.08
# Shares of connections, probes, repeats and rates are adapted when the number of nodes changes by
# more than this; each time costs a pass over all services.
RESIZE_SHARE = 0.1


class Member:
    """A known node; `heard_at` is the monotonic time of the last sign of life, in seconds.

    `seed_index` is the index among the seeds, or NON_SEED_INDEX; `digest` orders the other nodes.
    """

    __slots__ = ("name", "address", "data_centre", "heard_at", "seed_index", "digest")

    def __init__(self, name: str, address: str, data_centre: str, heard_at: float) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.heard_at = heard_at
        self.seed_index = NON_SEED_INDEX
        self.digest = xxhash.xxh64_intdigest(name.encode())

    def rank(self) -> tuple[int, int, str]:
        """Return the sort key for following the store: seeds first, then the others by hash."""
        return self.seed_index, self.digest, self.name


class HeartbeatState:
    """The last heartbeat of one sender; `contact_at` is when the store last answered.

    A direct heartbeat comes from a node that follows the store; others are forwarded.
    """

    __slots__ = ("received_at", "contact_at", "revisions", "is_direct")

    def __init__(
        self, received_at: float, contact_at: float, revisions: dict[str, int], is_direct: bool
    ) -> None:
        self.received_at = received_at
        self.contact_at = contact_at
        self.revisions = revisions
        self.is_direct = is_direct


class VersionAnnouncement:
    """The highest object version of a kind that another node announced."""

    __slots__ = ("version", "sender", "heard_at")

    def __init__(self, version: int, sender: str, heard_at: float) -> None:
        self.version = version
        self.sender = sender
        self.heard_at = heard_at


class RelayState:
    """What a node knows of the other nodes; has no clock, callers pass the time."""

    __slots__ = (
        "me",
        "members",
        "heartbeats",
        "started_at",
        "missing_since",
        "fetches",
        "seeds",
        "apply_limit_s",
        "is_bootstrap",
        "without_heartbeat_since",
        "reported_fleet_size",
        "fleet_size_reported_at",
        "announced_versions",
    )

    def __init__(
        self,
        me: Member,
        now: float,
        seeds: list[str] | None = None,
        apply_limit_s: float = 2.0,
        is_bootstrap: bool = False,
    ) -> None:
        self.me = me
        # Addresses of the seeds, highest rank first.
        self.seeds = seeds or []
        set_seed_index(self, me)
        # Time in which an accepted change has to be in force at every node.
        self.apply_limit_s = apply_limit_s
        # Whether the whole system starts for the first time.
        self.is_bootstrap = is_bootstrap
        # Since when no other node has sent a fresh heartbeat; 0 while there is one.
        self.without_heartbeat_since = now
        # Number of nodes in the last roster that counted, and when it arrived.
        self.reported_fleet_size = 0
        self.fleet_size_reported_at = now
        self.members: dict[str, Member] = {}
        self.heartbeats: dict[str, HeartbeatState] = {}
        self.started_at = now
        # By kind: since when changes are missing or when they were last fetched; number of fetches.
        self.missing_since: dict[str, float] = {}
        self.fetches: dict[str, int] = {}
        # By kind: revisions do not tell that another node holds what the store has lost.
        self.announced_versions: dict[str, VersionAnnouncement] = {}


def set_seed_index(state: RelayState, member: Member) -> None:
    """Set a node's index among the seeds, if it is one."""
    if member.address in state.seeds:
        member.seed_index = state.seeds.index(member.address)


def replace_seeds(state: RelayState, seeds: list[str]) -> None:
    """Take other seeds into force; the ranks of all nodes follow from them."""
    state.seeds = seeds
    for member in (state.me, *state.members.values()):
        member.seed_index = NON_SEED_INDEX
        set_seed_index(state, member)


def record_member(state: RelayState, found: Member) -> bool:
    """Record a node; return whether it was unknown."""
    if found.name == state.me.name:
        return False
    held = state.members.get(found.name)
    if held is not None and held.address == found.address:
        held.heard_at = max(held.heard_at, found.heard_at)
        return False
    set_seed_index(state, found)
    state.members[found.name] = found
    return True


def drop_silent_members(state: RelayState, now: float) -> list[str]:
    """Drop the members past their timeout and return their names."""
    silent = [
        name
        for name, member in state.members.items()
        if now - member.heard_at > member_timeout_s(state, member)
    ]
    for name in silent:
        del state.members[name]
        state.heartbeats.pop(name, None)
    return silent


def member_timeout_s(state: RelayState, member: Member) -> float:
    """Return how long a node may be silent before it is dropped."""
    return MEMBER_TIMEOUT_S if is_in_data_centre(state, member) else REMOTE_MEMBER_TIMEOUT_S


def is_in_data_centre(state: RelayState, member: Member) -> bool:
    """Return whether a node is in this node's data centre."""
    return member.data_centre == state.me.data_centre


def refresh_lower_ranked(state: RelayState, sender: str, now: float) -> None:
    """Refresh the members ranked below a sender whose roster equals this node's.

    Only lower-ranked nodes send hellos to the sender. What it reports about higher-ranked ones may
    stem from this node, so it does not count.
    """
    found = state.members.get(sender)
    if found is None:
        return
    limit = found.rank()
    for member in data_centre_members(state):
        if member.rank() > limit:
            member.heard_at = max(member.heard_at, now - HELLO_INTERVAL_S)


def data_centre_members(state: RelayState) -> list[Member]:
    """List the other nodes of this data centre."""
    return [member for member in state.members.values() if is_in_data_centre(state, member)]


def recently_heard_members(state: RelayState, now: float) -> list[Member]:
    """List the nodes of this data centre that were heard from recently, including this one."""
    heard_after = now - RELAY_TIMEOUT_S
    data_centre = state.me.data_centre
    return [state.me] + [
        member
        for member in state.members.values()
        if member.data_centre == data_centre and member.heard_at >= heard_after
    ]


def data_centre_relay(state: RelayState, now: float) -> str:
    """Return the name of the node elected to forward changes within this data centre."""
    return min(recently_heard_members(state, now), key=Member.rank).name


def hello_recipients(state: RelayState, now: float) -> list[str]:
    """Return the names of the relay node and its successors, which get this node's hellos.

    Successors are heard from directly, so that one can take over at once when the relay node stops.
    """
    others = [found for found in recently_heard_members(state, now) if found is not state.me]
    return [found.name for found in heapq.nsmallest(HELLO_FANOUT, others, key=Member.rank)]


def is_candidate(state: RelayState, now: float) -> bool:
    """Return whether this node follows the store when no higher-ranked node does."""
    return state.me.seed_index < NON_SEED_INDEX or data_centre_relay(state, now) == state.me.name


def record_heartbeat(
    state: RelayState,
    sender: str,
    contact_age_s: float,
    revisions: dict[str, int],
    now: float,
    is_direct: bool = True,
) -> None:
    """Record a heartbeat."""
    state.heartbeats[sender] = HeartbeatState(now, now - contact_age_s, revisions, is_direct)


def is_fresh(state: RelayState, heartbeat: HeartbeatState, now: float) -> bool:
    """Return whether a heartbeat and the store's answer that it reports are both recent."""
    contact_limit_s = MAX_CONTACT_AGE_FRACTION * state.apply_limit_s
    return (
        now - heartbeat.received_at <= HEARTBEAT_TIMEOUT_S
        and now - heartbeat.contact_at <= contact_limit_s
    )


def has_fresh_heartbeat(state: RelayState, now: float) -> bool:
    """Return whether any other node reports recent contact with the store."""
    return any(is_fresh(state, heartbeat, now) for heartbeat in state.heartbeats.values())


def has_higher_ranked_follower(state: RelayState, now: float) -> bool:
    """Return whether a higher-ranked node follows the store and forwards its changes."""
    mine = state.me.rank()
    for sender, heartbeat in state.heartbeats.items():
        member = state.members.get(sender)
        if member is None or not heartbeat.is_direct or not is_fresh(state, heartbeat, now):
            continue
        if member.rank() < mine:
            return True
    return False


def must_follow_store(state: RelayState, now: float) -> bool:
    """Return whether this node has to follow the store itself."""
    if is_candidate(state, now):
        is_waiting = now - state.started_at <= START_DELAY_S
        if is_waiting and state.me.seed_index == NON_SEED_INDEX:
            return False
        return not has_higher_ranked_follower(state, now)
    if has_fresh_heartbeat(state, now):
        state.without_heartbeat_since = 0.0
        return False
    state.without_heartbeat_since = state.without_heartbeat_since or now
    turn_s = START_DELAY_S if state.without_heartbeat_since <= state.started_at else 0.0
    turn_s += FALLBACK_STAGGER_FRACTION * state.apply_limit_s * (1.0 + stagger_fraction(state))
    return now - state.without_heartbeat_since > turn_s


def stagger_fraction(state: RelayState) -> float:
    """Return a number from 0 to 1, derived from the node's name, that staggers nodes."""
    return state.me.digest % 1024 / 1024.0


def max_retry_pause_s(state: RelayState, now: float) -> float:
    """Return the longest pause between calls of this node to a store that does not answer."""
    return (
        0.0
        if is_candidate(state, now)
        else FALLBACK_PAUSE_PER_NODE_S * len(data_centre_members(state))
    )


def may_poll_store(state: RelayState, now: float) -> bool:
    """Return whether this node may poll the store to bring its first lists up to date."""
    after_s = BOOTSTRAP_POLL_AFTER_S if state.is_bootstrap else INITIAL_POLL_AFTER_S
    return now - state.started_at >= after_s


def record_fleet_size(state: RelayState, nodes: int, now: float) -> None:
    """Record the fleet size that another node reports; a larger one expires after a while."""
    if (
        nodes >= state.reported_fleet_size
        or now - state.fleet_size_reported_at > REMOTE_MEMBER_TIMEOUT_S
    ):
        state.reported_fleet_size = nodes
        state.fleet_size_reported_at = now


def fleet_size(state: RelayState, expected: int) -> int:
    """Return the number of nodes, at least `expected`, because lists may be incomplete."""
    return max(expected, len(state.members) + 1, state.reported_fleet_size)


def is_fleet_resized(applied: int, known: int) -> bool:
    """Return whether the known number of nodes differs so much that shares have to be adapted."""
    return abs(known - applied) > RESIZE_SHARE * applied
