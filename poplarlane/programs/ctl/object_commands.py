"""Commands that read or apply a whole service object."""

from pathlib import Path
from typing import Any

import msgspec
from cleo.helpers import argument, option

from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.configuration import StoredObject
from poplarlane.decisions.configuration.content import NAME_PATTERN
from poplarlane.decisions.configuration.edits import Edit
from poplarlane.decisions.configuration.validation import ObjectFault, check_service
from poplarlane.objects import JSON_ENCODER, SERVICE_COPIES_KIND, SERVICES_KIND, ServiceObject
from poplarlane.plumbing.ctl_client import PlatformClient, PlatformFailure
from poplarlane.programs.ctl.change_commands import (
    ChangeCommand,
    change_options,
    difference_lines,
)
from poplarlane.programs.ctl.command import CtlCommand, UsageError, common_options
from poplarlane.programs.ctl.reports import (
    Report,
    invalid_object,
    platform_unreachable,
    success_report,
)
from poplarlane.programs.ctl.stored_objects import decode_stored
from poplarlane.settings import CtlSettings


class InvalidFile(Exception):
    """An operator's file that is not a valid service object."""

    def __init__(self, faults: list[ObjectFault]) -> None:
        super().__init__("the file is not a valid service object")
        self.faults = faults


async def read_accepted(client: PlatformClient, name: str) -> StoredObject | PlatformFailure:
    """Read a service, or its copy when the object is bad."""
    stored = await client.read(SERVICES_KIND, name)
    if isinstance(stored, PlatformFailure):
        return stored
    decoded = decode_stored(stored, name)
    if decoded.service is not None:
        return decoded
    copy = await client.read(SERVICE_COPIES_KIND, name)
    if isinstance(copy, PlatformFailure):
        return copy
    held = decode_stored(copy, name, SERVICE_COPIES_KIND)
    return StoredObject(decoded.version, held.service, decoded.faults + held.faults)


def not_found(name: str, stored: StoredObject) -> Report:
    """Report that a service does not exist or has no valid object."""
    missing = ObjectFault(f"{SERVICES_KIND}/{name}", "(object)", "does not exist")
    return invalid_object(stored.faults or [missing])


