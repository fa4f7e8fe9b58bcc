"""Which nodes follow the store, and when the others may rely on what they pass on.

One node of each data centre follows the store, chosen by rendezvous hashing over the nodes that
were heard of. It passes changes on to the others there and says several times a second which
revision it has and how long ago the store answered. A node that hears of no recent answer follows
the store itself and passes on what it learns, because the store may turn the chosen node and others
away and still serve it. A node that misses an announced change, or that knows nothing yet while the
store does not answer it, asks another node for all objects of the kind. Wrong or old lists of nodes
cost calls and never freshness. Nothing of this crosses data centres but a rare greeting, by which
new nodes find each other, and the question of a new node that knows no other in its own.
"""

import xxhash

# A node that was not heard of for this long is left out; nodes elsewhere are greeted rarely.
MEMBER_LIMIT_S = 3.5
FAR_MEMBER_LIMIT_S = 35.0
BEAT_INTERVAL_S = 0.3
HELLO_INTERVAL_S = 1.0
FAR_HELLO_INTERVAL_S = 10.0
# Beats are this old at the most before their sender is taken for gone.
BEAT_LIMIT_S = 0.9
# With this bound on the age of the store's last answer a change is noticed well within the 2 s in
# which it has to be in force.
CONTACT_LIMIT_S = 1.5
# Age that a beat gives when the store did not answer its sender.
NO_CONTACT_S = 1e9
# A new node waits this long for beats before it follows the store itself.
START_GRACE_S = 0.7
# A change that a beat announces may take this long to arrive before the node asks for it.
GAP_LIMIT_S = 0.25
# A new node that the store has not answered by then asks another node for what it knows.
FIRST_FETCH_S = 0.6


class Member:
    """Hold one node as heard of; `heard_at` is seconds of the clock."""

    __slots__ = ("name", "address", "data_centre", "heard_at")

    def __init__(self, name: str, address: str, data_centre: str, heard_at: float) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.heard_at = heard_at


class BeatState:
    """Hold the last beat of one follower; `contact_at` is when the store last answered it."""

    __slots__ = ("received_at", "contact_at", "revisions")

    def __init__(self, received_at: float, contact_at: float, revisions: dict[str, int]) -> None:
        self.received_at = received_at
        self.contact_at = contact_at
        self.revisions = revisions


class RelayState:
    """Hold what a node knows of the others; pure, times are given."""

    __slots__ = ("me", "members", "beats", "started_at", "missing_since", "asked")

    def __init__(self, me: Member, now: float) -> None:
        self.me = me
        self.members: dict[str, Member] = {}
        self.beats: dict[str, BeatState] = {}
        self.started_at = now
        # Since when something is missing or was last asked for, and how often it was, by kind.
        self.missing_since: dict[str, float] = {}
        self.asked: dict[str, int] = {}


def hear_of(state: RelayState, found: Member) -> bool:
    """Record a node; tell whether it was unknown."""
    if found.name == state.me.name:
        return False
    held = state.members.get(found.name)
    if held is not None and held.address == found.address:
        held.heard_at = max(held.heard_at, found.heard_at)
        return False
    state.members[found.name] = found
    return True


def forget_silent(state: RelayState, now: float) -> list[str]:
    """Drop the nodes that were not heard of for long and name them."""
    silent = [
        name
        for name, member in state.members.items()
        if now - member.heard_at > silence_limit_s(state, member)
    ]
    for name in silent:
        del state.members[name]
        state.beats.pop(name, None)
    return silent


def silence_limit_s(state: RelayState, member: Member) -> float:
    """Give how long a node may be silent before it is left out."""
    return MEMBER_LIMIT_S if is_near(state, member) else FAR_MEMBER_LIMIT_S


def is_near(state: RelayState, member: Member) -> bool:
    """Tell whether a node is in this node's data centre."""
    return member.data_centre == state.me.data_centre


def refresh(state: RelayState, now: float) -> None:
    """Note that another node has heard of the same nodes lately."""
    for member in state.members.values():
        member.heard_at = max(member.heard_at, now - HELLO_INTERVAL_S)


def near_members(state: RelayState) -> list[Member]:
    """List the other nodes of this data centre."""
    return [member for member in state.members.values() if is_near(state, member)]


def followers(state: RelayState) -> set[str]:
    """Name the nodes that follow the store: one of each data centre."""
    chosen: dict[str, tuple[int, str]] = {}
    for member in (state.me, *state.members.values()):
        rank = (xxhash.xxh64_intdigest(member.name.encode()), member.name)
        chosen[member.data_centre] = min(rank, chosen.get(member.data_centre, rank))
    return {name for _, name in chosen.values()}


def take_beat(
    state: RelayState, sender: str, contact_age_s: float, revisions: dict[str, int], now: float
) -> None:
    """Record a beat."""
    state.beats[sender] = BeatState(now, now - contact_age_s, revisions)


def is_covered(state: RelayState, now: float) -> bool:
    """Tell whether some other node passes on what the store says, as of a moment ago."""
    return any(
        now - beat.received_at <= BEAT_LIMIT_S and now - beat.contact_at <= CONTACT_LIMIT_S
        for beat in state.beats.values()
    )


def must_follow(state: RelayState, now: float) -> bool:
    """Tell whether this node has to follow the store itself."""
    if state.me.name in followers(state) and now - state.started_at > START_GRACE_S:
        return True
    return not is_covered(state, now) and now - state.started_at > START_GRACE_S


def missing_source(
    state: RelayState, kind: str, revision: int, draw: float, now: float
) -> str | None:
    """Name the node to ask for all objects of a kind; None while nothing is missing.

    `draw` is a random number from 0 to 1.
    """
    source = newest_source(state, kind, revision, now)
    if source is None and not revision and now - state.started_at >= FIRST_FETCH_S:
        source = any_source(state, draw)
    if source is None:
        state.missing_since.pop(kind, None)
        state.asked.pop(kind, None)
        return None
    since = state.missing_since.setdefault(kind, now)
    if now - since < GAP_LIMIT_S:
        return None
    state.missing_since[kind] = now
    state.asked[kind] = state.asked.get(kind, 0) + 1
    return source


def newest_source(state: RelayState, kind: str, revision: int, now: float) -> str | None:
    """Name the node that announced the newest revision beyond the one held."""
    source = None
    for sender, beat in state.beats.items():
        announced = beat.revisions.get(kind, 0)
        if now - beat.received_at <= BEAT_LIMIT_S and announced > revision:
            source, revision = sender, announced
    return source


def any_source(state: RelayState, draw: float) -> str | None:
    """Pick a node at random, of this data centre if there is one."""
    members = near_members(state) or list(state.members.values())
    return members[int(draw * len(members)) % len(members)].name if members else None


def was_asked_before(state: RelayState, kind: str) -> bool:
    """Tell whether the last question about a kind was not the first one."""
    return state.asked.get(kind, 0) > 1


def fleet_size(state: RelayState, expected: int) -> int:
    """Give the number of nodes; never fewer than expected, because lists may be incomplete."""
    return max(expected, len(state.members) + 1)
