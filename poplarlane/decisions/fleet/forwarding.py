"""Groups in which a digest is passed on within a data centre, so that no node sends it to all.

A relay that sends to each node itself needs a link that grows with the data centre; with groups of
about the square root of the nodes, the relay and each forwarder send about as many messages.
"""

import math
from collections.abc import Iterable, Sequence

import xxhash

# Below this number of nodes the relay sends to each one itself, which takes one hop less.
MIN_GROUPED_NODES = 12
# Digests take different groups by turns, so that the nodes below a forwarder that has failed miss
# every other digest at most.
TURNS = 2


def forwarding_groups(
    forwarders: Sequence[str], others: Iterable[str], turn: int
) -> dict[str, list[str]]:
    """Map the nodes to send to, to the nodes that each of them passes the message on to.

    Groups follow from rendezvous hashing: when a node comes or goes, few others change places, and
    few connections have to be opened.
    """
    others = list(others)
    nodes = len(forwarders) + len(others)
    if nodes < MIN_GROUPED_NODES or not forwarders:
        return {name: [] for name in (*forwarders, *others)}
    order = sorted(forwarders, key=lambda name: weight(turn, name, ""))
    count = math.ceil(math.sqrt(nodes))
    groups: dict[str, list[str]] = {name: [] for name in order[:count]}
    for name in (*order[count:], *others):
        groups[max(groups, key=lambda found: weight(turn, found, name))].append(name)
    return groups


def weight(turn: int, forwarder: str, name: str) -> int:
    """Return the weight of a forwarder for a node in a turn."""
    return xxhash.xxh32_intdigest(f"{turn}/{forwarder}/{name}".encode())
