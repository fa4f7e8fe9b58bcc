"""Steps about entries of the store that another writer left, with odd values."""

import copy
import json
import random
import time
from types import SimpleNamespace

from behave import given, then, when

from features.node_world import HANDLERS, NOW
from features.steps.node_path_steps import NodeRig
from features.store_world import make_sync
from poplarlane import json_slices, relay_messages
from poplarlane.bench.processes import Launcher
from poplarlane.change_encoding import encode_changes, resolve_changes
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import SendRequest
from poplarlane.decisions.requests.entry_events import CatalogueChanged, RequestArrived, TimerFired
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.platform import store
from poplarlane.platform.headers import PLATFORM_HEADERS
from poplarlane.plumbing import entry_execute, unreadable_objects

RAW = "@raw@"
DEEP_LEVELS = 200_000
DEEP = {
    "objects": '{"a":' * DEEP_LEVELS + "1" + "}" * DEEP_LEVELS,
    "lists": "[" * 500_000 + "]" * 500_000,
    "hills": "[" * 2_000 + ",".join(["[" * 14 + "]" * 14] * 30_000) + "]" * 2_000,
    "strings": '{"a":["x",",[",' * 60_000 + "1" + "]}" * 60_000,
}
ODD_TEXTS = [
    "9" * 400,
    *("-" + "9" * 400, "9" * 5_000, "1e400", "-1e400", "1e300", "-1e300", "1.7976931348623157e308"),
    *("NaN", "Infinity", "-0", "-0.0", "-1", "0", "1.5", "1e3", "5e-324", "01", "1.", "+1"),
    *(str(2**31), str(2**53), str(2**63 - 1), str(2**63), str(2**64 - 1), str(10**12)),
    *("true", "null", '""', '"5"', "[]", "{}", "[[]]", '{"a":{}}', '{"name":"x","name":5}'),
    *(r'"\ud800"', r'"a\u0000b"', r'"a\r\nb: c"', '"日本"', '"' + "x" * 50_000 + '"'),
    *('"0.0.0.0:80"', r'"::1%\u0000:80"', '"[::1]:80"', '"a.example:80"', '"127.0.0.1:0"'),
    *('"127.0.0.1:65536"', '"127.0.0.1:-1"', '"224.0.0.1:80"', "[" * 3_000 + "]" * 3_000),
]
ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/",
    "route_type": "safe",
    "traffic_split": [{"service": "reads", "weight": 1}, {"service": "books", "weight": 2.5}],
    "timeout_s": 2,
    "target_latency_s": 0.5,
    "priority": 1,
    "max_attempts": 2,
}
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE],
    "services": [
        {"name": "reads", "health_path": "/healthz", "max_connections": 100, "cold_per_s": 2.0},
        {"name": "books", "health_path": "/healthz"},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 100000,
        "header_timeout_s": 5,
        "idle_timeout_s": 60,
    },
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1, "rate_per_s": 5, "burst": 2}],
}
ENTRY_FIELDS = {
    "name": ("metadata", "name"),
    "address": ("spec", "address"),
    "slots": ("spec", "info", "slots"),
    "sequence": ("status", "status", "sequence"),
    "cold": ("status", "status", "cold_remaining_s"),
    "born": ("status", "born"),
}
# What no target has.
NO_TARGETS = {
    "name": ["i-2\r\nx-a: b", "i-2\0", "π"],
    "address": ["::1%\0:9001", "0.0.0.0:9001", "224.0.0.1:9001", "a.example:1", "127.0.0.1:0"],
    "slots": [10**12, 0, 1.5],
}
LONG = {"of 50,000 digits": f'"{"9" * 50_000}"', "of 400 digits": "9" * 400, "2^63": str(2**63)}


def entry(number, service="reads"):
    """Write a sound entry."""
    info = {"service": service, "zone": "a", "version": "v1", "slots": 6}
    state = {"state": "ready", "cold_remaining_s": 0.0, "sequence": 5}
    return {
        "metadata": {"name": f"i-{number}", "revision": 3},
        "spec": {"address": f"127.0.0.1:{9_000 + number}", "info": info},
        "status": {"status": state, "born": 100 + number},
    }


def encoded(document, text=""):
    """Encode an object, with a raw text in the place of RAW."""
    return json.dumps(document).replace(f'"{RAW}"', text).encode()


def with_field(document, path, value):
    """Return a copy with another value at a path."""
    found = inner = copy.deepcopy(document)
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return found


