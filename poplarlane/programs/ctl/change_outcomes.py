"""Outcomes of a change, and the query of the fleet that the change procedure uses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from poplarlane.decisions.configuration.configuration import BaseUnavailable
from poplarlane.decisions.configuration.edits import EditConflict, EditInvalid
from poplarlane.objects import ServiceObject
from poplarlane.outcomes import ResultCode


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change was accepted `accepted_s` seconds after its start."""

    service: ServiceObject
    revision: int
    recovered: bool
    accepted_s: float
    code: ResultCode = ResultCode.CHANGE_DONE


@dataclass(frozen=True, slots=True)
class DryRunResult:
    """What a dry run would have written."""

    service: ServiceObject
    previous: ServiceObject | None
    code: ResultCode = ResultCode.CHANGE_DONE


@dataclass(frozen=True, slots=True)
class Unfinished:
    """The change timed out; it may still take effect if `maybe_written` is set."""

    reason: str
    maybe_written: bool
    code: ResultCode


Outcome = ChangeAccepted | DryRunResult | EditConflict | EditInvalid | BaseUnavailable | Unfinished


@dataclass(frozen=True, slots=True)
class FleetView:
    """Newest revision reported by agents and, if one returned it, the object."""

    service: ServiceObject | None = None
    revision: int = 0

    def merged(self, later: "FleetView") -> "FleetView":
        """Combine two views; agents that answer later may hold older revisions."""
        held = [view.service for view in (self, later) if view.service is not None]
        newest = max(held, key=lambda service: service.revision, default=None)
        return FleetView(newest, max(self.revision, later.revision))


AskFleet = Callable[[str], Awaitable[FleetView]]


async def ask_nobody(_service: str) -> FleetView:
    """Return an empty view, for callers without access to agents."""
    return FleetView()
