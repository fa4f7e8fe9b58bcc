"""When agents were last heard from, as digests carry it."""

import math
import random

import xxhash

from poplarlane.decisions import membership
from poplarlane.decisions.agent_state import AgentState, Peer
from poplarlane.exchange_messages import AliveNotice

# Full notices introduce agents and addresses. Ages cover all agents, because a sample of 16 in a
# fleet of 85 left agents unmentioned for longer than the limit of silence.
MAX_ALIVE_NOTICES = 6
MAX_AGES = 512
USEFUL_SHARE = 0.7
MARK_BYTES = 4
RECORD_BYTES = MARK_BYTES + 1
AGE_UNIT_S = 0.1
MAX_AGE_UNITS = 255


def heard_peers(state: AgentState) -> list[Peer]:
    """List the agents that were heard of lately."""
    # Older news would reach the receiver too close to its limit of silence.
    useful_s = membership.silence_limit(state) * USEFUL_SHARE
    limit = state.now - max(useful_s, membership.SUSPECT_AFTER_S)
    return [peer for peer in state.peers.values() if peer.contacted and peer.heard_at > limit]


def alive_notices(state: AgentState, generator: random.Random) -> list[AliveNotice]:
    """Sample the agents that were heard of lately."""
    heard = heard_peers(state)
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


def mark_of(peer: Peer) -> bytes:
    """Give a short hash of an agent's name.

    The incarnation is left out: it changes when an agent refutes a suspicion, and agents that had
    not heard of the new one yet would then take it for silent.
    """
    return xxhash.xxh32_digest(peer.name.encode())


def pack_ages(state: AgentState, generator: random.Random) -> bytes:
    """Pack how long ago agents were heard from, 5 bytes each.

    Ages are rounded up, so that passing one on never makes an agent look more recent.
    """
    heard = heard_peers(state)
    if len(heard) > MAX_AGES:
        heard = generator.sample(heard, MAX_AGES)
    records = []
    for peer in heard:
        units = math.ceil(max(state.now - peer.heard_at, 0.0) / AGE_UNIT_S)
        if units <= MAX_AGE_UNITS:
            records.append(mark_of(peer) + bytes((units,)))
    return b"".join(records)


def hear_ages(state: AgentState, packed: bytes) -> None:
    """Take over when a peer heard from agents that this agent knows."""
    if not packed:
        return
    by_mark = {mark_of(peer): peer for peer in state.peers.values()}
    for start in range(0, len(packed) - RECORD_BYTES + 1, RECORD_BYTES):
        peer = by_mark.get(packed[start : start + MARK_BYTES])
        if peer is None:
            continue
        heard_at = state.now - packed[start + MARK_BYTES] * AGE_UNIT_S
        peer.heard_at = max(peer.heard_at, heard_at)
        peer.contacted = True
