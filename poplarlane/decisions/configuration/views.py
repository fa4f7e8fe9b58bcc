"""Handlers for views from the agent: services, members and peers' verdicts."""

from poplarlane.decisions.access import selectors
from poplarlane.decisions.admission import limits
from poplarlane.decisions.choice.policies import Adaptive, policy_by_name
from poplarlane.decisions.choice.shares import assign_subsets, update_shares
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.decisions.effects import Count, Effect, Log
from poplarlane.decisions.health import health
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats import retries
from poplarlane.decisions.requests.drain import mark_leaving, mark_returned
from poplarlane.decisions.requests.entry_effects import (
    SendToAgent,
    SetConnectionLimit,
    StartAccepting,
)
from poplarlane.decisions.requests.entry_events import ViewReceived
from poplarlane.decisions.requests.entry_state import EntryState, ServiceState, next_random_value
from poplarlane.decisions.requests.pauses import resume_confirmed
from poplarlane.decisions.requests.reports import current_report, hello
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.messages import MemberNotice, ProbeNotice, ServiceBody, VerdictNotice, ViewUpdate
from poplarlane.objects import LimitsObject, RequestKindObject, ServiceObject
from poplarlane.types import (
    MemberKind,
    MemberState,
    RequestKind,
    Target,
    TargetLoad,
    Verdict,
)

DEFAULT_POLICY = "adaptive"


@reduce.register
def view_received(event: ViewReceived, state: EntryState) -> list[Effect]:
    """Apply what is newer than the current view; a revision never decreases."""
    effects: list[Effect] = []
    view = event.view
    detect_agent_restart(state, view, event.now, effects)
    changed = {body.service for body in view.services if apply_service_update(state, body, effects)}
    if changed:
        rebuild_hosts(state, effects)
    entries = max(1, view.fleet_entries)
    resized = (entries, view.entry_rank) != (state.fleet_entries, state.entry_rank)
    if resized:
        state.entry_rank = view.entry_rank
        state.fleet_entries = entries
    for name in state.services if resized else changed:
        service = state.services[name]
        service.limits.entries = state.fleet_entries
        service.limits.entry_rank = state.entry_rank
        if name in changed:
            update_shares(service, effects)
        else:
            assign_subsets(service, effects)
    for notice in view.members:
        apply_member_fact(state, notice, effects)
    for verdict in view.verdicts:
        apply_peer_verdict(state, verdict, event.now)
    for probe in view.probes:
        apply_probe_result(state, probe, event.now)
    if changed or view.members:
        ramp_new_targets(state, event.now)
    if view.complete and state.unconfirmed_until and view.reply_to == state.view_nonce:
        resume_confirmed(state, event.now, effects)
    if view.complete and not state.ready:
        state.ready = True
        if state.accepting:
            effects.append(StartAccepting())
        effects.append(Log("ready", "info", {"services": len(state.services)}))
    if changed or view.complete:
        effects.append(current_report(state))
    random_value = event.random_value
    for service in state.services.values():
        random_value = next_random_value(random_value)
        dispatch_waiting(state, service, event.now, random_value, effects)
    return effects


def ramp_new_targets(state: EntryState, now: float) -> None:
    """Ramp up targets that join a running service, because they may start cold."""
    for service in state.services.values():
        if service.health.typical_s <= 0.0:
            continue
        for load in service.limits.loads:
            if not load.answers and not load.outstanding and load.ramp_until == 0.0:
                health.start_ramp(load, now)


def detect_agent_restart(
    state: EntryState, view: ViewUpdate, now: float, effects: list[Effect]
) -> None:
    """Detect a restart of the agent, and request everything newer than the applied revisions."""
    state.last_view_at = now
    if view.agent_incarnation == state.agent_incarnation:
        return
    if state.agent_incarnation:
        effects.append(SendToAgent(hello(state)))
    state.agent_incarnation = view.agent_incarnation


