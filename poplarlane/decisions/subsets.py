"""Give each entry a part of a service's targets, evenly over entries, targets and data centres.

The targets are placed on a circle, data centres in turn. The entries' starting points are spread
evenly over it, and each entry uses the next `size` targets. Each target is therefore used by
`entries * size / targets` entries, one more or one less, and an entry that comes or goes moves
the starting points of the others by at most one place.
"""

from collections import defaultdict

import xxhash

from poplarlane.types import TargetLoad


class TargetGroup:
    """Hold the usable targets that one selector allows, and which of them this entry uses.

    `overlap` is the most groups that any of its targets belongs to; `users` are the entries that
    use one of its targets at the most, 0 before the group was divided.
    """

    __slots__ = ("ring", "overlap", "subset", "entries_per_target")

    def __init__(self, ring: list[TargetLoad]) -> None:
        self.ring = ring
        self.overlap = 1
        self.subset: list[TargetLoad] = []
        self.entries_per_target = 0


def choose_subset(ring: list[TargetLoad], size: int, rank: int, entries: int) -> list[TargetLoad]:
    """Choose `size` interleaved targets for the entry with this rank among the live entries.

    A size of 0 means all.
    """
    count = len(ring)
    if size <= 0 or size >= count:
        return ring
    entries = max(1, entries)
    start = rank % entries * count // entries
    return [ring[(start + step) % count] for step in range(size)]


def max_entries_per_target(count: int, size: int, entries: int) -> int:
    """Give how many entries use one of `count` targets at the most."""
    if size <= 0 or size >= count:
        return entries
    return -(-entries * size // count)


def interleave(loads: list[TargetLoad]) -> list[TargetLoad]:
    """Order targets so that every stretch holds each data centre in proportion to its size."""
    by_data_centre: dict[str, list[TargetLoad]] = defaultdict(list)
    for load in sorted(loads, key=hash_order):
        by_data_centre[load.target.data_centre].append(load)
    placed = []
    for name, members in sorted(by_data_centre.items()):
        for number, load in enumerate(members):
            placed.append(((number + 0.5) / len(members), name, number, load))
    placed.sort(key=lambda item: item[:3])
    return [item[3] for item in placed]


def hash_order(load: TargetLoad) -> tuple[int, str]:
    """Give the target's place among those of its data centre, the same in every entry."""
    return xxhash.xxh64_intdigest(load.target.name.encode()), load.target.name
