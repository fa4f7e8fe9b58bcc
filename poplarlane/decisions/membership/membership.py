"""Fleet membership and failure detection: facts about agents, entries and targets."""

import xxhash

from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership.agent_effects import ConnectPeer, DisconnectPeer
from poplarlane.decisions.membership.agent_events import ListedVm
from poplarlane.decisions.membership.agent_state import AgentState, Peer
from poplarlane.exchange_messages import AliveNotice, Sender
from poplarlane.messages import MemberNotice
from poplarlane.types import MemberFact, MemberKind, MemberState

STATE_ORDER = (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING, MemberState.GONE)
# With two digests a second and 20% packet loss, news of each of 24 agents reaches all in about 4 s.
SUSPECT_AFTER_S = 8.0
# Gossip takes more rounds in a larger fleet, so the limit grows above this number of peers. With
# 85 agents in 7 data centres and 20% packet loss, news was up to 10.6 s old; the limit is 15 s.
SILENCE_LIMIT_BASE_PEERS = 45
# Silence alone does not distinguish a dead VM from one behind a broken link that still serves
# callers. An agent missing from the platform's list is removed at once; otherwise after this time.
SILENT_AGENT_RETENTION_S = 3_600.0
PLACEHOLDER_RETENTION_S = 60.0
MASS_LOSS_FRACTION = 0.25
MIN_MASS_LOSS_PEERS = 3
# The platform's list may show a leaving target as live for this long.
MAX_LIST_LAG_S = 10.0
MAX_RECENT_FACTS = 64
ENTRY_TIMEOUT_S = 5.0


def state_rank(state: MemberState) -> int:
    """Return the precedence of a state when facts are merged."""
    return STATE_ORDER.index(state)


def merge(first: MemberFact, second: MemberFact) -> MemberFact:
    """Merge two facts about one member; the merge is commutative and idempotent."""
    return max(first, second, key=precedence)


def precedence(fact: MemberFact) -> tuple[int, int, float, str]:
    """Return the sort key of a fact: incarnation, state, time, then source as a tie-breaker."""
    return (fact.incarnation, state_rank(fact.state), fact.observed_at, fact.source)


def merge_fact(state: AgentState, fact: MemberFact) -> bool:
    """Merge a fact; return whether incarnation or state of the member changed."""
    key = (fact.kind, fact.name)
    known = state.facts.get(key)
    fact = keep_leaving(known, fact)
    merged = fact if known is None else merge(known, fact)
    if merged is known:
        return False
    state.facts[key] = merged
    if known is not None and has_same_state(known, merged):
        return False
    state.fact_index.put(f"{fact.kind}/{fact.name}", f"{merged.incarnation}/{merged.state}")
    # Most targets are live, so first facts about live targets are not propagated.
    if known is not None or fact.kind != MemberKind.TARGET or fact.state != MemberState.LIVE:
        state.changed_facts.append(merged)
    state.recent_facts[key] = state.now
    state.recent_facts.move_to_end(key)
    while len(state.recent_facts) > MAX_RECENT_FACTS:
        state.recent_facts.popitem(last=False)
    return True


def keep_leaving(known: MemberFact | None, fact: MemberFact) -> MemberFact:
    """Keep a target in state LEAVING when a lagging list first reports its incarnation.

    An entry can see a target leave before any list gave its incarnation; 0 stands for an unknown
    incarnation. A LIVE fact at most MAX_LIST_LAG_S younger describes that same incarnation.
    """
    if known is None or known.incarnation != 0 or known.state != MemberState.LEAVING:
        return fact
    lagging = fact.observed_at <= known.observed_at + MAX_LIST_LAG_S
    if fact.incarnation > 0 and fact.state == MemberState.LIVE and lagging:
        return MemberFact(
            fact.name,
            fact.kind,
            fact.incarnation,
            MemberState.LEAVING,
            known.observed_at,
            known.source,
        )
    return fact


def has_same_state(first: MemberFact, second: MemberFact) -> bool:
    """Return whether two facts have the same incarnation and state."""
    return (first.incarnation, first.state) == (second.incarnation, second.state)


def from_notice(notice: MemberNotice) -> MemberFact | None:
    """Decode a notice; None for a kind or state that only a newer version knows."""
    try:
        kind, member_state = MemberKind(notice.kind), MemberState(notice.state)
    except ValueError:
        return None
    return MemberFact(
        notice.name, kind, notice.incarnation, member_state, notice.observed_at, notice.source
    )


def to_notice(fact: MemberFact) -> MemberNotice:
    """Encode a fact."""
    return MemberNotice(
        fact.name, fact.kind, fact.incarnation, fact.state, fact.observed_at, fact.source
    )


def merge_notices(state: AgentState, notices: list[MemberNotice]) -> list[Effect]:
    """Merge the facts of a message and refute any suspicion of this agent."""
    effects: list[Effect] = []
    for notice in notices:
        fact = from_notice(notice)
        if fact is not None:
            merge_fact(state, fact)
            effects += refute(state, fact)
    return effects


