"""Steps about the exchange of a whole fleet, and about lists that may be old."""

import asyncio
import json
import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.node_world import make_configuration, make_instance
from features.relay_fleet import FIRST_REVISION, KIND, RelayFleet, message_bytes
from poplarlane import relay_messages
from poplarlane.change_encoding import encode_changes, resolve_changes
from poplarlane.decisions.configuration.directory import Directory
from poplarlane.decisions.configuration.object_deltas import apply_delta, delta_between
from poplarlane.decisions.membership import relays
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.platform import store
from poplarlane.plumbing.directory_sync import DirectorySync, Translation
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.platform_client import PlatformResponse
from poplarlane.plumbing.relay import Relay
from poplarlane.start_timeline import StartTimeline
from poplarlane.store_objects import ObjectChange, StoredObject

CONFIGURATION = "configuration"
INSTANCES = "instances"


@given("{nodes:d} nodes in {data_centres:d} data centres with {seeds:d} seeds")
def step_fleet(context, nodes, data_centres, seeds):
    context.fleet = RelayFleet(nodes, data_centres, seeds)


@when("the exchange has run for {time_s:d} s")
def step_run(context, time_s):
    context.fleet.asked.clear()
    context.fleet.run(time_s)


@when("the first seed ends and the exchange has run for {time_s:d} s")
def step_first_ends(context, time_s):
    context.fleet.end(context.fleet.seeds[0])
    context.fleet.run(time_s)


@when("all seeds end and the exchange has run for {time_s:g} s")
def step_seeds_end(context, time_s):
    for address in context.fleet.seeds:
        if address in context.fleet.by_address:
            context.fleet.end(address)
    context.fleet.run(time_s)


@when(
    "messages of the first seed wait {late_s:d} s on its link and the exchange has run for "
    "{time_s:d} s"
)
def step_late(context, late_s, time_s):
    fleet = context.fleet
    fleet.late_s[fleet.by_address[fleet.seeds[0]]] = float(late_s)
    fleet.run(time_s)


@then("another node follows the store in place of the first seed")
def step_another(context):
    first = context.fleet.by_address[context.fleet.seeds[0]]
    others = set(context.fleet.followers()) - {first}
    assert others, context.fleet.followers()


@then("1 node follows the store and it is the {place} seed")
def step_one_follows(context, place):
    address = context.fleet.seeds[["first", "second", "third"].index(place)]
    expected = [context.fleet.by_address[address]]
    assert context.fleet.followers() == expected, context.fleet.followers()


@then("5 nodes follow the store, one of each data centre")
def step_each(context):
    found = context.fleet.followers()
    places = {context.fleet.relays[name].state.me.data_centre for name in found}
    assert len(found) == 5 and len(places) == 5, found


@when("the store tells the node that follows it of a change")
@when("the store tells the nodes that follow it of a change")
def step_told(context):
    context.fleet.tell(FIRST_REVISION + 1, {"version": 9})


@when("the store forgets its history and the node that follows it lists a change")
def step_relist(context):
    context.fleet.relist(FIRST_REVISION + 1, {"version": 9})


@when("the store turns the seeds away and the exchange has run for {time_s:d} s")
def step_seeds_denied(context, time_s):
    names = {context.fleet.by_address[address] for address in context.fleet.seeds}
    context.fleet.denied = names
    context.fleet.run(time_s)


@then("all {nodes:d} nodes have the change")
def step_all_have(context, nodes):
    found = context.fleet.knowing(FIRST_REVISION + 1)
    missing = set(context.fleet.relays) - set(found)
    assert len(found) == nodes, missing
    assert all(spec == {"version": 9} for spec in found.values())


