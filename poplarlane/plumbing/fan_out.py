"""Sending of messages to all nodes of a data centre, in groups where there are many."""

from collections.abc import Callable, Iterable

import msgspec

from poplarlane import relay_messages
from poplarlane.decisions.fleet.forwarding import TURNS, forwarding_groups
from poplarlane.decisions.membership.relays import RELAY_TIMEOUT_S, RelayState
from poplarlane.relay_messages import FleetDigest, MemberInfo, Update

GroupedMessage = FleetDigest | Update


class FanOut:
    """Send grouped messages, and pass on those of others; `send_payload` takes a name."""

    __slots__ = ("state", "send_payload", "record_member", "groups")

    def __init__(
        self,
        state: RelayState,
        send_payload: Callable[[str, bytes], None],
        record_member: Callable[[MemberInfo, float], None],
    ) -> None:
        self.state = state
        self.send_payload = send_payload
        self.record_member = record_member
        # By turn: the forwarders and other nodes of the last message, and their groups.
        self.groups: dict[int, tuple[tuple, dict[str, list[str]]]] = {}

    def send(self, message: GroupedMessage, names: Iterable[str], number: int, now: float) -> None:
        """Send a message to some nodes of this data centre; its number decides the groups."""
        payload = b""
        for name, below in self.groups_of(names, number % TURNS, now).items():
            if below:
                found = [self.member_info(other, now) for other in below]
                self.send_payload(name, relay_messages.encode(with_below(message, found)))
                continue
            payload = payload or relay_messages.encode(message)
            self.send_payload(name, payload)

    def groups_of(self, names: Iterable[str], turn: int, now: float) -> dict[str, list[str]]:
        """Return the groups of some nodes; they are kept until the nodes change.

        Only a node that was heard from recently forwards to others.
        """
        heard_after = now - RELAY_TIMEOUT_S
        forwarders, others = [], []
        for name in names:
            member = self.state.members.get(name)
            may_forward = member is not None and member.heard_at >= heard_after
            (forwarders if may_forward else others).append(name)
        nodes = tuple(forwarders), tuple(others)
        held, groups = self.groups.get(turn, ((), {}))
        if held != nodes:
            groups = forwarding_groups(forwarders, others, turn)
            self.groups[turn] = nodes, groups
        return groups

    def member_info(self, name: str, now: float) -> MemberInfo:
        """Describe a node for a forwarder, which may not know it yet."""
        member = self.state.members[name]
        return MemberInfo(name, member.address, member.data_centre, now - member.heard_at)

    def pass_on(self, message: GroupedMessage, now: float) -> None:
        """Pass a received message on to the nodes that its sender left to this one."""
        if not message.below:
            return
        payload = relay_messages.encode(with_below(message, []))
        for found in message.below:
            if found.name not in self.state.members:
                self.record_member(found, now)
            self.send_payload(found.name, payload)


def with_below(message: GroupedMessage, below: list[MemberInfo]) -> GroupedMessage:
    """Return a message that its receiver passes on to some nodes."""
    return msgspec.structs.replace(message, below=below)
