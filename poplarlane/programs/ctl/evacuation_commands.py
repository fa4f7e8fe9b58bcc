"""Commands that evacuate a data centre on the users' platform and end that."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument, option

from poplarlane.addresses import split_address
from poplarlane.decisions.configuration.directory import InstanceRecord
from poplarlane.outcomes import ResultCode
from poplarlane.platform import store
from poplarlane.platform.translation import instance_of
from poplarlane.plumbing.ctl_client import PlatformClient
from poplarlane.plumbing.http_call import CallFailure, CallResponse, call
from poplarlane.programs.ctl.command import CtlCommand, UsageError, common_options
from poplarlane.programs.ctl.reports import Report, error_report, success_report
from poplarlane.settings import CtlSettings
from poplarlane.store_objects import StoredObject

CALL_TIMEOUT_S = 2.0
MAX_PAGES = 1_000
MAX_NAME_LENGTH = 253
OK_STATUSES = (200, 201, 204)
NOT_FOUND = 404
CONFLICT = 409
# Statuses with which the store rejects a write without executing it.
REFUSED_STATUSES = frozenset((400, 401, 403, 404, 405, 409, 412, 413, 429, 503))


class StoreUnreadable(Exception):
    """The store could not be read."""


class Remaining:
    """Slots of one service with and without a data centre."""

    __slots__ = ("service", "leaving", "remaining")

    def __init__(self, service: str, leaving: int, remaining: int) -> None:
        self.service = service
        self.leaving = leaving
        self.remaining = remaining

    def line(self) -> str:
        """Format the slots as a line."""
        found = f"service {self.service}: {self.leaving} slots there, {self.remaining} elsewhere"
        return f"{found} (nothing is left)" if self.leaving and not self.remaining else found


class EvacuationCommand(CtlCommand):
    """A change of one evacuation."""

    arguments = [argument("data-centre", "Name of the data centre")]
    options = [
        *common_options(),
        option("dry-run", None, "Show the slots of each service and write nothing"),
        option("force", None, "Accept a data centre without targets"),
    ]
    is_change = True
    method: ClassVar[str]

    def check_usage(self) -> None:
        """Validate the name of the data centre, which may hold any character."""
        super().check_usage()
        name = self.argument("data-centre")
        if not name or len(name) > MAX_NAME_LENGTH:
            raise UsageError(f"argument data-centre is {name!r}, which is not a name")

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Show what the change means, and make it."""
        if not settings.store:
            raise UsageError("settings key 'store' is required for this command")
        name = self.argument("data-centre")
        try:
            records = instances(await read_all(settings.store, store.INSTANCES_KIND))
            held = {item.name for item in await read_all(settings.store, store.EVACUATIONS_KIND)}
        except StoreUnreadable as error:
            return error_report(ResultCode.PLATFORM_UNREACHABLE, [str(error)])
        fault = self.fault(name, records, held)
        if fault:
            return error_report(ResultCode.OBJECT_INVALID, [fault])
        slots = remaining_slots(records, name, (held - {name}))
        lines = [found.line() for found in slots]
        shown: dict[str, Any] = {"data_centre": name, "evacuated": sorted(held)}
        shown["services"] = [
            {"service": found.service, "leaving": found.leaving, "remaining": found.remaining}
            for found in slots
        ]
        if self.option("dry-run"):
            return success_report([*lines, "nothing was written"], dry_run=True, **shown)
        failure = await write(settings.store, self.method, name)
        if failure is not None:
            return failure
        return success_report([*lines, self.done(name)], **shown)

    def fault(self, name: str, records: list[InstanceRecord], held: set[str]) -> str:
        """Return why the change makes no sense; empty if it does."""
        raise NotImplementedError

    def done(self, name: str) -> str:
        """Return the line that says what was written."""
        raise NotImplementedError


