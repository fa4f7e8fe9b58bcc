"""The change procedure: compare-and-set writes of a service and then of its copy.

Every write names the version that it replaces. A write that is sent twice, delayed or based on a
stale read therefore takes effect at most once, and a conflict returns the current object.
"""

import asyncio
import random

import msgspec

from poplarlane.decisions.configuration import configuration
from poplarlane.decisions.configuration.configuration import Base, BaseUnavailable, StoredObject
from poplarlane.decisions.configuration.edits import (
    Edit,
    EditConflict,
    EditInvalid,
    Sentinel,
    apply_edit,
    bind_expected,
    truncate_summary,
)
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import (
    MAX_RECORDED_CHANGES,
    SERVICE_COPIES_KIND,
    SERVICES_KIND,
    ChangeObject,
    ServiceObject,
    encode_service,
)
from poplarlane.outcomes import ResultCode
from poplarlane.plumbing.ctl_client import (
    PlatformClient,
    PlatformFailure,
    VersionConflict,
    Written,
)
from poplarlane.programs.ctl.change_outcomes import (
    AskFleet,
    ChangeAccepted,
    DryRunResult,
    FleetView,
    Outcome,
    Unfinished,
    ask_nobody,
)
from poplarlane.programs.ctl.stored_objects import decode_stored

FIRST_RETRY_DELAY_MS = 20
MAX_RETRY_DELAY_MS = 250
# A concurrent writer needs a few calls to finish its change, including the write of the copy.
CONFLICT_DELAY_MS = 80
# A version that the platform never reaches. A conditional write with it changes nothing, and the
# conflict returns the current object, whereas a read may be stale.
NO_VERSION = 2**53 - 1


def now() -> float:
    """Return the time of the running event loop, which tests can advance."""
    return asyncio.get_running_loop().time()


