"""Sending of messages to all nodes of a data centre, in groups where there are many."""

from collections.abc import Callable, Iterable

import msgspec

from poplarlane import relay_messages
from poplarlane.decisions.fleet.forwarding import TURNS, forwarding_groups
from poplarlane.decisions.membership.relays import RELAY_TIMEOUT_S, RelayState
from poplarlane.relay_messages import FleetDigest, Update

GroupedMessage = FleetDigest | Update


class FanOut:
    """Send grouped messages, and pass on those of others; `send` takes a name and a payload."""

    __slots__ = ("state", "send_payload", "groups")

    def __init__(self, state: RelayState, send_payload: Callable[[str, bytes], None]) -> None:
        self.state = state
        self.send_payload = send_payload
        # By turn: the forwarders and other nodes of the last message, and their groups.
        self.groups: dict[int, tuple[tuple, dict[str, list[str]]]] = {}

    def send(self, message: GroupedMessage, names: Iterable[str], number: int, now: float) -> None:
        """Send a message to some nodes of this data centre; its number decides the groups."""
        payload = b""
        for name, below in self.groups_of(names, number % TURNS, now).items():
            if below:
                self.send_payload(name, relay_messages.encode(with_below(message, below)))
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

    def pass_on(self, message: GroupedMessage) -> None:
        """Pass a received message on to the nodes that its sender left to this one."""
        if message.below:
            payload = relay_messages.encode(with_below(message, []))
            for name in message.below:
                self.send_payload(name, payload)


def with_below(message: GroupedMessage, below: list[str]) -> GroupedMessage:
    """Return a message that its receiver passes on to some nodes."""
    return msgspec.structs.replace(message, below=below)
