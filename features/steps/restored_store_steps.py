"""Steps about a store that comes back from a copy some seconds old."""

import asyncio
import json
import random
from types import SimpleNamespace

from behave import given, then, when

from features.node_world import NOW, make_directory, make_instance
from features.relay_fleet import FIRST_REVISION, KIND
from features.steps.node_path_steps import wait_until
from poplarlane.platform import store
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.platform_client import PlatformResponse
from poplarlane.store_objects import ObjectChange, StoredObject, revision_in

EXTRA_ENTRY = {"spec": {"info": {}}, "status": {}}


def write_entries(rig, count):
    """Write entries that name no target, which only raises the store's revision."""
    for number in range(count):
        rig.control(entries={f"extra-{number}": EXTRA_ENTRY})


@when("the store is copied, version {version:d} is applied and {count:d} entries are written")
def step_copy_and_change(context, version, count):
    rig = context.rig
    rig.control(copy=True)
    rig.control(configuration=rig.configuration(version, rig.usual_routes("books")))
    rig.node.wait_for("configuration_applied", version=str(version))
    write_entries(rig, count)


@when('the store is copied, "{name}" drains and ends, and {count:d} entries are written')
def step_copy_and_drain(context, name, count):
    rig = context.rig
    rig.control(copy=True)
    rig.control(drain=[name])
    rig.node.wait_for("instance_changed", state="leaving")
    rig.control(delete=[name])
    rig.node.wait_for("instance_changed", state="gone")
    write_entries(rig, count)


def restore(rig, count, **switches):
    """Let the store come back and pass its earlier revisions before a node can ask it."""
    entries = {f"extra-{number}": EXTRA_ENTRY for number in range(count)}
    rig.control(restore=True, entries=entries, **switches)


@when(
    'the store comes back from the copy, version {version:d} moves "/views/" to "{service}" and '
    "{count:d} entries are written"
)
def step_restore_and_change(context, version, service, count):
    rig = context.rig
    found = rig.configuration(version, rig.usual_routes(service))
    restore(rig, count, configuration=found)


@when("the store comes back from the copy, and {count:d} entries are written")
def step_restore(context, count):
    restore(context.rig, count)


@when("the node has listed the targets of the copy")
def step_listed(context):
    node = context.rig.node

    def lists():
        return sum(line.fields.get("event") == "targets_listed" for line in node.lines)

    wait_until(lambda: lists() > 1, "the node has listed anew")


class ScriptedClient:
    """Answer watches and lists as a scenario says, and record the paths asked for."""

    def __init__(self, answers):
        self.answers = answers
        self.paths = []
        # Called before an answer is given.
        self.meanwhile = lambda: None

    async def read(self, _operation, path, wait_s=0.0):
        """Answer a call."""
        self.paths.append(path)
        self.meanwhile()
        document, era = self.answers.pop(0)
        headers = {store.ERA_HEADER: str(era).encode()}
        return PlatformResponse(200, json.dumps(document).encode(), headers)


def make_follower(answers):
    """Create a follower whose store answers as given."""
    listener = SimpleNamespace(
        store_call_finished=lambda _kind, _succeeded: None,
        confirmed=lambda _kind: None,
        changed=lambda *_arguments: None,
        relisted=lambda *_arguments: None,
        listed=lambda *_arguments: None,
    )
    client = ScriptedClient(answers)
    return ObjectFollower(client, store, "kind", listener, 100, random.Random(1), False, 0.0)


def stored(name, revision):
    """Write an object as the store does."""
    return {"metadata": {"name": name, "revision": revision}, "spec": {}}


@given("a node that watches from revision {number:d} of era {era:d}")
def step_watches(context, number, era):
    context.follower = make_follower([])
    context.follower.apply_changes(revision_in(era, number), [])
    context.follower.is_current = True
    context.follower.following = True


@when("the watch is answered without changes, as of revision {number:d} of era {era:d}")
def step_empty(context, number, era):
    context.follower.client.answers = [({"events": [], "current_rev": number}, era)]
    assert asyncio.run(context.follower.watch())


@then("the node's next call is a list")
def step_next_is_list(context):
    assert context.follower.revision == 0


@when("another node passes on revision {number:d} of era {era:d} while the watch is under way")
def step_passed_on(context, number, era):
    follower = context.follower
    follower.client.meanwhile = lambda: follower.replace_all(revision_in(era, number), [])


@when("the watch is answered with a change at revision {number:d} of era {era:d}")
def step_change(context, number, era):
    event = {"object": stored("later", number), "deleted": False}
    context.follower.client.answers = [({"events": [event], "current_rev": number}, era)]
    assert asyncio.run(context.follower.watch())


@then("the node's next call is a watch from revision {number:d}")
def step_next_is_watch(context, number):
    follower = context.follower
    follower.client.meanwhile = lambda: None
    follower.client.answers = [({"events": [], "current_rev": number}, 2)]
    asyncio.run(follower.watch())
    assert f"watch={number}&" in follower.client.paths[-1], follower.client.paths
    assert "later" not in follower.objects


@given("a node that lists two pages, the second of a later era")
def step_two_eras(context):
    first = {"items": [stored("a", 5)], "current_rev": 40, "more_pages": True}
    second = {"items": [stored("b", 6)], "current_rev": 38}
    context.follower = make_follower([(first, 1), (second, 2)])


@then("the list fails and no object is taken")
def step_list_fails(context):
    assert not asyncio.run(context.follower.list_all())
    assert not context.follower.objects and not context.follower.revision


