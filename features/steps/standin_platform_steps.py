"""Steps about the stand-in platform."""

import base64
import http.client
import json
import time

from behave import given, then

from poplarlane.bench.processes import Launcher
from poplarlane.bench.standin_client import call

PLATFORM_PORT = 21010
KEPT_CHANGES = 5


def platform(context, method, path, document=None, headers=None):
    return call(context.host, PLATFORM_PORT, method, path, document, headers)


def put(context, name, document, **conditions):
    headers = {"x-poplarlane-caller": "test"}
    headers |= {key.replace("_", "-"): value for key, value in conditions.items()}
    return platform(context, "PUT", f"/v1/objects/things/{name}", document, headers)


def get(context, name):
    return platform(context, "GET", f"/v1/objects/things/{name}")


def set_faults(context, **faults):
    answer = platform(context, "POST", "/v1/faults", faults)
    assert answer.status == 200, answer.body


@given("a stand-in platform with {rate:d} writes per second and a VM list lag of {lag:d} ms")
def step_platform(context, rate, lag):
    context.launcher = context.resources.enter_context(Launcher())
    context.host = context.launcher.new_host()
    settings = {
        "name": "platform-1",
        "listen_address": context.host,
        "listen_port": PLATFORM_PORT,
        "writes_per_s": rate,
        "vm_list_lag_ms": lag,
        "kept_changes": KEPT_CHANGES,
    }
    context.process = context.launcher.start("poplarlane-standin-platform", settings)
    context.lag_ms = lag


@then("a conditional update with an old version gets 412 and the current object")
def step_conflict(context):
    first = put(context, "a", {"n": 1}, if_none_match="*").json()["version"]
    second = put(context, "a", {"n": 2}, if_match=str(first))
    assert second.status == 200 and second.json()["version"] > first
    third = put(context, "a", {"n": 3}, if_match=str(first))
    assert third.status == 412 and third.json()["value"] == {"n": 2}, third.body


@then("a create over an existing object gets 412")
def step_create(context):
    assert put(context, "a", {"n": 9}, if_none_match="*").status == 412


@then("a value that is not JSON comes back as raw base64")
def step_raw(context):
    assert put(context, "bad", b'{"half": ').status == 200
    shown = get(context, "bad").json()
    assert base64.b64decode(shown["raw"]) == b'{"half": ' and "value" not in shown


@then("a value over 1 MB gets 413")
def step_too_large(context):
    assert put(context, "large", b'"' + b"a" * 1_000_000 + b'"').status == 413


@then("a watch returns the value of a later change and one forgotten revision gets 410")
def step_watch(context):
    since = platform(context, "GET", "/v1/objects/things").json()["revision"]
    watching = http.client.HTTPConnection(context.host, PLATFORM_PORT, timeout=5)
    watching.request("GET", f"/v1/watch/things?since={since}&wait_ms=4000")
    put(context, "watched", {"n": 5})
    (change,) = json.loads(watching.getresponse().read())["changes"]
    watching.close()
    assert change["value"] == {"n": 5} and change["name"] == "watched", change
    for number in range(KEPT_CHANGES):
        put(context, "watched", {"n": number})
    path = f"/v1/watch/things?since={since}&wait_ms=0"
    assert platform(context, "GET", path).status == 410


@then("80 writes at once are partly refused with 429 and all counted for their caller")
def step_rates(context):
    before = platform(context, "GET", "/v1/calls").json()
    statuses = [put(context, "rate", {"n": number}).status for number in range(80)]
    after = platform(context, "GET", "/v1/calls").json()
    assert 429 in statuses and 200 in statuses, statuses
    assert after["by_caller"]["test"] - before["by_caller"]["test"] == 80
    assert after["refused"] - before["refused"] == statuses.count(429)


def put_when_allowed(context, name, document):
    """Write as soon as the rate allows it."""
    deadline = time.monotonic() + 5
    while (answer := put(context, name, document)).status == 429:
        assert time.monotonic() < deadline
    return answer


@then("a lost answer still takes effect")
def step_lost(context):
    put_when_allowed(context, "lost", {"n": 0})
    set_faults(context, lose_answers=1)
    deadline = time.monotonic() + 5
    while True:
        try:
            answer = put(context, "lost", {"n": 1})
        except (ConnectionError, http.client.HTTPException):
            break
        assert answer.status == 429 and time.monotonic() < deadline, answer.status
    assert get(context, "lost").json()["value"] == {"n": 1}
    put_when_allowed(context, "lost", {"n": 2})


@then("stale reads show the past")
def step_stale(context):
    put_when_allowed(context, "stale", {"n": 1})
    set_faults(context, stale_reads_ms=60_000)
    assert get(context, "stale").status == 404
    assert platform(context, "GET", "/v1/objects/things").json()["items"] == []
    set_faults(context, stale_reads_ms=0)
    assert get(context, "stale").json()["value"] == {"n": 1}


@then("an outage gives 503")
def step_outage(context):
    set_faults(context, outage=True)
    assert get(context, "stale").status == 503
    assert platform(context, "GET", "/v1/vms").status == 503
    set_faults(context, outage=False)
    assert get(context, "stale").status == 200


@then("a registered VM appears only after the lag")
def step_vms(context):
    vm = {"address": "127.0.0.9", "data_centre": "brasov", "role": "entry", "state": "live"}
    # The lag counts from some time within this call, so only a time before it is a sure start.
    registered = time.monotonic()
    platform(context, "PUT", "/v1/vms/vm-1", vm)
    assert platform(context, "GET", "/v1/vms").json()["vms"] == []
    while not (vms := platform(context, "GET", "/v1/vms").json()["vms"]):
        assert time.monotonic() - registered < 5
    assert time.monotonic() - registered >= context.lag_ms / 1000
    assert vms[0]["name"] == "vm-1" and vms[0]["address"] == "127.0.0.9"
