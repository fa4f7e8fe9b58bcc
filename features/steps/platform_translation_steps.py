"""Steps about the translation between the platform and the product."""

import copy
import json
import re
from pathlib import Path

import msgspec
from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from poplarlane.decisions.configuration.directory import Configuration
from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.platform import store, translation
from poplarlane.platform.headers import PLATFORM_HEADERS, read_load
from poplarlane.plumbing.heads import (
    NOT_RUN_STATUSES,
    read_request_head,
    read_response_head,
)
from poplarlane.store_objects import StoredObject

PACKAGE = Path(__file__).resolve().parents[2] / "poplarlane"
PLATFORM_NAMES = re.compile(
    r"x-attempt-id|x-server-|x-expected-instance|x-not-executed|x-instance-id|/-/objects"
    r"|cold_remaining_s|target_latency_s|traffic_split|route_type|POPLARLANE_BOOT|current_rev"
    r"|more_pages|max_header_bytes|x-api-key|api_keys|tenant",
    re.IGNORECASE,
)
OWN_FOLDERS = ("platform", "standins")
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "reads",
            "host": "a.example",
            "path_prefix": "/r/",
            "route_type": "safe",
            "timeout_s": 1.2,
            "target_latency_s": 0.3,
            "priority": 2,
            "max_attempts": 2,
            "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
        },
        {
            "name": "books",
            "host": "a.example",
            "path_prefix": "/b/",
            "route_type": "unsafe",
            "timeout_s": 1.5,
            "target_latency_s": 0.4,
            "priority": 1,
            "max_attempts": 1,
            "service": "s1",
        },
    ],
    "services": [
        {"name": "s1", "health_path": "/healthz", "max_connections": 328},
        {"name": "s2", "health_path": "/healthz", "max_connections": 328},
    ],
    "tenants": [
        {"name": "c1", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 142, "burst": 142}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
ENTRY_SPEC = {
    "address": "10.1.0.9:8080",
    "info": {"service": "s1", "zone": "a", "slots": 6, "version": "v1"},
    "born": 1778815650020,
}
ENTRY_STATUS = {"state": "ready", "sequence": 4, "cold_remaining_s": 0}
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 2**40) | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["address", "info", "status", "service", "slots", "state", "zone", "x"]),
        inner,
        max_size=4,
    ),
    max_leaves=8,
)


def paths_of(document, prefix=()):
    """List the paths of all values of a document."""
    found = [prefix]
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in items:
        found.append((*prefix, key))
        if isinstance(value, dict | list):
            found += paths_of(value, (*prefix, key))[1:]
    return found


def replaced(document, path, value):
    """Copy a document with the value at a path replaced."""
    changed = copy.deepcopy(document)
    if not path:
        return value
    place = changed
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return changed


