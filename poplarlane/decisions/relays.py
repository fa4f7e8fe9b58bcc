"""Which nodes follow the store, and when the others may rely on what they pass on.

The exchange has two levels, so that calls to the store hardly grow with the fleet. The first seed
that the store answers follows it for the whole fleet and tells one node of each data centre, chosen
by rendezvous hashing, which tells the others there: changes at once, and several times a second
which revision is known and how long ago the store answered. The chosen nodes and the seeds are the
candidates. A candidate that hears of no recent answer from a node of better rank follows the store
itself; the other nodes do so a moment later, one after the other, because the store may turn the
candidates away and still serve them. A node that misses an announced change, or that knows nothing
yet while the store does not answer it, asks another node for all objects of the kind. Wrong or old
lists of nodes cost calls and never freshness.
"""

import heapq

import xxhash

# Place of a node that is no seed.
NON_SEED_INDEX = 1_000
# A node that was not heard of for this long is left out; nodes elsewhere are greeted rarely.
MEMBER_TIMEOUT_S = 3.5
REMOTE_MEMBER_TIMEOUT_S = 35.0
# The node that passes changes on is heard of with each beat, the next ones with each greeting.
RELAY_TIMEOUT_S = 1.5
HELLO_FANOUT = 2
HEARTBEAT_INTERVAL_S = 0.3
HELLO_INTERVAL_S = 1.0
REMOTE_HELLO_INTERVAL_S = 10.0
# Beats are this old at the most before their sender is taken for gone.
HEARTBEAT_TIMEOUT_S = 0.9
# Age that a beat gives when the store did not answer its sender.
NO_CONTACT_AGE_S = 1e9
# A new candidate waits this long for beats before it follows the store itself; seeds do not wait.
START_DELAY_S = 0.7
# A change that a beat announces may take this long to arrive before the node asks for it.
FETCH_DELAY_S = 0.25
# A new node that the store has not answered by then asks another node for what it knows.
INITIAL_FETCH_AFTER_S = 0.6
# A new node asks the store itself what a list that may be old lacks, unless another node has told
# it by then. When the whole system starts there is time to wait for that.
INITIAL_POLL_AFTER_S = 0.1
BOOTSTRAP_POLL_AFTER_S = 1.5
# A new node serves by a list that nobody could confirm after this time, as it does after a pause.
CONFIRMATION_TIMEOUT_S = 2.0
# Shares of the time in which an accepted change has to be in force everywhere. A watch, the beat
# after it and the way over two levels take less than MAX_CONTACT_AGE_FRACTION; what is left is for a node
# that no candidate serves: its own turn, which FALLBACK_STAGGER_FRACTION spreads, and a call. Changes gather
# for BATCH_DELAY_FRACTION after one, because each answer to a watch costs a call.
WATCH_WAIT_FRACTION = 0.4
BATCH_DELAY_FRACTION = 0.1
MAX_CONTACT_AGE_FRACTION = 0.65
FALLBACK_STAGGER_FRACTION = 0.1
# Nodes that are no candidates ask a store that does not answer this often each, in seconds for
# each node of their data centre: about a dozen calls a second for a kind in each data centre.
FALLBACK_PAUSE_PER_NODE_S = 0.08


