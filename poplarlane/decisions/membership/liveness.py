"""Gossip about when agents were last heard from, carried in digests."""

import math
import random

import xxhash

from poplarlane.decisions.membership import membership
from poplarlane.decisions.membership.agent_state import AgentState, Peer
from poplarlane.exchange_messages import AliveNotice

# Alive notices introduce a sample of agents with their addresses. Ages cover all agents: with a
# sample of 16 in a fleet of 85, agents went unmentioned for longer than the limit of silence.
MAX_ALIVE_NOTICES = 6
MAX_AGES = 512
REPORTED_AGE_FRACTION = 0.7
NAME_HASH_BYTES = 4
RECORD_BYTES = NAME_HASH_BYTES + 1
AGE_UNIT_S = 0.1
MAX_AGE_UNITS = 255


def recently_heard_peers(state: AgentState) -> list[Peer]:
    """List the agents whose last sign of life is recent enough to report."""
    # Older reports would reach the receiver too close to its limit of silence.
    reported_age_s = membership.silence_limit(state) * REPORTED_AGE_FRACTION
    limit = state.now - max(reported_age_s, membership.SUSPECT_AFTER_S)
    return [peer for peer in state.peers.values() if peer.contacted and peer.heard_at > limit]


def alive_notices(state: AgentState, generator: random.Random) -> list[AliveNotice]:
    """Build alive notices for a sample of the recently heard agents."""
    heard = recently_heard_peers(state)
    if len(heard) > MAX_ALIVE_NOTICES:
        heard = generator.sample(heard, MAX_ALIVE_NOTICES)
    return [
        AliveNotice(
            peer.name,
            peer.incarnation,
            peer.data_centre,
            peer.advertised or peer.address,
            peer.port,
            peer.ready,
            state.now - peer.heard_at,
        )
        for peer in heard
    ]


def name_hash(peer: Peer) -> bytes:
    """Return a short hash of an agent's name.

    The incarnation is left out: it changes when an agent refutes a suspicion, and agents that had
    not heard of the new one yet would then take it for silent.
    """
    return xxhash.xxh32_digest(peer.name.encode())


def pack_ages(state: AgentState, generator: random.Random) -> bytes:
    """Pack how long ago agents were heard from, 5 bytes each.

    Ages are rounded up, so that passing one on never makes an agent look more recent.
    """
    heard = recently_heard_peers(state)
    if len(heard) > MAX_AGES:
        heard = generator.sample(heard, MAX_AGES)
    records = []
    for peer in heard:
        units = math.ceil(max(state.now - peer.heard_at, 0.0) / AGE_UNIT_S)
        if units <= MAX_AGE_UNITS:
            records.append(name_hash(peer) + bytes((units,)))
    return b"".join(records)


def merge_ages(state: AgentState, packed: bytes) -> None:
    """Merge a peer's packed ages for the agents that this agent knows."""
    if not packed:
        return
    by_hash = {name_hash(peer): peer for peer in state.peers.values()}
    for start in range(0, len(packed) - RECORD_BYTES + 1, RECORD_BYTES):
        peer = by_hash.get(packed[start : start + NAME_HASH_BYTES])
        if peer is None:
            continue
        heard_at = state.now - packed[start + NAME_HASH_BYTES] * AGE_UNIT_S
        peer.heard_at = max(peer.heard_at, heard_at)
        peer.contacted = True
