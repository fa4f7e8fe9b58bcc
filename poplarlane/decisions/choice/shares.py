"""Divide the targets of a service, and their connections, among the entries of the fleet.

A target accepts a limited number of connections from all entries together. Each entry computes its
share from the configuration and the number of entries alone, so that no coordination is needed.
"""

from collections import Counter

from poplarlane.decisions.admission.limits import MIN_IN_FLIGHT_SHARE, ServiceLimits, share_target
from poplarlane.decisions.choice.subsets import (
    TargetGroup,
    choose_subset,
    interleave,
    max_entries_per_target,
)
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.requests.entry_effects import SetConnectionLimit
from poplarlane.decisions.requests.entry_state import ServiceState


def update_shares(service: ServiceState, effects: list[Effect]) -> None:
    """Recompute groups and shares after a change of the service's targets or their leaving."""
    service.limits.loads = [load for load in service.loads.values() if not load.leaving]
    service.groups = build_groups(service)
    assign_subsets(service, effects)


def build_groups(service: ServiceState) -> dict[frozenset[str], TargetGroup]:
    """Map the target names that each selector allows to a group of those that are not leaving."""
    groups = {}
    for names in {rule.target_names for rule in service.access.rules}:
        loads = [load for load in service.limits.loads if load.target.name in names]
        if loads:
            groups[names] = TargetGroup(interleave(loads))
    memberships = Counter(load.target.name for group in groups.values() for load in group.ring)
    for group in groups.values():
        group.overlap = max(memberships[load.target.name] for load in group.ring)
    return groups


def assign_subsets(service: ServiceState, effects: list[Effect]) -> None:
    """Choose the targets that this entry uses, and update its share of their connections."""
    service_limits = service.limits
    service.reachable.clear()
    changed = not service.groups
    for group in service.groups.values():
        size = group_size(service_limits, group)
        group.subset = choose_subset(
            group.ring, size, service_limits.entry_rank, service_limits.entries
        )
        entries_per_target = max_entries_per_target(len(group.ring), size, service_limits.entries)
        changed = changed or entries_per_target != group.entries_per_target
        group.entries_per_target = entries_per_target
    if changed:
        set_connection_shares(service, effects)


def group_size(service_limits: ServiceLimits, group: TargetGroup) -> int:
    """Return how many targets of a group one entry uses.

    An entry needs two connections to keep a slot busy between a response and the next request, so
    the number of entries that share a target is limited to those that get two each. A target in
    several groups is used by the entries of each of them.
    """
    count = len(group.ring)
    max_users = max(1, service_limits.connections_per_target // MIN_IN_FLIGHT_SHARE)
    size = count
    if service_limits.entries > max_users:
        size = max(1, count * max_users // (service_limits.entries * group.overlap))
    return min(size, service_limits.subset_size or count)


def set_connection_shares(service: ServiceState, effects: list[Effect]) -> None:
    """Set this entry's share of the connections of every target, 0 where no selector allows it."""
    service_limits = service.limits
    entries_per_target: Counter[str] = Counter()
    for group in service.groups.values():
        for load in group.ring:
            entries_per_target[load.target.name] += group.entries_per_target
    for load in service.loads.values():
        previous = load.connection_share
        share_target(
            service_limits, load, min(service_limits.entries, entries_per_target[load.target.name])
        )
        if load.connection_share != previous:
            effects.append(SetConnectionLimit(load.target, load.connection_share))
