"""Steps about operators' changes."""

import json

from behave import given, then, when

from features.ctl_world import (
    PLATFORM_PORT,
    PROXY_ADMIN_PORT,
    PROXY_PORT,
    SERVICE,
    World,
    finish,
    service_document,
    wait_until,
)
from poplarlane.bench.processes import Launcher
from poplarlane.bench.standin_client import call
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import MAX_VALUE_BYTES, encode_service

# Long enough for a change to be made while reads still show what was before it.
STALE_READS_MS = 2_000


@given("a platform with the service of the operators")
def step_world(context):
    context.launcher = context.resources.enter_context(Launcher())
    context.world = World(context.launcher)
    context.initial = service_document()
    context.world.put("services", context.initial)
    context.world.put("service-copies", context.initial)


@when("{count:d} operators set different labels of the same target at once")
def step_race_different(context, count):
    started = [
        context.world.start(
            "set-label", SERVICE, "t1", f"key{number}=v", "--operator", f"o{number}"
        )
        for number in range(count)
    ]
    context.results = [finish(process) for process in started]


@then("every operator exits with status 0")
def step_all_done(context):
    assert [result.returncode for result in context.results] == [0] * len(context.results), [
        result.stderr for result in context.results
    ]


@then("all {count:d} labels are stored, each by a change of its own in consecutive revisions")
def step_all_stored(context, count):
    stored = context.world.stored()
    labels = stored["targets"]["t1"]["labels"]
    assert all(labels.get(f"key{number}") == "v" for number in range(count)), labels
    changes = stored["changes"]
    assert [change["revision"] for change in changes] == list(range(2, 2 + count)), changes
    assert len({change["change_id"] for change in changes}) == count, changes


@then("the copy equals the stored service")
def step_copy(context):
    assert context.world.stored("service-copies") == context.world.stored()


@when("{count:d} operators set the same label from the same expected value at once")
def step_race_same(context, count):
    started = [
        context.world.start(
            "set-label", SERVICE, "t1", f"role=r{number}", "--expect", "serving", "--output", "json"
        )
        for number in range(count)
    ]
    context.results = [finish(process) for process in started]


@then("one operator exits with status 0 and {count:d} with status 3")
def step_one_wins(context, count):
    statuses = sorted(result.returncode for result in context.results)
    assert statuses == [0] + [3] * count, [result.stdout for result in context.results]


@then("every conflict names the winner's value")
def step_conflicts(context):
    winner = context.world.stored()["targets"]["t1"]["labels"]["role"]
    for result in context.results:
        document = json.loads(result.stdout)
        if result.returncode == 3:
            assert document["current"] == winner, document
            assert winner in document["reason"], document


@given("the platform loses the answers to the next {count:d} writes")
def step_lose(context, count):
    context.world.faults(lose_answers=count)


@given("the platform is in an outage")
def step_outage(context):
    context.world.faults(outage=True)


@given("a proxy before the platform that resets the answer to the next write")
def step_proxy(context):
    host = context.launcher.new_host()
    settings = {
        "name": "proxy-1",
        "admin_address": host,
        "admin_port": PROXY_ADMIN_PORT,
        "routes": [
            {
                "name": "platform",
                "listen_address": host,
                "listen_port": PROXY_PORT,
                "upstream_address": context.world.address,
                "upstream_port": PLATFORM_PORT,
            }
        ],
    }
    context.launcher.start("poplarlane-standin-proxy", settings)
    context.proxy = host
    context.behind = context.world.settings_file("behind", host, PROXY_PORT, timeout_ms=10_000)
    context.writes_before = context.world.calls()["writes"]
    set_reset(context, 1.0)


def set_reset(context, share):
    path, faults = "/routes/platform", {"reset_share": share}
    assert call(context.proxy, PROXY_ADMIN_PORT, "POST", path, faults).status == 200


