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


class UnreadableObject:
    """An object that cannot be decoded; the name is empty if it cannot be read either."""

    __slots__ = ("name", "revision", "reason")

    def __init__(self, name: str, revision: int, reason: str) -> None:
        self.name = name
        self.revision = revision
        self.reason = reason


class ObjectPage:
    """A page of a list; `unreadable` items are not among `items`.

    `last_name` is the name of the last item, unreadable or not; the next page starts after it.
    """

    __slots__ = ("items", "unreadable", "has_more", "last_name", "revision")

    def __init__(
        self,
        items: list[StoredObject],
        unreadable: list[UnreadableObject],
        has_more: bool,
        last_name: str,
        revision: int,
    ) -> None:
        self.items = items
        self.unreadable = unreadable
        self.has_more = has_more
        self.last_name = last_name
        self.revision = revision


class ObjectChange:
    """A change of an object; `previous` is the object before the change, if known."""

    __slots__ = ("item", "deleted", "previous")

    def __init__(self, item: StoredObject, deleted: bool) -> None:
        self.item = item
        self.deleted = deleted
        self.previous: StoredObject | None = None


class ChangeBatch:
    """The changes of a watch, as of a revision.

    An object that became unreadable is in `unreadable`, and deleted in `changes`.
    """

    __slots__ = ("changes", "unreadable", "revision")

    def __init__(
        self, changes: list[ObjectChange], unreadable: list[UnreadableObject], revision: int
    ) -> None:
        self.changes = changes
        self.unreadable = unreadable
        self.revision = revision