def paths_in(value, path=()):
    """List the paths of all values inside a document."""
    if path:
        yield path
    members = enumerate(value) if isinstance(value, list) else ()
    for key, inner in value.items() if isinstance(value, dict) else members:
        yield from paths_in(inner, (*path, key))


def page_of(items):
    """Encode a page of a list."""
    return b'{"items":[%s],"current_rev":9}' % b",".join(items)


def events_of(items):
    """Encode the changes of a watch."""
    events = b",".join(b'{"object":%s}' % item for item in items)
    return b'{"events":[%s],"current_rev":9}' % events


def fill(sync, kind, items, is_watch):
    """Pass items from a list, or from a watch of another node, to a directory."""
    if not is_watch:
        sync.listed(kind, store.decode_page(page_of(items)).items)
        return
    batch = store.decode_changes(events_of(items))
    message = relay_messages.Update(kind, 3, 9, encode_changes(batch.changes))
    received = relay_messages.decode(relay_messages.encode(message))
    sync.apply_changes(kind, resolve_changes(received.changes, {}))


def serve(directory):
    """Apply a directory's catalogue to an entry, and let requests arrive; give both."""
    state = EntryState("node", 1)
    state.policy_name = "measured"
    state.probes_per_target_s = 60.0
    effects = []
    reduce(CatalogueChanged(NOW, 7, directory.catalogue(), 24), state)
    for number in range(6):
        arrival = ("h.example", "GET", "/x", "", 3_000.0, 1, False)
        event = RequestArrived(NOW + number / 100, 5 + 977 * number, number + 1, *arrival)
        effects += reduce(event, state)
    for at in (NOW + 1.0, NOW + 3.5):
        effects += reduce(TimerFired(at, 9), state)
    return state, effects


def check_sent(effects):
    """Check that each request has one header line for each name."""
    head = SimpleNamespace(forwarded=b"GET /x HTTP/1.1\r\n", method=b"GET", traceparent=b"")
    request = SimpleNamespace(head=head, body_bytes=0, body=[], span=None)
    shell = SimpleNamespace(now=lambda: NOW, header_names=PLATFORM_HEADERS)
    for effect in effects:
        if isinstance(effect, SendRequest):
            text = entry_execute.request_bytes(effect, request, shell)
            assert text.count(b"\r\n") == 4 and b"\0" not in text and len(text) < 1_000, text


@then("for {count:d} objects with drawn fields and seed {seed:d}, targets and requests stay")
def step_drawn(context, count, seed):
    assert HANDLERS
    generator = random.Random(seed)
    configuration = {"metadata": {"name": "main", "revision": 3}, "spec": CONFIGURATION}
    sound = [entry(0), entry(1), entry(2, "books")]
    for _ in range(count):
        kind = generator.choice(("config", "servers", "servers"))
        base = configuration if kind == "config" else entry(9)
        odd = with_field(base, generator.choice(list(paths_in(base))), RAW)
        raw = encoded(odd, generator.choice(ODD_TEXTS))
        sync, is_watch = make_sync(), generator.random() < 0.5
        fill(sync, "config", [encoded(configuration)], False)
        fill(sync, "evacuations", [raw.replace(b"main", b"zone-x")], is_watch)
        if kind == "config":
            fill(sync, "config", [raw.replace(b'"version": 3', b'"version": 4')], is_watch)
        items = [encoded(item) for item in sound] + ([raw] if kind == "servers" else [])
        fill(sync, "servers", items, is_watch)
        state, effects = serve(sync.directory)
        if kind == "servers":
            reads = state.services["reads"]
            assert {"i-0.100", "i-1.101"} <= reads.loads.keys(), raw[:1_000]
            assert reads.limits.slots_per_target < 100_001, raw[:1_000]
            loads = [load for found in state.services.values() for load in found.loads.values()]
            assert all("%" not in load.target.address for load in loads), raw[:1_000]
        check_sent(effects)


@when("a node takes a list of three targets, the last one with {field} {value}")
def step_field(context, field, value):
    context.logged = []
    odd = with_field(entry(2), ENTRY_FIELDS[field], RAW)
    page = store.decode_page(
        page_of([encoded(entry(0)), encoded(entry(1)), encoded(odd, LONG.get(value, value))])
    )
    context.sync = make_sync()
    log, unreadable_objects.log = unreadable_objects.log, lambda *_, **found: logged(context, found)
    try:
        unreadable = unreadable_objects.UnreadableObjects("servers")
        for _ in range(2):
            unreadable.replace(page.unreadable)
            context.sync.listed("servers", page.items)
    finally:
        unreadable_objects.log = log


def logged(context, fields):
    """Keep the fields of a log line."""
    context.logged.append(fields)


