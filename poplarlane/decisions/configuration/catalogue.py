"""Handler that applies a catalogue of routes, services and targets to an entry."""

from poplarlane.decisions.choice import statements
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.choice.shares import update_shares
from poplarlane.decisions.cold import cold_targets
from poplarlane.decisions.configuration.directory import Catalogue
from poplarlane.decisions.configuration.route_table import RouteTable
from poplarlane.decisions.configuration.views import apply_service, close_removed_targets
from poplarlane.decisions.customers.keys import CustomerTable
from poplarlane.decisions.customers.revocations import refuse_removed_keys
from poplarlane.decisions.effects import Effect, Log
from poplarlane.decisions.health import health
from poplarlane.decisions.overload.priorities import mark_mixed_services
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats.retries import set_timed_refill
from poplarlane.decisions.requests.entry_effects import SetCallerLimits, StartAccepting
from poplarlane.decisions.requests.entry_events import CatalogueChanged
from poplarlane.decisions.requests.entry_state import EntryState, ServiceState, next_random_value
from poplarlane.decisions.requests.pauses import resume_confirmed
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.objects import ServiceObject


@reduce.register
def catalogue_changed(event: CatalogueChanged, state: EntryState) -> list[Effect]:
    """Apply the differences between the new catalogue and the current one."""
    effects: list[Effect] = []
    catalogue = event.catalogue
    resized = event.fleet_entries != state.fleet_entries
    state.fleet_entries = max(1, event.fleet_entries)
    state.now = event.now
    is_newly_known = event.is_fleet_known != state.is_fleet_known
    state.is_fleet_known = event.is_fleet_known
    cold_targets.observe_fleet(state, event.now)
    changed = [
        service_object
        for name, service_object in catalogue.services.items()
        if state.catalogue.get(name) != service_object or resized
    ]
    for service_object in changed:
        apply_service_change(state, service_object, catalogue, event.now, effects)
    state.catalogue.update(catalogue.services)
    log_evacuations(state, catalogue, effects)
    is_divided_anew = resized or is_newly_known
    cold_targets.apply_catalogue(state, catalogue, is_divided_anew, event.random_value, effects)
    statements.forget_absent(state, event.now)
    set_probe_rate(state, event.now)
    if apply_routes(state, catalogue, effects):
        refuse_removed_keys(state, event.now, effects)
    if not state.ready:
        state.ready = True
        if state.accepting:
            effects.append(StartAccepting())
        effects.append(Log("ready", "info", {"services": len(state.services)}))
    if event.is_confirmed and state.unconfirmed_until:
        resume_confirmed(state, event.now, effects)
        changed = list(catalogue.services.values())
    random_value = event.random_value
    for service_object in changed:
        random_value = next_random_value(random_value)
        dispatch_waiting(
            state, state.services[service_object.service], event.now, random_value, effects
        )
    return effects


def log_evacuations(state: EntryState, catalogue: Catalogue, effects: list[Effect]) -> None:
    """Log the evacuations that have started and ended, and what they leave nothing of."""
    before, state.evacuated = state.evacuated, catalogue.evacuated
    if before == state.evacuated:
        return
    for name in sorted(state.evacuated - before):
        if name in catalogue.data_centres:
            effects.append(Log("evacuation_started", "warning", {"data_centre": name}))
        else:
            effects.append(Log("evacuation_without_targets", "warning", {"data_centre": name}))
    for name in sorted(before - state.evacuated):
        effects.append(Log("evacuation_ended", "warning", {"data_centre": name}))
    empty = [name for name, found in catalogue.services.items() if not found.targets]
    if state.evacuated and empty:
        fields = {"services": ",".join(sorted(empty))}
        effects.append(Log("evacuation_leaves_no_target", "error", fields))


def apply_routes(state: EntryState, catalogue: Catalogue, effects: list[Effect]) -> bool:
    """Apply the routes and customers of a newer configuration; return whether it is newer.

    An older version never replaces a newer one.
    """
    current = state.routes
    if current is not None and catalogue.version <= current.version:
        return False
    state.routes = RouteTable(catalogue.version, catalogue.routes)
    mark_mixed_services(state, catalogue.routes, catalogue.customers)
    state.customers = CustomerTable(catalogue.customers)
    if catalogue.caller_limits is not None:
        effects.append(SetCallerLimits(catalogue.caller_limits))
    fields = {
        "version": catalogue.version,
        "previous": current.version if current is not None else 0,
        "routes": len(catalogue.routes),
    }
    if catalogue.customers:
        fields["customers"] = len(catalogue.customers)
    effects.append(Log("configuration_applied", "info", fields))
    return True


def apply_service_change(
    state: EntryState,
    service_object: ServiceObject,
    catalogue: Catalogue,
    now: float,
    effects: list[Effect],
) -> None:
    """Apply one changed service and log the targets that were added and removed."""
    current = state.services.get(service_object.service)
    previous = dict(current.loads) if current is not None else {}
    apply_service(state, service_object, b"")
    service = state.services[service_object.service]
    removed = [
        load.target for name, load in previous.items() if service.loads.get(name) is not load
    ]
    close_removed_targets(state, removed, effects)
    added = [load for name, load in service.loads.items() if previous.get(name) is not load]
    for load in added:
        warm_up_s = catalogue.warm_up_s.get(load.target.name, 0.0)
        if service.name in catalogue.cold_per_s:
            # Permits limit what such a target gets.
            continue
        load.statements.cold_until = now + warm_up_s if warm_up_s else 0.0
        if warm_up_s and current is not None:
            health.start_ramp(load, now)
    update_shares(service, effects)
    set_repeat_budget(state, service, now)
    if added or removed:
        fields = {
            "service": service.name,
            "targets": len(service.loads),
            "joined": ",".join(load.target.name for load in added),
            "gone": ",".join(target.name for target in removed),
        }
        effects.append(Log("targets_changed", "info", fields))


def set_repeat_budget(state: EntryState, service: ServiceState, now: float) -> None:
    """Make retries and hedges share one budget: this entry's part of the fleet's."""
    if isinstance(service.policy, Measured):
        service.hedge_budget = service.retry_budget
        allowed = state.extra_sends / state.fleet_entries
        set_timed_refill(service.retry_budget, allowed, state.extra_sends_window_s, now)


def set_probe_rate(state: EntryState, now: float) -> None:
    """Set this entry's probe rate: the fleet's rate divided by the number of entries."""
    targets = sum(len(service.loads) for service in state.services.values())
    state.probe_allowance.set_rate(state.probes_per_target_s * targets / state.fleet_entries, now)
