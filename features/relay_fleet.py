"""A fleet of relays in one process with a clock of its own, and a store that tells of changes."""

import asyncio
import json
import random
from collections import Counter
from unittest.mock import patch

from poplarlane import relay_messages
from poplarlane.decisions.membership import relays
from poplarlane.platform import store
from poplarlane.plumbing import relay as relay_module
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.platform_client import PlatformResponse
from poplarlane.plumbing.relay import TICK_S, Relay
from poplarlane.store_objects import ObjectChange, StoredObject

KIND = "kind"
START = 1_000.0
FIRST_REVISION = 40


class FleetSockets:
    """Carry the messages of one node; addresses and names of ended nodes lead nowhere."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        # A relay connects to a node before it sends to it; here every node is connected.
        self.dealers = fleet.connected

    def connect(self, name, address, port, keep_unsent=True):
        """Connect to a node."""

    def disconnect(self, name):
        """Disconnect from a node."""

    def send(self, name, payload):
        """Queue a message for a node, named or by its address, unless either is cut off."""
        receiver = self.fleet.by_address.get(name, name)
        self.fleet.sent_bytes[self.name] += len(payload)
        if self.fleet.cut & {self.name, receiver} or self.fleet.is_cut(self.name, name):
            return
        late_s = self.fleet.late_s.get(self.name)
        if late_s:
            self.fleet.waiting.append((self.fleet.now + late_s, name, payload))
        else:
            self.fleet.queue.append((name, payload))


class AnyName:
    """Hold every name."""

    def __contains__(self, name):
        return True


class RelayFleet:
    """Run relays step by step; a node whose relay follows asks the store once each step."""

    def __init__(self, nodes, data_centres, seeds):
        self.now = START
        self.connected = AnyName()
        self.queue = []
        # Names of nodes that neither send nor receive.
        self.cut = set()
        self.relays = {}
        self.by_address = {}
        # Pairs of data centres between which messages are lost.
        self.cut_links = set()
        # How long messages of a node wait on its link, and those that wait with their time.
        self.late_s = {}
        self.waiting = []
        # Nodes that the store turns away, and those that it was asked by.
        self.denied = set()
        self.asked = set()
        self.sent_bytes = Counter()
        self.changes = {}
        addresses = [f"10.0.{number % data_centres}.{number}" for number in range(nodes)]
        self.seeds = addresses[:seeds]
        generator = random.Random(1)
        for number, address in enumerate(addresses):
            self.add(f"node-{number}", address, f"dc-{number % data_centres}", generator)

    def add(self, name, address, data_centre, generator):
        """Add a node that knows the state of the store at the first revision."""
        state = relays.RelayState(
            relays.Member(name, address, data_centre, self.now), self.now, self.seeds, 2.0
        )
        heard = self.changes.setdefault(name, [])
        relay = Relay(
            state,
            1,
            lambda _kind, changes: heard.extend(changes),
            lambda _kind, items: heard.extend(ObjectChange(item, False) for item in items),
            generator.random,
        )
        relay.sockets = FleetSockets(self, name)
        follower = ObjectFollower(None, None, KIND, RelayListener(relay), 100, None)
        follower.apply_changes(FIRST_REVISION, [])
        relay.followers[KIND] = follower
        self.relays[name] = relay
        self.by_address[address] = name

    def run(self, time_s):
        """Let every node take its steps for a time."""
        with patch.object(relay_module, "clock", lambda: self.now):
            for _ in range(round(time_s / TICK_S)):
                self.now += TICK_S
                due = [entry for entry in self.waiting if entry[0] <= self.now]
                self.waiting = [entry for entry in self.waiting if entry[0] > self.now]
                self.queue += [entry[1:] for entry in due]
                self.deliver()
                for name, relay in list(self.relays.items()):
                    relay.step(self.now)
                    self.ask_store(name, relay)
                    self.deliver()

    def is_cut(self, sender, receiver):
        """Return whether messages between two nodes are lost."""
        name = self.by_address.get(receiver, receiver)
        if name not in self.relays or not self.cut_links:
            return False
        places = [self.relays[found].state.me.data_centre for found in (sender, name)]
        return frozenset(places) in self.cut_links

    def ask_store(self, name, relay):
        """Let a node that follows the store hear that nothing is new."""
        if relay.following:
            self.asked.add(name)
            follower = relay.followers[KIND]
            good = name not in self.denied
            follower.is_current = follower.is_current or good
            relay.store_call_finished(KIND, good)

    def deliver(self):
        """Deliver all queued messages, and those that they cause."""
        while self.queue:
            name, payload = self.queue.pop(0)
            relay = self.relays.get(self.by_address.get(name, name))
            if relay is not None:
                relay.received(b"", payload)

    def followers(self):
        """Name the nodes that follow the store."""
        return [name for name, relay in self.relays.items() if relay.following]

    def end(self, address):
        """End the node at an address."""
        name = self.by_address.pop(address)
        del self.relays[name]

    def tell(self, revision, spec):
        """Let the store tell those that follow it, and that it answers, of a change."""
        with patch.object(relay_module, "clock", lambda: self.now):
            for name in self.followers():
                if name in self.denied:
                    continue
                relay = self.relays[name]
                change = ObjectChange(StoredObject("main", revision, spec, None), False)
                after = relay.followers[KIND].changed_revision
                if after < revision:
                    relay.followers[KIND].apply_changes(revision, [change])
                    self.changes[name].append(change)
                    relay.changed(KIND, after, revision, [change])
                self.deliver()

    def relist(self, revision, spec, era=0):
        """Let the nodes that follow the store list it anew, with a change in it."""
        with patch.object(relay_module, "clock", lambda: self.now):
            for name in self.followers():
                relay = self.relays[name]
                follower = relay.followers[KIND]
                follower.revision = 0
                body = {
                    "items": [{"metadata": {"name": "main", "revision": revision}, "spec": spec}],
                    "current_rev": revision,
                }
                follower.store_api = store
                follower.client = ListOnce(json.dumps(body).encode(), era)
                asyncio.run(follower.list_all())
                self.deliver()

    def knowing(self, revision):
        """Name the nodes that have the object main of a revision."""
        found = {}
        for name, relay in self.relays.items():
            held = relay.followers[KIND].objects.get("main")
            if held is not None and held.revision == revision:
                found[name] = held.spec
        return found


class ListOnce:
    """Answer a list."""

    def __init__(self, body, era):
        self.body = body
        self.headers = {store.ERA_HEADER: str(era).encode()} if era else {}

    async def read(self, _operation, _path, wait_s=0.0):
        """Answer a call."""
        return PlatformResponse(200, self.body, self.headers)


class RelayListener:
    """Tell a relay of what its follower finds, as a keeper does."""

    def __init__(self, relay):
        self.relay = relay
        self.relisted = relay.changed

    def listed(self, kind, items):
        """Take a whole list."""

    def store_call_finished(self, kind, good):
        """Take note of a call."""

    def confirmed(self, kind):
        """Take note that nothing is missing."""


def message_bytes(message):
    """Give the size of a message on the wire."""
    return len(relay_messages.encode(message))
