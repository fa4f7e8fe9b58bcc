"""Objects and changes read from a store, with their content as schemaless decoded JSON.

A store that comes back from an old copy gives out revisions again. Revisions inside the program
therefore carry the era, the number of such restorations, in their upper bits: any revision of a
later era is newer than any of an earlier one.
"""

ERA_SHIFT = 48


def revision_in(era: int, number: int) -> int:
    """Return the revision that a store gave out as `number` in an era."""
    return (era << ERA_SHIFT) | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> ERA_SHIFT


def number_of(revision: int) -> int:
    """Return a revision as the store of its era counts it."""
    return revision & ((1 << ERA_SHIFT) - 1)


class StoredObject:
    """An object; `spec` and `status` are decoded JSON of any shape."""

    __slots__ = ("name", "revision", "spec", "status")

    def __init__(self, name: str, revision: int, spec: object, status: object) -> None:
        self.name = name
        self.revision = revision
        self.spec = spec
        self.status = status


class ObjectPage:
    """A page of a list; `unreadable` counts items that could not be decoded and were left out."""

    __slots__ = ("items", "unreadable", "has_more", "revision")

    def __init__(
        self, items: list[StoredObject], unreadable: int, has_more: bool, revision: int
    ) -> None:
        self.items = items
        self.unreadable = unreadable
        self.has_more = has_more
        self.revision = revision


class ObjectChange:
    """A change of an object; `previous` is the object before the change, if known."""

    __slots__ = ("item", "deleted", "previous")

    def __init__(self, item: StoredObject, deleted: bool) -> None:
        self.item = item
        self.deleted = deleted
        self.previous: StoredObject | None = None
