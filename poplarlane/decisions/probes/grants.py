"""Probe grants: leases that decide which process may probe the targets of a shard, and until when.

One process per shard probes at a time. Its deadline counts from a time before it sent the write
that obtained the grant. A process that reads the grant of another one waits for the full duration
after it received that response, plus the maximum flight time of a probe, and writes only if the
stored version is unchanged. Clocks of different VMs are never compared.
"""

from collections import Counter

from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.membership import membership
from poplarlane.decisions.membership.agent_effects import ReadGrant, SendProbe, WriteGrant
from poplarlane.decisions.membership.agent_events import GrantFailed, GrantRead
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.probes import probe_schedule
from poplarlane.decisions.probes.probe_schedule import (
    CHANGE_PROPAGATION_S,
    CLOCK_DRIFT,
    MAX_PROBE_FLIGHT_S,
)
from poplarlane.decisions.probes.probe_state import ShardProbes
from poplarlane.objects import ProbeGrantObject

# A grant is renewed when this fraction of its duration has passed.
RENEW_FRACTION = 0.5
RETRY_S = 1.0
# A holder that is not the first candidate for its shard releases the grant after this time.
YIELD_AFTER_S = 30.0
PLATFORM_SILENT_AFTER_S = 6.0


def shard_name(shard: int) -> str:
    """Return the name of the object that holds the grant of a shard."""
    return f"shard-{shard:02d}"


def may_send(state: AgentState, effect: SendProbe, now: float) -> bool:
    """Return whether a probe may be sent now.

    The grant may have been released after the effect was created, so the current deadline is
    checked as well.
    """
    return now < min(effect.not_after, state.shards[effect.shard].grant_until)


def update_candidate_ranks(state: AgentState) -> None:
    """Update this agent's rank among the candidates for each shard that is to be probed."""
    peers = [peer.name for peer in membership.live_peers(state) if peer.contacted and peer.ready]
    names = sorted([*peers, state.name])
    shards = sorted(shard for shard, probes in state.shards.items() if probes.services)
    if (names, shards) == state.probe_candidates:
        return
    state.probe_candidates = (names, shards)
    state.candidate_ranks = {
        shard: ranked.index(state.name) for shard, ranked in rank_candidates(shards, names).items()
    }


def rank_candidates(shards: list[int], names: list[str]) -> dict[int, list[str]]:
    """Rank the agents for each shard, and spread the first ranks evenly over the agents.

    The first candidate is the best by rendezvous hashing that has not reached its limit of shards;
    the numbers of shards for which two agents are first differ by one at the most.
    Without that limit, some of 24 agents would hold 7 of 64 shards and others none.
    """
    quota, remainder = divmod(len(shards), len(names))
    first_counts: Counter[str] = Counter()
    ranks: dict[int, list[str]] = {}
    for shard in shards:
        ranked = membership.rank_by_hash(f"probe/{shard}", names)
        limit = quota if remainder else quota - 1
        first = next(name for name in ranked if first_counts[name] <= limit)
        remainder -= first_counts[first] == quota
        first_counts[first] += 1
        ranks[shard] = [first, *(name for name in ranked if name != first)]
    return ranks


def candidate_rank(state: AgentState, shard: int) -> int:
    """Return this agent's rank among the candidates for a shard, 0 for the first."""
    return state.candidate_ranks.get(shard, len(state.peers))


def note_platform_silence(state: AgentState) -> None:
    """Record that the platform is silent: changes made meanwhile will arrive late."""
    if state.now - state.watch.answered_at > PLATFORM_SILENT_AFTER_S:
        state.platform_silent_at = state.now


def renew_or_release(state: AgentState, shard: int, probes: ShardProbes) -> list[Effect]:
    """Renew a held grant before it expires, or release it to the first candidate."""
    renew_at = probes.grant_until - state.grant_duration_s * (1.0 - RENEW_FRACTION)
    if probes.call_pending or state.now < max(renew_at, probes.next_try_at):
        return []
    if candidate_rank(state, shard) == 0:
        probes.outranked_since = 0.0
    elif probes.outranked_since == 0.0:
        probes.outranked_since = state.now
    elif state.now - probes.outranked_since > YIELD_AFTER_S:
        return release(state, shard, probes)
    probes.call_pending = True
    return [WriteGrant(shard, probes.version, build_grant(state, shard, probes.term, False))]