def apply_service_update(state: EntryState, body: ServiceBody, effects: list[Effect]) -> bool:
    """Apply a service object if it is valid and newer; return whether it was applied."""
    current = state.services.get(body.service)
    if current is not None and body.revision < current.revision:
        return False
    if current is not None and body.revision == current.revision:
        if body.body != current.body:
            reject(state, body, "the applied revision has different content", effects)
        return False
    service_object = check_service(body.body, body.service)
    if isinstance(service_object, list):
        reject(state, body, str(service_object[0]), effects)
        return False
    if service_object.revision != body.revision:
        reject(
            state, body, f"revision is {service_object.revision}, expected {body.revision}", effects
        )
        return False
    state.rejected.pop(body.service, None)
    old_loads = current.loads if current is not None else {}
    apply_service(state, service_object, body.body)
    new_loads = state.services[service_object.service].loads
    removed = [load.target for name, load in old_loads.items() if new_loads.get(name) is not load]
    close_removed_targets(state, removed, effects)
    fields = {"service": service_object.service, "revision": service_object.revision}
    effects.append(Log("service_applied", "info", fields))
    return True


def reject(state: EntryState, body: ServiceBody, reason: str, effects: list[Effect]) -> None:
    """Keep the applied revision and report a bad object, once per reason."""
    text = f"revision {body.revision}: {reason}"
    if state.rejected.get(body.service) == text:
        return
    state.rejected[body.service] = text
    effects.append(Count("bad_object_total", 1.0, {"service": body.service}))
    fields = {"service": body.service, "revision": body.revision, "reason": reason}
    effects.append(Log("bad_object", "error", fields))


def apply_service(state: EntryState, service_object: ServiceObject, body: bytes) -> None:
    """Apply a service object; health statistics of its targets are kept."""
    service = state.services.get(service_object.service) or ServiceState(service_object.service)
    is_new = service.revision == 0
    state.services[service_object.service] = service
    if is_new and not service.number:
        service.number = len(state.services_by_number) + 1
        state.services_by_number[service.number] = service
    service.revision = service_object.revision
    service.body = body
    service.deleted = service_object.deleted
    service.hosts = (
        [] if service_object.deleted else [host.lower() for host in service_object.hosts]
    )
    service.kinds = [request_kind(kind) for kind in service_object.requests]
    service.access = selectors.compile_access(service_object)
    service.loads = target_loads(state, service, service_object)
    policy_name = state.policy_name or service_object.policy
    if is_new or type(service.policy) is not type(policy_by_name(policy_name)):
        service.policy = policy_by_name(policy_name) or policy_by_name(DEFAULT_POLICY)
    if isinstance(service.policy, Adaptive):
        service.policy.slots = service_object.limits.slots_per_target
    set_limits(state, service, service_object.limits, is_new)
    service.limits.subset_size = service_object.limits.subset_size


def close_removed_targets(
    state: EntryState, removed_targets: list[Target], effects: list[Effect]
) -> None:
    """Close the idle connections to targets that no service uses any more."""
    for removed in removed_targets:
        endpoint = (removed.address, removed.port)
        remaining = (
            other.target for service in state.services.values() for other in service.loads.values()
        )
        if not any((target.address, target.port) == endpoint for target in remaining):
            effects.append(SetConnectionLimit(removed, 0))


def request_kind(kind: RequestKindObject) -> RequestKind:
    """Convert a configured request kind."""
    return RequestKind(
        kind.name,
        frozenset(kind.methods),
        kind.path_prefix,
        kind.idempotent,
        kind.priority,
        kind.deadline_ms,
        kind.hedge,
    )


def target_loads(
    state: EntryState, service: ServiceState, service_object: ServiceObject
) -> dict[str, TargetLoad]:
    """Create the state of the configured targets, keeping that of targets at the same address."""
    loads = {}
    for name, placement in service_object.targets.items():
        target = Target(
            name,
            placement.address,
            placement.port,
            placement.data_centre,
            dict(placement.labels),
            placement.instance,
            placement.probe_path,
        )
        load = service.loads.get(name)
        if load is None or (load.target.address, load.target.port) != (
            placement.address,
            placement.port,
        ):
            load = TargetLoad(target, 2.0 * delay_s(state, placement.data_centre))
        load.target = target
        load.region = state.region_of.get(placement.data_centre, "")
        load.statements = state.statements.setdefault(name, load.statements)
        load.leaving = name in state.leaving
        loads[name] = load
    return loads


def delay_s(state: EntryState, data_centre: str) -> float:
    """Return the one-way network delay to a data centre."""
    unknown_s = state.other_data_centre_s if data_centre != state.data_centre else 0.0
    return state.delay_s_by_data_centre.get(data_centre, unknown_s)


