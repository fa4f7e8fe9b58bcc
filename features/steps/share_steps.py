"""Steps about the division of targets and connections among the entries of a fleet."""

import random
from collections import Counter

from behave import given, then, when

from poplarlane.decisions.access import selectors
from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice.shares import update_shares
from poplarlane.decisions.requests.entry_state import ServiceState, reachable_targets
from poplarlane.types import Target, TargetLoad

CONNECTIONS = 330


def make_service(groups, targets, entries, rank, subset_size=0):
    """Create the state of a service at one entry; a caller with `group=N` matches selector N."""
    service = ServiceState("drawn")
    service.loads = {
        f"t{number}": TargetLoad(Target(f"t{number}", "127.0.0.1", 1, f"dc-{number % 3}", {}))
        for number in range(targets)
    }
    service.access = selectors.Access(
        tuple(
            selectors.AccessRule(
                f"s{number}",
                selectors.parse_valid(f"group in (all,g{number})"),
                selectors.parse_valid("role"),
                frozenset(names),
            )
            for number, names in enumerate(groups)
        )
    )
    service.limits = limits.ServiceLimits(6, CONNECTIONS, 256, entries, [])
    service.limits.entry_rank = rank
    service.limits.subset_size = subset_size
    return service


def make_fleet(groups, targets, entries, subset_size=0):
    """Create the state of a service at every entry."""
    fleet = [make_service(groups, targets, entries, rank, subset_size) for rank in range(entries)]
    for service in fleet:
        update_shares(service, [])
    return fleet


def used(service):
    """List the targets that an entry uses for a caller that all selectors match."""
    return reachable_targets(service, "group=all") or []


def connections(fleet):
    """Count the connections that all entries together may keep to each target."""
    total = Counter()
    for service in fleet:
        for load in used(service):
            total[load.target.name] += load.connection_share
    return total


def names(count):
    """Name the targets of a service."""
    return [f"t{number}" for number in range(count)]


@given("a service with {targets:d} targets and 1 selector in a fleet of {entries:d} entries")
def step_fleet(context, targets, entries):
    context.targets, context.entries = targets, entries
    context.fleet = make_fleet([names(targets)], targets, entries)


@given("a subset size of {size:d}")
def step_subset(context, size):
    context.fleet = make_fleet([names(context.targets)], context.targets, context.entries, size)


@then("each entry has at least {share:d} connections to each of at least {targets:d} targets")
def step_each(context, share, targets):
    for service in context.fleet:
        found = used(service)
        assert len(found) >= targets, len(found)
        assert all(load.connection_share >= share for load in found)


@then("no target gets more than 330 connections in total")
def step_total(context):
    most = max(connections(context.fleet).values())
    assert most <= CONNECTIONS, most


def draw_groups(generator, targets):
    """Draw the targets that up to 4 selectors allow."""
    return [
        generator.sample(names(targets), generator.randint(1, targets))
        for _ in range(generator.randint(1, min(4, targets)))
    ]


def unreached(service):
    """List the selectors whose callers reach no target."""
    numbers = range(len(service.access.rules))
    return [number for number in numbers if not reachable_targets(service, f"group=g{number}")]


@then(
    "for {count:d} drawn services with up to 4 overlapping selectors and {entries:d} entries, "
    "seed {seed:d}, no target gets more than 330 connections in total"
)
def step_drawn(context, count, entries, seed):
    generator = random.Random(seed)
    context.unreached = []
    for _ in range(count):
        targets = generator.randint(1, 40)
        groups = draw_groups(generator, targets)
        # A target that every entry must use for some group takes one connection from each.
        smallest = min(len(group) for group in groups)
        most = CONNECTIONS * smallest // len(groups)
        fleet = make_fleet(groups, targets, generator.randint(1, max(1, min(entries, most))))
        total = connections(fleet)
        assert max(total.values()) <= CONNECTIONS, (targets, groups, len(fleet), total)
        context.unreached += [rule for service in fleet for rule in unreached(service)]


@then("every caller that a selector allows reaches a target from every entry")
def step_reaches(context):
    assert not context.unreached, context.unreached


@when("one target starts to leave")
def step_leaves(context):
    for service in context.fleet:
        service.loads["t3"].leaving = True
        context.effects = []
        update_shares(service, context.effects)


@then("it keeps no connections, and no target gets more than 330 connections in total")
def step_left(context):
    changed = {effect.target.name: effect.limit for effect in context.effects}
    assert changed["t3"] == 0, changed
    total = connections(context.fleet)
    assert "t3" not in total and max(total.values()) <= CONNECTIONS, total
