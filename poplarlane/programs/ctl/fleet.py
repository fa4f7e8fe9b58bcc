"""Queries of agents for the revisions that they and their entries hold."""

import asyncio
from dataclasses import dataclass

import msgspec

from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import ServiceObject
from poplarlane.plumbing.ctl_client import PlatformClient, PlatformFailure, read_admin
from poplarlane.plumbing.http_call import CallFailure
from poplarlane.programs.ctl.change_outcomes import FleetView
from poplarlane.settings import CtlSettings

POPLARLANE_ROLE = "poplarlane"
# Agents with the same revision hold the same object, so a few reads are enough.
MAX_READS = 3
# Entries report every 500 ms; one without a report for this long has stopped serving callers.
ENTRY_SILENCE_S = 10.0


class RejectedObject(msgspec.Struct):
    """A validation error of a bad object, as reported by an agent."""

    object: str = ""
    field: str = ""
    reason: str = ""


class EntryStatus(msgspec.Struct):
    """Status of an entry as reported by its agent; `rejected` maps services to reasons."""

    ready: bool = False
    draining: bool = False
    age_s: float = 0.0
    applied: dict[str, int] = {}
    rejected: dict[str, str] = {}

    @property
    def is_required(self) -> bool:
        """Return whether a revision must reach this entry to be in force everywhere."""
        return not self.draining and self.age_s < ENTRY_SILENCE_S


class AgentStatus(msgspec.Struct):
    """The fields of an agent's status page that poplarctl uses."""

    agent: str
    data_centre: str = ""
    ready: bool = False
    services: dict[str, int] = {}
    rejected: dict[str, RejectedObject] = {}
    entries: dict[str, EntryStatus] = {}


class ServiceStatus(msgspec.Struct):
    """The JSON object of one service as held by an agent."""

    object: str


STATUS_DECODER = msgspec.json.Decoder(AgentStatus)
SERVICE_STATUS_DECODER = msgspec.json.Decoder(ServiceStatus)


@dataclass(frozen=True, slots=True)
class AgentEndpoint:
    """Name and admin address of an agent."""

    name: str
    address: str
    port: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class UnreachableAgent:
    """An agent whose status could not be read, and why."""

    endpoint: AgentEndpoint
    reason: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """Results of querying all agents."""

    answered: list[tuple[AgentEndpoint, AgentStatus]]
    unreachable: list[UnreachableAgent]

    def statuses(self) -> list[AgentStatus]:
        """Return the status pages that were read."""
        return [status for _, status in self.answered]


async def find_agents(
    settings: CtlSettings, client: PlatformClient
) -> list[AgentEndpoint] | PlatformFailure:
    """Return the agents of the settings, or of the platform's VM list if there are none."""
    if settings.agents:
        return [AgentEndpoint(agent.name, agent.address, agent.port) for agent in settings.agents]
    vms = await client.vms()
    if isinstance(vms, PlatformFailure):
        return vms
    return [
        AgentEndpoint(
            vm.name, vm.address, vm.admin_port or settings.agent_admin_port or 0, vm.state != "live"
        )
        for vm in vms
        if vm.role == POPLARLANE_ROLE
    ]


async def ask_agents(endpoints: list[AgentEndpoint]) -> Fleet:
    """Read the status pages of all agents concurrently."""
    answers = await asyncio.gather(*(ask_agent(endpoint) for endpoint in endpoints))
    pairs = zip(endpoints, answers, strict=True)
    answered = [(endpoint, answer) for endpoint, answer in pairs if isinstance(answer, AgentStatus)]
    unreachable = [answer for answer in answers if isinstance(answer, UnreachableAgent)]
    return Fleet(answered, unreachable)


async def ask_agent(endpoint: AgentEndpoint) -> AgentStatus | UnreachableAgent:
    """Read the status page of one agent."""
    if endpoint.port == 0:
        return UnreachableAgent(endpoint, "no admin port in the VM list; set agent_admin_port")
    body = await read_admin(endpoint.address, endpoint.port, "/status")
    if isinstance(body, CallFailure):
        return UnreachableAgent(endpoint, body.reason)
    try:
        return STATUS_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return UnreachableAgent(endpoint, f"status cannot be read: {error}")


async def held_by_fleet(settings: CtlSettings, client: PlatformClient, name: str) -> FleetView:
    """Return the newest revision held by any agent or entry, with its object if available."""
    endpoints = await find_agents(settings, client)
    if isinstance(endpoints, PlatformFailure):
        return FleetView()
    fleet = await ask_agents(endpoints)
    statuses = fleet.statuses()
    held = [status.services.get(name, 0) for status in statuses]
    entries = [entry for status in statuses for entry in status.entries.values()]
    newest = max([*held, *(entry.applied.get(name, 0) for entry in entries)], default=0)
    holders = [
        endpoint for endpoint, status in fleet.answered if status.services.get(name) == newest
    ]
    objects = await asyncio.gather(
        *(read_object(endpoint, name) for endpoint in holders[:MAX_READS])
    )
    found = [service for service in objects if service is not None]
    best = max(found, key=lambda service: service.revision, default=None)
    return FleetView(best, newest)


async def read_object(endpoint: AgentEndpoint, name: str) -> ServiceObject | None:
    """Read the object that an agent holds; None when it returns no valid one."""
    body = await read_admin(endpoint.address, endpoint.port, f"/status?service={name}")
    if isinstance(body, CallFailure):
        return None
    try:
        held = SERVICE_STATUS_DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None
    checked = check_service(held.object.encode(), name)
    return None if isinstance(checked, list) else checked


class Coverage:
    """The agents and entries on which a revision is and is not in force."""

    __slots__ = ("holding", "lacking", "without_entries")

    def __init__(self, fleet: Fleet, service: str, revision: int) -> None:
        self.holding: list[str] = []
        self.lacking: list[str] = []
        # Named because an entry that lost its agent appears on no status page.
        self.without_entries = [
            status.agent
            for status in fleet.statuses()
            if not any(entry.is_required for entry in status.entries.values())
        ]
        for status in fleet.statuses():
            self.add(f"agent {status.agent}", status.services.get(service, 0), revision)
            for name, entry in status.entries.items():
                if entry.is_required:
                    self.add(f"entry {name}", entry.applied.get(service, 0), revision)
        self.lacking.extend(
            f"agent {unreachable.endpoint.name} ({unreachable.reason})"
            for unreachable in fleet.unreachable
            if not unreachable.endpoint.leaving
        )

    def add(self, member: str, held: int, wanted: int) -> None:
        """Record the revision held by one member."""
        if held >= wanted:
            self.holding.append(member)
        else:
            self.lacking.append(f"{member} (revision {held})")

    def summary(self) -> str:
        """Return the numbers of agents and entries that hold the revision, as text."""
        agents = sum(member.startswith("agent ") for member in self.holding)
        return f"{agents} agents, {len(self.holding) - agents} entries"

    @property
    def complete(self) -> bool:
        """Return whether every member holds the revision."""
        return bool(self.holding) and not self.lacking