class EvacuateCommand(EvacuationCommand):
    """Ask that a data centre's targets get no new requests."""

    name = "evacuate"
    description = "Send the targets of a data centre no new requests until it is restored"
    method = "POST"

    def fault(self, name: str, records: list[InstanceRecord], held: set[str]) -> str:
        known = sorted({record.data_centre for record in records})
        if name in known or self.option("force"):
            return ""
        return f"no target is in data centre {name!r}; targets are in {', '.join(known)}"

    def done(self, name: str) -> str:
        return f"{name} is evacuated; requests in flight are finished"


class RestoreCommand(EvacuationCommand):
    """End the evacuation of a data centre."""

    name = "restore"
    description = "End the evacuation of a data centre"
    method = "DELETE"

    def fault(self, name: str, records: list[InstanceRecord], held: set[str]) -> str:
        if name in held or self.option("force"):
            return ""
        return f"data centre {name!r} is not evacuated; evacuated: {', '.join(sorted(held)) or '-'}"

    def done(self, name: str) -> str:
        return f"the evacuation of {name} has ended"


def instances(items: list[StoredObject]) -> list[InstanceRecord]:
    """Translate the records of targets that can be used."""
    found = [instance_of(item) for item in items]
    return [record for record in found if record is not None and not record.leaving]


def remaining_slots(
    records: list[InstanceRecord], name: str, evacuated: set[str]
) -> list[Remaining]:
    """Add up the slots of each service in the data centre and in those that are not evacuated."""
    leaving: dict[str, int] = defaultdict(int)
    remaining: dict[str, int] = defaultdict(int)
    for record in records:
        if record.data_centre == name:
            leaving[record.service] += record.slots
        elif record.data_centre not in evacuated:
            remaining[record.service] += record.slots
    names = sorted({*leaving, *remaining})
    return [Remaining(service, leaving[service], remaining[service]) for service in names]


async def read_all(address: str, kind: str) -> list[StoredObject]:
    """Read all pages of a kind."""
    items: list[StoredObject] = []
    after = ""
    for _ in range(MAX_PAGES):
        path = store.list_path(kind, after, False)
        page = decoded(await store_call(address, "GET", path), store.decode_page)
        items += page.items
        if not page.has_more or page.last_name in ("", after):
            break
        after = page.last_name
    return items


def decoded(response: CallResponse | CallFailure, decode: Callable[[bytes], Any]) -> Any:
    """Decode a response of the store."""
    if isinstance(response, CallFailure):
        raise StoreUnreadable(f"the store cannot be read: {response.reason}")
    if response.status not in OK_STATUSES:
        raise StoreUnreadable(f"the store cannot be read: status {response.status}")
    try:
        return decode(response.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StoreUnreadable(f"the store sent an undecodable response: {error}") from error


async def write(address: str, method: str, name: str) -> Report | None:
    """Write or delete an evacuation; return the report of a failure."""
    path = store.object_path(store.EVACUATIONS_KIND, name if method == "DELETE" else "")
    body = store.encode_object(name, {}) if method == "POST" else b""
    response = await store_call(address, method, path, body)
    if isinstance(response, CallFailure):
        code = ResultCode.CHANGE_OUTCOME_UNKNOWN if response.sent else ResultCode.CHANGE_FAILED
        state = "may have taken effect" if response.sent else "was not written"
        return error_report(code, [f"{name}: the change {state}: {response.reason}"])
    # The object exists already, or is gone already.
    is_done = {"POST": CONFLICT, "DELETE": NOT_FOUND}[method]
    if response.status in OK_STATUSES or response.status == is_done:
        return None
    is_refused = response.status in REFUSED_STATUSES
    code = ResultCode.CHANGE_FAILED if is_refused else ResultCode.CHANGE_OUTCOME_UNKNOWN
    state = "was not written" if is_refused else "may have taken effect"
    return error_report(code, [f"{name}: the change {state}: status {response.status}"])


async def store_call(
    address: str, method: str, path: str, body: bytes = b""
) -> CallResponse | CallFailure:
    """Make one call to the store."""
    host, port = split_address(address)
    return await call(host, port, method, path, {}, body, CALL_TIMEOUT_S)
