"""The tree along which reports go up and digests come down.

Nodes report to the relay of their data centre, relays to the first seed that is alive. The tree
does not depend on the store. Nodes with different views may build several trees for a time.
"""

from poplarlane.decisions.membership import relays
from poplarlane.decisions.membership.relays import Member, RelayState

# Candidates send hellos to the seeds once a second, so one lost message does not end a seed's role.
SEED_TIMEOUT_S = 2.5
# A child that has not reported for this long gets no more digests.
CHILD_TIMEOUT_S = 1.5


def report_recipient(state: RelayState, now: float) -> str | None:
    """Return the name of the node to report to; None at the root."""
    relay = relays.data_centre_relay(state, now)
    if relay != state.me.name:
        return relay
    alive = {
        member.address: member.name
        for member in state.members.values()
        if now - member.heard_at <= SEED_TIMEOUT_S
    }
    for address in state.seeds:
        if address == state.me.address:
            return None
        if address in alive:
            return alive[address]
    return None


def far_relays(state: RelayState, now: float) -> list[str]:
    """Return the names of the probable relays of the other data centres.

    Relays greet the seeds every second, the nodes below them much less often.
    """
    first: dict[str, Member] = {}
    for member in state.members.values():
        is_far = not relays.is_in_data_centre(state, member)
        if is_far and now - member.heard_at <= SEED_TIMEOUT_S:
            held = first.setdefault(member.data_centre, member)
            if member.rank() < held.rank():
                first[member.data_centre] = member
    return [member.name for member in first.values()]


class Child:
    """A node that reports to this one; times are in seconds of the relay's clock."""

    __slots__ = ("heard_at", "nodes")

    def __init__(self, heard_at: float, nodes: int) -> None:
        self.heard_at = heard_at
        # Nodes below the child, including itself.
        self.nodes = nodes


def drop_silent(children: dict[str, Child], now: float) -> list[str]:
    """Remove the children past their timeout and return their names."""
    silent = [name for name, found in children.items() if now - found.heard_at > CHILD_TIMEOUT_S]
    for name in silent:
        del children[name]
    return silent
