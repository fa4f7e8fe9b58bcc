"""Probe budget and schedule.

The interval between two probes to one target counts from the latest time at which the earlier
probe can have arrived to the sending of the later one, so the budget holds at the target.
"""

from poplarlane.decisions import grants, membership
from poplarlane.decisions.agent_effects import SendProbe, SendToPeer
from poplarlane.decisions.agent_events import ProbeFinished
from poplarlane.decisions.agent_state import AgentState, ServiceProbes, TargetProbe
from poplarlane.decisions.distribution import sender
from poplarlane.decisions.effects import Effect, Log
from poplarlane.exchange_messages import News
from poplarlane.messages import ProbeNotice
from poplarlane.objects import ProbeBudgetObject, ServiceObject
from poplarlane.types import MemberKind, MemberState, Verdict

CHECK_INTERVAL_S = 0.5
# Targets without doubt get a third of the budget: responses carry their load anyway.
CALM_FACTOR = 3.0
FLUSH_INTERVAL_S = 0.25
# Every agent receives the results of all others, so each sends its share of this rate.
FLEET_RESULT_BYTES_PER_S = 8_000.0
RESULT_BYTES = 64
RESULT_BURST_BYTES = 4_096.0
NOTABLE_IN_FLIGHT = 2
MAX_PROBES_PER_TICK = 64
MAX_RESULTS_PER_MESSAGE = 500
ANNOUNCE_S = 5.0
# An unreachable target is announced again, for agents that missed the message or joined later.
UNREACHABLE_REPEAT_S = 2.0


def interval_s(budget: ProbeBudgetObject, cost_s: float) -> float | None:
    """Give the shortest interval between probes to one target; None forbids probes.

    `cost_s` is the measured cost of the last probe; the configured cost may be too low.
    """
    if budget.per_target_per_s <= 0 or budget.target_time_share <= 0:
        return None
    cost_s = max(cost_s, budget.probe_cost_ms / 1000)
    return max(1.0 / budget.per_target_per_s, cost_s / budget.target_time_share)


def wanted(service: ServiceObject) -> bool:
    """Tell whether a service may be probed at all."""
    return not service.deleted and interval_s(service.probe_budget, 0.0) is not None


def tick(state: AgentState) -> list[Effect]:
    """Keep or seek grants, and send the probes that are due."""
    if not state.verification.ready or state.stopping:
        return []
    effects: list[Effect] = []
    check_all = state.now - state.probes_checked_at >= CHECK_INTERVAL_S
    if check_all:
        state.probes_checked_at = state.now
        follow_services(state)
    for name, probes in state.probes.items():
        if not grants.holds(probes, state.now):
            if check_all and wanted(state.services[name].service):
                effects += grants.seek(state, name, probes)
        elif not wanted(state.services[name].service):
            if not probes.calling:
                effects += grants.release(state, name, probes)
        else:
            effects += grants.keep(state, name, probes)
            effects += due_probes(state, name, probes)
    return effects


def follow_services(state: AgentState) -> None:
    """Create the probe state of services that may be probed."""
    for name, held in state.services.items():
        if name not in state.probes and wanted(held.service):
            state.probes[name] = ServiceProbes(state.now)


def due_probes(state: AgentState, name: str, probes: ServiceProbes) -> list[Effect]:
    """Send the probes whose interval has passed."""
    service = state.services[name].service
    effects: list[Effect] = []
    for target_name, target in service.targets.items():
        probe = probes.targets.get(target_name)
        if probe is None:
            count = len(probes.targets)
            probe = TargetProbe(state.now, (count * 0.618) % 1.0)
            probes.targets[target_name] = probe
        if not is_due(state, service, target_name, probe):
            continue
        probe.pending = True
        probes.sent += 1
        state.count("probes_sent")
        effects.append(
            SendProbe(
                name,
                target_name,
                target.address,
                target.port,
                probes.grant_until,
                grants.PROBE_TIMEOUT_S,
            )
        )
        if len(effects) >= MAX_PROBES_PER_TICK:
            break
    return effects


def is_due(state: AgentState, service: ServiceObject, name: str, probe: TargetProbe) -> bool:
    """Tell whether a target may be probed now."""
    if probe.pending:
        return False
    fact = state.facts.get((MemberKind.TARGET, name))
    if fact is not None and fact.state in (MemberState.LEAVING, MemberState.GONE):
        return False
    shortest_s = interval_s(service.probe_budget, probe.cost_s)
    factor = 1.0 if doubtful(state, service.service, name, probe) else CALM_FACTOR
    return state.now >= probe.clear_at + shortest_s * (factor + probe.stagger)