class Change:
    """One operator's change, from the first read to the writes of object and copy."""

    __slots__ = (
        "client",
        "name",
        "edit",
        "operator",
        "change_id",
        "at",
        "deadline",
        "started_at",
        "generator",
        "ask_fleet",
        "dry_run",
        "replace_bad",
        "stored",
        "copy",
        "fleet",
        "fleet_is_current",
        "observed",
        "confirmed",
        "copy_confirmed",
        "conflicts",
        "backed_off",
        "raised_to",
        "recovered",
        "maybe_written_as",
        "failures",
        "last_failure",
    )

    def __init__(
        self,
        client: PlatformClient,
        name: str,
        edit: Edit,
        operator: str,
        change_id: str,
        at: str,
        timeout_s: float,
        generator: random.Random,
        ask_fleet: AskFleet = ask_nobody,
        dry_run: bool = False,
        replace_bad: bool = False,
    ) -> None:
        self.client = client
        self.name = name
        self.edit = edit
        self.operator = operator
        self.change_id = change_id
        self.at = at
        self.started_at = now()
        self.deadline = self.started_at + timeout_s
        self.generator = generator
        self.ask_fleet = ask_fleet
        self.dry_run = dry_run
        # Whether a whole object may replace a bad one of which no accepted revision is left.
        self.replace_bad = replace_bad
        self.stored: StoredObject | None = None
        self.copy: StoredObject | None = None
        self.fleet = FleetView()
        # Whether agents were queried after the last observed change of the object or its copy.
        self.fleet_is_current = False
        self.observed = False
        # A plain read may be stale; a conditional write proves that the version is current.
        self.confirmed = self.copy_confirmed = False
        self.conflicts = 0
        # Cleared by a conflict, so that the next write waits for other writers to finish.
        self.backed_off = True
        # Revision to which this change raised the copy in order to replace a bad object.
        self.raised_to = 0
        self.recovered = False
        # Revision with which the change may have been written; 0 when it certainly was not.
        self.maybe_written_as = 0
        self.failures = 0
        self.last_failure = ""

    async def run(self) -> Outcome:
        """Repeat steps until one returns an outcome or the deadline has passed."""
        while now() < self.deadline:
            outcome = await self.step()
            if outcome is not None:
                return outcome
        return self.unfinished(
            self.last_failure or "other operators changed the service on every attempt"
        )

    def unfinished(self, reason: str) -> Unfinished:
        """Report that the change was not written, or that its outcome is unknown."""
        code = ResultCode.PLATFORM_UNREACHABLE
        if self.maybe_written_as:
            code = ResultCode.CHANGE_OUTCOME_UNKNOWN
        return Unfinished(reason, bool(self.maybe_written_as), code)

    async def step(self) -> Outcome | None:
        """Perform the next read or write; None means that another step is needed."""
        if self.stored is None or self.copy is None:
            return await self.read_both()
        if configuration.contains_change(self.copy.service, self.change_id):
            return self.done()
        in_place = configuration.is_intact(self.stored, self.copy)
        if in_place and configuration.contains_change(self.stored.service, self.change_id):
            await self.write_copy(self.stored.service)
            return None
        base = self.choose_base()
        if self.is_beyond_history(base):
            return self.unfinished(
                f"the history holds only {MAX_RECORDED_CHANGES} changes, too few to show whether "
                f"revision {self.maybe_written_as} was this change"
            )
        if not self.backed_off:
            return await self.back_off()
        if isinstance(base, BaseUnavailable) or base.recovered:
            return await self.recover(base)
        if base.copy_is_behind and not self.dry_run:
            await self.write_copy(base.service)
            return None
        if self.needs_current_value():
            return await self.confirm_copy()
        return await self.edit_and_write(base)

    def needs_current_value(self) -> bool:
        """Return whether the value that the edit will expect could come from a stale read.

        A confirmed copy rules that out and, unlike the object, is not watched by agents.
        """
        if self.observed or self.dry_run or self.copy_confirmed:
            return False
        return self.edit.expected is Sentinel.UNSEEN

    def is_beyond_history(self, base: Base | BaseUnavailable) -> bool:
        """Return whether a write without a response may be older than the recorded changes.

        These are the changes of the object that would be written next, which differs from the
        stored one when that is bad.
        """
        if not self.maybe_written_as or isinstance(base, BaseUnavailable) or base.service is None:
            return False
        return not configuration.history_covers(base.service, self.maybe_written_as)

    async def recover(self, base: Base | BaseUnavailable) -> Outcome | None:
        """Replace a bad object after verifying that no newer accepted one exists."""
        if not self.confirmed and not self.dry_run:
            return await self.confirm_stored()
        if not self.fleet_is_current:
            self.fleet = self.fleet.merged(await self.ask_fleet(self.name))
            self.fleet_is_current = True
            return None
        if isinstance(base, BaseUnavailable):
            if not self.replace_bad:
                return base
            return await self.edit_and_write(Base(None, self.fleet.revision + 1, False, True))
        if self.dry_run:
            return await self.edit_and_write(base)
        if self.raised_to and self.copy.revision == self.raised_to:
            # The copy has had no other writer since, so no higher revision has been written.
            raised = Base(self.copy.service, self.raised_to + 1, False, True)
            return await self.edit_and_write(raised)
        return await self.raise_copy(base)

    async def raise_copy(self, base: Base) -> None:
        """Write the last accepted object to the copy, one revision below the next one.

        The revision of a service is never more than one above that of its copy. A recovery after
        an interrupted one therefore cannot reuse a revision that readers already hold.
        """
        raised = msgspec.structs.replace(base.service, revision=base.next_revision - 1)
        if await self.write_copy(raised):
            self.raised_to = raised.revision

    def choose_base(self) -> Base | BaseUnavailable:
        """Choose the last accepted object among those read so far."""
        seen = self.fleet
        return configuration.choose_base(self.stored, self.copy, seen.service, seen.revision)

    async def read_both(self) -> None:
        """Read the object and its copy."""
        stored, copy = await asyncio.gather(
            self.client.read(SERVICES_KIND, self.name),
            self.client.read(SERVICE_COPIES_KIND, self.name),
        )
        for result in (stored, copy):
            if isinstance(result, PlatformFailure):
                await self.pause(result.reason)
                return
        self.stored = decode_stored(stored, self.name)
        self.copy = decode_stored(copy, self.name, SERVICE_COPIES_KIND)

    async def back_off(self) -> None:
        """Wait after a conflict, then read again and keep the newer versions.

        The delay shrinks with each conflict, so that a change with many conflicts goes before one
        that has just started.
        """
        self.backed_off = True
        self.conflicts += 1
        delay_ms = CONFLICT_DELAY_MS / self.conflicts
        await asyncio.sleep(delay_ms * self.generator.random() / 1000)
        held, held_copy = self.stored, self.copy
        await self.read_both()
        # A stale read must not replace what a conflict has shown to be current.
        if self.stored.version <= held.version:
            self.stored = held
        else:
            self.discard_confirmations()
        if self.copy.version <= held_copy.version:
            self.copy = held_copy
        else:
            # The object was confirmed before this copy was read, so it may have changed since.
            self.discard_confirmations()

    def discard_confirmations(self) -> None:
        """Discard the confirmation and the fleet query that precede an observed change."""
        self.confirmed = False
        self.fleet_is_current = False

    async def edit_and_write(self, base: Base) -> Outcome | None:
        """Apply the edit to the base and write the next revision."""
        edited = self.edited(base)
        if isinstance(edited, EditConflict | EditInvalid):
            if self.confirmed or self.dry_run:
                return edited
            # The operator may have seen a newer revision than this read, which may be stale.
            return await self.fetch_current(SERVICES_KIND)
        change = ChangeObject(
            revision=base.next_revision,
            change_id=self.change_id,
            operator=self.operator,
            at=self.at,
            summary=truncate_summary(self.edit.summary),
        )
        service = configuration.with_change(edited, base, change)
        body = encode_service(service)
        checked = check_service(body, self.name)
        if isinstance(checked, list):
            return EditInvalid(checked)
        if self.dry_run:
            return DryRunResult(service, base.service)
        result = await self.write(SERVICES_KIND, body, self.stored.version)
        if isinstance(result, Written):
            self.recovered = base.recovered
            self.maybe_written_as = self.maybe_written_as or base.next_revision
            self.stored = StoredObject(result.version, service, [])
        elif isinstance(result, PlatformFailure) and result.sent:
            self.maybe_written_as = self.maybe_written_as or base.next_revision
        return None

    def edited(self, base: Base) -> ServiceObject | EditConflict | EditInvalid:
        """Apply the edit; the first value read counts as the one that the operator saw."""
        if not self.observed:
            observed = bind_expected(self.edit, base.service, self.name)
            if not isinstance(observed, Edit):
                return observed
            self.edit = observed
            self.observed = True
        return apply_edit(self.edit, base.service, self.name)

    async def confirm_stored(self) -> None:
        """Detect a stale read by writing the same object again under its version."""
        service = self.stored.service
        if service is None:
            # A bad object is not rewritten, because every watch would deliver it again.
            await self.fetch_current(SERVICES_KIND)
            return
        result = await self.write(SERVICES_KIND, encode_service(service), self.stored.version)
        if isinstance(result, Written):
            self.stored = StoredObject(result.version, service, [])
            self.confirmed = True

    async def confirm_copy(self) -> None:
        """Confirm that the copy is current, or that there is no valid one."""
        if self.copy.service is not None:
            await self.write_copy(self.copy.service)
            return
        if self.stored.version == 0:
            await self.fetch_current(SERVICES_KIND)
        await self.fetch_current(SERVICE_COPIES_KIND)

    async def fetch_current(self, kind: str) -> None:
        """Fetch the current object from the conflict of a write that never takes effect."""
        held = self.held_version(kind)
        await self.write(kind, b"{}", NO_VERSION)
        if self.held_version(kind) == held:
            # No other writer was active, so there is nothing to wait for.
            self.backed_off = True

    def held_version(self, kind: str) -> int:
        """Return the version of the object or copy that was last read."""
        return (self.stored if kind == SERVICES_KIND else self.copy).version

    async def write_copy(self, service: ServiceObject) -> bool:
        """Write the copy; after a conflict, continue with the current copy. Return success."""
        result = await self.write(SERVICE_COPIES_KIND, encode_service(service), self.copy.version)
        if isinstance(result, Written):
            self.copy = StoredObject(result.version, service, [])
            self.copy_confirmed = True
            return True
        return False

    def done(self) -> ChangeAccepted:
        """Report acceptance: the copy contains the change."""
        service = self.copy.service
        own = next(change for change in service.changes if change.change_id == self.change_id)
        elapsed_s = now() - self.started_at
        return ChangeAccepted(service, own.revision, self.recovered, elapsed_s)

    async def write(
        self, kind: str, body: bytes, version: int
    ) -> Written | VersionConflict | PlatformFailure:
        """Write conditionally; adopt the current object on a conflict, wait after a failure."""
        result = await self.client.write(kind, self.name, body, version)
        if isinstance(result, PlatformFailure):
            await self.pause(result.reason)
            return result
        self.failures = 0
        if isinstance(result, VersionConflict) and kind == SERVICES_KIND:
            self.stored = decode_stored(result.current, self.name)
            self.confirmed = True
            self.fleet_is_current = False
            self.backed_off = False
        elif isinstance(result, VersionConflict):
            self.copy = decode_stored(result.current, self.name, SERVICE_COPIES_KIND)
            self.copy_confirmed = True
            self.raised_to = 0
            # Another writer is active, so the object may have changed since it was read.
            self.discard_confirmations()
        return result

    async def pause(self, reason: str) -> None:
        """Wait before the next attempt, with exponential backoff and jitter."""
        self.last_failure = reason
        delay_ms = min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2**self.failures)
        self.failures += 1
        left_s = self.deadline - now()
        delay_s = delay_ms * self.generator.uniform(0.5, 1.0) / 1000
        await asyncio.sleep(max(0.0, min(delay_s, left_s)))
