"""What a node misses of the store's objects, and from which other node it fetches them.

Heartbeats announce the revisions that their senders know. They and hellos also announce the highest
versions of objects that carry one: after the store has come back from an old copy, nodes with equal
revisions may hold different content.
"""

import math

from poplarlane.decisions.membership.relays import (
    HEARTBEAT_TIMEOUT_S,
    MEMBER_TIMEOUT_S,
    RelayState,
    VersionAnnouncement,
    data_centre_members,
    is_fresh,
)

# A change that a heartbeat announces may take this long to arrive before the node fetches it.
FETCH_DELAY_S = 0.25
# A new node that the store has not answered by then fetches all objects from another node.
INITIAL_FETCH_AFTER_S = 0.6


def record_versions(state: RelayState, sender: str, versions: dict[str, int], now: float) -> None:
    """Record the object versions that another node holds."""
    for kind, version in versions.items():
        held = state.announced_versions.get(kind)
        if held is None or version >= held.version or now - held.heard_at > MEMBER_TIMEOUT_S:
            state.announced_versions[kind] = VersionAnnouncement(version, sender, now)


def newer_version_source(state: RelayState, kind: str, version: int, now: float) -> str | None:
    """Return the name of a node that holds a higher object version of a kind."""
    held = state.announced_versions.get(kind)
    if held is None or held.version <= version or now - held.heard_at > MEMBER_TIMEOUT_S:
        return None
    return held.sender


def is_confirmed_current(
    state: RelayState, kind: str, revision: int, now: float, version: int = 0
) -> bool:
    """Return whether fresh heartbeats confirm that nothing newer of a kind is known.

    Newer is a higher revision, or a higher version of an object than this node has.
    """
    if newer_version_source(state, kind, version, now) is not None:
        return False
    fresh = [
        heartbeat for heartbeat in state.heartbeats.values() if is_fresh(state, heartbeat, now)
    ]
    known = [heartbeat.revisions[kind] for heartbeat in fresh if kind in heartbeat.revisions]
    return bool(known) and max(known) <= revision


def confirmed_by_others_at(
    state: RelayState, kind: str, revision: int, version: int, since: float, now: float
) -> float:
    """Return when the store last confirmed to other nodes that nothing newer of a kind exists.

    Heartbeats received before `since` do not count; -inf without a confirmation.
    """
    if not is_confirmed_current(state, kind, revision, now, version):
        return -math.inf
    return max(
        (
            heartbeat.contact_at
            for heartbeat in state.heartbeats.values()
            if heartbeat.received_at >= since and is_fresh(state, heartbeat, now)
        ),
        default=-math.inf,
    )


def fetch_source(
    state: RelayState,
    kind: str,
    revision: int,
    random_value: float,
    now: float,
    version: int = 0,
) -> str | None:
    """Return the name of the node to fetch a kind from; None when no fetch is due.

    `random_value` is a random number from 0 to 1.
    """
    source = most_recent_announcer(state, kind, revision, now)
    if source is None:
        source = newer_version_source(state, kind, version, now)
    if source is None and not revision and now - state.started_at >= INITIAL_FETCH_AFTER_S:
        source = random_member(state, random_value)
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
    """Return the name of the node that announced the newest revision beyond the one held."""
    source = None
    for sender, heartbeat in state.heartbeats.items():
        announced = heartbeat.revisions.get(kind, 0)
        if now - heartbeat.received_at <= HEARTBEAT_TIMEOUT_S and announced > revision:
            source, revision = sender, announced
    return source


def random_member(state: RelayState, random_value: float) -> str | None:
    """Pick a node at random, of this data centre if there is one."""
    members = data_centre_members(state) or list(state.members.values())
    return members[int(random_value * len(members)) % len(members)].name if members else None


def is_repeated_fetch(state: RelayState, kind: str) -> bool:
    """Return whether a kind has been fetched more than once without success."""
    return state.fetches.get(kind, 0) > 1
