"""Steps for the report about lost requests."""

import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from poplarlane.bench.processes import binary_path, parse_fields
from poplarlane.programs.ctl.losses import losses


@given("these log lines")
def step_lines(context):
    context.lines = context.text


@then("{total:d} requests are lost, of them")
def step_lost(context, total):
    found = losses(parse_fields(line) for line in context.lines.splitlines())
    wanted = {
        (row["second"], row["route"], row["cause"]): int(row["count"]) for row in context.table
    }
    assert {(*key[:2], str(key[2])): count for key, count in found.items()} == wanted, found
    assert sum(found.values()) == total, found


@when("poplarctl losses reads them as a file")
def step_file(context):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "node.log"
        path.write_text(context.lines)
        run_losses(context, path)


@when("poplarctl losses reads a file that is not there")
def step_no_file(context):
    run_losses(context, Path("missing.log"))


def run_losses(context, path):
    """Run poplarctl losses on a file."""
    command = [binary_path("poplarctl"), "losses", str(path)]
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=30)


@then('it ends with status {status:d} and says "{text}"')
def step_says(context, status, text):
    output = context.done.stdout + context.done.stderr
    assert context.done.returncode == status and text in output, context.done
