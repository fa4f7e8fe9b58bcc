"""Reload of the settings file, when it changes or on a signal."""

import asyncio
import os
from collections.abc import Callable

import msgspec

from poplarlane.logs import log
from poplarlane.settings import NodeSettings, SettingsError, load

CHECK_INTERVAL_S = 2.0


class SettingsWatch:
    """Apply changes of the settings file; `apply` returns the names of the keys it can apply."""

    __slots__ = ("path", "settings", "apply", "modified_at", "loop")

    def __init__(
        self,
        path: str,
        settings: NodeSettings,
        apply: Callable[[NodeSettings], frozenset[str]],
    ) -> None:
        self.path = path
        self.settings = settings
        self.apply = apply
        self.modified_at = self.modified()
        self.loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Schedule the next check of the file."""
        self.loop.call_later(CHECK_INTERVAL_S, self.check)

    def modified(self) -> int:
        """Return the modification time of the file in nanoseconds; 0 if it is missing."""
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            return 0

    def check(self) -> None:
        """Reload the file if it has changed."""
        self.start()
        if self.modified() != self.modified_at:
            self.reload()

    def reload(self) -> None:
        """Apply the file, or reject it and keep the settings in force."""
        self.modified_at = self.modified()
        found = load(self.path, NodeSettings)
        if isinstance(found, SettingsError):
            log("settings_refused", "error", reason=found.text)
            return
        changed = {
            field.name
            for field in msgspec.structs.fields(found)
            if getattr(found, field.name) != getattr(self.settings, field.name)
        }
        taken = self.apply(found) & changed
        self.settings = found
        fields = {"taken": ",".join(sorted(taken)), "at_restart": ",".join(sorted(changed - taken))}
        log("settings_reloaded", **fields)
