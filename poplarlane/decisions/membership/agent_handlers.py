"""Event handlers of the agent, and the propagation of changes after every event."""

import random
from collections.abc import Callable
from typing import Any

from poplarlane.decisions.configuration import (
    distribution,
    platform_watch,
    verification,
)
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership import (
    entry_links,
    membership,
)
from poplarlane.decisions.membership.agent_effects import ConnectPeer, SendToPeer, StopAgent
from poplarlane.decisions.membership.agent_events import (
    AgentEvent,
    AgentPaused,
    AgentStarted,
    AgentStopRequested,
    AgentTick,
    EntryMessageReceived,
    GrantFailed,
    GrantRead,
    PeerMessage,
    PlatformFailed,
    PlatformObjects,
    ProbeFinished,
    VmsListed,
)
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.probes import (
    grants,
    probes,
)
from poplarlane.decisions.reducer import reduce
from poplarlane.exchange_messages import Digest, FactList, FetchServices, RevisionList, StateUpdate
from poplarlane.types import MemberKind, MemberState

Handler = Callable[[Any, AgentState], list[Effect]]
HOUSEKEEPING_INTERVAL_S = 1.0


def register(kind: type[AgentEvent], handler: Handler) -> None:
    """Register a handler, wrapped in the steps common to all agent events."""

    def run(event: AgentEvent, state: AgentState) -> list[Effect]:
        state.now, state.wall = event.now, event.wall
        was_ready = state.verification.ready
        effects = handler(event, state)
        return effects + propagate_event_changes(event, state, was_ready)

    reduce.register(kind)(run)


def propagate_event_changes(event: AgentEvent, state: AgentState, was_ready: bool) -> list[Effect]:
    """Send what the event changed to entries and peers, and reset the record of changes."""
    generator = random.Random(event.random_value)
    effects = log_leaving_targets(state)
    if state.verification.ready and not was_ready:
        state.next_digest_at = min(state.next_digest_at, state.now)
        effects += entry_links.send_all_views(state)
    else:
        effects += entry_links.send_changes(state, state.new_probes)
    if state.changed:
        effects += distribution.propagate_changes(state, generator)
    if state.changed_facts or state.changed_verdicts:
        is_origin = not isinstance(event, PeerMessage)
        effects += distribution.propagate_notices(state, generator, is_origin)
    effects += distribution.flush(state)
    state.changed.clear()
    state.changed_facts.clear()
    state.changed_verdicts = []
    state.new_probes = []
    return effects


def log_leaving_targets(state: AgentState) -> list[Effect]:
    """Log the targets that became LEAVING in this event, whatever the source."""
    return [
        Log("target_leaving", "info", {"target": fact.name, "source": fact.source})
        for fact in state.changed_facts
        if fact.kind == MemberKind.TARGET and fact.state == MemberState.LEAVING
    ]


def on_started(event: AgentStarted, state: AgentState) -> list[Effect]:
    """Connect to the seeds and start to build the view."""
    generator = random.Random(event.random_value)
    verification.start_verification(state, generator)
    membership.announce_self(state, MemberState.LIVE)
    state.next_digest_at = state.now + state.exchange_interval_s * generator.random()
    return [ConnectPeer(peer.name, peer.address, peer.port) for peer in state.peers.values()]


def on_tick(event: AgentTick, state: AgentState) -> list[Effect]:
    """Run the periodic work that is due."""
    generator = random.Random(event.random_value)
    effects: list[Effect] = []
    if state.stopping:
        return effects
    if state.now >= state.housekeeping_at:
        state.housekeeping_at = state.now + HOUSEKEEPING_INTERVAL_S
        effects += membership.check_silence(state)
        effects += platform_watch.decide_watching(state, generator)
        effects += entry_links.expire(state)
    effects += verification.tick(state, generator)
    effects += platform_watch.tick(state, generator)
    if state.now >= state.next_digest_at:
        effects += distribution.send_digests(state, generator)
    effects += probes.tick(state)
    return effects + probes.flush(state)


def on_paused(event: AgentPaused, state: AgentState) -> list[Effect]:
    """Treat the view as unverified until peers or the platform confirm it."""
    state.pauses += 1
    for peer in state.peers.values():
        # The peers were not silent: this agent was paused.
        peer.heard_at += event.gap_s
        peer.ready = False
    for link in state.entries.values():
        link.heard_at += event.gap_s
    state.watch.since = None
    verification.start_verification(state, random.Random(event.random_value))
    return [Log("paused", "warning", {"gap_ms": round(event.gap_s * 1000)})]


def on_peer_message(event: PeerMessage, state: AgentState) -> list[Effect]:
    """Handle a message from another agent."""
    message = event.message
    accepted, effects = membership.register_sender(state, message.sender)
    if not accepted:
        return effects
    generator = random.Random(event.random_value)
    if isinstance(message, Digest):
        effects += distribution.on_digest(state, message, generator)
        effects += verification.on_digest(state, message, generator)
    elif isinstance(message, RevisionList):
        effects += distribution.on_holdings(state, message)
        effects += verification.on_holdings(state, message)
    elif isinstance(message, FactList):
        effects += distribution.on_fact_holdings(state, message)
    elif isinstance(message, FetchServices):
        effects += distribution.on_want(state, message)
    elif isinstance(message, StateUpdate):
        effects += distribution.on_news(state, message)
        for verdict in message.verdicts:
            entry_links.merge_verdict(state, verdict)
        probes.on_peer_results(state, message.probes)
    return effects


def on_vms_listed(event: VmsListed, state: AgentState) -> list[Effect]:
    """Process the platform's list of VMs."""
    state.watch.vm_list_pending = False
    state.watch.answered_at = state.now
    return membership.merge_vm_list(state, event.as_of, event.vms)


def on_stop_requested(_event: AgentStopRequested, state: AgentState) -> list[Effect]:
    """Notify the peers, release the grants and stop."""
    if state.stopping:
        return [StopAgent()]
    state.stopping = True
    membership.announce_self(state, MemberState.LEAVING)
    fact = membership.to_notice(state.changed_facts[-1])
    news = StateUpdate(distribution.sender(state), [], [fact], [], [])
    effects: list[Effect] = [SendToPeer(peer, news) for peer in state.peers]
    state.changed_facts.clear()
    for shard, held in state.shards.items():
        if held.is_held(state.now) and not held.call_pending:
            effects += grants.release(state, shard, held)
    return [*effects, Log("leaving", "info", {"peers": len(state.peers)}), StopAgent()]


register(AgentStarted, on_started)
register(AgentTick, on_tick)
register(AgentPaused, on_paused)
register(AgentStopRequested, on_stop_requested)
register(PeerMessage, on_peer_message)
register(EntryMessageReceived, entry_links.on_message)
register(PlatformObjects, platform_watch.on_objects)
register(PlatformFailed, platform_watch.on_failed)
register(VmsListed, on_vms_listed)
register(GrantRead, grants.on_read)
register(GrantFailed, grants.on_failed)
register(ProbeFinished, probes.on_finished)
