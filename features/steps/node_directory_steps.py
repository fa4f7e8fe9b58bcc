"""Steps about routes, the directory of a node, and the exchange between nodes."""

import asyncio
import json
import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.node_world import (
    NOW,
    READ,
    make_configuration,
    make_directory,
    make_instance,
)
from poplarlane import relay_messages
from poplarlane.decisions.configuration.directory import (
    Directory,
)
from poplarlane.decisions.configuration.route_table import (
    Route,
    RouteTable,
    WeightedService,
    choose_service,
)
from poplarlane.decisions.membership import (
    relay_fetches,
    relays,
)
from poplarlane.platform import store
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.platform_client import PlatformFailure, PlatformResponse
from poplarlane.plumbing.relay import TICK_S, Relay
from poplarlane.store_objects import ObjectChange, StoredObject


@then('"/a/b/c/" of "/a/", "/a/b/" and "/" leads to "/a/b/"')
def step_longest(context):
    routes = [
        Route(prefix, "h", prefix, READ, 0.5, 2, [WeightedService("s", 1.0)])
        for prefix in ("/a/", "/a/b/", "/")
    ]
    assert RouteTable(1, routes).find("h", "/a/b/c/").name == "/a/b/"


@then("24 nodes with 20 requests each split 90 to 10 within 0.05")
def step_split(context):
    generator = random.Random(9)
    chosen = []
    for _ in range(24):
        parts = [WeightedService("a", 90.0), WeightedService("b", 10.0)]
        route = Route("r", "h", "/", READ, 0.5, 2, parts)
        chosen += [choose_service(route, generator.getrandbits(64)) for _ in range(20)]
    share = chosen.count("b") / len(chosen)
    assert abs(share - 0.1) <= 0.05, share


@given("a directory with {count:d} instances")
def step_directory(context, count):
    context.directory = make_directory(count)
    context.now = NOW


def target_count(context):
    """Count the targets of the directory's catalogue."""
    return len(context.directory.catalogue().services["reads"].targets)


@when("the store returns after an outage and lists 1 of them")
def step_outage(context):
    context.directory.mark_reconnected(context.now)
    context.directory.replace_instances([make_instance("i-0")], context.now)


@then("all {count:d} are still targets")
@then("{count:d} of them is a target")
@then("{count:d} of them are targets")
def step_targets(context, count):
    assert target_count(context) == count, target_count(context)


@when("2.1 seconds have passed")
def step_passed(context):
    assert context.directory.purge_expired(context.now + 2.1)


@when("the store returns after an outage and one instance drains")
def step_drains(context):
    context.directory.mark_reconnected(context.now)
    context.directory.update_instance(make_instance("i-1", leaving=True))


@when("the instance starts again under its identity")
def step_restarts(context):
    context.before = set(context.directory.catalogue().services["reads"].targets)
    context.directory.update_instance(make_instance("i-0", started_ms=2))


@then("the target has another name")
def step_renamed(context):
    after = set(context.directory.catalogue().services["reads"].targets)
    assert len(after) == 1 and not after & context.before, after


@then(
    "for {cases:d} drawn orders of versions 1 to 8, a directory holds the highest that it was given"
)
def step_versions(context, cases):
    @settings(max_examples=cases)
    @for_all(st.permutations(range(1, 9)))
    def rule(versions):
        directory = Directory(0.2, "measured")
        highest = 0
        for version in versions:
            directory.update_configuration(make_configuration(version))
            highest = max(highest, version)
            assert directory.configuration.version == highest

    rule()


def member(name, data_centre="dc", heard_at=NOW):
    """Create a node as heard of."""
    return relays.Member(name, f"10.0.{data_centre[-1:]}.{name[5:]}", data_centre, heard_at)


@given("a node that hears of one that follows the store")
def step_relay(context):
    context.relay = relays.RelayState(member("node-1"), NOW - 10.0)
    names = (f"node-{number}" for number in range(2, 20))
    found = (member(name) for name in names)
    for other in found:
        relays.record_member(context.relay, other)
        if not relays.is_candidate(context.relay, NOW):
            break
    assert not relays.is_candidate(context.relay, NOW)
    context.sender = relays.data_centre_relay(context.relay, NOW)


@when("a beat says that the store answered {age:f} s ago")
def step_beat(context, age):
    relays.record_heartbeat(context.relay, context.sender, age, {}, NOW)
    context.now = NOW


