"""Handler for a catalogue: puts its routes, services and targets in force in an entry."""

from poplarlane.decisions import health
from poplarlane.decisions.directory import Catalogue
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.entry_effects import SetCallerLimits, StartAccepting
from poplarlane.decisions.entry_events import CatalogueChanged
from poplarlane.decisions.entry_state import EntryState, ServiceState, next_draw
from poplarlane.decisions.pauses import resume_confirmed
from poplarlane.decisions.policies import Measured
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests import dispatch_waiting
from poplarlane.decisions.retries import set_timed_refill
from poplarlane.decisions.route_table import RouteTable
from poplarlane.decisions.shares import update_shares
from poplarlane.decisions.views import apply_service, close_removed_targets
from poplarlane.objects import ServiceObject


@reduce.register
def catalogue_changed(event: CatalogueChanged, state: EntryState) -> list[Effect]:
    """Apply what differs from the catalogue in force."""
    effects: list[Effect] = []
    catalogue = event.catalogue
    resized = event.fleet_entries != state.fleet_entries
    state.fleet_entries = max(1, event.fleet_entries)
    changed = [
        found
        for name, found in catalogue.services.items()
        if state.catalogue.get(name) != found or resized
    ]
    for found in changed:
        apply_service_change(state, found, catalogue, event.now, effects)
    state.catalogue.update(catalogue.services)
    set_probe_rate(state, event.now)
    apply_routes(state, catalogue, effects)
    if not state.ready:
        state.ready = True
        if state.accepting:
            effects.append(StartAccepting())
        effects.append(Log("ready", "info", {"services": len(state.services)}))
    if event.is_confirmed and state.unconfirmed_until:
        resume_confirmed(state, event.now, effects)
        changed = list(catalogue.services.values())
    draw = event.draw
    for found in changed:
        draw = next_draw(draw)
        dispatch_waiting(state, state.services[found.service], event.now, draw, effects)
    return effects


def apply_routes(state: EntryState, catalogue: Catalogue, effects: list[Effect]) -> None:
    """Put newer routes in force; an older version never replaces a newer one."""
    held = state.routes
    if held is not None and catalogue.version <= held.version:
        return
    state.routes = RouteTable(catalogue.version, catalogue.routes)
    if catalogue.caller_limits is not None:
        effects.append(SetCallerLimits(catalogue.caller_limits))
    fields = {
        "version": catalogue.version,
        "previous": held.version if held is not None else 0,
        "routes": len(catalogue.routes),
    }
    effects.append(Log("configuration_applied", "info", fields))


def apply_service_change(
    state: EntryState, found: ServiceObject, catalogue: Catalogue, now: float, effects: list[Effect]
) -> None:
    """Put one changed service in force and log which targets came and went."""
    held = state.services.get(found.service)
    before = dict(held.loads) if held is not None else {}
    apply_service(state, found, b"")
    service = state.services[found.service]
    if held is None:
        service.number = len(state.services_by_number) + 1
        state.services_by_number[service.number] = service
    gone = [load.target for name, load in before.items() if service.loads.get(name) is not load]
    close_removed_targets(state, gone, effects)
    joined = [load for name, load in service.loads.items() if before.get(name) is not load]
    for load in joined:
        warm_up_s = catalogue.warm_up_s.get(load.target.name, 0.0)
        load.cold_until = now + warm_up_s
        if warm_up_s and held is not None:
            health.start_ramp(load, now)
    update_shares(service, effects)
    set_repeat_budget(state, service, now)
    if joined or gone:
        fields = {
            "service": service.name,
            "targets": len(service.loads),
            "joined": ",".join(load.target.name for load in joined),
            "gone": ",".join(target.name for target in gone),
        }
        effects.append(Log("targets_changed", "info", fields))


def set_repeat_budget(state: EntryState, service: ServiceState, now: float) -> None:
    """Let repeats and second copies draw on one budget, this entry's part of the fleet's."""
    if isinstance(service.policy, Measured):
        service.hedge_budget = service.retry_budget
        part = state.extra_sends / state.fleet_entries
        set_timed_refill(service.retry_budget, part, state.extra_sends_window_s, now)


def set_probe_rate(state: EntryState, now: float) -> None:
    """Divide the fleet's allowance of probes by its entries."""
    targets = sum(len(service.loads) for service in state.services.values())
    state.probe_allowance.set_rate(state.probes_per_target_s * targets / state.fleet_entries, now)