def refute(state: AgentState, fact: MemberFact) -> list[Effect]:
    """Raise this agent's incarnation above a fact that claims it is not live."""
    about_self = fact.kind == MemberKind.AGENT and fact.name == state.name
    if not about_self or state.stopping or fact.incarnation < state.incarnation:
        return []
    if fact.state == MemberState.LIVE and fact.incarnation == state.incarnation:
        return []
    state.incarnation = fact.incarnation + 1
    announce_self(state, MemberState.LIVE)
    return [Log("suspicion_refuted", "info", {"source": fact.source})]


def announce_self(state: AgentState, member_state: MemberState) -> None:
    """Record a fact about this agent, to be propagated."""
    merge_fact(
        state,
        MemberFact(
            state.name, MemberKind.AGENT, state.incarnation, member_state, state.wall, state.name
        ),
    )


def mark_target_leaving(state: AgentState, name: str, source: str) -> bool:
    """Record that a target is leaving in its current incarnation."""
    known = state.facts.get((MemberKind.TARGET, name))
    incarnation = known.incarnation if known else 0
    return merge_fact(
        state,
        MemberFact(name, MemberKind.TARGET, incarnation, MemberState.LEAVING, state.wall, source),
    )


def register_sender(state: AgentState, sender: Sender) -> tuple[bool, list[Effect]]:
    """Record the sender of a message; return False for an old incarnation or this agent itself."""
    if sender.name == state.name:
        return False, []
    peer = state.peers.get(sender.name)
    if peer is not None and sender.incarnation < peer.incarnation:
        state.count("old_incarnations_refused")
        return False, []
    effects = upsert_peer(state, sender, state.now)
    peer = state.peers[sender.name]
    peer.incarnation = sender.incarnation
    peer.ready = sender.ready
    peer.heard_at = state.now
    peer.contacted = True
    return True, effects


def merge_alive_notices(state: AgentState, notices: list[AliveNotice]) -> list[Effect]:
    """Merge what a peer reports of other agents, and add those not known yet."""
    effects: list[Effect] = []
    for notice in notices:
        heard_at = state.now - max(notice.age_s, 0.0)
        if notice.name == state.name or state.retired.get(notice.name, -1) >= notice.incarnation:
            continue
        peer = state.peers.get(notice.name)
        if peer is None and notice.age_s > SUSPECT_AFTER_S:
            continue
        if peer is not None and notice.incarnation < peer.incarnation:
            continue
        if peer is None or notice.incarnation > peer.incarnation:
            effects += upsert_peer(state, notice, heard_at)
            peer = state.peers[notice.name]
            peer.incarnation = notice.incarnation
            peer.ready = notice.ready
        peer.heard_at = max(peer.heard_at, heard_at)
        peer.contacted = True
    return effects


def upsert_peer(state: AgentState, where: Sender | AliveNotice, heard_at: float) -> list[Effect]:
    """Add a peer or update its address."""
    peer = state.peers.get(where.name)
    effects: list[Effect] = []
    if peer is None or peer.advertised != where.address:
        effects = drop_placeholders_of(state, where)
    if peer is None:
        state.retired.pop(where.name, None)
        peer = Peer(where.name, where.data_centre, where.address, where.port, heard_at)
        peer.advertised = where.address
        state.peers[where.name] = peer
        return [*effects, ConnectPeer(where.name, where.address, where.port)]
    peer.data_centre = where.data_centre
    # A seed's address may lead through a proxy, so it is kept until the agent itself moves.
    if where.incarnation > peer.incarnation and peer.advertised not in ("", where.address):
        peer.address, peer.port = where.address, where.port
        effects.append(ConnectPeer(where.name, where.address, where.port))
    peer.advertised = where.address
    return effects


def drop_placeholders_of(state: AgentState, where: Sender | AliveNotice) -> list[Effect]:
    """Drop placeholders from the platform's list that turn out to be the named agent."""
    names = [
        peer.name
        for peer in state.peers.values()
        if not peer.contacted and not peer.seed and peer.address == where.address
    ]
    for name in names:
        del state.peers[name]
    return [DisconnectPeer(name) for name in names]


def merge_vm_list(state: AgentState, as_of: float, vms: list[ListedVm]) -> list[Effect]:
    """Merge the platform's list: targets as facts, other VMs as placeholders for their agents."""
    if as_of < state.watch.vm_list_as_of:
        state.count("stale_vm_lists")
        return []
    state.watch.vm_list_as_of = as_of
    effects: list[Effect] = []
    known = {peer.address for peer in state.peers.values()} | {state.address}
    known |= {peer.advertised for peer in state.peers.values()}
    for vm in vms:
        if vm.role == MemberKind.TARGET:
            merge_listed_target(state, vm, as_of)
        elif vm.address not in known and vm.state == MemberState.LIVE:
            state.peers[vm.name] = Peer(vm.name, vm.data_centre, vm.address, state.port, state.now)
            effects.append(ConnectPeer(vm.name, vm.address, state.port))
    effects += remove_unlisted_silent_peers(
        state, {vm.address for vm in vms if vm.state == MemberState.LIVE}
    )
    return effects


