"""Steps for the exchange of reports and digests, without a network."""

import random
from collections import Counter
from unittest.mock import patch

import msgspec
from behave import given, then, when
from relay_fleet import RelayFleet

from poplarlane.decisions.fleet import digests  # noqa: F401  registers the handler
from poplarlane.decisions.fleet.sections import FleetState
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_events import FleetDigestReceived
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.plumbing import relay as relay_module
from poplarlane.plumbing.fleet_exchange import FleetExchange
from poplarlane.plumbing.relay import Relay
from poplarlane.relay_messages import FleetDigest, FleetReport, decode


class CountSection:
    """Add up what all nodes count."""

    name = "count"

    def __init__(self):
        self.counted = 0
        self.total = 0
        self.known = 0
        self.active = True
        self.urgent = False

    def is_active(self):
        return self.active

    def is_urgent(self, now):
        return self.urgent

    def take_report(self, now):
        taken, self.counted, self.urgent = self.counted, 0, False
        return msgspec.msgpack.encode(taken)

    def merge_report(self, sender, payload, now):
        found = msgspec.msgpack.decode(payload, type=int)
        self.counted += found
        self.urgent = self.urgent or found > 0

    def member_lost(self, sender, now):
        pass

    def make_digest(self, now):
        self.total += self.counted
        self.counted, self.urgent = 0, False
        return msgspec.msgpack.encode(self.total)

    def adopt_digest(self, payload, age_s, now):
        self.known = msgspec.msgpack.decode(payload, type=int)
        return []


class CountingNode:
    """A node's section and the state that digests are applied to."""

    def __init__(self, fleet, relay):
        self.fleet = fleet
        self.state = EntryState(relay.state.me.name, 1)
        self.section = CountSection()
        self.state.fleet.add(self.section)
        self.root = ""
        relay.fleet_exchange = FleetExchange(
            relay, self.state.fleet, lambda: fleet.now, self.adopt, self.wait
        )

    def wait(self, _delay_s, _function):
        """Leave what is urgent to the next step."""

    def adopt(self, digest):
        self.root = digest.root
        event = FleetDigestReceived(
            self.fleet.now, 0, digest.sections, digest.age_s, digest.root, digest.nodes
        )
        reduce(event, self.state)


@given("{nodes:d} nodes in 3 data centres that count what they see")
def step(context, nodes):
    context.fleet = RelayFleet(nodes, 3, 3)
    context.nodes = {
        name: CountingNode(context.fleet, relay) for name, relay in context.fleet.relays.items()
    }


@when("each node counts 2 and {time_s:g} seconds pass")
def step(context, time_s):
    context.fleet.run(1.5)
    for node in context.nodes.values():
        node.section.counted += 2
    context.fleet.run(time_s)


@when("{time_s:g} seconds pass")
def step(context, time_s):
    context.fleet.run(time_s)


@when("one node counts 1 and tells the others at once")
def step(context):
    fleet = context.fleet
    name = list(context.nodes)[-1]
    # The least interval between two urgent messages has passed.
    fleet.now += 0.05
    section = context.nodes[name].section
    section.counted, section.urgent = 1, True
    with patch.object(relay_module, "clock", lambda: fleet.now):
        fleet.relays[name].fleet_exchange.notify()
        fleet.deliver()


@when("the section becomes active at one node, which counts 1 and tells the others at once")
def step(context):
    list(context.nodes.values())[-1].section.active = True
    context.execute_steps("When one node counts 1 and tells the others at once")


@then("every node knows a sum of {total:d}, {addition}")
def step(context, total, addition):
    known = {name: node.section.known for name, node in context.nodes.items()}
    assert set(known.values()) == {total}, known


@when("the root ends and {time_s:g} seconds pass")
def step(context, time_s):
    root = next(iter(context.nodes.values())).root
    context.fleet.end(context.fleet.relays[root].state.me.address)
    del context.nodes[root]
    context.fleet.run(time_s)


@then("no node that is left is isolated")
def step(context):
    now = context.fleet.now
    assert not [name for name, node in context.nodes.items() if node.state.fleet.is_isolated(now)]


@then("all digests come from one root")
def step(context):
    assert len({node.root for node in context.nodes.values()}) == 1


@when("one node is cut off for {time_s:g} seconds")
def step(context, time_s):
    context.cut = list(context.nodes)[-1]
    context.fleet.cut.add(context.cut)
    context.fleet.run(time_s)


@then("the busiest node sends at most {most:d} digests a second in the next {time_s:d} seconds")
def step(context, most, time_s):
    sent = record_digests(context.fleet)
    context.fleet.run(time_s)
    counts = Counter(sender for sender, _ in sent)
    assert max(counts.values()) <= most * time_s, counts.most_common(3)


