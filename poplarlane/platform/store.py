"""HTTP API of the platform's store: request paths and response documents."""

from typing import Annotated, Any
from urllib.parse import quote, urlencode

import msgspec

from poplarlane.error_text import error_text
from poplarlane.json_slices import array_items, object_members, text_of
from poplarlane.number_grammar import whole_number
from poplarlane.platform.key_digests import replace_keys
from poplarlane.store_objects import (
    ERA_SHIFT,
    ChangeBatch,
    ObjectChange,
    ObjectPage,
    StoredObject,
    UnreadableObject,
    number_of,
    revision_in,
)

OBJECTS_PATH = "/-/objects/"
CONFIGURATION_KIND = "config"
INSTANCES_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
GONE_STATUS = 410
# Rises by one each time the store comes back from a copy that misses acknowledged writes.
ERA_HEADER = b"store-era"
MAX_ERA = 9_999
# Larger revisions would change the era that the upper bits hold.
Revision = Annotated[int, msgspec.Meta(ge=0, lt=1 << ERA_SHIFT)]
# Objects are compared, encoded and decoded by recursive functions, at different stack depths.
MAX_NESTING = 100
# Levels of nesting that are checked on the raw text, which is faster than on the decoded content.
SHALLOW_NESTING = 12
NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
# As in messages between nodes, which hold integers of 64 bits.
MESSAGE_ENCODER = msgspec.msgpack.Encoder()


class ObjectMetadata(msgspec.Struct):
    """Name of an object and revision of its last change."""

    name: str
    revision: Revision = 0


class ObjectDocument(msgspec.Struct):
    """An object; `spec` and `status` have no fixed schema."""

    metadata: ObjectMetadata
    spec: object = None
    status: object = None


class ListDocument(msgspec.Struct):
    """A page of a list; items stay raw, so that an invalid one does not hide the others."""

    current_rev: Revision
    items: list[msgspec.Raw] = []
    more_pages: bool = False


class EventDocument(msgspec.Struct):
    """A change of one object."""

    object: msgspec.Raw
    deleted: bool = False


class EventsDocument(msgspec.Struct):
    """Response to a watch; events stay raw for the same reason as items of a list."""

    current_rev: Revision
    events: list[msgspec.Raw] = []


LIST_DECODER = msgspec.json.Decoder(ListDocument)
EVENTS_DECODER = msgspec.json.Decoder(EventsDocument)
EVENT_DECODER = msgspec.json.Decoder(EventDocument)
OBJECT_DECODER = msgspec.json.Decoder(ObjectDocument)
REVISION_DECODER = msgspec.json.Decoder(Revision)
# Errors of the decoders; a value that is nested too deeply raises RecursionError.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)


def list_path(kind: str, after: str, allow_stale: bool) -> str:
    """Return the path that lists a kind, starting after the name `after`.

    A list with `allow_stale` may be some seconds old, costs a tenth of a current one and does not
    count against the limit on the rate of calls.
    """
    query: dict[str, str | bytes] = {"after": name_bytes(after)} if after else {}
    if allow_stale:
        query["allow_stale"] = "1"
    path = OBJECTS_PATH + quote(kind)
    return f"{path}?{urlencode(query)}" if query else path


def name_bytes(name: str) -> bytes:
    """Return the bytes of a name, which need not be UTF-8 (PEP 383)."""
    try:
        return name.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        # A surrogate that stands for no byte, such as half of a character outside the BMP.
        return name.encode("utf-8", "surrogatepass")


def object_path(kind: str, name: str = "") -> str:
    """Return the path of one object, or the one to create objects at; names hold any character."""
    path = OBJECTS_PATH + quote(kind)
    return f"{path}/{quote(name_bytes(name), safe='')}" if name else path


def encode_object(name: str, spec: object) -> bytes:
    """Encode an object for a write."""
    return msgspec.json.encode({"metadata": {"name": name}, "spec": spec})


def watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Return the path that waits for changes after a revision."""
    return f"{OBJECTS_PATH}{quote(kind)}?watch={number_of(revision)}&wait_ms={wait_ms}"


def era_of(headers: dict[bytes, bytes]) -> int | None:
    """Return which restoration of the store a response comes from; None if it does not say."""
    era = whole_number(headers.get(ERA_HEADER, b""), MAX_ERA)
    return era if isinstance(era, int) else None


def era_fault(headers: dict[bytes, bytes]) -> str:
    """Return why a response's era is set aside; empty if it is not."""
    era = whole_number(headers.get(ERA_HEADER, b"0"), MAX_ERA)
    return era if isinstance(era, str) else ""


def decode_page(body: bytes, era: int = 0) -> ObjectPage:
    """Decode a page of a list; raises msgspec.MsgspecError."""
    found = decode_document(body, LIST_DECODER)
    items, unreadable = [], []
    last_name = ""
    for item in within_limits(body, [stored_object(raw, era) for raw in found.items]):
        last_name = item.name or last_name
        if isinstance(item, StoredObject):
            items.append(item)
        else:
            unreadable.append(item)
    revision = revision_in(era, found.current_rev)
    return ObjectPage(items, unreadable, found.more_pages, last_name, revision)