@when("the store tells the nodes that follow it of a change of {size:d} bytes within {time_s:d} s")
def step_told_much(context, size, time_s):
    fleet = context.fleet
    assert len(fleet.followers()) > 20, fleet.followers()
    fleet.sent_bytes.clear()
    # Text that does not compress well, as the digests of keys.
    text = random.Random(1).randbytes(size // 2).hex()
    context.spec = {"text": text}
    fleet.tell(FIRST_REVISION + 1, context.spec)
    fleet.run(time_s)


@then("all {nodes:d} nodes have the large change, and no node sent more than {most:d} bytes")
def step_all_have_much(context, nodes, most):
    found = context.fleet.knowing(FIRST_REVISION + 1)
    missing = set(context.fleet.relays) - set(found)
    assert len(found) == nodes and all(spec == context.spec for spec in found.values()), missing
    busiest = context.fleet.sent_bytes.most_common(3)
    assert busiest[0][1] <= most, busiest


@then("all {nodes:d} nodes have the change, and only the first seed asked the store")
def step_only_seed(context, nodes):
    step_all_have(context, nodes)
    first = context.fleet.by_address[context.fleet.seeds[0]]
    # At the start a seed may ask until it hears of the first one.
    seeds = {context.fleet.by_address[address] for address in context.fleet.seeds}
    assert first in context.fleet.asked and context.fleet.asked <= seeds, context.fleet.asked


def ignore(*_arguments, **_named):
    """Do nothing."""


class KeeperRig:
    """Hold the keeper of a node whose followers and relay are driven by hand."""

    def __init__(self):
        self.fed = []
        self.now = 100.0
        shell = SimpleNamespace(
            state=EntryState("node-1", 1),
            now=lambda: self.now,
            random_value=lambda: 7,
            feed=self.fed.append,
            loop=SimpleNamespace(call_later=ignore, call_soon=ignore),
            timeline=StartTimeline(lambda: self.now),
        )
        translation = Translation(
            CONFIGURATION,
            "main",
            lambda item: make_configuration(item.spec["version"]),
            lambda item: make_instance(item.name),
            lambda item: item.spec["version"] if item.name == "main" else 0,
        )
        self.keeper = DirectorySync(shell, Directory(0.2, "measured"), translation, 24)
        for kind in (CONFIGURATION, INSTANCES):
            follower = ObjectFollower(None, store, kind, self.keeper, 100, random.Random(1))
            self.keeper.followers.append(follower)
        me = relays.Member("node-1", "10.0.0.1", "dc", 0.0)
        relay = Relay(
            relays.RelayState(me, clock()),
            1,
            self.keeper.apply_changes,
            self.keeper.listed,
            lambda: 0.5,
        )
        relay.sockets = SimpleNamespace(dealers={}, connect=ignore, send=ignore)
        relay.followers = {found.kind: found for found in self.keeper.followers}
        self.keeper.relay = relay

    def list_old(self):
        """Take lists of the store that may be old."""
        old = {CONFIGURATION: StoredObject("main", 30, {"version": 3}, None)}
        for follower in self.keeper.followers:
            items = [old.get(follower.kind, StoredObject("i-0", 30, {}, None))]
            follower.replace_all(30, items)
            self.keeper.listed(follower.kind, items)

    def beat(self, revision):
        """Take a beat of a node that knows the configuration of a revision."""
        note = relay_messages.MemberInfo("node-2", "10.0.0.2", "dc", 0.0)
        revisions = {CONFIGURATION: revision, INSTANCES: 30}
        self.keeper.relay.handle(relay_messages.Heartbeat(note, 0.1, revisions))

    def served_version(self):
        """Give the version of the configuration that the node serves by; 0 before it serves."""
        return self.fed[-1].catalogue.version if self.fed else 0


@given("a node that has listed an old state of the store")
def step_old_list(context):
    context.rig = KeeperRig()
    context.rig.list_old()


@given("a node that has listed an old state of the store, {start}")
def step_old_list_at(context, start):
    context.rig = KeeperRig()
    context.rig.list_old()
    context.rig.keeper.relay.state.is_bootstrap = start.startswith("while")


@then("it asks the store for what it lacks after {time_s:f} s and not before")
def step_asks(context, time_s):
    relay = context.rig.keeper.relay

    def asks_at(now):
        for follower in relay.followers.values():
            follower.enabled.clear()
        relay.check_current(now)
        return [follower.enabled.is_set() for follower in relay.followers.values()]

    started_at = relay.state.started_at
    assert asks_at(started_at + time_s - 0.01) == [False, False]
    assert asks_at(started_at + time_s + 0.01) == [True, True]


@when("it is not known whether anything newer is missing")
def step_unknown(context):
    context.rig.keeper.check_expired_targets()


@when("a beat tells of a newer revision")
def step_newer_beat(context):
    context.rig.beat(41)


@when("another node sends all that it has")
def step_snapshot(context):
    note = relay_messages.EncodedChange("main", 41, {"version": 9}, None, False)
    context.rig.keeper.relay.handle(relay_messages.Snapshot(CONFIGURATION, 41, [note]))


@when("{time_s:f} s pass without a beat")
def step_no_beat(context, time_s):
    context.rig.now += time_s
    context.rig.keeper.check_expired_targets()


@then("the node does not serve yet")
def step_not_serving(context):
    assert context.rig.served_version() == 0


@then("the node serves by the newer state")
def step_newer_served(context):
    assert context.rig.served_version() == 9


@then("the node serves by the old state")
def step_old_served(context):
    assert context.rig.served_version() == 3


@given("a node whose exchange fails once to start")
def step_failing_exchange(context):
    context.rig = KeeperRig()
    context.started = []
    context.later = []

    def start():
        context.started.append(len(context.started))
        if len(context.started) == 1:
            raise OSError("address in use")

    keeper = context.rig.keeper
    keeper.relay = None
    keeper.make_relay = lambda: SimpleNamespace(start=start)
    keeper.shell.loop.call_later = lambda _delay_s, function: context.later.append(function)


@when("the exchange is to start")
def step_start_exchange(context):
    (context.later.pop() if context.later else context.rig.keeper.start_relay)()


@then("both kinds are followed and the start is tried again")
def step_follows_itself(context):
    keeper = context.rig.keeper
    assert keeper.relay is None and len(context.later) == 1
    assert all(follower.following for follower in keeper.followers)


@then("the exchange runs")
def step_exchange_runs(context):
    assert context.rig.keeper.relay is not None and len(context.started) == 2


class DeepClient:
    """Answer the first watch with an object nested too deep to be read, then with a change."""

    def __init__(self, levels):
        deep = '{"metadata":{"name":"bad","revision":41},"spec":' + "[" * levels + "]" * levels
        events = ['{"events":[{"object":' + deep + '}}],"current_rev":41}']
        good = {"metadata": {"name": "good", "revision": 42}, "spec": {}}
        events.append(json.dumps({"events": [{"object": good}], "current_rev": 42}))
        self.bodies = [event.encode() for event in events]

    async def read(self, _operation, _path, wait_s=0.0):
        """Answer a call; further ones wait for ever."""
        if not self.bodies:
            await asyncio.Event().wait()
        return PlatformResponse(200, self.bodies.pop(0))


@given("a follower whose store sends an object nested {levels:d} levels deep")
def step_deep(context, levels):
    context.heard = []
    listener = SimpleNamespace(
        store_call_finished=lambda _kind, _good: None,
        confirmed=lambda _kind: None,
        changed=lambda _kind, _after, _revision, changes: context.heard.extend(changes),
    )
    client = DeepClient(levels)
    context.follower = ObjectFollower(
        client, store, KIND, listener, 100, random.Random(1), batch_delay_s=0.001
    )
    context.follower.apply_changes(40, [])


@then("it goes on and takes the next change")
def step_goes_on(context):
    async def follow():
        context.follower.start()
        context.follower.set_enabled(True)
        async with asyncio.timeout(5.0):
            while not any(change.item.name == "good" for change in context.heard):
                await asyncio.sleep(0.01)
        context.follower.close()

    asyncio.run(follow())


@given("a relay whose periodic step fails once")
def step_failing_relay(context):
    context.steps = []
    relay = KeeperRig().keeper.relay

    class FailingOnce(Relay):
        """Fail the first step."""

        __slots__ = ()

        def step(self, now):
            context.steps.append(now)
            if len(context.steps) == 1:
                raise ValueError("a step failed")

    relay.__class__ = FailingOnce
    context.failing = relay


@then("it takes the next step")
def step_next_step(context):
    async def run():
        task = asyncio.ensure_future(context.failing.run())
        async with asyncio.timeout(5.0):
            while len(context.steps) < 2:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())


