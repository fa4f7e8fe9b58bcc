"""Divide the targets of a service, and their connections, among the entries of the fleet.

A target accepts a bounded number of connections from all entries together. Each entry works out
its part from the configuration and the number of entries alone, so the parts need no agreement.
"""

from collections import Counter

from poplarlane.decisions.effects import Effect
from poplarlane.decisions.entry_effects import SetConnectionLimit
from poplarlane.decisions.entry_state import ServiceState
from poplarlane.decisions.limits import MIN_IN_FLIGHT_SHARE, ServiceLimits, share_target
from poplarlane.decisions.subsets import TargetGroup, choose_subset, interleave, subset_users


def share_service(service: ServiceState, effects: list[Effect]) -> None:
    """Follow a change of the service's targets, or of which of them are leaving."""
    service.limits.loads = [load for load in service.loads.values() if not load.leaving]
    service.groups = usable_groups(service)
    divide(service, effects)


def usable_groups(service: ServiceState) -> dict[frozenset[str], TargetGroup]:
    """Map what each selector allows to the targets of it that are not leaving."""
    groups = {}
    for names in {rule.target_names for rule in service.access.rules}:
        loads = [load for load in service.limits.loads if load.target.name in names]
        if loads:
            groups[names] = TargetGroup(interleave(loads))
    memberships = Counter(load.target.name for group in groups.values() for load in group.circle)
    for group in groups.values():
        group.overlap = max(memberships[load.target.name] for load in group.circle)
    return groups


def divide(service: ServiceState, effects: list[Effect]) -> None:
    """Choose the targets that this entry uses, and its share of the connections of each."""
    bounds = service.limits
    service.reachable.clear()
    changed = not service.groups
    for group in service.groups.values():
        size = group_size(bounds, group)
        group.subset = choose_subset(group.circle, size, bounds.entry_rank, bounds.entries)
        users = subset_users(len(group.circle), size, bounds.entries)
        changed = changed or users != group.users
        group.users = users
    if changed:
        share_targets(service, effects)


def group_size(bounds: ServiceLimits, group: TargetGroup) -> int:
    """Give how many targets of a group one entry uses.

    An entry needs two connections to keep a slot busy between an answer and the next request, so
    no more entries share a target than have two each. A target of several groups is used by the
    entries of each of them.
    """
    count = len(group.circle)
    most_users = max(1, bounds.connections_per_target // MIN_IN_FLIGHT_SHARE)
    size = count
    if bounds.entries > most_users:
        size = max(1, count * most_users // (bounds.entries * group.overlap))
    return min(size, bounds.subset_size or count)


def share_targets(service: ServiceState, effects: list[Effect]) -> None:
    """Give this entry its part of every target, none of those that no selector allows."""
    bounds = service.limits
    users: Counter[str] = Counter()
    for group in service.groups.values():
        for load in group.circle:
            users[load.target.name] += group.users
    for load in service.loads.values():
        before = load.connection_share
        share_target(bounds, load, min(bounds.entries, users[load.target.name]))
        if load.connection_share != before:
            effects.append(SetConnectionLimit(load.target, load.connection_share))
