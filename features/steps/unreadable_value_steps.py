"""Steps about values in the store that cannot be read."""

import asyncio
import json
import random
import subprocess
import urllib.request
from types import SimpleNamespace
from urllib.parse import unquote_to_bytes

from behave import given, then, when
from hypothesis import example, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.steps.node_path_steps import ADMIN_PORT, metric_sum, read_metrics, wait_until
from features.store_world import make_sync, target_entry
from poplarlane import relay_messages
from poplarlane.bench.processes import binary_path
from poplarlane.change_encoding import encode_changes, encode_object, resolve_changes
from poplarlane.platform import store
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.platform_client import PlatformResponse
from poplarlane.store_objects import ObjectChange, StoredObject

# As a Python program holds bytes that are not UTF-8 (PEP 383).
NOT_UTF8 = b"\xff\xfe\x80".decode("utf-8", "surrogateescape")
HELD = {"before": 3, "between": 4, "behind": 5}
TEXTS = st.binary(max_size=6).map(lambda raw: raw.decode("utf-8", "surrogateescape")) | st.text(
    st.characters(codec=None), max_size=4
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=8,
)
METADATA = st.fixed_dictionaries({"name": TEXTS | VALUES, "revision": st.integers() | VALUES})
ITEMS = VALUES | st.fixed_dictionaries({"metadata": METADATA | VALUES, "spec": VALUES})
LARGE = b'{"metadata":{"name":"large"},"spec":{"a":[%d]}}' % (2**70)


def nested(levels):
    """Encode an item whose content is nested that deep."""
    return b'{"metadata":{"name":"deep"},"spec":%s%s}' % (b"[" * levels, b"]" * levels)


# Beyond the recursion limit of the decoder.
DEEP = nested(5_000)


def item_bytes(name, revision):
    """Encode a sound item."""
    return json.dumps({"metadata": {"name": name, "revision": revision}, "spec": {}}).encode()


def encoded(value, raw):
    """Encode a value as a store does: raw bytes, or escaped as lone surrogates."""
    text = json.dumps(value, ensure_ascii=not raw)
    try:
        return text.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        return text.encode("utf-8", "surrogatepass")


DRAWN = st.builds(encoded, ITEMS, st.booleans())


def passed_on(message):
    """Return a message as another node gets it."""
    return relay_messages.decode(relay_messages.encode(message))


def is_name(name):
    """Return whether a sound item has the name."""
    return name in HELD


@when("the store sends {form} bytes and pages of {count:d} items")
def step_form(context, form, count):
    context.rig.control(raw_bytes=form == "raw", page_items=count)


@when('the store holds an entry "{name}" with bytes that are not UTF-8')
def step_entry(context, name):
    entry = {"spec": {"address": NOT_UTF8}, "status": {"state": "ready"}}
    context.rig.control(entries={name: entry})


@when("the node is killed and started again")
def step_kill(context):
    rig = context.rig
    rig.node.kill()
    rig.node = rig.launcher.start("poplarlane-node", rig.node_settings(), "ready")


@then("for {count:d} drawn items, the decoder of a page returns the other items")
def step_pages(context, count):
    @settings(max_examples=count, deadline=None)
    @example(DEEP, True)
    @example(nested(900), True)
    @example(LARGE, True)
    @for_all(DRAWN, st.booleans())
    def rule(drawn, more):
        sound = [item_bytes(name, revision) for name, revision in HELD.items()]
        items = b",".join([sound[0], drawn, sound[1], drawn, sound[2]])
        tail = b'],"more_pages":%s,"current_rev":9}' % json.dumps(more).encode()
        page = store.decode_page(b'{"items":[' + items + tail)
        found = {item.name: item.revision for item in page.items if is_name(item.name)}
        assert found == HELD, (drawn, found)
        assert (page.has_more, page.revision) == (more, 9)
        assert len(page.items) + len(page.unreadable) == 5, drawn
        notes = [encode_object(item, False) for item in page.items]
        passed_on(relay_messages.Snapshot("kind", 9, notes))

    rule()


