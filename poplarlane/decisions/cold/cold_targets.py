"""Targets that say how long they stay cold: what is known of them, and when they are warm.

The newest statement wins. A target may turn cold again at any time, so the permits of a target
keep their even intervals from one cold time to the next.
"""

import math

from poplarlane.decisions.choice import rate_limits
from poplarlane.decisions.configuration.directory import Catalogue
from poplarlane.decisions.effects import Effect
from poplarlane.decisions.requests.entry_effects import SetTimer
from poplarlane.decisions.requests.entry_state import (
    EntryState,
    ServiceState,
    TimerKind,
    add_timer,
    next_random_value,
)
from poplarlane.decisions.requests.request_log import append_line
from poplarlane.types import TargetLoad

# A larger value is taken for a mistake; the target is then limited for this long.
MAX_COLD_S = 600.0
# A node that does not know the others yet takes its part as if there were this many times as many
# as the least number.
UNKNOWN_FLEET_FACTOR = 10
# Both sides of a partition lose sight of nodes that still send. The largest number of nodes that
# was known within this time counts.
FLEET_MEMORY_S = 600.0


def observe(
    state: EntryState,
    load: TargetLoad,
    remaining_s: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Record how long a target says in a response that it stays cold."""
    name = load.target.name
    services = state.services.values()
    service = next((found for found in services if found.loads.get(name) is load), None)
    if service is not None:
        until = state.now + min(remaining_s, MAX_COLD_S)
        adopt(state, service, load, until, state.now, random_value, effects)


def adopt(
    state: EntryState,
    service: ServiceState,
    load: TargetLoad,
    until: float,
    heard_at: float,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Take a statement of a target into force."""
    found = load.statements
    found.cold_until, found.cold_heard_at = until, heard_at
    found.heard_at = max(found.heard_at, heard_at)
    if service.cold_per_s > 0.0 and until > state.now:
        limit(state, service, load, random_value, effects)
    elif found.is_cold:
        log_warm(state, service, load, effects)


def limit(
    state: EntryState,
    service: ServiceState,
    load: TargetLoad,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Limit what a cold target is sent until it is warm."""
    found = load.statements
    if not found.is_cold:
        set_part(state, service, load, random_value)
        found.is_cold = True
        fields = {
            "service": service.name,
            "target": load.target.name,
            "cold_s": round(found.cold_until - state.now, 3),
            "interval_s": round(found.cold_permits.permit_interval_s, 3),
        }
        append_line(state, "target_cold", "info", fields, effects)
        update_holds(state, service)
    service.cold_until = max(service.cold_until, found.cold_until)
    check_at(state, service, found.cold_until, effects)


def set_part(state: EntryState, service: ServiceState, load: TargetLoad, random_value: int) -> None:
    """Set this node's part of the rate that a cold target bears."""
    permits = load.statements.cold_permits
    permits.heard_at = state.now
    nodes = node_count(state)
    rate_limits.set_rate(permits, service.cold_per_s, nodes, random_value, state.cold_tolerance)


def node_count(state: EntryState) -> int:
    """Return the number of nodes among which the rate of a cold target is divided."""
    if state.is_fleet_known:
        return state.most_entries
    return max(state.most_entries, UNKNOWN_FLEET_FACTOR * state.fleet_entries)


def observe_fleet(state: EntryState, now: float) -> None:
    """Record the largest number of nodes that was known lately."""
    is_outdated = now - state.most_entries_at > FLEET_MEMORY_S
    if state.fleet_entries >= state.most_entries or is_outdated:
        state.most_entries = state.fleet_entries
        state.most_entries_at = now


def update_holds(state: EntryState, service: ServiceState) -> None:
    """Hold back from cold targets while the nodes are not known and another target is warm."""
    loads = [load for load in service.loads.values() if not load.leaving]
    has_warm = any(load.statements.cold_until <= state.now for load in loads)
    for load in loads:
        load.statements.is_cold_held = has_warm and not state.is_fleet_known


def apply_catalogue(
    state: EntryState,
    catalogue: Catalogue,
    is_resized: bool,
    random_value: int,
    effects: list[Effect],
) -> None:
    """Apply the rates of cold targets, and what their records say."""
    for name, service in state.services.items():
        rate_per_s = catalogue.cold_per_s.get(name, 0.0)
        is_changed = is_resized or rate_per_s != service.cold_per_s
        service.cold_per_s = rate_per_s
        if rate_per_s <= 0.0:
            if is_changed:
                end_limits(service)
            continue
        for load in service.loads.values():
            random_value = next_random_value(random_value)
            if is_changed and load.statements.is_cold:
                set_part(state, service, load, random_value)
            elif is_changed and load.statements.cold_until > state.now:
                limit(state, service, load, random_value, effects)
            stated = catalogue.cold.get(load.target.name)
            if stated is not None and stated[1] > load.statements.cold_heard_at:
                adopt(state, service, load, stated[0], stated[1], random_value, effects)
        update_holds(state, service)


def end_limits(service: ServiceState) -> None:
    """End the limits of a service whose cold targets bear any rate."""
    service.cold_until = -math.inf
    for load in service.loads.values():
        load.statements.cold_permits.rate_limit_per_s = None
        load.statements.is_cold = False


def check_at(state: EntryState, service: ServiceState, at: float, effects: list[Effect]) -> None:
    """Schedule the next check for targets that have become warm."""
    if state.now < service.warm_check_at <= at:
        return
    service.warm_check_at = at
    if add_timer(state, at, TimerKind.WARM_CHECK, service.number):
        effects.append(SetTimer(state.timer_at))


def check_warm(state: EntryState, service: ServiceState, effects: list[Effect]) -> None:
    """Log the targets that have become warm, and schedule the next check."""
    cold = [load for load in service.loads.values() if load.statements.is_cold]
    later = []
    for load in cold:
        if load.statements.cold_until <= state.now:
            log_warm(state, service, load, effects)
        else:
            later.append(load.statements.cold_until)
    if later:
        check_at(state, service, min(later), effects)
    update_holds(state, service)


def log_warm(
    state: EntryState, service: ServiceState, load: TargetLoad, effects: list[Effect]
) -> None:
    """Log that a target is no longer cold."""
    load.statements.is_cold = False
    fields = {"service": service.name, "target": load.target.name}
    append_line(state, "target_warm", "info", fields, effects)


def limited_targets(service: ServiceState, now: float) -> int:
    """Return the number of targets that are cold and limited."""
    loads = service.loads.values()
    return sum(load.statements.is_cold and load.statements.cold_until > now for load in loads)
