"""Anti-entropy exchange between agents: digests, revision lists, fetches, and a bandwidth limit."""

import random
import zlib

from poplarlane.decisions.configuration import intake
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.membership import (
    liveness,
    membership,
)
from poplarlane.decisions.membership.agent_effects import SendToPeer
from poplarlane.decisions.membership.agent_state import (
    EXCHANGE_BURST_BYTES,
    EXCHANGE_BYTES_PER_S,
    AcceptedService,
    AgentState,
    Peer,
    bucket_of,
)
from poplarlane.exchange_messages import (
    MAX_MESSAGE_BODY_BYTES,
    Digest,
    FactList,
    FetchServices,
    RevisionList,
    Sender,
    StateUpdate,
)
from poplarlane.messages import MemberNotice, ServiceBody
from poplarlane.objects import MAX_VALUE_BYTES, SERVICES_KIND

DIGEST_FANOUT = 2
FORWARD_FANOUT = 3
REMOTE_PEER_FRACTION = 0.25
MAX_REJECTION_NOTICES = 16
RECENT_CHANGE_WINDOW_S = 10.0
MAX_FACTS_PER_MESSAGE = 500
# Facts and verdicts are sent directly to at most this many peers; forwarding reaches the others.
MAX_DIRECT_PEERS = 64
BODY_OVERHEAD_BYTES = 64
FACTS_PEER_INTERVAL_S = 2.0
# Facts of 5,300 targets take about 300 KB, and a starting agent fetched them from a dozen peers.
FACTS_MIN_INTERVAL_S = 0.5
# Service objects repeat their keys for every target, which the fastest level already removes.
COMPRESSION_LEVEL = 1


def sender(state: AgentState) -> Sender:
    """Return this agent's description as the sender of a message."""
    return Sender(
        state.name,
        state.incarnation,
        state.data_centre,
        state.address,
        state.port,
        state.verification.ready and not state.stopping,
    )


def make_digest(
    state: AgentState, generator: random.Random, nonce: int = 0, reply_to: int = 0
) -> Digest:
    """Build a digest of what this agent holds."""
    since = state.now - RECENT_CHANGE_WINDOW_S
    recent = [(name, state.services[name].revision) for name, at in state.recent.items()]
    recent = [pair for pair in recent if state.recent[pair[0]] >= since]
    return Digest(
        sender(state),
        nonce,
        reply_to,
        state.service_index.pack(),
        state.fact_index.pack(),
        recent,
        liveness.alive_notices(state, generator),
        list(state.rejected.values())[:MAX_REJECTION_NOTICES],
        state.now - state.watch.answered_at,
        state.now - state.watch.tried_at,
        liveness.pack_ages(state, generator),
    )


def choose_peers(state: AgentState, generator: random.Random, count: int) -> list[Peer]:
    """Choose random live agents, mostly in this data centre."""
    live = membership.live_peers(state)
    local_peers = [peer for peer in live if peer.data_centre == state.data_centre]
    remote_peers = [peer for peer in live if peer.data_centre != state.data_centre]
    chosen: list[Peer] = []
    for _ in range(count):
        pool = (
            remote_peers
            if not local_peers or (remote_peers and generator.random() < REMOTE_PEER_FRACTION)
            else local_peers
        )
        if pool:
            peer = generator.choice(pool)
            pool.remove(peer)
            chosen.append(peer)
    return chosen


def send_digests(state: AgentState, generator: random.Random) -> list[Effect]:
    """Send the periodic digests, including one to a silent agent that may be back."""
    state.next_digest_at = state.now + state.exchange_interval_s * generator.uniform(0.75, 1.25)
    peers = choose_peers(state, generator, DIGEST_FANOUT)
    live = {peer.name for peer in membership.live_peers(state)}
    silent = [peer for peer in state.peers.values() if peer.name not in live]
    if silent:
        peers.append(generator.choice(silent))
    return [SendToPeer(peer.name, make_digest(state, generator)) for peer in peers]


def on_digest(state: AgentState, digest: Digest, generator: random.Random) -> list[Effect]:
    """Compare a peer's digest with what this agent holds and answer with the difference."""
    name = digest.sender.name
    effects = membership.merge_alive_notices(state, digest.alive)
    liveness.merge_ages(state, digest.ages)
    merge_platform_contact(state, digest)
    for notice in digest.rejected:
        effects += intake.report_rejection(state, notice)
    if digest.nonce:
        effects.append(SendToPeer(name, make_digest(state, generator, reply_to=digest.nonce)))
    effects += request_newer(state, name, digest.recent)
    differing_buckets = state.service_index.differing_buckets(digest.services)
    if differing_buckets and not digest.nonce:
        effects.append(
            SendToPeer(name, revision_list(state, differing_buckets, True, digest.reply_to))
        )
    # A starting agent asks several peers at once; it decides which of them to fetch facts from.
    return effects if digest.nonce else effects + compare_facts(state, name, digest.facts)


