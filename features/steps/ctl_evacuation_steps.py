"""Steps about evacuations by operators."""

import json
import shlex
import subprocess
import urllib.request

from behave import given, then, when

from features.steps.node_path_steps import STORE_PORT, NodeRig
from poplarlane.bench.processes import Launcher, binary_path

TARGET_PORT = 24_100


@given('a store with {count:d} targets of "reads" in "zone-a"')
def step_store(context, count):
    launcher = context.resources.enter_context(Launcher())
    context.rig = NodeRig(launcher)
    address = context.rig.fleet_address
    targets = {
        f"reads-{number}": {"service": "reads", "address": f"{address}:{TARGET_PORT + number}"}
        for number in range(count)
    }
    settings = {"name": "fleet", "listen_address": address, "listen_port": STORE_PORT}
    launcher.start("poplarlane-standin-signed-fleet", settings | {"targets": targets})
    ctl = {"platform_address": address, "platform_port": 9, "store": f"{address}:{STORE_PORT}"}
    context.ctl_settings = launcher.settings_path("ctl", ctl)


@when('the operator runs "{command}"')
def step_run(context, command):
    words = [binary_path("poplarctl"), *shlex.split(command), "--settings", context.ctl_settings]
    context.result = subprocess.run(words, capture_output=True, text=True, timeout=30, check=False)


@when('the store of poplarctl is down and the operator runs "{command}"')
def step_run_down(context, command):
    context.rig.control(down=True)
    step_run(context, command)
    context.rig.control(down=False)


def evacuations(context):
    """List the evacuations in the store."""
    url = f"http://{context.rig.fleet_address}:{STORE_PORT}/-/objects/evacuations"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return [item["metadata"]["name"] for item in json.load(answer)["items"]]


def check_result(context, status, text):
    """Check the exit status and the output."""
    result = context.result
    assert result.returncode == status, result
    assert text in result.stdout + result.stderr, result
    assert "Traceback" not in result.stderr, result


@then('poplarctl exits with status {status:d}, says "{text}" and the store has no evacuation')
def step_no_evacuation(context, status, text):
    check_result(context, status, text)
    assert evacuations(context) == []


@then(
    'poplarctl exits with status {status:d}, says "{text}" and the store has the evacuation of '
    '"{name}"'
)
def step_evacuation(context, status, text, name):
    check_result(context, status, text)
    assert evacuations(context) == [name]
