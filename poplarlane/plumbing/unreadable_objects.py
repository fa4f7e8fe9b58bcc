"""The objects of a kind that could not be read, for the log, the metrics and the status page."""

from collections.abc import Iterable

from poplarlane.logs import log
from poplarlane.store_objects import UnreadableObject

# Length of names and reasons that are logged and shown.
MAX_TEXT = 200
# Number of objects on a status page; the metric counts all of them.
MAX_SHOWN = 100


class UnreadableObjects:
    """Hold the unreadable objects of a kind; each is logged once until it can be read again."""

    __slots__ = ("kind", "by_name", "era_fault")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.by_name: dict[str, UnreadableObject] = {}
        # Why the era of the store's last response was set aside; empty if it was not.
        self.era_fault = ""

    def replace(self, found: Iterable[UnreadableObject]) -> None:
        """Record the unreadable objects of a complete list."""
        self.update(found, list(self.by_name))

    def update(self, found: Iterable[UnreadableObject], changed: Iterable[str]) -> None:
        """Record the unreadable objects among those that have changed."""
        current = {item.name: item for item in found}
        for name in changed:
            if name not in current:
                self.by_name.pop(name, None)
        for name, item in current.items():
            if name not in self.by_name:
                log(
                    "object_unreadable",
                    "error",
                    kind=self.kind,
                    name=name[:MAX_TEXT],
                    revision=item.revision,
                    reason=item.reason[:MAX_TEXT],
                )
            self.by_name[name] = item

    def log_era_fault(self, fault: str) -> None:
        """Log why the era of a response is set aside, once until it can be read again."""
        if fault and fault != self.era_fault:
            log("store_era_malformed", "error", kind=self.kind, reason=fault)
        self.era_fault = fault

    def document(self) -> list[dict[str, object]]:
        """Describe the objects for the status page."""
        shown = list(self.by_name.values())[:MAX_SHOWN]
        return [
            {
                "kind": self.kind,
                "name": item.name[:MAX_TEXT],
                "revision": item.revision,
                "reason": item.reason[:MAX_TEXT],
            }
            for item in shown
        ]