def merge_platform_contact(state: AgentState, digest: Digest) -> None:
    """Merge when any agent last reached the platform, and last tried to."""
    watch = state.watch
    watch.answered_at = max(watch.answered_at, state.now - max(digest.platform_age_s, 0.0))
    watch.tried_at = max(watch.tried_at, state.now - max(digest.try_age_s, 0.0))


def compare_facts(state: AgentState, name: str, packed: bytes) -> list[Effect]:
    """Exchange facts in the buckets that differ, at a bounded rate per peer and in total."""
    differing_buckets = state.fact_index.differing_buckets(packed)
    peer = state.peers.get(name)
    if (
        not differing_buckets
        or peer is None
        or state.now - peer.facts_requested_at < FACTS_PEER_INTERVAL_S
    ):
        return []
    if state.now - state.facts_requested_at < FACTS_MIN_INTERVAL_S:
        return []
    peer.facts_requested_at = state.facts_requested_at = state.now
    return send_facts(state, name, differing_buckets, True)


def send_facts(state: AgentState, name: str, buckets: list[int], ask: bool) -> list[Effect]:
    """Send all facts of some buckets, split into messages."""
    bucket_set = set(buckets)
    facts = [
        membership.to_notice(fact)
        for (kind, member), fact in state.facts.items()
        if bucket_of(f"{kind}/{member}") in bucket_set
    ]
    effects: list[Effect] = []
    for start in range(0, max(len(facts), 1), MAX_FACTS_PER_MESSAGE):
        part = facts[start : start + MAX_FACTS_PER_MESSAGE]
        last = start + MAX_FACTS_PER_MESSAGE >= len(facts)
        message = FactList(sender(state), buckets if last else [], part, ask and last)
        effects.append(SendToPeer(name, message))
    return effects


def on_fact_holdings(state: AgentState, message: FactList) -> list[Effect]:
    """Merge a peer's facts and, if asked, answer with this agent's facts of the same buckets."""
    effects = membership.merge_notices(state, message.facts)
    if message.ask:
        effects += send_facts(state, message.sender.name, message.buckets, False)
    return effects


def revision_list(state: AgentState, buckets: list[int], ask: bool, nonce: int) -> RevisionList:
    """List all held revisions of some buckets."""
    bucket_set = set(buckets)
    revisions = [
        (name, held.revision)
        for name, held in state.services.items()
        if bucket_of(name) in bucket_set
    ]
    return RevisionList(sender(state), buckets, revisions, ask, nonce)


def on_holdings(state: AgentState, message: RevisionList) -> list[Effect]:
    """Send what the peer lacks, request what this agent lacks."""
    name = message.sender.name
    effects = request_newer(state, name, message.revisions)
    if not message.buckets:
        return effects
    peer_revisions = dict(message.revisions)
    bucket_set = set(message.buckets)
    newer = [
        service
        for service, held in state.services.items()
        if bucket_of(service) in bucket_set and held.revision > peer_revisions.get(service, 0)
    ]
    if message.ask:
        reply = revision_list(state, message.buckets, False, message.nonce)
        effects.append(SendToPeer(name, reply))
    enqueue(state, name, newer)
    return effects


def request_newer(state: AgentState, name: str, revisions: list[tuple[str, int]]) -> list[Effect]:
    """Request the services of which a peer holds a newer revision."""
    lacking = [service for service, revision in revisions if revision > revision_of(state, service)]
    for service, revision in revisions:
        state.highest_revisions[service] = max(state.highest_revisions.get(service, 0), revision)
    return [SendToPeer(name, FetchServices(sender(state), lacking))] if lacking else []


def revision_of(state: AgentState, service: str) -> int:
    """Return the held revision, 0 for an unknown service."""
    held = state.services.get(service)
    return held.revision if held else 0


def on_want(state: AgentState, message: FetchServices) -> list[Effect]:
    """Queue the requested service bodies."""
    enqueue(
        state, message.sender.name, [name for name in message.services if name in state.services]
    )
    return []


