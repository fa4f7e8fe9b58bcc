"""Encoding of object changes for messages between nodes, as deltas where possible."""

import msgspec

from poplarlane.decisions.configuration.object_deltas import Delta, apply_delta, delta_between
from poplarlane.relay_messages import EncodedChange
from poplarlane.store_objects import ObjectChange, StoredObject


def encode_object(item: StoredObject, deleted: bool) -> EncodedChange:
    return EncodedChange(item.name, item.revision, item.spec, item.status, deleted)


def encode_changes(changes: list[ObjectChange]) -> list[EncodedChange]:
    """Encode the last change of each object, against the state before its first change."""
    first: dict[str, ObjectChange] = {}
    last: dict[str, ObjectChange] = {}
    for change in changes:
        first.setdefault(change.item.name, change)
        last[change.item.name] = change
    return [encode_change(last[name], first[name].previous) for name in last]


def encode_change(change: ObjectChange, previous: StoredObject | None) -> EncodedChange:
    """Encode a change as a delta against the previous object, or whole if there is no delta."""
    item = change.item
    delta = None
    if previous is not None and not change.deleted:
        delta = delta_between(previous.spec, item.spec)
    if delta is None:
        return encode_object(item, change.deleted)
    return EncodedChange(item.name, item.revision, delta, item.status, False, previous.revision)


def resolve_changes(
    encoded_changes: list[EncodedChange], held: dict[str, StoredObject]
) -> list[ObjectChange] | None:
    """Decode changes; None when the base of a delta is not held or the delta does not apply."""
    changes = []
    for encoded in encoded_changes:
        spec = encoded.spec
        if encoded.base:
            before = held.get(encoded.name)
            if before is None or before.revision != encoded.base:
                return None
            spec = apply_delta(before.spec, msgspec.convert(encoded.spec, Delta))
            if spec is None:
                return None
        item = StoredObject(encoded.name, encoded.revision, spec, encoded.status)
        changes.append(ObjectChange(item, encoded.deleted))
    return changes


def changes_between(
    before: dict[str, StoredObject], after: dict[str, StoredObject]
) -> list[ObjectChange]:
    """Return the changes that lead from one state of a kind to another."""
    changes = []
    for name, item in after.items():
        held = before.get(name)
        if held is None or held.revision != item.revision:
            change = ObjectChange(item, False)
            change.previous = held
            changes.append(change)
    gone = [item for name, item in before.items() if name not in after]
    return changes + [ObjectChange(item, True) for item in gone]


def decode_objects(encoded_changes: list[EncodedChange]) -> list[StoredObject]:
    return [
        StoredObject(encoded.name, encoded.revision, encoded.spec, encoded.status)
        for encoded in encoded_changes
    ]
