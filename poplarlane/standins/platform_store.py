"""Objects, versions, changes and the VM list of the stand-in platform."""

import base64
from collections import deque
from typing import Any

import msgspec

MAX_KEPT_VERSIONS = 64


class StoredVersion:
    """Hold one version of an object; `written_at` is in seconds of the event loop's clock."""

    __slots__ = ("kind", "name", "version", "value", "is_json", "written_at")

    def __init__(self, kind: str, name: str, version: int, value: bytes, at: float) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.value = value
        self.is_json = is_json(value)
        self.written_at = at

    def document(self) -> dict[str, Any]:
        """Show the object; a value that is not JSON appears in base64 as `raw`."""
        shown = {"kind": self.kind, "name": self.name, "version": self.version}
        if self.is_json:
            shown["value"] = msgspec.Raw(self.value)
        else:
            shown["raw"] = base64.b64encode(self.value).decode()
        return shown


def is_json(value: bytes) -> bool:
    """Tell whether bytes are one JSON document."""
    try:
        msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True


class Store:
    """Keep recent versions of every object and the latest changes."""

    __slots__ = ("revision", "objects", "changes", "forgotten", "kept_changes")

    def __init__(self, kept_changes: int) -> None:
        self.kept_changes = kept_changes
        self.revision = 0
        self.objects: dict[tuple[str, str], deque[StoredVersion]] = {}
        self.changes: deque[StoredVersion] = deque()
        # The highest revision whose change is no longer kept.
        self.forgotten = 0

    def latest(self, kind: str, name: str, as_of: float | None = None) -> StoredVersion | None:
        """Find the newest version of an object, or the newest one written by `as_of`."""
        versions = self.objects.get((kind, name), ())
        for version in reversed(versions):
            if as_of is None or version.written_at <= as_of:
                return version
        return None

    def list_kind(self, kind: str, as_of: float | None) -> list[StoredVersion]:
        """List the objects of a kind by name."""
        names = sorted(name for of_kind, name in self.objects if of_kind == kind)
        found = (self.latest(kind, name, as_of) for name in names)
        return [version for version in found if version is not None]

    def put(self, kind: str, name: str, value: bytes, now: float) -> StoredVersion:
        """Write an object."""
        self.revision += 1
        version = StoredVersion(kind, name, self.revision, value, now)
        versions = self.objects.setdefault((kind, name), deque(maxlen=MAX_KEPT_VERSIONS))
        versions.append(version)
        self.changes.append(version)
        if len(self.changes) > self.kept_changes:
            self.forgotten = self.changes.popleft().version
        return version

    def changes_after(self, kind: str, since: int) -> list[StoredVersion] | None:
        """List the changes of a kind after a revision; None when some are no longer kept."""
        if since < self.forgotten:
            return None
        return [change for change in self.changes if change.version > since and change.kind == kind]

    def history(self, kind: str) -> list[dict[str, Any]]:
        """Show every kept change of a kind with the time of its write, for checks of a run."""
        changes = (change for change in self.changes if change.kind == kind)
        return [change.document() | {"written_at": change.written_at} for change in changes]


class VmList:
    """Keep the VM list, in which a change becomes visible after a lag."""

    __slots__ = ("lag_s", "entries")

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        # Per VM: (time of the change, document), oldest first.
        self.entries: dict[str, deque[tuple[float, dict[str, Any]]]] = {}

    def register(self, name: str, document: dict[str, Any], now: float) -> None:
        """Record the state of a VM; state `gone` removes it from the list."""
        entry = {
            "name": name,
            "address": "",
            "data_centre": "",
            "role": "",
            "state": "live",
            "incarnation": 1,
            **document,
        }
        self.entries.setdefault(name, deque(maxlen=MAX_KEPT_VERSIONS)).append((now, entry))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """List the VMs as they were one lag ago."""
        shown = []
        for name in sorted(self.entries):
            past = [entry for at, entry in self.entries[name] if at <= now - self.lag_s]
            if past and past[-1]["state"] != "gone":
                shown.append(past[-1])
        return shown
