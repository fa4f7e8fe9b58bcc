"""Processing of received service objects: validation, acceptance, and reports of bad objects."""

from poplarlane.decisions.configuration.configuration import Rejected, Stale, accept
from poplarlane.decisions.configuration.validation import ObjectFault, check_service
from poplarlane.decisions.effects import Count, Effect, Log
from poplarlane.decisions.membership.agent_effects import ReadObject
from poplarlane.decisions.membership.agent_state import AcceptedService, AgentState
from poplarlane.decisions.probes import probe_schedule
from poplarlane.exchange_messages import RejectionNotice
from poplarlane.objects import SERVICE_COPIES_KIND, SERVICES_KIND

MAX_RECENT_SERVICES = 64


def accept_if_newer(
    state: AgentState, name: str, body: bytes, kind: str, from_platform: bool
) -> list[Effect]:
    """Accept an object if it is valid and newer than the held one."""
    held = state.services.get(name)
    if held is not None and held.body == body:
        return []
    result = check_service(body, name, kind)
    if isinstance(result, list):
        return reject(state, name, result[0], kind, from_platform)
    verdict = accept(held.service if held else None, result)
    if isinstance(verdict, Stale):
        if verdict.revision < verdict.held_revision:
            state.count("stale_objects")
        return []
    if isinstance(verdict, Rejected):
        return reject(state, name, verdict.fault, kind, from_platform)
    state.services[name] = AcceptedService(result.revision, body, result, state.now)
    record_accepted(state, name, result.revision, from_platform)
    return [
        Log(
            "object_accepted",
            "info",
            {"service": name, "revision": result.revision, "change": result.change_id},
        )
    ]


def record_accepted(state: AgentState, name: str, revision: int, from_platform: bool) -> None:
    """Update the indexes and counters that depend on the held revisions."""
    state.service_index.put(name, str(revision))
    state.changed[name] = state.changed.get(name, False) or from_platform
    state.recent[name] = state.now
    state.recent.move_to_end(name)
    while len(state.recent) > MAX_RECENT_SERVICES:
        state.recent.popitem(last=False)
    rejection = state.rejected.get(name)
    if rejection is not None and revision > rejection.held_revision:
        del state.rejected[name]
    probe_schedule.update_service(state, name)
    state.count("objects_accepted")


def reject(
    state: AgentState, name: str, fault: ObjectFault, kind: str, from_platform: bool
) -> list[Effect]:
    """Report a bad object once, and read its copy to find the last accepted revision."""
    held = state.services.get(name)
    notice = RejectionNotice(
        name, fault.object_name, fault.field, fault.reason, held.revision if held else 0
    )
    effects = report_rejection(state, notice)
    wants_copy = from_platform and kind == SERVICES_KIND
    if wants_copy and name not in state.watch.copies_pending:
        state.watch.copies_pending.add(name)
        effects.append(ReadObject(SERVICE_COPIES_KIND, name))
    return effects


def report_rejection(state: AgentState, notice: RejectionNotice) -> list[Effect]:
    """Store a rejection for the status page; log and count it when it is new."""
    held = state.services.get(notice.service)
    if held is not None and held.revision > notice.held_revision:
        return []
    known = state.rejected.get(notice.service)
    if known is not None and (known.field, known.reason) == (notice.field, notice.reason):
        # The copy may have been read since. The highest held revision decides when it is cleared.
        known.held_revision = max(known.held_revision, notice.held_revision)
        return []
    if known is not None and known.held_revision > notice.held_revision:
        return []
    state.rejected[notice.service] = notice
    fields = {
        "object": notice.object_name,
        "field": notice.field,
        "reason": notice.reason,
        "held_revision": notice.held_revision,
    }
    return [
        Log("object_rejected", "warning", fields),
        Count("poplarlane_objects_rejected_total", 1, {"object": notice.object_name}),
    ]