def many_routes(count):
    """Create the content of a configuration with many routes."""
    routes = [
        {
            "name": f"route-{number}",
            "host": "h.example",
            "path_prefix": f"/a{number}/",
            "service": "reads",
            "timeout_s": 4.0,
            "target_latency_s": 0.5,
        }
        for number in range(count)
    ]
    return {"version": 5, "routes": routes, "services": [{"name": "reads"}]}


@given("a configuration of {count:d} routes of which one changes")
def step_many_routes(context, count):
    context.before = StoredObject("main", 40, many_routes(count), None)
    spec = many_routes(count)
    spec["version"] = 6
    spec["routes"][count // 2]["service"] = "books"
    change = ObjectChange(StoredObject("main", 41, spec, None), False)
    change.previous = context.before
    context.spec = spec
    context.update = relay_messages.Update(KIND, 40, 41, encode_changes([change]))


@then("its message takes at most {size_kb:d} KB and gives back the whole configuration")
def step_small(context, size_kb):
    assert message_bytes(context.update) <= size_kb * 1024, message_bytes(context.update)
    received = relay_messages.decode(relay_messages.encode(context.update))
    changes = resolve_changes(received.changes, {"main": context.before})
    assert [change.item.spec for change in changes] == [context.spec]
    # A node that holds another version of the object cannot use the difference.
    other = StoredObject("main", 39, context.before.spec, None)
    assert resolve_changes(received.changes, {"main": other}) is None


VALUES = st.one_of(st.integers(0, 3), st.text("ab", max_size=2), st.lists(st.integers(0, 2)))
ENTRIES = st.lists(
    st.fixed_dictionaries({"name": st.sampled_from("abcd"), "value": VALUES}), max_size=4
)
CONTENTS = st.dictionaries(st.sampled_from("wxyz"), st.one_of(VALUES, ENTRIES), max_size=4)


@then("entries of a list that have moved are told by a difference as well")
def step_moved(context):
    entry = st.fixed_dictionaries({"name": st.sampled_from("abcdef"), "value": VALUES})
    entries = st.lists(entry, max_size=6, unique_by=lambda found: found["name"])

    @settings(max_examples=500, derandomize=True)
    @for_all(entries, entries)
    def rule(old, new):
        delta = delta_between({"entries": old}, {"entries": new})
        assert delta is not None and apply_delta({"entries": old}, delta) == {"entries": new}
        for changed in delta.lists.values():
            assert all(found not in old for found in changed.entries), changed

    rule()


@then(
    "for {cases:d} drawn pairs of contents a difference gives back the newer one, or there is none"
)
def step_deltas(context, cases):
    found = []

    @settings(max_examples=cases, derandomize=True)
    @for_all(CONTENTS, CONTENTS)
    def rule(old, new):
        delta = delta_between(old, new)
        if delta is not None:
            assert apply_delta(old, delta) == new
            found.append(delta)

    rule()
    assert found