class Member:
    """Hold one node as heard of; `heard_at` is seconds of the clock.

    `place` is its index among the seeds, or a larger number; `digest` orders the other nodes.
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
        """Order nodes by who should follow the store: seeds first, the others by a hash."""
        return self.seed_index, self.digest, self.name


class HeartbeatState:
    """Hold the last beat of one sender; `contact_at` is when the store last answered.

    A direct beat comes from a node that follows the store, others are passed on.
    """

    __slots__ = ("received_at", "contact_at", "revisions", "is_direct")

    def __init__(
        self, received_at: float, contact_at: float, revisions: dict[str, int], is_direct: bool
    ) -> None:
        self.received_at = received_at
        self.contact_at = contact_at
        self.revisions = revisions
        self.is_direct = is_direct


class RelayState:
    """Hold what a node knows of the others; pure, times are given."""

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
        # Addresses of the seeds, best rank first.
        self.seeds = seeds or []
        set_seed_index(self, me)
        # Time in which an accepted change has to be in force at every node.
        self.apply_limit_s = apply_limit_s
        # Whether all nodes start for the first time.
        self.is_bootstrap = is_bootstrap
        # Since when nobody is known who passes on what the store says; 0 while somebody is.
        self.without_heartbeat_since = now
        # Number of nodes as a seed told it, and when.
        self.reported_fleet_size = 0
        self.fleet_size_reported_at = now
        self.members: dict[str, Member] = {}
        self.heartbeats: dict[str, HeartbeatState] = {}
        self.started_at = now
        # Since when something is missing or was last asked for, and how often it was, by kind.
        self.missing_since: dict[str, float] = {}
        self.fetches: dict[str, int] = {}


def set_seed_index(state: RelayState, member: Member) -> None:
    """Find a node's place among the seeds."""
    if member.address in state.seeds:
        member.seed_index = state.seeds.index(member.address)


def record_member(state: RelayState, found: Member) -> bool:
    """Record a node; tell whether it was unknown."""
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
    """Drop the nodes that were not heard of for long and name them."""
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
    """Give how long a node may be silent before it is left out."""
    return MEMBER_TIMEOUT_S if is_in_data_centre(state, member) else REMOTE_MEMBER_TIMEOUT_S


def is_in_data_centre(state: RelayState, member: Member) -> bool:
    """Tell whether a node is in this node's data centre."""
    return member.data_centre == state.me.data_centre


def refresh_lower_ranked(state: RelayState, sender: str, now: float) -> None:
    """Note that another node has heard of the same nodes lately.

    Only nodes of worse rank greet the sender; what it says of better ones it may have from here.
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
    """List the nodes of this data centre that were heard of lately, this one included."""
    heard_after = now - RELAY_TIMEOUT_S
    data_centre = state.me.data_centre
    return [state.me] + [
        member
        for member in state.members.values()
        if member.data_centre == data_centre and member.heard_at >= heard_after
    ]


def data_centre_relay(state: RelayState, now: float) -> str:
    """Name the node of this data centre that passes on what the seeds say."""
    return min(recently_heard_members(state, now), key=Member.rank).name


def hello_recipients(state: RelayState, now: float) -> list[str]:
    """Name the nodes that this node greets in its data centre: the chosen one and the next ones.

    These are heard directly, so that the data centre goes on when the chosen one ends.
    """
    others = [found for found in recently_heard_members(state, now) if found is not state.me]
    return [found.name for found in heapq.nsmallest(HELLO_FANOUT, others, key=Member.rank)]


def is_candidate(state: RelayState, now: float) -> bool:
    """Tell whether this node follows the store when no better one does."""
    return state.me.seed_index < NON_SEED_INDEX or data_centre_relay(state, now) == state.me.name


def record_heartbeat(
    state: RelayState,
    sender: str,
    contact_age_s: float,
    revisions: dict[str, int],
    now: float,
    is_direct: bool = True,
) -> None:
    """Record a beat."""
    state.heartbeats[sender] = HeartbeatState(now, now - contact_age_s, revisions, is_direct)


def is_fresh(state: RelayState, heartbeat: HeartbeatState, now: float) -> bool:
    """Tell whether a beat's sender is there and the store answered a moment ago."""
    contact_limit_s = MAX_CONTACT_AGE_FRACTION * state.apply_limit_s
    return (
        now - heartbeat.received_at <= HEARTBEAT_TIMEOUT_S
        and now - heartbeat.contact_at <= contact_limit_s
    )


def has_fresh_heartbeat(state: RelayState, now: float) -> bool:
    """Tell whether some other node passes on what the store says, as of a moment ago."""
    return any(is_fresh(state, heartbeat, now) for heartbeat in state.heartbeats.values())