def record_digests(fleet):
    """Return a list that gets the sender and the content of each digest from now on."""
    sent = []
    for name, relay in fleet.relays.items():

        def record(receiver, payload, send=relay.sockets.send, name=name):
            message = decode(payload)
            if isinstance(message, FleetDigest):
                sent.append((name, message))
            send(receiver, payload)

        relay.sockets.send = record
    return sent


@when("the nodes start within {spread_s:g} seconds and {more_s:g} more seconds pass")
def step(context, spread_s, more_s):
    fleet, draw = context.fleet, random.Random(2)
    waiting = {name: fleet.now + draw.uniform(0.0, spread_s) for name in fleet.relays}
    relays = dict(fleet.relays)
    fleet.relays = {}
    until = fleet.now + spread_s + more_s
    while fleet.now < until:
        for name in [found for found, at in waiting.items() if at <= fleet.now]:
            del waiting[name]
            fleet.relays[name] = relays[name]
            relays[name].state.started_at = fleet.now
        fleet.run(0.1)


@when("each forwarder of the root is cut off in turn for {time_s:d} seconds")
def step(context, time_s):
    fleet = context.fleet
    root = next(iter(context.nodes.values())).root
    sent = record_digests(fleet)
    fleet.run(1.0)
    forwarders = {sender for sender, found in sent if sender != root and found.sender.name == root}
    assert len(forwarders) >= 8, forwarders
    context.isolated = set()
    for name in sorted(forwarders):
        fleet.cut = {name}
        for _ in range(time_s * 10):
            fleet.run(0.1)
            nodes = {found for found in context.nodes if found != name}
            context.isolated |= {found for found in nodes if is_isolated(context, found)}
        fleet.cut = set()
        fleet.run(1.0)


@then("no other node was isolated at any time")
def step(context):
    assert not context.isolated, context.isolated


def is_isolated(context, name):
    """Return whether a node has had no digest lately."""
    return context.nodes[name].state.fleet.is_isolated(context.fleet.now)


@when("one node is suspended for {time_s:g} seconds and reads what came meanwhile")
def step(context, time_s):
    context.cut = list(context.nodes)[-1]
    fleet, held = context.fleet, []
    relay = fleet.relays[context.cut]
    with (
        patch.object(Relay, "received", hold_for(relay, held)),
        patch.object(Relay, "step", skip_for(relay)),
    ):
        fleet.run(time_s)
    assert any(isinstance(decode(payload), FleetDigest) for payload in held)
    with patch.object(relay_module, "clock", lambda: fleet.now):
        for payload in held:
            relay.received(b"", payload)


def hold_for(suspended, held):
    """Return a method that keeps the messages for one relay."""
    original = Relay.received

    def received(relay, identity, payload):
        if relay is suspended:
            held.append(payload)
        else:
            original(relay, identity, payload)

    return received


def skip_for(suspended):
    """Return a method that leaves out the steps of one relay."""
    original = Relay.step

    def step_others(relay, now):
        if relay is not suspended:
            original(relay, now)

    return step_others


@then("that node is isolated and the others are not")
def step(context):
    now = context.fleet.now
    isolated = {name for name, node in context.nodes.items() if node.state.fleet.is_isolated(now)}
    assert isolated == {context.cut}, isolated


@given("a node that counts")
def step(context):
    context.state = EntryState("node", 1)
    context.state.fleet = FleetState()
    context.section = CountSection()
    context.state.fleet.add(context.section)
    broken = CountSection()
    broken.name = "broken"
    context.state.fleet.add(broken)


@when("it receives a digest with a malformed section and a good one")
def step(context):
    sections = {"broken": b"\xc1", "count": msgspec.msgpack.encode(7), "unknown": b"x"}
    context.effects = reduce(FleetDigestReceived(1.0, 0, sections, 0.0, "r", 2), context.state)


@then("the good one is in force and the other one is logged")
def step(context):
    assert context.section.known == 7
    events = [effect.event for effect in context.effects]
    assert events == ["fleet_joined", "fleet_section_malformed"], events


@when("the section becomes inactive and {time_s:g} seconds pass")
def step(context, time_s):
    fleet = context.fleet
    fleet.run(1.0)
    for node in context.nodes.values():
        node.section.active = False
    # Children that no longer report are forgotten first, on each level of the tree.
    fleet.run(4.0)
    context.sent = []
    for relay in fleet.relays.values():
        send = relay.sockets.send

        def record(name, payload, send=send):
            context.sent.append(payload)
            send(name, payload)

        relay.sockets.send = record
    fleet.run(time_s)


@then("no report or digest has been sent since")
def step(context):
    assert context.sent
    kinds = {type(decode(payload)) for payload in context.sent if payload[:1] != b"\xc1"}
    assert not kinds & {FleetReport, FleetDigest}, kinds
