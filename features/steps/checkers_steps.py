"""Steps about the checkers of the bench."""

import json
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from poplarlane.bench.aims import check_aims
from poplarlane.bench.bound import central_queue_latencies
from poplarlane.bench.checks import windows_over_budget
from poplarlane.bench.experiment import Aim
from poplarlane.bench.processes import binary_path

LAYOUT = {
    "firm": "small",
    "data_centres": ["brasov"],
    "delay_ms": 0.0,
    "entries": 2,
    "services": [
        {
            "service": "bookings",
            "targets": 2,
            "service_ms": 20.0,
            "kinds": [
                {
                    "name": "book-slot",
                    "method": "POST",
                    "path": "/bookings",
                    "share": 1.0,
                    "callers": "kind=phone",
                }
            ],
        }
    ],
}


@given('a small experiment with a pass-through that is broken by "{broken}"')
def step_experiment(context, broken):
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.directory = Path(directory)
    stops = [{"at_ms": 500, "do": "stop_entry", "index": 0}]
    write_experiment(context, broken, {"fault": "stop", "duration_ms": 1500, "actions": stops})


@given('a small experiment with a pass-through in which a target leaves by "{signal}"')
def step_leaving_experiment(context, signal):
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.directory = Path(directory)
    body = {"signal": signal, "duration_ms": 1000}
    leave = {"at_ms": 500, "do": "leave_target", "index": 0, "body": body}
    phase = {"fault": "leaving", "duration_ms": 2500, "actions": [leave]}
    write_experiment(context, "", phase, max_leaving_s=0.5)


@then('it names the signal "{signal}" and its last line gives more than 0.5 s for it')
def step_late_requests(context, signal):
    line = context.done.stdout.splitlines()[-1]
    values = dict(word.split("=") for word in line.split())
    assert float(values[f"leaving_{signal}_max_s"]) > 0.5, line
    assert f"failed: signal {signal}: a new request after" in context.done.stdout, context.done


@then("of p99 ratios 0.5 and 0.7 an aim of 0.6 is missed by the second only")
def step_aim(context):
    aim = Aim(fault="f", policy="new", over="old", at_most=0.6)
    rows = [
        {"firm": "x", "service": service, "fault": "f", "policy": policy, "p99_ms": p99_ms}
        for service, policy, p99_ms in (
            ("first", "new", 5.0),
            ("first", "old", 10.0),
            ("second", "new", 7.0),
            ("second", "old", 10.0),
        )
    ]
    missed = check_aims([aim], rows)
    assert len(missed) == 1 and "x second" in missed[0], missed


@then("an aim about a policy that did not run is missed")
def step_aim_not_measured(context):
    missed = check_aims([Aim(fault="f", policy="new", over="bound", at_most=1.3)], [])
    assert missed == ["new over bound, f: not measured"], missed


def write_experiment(context, broken, phase, **options):
    """Write an experiment with one pass-through, and its layout."""
    experiment = {
        "name": "broken",
        "layouts": ["layout.json"],
        "seeds": [1],
        "load": 0.4,
        "workers": 1,
        "warm_up_ms": 200,
        "strict_cuts": True,
        "variants": [
            {"name": "broken", "passthrough": True, "settings": {"broken": broken}},
        ],
        "phases": [phase],
        **options,
    }
    (context.directory / "layout.json").write_text(json.dumps(LAYOUT))
    (context.directory / "experiment.json").write_text(json.dumps(experiment))


@given('a small experiment with a pass-through that is broken by ""')
def step_sound_experiment(context):
    step_experiment(context, "")


@when("the bench runs it with seed {seed:d}")
def step_run(context, seed):
    command = [binary_path("poplarlane-bench"), "run", str(context.directory / "experiment.json")]
    command += ["--out", str(context.directory / "out"), "--seed", str(seed)]
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=60)


@then("the bench exits with status {status:d}")
def step_bench_status(context, status):
    assert context.done.returncode == status, context.done


@then('in its last line exactly the counters "{counters}" are above 0')
def step_counters(context, counters):
    line = context.done.stdout.splitlines()[-1]
    values = {name: int(value) for name, value in (word.split("=") for word in line.split())}
    assert values.pop("requests") > 100, line
    assert [name for name, value in values.items() if value] == counters.split(), line
    rows = json.loads((context.directory / "out" / "results.json").read_text())["rows"]
    assert rows[0]["requests"] > 100 and rows[0]["p99_ms"] > 0, rows


@then('in its last line exactly the counters "" are above 0')
def step_no_counters(context):
    step_counters(context, "")


@then(
    "{count:d} probes within one second are {windows} window over a budget of {rate:d} per second"
)
def step_windows(context, count, windows, rate):
    times = [number * 0.4 for number in range(count)]
    assert windows_over_budget(times, rate) == (0 if windows == "no" else int(windows))


@then("arrivals at 0, 0, 0.5 with 1 s each on 1 slot take 1, 2 and 2.5 s")
def step_one_slot(context):
    assert central_queue_latencies([0.0, 0.0, 0.5], [1.0] * 3, 1) == [1.0, 2.0, 2.5]


@then("the same on 3 slots take 1 s each")
def step_three_slots(context):
    assert central_queue_latencies([0.0, 0.0, 0.5], [1.0] * 3, 3) == [1.0, 1.0, 1.0]
