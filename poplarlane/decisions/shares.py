"""Divide the targets of a service, and their connections, among the entries of the fleet.

A target accepts a bounded number of connections from all entries together. Each entry works out
its part from the configuration and the number of entries alone, so the parts need no agreement.
"""

from collections import Counter

from poplarlane.decisions.effects import Effect
from poplarlane.decisions.entry_effects import SetConnectionLimit
from poplarlane.decisions.entry_state import ServiceState
from poplarlane.decisions.limits import MIN_IN_FLIGHT_SHARE, ServiceLimits, share_target
from poplarlane.decisions.subsets import (
    TargetGroup,
    choose_subset,
    interleave,
    max_entries_per_target,
)


def update_shares(service: ServiceState, effects: list[Effect]) -> None:
    """Follow a change of the service's targets, or of which of them are leaving."""
    service.limits.loads = [load for load in service.loads.values() if not load.leaving]
    service.groups = build_groups(service)
    assign_subsets(service, effects)


def build_groups(service: ServiceState) -> dict[frozenset[str], TargetGroup]:
    """Map what each selector allows to the targets of it that are not leaving."""
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
    """Choose the targets that this entry uses, and its share of the connections of each."""
    limits = service.limits
    service.reachable.clear()
    changed = not service.groups
    for group in service.groups.values():
        size = group_size(limits, group)
        group.subset = choose_subset(group.ring, size, limits.entry_rank, limits.entries)
        entries_per_target = max_entries_per_target(len(group.ring), size, limits.entries)
        changed = changed or entries_per_target != group.entries_per_target
        group.entries_per_target = entries_per_target
    if changed:
        set_connection_shares(service, effects)


def group_size(limits: ServiceLimits, group: TargetGroup) -> int:
    """Give how many targets of a group one entry uses.

    An entry needs two connections to keep a slot busy between an answer and the next request, so
    no more entries share a target than have two each. A target of several groups is used by the
    entries of each of them.
    """
    count = len(group.ring)
    most_users = max(1, limits.connections_per_target // MIN_IN_FLIGHT_SHARE)
    size = count
    if limits.entries > most_users:
        size = max(1, count * most_users // (limits.entries * group.overlap))
    return min(size, limits.subset_size or count)


def set_connection_shares(service: ServiceState, effects: list[Effect]) -> None:
    """Give this entry its part of every target, none of those that no selector allows."""
    limits = service.limits
    entries_per_target: Counter[str] = Counter()
    for group in service.groups.values():
        for load in group.ring:
            entries_per_target[load.target.name] += group.entries_per_target
    for load in service.loads.values():
        before = load.connection_share
        share_target(limits, load, min(limits.entries, entries_per_target[load.target.name]))
        if load.connection_share != before:
            effects.append(SetConnectionLimit(load.target, load.connection_share))
