"""Steps about settings files."""

import json
import subprocess

from behave import given, then, when

from poplarlane.bench.processes import Launcher, binary_path
from poplarlane.settings import EntrySettings, seeded_generator


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


def entry_settings(number):
    """Build the settings of one of several entries."""
    return EntrySettings(
        name=f"entry-{number}",
        data_centre="brasov",
        listen_address="127.0.0.1",
        listen_port=8080,
        admin_port=8081,
        agent_address="127.0.0.1",
        agent_port=7402,
    )


@given("settings of {count:d} entries that share seed 0")
def step_shared_seed(context, count):
    context.entries = [entry_settings(number) for number in range(count)]


@when("each of them draws its first number")
def step_draw(context):
    context.random_values = [seeded_generator(each).getrandbits(64) for each in context.entries]


@then("{count:d} different numbers were drawn")
def step_different(context, count):
    assert len(set(context.random_values)) == count, context.random_values


@then("an entry of the same name and seed draws the same number again")
def step_repeatable(context):
    again = seeded_generator(entry_settings(3)).getrandbits(64)
    assert again == context.random_values[3], (again, context.random_values[3])