def has_higher_ranked_follower(state: RelayState, now: float) -> bool:
    """Tell whether a node of better rank follows the store and passes on what it says."""
    mine = state.me.rank()
    for sender, heartbeat in state.heartbeats.items():
        member = state.members.get(sender)
        if member is None or not heartbeat.is_direct or not is_fresh(state, heartbeat, now):
            continue
        if member.rank() < mine:
            return True
    return False


def must_follow_store(state: RelayState, now: float) -> bool:
    """Tell whether this node has to follow the store itself."""
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
    """Give a number from 0 to 1 that differs between nodes."""
    return state.me.digest % 1024 / 1024.0


def max_retry_pause_s(state: RelayState, now: float) -> float:
    """Give the longest pause between calls of this node to a store that does not answer."""
    return (
        0.0
        if is_candidate(state, now)
        else FALLBACK_PAUSE_PER_NODE_S * len(data_centre_members(state))
    )


def may_poll_store(state: RelayState, now: float) -> bool:
    """Tell whether this node asks the store what its first lists lack."""
    after_s = BOOTSTRAP_POLL_AFTER_S if state.is_bootstrap else INITIAL_POLL_AFTER_S
    return now - state.started_at >= after_s


def is_confirmed_current(state: RelayState, kind: str, revision: int, now: float) -> bool:
    """Tell whether a fresh beat knows of nothing newer than a revision of a kind."""
    fresh = [
        heartbeat for heartbeat in state.heartbeats.values() if is_fresh(state, heartbeat, now)
    ]
    known = [heartbeat.revisions[kind] for heartbeat in fresh if kind in heartbeat.revisions]
    return bool(known) and max(known) <= revision


def fetch_source(
    state: RelayState, kind: str, revision: int, draw: float, now: float
) -> str | None:
    """Name the node to ask for all objects of a kind; None while nothing is missing.

    `draw` is a random number from 0 to 1.
    """
    source = most_recent_announcer(state, kind, revision, now)
    if source is None and not revision and now - state.started_at >= INITIAL_FETCH_AFTER_S:
        source = random_member(state, draw)
    if source is None:
        state.missing_since.pop(kind, None)
        state.fetches.pop(kind, None)
        return None
    since = state.missing_since.setdefault(kind, now)
    if now - since < FETCH_DELAY_S:
        return None
    state.missing_since[kind] = now
    state.fetches[kind] = state.fetches.get(kind, 0) + 1
    return source


def most_recent_announcer(state: RelayState, kind: str, revision: int, now: float) -> str | None:
    """Name the node that announced the newest revision beyond the one held."""
    source = None
    for sender, heartbeat in state.heartbeats.items():
        announced = heartbeat.revisions.get(kind, 0)
        if now - heartbeat.received_at <= HEARTBEAT_TIMEOUT_S and announced > revision:
            source, revision = sender, announced
    return source


def random_member(state: RelayState, draw: float) -> str | None:
    """Pick a node at random, of this data centre if there is one."""
    members = data_centre_members(state) or list(state.members.values())
    return members[int(draw * len(members)) % len(members)].name if members else None


def is_repeated_fetch(state: RelayState, kind: str) -> bool:
    """Tell whether the last question about a kind was not the first one."""
    return state.fetches.get(kind, 0) > 1


def record_fleet_size(state: RelayState, nodes: int, now: float) -> None:
    """Record the number of nodes that another node knows; an old larger number fades out."""
    if (
        nodes >= state.reported_fleet_size
        or now - state.fleet_size_reported_at > REMOTE_MEMBER_TIMEOUT_S
    ):
        state.reported_fleet_size = nodes
        state.fleet_size_reported_at = now


def fleet_size(state: RelayState, expected: int) -> int:
    """Give the number of nodes; never fewer than expected, because lists may be incomplete."""
    return max(expected, len(state.members) + 1, state.reported_fleet_size)