def on_news(state: AgentState, message: StateUpdate) -> list[Effect]:
    """Accept newer service bodies from a peer and merge its facts."""
    effects: list[Effect] = []
    for item in message.services:
        if item.revision < revision_of(state, item.service):
            state.count("stale_objects")
            continue
        body = decompress_body(item.body)
        if body is None:
            state.count("unreadable_bodies")
            continue
        effects += intake.accept_if_newer(state, item.service, body, SERVICES_KIND, False)
    return effects + membership.merge_notices(state, message.facts)


def compressed_body(held: AcceptedService) -> bytes:
    """Return the compressed body of a service, computed on first use."""
    if not held.packed:
        held.packed = zlib.compress(held.body, COMPRESSION_LEVEL)
    return held.packed


def decompress_body(data: bytes) -> bytes | None:
    """Decompress a body; None when it is damaged or larger than the platform accepts."""
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(data, MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return body if stream.eof else None


def enqueue(state: AgentState, peer: str, services: list[str]) -> None:
    """Queue services for a peer; a service already queued is sent once."""
    if not services or peer not in state.peers:
        return
    backlog = state.backlog.setdefault(peer, type(state.recent)())
    for service in services:
        backlog[service] = None


def flush(state: AgentState) -> list[Effect]:
    """Send queued bodies within the limit of the byte token bucket."""
    refilled = state.tokens + (state.now - state.tokens_at) * EXCHANGE_BYTES_PER_S
    state.tokens = min(EXCHANGE_BURST_BYTES, refilled)
    state.tokens_at = state.now
    effects: list[Effect] = []
    for peer in list(state.backlog):
        backlog = state.backlog[peer]
        while backlog and state.tokens > 0:
            bodies = take_bodies(state, backlog)
            effects.append(SendToPeer(peer, StateUpdate(sender(state), bodies, [], [], [])))
        if not backlog:
            del state.backlog[peer]
    return effects


def take_bodies(state: AgentState, backlog: dict[str, None]) -> list[ServiceBody]:
    """Take the bodies of one message from a backlog and charge their bytes to the token bucket."""
    bodies: list[ServiceBody] = []
    size = 0
    while backlog and size < MAX_MESSAGE_BODY_BYTES:
        name = next(iter(backlog))
        held = state.services[name]
        data = compressed_body(held)
        if bodies and size + len(data) > MAX_MESSAGE_BODY_BYTES:
            break
        del backlog[name]
        bodies.append(ServiceBody(name, held.revision, data))
        size += len(data) + BODY_OVERHEAD_BYTES
    state.tokens -= size
    return bodies


def propagate_changes(state: AgentState, generator: random.Random) -> list[Effect]:
    """Push bodies received from the platform; announce revisions received from peers to a few."""
    own = [name for name, from_platform in state.changed.items() if from_platform]
    if own:
        for peer in direct_push_peers(state):
            enqueue(state, peer, own)
    announced = [(name, revision_of(state, name)) for name in state.changed if name not in own]
    if not announced:
        return []
    message = RevisionList(sender(state), [], announced, False, 0)
    chosen = choose_peers(state, generator, FORWARD_FANOUT)
    return [SendToPeer(peer.name, message) for peer in chosen]


def direct_push_peers(state: AgentState) -> list[str]:
    """List the peers that get bodies first: this data centre and one watcher of each other one."""
    live = membership.live_peers(state)
    names = [peer.name for peer in live if peer.data_centre == state.data_centre]
    remote: dict[str, list[str]] = {}
    for peer in live:
        if peer.data_centre != state.data_centre:
            remote.setdefault(peer.data_centre, []).append(peer.name)
    for data_centre, members in remote.items():
        ranked = membership.rank_by_hash(f"watch/{data_centre}", members)
        names += ranked[:1]
    return names


def propagate_notices(state: AgentState, generator: random.Random, is_origin: bool) -> list[Effect]:
    """Send changed facts and verdicts: to many peers if observed here, else forward to a few."""
    facts: list[MemberNotice] = [membership.to_notice(fact) for fact in state.changed_facts]
    peers = [peer for peer in state.peers.values() if peer.contacted]
    limit = MAX_DIRECT_PEERS if is_origin else FORWARD_FANOUT
    if len(peers) > limit:
        peers = generator.sample(peers, limit)
    effects: list[Effect] = []
    for start in range(0, max(len(facts), 1), MAX_FACTS_PER_MESSAGE):
        part = facts[start : start + MAX_FACTS_PER_MESSAGE]
        verdicts = state.changed_verdicts if start == 0 else []
        message = StateUpdate(sender(state), [], part, verdicts, [])
        effects += [SendToPeer(peer.name, message) for peer in peers]
    return effects