@then("the node relies on it")
def step_relies(context):
    assert not relays.must_follow_store(context.relay, context.now)


@then(
    "the node relies on it no more, and asks the store before {limit_s:f} s have passed since its "
    "answer"
)
def step_follows(context, limit_s):
    assert not relays.has_fresh_heartbeat(context.relay, context.now)
    answered_at = context.relay.heartbeats[context.sender].contact_at
    assert asks_at(context.relay, context.now) < answered_at + limit_s


def asks_at(relay, now):
    """Give the instant at which a node follows the store itself, in steps of its exchange."""
    for step in range(100):
        if relays.must_follow_store(relay, now + step * TICK_S):
            return now + step * TICK_S
    raise AssertionError("the node never follows the store")


@given("60 nodes that relied on one that has fallen silent, with a limit of {limit_s:f} s")
def step_silent(context, limit_s):
    members = [member(f"node-{number}") for number in range(60)]
    context.states = []
    for found in members:
        state = relays.RelayState(found, NOW - 10.0, [], limit_s)
        for other in members:
            relays.record_member(state, other)
        context.states.append(state)
    sender = relays.data_centre_relay(context.states[0], NOW)
    for state in context.states:
        if state.me.name != sender:
            # The oldest answer of the store that a beat may report at the end of a long watch.
            oldest_s = relays.WATCH_WAIT_FRACTION * limit_s + relays.HEARTBEAT_INTERVAL_S
            relays.record_heartbeat(state, sender, oldest_s, {}, NOW, True)
            assert not relays.must_follow_store(state, NOW)


@then("each of them asks the store before {limit_s:f} s have passed since its last answer")
def step_all_ask(context, limit_s):
    for state in context.states:
        for heartbeat in state.heartbeats.values():
            assert asks_at(state, NOW) < heartbeat.contact_at + limit_s, state.me.name


def relay_states():
    """Create 24 nodes in 3 data centres that have all heard of each other."""
    members = [member(f"node-{number}", f"dc-{number % 3}") for number in range(24)]
    states = [relays.RelayState(found, NOW) for found in members]
    for state in states:
        for found in members:
            relays.record_member(state, found)
    return states


def chosen_by_all(states):
    """Name the chosen nodes as each node computes its own, by data centre."""
    chosen = {}
    for state in states:
        chosen.setdefault(state.me.data_centre, set()).add(relays.data_centre_relay(state, NOW))
    assert all(len(names) == 1 for names in chosen.values()), chosen
    return {name for names in chosen.values() for name in names}


@then("24 nodes in 3 data centres agree on 3 that pass changes on")
def step_agree(context):
    context.states = relay_states()
    assert len(chosen_by_all(context.states)) == 3


@then("without one of them the others of its data centre agree on another")
def step_replaced(context):
    lost = sorted(chosen_by_all(context.states))[0]
    left = [state for state in context.states if state.me.name != lost]
    for state in left:
        del state.members[lost]
    chosen = chosen_by_all(left)
    assert len(chosen) == 3 and lost not in chosen, chosen


@given("a node at revision 40 that hears of revision 42")
def step_behind(context):
    context.relay = relays.RelayState(member("node-1"), NOW - 10.0)
    relays.record_heartbeat(context.relay, "node-2", 0.1, {"kind": 42}, NOW)


@then("it asks the node that announced it after 0.25 s, again each 0.25 s, and no more at {held:d}")
def step_asks(context, held):
    fetches = [fetch_source(context, 40, NOW + step * 0.05) for step in range(17)]
    expected = ["node-2" if step and step % 5 == 0 else None for step in range(17)]
    assert fetches == expected, fetches
    assert relay_fetches.is_repeated_fetch(context.relay, "kind")
    assert fetch_source(context, held, NOW + 0.85) is None
    assert not relay_fetches.is_repeated_fetch(context.relay, "kind")


def fetch_source(context, revision, now):
    """Name the node that the node under test asks for objects."""
    return relay_fetches.fetch_source(context.relay, "kind", revision, 0.5, now)


class LocalSockets:
    """Hand messages to the other relays of a test at once."""

    def __init__(self, relays_by_name):
        self.relays_by_name = relays_by_name
        self.dealers = relays_by_name

    def send(self, name, payload):
        """Deliver a message unless it is one of those that are lost."""
        if not isinstance(relay_messages.decode(payload), LocalSockets.lost):
            self.relays_by_name[name].received(b"", payload)

    # Types of the messages that are lost.
    lost: tuple[type, ...] = ()


