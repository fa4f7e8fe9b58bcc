"""Steps about values in the store that cannot be read."""

import json

from behave import then, when
from hypothesis import example, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from poplarlane.platform import store

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
DEEP = b'{"metadata":{"name":"deep"},"spec":' + b"[" * 5_000 + b"]" * 5_000 + b"}"


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

    rule()


@then("for {count:d} drawn items, the decoder of a watch returns the other changes")
def step_watches(context, count):
    @settings(max_examples=count, deadline=None)
    @example(DEEP)
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

    rule()