def merge_listed_target(state: AgentState, vm: ListedVm, as_of: float) -> None:
    """Merge one target of the platform's list."""
    member_state = MemberState.LEAVING if vm.state == MemberState.LEAVING else MemberState.LIVE
    merge_fact(
        state,
        MemberFact(vm.name, MemberKind.TARGET, vm.incarnation, member_state, as_of, "platform"),
    )


def silence_limit(state: AgentState) -> float:
    """Return how long, in seconds, an agent may be silent before it is suspected."""
    return SUSPECT_AFTER_S * max(1.0, len(state.peers) / SILENCE_LIMIT_BASE_PEERS)


def peers_past_silence_limit(state: AgentState) -> list[Peer]:
    """List the contacted agents that have been silent for longer than the limit."""
    limit = state.now - silence_limit(state)
    return [peer for peer in state.peers.values() if peer.contacted and peer.heard_at < limit]


def check_silence(state: AgentState) -> list[Effect]:
    """Suspect silent agents, unless so many are silent that this VM is probably isolated."""
    known = [peer for peer in state.peers.values() if peer.contacted]
    silent = peers_past_silence_limit(state)
    isolated = len(known) >= MIN_MASS_LOSS_PEERS and len(silent) > MASS_LOSS_FRACTION * len(known)
    effects: list[Effect] = []
    if isolated != state.isolated:
        state.isolated = isolated
        event = "own_network_suspected" if isolated else "own_network_recovered"
        effects.append(Log(event, "warning", {"silent": len(silent), "known": len(known)}))
    if isolated:
        return effects
    for peer in silent:
        effects += suspect(state, peer)
    return effects + drop_expired_placeholders(state)


def suspect(state: AgentState, peer: Peer) -> list[Effect]:
    """Suspect one silent agent; remove it after SILENT_AGENT_RETENTION_S."""
    if state.now - peer.heard_at > SILENT_AGENT_RETENTION_S:
        return remove_peer(state, peer)
    incarnation = peer.incarnation
    fact = MemberFact(
        peer.name,
        MemberKind.AGENT,
        incarnation,
        MemberState.SUSPECT,
        state.wall,
        state.name,
    )
    if not merge_fact(state, fact):
        return []
    return [Log("agent_suspected", "warning", {"agent": peer.name})]


def remove_peer(state: AgentState, peer: Peer) -> list[Effect]:
    """Record an agent as GONE and remove it from the peers."""
    merge_fact(
        state,
        MemberFact(
            peer.name,
            MemberKind.AGENT,
            peer.incarnation,
            MemberState.GONE,
            state.wall,
            state.name,
        ),
    )
    del state.peers[peer.name]
    state.backlog.pop(peer.name, None)
    state.retired[peer.name] = peer.incarnation
    return [DisconnectPeer(peer.name), Log("agent_gone", "info", {"agent": peer.name})]


def remove_unlisted_silent_peers(state: AgentState, live_addresses: set[str]) -> list[Effect]:
    """Remove silent agents whose VM the platform does not list as live either."""
    effects: list[Effect] = []
    for peer in peers_past_silence_limit(state):
        if peer.address not in live_addresses and peer.advertised not in live_addresses:
            effects += remove_peer(state, peer)
    return effects


def drop_expired_placeholders(state: AgentState) -> list[Effect]:
    """Drop listed VMs on which no agent ever answered; a later list adds them again."""
    limit = state.now - PLACEHOLDER_RETENTION_S
    names = [
        peer.name
        for peer in state.peers.values()
        if not peer.contacted and not peer.seed and peer.heard_at < limit
    ]
    for name in names:
        del state.peers[name]
        state.backlog.pop(name, None)
    return [DisconnectPeer(name) for name in names]


def agent_state_of(state: AgentState, name: str) -> MemberState:
    """Return the state of an agent."""
    fact = state.facts.get((MemberKind.AGENT, name))
    peer = state.peers.get(name)
    if fact is None or (peer is not None and fact.incarnation < peer.incarnation):
        return MemberState.LIVE
    return fact.state


def live_peers(state: AgentState) -> list[Peer]:
    """List the agents within the limit of silence that are not leaving."""
    limit = state.now - silence_limit(state)
    return [
        peer
        for peer in state.peers.values()
        if peer.heard_at >= limit
        and agent_state_of(state, peer.name) in (MemberState.LIVE, MemberState.SUSPECT)
    ]


def rank_by_hash(key: str, names: list[str]) -> list[str]:
    """Rank names by rendezvous hashing: adding or removing a name leaves the others in order."""
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


def fleet_entries(state: AgentState) -> int:
    """Count the live entries; those of suspected agents still count."""
    return max(1, len(entry_names(state)))


def entry_rank(state: AgentState, name: str) -> int:
    """Return the index of an entry among the live ones in order of name."""
    return sum(other < name for other in entry_names(state))


def entry_names(state: AgentState) -> list[str]:
    """List the live entries."""
    gone = state.retired
    return [
        fact.name
        for fact in state.facts.values()
        if fact.kind == MemberKind.ENTRY
        and fact.state in (MemberState.LIVE, MemberState.SUSPECT)
        and fact.source not in gone
    ]
