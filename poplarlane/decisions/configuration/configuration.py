"""Acceptance of revisions, and the choice of the base of a writer's next revision."""

from dataclasses import dataclass

import msgspec

from poplarlane.decisions.configuration.validation import ObjectFault
from poplarlane.objects import (
    MAX_RECORDED_CHANGES,
    SERVICES_KIND,
    ChangeObject,
    ServiceObject,
)
from poplarlane.outcomes import ResultCode


@dataclass(frozen=True, slots=True)
class Accepted:
    """The candidate replaces the held object."""

    service: ServiceObject
    code: ResultCode = ResultCode.REVISION_ACCEPTED


@dataclass(frozen=True, slots=True)
class Stale:
    """The candidate is ignored: it is older than the held object, or equal to it."""

    revision: int
    held_revision: int
    code: ResultCode = ResultCode.REVISION_STALE


@dataclass(frozen=True, slots=True)
class Rejected:
    """The candidate must never be applied."""

    fault: ObjectFault
    code: ResultCode = ResultCode.REVISION_REJECTED


def accept(held: ServiceObject | None, candidate: ServiceObject) -> Accepted | Stale | Rejected:
    """Decide whether a validated candidate replaces the held object of the same service."""
    if held is None:
        return Accepted(candidate)
    if candidate.service != held.service:
        reason = f"is {candidate.service!r}, but the held object is {held.service!r}"
        return Rejected(fault_of(held, "service", reason))
    if candidate.revision > held.revision:
        return Accepted(candidate)
    if candidate.revision == held.revision and candidate != held:
        reason = f"revision {held.revision} is already held with other content"
        return Rejected(fault_of(held, "revision", reason))
    return Stale(candidate.revision, held.revision)


def fault_of(service: ServiceObject, field: str, reason: str) -> ObjectFault:
    """Build a fault of a service's stored object."""
    return ObjectFault(f"{SERVICES_KIND}/{service.service}", field, reason)


class StoredObject:
    """What the platform stores under one name.

    `version` is 0 when nothing is stored; `service` is None when nothing valid is stored.
    """

    __slots__ = ("version", "service", "faults")

    def __init__(
        self, version: int, service: ServiceObject | None, faults: list[ObjectFault]
    ) -> None:
        self.version = version
        self.service = service
        self.faults = faults

    @property
    def revision(self) -> int:
        """Return the stored revision, 0 without a valid object."""
        return self.service.revision if self.service else 0


@dataclass(frozen=True, slots=True)
class Base:
    """The base of the next revision.

    `service` is None for a service that does not exist yet. `recovered` means that the stored
    object is bad and that `service` comes from the copy or from agents.
    """

    service: ServiceObject | None
    next_revision: int
    copy_is_behind: bool
    recovered: bool


@dataclass(frozen=True, slots=True)
class BaseUnavailable:
    """Neither the object nor its copy nor any agent holds an accepted revision."""

    faults: list[ObjectFault]
    code: ResultCode = ResultCode.OBJECT_INVALID


def choose_base(
    stored: StoredObject,
    copy: StoredObject,
    fleet: ServiceObject | None = None,
    fleet_revision: int = 0,
) -> Base | BaseUnavailable:
    """Choose the last accepted object among the stored one, its copy and what agents hold.

    `fleet_revision` is the highest revision that any agent or entry reports.
    """
    if stored.version == 0 and copy.version == 0 and fleet is None and fleet_revision == 0:
        return Base(None, 1, False, False)
    if is_intact(stored, copy) and stored.revision >= fleet_revision:
        behind = copy.revision < stored.revision
        return Base(stored.service, stored.revision + 1, behind, False)
    candidates = [held for held in (copy.service, fleet) if held is not None]
    if not candidates:
        return BaseUnavailable(stored.faults + copy.faults)
    newest = max(candidates, key=lambda held: held.revision)
    # The object may have been one revision ahead of its copy when it was overwritten, and readers
    # may hold that revision, so the next one must exceed it.
    after_copy = copy.revision + 2
    next_revision = max(after_copy, newest.revision + 1, fleet_revision + 1)
    return Base(newest, next_revision, copy.revision < newest.revision, True)


def is_intact(stored: StoredObject, copy: StoredObject) -> bool:
    """Return whether the stored object is valid and was not overwritten by an older one.

    A writer writes the object before its copy. An object that equals its copy but was written
    later may have been restored by another tool, over a newer revision that readers hold.
    """
    if stored.service is None:
        return False
    if copy.service is None or stored.revision > copy.revision:
        return True
    return stored.service == copy.service and stored.version < copy.version


def contains_change(service: ServiceObject | None, change_id: str) -> bool:
    """Return whether a change took effect, judged by its id in the recorded changes."""
    if service is None:
        return False
    return any(change.change_id == change_id for change in service.changes)


def history_covers(service: ServiceObject, revision: int) -> bool:
    """Return whether the recorded changes would include a change made as this revision.

    Only the latest changes are recorded, so an older one can neither be found nor ruled out.
    """
    if service.revision < revision:
        return True
    return bool(service.changes) and service.changes[0].revision <= revision


def with_change(service: ServiceObject, base: Base, change: ChangeObject) -> ServiceObject:
    """Number an edited service as the next revision and record the change."""
    earlier = base.service.changes if base.service else []
    return msgspec.structs.replace(
        service,
        revision=change.revision,
        change_id=change.change_id,
        changes=[*earlier, change][-MAX_RECORDED_CHANGES:],
    )
