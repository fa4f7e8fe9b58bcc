"""Waiting for the rollout of a revision to every agent and entry."""

import asyncio
import time
from dataclasses import dataclass

from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import PlatformClient, PlatformFailure
from poplarlane.programs.ctl.fleet import (
    AgentEndpoint,
    AgentStatus,
    Coverage,
    Fleet,
    ask_agents,
    find_agents,
)
from poplarlane.programs.ctl.reports import Report, error_report, progress, success_report
from poplarlane.settings import CtlSettings

# Status pages of a large fleet are large, so the poll interval grows and only agents that still
# lack the revision are queried again.
FIRST_INTERVAL_S = 0.05
MAX_INTERVAL_S = 0.5
INTERVAL_GROWTH = 1.5
# The VM list lags anyway, and reading it counts as a call to the platform.
LIST_INTERVAL_S = 2.0
MAX_NAMED_MEMBERS = 5


@dataclass(frozen=True, slots=True)
class WaitResult:
    """Result of a wait; `reason` is empty if the revision is in force everywhere."""

    coverage: Coverage | None
    elapsed_s: float
    reason: str


class RolloutWait:
    """Polls agents until a revision is in force everywhere or the deadline has passed."""

    __slots__ = (
        "settings",
        "client",
        "service",
        "revision",
        "started_at",
        "deadline",
        "output",
        "endpoints",
        "listed_at",
        "interval_s",
        "satisfied",
        "shown",
    )

    def __init__(
        self,
        settings: CtlSettings,
        client: PlatformClient,
        service: str,
        revision: int,
        timeout_s: float,
        output: str,
    ) -> None:
        self.settings = settings
        self.client = client
        self.service = service
        self.revision = revision
        self.started_at = time.monotonic()
        self.deadline = self.started_at + timeout_s
        self.output = output
        self.endpoints: list[AgentEndpoint] | PlatformFailure = []
        self.listed_at = float("-inf")
        self.interval_s = FIRST_INTERVAL_S
        self.satisfied: dict[AgentEndpoint, AgentStatus] = {}
        self.shown: tuple[int, int] | None = None

    async def run(self) -> WaitResult:
        """Poll until done, and print a progress line whenever the counts change."""
        while True:
            coverage = await self.poll()
            elapsed_s = time.monotonic() - self.started_at
            if coverage is not None:
                self.show_progress(coverage, elapsed_s)
                if coverage.complete:
                    return WaitResult(coverage, elapsed_s, "")
            if time.monotonic() >= self.deadline:
                return WaitResult(coverage, elapsed_s, self.missing(coverage))
            await asyncio.sleep(self.interval_s)
            self.interval_s = min(MAX_INTERVAL_S, self.interval_s * INTERVAL_GROWTH)

    async def poll(self) -> Coverage | None:
        """Query the agents that still lack the revision; None when no agent is known."""
        await self.refresh_endpoints()
        if isinstance(self.endpoints, PlatformFailure) or not self.endpoints:
            return None
        pending = [endpoint for endpoint in self.endpoints if endpoint not in self.satisfied]
        asked = await ask_agents(pending)
        known = [
            (endpoint, self.satisfied[endpoint])
            for endpoint in self.endpoints
            if endpoint in self.satisfied
        ]
        for endpoint, status in asked.answered:
            if not Coverage(Fleet([(endpoint, status)], []), self.service, self.revision).lacking:
                self.satisfied[endpoint] = status
        fleet = Fleet(known + asked.answered, asked.unreachable)
        return Coverage(fleet, self.service, self.revision)

    async def refresh_endpoints(self) -> None:
        """Reread the list of agents every LIST_INTERVAL_S; a failed read keeps the last list."""
        if time.monotonic() - self.listed_at < LIST_INTERVAL_S:
            return
        endpoints = await find_agents(self.settings, self.client)
        if not isinstance(endpoints, PlatformFailure):
            self.listed_at = time.monotonic()
            self.endpoints = endpoints
        elif not self.endpoints:
            self.endpoints = endpoints

    def show_progress(self, coverage: Coverage, elapsed_s: float) -> None:
        """Print the progress of the rollout if it has changed."""
        counts = (len(coverage.holding), len(coverage.lacking))
        if counts == self.shown:
            return
        self.shown = counts
        line = (
            f"{self.service}: revision {self.revision} in force on {counts[0]} of {sum(counts)} "
            f"after {elapsed_s:.2f} s"
        )
        if coverage.lacking:
            line += f"; waiting for {abbreviate(coverage.lacking)}"
        progress(line, self.output)

    def missing(self, coverage: Coverage | None) -> str:
        """Return the reason for which the wait timed out."""
        if coverage is not None:
            return f"not in force on {abbreviate(coverage.lacking)}"
        if isinstance(self.endpoints, PlatformFailure):
            return f"the list of agents cannot be read: {self.endpoints.reason}"
        return "no agent is known; set `agents` or register VMs with role poplarlane"


def abbreviate(names: list[str]) -> str:
    """Join names, at most MAX_NAMED_MEMBERS of them."""
    text = ", ".join(names[:MAX_NAMED_MEMBERS])
    rest = len(names) - MAX_NAMED_MEMBERS
    return f"{text} and {rest} more" if rest > 0 else text


def wait_report(waited: WaitResult, service: str, revision: int) -> Report:
    """Report how a wait ended."""
    document = {
        "service": service,
        "revision": revision,
        "in_force": not waited.reason,
        "waited_s": round(waited.elapsed_s, 3),
        "holding": waited.coverage.holding if waited.coverage else [],
        "lacking": waited.coverage.lacking if waited.coverage else [],
        "without_entries": waited.coverage.without_entries if waited.coverage else [],
    }
    if waited.reason:
        text = f"{service}: revision {revision}: {waited.reason} after {waited.elapsed_s:.2f} s"
        return error_report(ResultCode.WAIT_TIMED_OUT, [text], **document)
    text = f"{service}: revision {revision} in force everywhere ({waited.coverage.summary()})"
    lines = [f"{text} after {waited.elapsed_s:.2f} s"]
    if waited.coverage.without_entries:
        lines.append(
            f"no entry is connected to agent {abbreviate(waited.coverage.without_entries)}"
        )
    return success_report(lines, **document)
