"""Steps that run the README's demonstration."""

import subprocess
import sys

from behave import then, when


@when("the demonstration runs")
def step_run(context):
    command = [sys.executable, "-m", "poplarlane.bench.demo"]
    context.demo = subprocess.run(command, capture_output=True, text=True, timeout=120)


@then("the demonstration exits with status {status:d}")
def step_status(context, status):
    assert context.demo.returncode == status, context.demo.stdout + context.demo.stderr


@then('the demonstration prints "{text}"')
def step_prints(context, text):
    assert text in context.demo.stdout, context.demo.stdout


@then("the demonstration stops both entries with exit status 0")
def step_stops(context):
    assert context.demo.stdout.count("stopped with exit status 0") == 2, context.demo.stdout
