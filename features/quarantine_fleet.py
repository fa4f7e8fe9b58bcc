"""Many nodes that exchange evidence in one process, over messages that may fail."""

import random
from unittest.mock import patch

from features.quarantine_world import QuarantineNode
from features.relay_fleet import RelayFleet
from poplarlane import relay_messages
from poplarlane.decisions.requests.entry_events import FleetDigestReceived
from poplarlane.plumbing import relay as relay_module
from poplarlane.plumbing.fleet_exchange import FleetExchange
from poplarlane.relay_messages import FleetDigest, FleetReport

LOST_SHARE = 0.2
MAX_DELAY_S = 0.3


class FaultyFleet(RelayFleet):
    """Lose, repeat or delay reports and digests; the other messages arrive."""

    def __init__(self, nodes, faults):
        self.faults = faults
        self.generator = random.Random(5)
        self.late = []
        super().__init__(nodes, 3, 3)
        self.nodes = {name: FleetNode(self, relay) for name, relay in self.relays.items()}

    def deliver(self):
        """Deliver what is due, in any order if messages are delayed."""
        due = [entry for entry in self.late if entry[0] <= self.now]
        self.late = [entry for entry in self.late if entry[0] > self.now]
        for _, name, payload in due:
            self.give(name, payload)
        while self.queue:
            name, payload = self.queue.pop(0)
            shared = isinstance(relay_messages.decode(payload), FleetDigest | FleetReport)
            if shared and self.faults == "lost" and self.generator.random() < LOST_SHARE:
                continue
            if shared and self.faults == "delayed":
                at = self.now + self.generator.random() * MAX_DELAY_S
                self.late.append((at, name, payload))
                continue
            self.give(name, payload)
            if shared and self.faults == "repeated":
                self.give(name, payload)

    def give(self, name, payload):
        """Give a message to its receiver, unless that has ended."""
        relay = self.relays.get(self.by_address.get(name, name))
        if relay is not None:
            relay.received(b"", payload)

    def end(self, address):
        """End a node."""
        del self.nodes[self.by_address[address]]
        super().end(address)

    def notify(self, node):
        """Let a node send at once what is urgent."""
        with patch.object(relay_module, "clock", lambda: self.now):
            node.exchange.notify()
            self.deliver()


class FleetNode(QuarantineNode):
    """A node of a fleet; its clock is that of the fleet."""

    def __init__(self, fleet, relay):
        super().__init__(8, relay.state.me.name, has_peers=True)
        self.fleet = fleet
        self.now = fleet.now
        self.root = ""
        self.exchange = FleetExchange(
            relay, self.state.fleet, lambda: fleet.now, self.adopt, self.later
        )
        relay.fleet_exchange = self.exchange

    def later(self, _delay_s, _function):
        """Leave what is urgent to the next step."""

    def adopt(self, digest):
        """Adopt a digest."""
        self.root = digest.root
        self.now = self.fleet.now
        self.feed(
            FleetDigestReceived(
                self.now, 0, digest.sections, digest.age_s, digest.root, digest.nodes
            )
        )

    def arrive_now(self, number):
        """Let a deadly read arrive at the time of the fleet."""
        self.now = self.fleet.now
        self.arrive(number)
        self.fleet.notify(self)