@then("no module outside the folder uses a header, path or field name of the platform")
def step_names(context):
    found = []
    for module in PACKAGE.rglob("*.py"):
        if module.relative_to(PACKAGE).parts[0] in OWN_FOLDERS:
            continue
        for number, line in enumerate(module.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                found.append(f"{module.name}:{number}: {line.strip()}")
    assert not found, found


@given("a configuration with a safe route, an unsafe one and a split")
def step_configuration(context):
    context.found = translation.configuration_of(StoredObject("main", 3, CONFIGURATION, None))
    assert isinstance(context.found, Configuration), context.found


@then("the safe one may be repeated and the unsafe one not")
def step_kinds(context):
    assert [route.kind.idempotent for route in context.found.routes] == [True, False]


@then("the split keeps its weights")
def step_split(context):
    parts = context.found.routes[0].services
    assert [(part.service, part.weight) for part in parts] == [("s1", 90.0), ("s2", 10.0)]


@then("timeouts, aims, attempts and limits are as configured")
def step_values(context):
    route = context.found.routes[0]
    assert (route.kind.deadline_ms, route.latency_objective_s, route.max_attempts) == (
        1200.0,
        0.3,
        2,
    )
    assert context.found.caller_limits.idle_timeout_s == 15
    assert context.found.services[0].max_connections == 328


@given('a configuration in which "{key}" of the object is "{value}"')
def step_wrong_value(context, key, value):
    context.document = CONFIGURATION | {key: value}


@given('a configuration in which "{key}" of the object is missing')
def step_missing(context, key):
    context.document = {name: value for name, value in CONFIGURATION.items() if name != key}


@given('a configuration in which a route has the type "{kind}"')
def step_wrong_type(context, kind):
    context.document = replaced(CONFIGURATION, ("routes", 0, "route_type"), kind)


@given("a configuration in which a route has neither service nor split")
def step_no_service(context):
    context.document = replaced(CONFIGURATION, ("routes", 1, "service"), None)


@then('it is refused with a text that holds "{text}"')
def step_refused(context, text):
    found = translation.configuration_of(StoredObject("main", 3, context.document, None))
    assert isinstance(found, str) and text in found, found


@then(
    'the load header "{value}" gives running {running}, waiting {waiting:d} and pace {slowdown:f}'
)
def step_load(context, value, running, waiting, slowdown):
    found = ResponseMetadata()
    read_load(found, value.encode())
    wanted = None if running == "none" else int(running)
    assert (found.running, found.waiting, found.slowdown) == (wanted, waiting, slowdown)


@then('the deadline header "{value}" gives {deadline} ms')
def step_deadline(context, value, deadline):
    headers = [(b"host", b"a.example"), (b"x-deadline-ms", value.encode())]
    head = read_request_head(b"GET", b"/", headers, True, PLATFORM_HEADERS)
    if deadline == "no":
        assert head.fault and head.deadline_ms is None, head.deadline_ms
    else:
        assert not head.fault and head.deadline_ms == float(deadline), head.fault


@then("for {cases:d} drawn entries, translation gives a usable instance or none and never fails")
def step_entries(context, cases):
    entry = {"spec": ENTRY_SPEC, "status": ENTRY_STATUS}

    @settings(max_examples=cases)
    @for_all(st.sampled_from(paths_of(entry)), ANY_JSON)
    def rule(path, value):
        document = replaced(entry, path, value)
        document = document if isinstance(document, dict) else {}
        item = StoredObject("i-1", 3, document.get("spec"), document.get("status"))
        found = translation.instance_of(item)
        if isinstance(found, str):
            assert found
        elif found is not None:
            assert translation.is_target_address(found.address), found.address
            assert 0 < found.port < 65_536, found.port
            assert found.slots >= 1 and isinstance(found.service, str)
            assert isinstance(found.started_ms, int) and found.warm_up_s >= 0.0

    rule()


@then(
    "for {cases:d} drawn configurations, translation gives a configuration or a reason and never "
    "fails"
)
def step_configurations(context, cases):
    @settings(max_examples=cases)
    @for_all(st.sampled_from(paths_of(CONFIGURATION)), ANY_JSON)
    def rule(path, value):
        document = replaced(CONFIGURATION, path, value)
        found = translation.configuration_of(StoredObject("main", 3, document, None))
        assert isinstance(found, Configuration | str)

    rule()


@then("for {cases:d} drawn answers of the store, decoding gives objects or a decoding error")
def step_answers(context, cases):
    item = {"metadata": {"name": "i", "revision": 3}, "spec": ENTRY_SPEC, "status": ENTRY_STATUS}
    page = {"items": [item, item], "more_pages": False, "current_rev": 9}
    events = {"events": [{"object": item, "deleted": False}], "current_rev": 9}

    @settings(max_examples=cases)
    @for_all(st.sampled_from(paths_of(page)), st.sampled_from(paths_of(events)), ANY_JSON)
    def rule(page_path, events_path, value):
        for decode, document in (
            (store.decode_page, replaced(page, page_path, value)),
            (store.decode_changes, replaced(events, events_path, value)),
        ):
            try:
                decode(json.dumps(document).encode())
            except msgspec.MsgspecError:
                continue

    rule()


@then("for {cases:d} drawn answer heads, reading marks only the given statuses as not run")
def step_heads(context, cases):
    names = st.sampled_from(
        [b"x-not-executed", b"x-server-load", b"x-attempt-id", b"keep-alive", b"connection"]
    )
    values = st.sampled_from([b"1", b"0", b"", b"3,1,6,100", b"timeout=5", b"timeout=x", b"close"])

    @settings(max_examples=cases)
    @for_all(st.integers(200, 599), st.lists(st.tuples(names, values | st.binary(max_size=6))))
    def rule(status, headers):
        head = read_response_head(status, b"", headers, PLATFORM_HEADERS)
        said = (b"x-not-executed", b"1") in headers and status in NOT_RUN_STATUSES
        assert head.metadata.not_run <= (said or status == 421), headers
        assert head.idle_limit_s >= 0

    rule()