@then('it holds the first two, and logs the last one once with the reason "{reason}"')
def step_holds(context, reason):
    assert sorted(context.sync.directory.instances) == ["i-0", "i-1"]
    assert len(context.logged) == 1 and reason in context.logged[0]["reason"], context.logged


def cpu_s(work):
    """Return the least processor time of three runs."""
    found = []
    for _ in range(3):
        began_at = time.process_time()
        work()
        found.append(time.process_time() - began_at)
    return min(found)


@then("reading 1 MB of deeply nested values takes at most {ratio:d} times as long as a flat list")
def step_deep(context, ratio):
    flat = [encoded(entry(number)) for number in range(5_000)]
    named = b'{"metadata":{"name":"deep"},"spec":%s}'
    flat_s = cpu_s(lambda: store.decode_page(page_of([*flat, named % b'"\\udcff"'])))
    for form, text in DEEP.items():
        body = page_of([named % text.encode(), flat[0]])
        page = store.decode_page(body)
        assert [item.name for item in page.items + page.unreadable] == ["i-0", "deep"], form
        found_s = cpu_s(lambda body=body: store.decode_page(body))
        assert found_s <= ratio * flat_s, (form, found_s, flat_s)


@then("for {count:d} drawn texts, arrays nested at any depth are split at their outermost commas")
def step_split(context, count):
    generator = random.Random(3)
    block_bytes, json_slices.BLOCK_BYTES = json_slices.BLOCK_BYTES, 7
    try:
        for _ in range(count):
            drawn = [drawn_value(generator, generator.randrange(30)) for _ in range(4)]
            items = json_slices.array_items(json.dumps(drawn).encode())
            assert [json.loads(item) for item in items] == drawn, drawn
    finally:
        json_slices.BLOCK_BYTES = block_bytes


def drawn_value(generator, levels):
    """Draw a value with some levels of nesting."""
    if not levels:
        return generator.choice((1, "", '[",', '\\"}', "\\", None))
    inner = drawn_value(generator, levels - 1)
    beside = drawn_value(generator, min(levels - 1, generator.randrange(3)))
    return generator.choice(([inner, beside], [beside, inner], {'"[,': inner, "b": beside}))


class FollowingRig(NodeRig):
    """A node that follows all kinds."""

    def node_settings(self):
        """Give the settings of the node."""
        # A busy machine answers for the store after more than the usual time-out.
        return super().node_settings() | {"evacuate_within_s": 5.0, "store_timeout_ms": 5_000}


@given('a node that follows all kinds, with {reads:d} targets of "reads" and {books:d} of "books"')
def step_node(context, reads, books):
    context.rig = FollowingRig(context.resources.enter_context(Launcher()))
    context.rig.start({"reads": reads, "books": books})


def odd_servers():
    """Give odd entries by name; those of "reads" name no target, the others may."""
    found = {}
    for field, path in ENTRY_FIELDS.items():
        for number in range(len(ODD_TEXTS) if field != "name" else 0):
            found[f"odd-{field}-{number}"] = with_field(entry(9, "books"), path, f"@{number}@")
    for name in NO_TARGETS["name"]:
        found[name] = entry(9)
    for field in ("address", "slots"):
        for number, value in enumerate(NO_TARGETS[field]):
            found[f"no-target-{field}-{number}"] = with_field(entry(9), ENTRY_FIELDS[field], value)
    return found | {"deep": {"spec": "@deep@"}}


@when("another writer leaves odd entries in each list that the node follows")
def step_leaves(context):
    raw = {f"@{number}@": text for number, text in enumerate(ODD_TEXTS)}
    context.rig.control(raw_texts=raw | {"@deep@": DEEP["objects"]})
    deep = {"spec": "@deep@"}
    others = {"config": {"other": deep}, "evacuations": {"zone-x": deep, "\r\n": {"spec": 5}}}
    context.rig.control(objects={"servers": odd_servers()} | others)


@then("the node has logged each odd entry once since its start")
def step_logged(context):
    names = [*NO_TARGETS["name"], "deep", "other", "zone-x"]
    names += [f"no-target-{field}-{number}" for field in ("address", "slots") for number in (0, 1)]
    for name in names:
        context.rig.node.wait_for("object_unreadable", name=json.dumps(name)[1:-1])
    lines = [line.fields for line in context.rig.node.lines]
    found = [fields["name"] for fields in lines if fields.get("event") == "object_unreadable"]
    assert len(found) == len(set(found)), found
    failed = [fields for fields in lines if str(fields.get("event", "")).endswith("_failed")]
    assert not failed, failed
