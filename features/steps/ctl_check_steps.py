"""Steps for the check of a configuration before it is sent."""

import copy
import hashlib
import io
import json
import os
import re
import subprocess
import tempfile
import time
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from behave import given, then, when
from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from poplarlane.bench.processes import binary_path
from poplarlane.decisions.configuration.checks.contradictions import Capacity
from poplarlane.platform.configuration_check import digests_in, read_configuration
from poplarlane.platform.configuration_in_force import Found, NextPage, NotFound, find_in_page
from poplarlane.platform.json_reading import decode
from poplarlane.platform.key_digests import replace_keys
from poplarlane.programs.ctl.check_command import CheckCommand, all_findings

SECRET = "SECRET"
SOUND = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "route_type": "safe",
            "timeout_s": 1.5,
            "target_latency_s": 0.6,
            "priority": 1,
            "service": "s1",
            "max_attempts": 2,
            "public": False,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path_prefix": "/y/",
            "route_type": "unsafe",
            "timeout_s": 1.2,
            "target_latency_s": 0.8,
            "priority": 1,
            "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "s1",
            "health_path": "/h",
            "max_connections": 9,
            "cold_start_s": 3,
            "cold_per_s": 4,
        },
        {"name": "s2", "health_path": "/h", "max_connections": 9},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "tenants": [
        {
            "name": "c1",
            "api_keys": ["SECRET-1", "SECRET-2"],
            "priority": 1,
            "rate_per_s": 142,
            "burst": 142,
        },
        {"name": "c2", "api_keys": ["SECRET-3"], "rate_per_s": 10, "burst": 10},
    ],
    "base_version": 5,
}
STEP = re.compile(r"\w+")
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.sampled_from(["", "/", "s1", "SECRET-1", "SECRET-x", "\ud800", "é", "x" * 300]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "service", "weight", "SECRET-2"]), inner),
    max_leaves=5,
)


def steps_of(path):
    """Split a JSON path into names and indices."""
    return [int(step) if step.isdigit() else step for step in STEP.findall(path)]


def changed(document, path, text):
    """Set the value at a path, or remove it if the text is `absent`."""
    *outer, last = steps_of(path)
    for step in outer:
        document = document[step]
    if text == "absent":
        del document[last]
    else:
        document[last] = json.loads(text)


def check(context, capacity=None):
    """Check the scenario's document as the command does; no finding may show a key."""
    # json writes a number out of range as Infinity, which is no JSON.
    text = json.dumps(getattr(context, "document", SOUND)).replace("Infinity", "1e999")
    document = decode(text.encode())
    in_force = getattr(context, "in_force", None)
    read = read_configuration(document)
    found = all_findings(read, capacity, read_configuration(in_force) if in_force else None)
    assert SECRET not in str(found), found
    return found


@given("a checked configuration in which {path} is {value}")
def step_changed(context, path, value):
    context.document = copy.deepcopy(SOUND)
    changed(context.document, path, value)


@given("also in which {path} is {value}")
def step_changed_too(context, path, value):
    changed(context.document, path, value)


@given("the version in force is the sound configuration")
def step_in_force(context):
    context.in_force = SOUND


@then("the configuration has no findings")
def step_clean(context):
    found = check(context)
    assert not found, found


@then('the check finds {_article:w} {severity} at {path} that says "{text}"')
def step_finds(context, _article, severity, path, text):
    for number in (1, 9):
        digest = hashlib.sha256(f"SECRET-{number}".encode()).hexdigest()[:12]
        text = text.replace(f"DIGEST-{number}", digest)
    found = check(context)
    assert any(
        (item.severity, item.path) == (severity, path) and text in item.text for item in found
    ), found


@then("the check finds {errors:d} errors and {warnings:d} warnings")
def step_counts(context, errors, warnings):
    severities = [item.severity for item in check(context)]
    counts = severities.count("error"), severities.count("warning")
    assert counts == (errors, warnings), check(context)


@then('no finding says "{text}"')
def step_says_not(context, text):
    found = check(context)
    assert found and not any(text in item.text for item in found), found


@then("with {slots:d} slots of {time_ms:d} ms the check finds {count:d} warnings")
def step_capacity(context, slots, time_ms, count):
    found = check(context, Capacity(slots, time_ms / 1000))
    assert [item.severity for item in found] == ["warning"] * count, found


@then("a key of 256 bytes is valid and one of 257 is an error")
def step_key_length(context):
    context.document = copy.deepcopy(SOUND)
    context.document["tenants"][0]["api_keys"][0] = "k" * 256
    step_clean(context)
    context.document["tenants"][0]["api_keys"][0] = "k" * 257
    path = "tenants[0].api_keys[0]"
    assert [item.path for item in check(context)] == [path], check(context)


def stored(spec, name="main", has_more=False):
    """Encode a page of the store."""
    item = {"metadata": {"name": name, "revision": 3}, "spec": spec}
    return json.dumps({"current_rev": 3, "items": [item], "more_pages": has_more}).encode()


