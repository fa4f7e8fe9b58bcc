"""Which data centres are evacuated, from the objects of the store and its restorations.

A store that comes back from a copy may lack an evacuation that it had accepted, and may hold one
that had ended. The copy is older than what this node knows: neither counts as a decision of an
operator until the object is written or deleted again.
"""

from poplarlane.store_objects import number_of

# A lost evacuation ends after this time: a deletion of an object that the store does not hold any
# more cannot be seen.
KEPT_LOST_S = 60.0
# Copies are some seconds old; what ended longer ago is not in them any more.
KEPT_ENDED_S = 120.0


class Evacuations:
    """The objects held, and what a restoration of the store must not change."""

    __slots__ = ("held", "ended", "ignored", "lost")

    def __init__(self) -> None:
        # Revision of each object, by data centre.
        self.held: dict[str, int] = {}
        # Revision number of evacuations that ended, and when, by data centre.
        self.ended: dict[str, tuple[int, float]] = {}
        # Data centres whose object is one that had ended before the store came back.
        self.ignored: set[str] = set()
        # Data centres whose object the store has lost, and until when they stay evacuated.
        self.lost: dict[str, float] = {}

    def active(self) -> frozenset[str]:
        """Return the evacuated data centres."""
        return frozenset((self.held.keys() - self.ignored) | self.lost.keys())

    def replace(self, found: dict[str, int], is_restored: bool, now: float) -> None:
        """Take a complete list, which may be the first one after a restoration."""
        for name in self.held.keys() - found.keys():
            self.remove(name, is_restored, now)
        for name, revision in found.items():
            self.write(name, revision, is_restored)

    def write(self, name: str, revision: int, is_restored: bool = False) -> None:
        """Take an object that was created or replaced."""
        if self.held.get(name) == revision:
            return
        self.held[name] = revision
        self.lost.pop(name, None)
        ended = self.ended.get(name)
        if is_restored and ended is not None and ended[0] == number_of(revision):
            self.ignored.add(name)
        else:
            self.ignored.discard(name)
            self.ended.pop(name, None)

    def remove(self, name: str, is_restored: bool, now: float) -> None:
        """Take a deletion, or the loss of an object in a restoration."""
        revision = self.held.pop(name, None)
        is_ignored = name in self.ignored
        self.ignored.discard(name)
        if revision is None or is_ignored:
            self.lost.pop(name, None)
        elif is_restored:
            self.lost[name] = now + KEPT_LOST_S
        else:
            self.ended[name] = number_of(revision), now

    def purge(self, now: float) -> bool:
        """Forget what is over; return whether an evacuation has ended by that."""
        for name, (_, at) in list(self.ended.items()):
            if now - at > KEPT_ENDED_S and name not in self.ignored:
                del self.ended[name]
        over = [name for name, until in self.lost.items() if now >= until]
        for name in over:
            del self.lost[name]
        return bool(over)
