"""Differences between two versions of an object's content, which is decoded JSON of any shape.

A configuration of some thousand routes takes 0.3 MB, and most versions change a few of them. One
node sends each version to every other node of its data centre, over a link of 5 to 10 Mbit/s.
"""

import msgspec

# Entries of a list are told apart by this field.
KEY_FIELD = "name"


class ListDelta(msgspec.Struct, array_like=True):
    """Hold the entries of a list that differ, and the keys of those that are gone."""

    entries: list[dict[str, object]]
    gone: list[str]


class Delta(msgspec.Struct, array_like=True):
    """Hold what differs between two tables: fields, lists of keyed entries, and fields gone."""

    fields: dict[str, object]
    lists: dict[str, ListDelta]
    gone: list[str]


def delta_between(old: object, new: object) -> Delta | None:
    """Give the difference between two tables; None when it would not give back the new one."""
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
    # The order of entries that moved is not kept.
    return delta if apply_delta(old, delta) == new else None


def list_delta(old: object, new: object) -> ListDelta | None:
    """Give the difference between two lists of keyed entries; None for other values."""
    held, wanted = index_by_key(old), index_by_key(new)
    if held is None or wanted is None:
        return None
    entries = [entry for key, entry in wanted.items() if held.get(key) != entry]
    return ListDelta(entries, [key for key in held if key not in wanted])


def index_by_key(value: object) -> dict[str, dict[str, object]] | None:
    """Give the entries of a list by their key; None when some have none or share one."""
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
    """Give the newer content; None when the delta does not fit the older one."""
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
        new[key] = list(held.values())
    return new