@then('a response {response} of the store gives "{result}"')
def step_response(context, response, result):
    status, body = {
        "with the configuration": (200, stored(SOUND)),
        "without configuration": (200, stored({}, "other")),
        "with an unreadable one": (200, stored({"version": "\ud800"})),
        "of random bytes": (200, b"\xff\x00{"),
        "with status 503": (503, stored(SOUND)),
        "that ends before it": (200, stored({}, "b", True)),
        "that does not get on": (200, stored({}, "a", True)),
        "that is past it": (200, stored({}, "n", True)),
    }[response]
    # The store's pages are decoded with digests in the place of keys, which the check knows.
    sound = replace_keys(SOUND)
    assert digests_in(sound["tenants"]) == digests_in(SOUND["tenants"])
    wanted = {"the sound configuration": Found(sound), "the next page after b": NextPage("b")}
    found = find_in_page("a", status, body)
    assert found == wanted.get(result, NotFound(result)), found


def places(value, path=()):
    """List the paths of all values inside a value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for step, inner in items:
        found.append((*path, step))
        if isinstance(inner, dict | list):
            found += places(inner, (*path, step))
    return found


PLACES = places(SOUND)
CHANGES = st.lists(st.tuples(st.sampled_from(PLACES), VALUES), min_size=1, max_size=3)


def replaced(changes):
    """Return the sound configuration with other values at some places that still exist."""
    document = {"root": copy.deepcopy(SOUND)}
    for place, value in changes:
        holder = document["root"]
        for step in place[:-1]:
            try:
                holder = holder[step]
            except (KeyError, IndexError, TypeError):
                break
        if isinstance(holder, dict) or isinstance(holder, list) and place[-1] in range(len(holder)):
            holder[place[-1]] = value
    return document["root"]


@then("any changed configuration gives findings without a key")
def step_any(context):
    @settings(max_examples=150)
    @for_all(CHANGES, CHANGES)
    def holds(changes, changes_in_force):
        read = read_configuration(replaced(changes))
        in_force = read_configuration(replaced(changes_in_force))
        found = all_findings(read, Capacity(1, 1.0), in_force)
        # Keys may stand where a name of a route or a service is expected.
        shown = [item for item in found if item.path.startswith("tenants")]
        assert SECRET not in str(shown), shown
        # Raises if a finding cannot be printed.
        "".join(item.path + item.text for item in found).encode()

    holds()


def missing_host():
    document = copy.deepcopy(SOUND)
    del document["routes"][0]["host"]
    return json.dumps(document).encode()


def control_characters():
    document = copy.deepcopy(SOUND)
    document["routes"][0]["service"] = "\x1b[2J\ud800"
    return json.dumps(document).encode()


def nested(levels):
    """Encode lists inside each other, whose innermost value is on that level."""
    return b'{"version":%s%s}' % (b"[" * levels, b"]" * levels)


CONTENTS = {
    "the sound configuration": lambda: json.dumps(SOUND).encode(),
    "a missing host": missing_host,
    "names given twice": lambda: json.dumps(SOUND)
    .replace(
        '"name": "c1"', '"name": "c1", "n[SECRET": 1, "n[SECRET": {"a.SECRET": 1e999}, "name": "c1"'
    )
    .encode(),
    "99 levels": lambda: nested(99),
    "100 levels": lambda: nested(100),
    "an array": lambda: b"[]",
    "control characters": control_characters,
    "random bytes": lambda: b"\xff" + os.urandom(1000),
    "10 MB": lambda: b'{"SECRET":"%s"}' % (b"x" * 10_000_000),
    "100000 levels": lambda: b"[" * 100_000 + b"]" * 100_000,
    "a number of 5000 digits": lambda: b'{"version":%s}' % (b"9" * 5000),
    "NaN": lambda: b'{"version":NaN}',
    "nothing": lambda: b"",
}


@given("a file to check with {content}")
def step_file(context, content):
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(directory) / "configuration.json"
    context.path.write_bytes(CONTENTS[content]())


@when('poplarctl check reads it with "{options}"')
def step_run(context, options):
    words = [str(context.path) if word == "FILE" else word for word in options.split()]
    arguments = ["poplarctl", "check", str(context.path), *words]
    application = Application("poplarctl")
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.add(CheckCommand())
    printed = io.TextIOWrapper(io.BytesIO(), encoding="ascii")
    with redirect_stdout(printed), redirect_stderr(printed):
        context.status = application.run(ArgvInput(arguments))
    printed.seek(0)
    context.output = printed.read()


@when("the installed program reads it")
def step_run_program(context):
    command = [binary_path("poplarctl"), "check", str(context.path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    context.status, context.output = done.returncode, done.stdout + done.stderr


@when('poplarctl check reads it with ""')
def step_run_plain(context):
    step_run(context, "")


@then('the check ends with status {status:d} and says "{text}"')
def step_says(context, status, text):
    assert context.status == status and text in context.output, (context.status, context.output)
    assert SECRET not in context.output and "Traceback" not in context.output, context.output


def time_of(count):
    """Return the shortest processor time of three checks of many routes inside each other."""
    route = {"host": "a.example", "route_type": "safe", "service": "s1"}
    routes = [
        {**route, "name": f"r-{index}", "path_prefix": f"/{'x/' * (index % 50)}{index}/"}
        for index in range(count)
    ]
    document = {**SOUND, "routes": routes}
    times = []
    for _ in range(3):
        started = time.process_time()
        all_findings(read_configuration(document))
        times.append(time.process_time() - started)
    return min(times)


@then("{factor:d} times as many nested routes take less than {bound:d} times as long")
def step_proportion(context, factor, bound):
    few, many = time_of(500), time_of(500 * factor)
    assert many < bound * few, (few, many)