class GetCommand(CtlCommand):
    """Show a service, or list all."""

    name = "get"
    description = "Show a service, or list all; with --output json in the form that apply reads"
    arguments = [argument("service", "Service name", optional=True)]
    options = common_options()

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Read one service or the list."""
        name = self.argument("service")
        if name is None:
            return await list_services(client)
        stored = await read_accepted(client, name)
        if isinstance(stored, PlatformFailure):
            return platform_unreachable(stored)
        if stored.service is None:
            return not_found(name, stored)
        lines = service_lines(stored.service)
        lines.extend(f"the object is bad, showing its copy: {fault}" for fault in stored.faults)
        return success_report(lines, object=msgspec.to_builtins(stored.service))


async def list_services(client: PlatformClient) -> Report:
    """List every service with its revision and size."""
    values = await client.list_kind(SERVICES_KIND)
    if isinstance(values, PlatformFailure):
        return platform_unreachable(values)
    lines, shown = [], []
    for value in values:
        stored = decode_stored(value, value.name)
        if stored.service is None:
            lines.append(f"{value.name}: bad object: {stored.faults[0]}")
            shown.append({"service": value.name, "faults": [str(item) for item in stored.faults]})
            continue
        service = stored.service
        state = ", deleted" if service.deleted else ""
        lines.append(
            f"{service.service}: revision {service.revision}, {len(service.targets)} targets, "
            f"{len(service.selectors)} selectors{state}"
        )
        shown.append({"service": service.service, "revision": service.revision})
    return success_report(lines or ["no services"], services=shown)


def service_lines(service: ServiceObject) -> list[str]:
    """Format a service as text lines."""
    lines = [
        f"service {service.service}, revision {service.revision}, policy {service.policy}"
        + (", deleted" if service.deleted else ""),
        f"  hosts: {', '.join(service.hosts)}",
    ]
    for kind in service.requests:
        state = "idempotent" if kind.idempotent else "not idempotent"
        lines.append(
            f"  request {kind.name}: {' '.join(kind.methods)} {kind.path_prefix}, {state}, "
            f"priority {kind.priority}, deadline {kind.deadline_ms} ms"
        )
    for name, target in sorted(service.targets.items()):
        labels = ",".join(f"{key}={value}" for key, value in sorted(target.labels.items()))
        place = f"{target.address}:{target.port} in {target.data_centre}"
        lines.append(f"  target {name}: {place}, labels {labels or '(none)'}")
    for name, pair in sorted(service.selectors.items()):
        lines.append(f"  selector {name}: callers {pair.callers!r}, targets {pair.targets!r}")
    return lines


def read_file(path: str) -> tuple[str, ServiceObject, int]:
    """Read a file; return service name, object, and the revision it is based on (0: none)."""
    try:
        body = Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"file {path}: {error.strerror}") from None
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        fault = ObjectFault(path, "(object)", f"is not JSON: {error}")
        raise InvalidFile([fault]) from None
    if isinstance(document, dict) and isinstance(document.get("object"), dict):
        # The output of `get --output json`.
        document = document["object"]
    based_on = fill_defaults(document)
    name = document.get("service") if isinstance(document, dict) else None
    if not isinstance(name, str) or not NAME_PATTERN.match(name):
        raise InvalidFile([ObjectFault(path, "service", "expected the name of a service")])
    checked = check_service(JSON_ENCODER.encode(document), name)
    if isinstance(checked, list):
        raise InvalidFile(checked)
    return name, checked, based_on


def fill_defaults(document: Any) -> int:
    """Set the fields that a file may omit; return the revision that the file names, or 0."""
    if not isinstance(document, dict):
        return 0
    based_on = document.get("revision", 0)
    if based_on == 0:
        document["revision"] = 1
    document.setdefault("change_id", "file")
    return based_on


class ApplyCommand(ChangeCommand):
    """Apply a whole service object from a file."""

    name = "apply"
    description = "Apply a service object from a file; its revision is the one it is based on"
    arguments = [argument("file", "JSON file")]
    options = [
        *change_options(),
        option("replace-bad", None, "Replace a bad object even if no accepted revision is left"),
    ]

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Validate the file and carry out the change."""
        try:
            _, self.service, self.based_on = read_file(self.argument("file"))
        except InvalidFile as error:
            return invalid_object(error.faults)
        return await super().report(settings, client)

    def edit(self) -> Edit:
        return edits.apply_object(self.service, based_on=self.based_on)

    def service_name(self) -> str:
        """Return the name of the service to change."""
        return self.service.service

    def replaces_bad(self) -> bool:
        """Return the option `--replace-bad`."""
        return self.option("replace-bad")


class DiffCommand(CtlCommand):
    """Compare a file with the accepted object."""

    name = "diff"
    description = "Show what apply would change"
    arguments = [argument("file", "JSON file")]
    options = common_options()

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Compare the file with the accepted object."""
        try:
            name, service, _ = read_file(self.argument("file"))
        except InvalidFile as error:
            return invalid_object(error.faults)
        stored = await read_accepted(client, name)
        if isinstance(stored, PlatformFailure):
            return platform_unreachable(stored)
        before = edits.content_of(stored.service) if stored.service else {}
        changes = edits.differences(before, edits.content_of(service))
        revision = stored.revision
        lines = [f"{name}: {len(changes)} differences from revision {revision}"]
        lines.extend(difference_lines(changes))
        shown = [{"field": field, "old": old, "new": new} for field, old, new in changes]
        return success_report(lines, service=name, revision=revision, changes=shown)


class HistoryCommand(CtlCommand):
    """Show the recorded changes of a service."""

    name = "history"
    description = "Show the recorded changes of a service, the newest last"
    arguments = [argument("service", "Service name")]
    options = common_options()

    async def report(self, settings: CtlSettings, client: PlatformClient) -> Report:
        """Read the service and show its changes."""
        name = self.argument("service")
        stored = await read_accepted(client, name)
        if isinstance(stored, PlatformFailure):
            return platform_unreachable(stored)
        if stored.service is None:
            return not_found(name, stored)
        changes = stored.service.changes
        lines = [
            f"revision {change.revision}, {change.at}, {change.operator}: {change.summary} "
            f"[{change.change_id}]"
            for change in changes
        ]
        shown = [msgspec.to_builtins(change) for change in changes]
        return success_report(lines or ["no recorded changes"], service=name, changes=shown)
