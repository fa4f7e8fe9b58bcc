"""Steps about exit statuses and output of poplarctl."""

import json
import shlex
from pathlib import Path

import msgspec
from behave import given, then, when

from features.ctl_world import SERVICE
from poplarlane.programs.ctl.main import COMMANDS
from poplarlane.programs.ctl.reports import EXIT_STATUSES
from poplarlane.settings import AgentSettings, CtlSettings, EntrySettings, NodeSettings

UNUSED_PORT = 21399
OPERATIONS_PAGE = Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"


@when('an operator runs poplarctl "{command}"')
def step_run(context, command):
    context.result = context.world.run(*shlex.split(command))


@when("an operator of a platform that is not there sets a label")
def step_unreachable(context):
    world = context.world
    path = world.settings_file("gone", world.address, UNUSED_PORT, timeout_ms=300)
    context.result = world.run("set-label", SERVICE, "t1", "role=x", settings=path)


@then('the operator is told "{text}" in one line without a traceback')
def step_one_line(context, text):
    result = context.result
    assert result.stdout == "" and len(result.stderr.splitlines()) == 1, result
    assert text in result.stderr, result


@then('the output is one JSON document with code {code:d} and field "{field}"')
def step_json(context, code, field):
    document = json.loads(context.result.stdout)
    assert document["code"] == code and field in document, document


def save(context, document):
    context.file = context.launcher.settings_path("edited", document)


@given('an operator saved the service and changed the policy to "{policy}" in the file')
def step_save(context, policy):
    shown = context.world.run_json("get", SERVICE)
    shown["object"]["policy"] = policy
    context.document = shown
    save(context, shown)


@then('diff shows only "{field}" as different')
def step_diff(context, field):
    shown = context.world.run_json("diff", context.file)
    assert [change["field"] for change in shown["changes"]] == [field], shown


@then('apply of the file exits with status {status:d} and stores the policy "{policy}"')
def step_apply(context, status, policy):
    assert context.world.run("apply", context.file).returncode == status
    assert context.world.stored()["policy"] == policy


@then('history shows the operator "{operator}" and "{summary}"')
def step_history(context, operator, summary):
    (change,) = context.world.run_json("history", SERVICE)["changes"]
    assert change["operator"] == operator and change["summary"] == summary, change


@then("apply of the same file again exits with status {status:d} because its revision is old")
def step_apply_old(context, status):
    result = context.world.run("apply", context.file)
    assert result.returncode == status and "revision" in result.stderr, result


@then('apply of the file with a wrong port exits with status {status:d} and names "{field}"')
def step_apply_wrong(context, status, field):
    context.document["object"]["targets"]["t1"]["port"] = 0
    save(context, context.document)
    result = context.world.run("apply", context.file)
    assert result.returncode == status and field in result.stderr, result


@given("the service has selectors for kiosks and for desks in Brasov")
def step_selectors(context):
    world = context.world
    selectors = {
        "everyone": ("kind=kiosk", "role=serving"),
        "desks": ("kind=desk,site=brasov", ""),
    }
    for name, (callers, targets) in selectors.items():
        words = ("set-selector", SERVICE, name, "--callers", callers, "--targets", targets)
        result = world.run(*words)
        assert result.returncode == 0, result
    assert world.run("set-label", SERVICE, "t2", "role=resting").returncode == 0


@then('explain for "{caller}" allows "{allowed}" and denies "{denied}"')
def step_explain(context, caller, allowed, denied):
    context.result = context.world.run("explain", SERVICE, "--caller", caller)
    verdicts = [line for line in context.result.stdout.splitlines() if line.startswith("target")]
    assert any(allowed in line and line.endswith("allowed") for line in verdicts), verdicts
    assert any(denied in line and line.endswith("denied") for line in verdicts), verdicts


@then('explain says that "{text}"')
def step_explain_says(context, text):
    assert text in context.result.stdout, context.result.stdout


def documented_keys(kind, prefix=""):
    """List (key, default as written in the page) of a settings struct."""
    for field in msgspec.structs.fields(kind):
        key = prefix + field.name
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from documented_keys(field.type, f"{key}.")
        elif field.required:
            yield key, "required"
        elif field.default is not msgspec.NODEFAULT:
            default = json.dumps(field.default)
            shown = field.default if field.name == "log_level" else default
            yield key, f"`{shown}`"


@then("docs/OPERATIONS.md names every key of the daemons' settings with its default")
def step_documented_settings(context):
    page = OPERATIONS_PAGE.read_text()
    for kind in (EntrySettings, AgentSettings, NodeSettings, CtlSettings):
        for key, default in documented_keys(kind):
            rows = [line for line in page.splitlines() if line.startswith(f"| `{key}` |")]
            assert rows and any(f"| {default} |" in row for row in rows), (kind, key, default)


@then("docs/OPERATIONS.md names every command, exit status and result code of poplarctl")
def step_documented_commands(context):
    page = OPERATIONS_PAGE.read_text()
    assert all(f"| `{command.name}" in page for command in COMMANDS)
    for code, status in EXIT_STATUSES.items():
        assert f"| {int(code)} | `{code.name.lower()}` | {int(status)} |" in page, code
