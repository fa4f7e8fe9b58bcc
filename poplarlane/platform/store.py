"""HTTP API of the platform's store: request paths and response documents."""

from urllib.parse import quote, urlencode

import msgspec

from poplarlane.platform.key_digests import replace_keys
from poplarlane.store_objects import (
    ObjectChange,
    ObjectPage,
    StoredObject,
    number_of,
    revision_in,
)

OBJECTS_PATH = "/-/objects/"
CONFIGURATION_KIND = "config"
INSTANCES_KIND = "servers"
GONE_STATUS = 410
# Rises by one each time the store comes back from a copy that misses acknowledged writes.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 4


class ObjectMetadata(msgspec.Struct):
    """Name of an object and revision of its last change."""

    name: str
    revision: int = 0


class ObjectDocument(msgspec.Struct):
    """An object; `spec` and `status` have no fixed schema."""

    metadata: ObjectMetadata
    spec: object = None
    status: object = None


class ListDocument(msgspec.Struct):
    """A page of a list; items stay raw, so that an invalid one does not hide the others."""

    current_rev: int
    items: list[msgspec.Raw] = []
    more_pages: bool = False


class EventDocument(msgspec.Struct):
    """A change of one object."""

    object: msgspec.Raw
    deleted: bool = False


class EventsDocument(msgspec.Struct):
    """Response to a watch."""

    current_rev: int
    events: list[EventDocument] = []


LIST_DECODER = msgspec.json.Decoder(ListDocument)
EVENTS_DECODER = msgspec.json.Decoder(EventsDocument)
OBJECT_DECODER = msgspec.json.Decoder(ObjectDocument)


def list_path(kind: str, after: str, allow_stale: bool) -> str:
    """Return the path that lists a kind, starting after the name `after`.

    A list with `allow_stale` may be some seconds old, costs a tenth of a current one and does not
    count against the limit on the rate of calls.
    """
    query = {"after": after} if after else {}
    if allow_stale:
        query["allow_stale"] = "1"
    path = OBJECTS_PATH + quote(kind)
    return f"{path}?{urlencode(query)}" if query else path


def watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Return the path that waits for changes after a revision."""
    return f"{OBJECTS_PATH}{quote(kind)}?watch={number_of(revision)}&wait_ms={wait_ms}"


def era_of(headers: dict[bytes, bytes]) -> int | None:
    """Return which restoration of the store a response comes from; None if it does not say."""
    value = headers.get(ERA_HEADER, b"").strip()
    return int(value) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else None


def decode_page(body: bytes, era: int = 0) -> ObjectPage:
    """Decode a page of a list; raises msgspec.MsgspecError."""
    found = LIST_DECODER.decode(body)
    items = [stored_object(raw, era) for raw in found.items]
    readable = [item for item in items if item is not None]
    revision = revision_in(era, found.current_rev)
    return ObjectPage(readable, len(items) - len(readable), found.more_pages, revision)


def decode_changes(body: bytes, era: int = 0) -> tuple[list[ObjectChange], int]:
    """Decode changes and the revision to continue from; raises msgspec.MsgspecError."""
    found = EVENTS_DECODER.decode(body)
    changes = []
    for event in found.events:
        item = stored_object(event.object, era)
        if item is not None:
            changes.append(ObjectChange(item, event.deleted))
    return changes, revision_in(era, found.current_rev)


def stored_object(raw: msgspec.Raw, era: int = 0) -> StoredObject | None:
    """Decode one object; None when it is invalid."""
    try:
        found = OBJECT_DECODER.decode(raw)
    except msgspec.MsgspecError:
        return None
    revision = revision_in(era, found.metadata.revision)
    return StoredObject(found.metadata.name, revision, replace_keys(found.spec), found.status)
