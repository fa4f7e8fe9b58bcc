"""Verification that the view is complete, after a start and again after a pause."""

import random

from poplarlane.decisions.configuration import distribution
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership import membership
from poplarlane.decisions.membership.agent_effects import ListObjects, SendToPeer
from poplarlane.decisions.membership.agent_state import AgentState, Verification
from poplarlane.exchange_messages import Digest, RevisionList
from poplarlane.objects import SERVICE_COPIES_KIND, SERVICES_KIND

REQUIRED_CONFIRMATIONS = 2
# How long to wait for a second ready peer, and for any ready peer before the platform is asked.
PEER_WAIT_S = 2.0
ATTEMPT_INTERVAL_S = 0.3
# A list may be stale, so it replaces the comparison with ready peers only after this time. With 20%
# packet loss one attempt in three fails; this allows for about 30 attempts.
LIST_ONLY_AFTER_S = 10.0
PEERS_PER_ATTEMPT = 4
LIST_JITTER_S = 0.2
LIST_RETRY_S = (1.0, 4.0)
# Agents that are not first listers wait this much longer, so that the first can list and answer.
SECOND_LIST_DELAY_S = (1.5, 4.0)


def start_verification(state: AgentState, generator: random.Random) -> None:
    """Mark the view as unverified and start to verify it."""
    verification = Verification()
    state.nonce += 1
    verification.nonce = state.nonce
    verification.started_at = state.now
    verification.next_try_at = state.now
    wait_s = PEER_WAIT_S if state.peers else 0.0
    verification.list_at = state.now + wait_s + generator.uniform(0.0, LIST_JITTER_S)
    if not is_first_lister(state):
        verification.list_at += generator.uniform(*SECOND_LIST_DELAY_S)
    state.verification = verification


def is_first_lister(state: AgentState) -> bool:
    """Return whether this agent is among the first to list when a whole data centre starts."""
    names = [state.name]
    names += [peer.name for peer in state.peers.values() if peer.data_centre == state.data_centre]
    ranked = membership.rank_by_hash(f"watch/{state.data_centre}", names)
    return state.name in ranked[: state.watchers]


def tick(state: AgentState, generator: random.Random) -> list[Effect]:
    """Send digests to peers and, where they do not suffice, list from the platform."""
    verification = state.verification
    if verification.ready:
        return []
    effects: list[Effect] = []
    if state.now >= verification.next_try_at:
        verification.next_try_at = state.now + ATTEMPT_INTERVAL_S * generator.uniform(0.7, 1.3)
        effects += ask_peers(state, generator)
    if state.now >= verification.list_at:
        verification.list_at = state.now + generator.uniform(*LIST_RETRY_S) + PEER_WAIT_S
        if not verification.ready_peers or peer_attempts_timed_out(state):
            effects += [ListObjects(SERVICES_KIND), ListObjects(SERVICE_COPIES_KIND)]
    return effects + mark_ready_if_complete(state)


def ask_peers(state: AgentState, generator: random.Random) -> list[Effect]:
    """Send digests that request a reply, to agents known to be ready first."""
    peers = list(state.peers.values())
    generator.shuffle(peers)
    peers.sort(key=lambda peer: not peer.ready)
    digest = distribution.make_digest(state, generator, nonce=state.verification.nonce)
    return [SendToPeer(peer.name, digest) for peer in peers[:PEERS_PER_ATTEMPT]]


def is_answer(state: AgentState, nonce: int) -> bool:
    """Return whether a message answers a digest of this attempt; 0 stands for no digest."""
    return nonce != 0 and nonce == state.verification.nonce


def on_digest(state: AgentState, digest: Digest, generator: random.Random) -> list[Effect]:
    """Process a peer's reply; an equal digest of a ready peer confirms the view."""
    verification = state.verification
    if verification.ready or not is_answer(state, digest.reply_to):
        return []
    if digest.sender.ready:
        verification.ready_peers.add(digest.sender.name)
        if not state.service_index.differing_buckets(digest.services):
            verification.verified_by.add(digest.sender.name)
    elif all(peer.contacted and not peer.ready for peer in state.peers.values()):
        list_early(state, generator)
    return mark_ready_if_complete(state)


def list_early(state: AgentState, generator: random.Random) -> None:
    """Advance the platform list when no peer has a complete view."""
    if is_first_lister(state) and not state.verification.listed:
        early_at = state.now + generator.uniform(0.0, LIST_JITTER_S)
        if state.verification.list_at - state.now <= PEER_WAIT_S + LIST_JITTER_S:
            state.verification.list_at = min(state.verification.list_at, early_at)


def on_holdings(state: AgentState, message: RevisionList) -> list[Effect]:
    """Count a ready peer that holds nothing newer in the differing buckets as a confirmation."""
    verification = state.verification
    if verification.ready or message.ask or not is_answer(state, message.nonce):
        return []
    behind = any(
        revision > distribution.revision_of(state, name) for name, revision in message.revisions
    )
    if message.sender.ready and not behind:
        verification.verified_by.add(message.sender.name)
    return mark_ready_if_complete(state)


def on_listed(state: AgentState, kind: str) -> list[Effect]:
    """Record that the platform's list of a kind has been processed."""
    state.verification.listed.add(kind)
    return mark_ready_if_complete(state)


def mark_ready_if_complete(state: AgentState) -> list[Effect]:
    """Mark the agent ready when its view is known to be complete."""
    verification = state.verification
    if verification.ready or state.stopping or not is_confirmed(state):
        return []
    behind = outdated_services(state)
    if behind:
        return []
    verification.ready = True
    fields = {
        "services": len(state.services),
        "peers": ",".join(sorted(verification.verified_by)) or "none",
        "platform": int(len(verification.listed) == 2),
        "after_ms": round((state.now - verification.started_at) * 1000),
    }
    return [Log("ready", "info", fields)]


def is_confirmed(state: AgentState) -> bool:
    """Return whether enough peers, or the platform's lists, have confirmed the view."""
    verification = state.verification
    confirmed = len(verification.verified_by)
    waited = state.now - verification.started_at >= PEER_WAIT_S
    if confirmed >= REQUIRED_CONFIRMATIONS or (
        confirmed == 1 and (waited or len(state.peers) == 1)
    ):
        return True
    listed = verification.listed >= {SERVICES_KIND, SERVICE_COPIES_KIND}
    return listed and (not verification.ready_peers or peer_attempts_timed_out(state))


def peer_attempts_timed_out(state: AgentState) -> bool:
    """Return whether verification through ready peers has taken longer than LIST_ONLY_AFTER_S."""
    return state.now - state.verification.started_at >= LIST_ONLY_AFTER_S


def outdated_services(state: AgentState) -> list[str]:
    """List the services of which a newer revision is known to exist than the one held."""
    return [
        name
        for name, floor in state.highest_revisions.items()
        if floor > distribution.revision_of(state, name)
    ]
