"""What a follower of objects needs: the store's API and callbacks."""

from typing import Protocol

from poplarlane.store_objects import ChangeBatch, ObjectChange, ObjectPage, StoredObject


class StoreApi(Protocol):
    """Paths and formats of a store's calls; the decoders raise msgspec.MsgspecError."""

    GONE_STATUS: int

    def era_of(self, headers: dict[bytes, bytes]) -> int | None:
        """Return the era of a response: how often the store has come back from an old copy."""

    def era_fault(self, headers: dict[bytes, bytes]) -> str:
        """Return why a response's era is set aside; empty if it is not."""

    def list_path(self, kind: str, after: str, allow_stale: bool) -> str:
        """Return the path that lists a kind, starting after a name."""

    def watch_path(self, kind: str, revision: int, wait_ms: int) -> str:
        """Return the path that watches for changes after a revision."""

    def decode_page(self, body: bytes, era: int) -> ObjectPage:
        """Decode a page of a list."""

    def decode_changes(self, body: bytes, era: int) -> ChangeBatch:
        """Decode changes and the revision from which to resume."""


class Listener(Protocol):
    """Callbacks of a follower."""

    def listed(self, kind: str, items: list[StoredObject]) -> None:
        """Process a complete list."""

    def changed(self, kind: str, after: int, revision: int, changes: list[ObjectChange]) -> None:
        """Process all changes after one revision, up to and including another."""

    def relisted(self, kind: str, after: int, revision: int, changes: list[ObjectChange]) -> None:
        """Process the changes that a new list shows since a revision; `listed` follows."""

    def store_call_finished(self, kind: str, succeeded: bool) -> None:
        """Process the success or failure of a call."""

    def confirmed(self, kind: str) -> None:
        """Process the confirmation that the objects of a kind are up to date."""
