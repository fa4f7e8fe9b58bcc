"""Exchange of reports and digests between the nodes of the fleet."""

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from poplarlane import relay_messages
from poplarlane.decisions.fleet import tree
from poplarlane.decisions.fleet.sections import DIGEST_TIMEOUT_S, FleetState
from poplarlane.decisions.fleet.tree import Child
from poplarlane.decisions.membership import relays
from poplarlane.logs import log
from poplarlane.relay_messages import FleetDigest, FleetReport

if TYPE_CHECKING:
    from poplarlane.plumbing.relay import Relay

REPORT_INTERVAL_S = 0.25
# Least time between two messages that a section asked to send at once.
URGENT_INTERVAL_S = 0.02
MAX_SECTION_BYTES = 16_384
# After a suspension the buffers of the sockets hold messages of the past, without their age. All
# messages are dropped for this long; sections tolerate lost ones, and new ones follow.
STALE_PERIOD_S = 0.2

DigestHandler = Callable[[FleetDigest], None]


class FleetExchange:
    """Send this node's reports and digests, and take in those of other nodes.

    `now` is the entry's clock, on which the sections count; the relay has another one.
    """

    __slots__ = (
        "relay",
        "fleet",
        "now",
        "adopt",
        "call_later",
        "children",
        "recipient",
        "due_at",
        "sent_at",
        "sequence",
        "timer",
        "digest_root",
        "digest_sequence",
        "active_at",
        "stale_until",
    )

    def __init__(
        self,
        relay: "Relay",
        fleet: FleetState,
        now: Callable[[], float],
        adopt: DigestHandler,
        call_later: Callable[[float, Callable[[], None]], asyncio.TimerHandle | None],
    ) -> None:
        self.relay = relay
        self.fleet = fleet
        self.now = now
        self.adopt = adopt
        self.call_later = call_later
        self.children: dict[str, Child] = {}
        self.recipient: str | None = None
        self.due_at = 0.0
        self.sent_at = 0.0
        self.sequence = 0
        self.timer: asyncio.TimerHandle | None = None
        # Root and number of the newest digest that was adopted.
        self.digest_root = ""
        self.digest_sequence = 0
        # When this node last took a step or a message, and until when messages may be out of date.
        self.active_at = math.inf
        self.stale_until = 0.0

    def note_activity(self, now: float) -> None:
        """Record that this node runs, and whether it was suspended before."""
        if now - self.active_at > DIGEST_TIMEOUT_S:
            self.stale_until = now + STALE_PERIOD_S
        self.active_at = now

    def is_stale(self, now: float) -> bool:
        """Return whether a message that is read now may have waited during a suspension."""
        self.note_activity(now)
        return now < self.stale_until

    def step(self, now: float) -> None:
        """Drop silent children and send what is due."""
        self.note_activity(now)
        for name in tree.drop_silent(self.children, now):
            for section in self.fleet.sections.values():
                section.member_lost(name, self.now())
        if (self.fleet.is_active() or self.children) and now >= self.due_at:
            self.send(now)

    def notify(self) -> None:
        """Send as soon as the least interval allows, if a section asks for it."""
        if self.timer is not None or not self.fleet.is_urgent(self.now()):
            return
        wait_s = self.sent_at + URGENT_INTERVAL_S - self.relay.clock()
        if wait_s <= 0.0:
            self.send(self.relay.clock())
        else:
            self.timer = self.call_later(wait_s, self.send_urgent)

    def send_urgent(self) -> None:
        """Send what was urgent when the least interval had not passed yet."""
        self.timer = None
        if self.fleet.is_urgent(self.now()):
            self.send(self.relay.clock())

    def send(self, now: float) -> None:
        """Send a report upwards, or a digest downwards if this node is the root."""
        self.due_at = now + REPORT_INTERVAL_S
        self.sent_at = now
        self.sequence += 1
        recipient = tree.report_recipient(self.relay.state, now)
        self.recipient = recipient if recipient not in self.children else None
        if self.recipient is None:
            self.send_digest()
            return
        sections = self.collect("take_report")
        report = FleetReport(self.relay.note(), self.sequence, self.count_nodes(), sections)
        self.relay.send(self.recipient, relay_messages.encode(report))

    def send_digest(self) -> None:
        """Make a digest, send it to the children and adopt it."""
        name = self.relay.state.me.name
        sections = self.collect("make_digest")
        digest = FleetDigest(
            self.relay.note(), name, self.sequence, 0.0, self.count_nodes(), sections
        )
        self.forward(digest)
        self.adopt(digest)

    def collect(self, method: str) -> dict[str, bytes]:
        """Call a method of each active section and return the payloads by section name."""
        now = self.now()
        found = {}
        for name, section in self.fleet.sections.items():
            payload = getattr(section, method)(now)
            if payload is None:
                continue
            if len(payload) > MAX_SECTION_BYTES:
                log("fleet_section_too_large", "error", section=name, bytes=len(payload))
                continue
            found[name] = payload
        return found

    def count_nodes(self) -> int:
        """Count this node and those below it in the tree."""
        return 1 + sum(child.nodes for child in self.children.values())

    def forward(self, digest: FleetDigest) -> None:
        """Send a digest to all children, and to the nodes that do not report yet.

        A node without an active section does not report. The first observation of another node has
        to reach it nevertheless; once it has adopted that, it reports like all others.
        """
        names = [*self.children, *(self.idle_nodes() if digest.sections else ())]
        if not names:
            return
        state = self.relay.state
        near = {member.name for member in relays.data_centre_members(state)}
        far = [name for name in names if name not in near]
        payload = relay_messages.encode(digest) if far else b""
        for name in far:
            self.relay.send(name, payload)
        grouped = [name for name in names if name in near]
        self.relay.fan_out.send(digest, grouped, digest.sequence, self.relay.clock())

    def idle_nodes(self) -> list[str]:
        """List the nodes below this one in the tree that do not report."""
        state = self.relay.state
        relay = relays.data_centre_relay(state, self.relay.clock())
        names = [relay] if self.recipient is None else []
        if relay == state.me.name:
            names = [member.name for member in relays.data_centre_members(state)]
        if self.recipient is None:
            names += tree.far_relays(state, self.relay.clock())
        return [name for name in names if name not in self.children and name != state.me.name]

    def report_received(self, message: FleetReport, now: float) -> None:
        """Merge the report of a child; reports of the node that this one reports to are dropped."""
        if self.is_stale(now):
            return
        sender = message.sender.name
        if sender == self.recipient and sender not in self.children:
            return
        self.children[sender] = Child(now, message.nodes)
        for name, payload in message.sections.items():
            section = self.fleet.sections.get(name)
            if section is None:
                continue
            try:
                section.merge_report(sender, payload, self.now())
            except msgspec.MsgspecError as error:
                log("fleet_section_malformed", "warning", section=name, reason=str(error))
        self.notify()

    def digest_received(self, message: FleetDigest, waited_s: float = 0.0) -> None:
        """Adopt a digest of the node that this one reports to, and pass it on.

        It is older by the time that it has waited on the way.
        """
        if self.is_stale(self.relay.clock()):
            return
        self.relay.fan_out.pass_on(message, self.relay.clock())
        if not self.fleet.is_active() and not self.children:
            # This node has not reported lately, so its place in the tree may have changed.
            self.recipient = tree.report_recipient(self.relay.state, self.relay.clock())
        if message.sender.name != self.recipient:
            return
        is_same_root = message.root == self.digest_root
        # A root that starts again counts from 1; a late message is only a little behind.
        restarted = message.sequence < self.digest_sequence - 100
        if is_same_root and message.sequence <= self.digest_sequence and not restarted:
            return
        self.digest_root, self.digest_sequence = message.root, message.sequence
        digest = msgspec.structs.replace(
            message, sender=self.relay.note(), age_s=message.age_s + waited_s, below=[]
        )
        self.forward(digest)
        self.adopt(digest)
