"""How a change ends, and what the change procedure may ask agents."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from poplarlane.decisions.configuration import NoBase
from poplarlane.decisions.edits import EditConflict, EditInvalid
from poplarlane.objects import ServiceObject
from poplarlane.outcomes import ResultCode


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Report an accepted change; times are seconds since the change began."""

    service: ServiceObject
    revision: int
    recovered: bool
    accepted_s: float
    code: ResultCode = ResultCode.CHANGE_DONE


@dataclass(frozen=True, slots=True)
class DryRunResult:
    """Report what a dry run would have written."""

    service: ServiceObject
    previous: ServiceObject | None
    code: ResultCode = ResultCode.CHANGE_DONE


@dataclass(frozen=True, slots=True)
class Unfinished:
    """Report a change that ran out of time; `maybe_written` tells that it may take effect."""

    reason: str
    maybe_written: bool
    code: ResultCode


Outcome = ChangeAccepted | DryRunResult | EditConflict | EditInvalid | NoBase | Unfinished


@dataclass(frozen=True, slots=True)
class FleetView:
    """Hold the newest revision that agents report and, when one gives it, the object."""

    service: ServiceObject | None = None
    revision: int = 0

    def merged(self, later: "FleetView") -> "FleetView":
        """Keep the newest of two answers; agents that answer later may hold less."""
        held = [view.service for view in (self, later) if view.service is not None]
        newest = max(held, key=lambda service: service.revision, default=None)
        return FleetView(newest, max(self.revision, later.revision))


AskFleet = Callable[[str], Awaitable[FleetView]]


async def ask_nobody(_service: str) -> FleetView:
    """Stand in for a fleet that cannot be asked."""
    return FleetView()
