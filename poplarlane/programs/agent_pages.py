"""Request handlers of the agent's admin server."""

from typing import Any
from urllib.parse import parse_qs

from poplarlane.decisions.configuration import verification
from poplarlane.decisions.membership import membership
from poplarlane.decisions.probes import grants
from poplarlane.decisions.probes.probe_state import ShardProbes
from poplarlane.metrics import AdminHandler, AdminRequest, AdminResponse, json_response
from poplarlane.plumbing.agent_shell import AgentShell
from poplarlane.plumbing.pauses import clock
from poplarlane.types import MemberKind, MemberState


def agent_pages(shell: AgentShell) -> dict[str, AdminHandler]:
    """Return the handlers by path."""

    def ready(_: AdminRequest) -> AdminResponse:
        if shell.state.verification.ready and not shell.state.stopping:
            return AdminResponse(200, b"ready\n")
        return AdminResponse(503, b"view not complete\n")

    def status(request: AdminRequest) -> AdminResponse:
        services = parse_qs(request.query).get("service")
        if not services:
            return json_response(agent_status(shell))
        if services[0] not in shell.state.services:
            return json_response({"error": f"no such service {services[0]}"}, 404)
        return json_response(service_status(shell, services[0]))

    def metrics(_: AdminRequest) -> AdminResponse:
        update_gauges(shell)
        return AdminResponse(200, shell.metrics.render())

    return {"/_ready": ready, "/status": status, "/metrics": metrics}


def agent_status(shell: AgentShell) -> dict[str, Any]:
    """Describe the agent's state for operators."""
    state = shell.state
    now = clock()
    return {
        "agent": state.name,
        "incarnation": state.incarnation,
        "data_centre": state.data_centre,
        "ready": state.verification.ready,
        "behind": verification.outdated_services(state)[:20],
        "pauses": state.pauses,
        "stopping": state.stopping,
        "services": {name: held.revision for name, held in state.services.items()},
        "rejected": {name: rejection_status(notice) for name, notice in state.rejected.items()},
        "entries": {name: entry_status(link, now) for name, link in state.entries.items()},
        "members": members_status(shell, now),
        "leaving_targets": leaving_targets(shell),
        "fleet_entries": membership.fleet_entries(state),
        "own_network_suspected": state.isolated,
        "watching": state.watch.watching,
        "platform": platform_status(shell, now),
        "exchange": dict(shell.sockets.counts),
        "counts": dict(state.counts),
        "probes": {
            grants.shard_name(shard): probe_status(probes, now)
            for shard, probes in sorted(state.shards.items())
        },
    }


def rejection_status(notice) -> dict[str, Any]:
    """Describe a bad object."""
    return {
        "object": notice.object_name,
        "field": notice.field,
        "reason": notice.reason,
        "held_revision": notice.held_revision,
    }


def entry_status(link, now: float) -> dict[str, Any]:
    """Describe a connected entry."""
    return {
        "ready": link.ready,
        "draining": link.draining,
        "age_s": round(now - link.heard_at, 3),
        "applied": link.applied,
        "rejected": link.rejected,
    }


def members_status(shell: AgentShell, now: float) -> list[dict[str, Any]]:
    """Describe the other agents known to this one."""
    state = shell.state
    return [
        {
            "name": peer.name,
            "data_centre": peer.data_centre,
            "address": peer.advertised or peer.address,
            "incarnation": peer.incarnation,
            "ready": peer.ready,
            "heard": peer.contacted,
            "age_s": round(now - peer.heard_at, 3),
            "state": membership.agent_state_of(state, peer.name).value,
        }
        for peer in state.peers.values()
    ]


def leaving_targets(shell: AgentShell) -> list[str]:
    """Return the targets that get no new requests because they are leaving or gone."""
    return sorted(
        fact.name
        for fact in shell.state.facts.values()
        if fact.kind == MemberKind.TARGET and fact.state in (MemberState.LEAVING, MemberState.GONE)
    )


def platform_status(shell: AgentShell, now: float) -> dict[str, Any]:
    """Describe the calls to the platform and the state of the watch."""
    watch = shell.state.watch
    return {
        "calls": dict(shell.platform.counts),
        "sent_bytes": shell.platform.sent_bytes,
        "received_bytes": shell.platform.received_bytes,
        "answered_age_s": round(min(now - watch.answered_at, 86_400.0), 3),
        "failures": watch.failures,
        "revision": watch.since or 0,
    }


def probe_status(probes: ShardProbes, now: float) -> dict[str, Any]:
    """Describe the probe grant of a shard and the services of the shard."""
    return {
        "held": probes.is_held(now),
        "holder": probes.holder,
        "term": probes.term,
        "sent": probes.sent,
        "services": sorted(probes.services),
    }


def service_status(shell: AgentShell, name: str) -> dict[str, Any]:
    """Describe one service, including the object in force."""
    state = shell.state
    held = state.services[name]
    rejection = state.rejected.get(name)
    return {
        "service": name,
        "revision": held.revision,
        "change_id": held.service.change_id,
        "object": held.body.decode(),
        "rejected": rejection_status(rejection) if rejection else None,
        "entries": {entry: link.applied.get(name, 0) for entry, link in state.entries.items()},
    }


def update_gauges(shell: AgentShell) -> None:
    """Export the agent's own counters as gauges."""
    state, metrics = shell.state, shell.metrics
    metrics.set("poplarlane_agent_ready", {}, int(state.verification.ready))
    metrics.set("poplarlane_agent_watching", {}, int(state.watch.watching))
    metrics.set("poplarlane_agent_pauses", {}, state.pauses)
    metrics.set("poplarlane_agents_known", {}, len(state.peers))
    metrics.set("poplarlane_objects_rejected", {}, len(state.rejected))
    for name, held in state.services.items():
        metrics.set("poplarlane_held_revision", {"service": name}, held.revision)
    for operation, count in shell.platform.counts.items():
        metrics.set("poplarlane_platform_calls", {"operation": operation}, count)
    for name, count in shell.sockets.counts.items():
        metrics.set("poplarlane_exchange", {"what": name}, count)
    for name, count in state.counts.items():
        metrics.set("poplarlane_agent_events", {"what": name}, count)
    live = sum(fact.state == MemberState.LIVE for fact in state.facts.values())
    metrics.set("poplarlane_live_members", {}, live)
