"""Sending of probes within their budget, and distribution of the results.

The interval between two probes to one target is measured from the latest time at which the earlier
probe can have arrived until the later one is sent, so the budget holds at the target.
"""

from poplarlane.decisions.configuration.distribution import sender
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership import membership
from poplarlane.decisions.membership.agent_effects import SendProbe, SendToPeer
from poplarlane.decisions.membership.agent_events import ProbeFinished
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.probes import grants
from poplarlane.decisions.probes.probe_schedule import (
    MAX_PROBE_FLIGHT_S,
    PROBE_TIMEOUT_S,
    schedule,
    shard_of,
    shard_probes,
    take_due,
)
from poplarlane.decisions.probes.probe_state import ShardProbes, TargetProbe
from poplarlane.exchange_messages import StateUpdate
from poplarlane.messages import ProbeNotice

CHECK_INTERVAL_S = 0.5
FLUSH_INTERVAL_S = 0.25
# Every agent receives the results of all others, so each may send an equal share of this rate.
FLEET_RESULT_BYTES_PER_S = 8_000.0
RESULT_BYTES = 64
RESULT_BURST_BYTES = 4_096.0
NOTABLE_IN_FLIGHT = 2
MAX_RESULTS_PER_MESSAGE = 500
ANNOUNCE_S = 5.0
# An unreachable target is announced repeatedly, for agents that missed a message or joined later.
UNREACHABLE_REPEAT_S = 2.0


def tick(state: AgentState) -> list[Effect]:
    """Renew or try to acquire grants, and send the probes that are due."""
    if not state.verification.ready or state.stopping:
        return []
    effects: list[Effect] = []
    if state.now - state.probes_checked_at >= CHECK_INTERVAL_S:
        state.probes_checked_at = state.now
        grants.note_platform_silence(state)
        grants.update_candidate_ranks(state)
        for shard, probes in state.shards.items():
            effects += check_grant(state, shard, probes)
    return effects + [create_probe(state, target) for target in take_due(state)]


def check_grant(state: AgentState, shard: int, probes: ShardProbes) -> list[Effect]:
    """Renew or try to acquire the grant of a shard, or release it if no service may be probed."""
    if not probes.is_held(state.now):
        return grants.try_acquire(state, shard, probes) if probes.services else []
    if probes.services:
        return grants.renew_or_release(state, shard, probes)
    return [] if probes.call_pending else grants.release(state, shard, probes)


def create_probe(state: AgentState, target: TargetProbe) -> SendProbe:
    """Create the effect that sends one due probe."""
    probes = state.shards[target.shard]
    probes.sent += 1
    state.count("probes_sent")
    return SendProbe(
        target.shard,
        target.service,
        target.target,
        target.address,
        target.port,
        probes.grant_until,
        PROBE_TIMEOUT_S,
    )


def on_finished(event: ProbeFinished, state: AgentState) -> list[Effect]:
    """Record a result; a probe that may have arrived counts as arrived at the latest time."""
    probes = state.shards.get(shard_of(event.service))
    probe = probes.find(event.service, event.target) if probes else None
    if probe is None:
        return []
    probe.pending = False
    probe.stagger = 0.0
    if event.arrived:
        probe.latest_arrival_at = max(probe.latest_arrival_at, state.now)
        probe.cost_s = event.latency_s
    elif event.sent:
        latest = event.sent_at + MAX_PROBE_FLIGHT_S
        probe.latest_arrival_at = max(probe.latest_arrival_at, state.now, latest)
        probe.cost_s = PROBE_TIMEOUT_S
    else:
        probe.latest_arrival_at = max(probe.latest_arrival_at, state.now)
    schedule(state, probe)
    if event.reason == "deadline":
        state.count("probes_withheld")
        return []
    return report(event, state, probes, probe)


def report(
    event: ProbeFinished, state: AgentState, probes: ShardProbes, probe: TargetProbe
) -> list[Effect]:
    """Pass a result to this agent's entries, and to other agents if it is a notable change."""
    effects: list[Effect] = []
    notice = ProbeNotice(
        event.service,
        event.target,
        event.answered,
        event.leaving,
        event.in_flight,
        event.queued,
        event.latency_s,
        0.0,
        probes.term,
        state.name,
    )
    probes.holder_seen_at = state.now
    if event.leaving:
        membership.mark_target_leaving(state, event.target, state.name)
    reachability_changed = event.answered != probe.reachable
    load_change = abs(event.in_flight - probe.sent_in_flight)
    probe.reachable = event.answered
    probe.suspected = not event.answered
    if reachability_changed:
        event_name = "target_reachable" if event.answered else "target_unreachable"
        effects.append(Log(event_name, "info", {"service": event.service, "target": event.target}))
    state.new_probes.append(notice)
    # An occasional result shows the other candidates that the shard has an active holder.
    announcement_due = state.now - probes.announced_at > ANNOUNCE_S
    unannounced_s = state.now - probe.announced_at
    repeat_due = not event.answered and unannounced_s > UNREACHABLE_REPEAT_S
    if reachability_changed or announcement_due or repeat_due or load_change >= NOTABLE_IN_FLIGHT:
        probes.announced_at = probe.announced_at = state.now
        probe.sent_in_flight = event.in_flight
        state.probe_outbox.append((notice, state.now - event.latency_s / 2))
    return effects


def flush(state: AgentState) -> list[Effect]:
    """Send the collected results to all agents, within this agent's share of the byte rate."""
    if state.now < state.probe_flush_at:
        return []
    elapsed_s = state.now - state.probe_flush_at + FLUSH_INTERVAL_S
    rate = FLEET_RESULT_BYTES_PER_S / (len(state.peers) + 1)
    state.probe_tokens = min(RESULT_BURST_BYTES, state.probe_tokens + elapsed_s * rate)
    state.probe_flush_at = state.now + FLUSH_INTERVAL_S
    if not state.probe_outbox:
        return []
    # Unreachable targets first; load figures that do not fit are dropped, as they age quickly.
    state.probe_outbox.sort(key=lambda pair: pair[0].reachable)
    capacity = int(state.probe_tokens / RESULT_BYTES)
    chosen = state.probe_outbox[: min(capacity, MAX_RESULTS_PER_MESSAGE)]
    if capacity > 0:
        state.probe_outbox = [
            pair for pair in state.probe_outbox[capacity:] if not pair[0].reachable
        ]
    if not chosen:
        return []
    state.probe_tokens -= len(chosen) * RESULT_BYTES
    for notice, at in chosen:
        notice.age_s = max(0.0, state.now - at)
    message = StateUpdate(sender(state), [], [], [], [notice for notice, _ in chosen])
    return [SendToPeer(peer.name, message) for peer in membership.live_peers(state)]


def on_peer_results(state: AgentState, notices: list[ProbeNotice]) -> None:
    """Process results of another holder; those of an earlier term of the shard are rejected."""
    for notice in notices:
        if notice.service not in state.services:
            continue
        probes = shard_probes(state, shard_of(notice.service))
        if notice.term < probes.term:
            state.count("old_terms_refused")
            continue
        probes.term = max(probes.term, notice.term)
        probes.holder_seen_at = state.now
        state.new_probes.append(notice)