def make_relay(name, relays_by_name):
    """Create a relay that knows one kind of objects at revision 40."""
    heard = []
    LocalSockets.lost = ()
    state = relays.RelayState(member(name), clock() - 10.0)
    relay = Relay(
        state,
        1,
        lambda _kind, changes: heard.extend(changes),
        lambda _kind, items: heard.extend(ObjectChange(item, False) for item in items),
        lambda: 0.5,
    )
    relay.sockets = LocalSockets(relays_by_name)
    relay.followers["kind"] = ObjectFollower(None, None, "kind", None, 100, None)
    relay.followers["kind"].apply_changes(40, [])
    relay.followers["kind"].is_current = True
    relays_by_name[name] = relay
    return heard


@given("three nodes of a data centre of which the store turns away the chosen one and another")
def step_three(context):
    found = {}
    heard = {name: make_relay(name, found) for name in ("node-1", "node-2", "node-3")}
    for relay in found.values():
        for other in found:
            relays.record_member(relay.state, member(other, heard_at=clock()))
    chosen = relays.data_centre_relay(found["node-1"].state, clock())
    others = [relay for name, relay in found.items() if name != chosen]
    context.chosen, context.denied, context.served = found[chosen], *others
    context.heard = heard[context.denied.state.me.name]
    context.chosen.following = True
    context.chosen.store_call_finished("kind", True)
    context.chosen.heartbeat(clock())
    assert not relays.must_follow_store(context.served.state, clock())


@when("a call of the chosen one to the store fails")
def step_one_failure(context):
    context.chosen.store_call_finished("kind", False)


@then("the others go on relying on it")
def step_go_on(context):
    for relay in (context.denied, context.served):
        assert relays.has_fresh_heartbeat(relay.state, clock())


@when("the store does not answer the chosen one")
def step_not_answered(context):
    # The call that fails, and the short one after it.
    context.chosen.store_call_finished("kind", False)
    context.chosen.store_call_finished("kind", False)


@then("the others know at once that they cannot rely on it")
def step_know(context):
    for relay in (context.denied, context.served):
        assert not relays.has_fresh_heartbeat(relay.state, clock())
        assert asks_at(relay.state, clock()) < clock() + 0.55


@when("the third one follows the store and hears of a change")
def step_third(context):
    context.served.following = True
    change = ObjectChange(StoredObject("main", 41, {"version": 9}, None), False)
    context.served.followers["kind"].apply_changes(41, [change])
    context.served.changed("kind", 40, 41, [change])


@when("the third one hears of a change that does not reach the one that is turned away")
def step_lost(context):
    LocalSockets.lost = (relay_messages.Update,)
    context.execute_steps("When the third one follows the store and hears of a change")
    assert not context.heard
    context.served.store_call_finished("kind", True)
    context.served.heartbeat(clock())


@when("the node that is turned away looks for gaps for {time_s:f} s")
def step_gaps(context, time_s):
    start = clock()
    for step in range(round(time_s / 0.05) + 1):
        context.denied.request_missing(start + step * 0.05)


@given("a new node that the store does not answer, and one that has followed it")
def step_new_node(context):
    found = {}
    context.heard = make_relay("node-1", found)
    make_relay("node-2", found)
    context.denied, other = found["node-1"], found["node-2"]
    context.denied.followers["kind"] = ObjectFollower(None, None, "kind", None, 100, None)
    context.denied.state.started_at = clock()
    relays.record_member(context.denied.state, member("node-2", heard_at=clock()))
    change = ObjectChange(StoredObject("main", 41, {"version": 9}, None), False)
    other.followers["kind"].apply_changes(41, [change])


@when("the new node looks for gaps for {time_s:f} s")
def step_new_gaps(context, time_s):
    context.execute_steps(f"When the node that is turned away looks for gaps for {time_s} s")


@then("it has not asked")
def step_not_asked(context):
    assert not context.heard


@given("a follower that has objects of revision {revision:d} from another node")
def step_newer(context, revision):
    context.listed = []
    listener = SimpleNamespace(
        store_call_finished=lambda _kind, _good: None,
        confirmed=lambda _kind: None,
        relisted=lambda *_change: None,
        listed=lambda _kind, items: context.listed.append(items),
    )
    context.follower = ObjectFollower(None, store, "kind", listener, 100, random.Random(1))
    context.follower.replace_all(revision, [StoredObject("main", revision, {}, None)])