@then("for {count:d} drawn items, the decoder of a watch returns the other changes")
def step_watches(context, count):
    @settings(max_examples=count, deadline=None)
    @example(DEEP)
    @example(nested(900))
    @example(LARGE)
    @for_all(DRAWN)
    def rule(drawn):
        sound = [item_bytes(name, revision) for name, revision in HELD.items()]
        events = [b'{"object":' + item + b"}" for item in (sound[0], drawn, *sound[1:])]
        events.insert(2, drawn)
        batch = store.decode_changes(b'{"events":[' + b",".join(events) + b'],"current_rev":9}')
        items = [change.item for change in batch.changes if not change.deleted]
        found = {item.name: item.revision for item in items if is_name(item.name)}
        assert found == HELD, (drawn, found)
        assert batch.revision == 9
        message = relay_messages.Update("kind", 3, 9, encode_changes(batch.changes))
        assert resolve_changes(passed_on(message).changes, {}) is not None, drawn

    rule()


class PagedClient:
    """Answer lists with one item per page, ordered by the bytes of the names."""

    def __init__(self, items):
        self.items = items

    async def read(self, _operation, path, wait_s=0.0):
        """Answer a call."""
        after = unquote_to_bytes(path.partition("after=")[2])
        left = sorted(name for name in self.items if name > after)
        more = json.dumps(len(left) > 1).encode()
        body = b'{"items":[%s],"more_pages":%s,"current_rev":9}' % (self.items[left[0]], more)
        return PlatformResponse(200, body)


class RepeatingClient:
    """Answer every list with the same page, after which there are more."""

    def __init__(self, item):
        self.body = b'{"items":[%s],"more_pages":true,"current_rev":9}' % item

    async def read(self, _operation, _path, wait_s=0.0):
        """Answer a call."""
        return PlatformResponse(200, self.body)


def named(name, spec):
    """Write an item with a raw name and a raw content."""
    return b'{"metadata":{"name":"%s","revision":3},"spec":%s}' % (name, spec)


@given('a store with pages of one item, of which all but "b", "n" and "z" are unreadable')
def step_paged(context):
    items = {name: named(name, b"{}") for name in (b"b", b"n", b"z")}
    items |= {
        b"a": named(b"a", b'"\xff"'),
        b"c": named(b"c", b'"\\udcff"'),
        b"d": DEEP.replace(b'"deep"', b'"d"'),
        b"e\xff": named(b"e\xff", b"{}"),
        b"e\xfe": named(b"e\\udcfe", b"{}"),
        b"o": named(b"o", b"1e999"),
        b"zz": named(b"zz", b"NaN"),
    }
    context.client = PagedClient(items)


@given("a store that says that there are more pages after {page}")
def step_repeating(context, page):
    items = {
        "an empty page": b"",
        "an item without name": b'{"spec":{}}',
        "the same page again": named(b"a", b"{}"),
    }
    context.client = RepeatingClient(items[page])


@when("a follower lists it")
def step_list(context):
    context.lists = []
    listener = SimpleNamespace(
        store_call_finished=lambda _kind, _good: None,
        confirmed=lambda _kind: None,
        listed=lambda _kind, items: context.lists.append([item.name for item in items]),
    )
    follower = ObjectFollower(context.client, store, "kind", listener, 100, random.Random(1))
    context.succeeded = asyncio.run(follower.list_all())
    context.follower = follower


@then('it has the objects "{names}"')
def step_has_objects(context, names):
    assert context.succeeded and context.lists == [names.split(",")], context.lists
    assert sorted(context.follower.objects) == names.split(",")


@then("the list fails")
def step_list_fails(context):
    assert not context.succeeded and not context.lists and not context.follower.revision


@given("entries of two targets and one with the port {port}")
def step_ports(context, port):
    long = {"of 5,000 digits": "9" * 5_000, "of 5,000 zeros and 1": "0" * 5_000 + "1"}
    ports = {"a": "9001", "b": long.get(port, port.strip('"')), "c": "9002"}
    context.entries = [target_entry(name, port) for name, port in ports.items()]


@when("a node takes the list of them")
def step_takes(context):
    context.sync = make_sync()
    context.sync.listed(store.INSTANCES_KIND, context.entries)