def try_acquire(state: AgentState, shard: int, probes: ShardProbes) -> list[Effect]:
    """Try to obtain a grant if this agent is the first candidate or the better ones are silent."""
    if probes.call_pending or state.now < probes.next_try_at:
        return []
    if state.now - state.platform_silent_at < CHANGE_PROPAGATION_S * CLOCK_DRIFT:
        return []
    takeover_delay_s = 2.0 * (state.grant_duration_s + MAX_PROBE_FLIGHT_S)
    rank = candidate_rank(state, shard)
    if rank > 0 and state.now - probes.holder_seen_at < takeover_delay_s * (rank + 1):
        probes.next_try_at = state.now + RETRY_S
        return []
    probes.call_pending = True
    if probes.available_at is None or state.now < probes.available_at:
        return [ReadGrant(shard)]
    return [WriteGrant(shard, probes.version, build_grant(state, shard, probes.term + 1, False))]


def release(state: AgentState, shard: int, probes: ShardProbes) -> list[Effect]:
    """End a grant early.

    Probing stops now, before the write is confirmed: it may take effect even if its response is
    lost.
    """
    probes.grant_until = 0.0
    probes.call_pending = True
    return [WriteGrant(shard, probes.version, build_grant(state, shard, probes.term, True))]


def build_grant(state: AgentState, shard: int, term: int, released: bool) -> ProbeGrantObject:
    """Build the grant object of this process."""
    return ProbeGrantObject(
        shard=shard,
        holder=state.name,
        process=state.process,
        term=term,
        duration_ms=round(state.grant_duration_s * 1000),
        released=released,
    )


def on_read(event: GrantRead, state: AgentState) -> list[Effect]:
    """Process the stored grant, or the confirmation of a write."""
    state.watch.answered_at = max(state.watch.answered_at, event.sent_at)
    probes = state.shards.get(event.shard)
    if probes is None:
        return []
    probes.call_pending = False
    if event.written:
        return on_written(event, state, probes)
    stored: ProbeGrantObject | None = event.grant
    unchanged = probes.available_at is not None and event.version == probes.version
    probes.version = event.version
    if stored is None:
        # The shard has never had a grant; grants are never deleted.
        probes.available_at = state.now
        return []
    probes.term = max(probes.term, stored.term)
    probes.holder = stored.holder
    if (stored.holder, stored.process) == (state.name, state.process):
        # An own write whose response was lost. This process knows every probe that it sent.
        probes.available_at = state.now
    elif not unchanged:
        remaining_s = 0.0 if stored.released else stored.duration_ms / 1000
        probes.available_at = state.now + (remaining_s + MAX_PROBE_FLIGHT_S) * CLOCK_DRIFT
        probes.grant_until = 0.0
        if not stored.released:
            probes.holder_seen_at = state.now
    # Reading again before the wait ends detects an early release.
    probes.next_try_at = min(
        probes.available_at, state.now + state.grant_duration_s * RENEW_FRACTION
    )
    return []


def on_written(event: GrantRead, state: AgentState, probes: ShardProbes) -> list[Effect]:
    """Process a confirmed write, which started, extended or ended this process's own grant."""
    written: ProbeGrantObject = event.grant
    probes.version = event.version
    probes.holder = state.name
    if written.released:
        probes.grant_until = 0.0
        probes.outranked_since = 0.0
        probes.available_at = None
        probes.holder_seen_at = state.now
        # The first candidate needs the flight time and a poll before it can take over.
        probes.next_try_at = state.now + state.grant_duration_s + MAX_PROBE_FLIGHT_S
        return [
            Log("grant_released", "info", {"shard": shard_name(event.shard), "term": written.term})
        ]
    started = written.term > probes.term or probes.grant_until <= event.sent_at
    probes.term = written.term
    probes.available_at = state.now
    probes.grant_until = event.sent_at + written.duration_ms / 1000 / CLOCK_DRIFT
    probes.next_try_at = state.now + RETRY_S
    if not started:
        return []
    probe_schedule.start_term(state, event.shard)
    fields = {"shard": shard_name(event.shard), "term": written.term}
    return [Log("grant_obtained", "info", fields)]


def on_failed(event: GrantFailed, state: AgentState) -> list[Effect]:
    """Schedule a retry; its conditional update will show whether this write took effect."""
    probes = state.shards.get(event.shard)
    if probes is None:
        return []
    probes.call_pending = False
    probes.next_try_at = state.now + RETRY_S * (1.0 + event.random_value / 2**64)
    return []