def doubtful(state: AgentState, service: str, name: str, probe: TargetProbe) -> bool:
    """Tell whether a target is unknown, failed its last probe, or is doubted by an entry."""
    if probe.doubt:
        return True
    return any(
        verdict.verdict != Verdict.HEALTHY
        for (of, target, _), (verdict, _) in state.verdicts.items()
        if of == service and target == name
    )


def on_finished(event: ProbeFinished, state: AgentState) -> list[Effect]:
    """Record a result; without certainty about its arrival the probe counts at the latest time."""
    probes = state.probes.get(event.service)
    probe = probes.targets.get(event.target) if probes else None
    if probe is None:
        return []
    probe.pending = False
    probe.stagger = 0.0
    if event.arrived:
        probe.clear_at = max(probe.clear_at, state.now)
        probe.cost_s = event.latency_s
    elif event.sent:
        latest = event.sent_at + grants.MAX_PROBE_FLIGHT_S
        probe.clear_at = max(probe.clear_at, state.now, latest)
        probe.cost_s = grants.PROBE_TIMEOUT_S
    else:
        probe.clear_at = max(probe.clear_at, state.now)
        if event.reason == "deadline":
            state.count("probes_withheld")
            return []
    return report(event, state, probes, probe)


def report(
    event: ProbeFinished, state: AgentState, probes: ServiceProbes, probe: TargetProbe
) -> list[Effect]:
    """Pass a result on: always to the own entries, to others when it is notable."""
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
    probes.covered_at = state.now
    if event.leaving:
        membership.leave_target(state, event.target, state.name)
    flipped = event.answered != probe.reachable
    shift = abs(event.in_flight - probe.sent_in_flight)
    probe.reachable = event.answered
    probe.doubt = not event.answered
    if flipped:
        word = "target_reachable" if event.answered else "target_unreachable"
        effects.append(Log(word, "info", {"service": event.service, "target": event.target}))
    state.new_probes.append(notice)
    # One result now and then tells the other candidates that the service is covered.
    quiet = state.now - probes.announced_at > ANNOUNCE_S
    silent_s = state.now - probe.announced_at
    repeated = not event.answered and silent_s > UNREACHABLE_REPEAT_S
    if flipped or quiet or repeated or shift >= NOTABLE_IN_FLIGHT:
        probes.announced_at = probe.announced_at = state.now
        probe.sent_in_flight = event.in_flight
        state.probe_outbox.append((notice, state.now - event.latency_s / 2))
    return effects


def flush(state: AgentState) -> list[Effect]:
    """Send the collected results to all agents, within this agent's share of bytes."""
    if state.now < state.probe_flush_at:
        return []
    passed_s = state.now - state.probe_flush_at + FLUSH_INTERVAL_S
    share = FLEET_RESULT_BYTES_PER_S / (len(state.peers) + 1)
    state.probe_tokens = min(RESULT_BURST_BYTES, state.probe_tokens + passed_s * share)
    state.probe_flush_at = state.now + FLUSH_INTERVAL_S
    if not state.probe_outbox:
        return []
    # Unreachable targets first; load figures that do not fit are of no use later.
    state.probe_outbox.sort(key=lambda pair: pair[0].reachable)
    room = int(state.probe_tokens / RESULT_BYTES)
    chosen = state.probe_outbox[: min(room, MAX_RESULTS_PER_MESSAGE)]
    if room > 0:
        state.probe_outbox = [pair for pair in state.probe_outbox[room:] if not pair[0].reachable]
    if not chosen:
        return []
    state.probe_tokens -= len(chosen) * RESULT_BYTES
    for notice, at in chosen:
        notice.age_s = max(0.0, state.now - at)
    message = News(sender(state), [], [], [], [notice for notice, _ in chosen])
    return [SendToPeer(peer.name, message) for peer in membership.live_peers(state)]


def on_peer_results(state: AgentState, notices: list[ProbeNotice]) -> None:
    """Take in results of another holder; those of an earlier term are refused."""
    for notice in notices:
        probes = state.probes.get(notice.service)
        if probes is None:
            if notice.service not in state.services:
                continue
            probes = state.probes[notice.service] = ServiceProbes(state.now)
        if notice.term < probes.term:
            state.count("old_terms_refused")
            continue
        probes.term = max(probes.term, notice.term)
        probes.covered_at = state.now
        state.new_probes.append(notice)
