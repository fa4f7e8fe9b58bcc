"""Differences between two versions of an object's content, which is decoded JSON of any shape.

A configuration of some thousand routes takes 0.3 MB, and most versions change a few of them. One
node sends each version to every other node of its data centre, over a link of 5 to 10 Mbit/s.
"""

import msgspec

# Field that identifies an entry of a list.
KEY_FIELD = "name"


class ListDelta(msgspec.Struct, array_like=True):
    """The added or changed entries of a list, and the keys of removed ones in `gone`.

    `order` holds all keys where entries have moved or were not added at the end.
    """

    entries: list[dict[str, object]]
    gone: list[str]
    order: list[str] = []


class Delta(msgspec.Struct, array_like=True):
    """The difference between two JSON objects: fields, lists of keyed entries, removed fields."""

    fields: dict[str, object]
    lists: dict[str, ListDelta]
    gone: list[str]


def delta_between(old: object, new: object) -> Delta | None:
    """Return the delta between two JSON objects; None when it does not reproduce the new one."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return None
    delta = Delta({}, {}, [key for key in old if key not in new])
    for key, value in new.items():
        if key in old and old[key] == value:
            continue
        found = list_delta(old.get(key), value)
        if found is None:
            delta.fields[key] = value
        else:
            delta.lists[key] = found
    # Content that a delta cannot express, such as a value of another type, shows in the result.
    return delta if apply_delta(old, delta) == new else None


def list_delta(old: object, new: object) -> ListDelta | None:
    """Return the delta between two lists of keyed entries; None for other values."""
    old_entries, new_entries = index_by_key(old), index_by_key(new)
    if old_entries is None or new_entries is None:
        return None
    entries = [entry for key, entry in new_entries.items() if old_entries.get(key) != entry]
    gone = [key for key in old_entries if key not in new_entries]
    kept = [key for key in old_entries if key in new_entries]
    added = [key for key in new_entries if key not in old_entries]
    order = list(new_entries)
    return ListDelta(entries, gone, order if order != kept + added else [])


def index_by_key(value: object) -> dict[str, dict[str, object]] | None:
    """Index the entries of a list by key; None when a key is missing or occurs twice."""
    if not isinstance(value, list):
        return None
    found: dict[str, dict[str, object]] = {}
    for entry in value:
        key = entry.get(KEY_FIELD) if isinstance(entry, dict) else None
        if not isinstance(key, str) or key in found:
            return None
        found[key] = entry
    return found


def apply_delta(old: object, delta: Delta) -> dict[str, object] | None:
    """Return the newer content; None when the delta does not fit the older content."""
    if not isinstance(old, dict):
        return None
    new = {key: value for key, value in old.items() if key not in delta.gone}
    new.update(delta.fields)
    for key, change in delta.lists.items():
        held = index_by_key(old.get(key))
        changed = index_by_key(change.entries)
        if held is None or changed is None:
            return None
        for gone in change.gone:
            held.pop(gone, None)
        held.update(changed)
        order = change.order or list(held)
        if held.keys() != set(order):
            return None
        new[key] = [held[name] for name in order]
    return new
