"""Steps about experiment files and slopes."""

import json
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from poplarlane.bench.control_fleet import ControlExperiment
from poplarlane.bench.experiment import InvalidExperiment, decode, load_experiment
from poplarlane.bench.main import is_control_experiment
from poplarlane.bench.processes import binary_path
from poplarlane.bench.slopes import Slope

EXPERIMENTS = Path(__file__).resolve().parents[2] / "experiments"
SLOPE_NAME = "entry-memory-by-targets"


def run_bench(context, *words):
    """Run poplarlane-bench and keep what it printed."""
    context.directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    command = [binary_path("poplarlane-bench"), *words, "--out", context.directory]
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=120)


@when("the bench loads every file of experiments/")
def step_load(context):
    context.loaded, context.refused = 0, []
    for path in sorted(EXPERIMENTS.glob("*.json")):
        try:
            if is_control_experiment(str(path)):
                decode(path, ControlExperiment)
            else:
                load_experiment(str(path))
            context.loaded += 1
        except InvalidExperiment as error:
            context.refused.append(str(error))


@then("no file is refused and at least {least:d} were loaded")
def step_loaded(context, least):
    assert not context.refused, context.refused
    assert context.loaded >= least, context.loaded


@given('an experiment file with the unknown key "{key}"')
def step_unknown_key(context, key):
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(directory) / "experiment.json"
    context.path.write_text(json.dumps({"name": "x", "control": "cost", key: 3}))


@when("poplarlane-bench runs that file")
def step_run(context):
    run_bench(context, "run", str(context.path))


@then('the bench exits with status 2 and names "{key}"')
def step_named(context, key):
    assert context.done.returncode == 2, context.done
    assert f"`{key}`" in context.done.stderr, context.done


@then("a slope of 3 points is refused")
def step_three_points(context):
    try:
        Slope("few", "x", "y", [(0.0, 1.0), (1.0, 2.0), (2.0, 3.0)])
    except ValueError as error:
        assert "needs 4" in str(error)
    else:
        raise AssertionError("a slope of three points was accepted")


@then("the slope of points on the line 2 + 3 x has gradient 3, intercept 2 and residual 0")
def step_line(context):
    slope = Slope("line", "x", "y", [(float(x), 2.0 + 3.0 * x) for x in range(5)])
    found = (slope.gradient, slope.intercept, slope.residual, slope.at(10.0))
    assert all(abs(a - b) < 1e-9 for a, b in zip(found, (3.0, 2.0, 0.0, 32.0), strict=True)), found


@when('poplarlane-bench measures "{name}"')
def step_measure(context, name):
    run_bench(context, "capacity", name)


@then("it prints a line with 4 points, a gradient and a residual")
def step_printed(context):
    fields = dict(word.split("=", 1) for word in context.done.stdout.split() if "=" in word)
    assert fields["slope"] == SLOPE_NAME and len(fields["points"].split(",")) == 4, fields
    assert float(fields["gradient"]) and fields["residual"], fields


@then("it has written the points as JSON and a plot")
def step_written(context):
    written = json.loads((Path(context.directory) / f"{SLOPE_NAME}.json").read_text())
    assert len(written["points"]) == 4, written
    plot = (Path(context.directory) / f"{SLOPE_NAME}.png").read_bytes()
    assert plot.startswith(b"\x89PNG"), plot[:8]
