"""Edits of a service object with optimistic concurrency control.

An edit sets or removes the value at one path of the object and names the value that it expects
there. Concurrent edits of different paths therefore both take effect; of two edits of the same
path the later one fails with a conflict.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from poplarlane.decisions.configuration.validation import WHOLE_OBJECT, ObjectFault, check_service
from poplarlane.objects import (
    JSON_ENCODER,
    SERVICES_KIND,
    SelectorObject,
    ServiceObject,
)
from poplarlane.outcomes import ResultCode

MAX_SHOWN_FIELDS = 5
MAX_SUMMARY_CHARACTERS = 200
# Written by the change procedure, never by an edit.
METADATA_FIELDS = ("revision", "change_id", "changes")


class Sentinel(Enum):
    """Placeholder for a value that is absent or not known."""

    ABSENT = "absent"
    # The operator named no expected value, so the first one read is expected from then on.
    UNSEEN = "unseen"


class Edit:
    """Replace the value at one path of a service object.

    `path` is empty for the whole object; `value` and `expected` are JSON values or a `Sentinel`.
    `based_on` is the revision that the operator edited, 0 when it is not known.
    """

    __slots__ = ("path", "value", "expected", "summary", "based_on")

    def __init__(
        self, path: tuple[str, ...], value: Any, expected: Any, summary: str, based_on: int = 0
    ) -> None:
        self.path = path
        self.value = value
        self.expected = expected
        self.summary = summary
        self.based_on = based_on


@dataclass(frozen=True, slots=True)
class EditConflict:
    """The value was changed by somebody else; None means absent."""

    field: str
    expected: Any
    current: Any
    revision: int
    code: ResultCode = ResultCode.CHANGE_CONFLICT


@dataclass(frozen=True, slots=True)
class EditInvalid:
    """The edited object would not be valid."""

    faults: list[ObjectFault]
    code: ResultCode = ResultCode.OBJECT_INVALID


def set_label(target: str, key: str, value: str, expected: Any = Sentinel.UNSEEN) -> Edit:
    """Set a label of a target."""
    summary = f"set label {key}={value} on target {target}"
    return Edit(("targets", target, "labels", key), value, expected, summary)


def remove_label(target: str, key: str, expected: Any = Sentinel.UNSEEN) -> Edit:
    """Remove a label of a target."""
    summary = f"remove label {key} from target {target}"
    return Edit(("targets", target, "labels", key), Sentinel.ABSENT, expected, summary)


def set_selector(name: str, selector: SelectorObject, expected: Any = Sentinel.UNSEEN) -> Edit:
    """Set a named selector pair."""
    summary = f"set selector {name}: callers {selector.callers!r}, targets {selector.targets!r}"
    return Edit(("selectors", name), msgspec.to_builtins(selector), expected, summary)


def remove_selector(name: str, expected: Any = Sentinel.UNSEEN) -> Edit:
    """Remove a named selector pair."""
    return Edit(("selectors", name), Sentinel.ABSENT, expected, f"remove selector {name}")


def apply_object(
    service: ServiceObject, expected: Any = Sentinel.UNSEEN, based_on: int = 0
) -> Edit:
    """Replace everything that is configured for a service."""
    return Edit((), content_of(service), expected, "apply object", based_on)


def content_of(service: ServiceObject) -> dict[str, Any]:
    """Return a service as JSON values, without revision, change id and history."""
    document = msgspec.to_builtins(service)
    for field in METADATA_FIELDS:
        del document[field]
    return document


def bind_expected(
    edit: Edit, service: ServiceObject | None, name: str
) -> Edit | EditConflict | EditInvalid:
    """Set the expected value of an edit, where it has none, to the current one."""
    if service is not None and edit.based_on not in (0, service.revision):
        return EditConflict("revision", edit.based_on, service.revision, service.revision)
    current, missing = value_at_path(edit.path, service)
    if missing:
        return invalid(name, missing, "does not exist")
    if (
        edit.value is Sentinel.ABSENT
        and current is Sentinel.ABSENT
        and edit.expected is Sentinel.UNSEEN
    ):
        return invalid(name, dotted_path(edit.path), "is not there, so it cannot be removed")
    if edit.expected is not Sentinel.UNSEEN:
        return edit
    return Edit(edit.path, edit.value, current, edit.summary)


def invalid(name: str, field: str, reason: str) -> EditInvalid:
    """Build an outcome with one fault."""
    return EditInvalid([ObjectFault(f"{SERVICES_KIND}/{name}", field, reason)])


def value_at_path(path: tuple[str, ...], service: ServiceObject | None) -> tuple[Any, str]:
    """Return the value at a path, and the name of the missing container or an empty string."""
    if service is None:
        return Sentinel.ABSENT, "service" if path else ""
    value: Any = content_of(service)
    for depth, step in enumerate(path):
        if step not in value:
            is_leaf = depth == len(path) - 1
            return Sentinel.ABSENT, "" if is_leaf else dotted_path(path[: depth + 1])
        value = value[step]
    return value, ""


def dotted_path(path: tuple[str, ...]) -> str:
    """Format a path as the field name of a fault."""
    return ".".join(path) or WHOLE_OBJECT


def none_if_sentinel(value: Any) -> Any:
    """Replace a sentinel by None."""
    return None if isinstance(value, Sentinel) else value


def apply_edit(
    edit: Edit, service: ServiceObject | None, name: str
) -> ServiceObject | EditConflict | EditInvalid:
    """Apply an observed edit; the result keeps the revision of `service` and is validated."""
    current, missing = value_at_path(edit.path, service)
    revision = service.revision if service else 0
    if missing or current != edit.expected:
        field = missing or dotted_path(edit.path)
        return EditConflict(
            field, none_if_sentinel(edit.expected), none_if_sentinel(current), revision
        )
    document = edited_document(edit, service)
    document.update(metadata_of(service))
    checked = check_service(JSON_ENCODER.encode(document), name)
    return EditInvalid(checked) if isinstance(checked, list) else checked


def edited_document(edit: Edit, service: ServiceObject | None) -> dict[str, Any]:
    """Build the content after an edit whose containers exist."""
    if not edit.path:
        return dict(edit.value)
    document = content_of(service)
    container = document
    for step in edit.path[:-1]:
        container = container[step]
    if edit.value is Sentinel.ABSENT:
        del container[edit.path[-1]]
    else:
        container[edit.path[-1]] = edit.value
    return document


def metadata_of(service: ServiceObject | None) -> dict[str, Any]:
    """Return the metadata fields, which no edit changes; a new service has revision 1."""
    if service is None:
        return {"revision": 1, "change_id": "new", "changes": []}
    document = msgspec.to_builtins(service)
    return {field: document[field] for field in METADATA_FIELDS}


def conflict_reason(conflict: EditConflict) -> str:
    """Describe a conflict in one line that names the current value."""
    if isinstance(conflict.current, dict) and isinstance(conflict.expected, dict):
        changed = differences(conflict.expected, conflict.current)
        shown = [
            f"{field} is now {format_value(new)}" for field, _, new in changed[:MAX_SHOWN_FIELDS]
        ]
        more = f" and {len(changed) - len(shown)} more" if len(changed) > len(shown) else ""
        return (
            f"{conflict.field} was changed since it was read: {', '.join(shown)}{more}, "
            f"in revision {conflict.revision}"
        )
    current = f"is {format_value(conflict.current)}"
    if conflict.field == WHOLE_OBJECT and conflict.current is not None:
        # A whole object does not fit on the line of an error message.
        current = "exists"
    return (
        f"{conflict.field} was expected to be {format_value(conflict.expected)}, "
        f"but {current} in revision {conflict.revision}"
    )


def format_value(value: Any) -> str:
    """Format a JSON value for display; None means absent."""
    return "absent" if value is None else JSON_ENCODER.encode(value).decode()


def differences(old: Any, new: Any, path: str = "") -> list[tuple[str, Any, Any]]:
    """List the fields in which two JSON values differ, with both values; None is absent."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [] if old == new else [(path or WHOLE_OBJECT, old, new)]
    found = []
    for key in sorted(old.keys() | new.keys()):
        where = f"{path}.{key}" if path else key
        found.extend(differences(old.get(key), new.get(key), where))
    return found


def truncate_summary(summary: str) -> str:
    """Truncate a summary, so that the history can hold 50 changes."""
    if len(summary) <= MAX_SUMMARY_CHARACTERS:
        return summary
    return summary[: MAX_SUMMARY_CHARACTERS - 3] + "..."
