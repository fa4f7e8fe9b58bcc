"""Schedule of probes: which targets a holder probes, and when each is due.

The targets of all held shards are in one heap, ordered by the earliest time at which they can be
due, so a tick looks at due ones only. The most overdue target comes first, so the limit per tick
starves none.
"""

import heapq
import math

import xxhash

from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.probes.probe_state import ShardProbes, TargetProbe
from poplarlane.objects import ProbeBudgetObject, ServiceObject
from poplarlane.types import MemberKind, MemberState, Verdict

# Must be the same in all agents: it decides which grant covers a service.
GRANT_SHARDS = 64
SHARD_HASH_SEED = 2
# A probe arrives at most this long after it was sent, or never: the connection is reset after
# PROBE_TIMEOUT_S, and the kernel drops unacknowledged bytes after the same time.
MAX_PROBE_FLIGHT_S = 2.0
PROBE_TIMEOUT_S = 1.0
# Assumes that the rates of two VMs' clocks differ by at most 2%.
CLOCK_DRIFT = 1.02
# An accepted configuration is applied everywhere within this time (design.md, invariant 7).
CHANGE_PROPAGATION_S = 4.0
# A target that is not due yet is checked again after this time, in case it has become suspected.
RECHECK_S = 0.5
# Targets that are not suspected get a third of the budget: responses carry their load anyway.
HEALTHY_INTERVAL_FACTOR = 3.0
MAX_PROBES_PER_TICK = 64
GOLDEN_RATIO = 0.618


def shard_of(service: str) -> int:
    """Return the shard whose grant covers a service."""
    return xxhash.xxh32_intdigest(service.encode(), seed=SHARD_HASH_SEED) % GRANT_SHARDS


def shard_probes(state: AgentState, shard: int) -> ShardProbes:
    """Return the state of a shard, creating it if needed."""
    probes = state.shards.get(shard)
    if probes is None:
        probes = state.shards[shard] = ShardProbes(state.now)
    return probes


def interval_s(budget: ProbeBudgetObject, cost_s: float) -> float | None:
    """Return the shortest allowed interval between probes to one target; None forbids probes.

    `cost_s` is the measured cost of the last probe, because the configured cost may be too low.
    """
    if budget.per_target_per_s <= 0 or budget.target_time_share <= 0:
        return None
    cost_s = max(cost_s, budget.probe_cost_ms / 1000)
    return max(1.0 / budget.per_target_per_s, cost_s / budget.target_time_share)


def may_be_probed(service: ServiceObject) -> bool:
    """Return whether the configuration of a service allows probes."""
    return not service.deleted and interval_s(service.probe_budget, 0.0) is not None


def update_service(state: AgentState, name: str) -> None:
    """Apply a changed service to the schedule: whether it may be probed, and its targets."""
    shard = shard_of(name)
    if may_be_probed(state.services[name].service):
        probes = shard_probes(state, shard)
        probes.services.add(name)
        if probes.is_held(state.now):
            update_targets(state, shard, name)
    elif shard in state.shards:
        state.shards[shard].services.discard(name)
        state.shards[shard].targets.pop(name, None)


def start_term(state: AgentState, shard: int) -> None:
    """Start the schedule of a new grant: a full interval passes before each first probe."""
    probes = state.shards[shard]
    for name in probes.targets.keys() - probes.services:
        del probes.targets[name]
    count = 0
    for name in sorted(probes.services):
        update_targets(state, shard, name)
        start_at = interval_start(state, name)
        for target in probes.targets[name].values():
            target.latest_arrival_at = max(target.latest_arrival_at, start_at)
            target.stagger = (count * GOLDEN_RATIO) % 1.0
            count += 1
            schedule(state, target)


def interval_start(state: AgentState, service: str) -> float:
    """Return when the interval starts for targets that this process has not probed yet.

    The holder of another shard may still probe a target that moved to this one. It may be
    partitioned until shortly before its grant expires, renew it, and only then learn of the
    change; its last probe may be in flight at that moment.
    """
    wait_s = state.moved_target_wait_s
    if wait_s is None:
        wait_s = (state.grant_duration_s + CHANGE_PROPAGATION_S + MAX_PROBE_FLIGHT_S) * CLOCK_DRIFT
    return max(state.now, state.services[service].accepted_at + wait_s)


def update_targets(state: AgentState, shard: int, name: str) -> None:
    """Drop targets removed from a service, and schedule new ones after a full interval."""
    known = state.shards[shard].targets.setdefault(name, {})
    targets = state.services[name].service.targets
    for target_name in known.keys() - targets.keys():
        del known[target_name]
    for target_name, configured in targets.items():
        target = known.get(target_name)
        if target is not None and (target.address, target.port) == (
            configured.address,
            configured.port,
        ):
            continue
        latest_arrival_at = interval_start(state, name)
        target = TargetProbe(
            shard, name, target_name, configured.address, configured.port, latest_arrival_at
        )
        target.stagger = (len(known) * GOLDEN_RATIO) % 1.0
        known[target_name] = target
        schedule(state, target)


def schedule(state: AgentState, target: TargetProbe) -> None:
    """Queue a target for the earliest time at which it can be due."""
    if target.scheduled or target.pending:
        return
    shortest_s = interval_s(state.services[target.service].service.probe_budget, target.cost_s)
    if shortest_s is not None:
        enqueue(state, target, target.latest_arrival_at + shortest_s * (1.0 + target.stagger))


def enqueue(state: AgentState, target: TargetProbe, at: float) -> None:
    """Push a target onto the heap; targets with equal times keep their order."""
    target.scheduled = True
    state.probe_sequence += 1
    heapq.heappush(state.probe_queue, (at, state.probe_sequence, target))


def take_due(state: AgentState) -> list[TargetProbe]:
    """Pop the targets that are to be probed now, the most overdue first."""
    queue = state.probe_queue
    if not queue or queue[0][0] > state.now:
        return []
    suspect_names = suspected_targets(state)
    taken: list[TargetProbe] = []
    while queue and queue[0][0] <= state.now and len(taken) < MAX_PROBES_PER_TICK:
        target = heapq.heappop(queue)[2]
        target.scheduled = False
        probes = state.shards[target.shard]
        current = probes.find(target.service, target.target) is target
        if not current or target.pending or not probes.is_held(state.now):
            continue
        due_at = due_time(state, target, suspect_names)
        if due_at > state.now:
            enqueue(state, target, min(due_at, state.now + RECHECK_S))
        else:
            target.pending = True
            taken.append(target)
    return taken


def due_time(state: AgentState, target: TargetProbe, suspect_names: set[tuple[str, str]]) -> float:
    """Return when a target may be probed; never for a leaving one."""
    fact = state.facts.get((MemberKind.TARGET, target.target))
    if fact is not None and fact.state in (MemberState.LEAVING, MemberState.GONE):
        return math.inf
    shortest_s = interval_s(state.services[target.service].service.probe_budget, target.cost_s)
    if shortest_s is None:
        return math.inf
    is_suspected = target.suspected or (target.service, target.target) in suspect_names
    factor = 1.0 if is_suspected else HEALTHY_INTERVAL_FACTOR
    return target.latest_arrival_at + shortest_s * (factor + target.stagger)


def suspected_targets(state: AgentState) -> set[tuple[str, str]]:
    """Return the targets that any entry's verdict calls unhealthy, by service and name."""
    return {
        (service, target)
        for (service, target, _), (verdict, _) in state.verdicts.items()
        if verdict.verdict != Verdict.HEALTHY
    }