@when('an operator behind the proxy sets label "{key}" of "{target}" to "{value}"')
def step_behind(context, key, target, value):
    # Reads are reset too, so the proxy lets answers pass until the write was counted.
    set_reset(context, 0.0)
    context.world.faults(delay_ms=300)
    words = ("set-label", SERVICE, target, f"{key}={value}")
    process = context.world.start(*words, settings=context.behind)
    wait_until(
        lambda: context.world.calls()["writes"] > context.writes_before, "a write at the platform"
    )
    set_reset(context, 1.0)
    resets = context.world_resets = proxy_resets(context)
    wait_until(lambda: proxy_resets(context) > resets, "a reset of the answer")
    set_reset(context, 0.0)
    context.world.faults(delay_ms=0)
    context.result = finish(process)


def proxy_resets(context):
    answer = call(context.proxy, PROXY_ADMIN_PORT, "GET", "/routes/platform")
    return answer.json()["counts"]["resets"]


@when('an operator sets label "{key}" of "{target}" to "{value}"')
def step_set(context, key, target, value):
    context.result = context.world.run("set-label", SERVICE, target, f"{key}={value}")


@when('an operator expecting "{old}" sets label "{key}" of "{target}" to "{value}"')
def step_set_expecting(context, old, key, target, value):
    words = ("set-label", SERVICE, target, f"{key}={value}", "--expect", old)
    context.result = context.world.run(*words)


@when('an operator with {patience:d} ms of patience sets label "{key}" of "{target}" to "{value}"')
def step_set_patience(context, patience, key, target, value):
    world = context.world
    path = world.settings_file("short", world.address, PLATFORM_PORT, timeout_ms=patience)
    context.result = world.run("set-label", SERVICE, target, f"{key}={value}", settings=path)


@when('an operator starts to set label "{key}" of "{target}" to "{value}"')
def step_start(context, key, target, value):
    context.started = context.world.start("set-label", SERVICE, target, f"{key}={value}")


@when("the platform has refused the operator and the outage ends")
def step_outage_ends(context):
    def refused():
        return context.world.calls()["by_caller"].get("poplarctl", 0) >= 2

    wait_until(refused, "a call of poplarctl")
    context.world.faults(outage=False)


@then("the operator exits with status {status:d}")
def step_status(context, status):
    assert context.result.returncode == status, context.result


@then("the started operator exits with status {status:d}")
def step_started_status(context, status):
    context.result = finish(context.started)
    assert context.result.returncode == status, context.result


@then('the operator is told "{text}"')
def step_told(context, text):
    assert text in context.result.stdout + context.result.stderr, context.result


@then("the stored service has revision {revision:d} and the label once in its history")
def step_once(context, revision):
    stored = context.world.stored()
    assert stored["revision"] == revision, stored
    assert stored["targets"]["t1"]["labels"]["role"] == "resting", stored
    assert len(stored["changes"]) == 1, stored["changes"]


@then("the stored service has revision {revision:d} after the outage")
def step_after_outage(context, revision):
    context.world.faults(outage=False)
    assert context.world.stored()["revision"] == revision


@then("the operator exits with status 0 or is told that the outcome is unknown with status 5")
def step_unknown(context):
    text = context.result.stdout + context.result.stderr
    unknown = context.result.returncode == 5 and "may have taken effect" in text
    assert context.result.returncode == 0 or unknown, context.result


@then("the stored service holds the change at most once")
def step_at_most_once(context):
    stored = context.world.stored()
    assert stored["revision"] - 1 == len(stored.get("changes", [])) <= 1, stored


@given('the label "{key}" of "{target}" was changed to "{value}"')
def step_was_changed(context, key, target, value):
    result = context.world.run("set-label", SERVICE, target, f"{key}={value}")
    assert result.returncode == 0, result


@given('"{key}={value}" was set on "{target}" and the platform answers reads of before that')
def step_changed_stale(context, key, value, target):
    context.world.faults(stale_reads_ms=STALE_READS_MS)
    path = f"/v1/objects/services/{SERVICE}"
    wait_until(lambda: context.world.call("GET", path).status == 200, "the initial object")
    step_was_changed(context, key, target, value)
    assert context.world.stored()["revision"] == 1


@given('"{key}={value}" was set on "{target}" and the platform answers that there is no service')
def step_changed_absent(context, key, value, target):
    step_was_changed(context, key, target, value)
    context.world.faults(stale_reads_ms=60_000)


