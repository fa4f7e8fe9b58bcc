"""Steps about settings files."""

import json
import subprocess

from behave import given, then, when

from poplarlane.bench.processes import Launcher, binary_path


@given('entry settings in which "{key}" is {value}')
def step_settings(context, key, value):
    context.launcher = context.resources.enter_context(Launcher())
    host = context.launcher.new_host()
    settings = {
        "name": "entry-1",
        "data_centre": "brasov",
        "listen_address": host,
        "listen_port": 8080,
        "admin_port": 8081,
        "agent_address": host,
        "agent_port": 7402,
    }
    settings[key] = json.loads(value)
    context.path = context.launcher.settings_path("entry-1", settings)


@when("the entry checks the settings")
def step_check(context):
    command = [binary_path("poplarlane-entry"), "--settings", context.path, "--check"]
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=20)


@then("it exits with status {status:d}")
def step_status(context, status):
    assert context.done.returncode == status, context.done


@then('it prints one line that contains "{named}" and "{accepted}"')
def step_line(context, named, accepted):
    lines = context.done.stderr.splitlines()
    assert len(lines) == 1, lines
    assert named in lines[0] and accepted in lines[0], lines
