"""Deterministic subsetting: an even split of a service's targets over entries and data centres.

The targets form a ring with interleaved data centres. The entries' starting points are spread
evenly over it, and each entry uses the next `size` targets. Each target is therefore used by
`entries * size / targets` entries, give or take one, and an entry that is added or removed moves
the starting points of the others by at most one position.
"""

from collections import defaultdict

import xxhash

from poplarlane.types import TargetLoad


class TargetGroup:
    """The usable targets that one selector allows, and the subset of them that this entry uses.

    `overlap` is the largest number of groups that any of its targets belongs to.
    `entries_per_target` is the largest number of entries that use one of its targets, 0 before the
    subset is chosen.
    """

    __slots__ = ("ring", "overlap", "subset", "entries_per_target")

    def __init__(self, ring: list[TargetLoad]) -> None:
        self.ring = ring
        self.overlap = 1
        self.subset: list[TargetLoad] = []
        self.entries_per_target = 0


def choose_subset(ring: list[TargetLoad], size: int, rank: int, entries: int) -> list[TargetLoad]:
    """Choose `size` consecutive targets of the ring for the entry of this rank among live entries.

    A size of 0 means all.
    """
    count = len(ring)
    if size <= 0 or size >= count:
        return ring
    entries = max(1, entries)
    start = rank % entries * count // entries
    return [ring[(start + step) % count] for step in range(size)]


def max_entries_per_target(count: int, size: int, entries: int) -> int:
    """Return the largest number of entries that use any one of `count` targets."""
    if size <= 0 or size >= count:
        return entries
    return -(-entries * size // count)


def interleave(loads: list[TargetLoad]) -> list[TargetLoad]:
    """Order targets so that any consecutive ones contain each data centre in proportion."""
    by_data_centre: dict[str, list[TargetLoad]] = defaultdict(list)
    for load in sorted(loads, key=hash_order):
        by_data_centre[load.target.data_centre].append(load)
    positioned = []
    for name, members in sorted(by_data_centre.items()):
        for index, load in enumerate(members):
            positioned.append(((index + 0.5) / len(members), name, index, load))
    positioned.sort(key=lambda item: item[:3])
    return [item[3] for item in positioned]


def hash_order(load: TargetLoad) -> tuple[int, str]:
    """Return the sort key within the target's data centre, which is the same in every entry."""
    return xxhash.xxh64_intdigest(load.target.name.encode()), load.target.name