@then('the labels "{first}" and "{second}" of "{target}" are stored in revision {revision:d}')
def step_labels(context, first, second, target, revision):
    context.world.faults(stale_reads_ms=0)
    stored = context.world.stored()
    expected = dict(pair.split("=") for pair in (first, second))
    labels = stored["targets"][target]["labels"]
    assert expected.items() <= labels.items(), labels
    assert stored["revision"] == revision, stored


@given("another writer wrote revision 2 of the service but not its copy")
def step_half(context):
    change = {"revision": 2, "change_id": "half", "operator": "dan", "at": "", "summary": "half"}
    document = context.initial | {"revision": 2, "change_id": "half", "changes": [change]}
    context.since = context.world.put("services", document)


@then("the copy was written with revision 2 and then with revision 3")
def step_copy_repaired(context):
    written = context.world.written("service-copies", context.since)
    assert [change["value"]["revision"] for change in written] == [2, 3], written


@given("another tool wrote over the service with {what}")
def step_bad(context, what):
    stored = context.world.stored()
    bodies = {
        "text that is not JSON": b'{"service": "avail',
        "an unknown field": stored | {"colour": "red"},
        "an older revision": context.initial,
        "the initial object": context.initial,
        "the same revision, other content": stored | {"policy": "random"},
        "the name of another service": stored | {"service": "bookings"},
    }
    context.world.put("services", bodies[what])


@given("another tool wrote over the service and its copy with an unknown field")
def step_bad_both(context):
    for kind in ("services", "service-copies"):
        context.world.put(kind, context.initial | {"colour": "red"})


@when("an operator asks for the service")
def step_get(context):
    context.result = context.world.run("get", SERVICE)


@then("an operator who applies a file gets status 4, and status 0 with --replace-bad")
def step_replace_bad(context):
    path = context.launcher.settings_path("service", context.initial)
    assert context.world.run("apply", path).returncode == 4
    result = context.world.run("apply", path, "--replace-bad")
    assert result.returncode == 0, result
    assert context.world.stored()["hosts"] == context.initial["hosts"]


@when('an operator runs "{command}" with --dry-run')
def step_dry_run(context, command):
    context.writes_before = context.world.calls()["writes"]
    context.result = context.world.run(*command.split(), "--dry-run")


@then("the platform has counted no further write")
def step_no_write(context):
    assert context.world.calls()["writes"] == context.writes_before


@when("an operator applies the initial file")
def step_apply_initial(context):
    path = context.launcher.settings_path("service", context.initial)
    context.result = context.world.run("apply", path)


@then("the stored service has revision {revision:d} when reads are current again")
def step_current(context, revision):
    context.world.faults(stale_reads_ms=0)
    assert context.world.stored()["revision"] == revision


@when("an operator sets a selector of {length:d} characters")
def step_long_selector(context, length):
    text = ",".join(f"key{number}=value" for number in range(length // 10))
    words = ("set-selector", SERVICE, "long", "--callers", text, "--targets", "")
    context.result = context.world.run(*words)


@when('an operator with a line break in the name sets label "{key}" of "{target}" to "{value}"')
def step_bad_operator(context, key, target, value):
    words = ("set-label", SERVICE, target, f"{key}={value}", "--operator", "a\nb")
    context.result = context.world.run(*words)


@when("an operator applies a file so large that only its history exceeds 1 MB")
def step_too_large(context):
    document = context.initial | {"revision": 0}
    encoded = encode_service(check_service(json.dumps(context.initial).encode(), SERVICE))
    host = '"h00000.example",'
    count = (MAX_VALUE_BYTES - len(encoded)) // len(host)
    hosts = [f"h{number:05d}.example" for number in range(count)]
    path = context.launcher.settings_path("large", document | {"hosts": hosts})
    context.result = context.world.run("apply", path)


@then("the stored service and its copy are valid")
def step_valid(context):
    for kind in ("services", "service-copies"):
        stored = context.world.stored(kind)
        checked = check_service(json.dumps(stored).encode(), SERVICE)
        assert not isinstance(checked, list), checked