def set_limits(
    state: EntryState, service: ServiceState, configured: LimitsObject, is_new: bool
) -> None:
    """Set the limits of a service; queued requests and accumulated budgets are kept."""
    if is_new:
        service.limits = limits.ServiceLimits(
            configured.slots_per_target,
            configured.connections_per_target,
            configured.queue_length,
            state.fleet_entries,
            [],
        )
        service.limits.held = state.unconfirmed_until > 0.0
        service.retry_budget = retries.retry_budget(configured.retry_ratio)
        service.hedge_budget = retries.hedge_budget(configured.hedge_ratio)
        return
    service.limits.slots_per_target = configured.slots_per_target
    service.limits.connections_per_target = configured.connections_per_target
    service.limits.queue_length = configured.queue_length
    service.retry_budget.ratio = configured.retry_ratio
    service.hedge_budget.ratio = configured.hedge_ratio


def rebuild_hosts(state: EntryState, effects: list[Effect]) -> None:
    """Map hosts to services; the first service by name keeps a host that several claim."""
    hosts: dict[str, ServiceState] = {}
    for name in sorted(state.services):
        for host in state.services[name].hosts:
            kept = hosts.setdefault(host, state.services[name])
            if kept.name != name:
                fields = {"host": host, "service": name, "kept": kept.name}
                effects.append(Log("host_claimed_twice", "error", fields))
    state.hosts = hosts


def apply_member_fact(state: EntryState, notice: MemberNotice, effects: list[Effect]) -> None:
    """Apply a member fact about a target; leaving is final within an incarnation."""
    if notice.kind != MemberKind.TARGET:
        return
    incarnation, was_leaving = state.members.get(notice.name, (-1, False))
    if notice.incarnation < incarnation:
        return
    leaving = notice.state in (MemberState.LEAVING, MemberState.GONE)
    if notice.incarnation > incarnation:
        state.members[notice.name] = (notice.incarnation, leaving)
        # The first fact about a target does not reset what its responses have shown. A target may
        # also restart without having announced that it leaves; with trials alone, its return would
        # take seconds. Agents send a running entry facts about live targets only after a change of
        # their incarnation.
        known = incarnation >= 0
        if not leaving and (known or is_avoided(state, notice.name)):
            restore_target(state, notice.name, effects)
    if leaving and not was_leaving or notice.incarnation > incarnation and leaving:
        state.members[notice.name] = (notice.incarnation, True)
        if notice.name not in state.leaving:
            target = known_target(state, notice.name)
            if target is None:
                state.leaving.add(notice.name)
            else:
                mark_leaving(state, target, notice.source, effects)


def is_avoided(state: EntryState, name: str) -> bool:
    """Return whether a target is avoided, and not leaving, in any service."""
    loads = [service.loads[name] for service in state.services.values() if name in service.loads]
    return any(load.verdict is Verdict.AVOIDED and not load.leaving for load in loads)


def restore_target(state: EntryState, name: str, effects: list[Effect]) -> None:
    """Return a restarted target to service and restore its connections."""
    mark_returned(state, name, effects)
    effects.append(Log("target_returned", "info", {"target": name}))


def known_target(state: EntryState, name: str) -> Target | None:
    """Find a configured target by name."""
    for service in state.services.values():
        if name in service.loads:
            return service.loads[name].target
    return None


def apply_probe_result(state: EntryState, notice: ProbeNotice, now: float) -> None:
    """Record a probe result, from whichever VM sent the probe."""
    service = state.services.get(notice.service)
    load = service.loads.get(notice.target) if service else None
    if load is not None:
        in_flight = notice.in_flight + notice.queued
        health.observe_probe(load, in_flight, now - notice.age_s, now)


def apply_peer_verdict(state: EntryState, notice: VerdictNotice, now: float) -> None:
    """Record another entry's verdict on a target."""
    service = state.services.get(notice.service)
    load = service.loads.get(notice.target) if service else None
    if load is None or notice.source == state.name:
        return
    try:
        peer_verdict = Verdict(notice.verdict)
    except ValueError:
        return
    health.observe_peer_verdict(load, peer_verdict, now + notice.valid_for_s, now)