@then("it has the two targets")
def step_two(context):
    assert sorted(context.sync.directory.instances) == ["a", "c"]


def address_entry(address):
    """Write the record of a target with an address, for the stand-in store."""
    info = {"service": "reads", "zone": "a", "slots": 6}
    return {"spec": {"address": address, "info": info}, "status": {"state": "ready"}}


def unreadable_lines(context, name):
    """Return the lines in which the node has logged an entry as unreadable."""
    lines = [line.fields for line in context.rig.node.lines]
    return [
        fields
        for fields in lines
        if fields.get("event") == "object_unreadable" and fields.get("name") == name
    ]


@when('the store holds an entry "{name}" with the address "{address}"')
def step_address(context, name, address):
    context.rig.control(entries={name: address_entry(address)})


@when("the node has logged both")
def step_logged(context):
    for name in ("other", "no-port"):
        context.rig.node.wait_for("object_unreadable", name=name)


@when("the node applies version {version:d}")
def step_applies(context, version):
    context.rig.node.wait_for("configuration_applied", version=str(version))


@then("each of them was logged once")
def step_once(context):
    for name in ("other", "no-port"):
        found = unreadable_lines(context, name)
        assert len(found) == 1 and found[0]["kind"] == store.INSTANCES_KIND, found
        assert found[0]["reason"], found


@when('the entry "{gone}" is removed and "{name}" has the address "{address}"')
def step_repaired(context, gone, name, address):
    context.rig.control(delete=[gone], entries={name: address_entry(address)})


@then(
    "the node's metrics count {count:d} unreadable objects, and its status and poplarctl show "
    '"{names}"'
)
@then(
    "the node's metrics count {count:d} unreadable objects, and its status and poplarctl show " '""'
)
def step_shown(context, count, names=""):
    address = f"{context.rig.node_address}:{ADMIN_PORT}"

    def counted():
        return metric_sum(read_metrics(context), "unreadable_objects", "servers")

    wait_until(lambda: counted() == count, "the metric counts the objects")
    with urllib.request.urlopen(f"http://{address}/status", timeout=5) as answer:
        status = json.load(answer)["unreadable"]
    assert ",".join(sorted(item["name"] for item in status)) == names, status
    command = [binary_path("poplarctl"), "unreadable", address]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, done
    shown = [
        name for name in ("no-port", "other") if f"{store.INSTANCES_KIND}/{name!r}" in done.stdout
    ]
    assert ",".join(shown) == names, done.stdout


def ignore(*_arguments):
    """Take a callback."""


@then("an unreadable entry that is deleted counts as deleted only")
def step_deleted(context):
    for item in (DEEP, nested(900), LARGE, b'{"metadata":{"name":"x"},"spec":"\\udcff"}'):
        body = b'{"events":[{"object":%s,"deleted":true}],"current_rev":9}' % item
        batch = store.decode_changes(body)
        assert [change.deleted for change in batch.changes] == [True] and not batch.unreadable


@given('a follower that holds "a" and "b"')
def step_holding(context):
    listener = SimpleNamespace(store_call_finished=ignore, confirmed=ignore, changed=ignore)
    follower = ObjectFollower(None, store, "kind", listener, 100, random.Random(1), False, 0.0)
    follower.replace_all(3, [StoredObject(name, 3, {}, None) for name in ("a", "b")])
    context.follower = follower


@when('a watch brings an unreadable "a"')
def step_watch(context):
    body = b'{"events":[{"object":%s}],"current_rev":4}' % named(b"a", b'"\\udcff"')

    async def read(_operation, _path, _wait_s=0.0):
        return PlatformResponse(200, body)

    context.follower.client = SimpleNamespace(read=read)
    assert asyncio.run(context.follower.watch())


@when('another node passes on a readable "a"')
def step_passed_on(context):
    context.follower.apply_changes(5, [ObjectChange(StoredObject("a", 5, {}, None), False)])


@then('it holds "{names}" and counts "{unreadable}" as unreadable')
@then('it holds "{names}" and counts "" as unreadable')
def step_holds(context, names, unreadable=""):
    assert ",".join(sorted(context.follower.objects)) == names
    assert ",".join(context.follower.unreadable.by_name) == unreadable