def decode_changes(body: bytes, era: int = 0) -> ChangeBatch:
    """Decode changes and the revision to continue from; raises msgspec.MsgspecError."""
    found = decode_document(body, EVENTS_DECODER)
    changes = []
    unreadable: dict[str, UnreadableObject] = {}
    events = [stored_event(raw, era) for raw in found.events]
    checked = within_limits(body, [item for item, _ in events])
    for item, (_, deleted) in zip(checked, events, strict=True):
        if isinstance(item, StoredObject):
            unreadable.pop(item.name, None)
            changes.append(ObjectChange(item, deleted))
            continue
        if deleted and is_utf8(item.name):
            # Only the name of an object that is gone has to be readable.
            unreadable.pop(item.name, None)
        else:
            unreadable[item.name] = item
        if is_utf8(item.name):
            # What the object was before is not valid any more.
            gone = StoredObject(item.name, item.revision, None, None)
            changes.append(ObjectChange(gone, True))
    revision = revision_in(era, found.current_rev)
    return ChangeBatch(changes, list(unreadable.values()), revision)


def decode_document(body: bytes, decoder: msgspec.json.Decoder) -> Any:
    """Decode a response whose items stay raw; raises msgspec.MsgspecError.

    The decoder checks strings and nesting inside raw items as well. If it refuses the response, the
    items are separated without looking into them.
    """
    try:
        return decoder.decode(body)
    except DECODING_ERRORS:
        members = object_members(body)
    revision = REVISION_DECODER.decode(members.get("current_rev", b""))
    if decoder is EVENTS_DECODER:
        return EventsDocument(revision, raw_items(members.get("events")))
    more_pages = msgspec.json.decode(members.get("more_pages", b"false"), type=bool)
    return ListDocument(revision, raw_items(members.get("items")), more_pages)


def raw_items(text: bytes | None) -> list[msgspec.Raw]:
    """Return the raw items of an array; none if the array is missing."""
    return [] if text is None else [msgspec.Raw(item) for item in array_items(text)]


def stored_event(raw: msgspec.Raw, era: int) -> tuple[StoredObject | UnreadableObject, bool]:
    """Decode a change; return its object and whether the change deletes it."""
    try:
        event = EVENT_DECODER.decode(raw)
    except DECODING_ERRORS as error:
        reason = error_text(error)
        try:
            members = object_members(bytes(raw))
            text = members["object"]
            deleted = msgspec.json.decode(members.get("deleted", b"false"), type=bool)
        except (*DECODING_ERRORS, KeyError):
            return UnreadableObject("", 0, reason), False
        event = EventDocument(msgspec.Raw(text), deleted)
    return stored_object(event.object, era), event.deleted


def stored_object(raw: msgspec.Raw, era: int = 0) -> StoredObject | UnreadableObject:
    """Decode one object."""
    try:
        found = OBJECT_DECODER.decode(raw)
    except DECODING_ERRORS as error:
        name, revision = identity_of(bytes(raw))
        return UnreadableObject(name, revision_in(era, revision), error_text(error))
    name, revision = found.metadata.name, revision_in(era, found.metadata.revision)
    if not name:
        return UnreadableObject(name, revision, "empty name")
    return StoredObject(name, revision, replace_keys(found.spec), found.status)


def within_limits(
    body: bytes, items: list[StoredObject | UnreadableObject]
) -> list[StoredObject | UnreadableObject]:
    """Replace the objects of a response that cannot be passed to other nodes."""
    contents = [(item.spec, item.status) for item in items if isinstance(item, StoredObject)]
    if is_shallow(body) and is_encodable(contents):
        return items
    return [limited(item) if isinstance(item, StoredObject) else item for item in items]


def limited(item: StoredObject) -> StoredObject | UnreadableObject:
    """Return an object, as unreadable if it cannot be passed to other nodes."""
    content = [item.spec, item.status]
    if is_too_deep(content):
        reason = f"nested deeper than {MAX_NESTING} levels"
    elif not is_encodable(content):
        reason = "integer beyond 64 bits"
    else:
        return item
    return UnreadableObject(item.name, item.revision, reason)


def is_encodable(contents: list[Any]) -> bool:
    """Return whether contents can be encoded in a message."""
    try:
        MESSAGE_ENCODER.encode(contents)
    except (OverflowError, RecursionError):
        return False
    return True


def is_shallow(body: bytes) -> bool:
    """Return whether no object of a response can be nested too deeply."""
    brackets = body.translate(None, NOT_BRACKETS)
    for _ in range(SHALLOW_NESTING):
        brackets = brackets.replace(b"{}", b"").replace(b"[]", b"")
    return not brackets


def is_too_deep(level: list[object]) -> bool:
    """Return whether values are nested deeper than MAX_NESTING levels."""
    for _ in range(MAX_NESTING):
        inner: list[object] = []
        for value in level:
            if type(value) is dict:
                inner += value.values()
            elif type(value) is list:
                inner += value
        if not inner:
            return False
        level = inner
    return True


def identity_of(raw: bytes) -> tuple[str, int]:
    """Return name and revision of an unreadable object, as far as they can be read."""
    name, revision = "", 0
    try:
        metadata = object_members(object_members(raw)["metadata"])
        name = text_of(metadata["name"])
        revision = REVISION_DECODER.decode(metadata.get("revision", b"0"))
    except (*DECODING_ERRORS, KeyError):
        return name, revision
    return name, revision


def is_utf8(name: str) -> bool:
    """Return whether a name is not empty and can be encoded, as the names of objects in use."""
    try:
        return bool(name.encode())
    except UnicodeEncodeError:
        return False