RESTORED_REVISION = FIRST_REVISION - 5


@when("the store comes back in era 2 at a lower revision, and the nodes that follow it list it")
def step_fleet_restored(context):
    context.fleet.relist(RESTORED_REVISION, {"version": 1}, era=2)


@then("all nodes hold the state of the restored store")
def step_all_restored(context):
    found = context.fleet.knowing(revision_in(2, RESTORED_REVISION))
    assert set(found) == set(context.fleet.relays), set(context.fleet.relays) - set(found)


def use_versions(relay):
    """Let the follower of a relay tell versions of the configuration apart."""
    relay.followers[KIND].version_of = lambda item: item.spec["version"]


@given("all of them hold version {version:d} of the configuration")
def step_hold(context, version):
    for relay in context.fleet.relays.values():
        use_versions(relay)
        item = StoredObject("main", FIRST_REVISION, {"version": version}, None)
        relay.followers[KIND].apply_changes(FIRST_REVISION, [ObjectChange(item, False)])


@when(
    "the store comes back in era 2 with version {version:d}, and the nodes that follow it list it"
)
def step_restored_version(context, version):
    context.fleet.relist(RESTORED_REVISION, {"version": version}, era=2)
    context.fleet.run(1.0)


@then("all nodes hold version {version:d} of the configuration")
def step_all_hold(context, version):
    found = {
        name: relay.followers[KIND].newest_version() for name, relay in context.fleet.relays.items()
    }
    assert set(found.values()) == {version}, found


@when("the {place} starts anew from the copy")
def step_restart(context, place):
    fleet = context.fleet
    name = list(fleet.relays)[-1]
    if place == "first seed":
        name = fleet.by_address[fleet.seeds[0]]
    member = fleet.relays[name].state.me
    fleet.end(member.address)
    fleet.add(name, member.address, member.data_centre, random.Random(2))
    fleet.by_address[member.address] = name
    follower = fleet.relays[name].followers[KIND]
    use_versions(fleet.relays[name])
    item = StoredObject("main", revision_in(2, RESTORED_REVISION), {"version": 10}, None)
    follower.revision = 0
    follower.replace_all(revision_in(2, RESTORED_REVISION), [item])


def make_record(name, sequence, leaving=False):
    """Describe a target as it wrote itself down."""
    found = make_instance(name, leaving=leaving)
    found.sequence = sequence
    return found


@given(
    'a directory in which "i-0" drains at its write 7, "i-1" is removed after its write 5, and '
    '"i-2" serves'
)
def step_departed(context):
    context.now = NOW
    context.directory = make_directory(0)
    for name, sequence in (("i-0", 4), ("i-1", 5), ("i-2", 3)):
        context.directory.update_instance(make_record(name, sequence))
    context.directory.update_instance(make_record("i-0", 7, leaving=True))
    context.directory.remove_instance("i-1", NOW)


@when(
    'the store comes back from a copy with "i-0" at write 4, "i-1" at write 5 and "i-2" at write 3'
)
def step_copy_of_three(context):
    context.directory.mark_restored(NOW)
    records = [make_record("i-0", 4), make_record("i-1", 5), make_record("i-2", 3)]
    context.directory.replace_instances(records, NOW)


@when('"{name}" writes its entry again at write {sequence:d}')
def step_writes_again(context, name, sequence):
    assert context.directory.update_instance(make_record(name, sequence))


@given('a directory in which "i-0" and "i-1" serve')
def step_two_serve(context):
    context.now = NOW
    context.directory = make_directory(2)


@when('the store comes back from a copy that lacks "i-1"')
def step_copy_lacks(context):
    context.directory.mark_restored(NOW)
    context.directory.replace_instances([make_record("i-0", 1)], NOW)


@when("{time_s:f} s pass")
def step_pass(context, time_s):
    context.directory.purge_expired(NOW + time_s)


@then('its catalogue has the targets "{names}"')
def step_catalogue(context, names):
    targets = context.directory.catalogue().services["reads"].targets.values()
    assert sorted(target.instance for target in targets) == names.split(","), targets


@then('an answer with the era "{value}" is of era {era}')
def step_era(context, value, era):
    expected = None if era == "none" else int(era)
    assert store.era_of({store.ERA_HEADER: value.encode()}) == expected


@given("it is not known whether it misses anything")
def step_not_current(context):
    context.follower.is_current = False


@then("it is still not known whether it misses anything")
def step_still_not_current(context):
    assert not context.follower.is_current


@given("a node that holds version {version:d} of the configuration")
def step_one_holds(context, version):
    context.follower = make_follower([])
    context.follower.version_of = lambda item: item.spec["version"]
    item = StoredObject("main", 40, {"version": version}, None)
    context.follower.apply_changes(40, [ObjectChange(item, False)])


def list_restored(context, items):
    """Let the node list a store of the next era."""
    follower = context.follower
    follower.revision = 0
    context.era = getattr(context, "era", 1) + 1
    follower.client.answers = [({"items": items, "current_rev": 35}, context.era)]
    assert asyncio.run(follower.list_all())


@when("it lists a restored store with version {version:d}")
def step_lists_version(context, version):
    list_restored(context, [stored("main", 30) | {"spec": {"version": version}}])


@when("it lists a restored store without a configuration")
def step_lists_none(context):
    list_restored(context, [])


@then("it holds version {version:d} of the configuration")
def step_holds(context, version):
    assert context.follower.newest_version() == version
