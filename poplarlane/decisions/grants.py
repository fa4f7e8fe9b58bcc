"""Probe grants: which process may probe the targets of a service, and until when.

One process per service probes at a time. It stops at its own deadline, which counts from a time
before it sent the write that obtained the grant. Another process that finds a foreign grant waits
for the whole duration after it received the answer that showed it, plus the maximum flight time,
and writes only if the stored version is still the same. No clocks of two VMs are compared.
"""

from poplarlane.decisions import membership
from poplarlane.decisions.agent_effects import ReadGrant, WriteGrant
from poplarlane.decisions.agent_events import GrantFailed, GrantRead
from poplarlane.decisions.agent_state import AgentState, ServiceProbes
from poplarlane.decisions.effects import Effect, Log
from poplarlane.objects import ProbeGrantObject

# A probe arrives within this time of its sending, or never: the connection is reset after
# PROBE_TIMEOUT_S, and the kernel drops unacknowledged bytes after the same time.
MAX_PROBE_FLIGHT_S = 2.0
PROBE_TIMEOUT_S = 1.0
# Clocks of two VMs run at most 2% apart.
CLOCK_DRIFT = 1.02
# A grant is renewed when this share of its duration has passed.
RENEW_SHARE = 0.5
RETRY_S = 1.0
# A process that is not the first choice for a service steps aside after this time.
STEP_ASIDE_S = 30.0
FRESH_PLATFORM_S = 6.0


def holds(probes: ServiceProbes, now: float) -> bool:
    """Tell whether this process may probe."""
    return now < probes.grant_until


def rank(state: AgentState, service: str) -> int:
    """Give this agent's place among the candidates for a service."""
    names = [peer.name for peer in membership.live_peers(state) if peer.contacted and peer.ready]
    return membership.rank_by_hash(f"probe/{service}", [*names, state.name]).index(state.name)


def keep(state: AgentState, service: str, probes: ServiceProbes) -> list[Effect]:
    """Renew a held grant in time, or release it to the first choice."""
    renew_at = probes.grant_until - state.grant_s * (1.0 - RENEW_SHARE)
    if probes.calling or state.now < max(renew_at, probes.next_try_at):
        return []
    if rank(state, service) == 0:
        probes.outranked_at = 0.0
    elif probes.outranked_at == 0.0:
        probes.outranked_at = state.now
    elif state.now - probes.outranked_at > STEP_ASIDE_S:
        return release(state, service, probes)
    probes.calling = True
    return [WriteGrant(service, probes.version, grant(state, service, probes.term, False))]


def seek(state: AgentState, service: str, probes: ServiceProbes) -> list[Effect]:
    """Try to obtain a grant when this agent is the first choice, or the others are silent."""
    if probes.calling or state.now < probes.next_try_at:
        return []
    if state.now - state.watch.answered_at > FRESH_PLATFORM_S:
        return []
    patience_s = 2.0 * (state.grant_s + MAX_PROBE_FLIGHT_S)
    place = rank(state, service)
    if place > 0 and state.now - probes.covered_at < patience_s * (place + 1):
        probes.next_try_at = state.now + RETRY_S
        return []
    probes.calling = True
    if probes.usable_at is None:
        return [ReadGrant(service)]
    if state.now < probes.usable_at:
        probes.calling = False
        return []
    return [WriteGrant(service, probes.version, grant(state, service, probes.term + 1, False))]


def release(state: AgentState, service: str, probes: ServiceProbes) -> list[Effect]:
    """End a grant early.

    The own deadline ends now: the write may take effect even when its answer is lost.
    """
    probes.grant_until = 0.0
    probes.calling = True
    return [WriteGrant(service, probes.version, grant(state, service, probes.term, True))]


def grant(state: AgentState, service: str, term: int, released: bool) -> ProbeGrantObject:
    """Build the grant object of this process."""
    return ProbeGrantObject(
        service=service,
        holder=state.name,
        process=state.process,
        term=term,
        duration_ms=round(state.grant_s * 1000),
        released=released,
    )


def on_read(event: GrantRead, state: AgentState) -> list[Effect]:
    """Take in what the platform holds, or that a write took effect."""
    state.watch.answered_at = max(state.watch.answered_at, event.sent_at)
    probes = state.probes.get(event.service)
    if probes is None:
        return []
    probes.calling = False
    if event.written:
        return on_written(event, state, probes)
    found: ProbeGrantObject | None = event.grant
    unchanged = probes.usable_at is not None and event.version == probes.version
    probes.version = event.version
    if found is None:
        # Only a service without any grant yet; grants are never deleted.
        probes.usable_at = state.now
        return []
    probes.term = max(probes.term, found.term)
    probes.holder = found.holder
    if (found.holder, found.process) == (state.name, state.process):
        # An own write whose answer was lost. This process knows every probe that it sent.
        probes.usable_at = state.now
    elif not unchanged:
        left_s = 0.0 if found.released else found.duration_ms / 1000
        probes.usable_at = state.now + (left_s + MAX_PROBE_FLIGHT_S) * CLOCK_DRIFT
        probes.grant_until = 0.0
        if not found.released:
            probes.covered_at = state.now
    probes.next_try_at = probes.usable_at
    return []


def on_written(event: GrantRead, state: AgentState, probes: ServiceProbes) -> list[Effect]:
    """Start, extend or end this process's own grant."""
    written: ProbeGrantObject = event.grant
    probes.version = event.version
    probes.holder = state.name
    if written.released:
        probes.grant_until = 0.0
        probes.outranked_at = 0.0
        probes.usable_at = None
        probes.covered_at = state.now
        # The first choice needs the flight time and a poll before it can take over.
        probes.next_try_at = state.now + state.grant_s + MAX_PROBE_FLIGHT_S
        return [Log("grant_released", "info", {"service": event.service, "term": written.term})]
    started = written.term > probes.term or probes.grant_until <= event.sent_at
    probes.term = written.term
    probes.usable_at = state.now
    probes.grant_until = event.sent_at + written.duration_ms / 1000 / CLOCK_DRIFT
    probes.next_try_at = state.now + RETRY_S
    if not started:
        return []
    # An empty bucket: a full interval passes before the first probe to each target.
    for target in probes.targets.values():
        target.clear_at = max(target.clear_at, state.now)
    fields = {"service": event.service, "term": written.term}
    return [Log("grant_obtained", "info", fields)]


def on_failed(event: GrantFailed, state: AgentState) -> list[Effect]:
    """Try again later; a conditional update shows then whether this write took effect."""
    probes = state.probes.get(event.service)
    if probes is None:
        return []
    probes.calling = False
    probes.next_try_at = state.now + RETRY_S * (1.0 + event.draw / 2**64)
    return []
