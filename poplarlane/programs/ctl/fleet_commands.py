"""Commands that show the revisions held by agents and entries, or wait for one."""

import asyncio

from cleo.helpers import argument, option

from poplarlane.objects import SERVICES_KIND
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import PlatformClient, PlatformFailure
from poplarlane.programs.ctl.command import CtlCommand, common_options
from poplarlane.programs.ctl.fleet import AgentStatus, Coverage, Fleet, ask_agents, find_agents
from poplarlane.programs.ctl.object_commands import not_found, read_accepted
from poplarlane.programs.ctl.reports import (
    Report,
    error_report,
    platform_unreachable,
    success_report,
)
from poplarlane.programs.ctl.rollout_wait import RolloutWait, abbreviate, wait_report
from poplarlane.programs.ctl.stored_objects import decode_stored
from poplarlane.settings import CtlSettings

DEFAULT_WAIT_S = "30"


class WaitCommand(CtlCommand):
    """Wait until a revision is in force everywhere."""

    name = "wait"
    description = "Wait until a revision is in force on every agent and entry"
    arguments = [argument("service", "Service name")]
    options = [
        *common_options(),
        option("revision", None, "Revision to wait for; default the accepted one", flag=False),
        option("wait-timeout", None, "Seconds to wait", flag=False, default=DEFAULT_WAIT_S),
    ]

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Poll until the revision is in force."""
        name, timeout_s = self.argument("service"), self.seconds("wait-timeout")
        revision = self.number("revision", 0)
        if revision == 0:
            stored = await read_accepted(client, name)
            if isinstance(stored, PlatformFailure):
                return platform_unreachable(stored)
            if stored.service is None:
                return not_found(name, stored)
            revision = stored.revision
        wait = RolloutWait(settings, client, name, revision, timeout_s, self.option("output"))
        return wait_report(await wait.run(), name, revision)


class StatusCommand(CtlCommand):
    """Show which agents and entries hold which revision, and rejected objects."""

    name = "status"
    description = "Show which agents and entries hold which revision, and rejected objects"
    arguments = [argument("service", "Only this service", optional=True)]
    options = common_options()

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Query the platform and every agent."""
        endpoints, stored = await asyncio.gather(
            find_agents(settings, client), stored_revisions(client)
        )
        if isinstance(endpoints, PlatformFailure):
            return platform_unreachable(endpoints)
        fleet = await ask_agents(endpoints)
        return status_report(fleet, stored, self.argument("service"))


async def stored_revisions(client: PlatformClient) -> dict[str, int | str] | PlatformFailure:
    """Read the stored revision of every service, or the first error of a bad object as text."""
    values = await client.list_kind(SERVICES_KIND)
    if isinstance(values, PlatformFailure):
        return values
    revisions: dict[str, int | str] = {}
    for value in values:
        stored = decode_stored(value, value.name)
        revisions[value.name] = stored.revision if stored.service else str(stored.faults[0])
    return revisions


def status_report(
    fleet: Fleet, stored: dict[str, int | str] | PlatformFailure, only: str | None
) -> Report:
    """Report agents, then services, then rejected objects."""
    statuses = sorted(fleet.statuses(), key=lambda status: status.agent)
    lines = [agent_line(status) for status in statuses]
    for status in statuses:
        lines.extend(entry_line(status, name) for name in sorted(status.entries))
    lines.extend(
        f"agent {item.endpoint.name}: no status: {item.reason}" for item in fleet.unreachable
    )
    if isinstance(stored, PlatformFailure):
        lines.append(f"platform: cannot be read: {stored.reason}")
        stored = {}
    services = [only] if only else service_names(statuses, stored)
    for name in services:
        lines.extend(service_status(fleet, name, stored.get(name)))
    rejected = rejected_objects(statuses)
    lines.extend(f"rejected: {text} (on {abbreviate(names)})" for text, names in rejected.items())
    document = {
        "agents": [agent_document(status) for status in statuses],
        "silent": [
            {"agent": item.endpoint.name, "reason": item.reason} for item in fleet.unreachable
        ],
        "stored": stored,
        "rejected": [{"fault": text, "on": names} for text, names in rejected.items()],
    }
    if not statuses:
        lines = lines or ["no agent is known"]
        return error_report(ResultCode.CHANGE_FAILED, lines, **document)
    return success_report(lines, **document)


def service_names(statuses: list[AgentStatus], stored: dict[str, int | str]) -> list[str]:
    """Return the names of all services that are stored or held by an agent."""
    names = set(stored)
    for status in statuses:
        names |= status.services.keys()
    return sorted(names)


def agent_line(status: AgentStatus) -> str:
    """Format the line for an agent."""
    state = "ready" if status.ready else "not ready"
    return (
        f"agent {status.agent} ({status.data_centre}): {state}, "
        f"{len(status.services)} services, {len(status.entries)} entries"
    )


def entry_line(status: AgentStatus, name: str) -> str:
    """Format the line for an entry of an agent."""
    entry = status.entries[name]
    state = "draining" if entry.draining else "ready" if entry.ready else "not ready"
    if not entry.is_required and not entry.draining:
        state = f"silent for {entry.age_s:.0f} s"
    return f"entry {name} (of {status.agent}): {state}, {len(entry.applied)} services"


def service_status(fleet: Fleet, name: str, stored: int | str | None) -> list[str]:
    """Format the lines that show where a service's newest revision is held."""
    held = [status.services.get(name, 0) for status in fleet.statuses()]
    newest = max([*held, stored if isinstance(stored, int) else 0])
    coverage = Coverage(fleet, name, newest)
    total = len(coverage.holding) + len(coverage.lacking)
    line = f"service {name}: revision {newest} on {len(coverage.holding)} of {total} processes"
    if coverage.lacking:
        line += f"; not on {abbreviate(coverage.lacking)}"
    if isinstance(stored, str):
        return [line, f"service {name}: the stored object is bad: {stored}"]
    return [line]


def rejected_objects(statuses: list[AgentStatus]) -> dict[str, list[str]]:
    """Return the agents and entries that report each rejected object, by description."""
    found: dict[str, list[str]] = {}
    for status in statuses:
        for fault in status.rejected.values():
            text = f"{fault.object}: {fault.field}: {fault.reason}"
            found.setdefault(text, []).append(status.agent)
        for name, entry in status.entries.items():
            for service, reason in entry.rejected.items():
                found.setdefault(f"{SERVICES_KIND}/{service}: {reason}", []).append(name)
    return found


def agent_document(status: AgentStatus) -> dict[str, object]:
    """Return an agent and its entries for JSON output."""
    return {
        "agent": status.agent,
        "data_centre": status.data_centre,
        "ready": status.ready,
        "revisions": status.services,
        "entries": [
            {
                "entry": name,
                "ready": entry.ready,
                "draining": entry.draining,
                "applied": entry.applied,
            }
            for name, entry in status.entries.items()
        ],
    }
