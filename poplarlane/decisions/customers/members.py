"""Which nodes' use the counts contain, and the use of nodes that fell silent.

A node that is cut off goes on admitting requests. It is charged with at least its part of the
quota, because that is what it may admit.
"""

import math

import xxhash

from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.customers.quota_messages import LostMembers

ID_BYTES = 4
# A node that is cut off longer than this has left the lists of members everywhere.
CHARGED_S = 35.0
# A node that reaches fewer of the nodes is taken to be in the part that was cut off: the others may
# follow a store that it does not reach. Its root goes on charging them: they have one of their own.
MIN_REACHED_SHARE = 0.5


def member_id(name: str) -> bytes:
    """Return the id of a node."""
    return xxhash.xxh32_digest(name.encode())


def ids_of(members: bytes) -> set[bytes]:
    """Split ids."""
    return {members[at : at + ID_BYTES] for at in range(0, len(members), ID_BYTES)}


class Lost:
    """Nodes that fell silent; `until` is infinite for those that are charged until they return."""

    __slots__ = ("ids", "use_per_s", "at", "until")

    def __init__(
        self, ids: set[bytes], use_per_s: dict[str, float], at: float, until: float
    ) -> None:
        self.ids = ids
        self.use_per_s = use_per_s
        # When this node recorded it.
        self.at = at
        self.until = until


class LostTable:
    """All nodes that fell silent, by their ids."""

    __slots__ = ("found",)

    def __init__(self) -> None:
        self.found: dict[bytes, Lost] = {}

    def add(
        self, members: bytes, use_per_s: dict[str, float], now: float, until: float
    ) -> Lost | None:
        """Record nodes; return the record, or None if the same nodes are recorded already."""
        if not members or members in self.found:
            return None
        lost = self.found[members] = Lost(ids_of(members), use_per_s, now, until)
        return lost

    def drop_returned(self, present: set[bytes], now: float, min_age_s: float = 0.0) -> None:
        """Drop the records of nodes that are back or need no longer be charged.

        Records younger than `min_age_s` are kept, because `present` may be older.
        """
        for members, lost in list(self.found.items()):
            is_back = lost.ids <= present and now - lost.at >= min_age_s
            if is_back or now >= lost.until:
                del self.found[members]

    def drop_endless(self) -> None:
        """Drop the records of a root that has joined another one."""
        for members, lost in list(self.found.items()):
            if lost.until == math.inf:
                del self.found[members]

    def charged_per_s(self, customer: Customer, present: set[bytes], nodes: int) -> float:
        """Return the rate that the silent nodes may be using of a customer's quota."""
        charged = 0.0
        counted: set[bytes] = set()
        for lost in self.found.values():
            missing = lost.ids - present - counted
            counted |= missing
            share = len(missing) / len(lost.ids)
            use_per_s = lost.use_per_s.get(customer.name, 0.0) * share
            charged += max(use_per_s, customer.rate_per_s * len(missing) / max(1, nodes))
        return charged

    def missing(self, present: set[bytes]) -> int:
        """Return the number of nodes that are silent."""
        ids = set().union(*(lost.ids for lost in self.found.values()))
        return len(ids - present)

    def messages(self, now: float) -> list[LostMembers]:
        """Return the records as they are sent."""
        return [
            LostMembers(members, lost.use_per_s, min(CHARGED_S, lost.until - now))
            for members, lost in self.found.items()
        ]

    def adopt(self, messages: list[LostMembers], present: set[bytes], now: float) -> list[Lost]:
        """Take the records of another node that are not out of date; return the new ones."""
        added = [
            self.add(message.members, message.use_per_s, now, now + message.left_s)
            for message in messages
            if not ids_of(message.members) <= present
        ]
        return [lost for lost in added if lost is not None]