@when("the store's list of revision {revision:d} arrives late")
def step_late_list(context, revision):
    context.client = ListClient(revision)
    context.follower.client = context.client
    assert asyncio.run(context.follower.list_all())


@then("the list is left out and the follower stays at revision {revision:d}")
def step_left_out(context, revision):
    assert not context.listed and context.follower.revision == revision
    assert context.follower.objects["main"].revision == revision


class ListClient:
    """Answer a list with no objects as of a revision."""

    def __init__(self, revision):
        self.body = json.dumps({"items": [], "current_rev": revision}).encode()

    async def read(self, _operation, _path, wait_s=0.0):
        """Answer a call."""
        return PlatformResponse(200, self.body)


@when("the store does not answer the node and another node tells of an instance that is gone")
def step_told_gone(context):
    context.directory.mark_disconnected()
    context.directory.remove_instance("i-0", context.now)


@then("the node that is turned away has the change")
def step_has(context):
    assert [change.item.spec for change in context.heard] == [{"version": 9}]
    assert context.denied.followers["kind"].revision == 41


class FailingClient:
    """Record how long each call lets the store wait, and answer none."""

    def __init__(self):
        self.waits_s = []

    async def read(self, _operation, _path, wait_s=0.0):
        """Fail a call."""
        self.waits_s.append(wait_s)
        return PlatformFailure("no answer in time", True)


@given("a node that follows the store with waits of {wait_ms:d} ms")
def step_waits(context, wait_ms):
    listener = SimpleNamespace(
        store_call_finished=lambda _kind, _good: None, confirmed=lambda _kind: None
    )
    context.client = FailingClient()
    context.follower = ObjectFollower(
        context.client, store, "kind", listener, wait_ms, random.Random(1)
    )
    context.follower.apply_changes(40, [])
    context.follower.is_current = True
    context.follower.following = True


class IdleClient(FailingClient):
    """Answer that nothing has changed."""

    async def read(self, _operation, _path, wait_s=0.0):
        """Answer a call."""
        self.waits_s.append(wait_s)
        return PlatformResponse(200, json.dumps({"events": [], "current_rev": 40}).encode())


@when("it relied on another one before")
def step_relied(context):
    context.follower.client = context.client = IdleClient()
    context.follower.set_enabled(False)
    context.follower.set_enabled(True)

    async def twice():
        assert await context.follower.watch()
        assert await context.follower.watch()

    asyncio.run(twice())


@then("its first call waits at most {first:d} ms and the next one {second:d} ms")
def step_waits_short(context, first, second):
    found = [round(wait_s * 1000) for wait_s in context.client.waits_s]
    assert found[0] <= first and found[1] == second, found


@when("its call fails and it asks again")
def step_fails(context):
    async def twice():
        await context.follower.note(await context.follower.watch())
        await context.follower.watch()

    asyncio.run(twice())


@then("the first call waited {first:d} ms and the second one at most {second:d} ms")
def step_waited(context, first, second):
    found = [round(wait_s * 1000) for wait_s in context.client.waits_s]
    assert found[0] == first and found[1] <= second, found


@given("a node at revision {held:d} whose history is gone, and another one at revision {old:d}")
def step_history_gone(context, held, old):
    found = {}
    context.heard = make_relay("node-1", found)
    make_relay("node-2", found)
    context.denied, context.served = found["node-1"], found["node-2"]
    relays.record_member(context.denied.state, member("node-2", heard_at=clock()))
    follower = context.denied.followers["kind"]
    follower.apply_changes(held, [])
    follower.revision = 0
    assert found["node-2"].followers["kind"].revision == old


@when("the other one sends all it has")
def step_sends_all(context):
    note = relay_messages.EncodedChange("main", 40, {"version": 1}, None, False)
    context.denied.handle(relay_messages.Snapshot("kind", 40, [note]))


@then("nothing is taken")
def step_nothing_taken(context):
    assert not context.heard and context.denied.followers["kind"].revision == 0


@then("the node asks nobody while it waits for the store's list")
def step_asks_nobody(context):
    start = clock()
    for step in range(40):
        context.denied.request_missing(start + step * 0.05)
    assert not context.heard and context.denied.followers["kind"].revision == 0
    assert not context.denied.state.fetches, context.denied.state.fetches
