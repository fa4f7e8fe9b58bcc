"""Steps with a real node and the stand-in for the platform's store and targets."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import time
import urllib.request
from pathlib import Path

from behave import given, then, when

from poplarlane.bench.processes import Launcher, Process, binary_path

HOST = "h.example"
STORE_PORT = 24_000
FRONT_PORT = 24_001
READY_PORT = 24_002
ADMIN_PORT = 24_003
TARGET_PORT = 24_100
ANSWER_LIMIT_S = 10.0
POLL_S = 0.02
# A start takes about 0.2 s, of which a poll may miss little.
CONNECT_POLL_S = 0.001
SAFE_ROUTE = {"route_type": "safe", "timeout_s": 4.0, "target_latency_s": 0.5, "max_attempts": 2}
UNSAFE_ROUTE = SAFE_ROUTE | {"route_type": "unsafe"}


class NodeRig:
    """Hold one node and its stand-in."""

    def __init__(self, launcher):
        self.launcher = launcher
        self.node_address = launcher.new_host()
        self.fleet_address = launcher.new_host()
        self.names = {}
        self.node = None

    def configuration(self, version, routes):
        """Build a configuration over both services."""
        services = [
            {"name": name, "health_path": "/healthz", "max_connections": 100}
            for name in ("reads", "books")
        ]
        documents = [
            {"name": f"r{index}", "host": HOST, "path_prefix": prefix, "service": service} | kind
            for index, (prefix, service, kind) in enumerate(routes)
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        return {"version": version, "routes": documents, "services": services, "limits": limits}

    def usual_routes(self, views="reads"):
        """List the routes of the scenarios."""
        return [("/views/", views, SAFE_ROUTE), ("/bookings/", "books", UNSAFE_ROUTE)]

    def start_fleet(self, counts):
        """Start the stand-in."""
        targets = {}
        for service, count in counts.items():
            self.names[service] = [f"{service}-{number}" for number in range(count)]
            for name in self.names[service]:
                port = TARGET_PORT + len(targets)
                targets[name] = {"service": service, "address": f"{self.fleet_address}:{port}"}
        self.start_standin(
            {
                "name": "fleet",
                "listen_address": self.fleet_address,
                "listen_port": STORE_PORT,
                "targets": targets,
                "configuration": self.configuration(5, self.usual_routes()),
            }
        )

    def start_standin(self, settings):
        """Start the process of the stand-in."""
        self.launcher.start("poplarlane-standin-signed-fleet", settings)

    def start(self, counts, ready_event="ready"):
        """Start the stand-in and the node; with None, do not wait for the node."""
        self.start_fleet(counts)
        self.node = self.launcher.start("poplarlane-node", self.node_settings(), ready_event)

    def node_settings(self):
        """Give the settings of the node."""
        return {
            "name": "node-1",
            "log_level": "debug",
            "data_centre": "zone-a",
            "region": "region",
            "front": f"{self.node_address}:{FRONT_PORT}",
            "ready": f"{self.node_address}:{READY_PORT}",
            "ready_path": "/ready",
            "admin_port": ADMIN_PORT,
            "store": f"{self.fleet_address}:{STORE_PORT}",
            "apply_limit_s": 0.75,
            "fleet_size": 1,
            "extra_send_ratio": 0.2,
            "extra_sends": 81,
            "probes_per_target_s": 60,
            "drain_accept_ms": 300,
        }

    def control(self, **switches):
        """Change the stand-in."""
        url = f"http://{self.fleet_address}:{STORE_PORT}/_control"
        data = json.dumps(switches).encode()
        with urllib.request.urlopen(urllib.request.Request(url, data), timeout=5):
            return

    def ledger(self):
        """Read what ran where."""
        url = f"http://{self.fleet_address}:{STORE_PORT}/_ledger"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.load(answer)

    def connect(self):
        """Open a connection to the node."""
        address = (self.node_address, FRONT_PORT)
        caller = socket.create_connection(address, timeout=ANSWER_LIMIT_S)
        caller.settimeout(ANSWER_LIMIT_S)
        return caller

    def send(self, method, path, request_id, caller=None):
        """Send one request and read its answer as (status, headers, body)."""
        caller = caller or self.connect()
        caller.sendall(request_bytes(method, path, request_id))
        with caller:
            return read_answer(caller)


def request_bytes(method, path, request_id, deadline_ms=3500):
    """Write a request; bookings have a body."""
    body = b"x=1" if method == "POST" else b""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
    return f"{head}X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n".encode() + body


def read_answer(caller):
    """Read one answer with a length."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = caller.recv(65_536)
        assert more, f"connection closed after {data!r}"
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
    while len(body) < int(headers.get("content-length", "0")):
        body += caller.recv(65_536)
    return int(lines[0].split()[1]), headers, body


def wait_until(check, what):
    """Wait until a condition holds."""
    deadline = time.monotonic() + ANSWER_LIMIT_S
    while not check():
        assert time.monotonic() < deadline, f"not in time: {what}"
        time.sleep(POLL_S)


@given('a node with {reads:d} targets of the service "reads" and {books:d} of "books"')
def step_node(context, reads, books):
    context.rig = NodeRig(context.resources.enter_context(Launcher()))
    context.rig.start({"reads": reads, "books": books})


def connect_early(rig):
    """Connect to a node that is starting, as soon as its port accepts connections."""
    until = time.monotonic() + ANSWER_LIMIT_S
    while time.monotonic() < until:
        try:
            return rig.connect()
        except ConnectionRefusedError:
            time.sleep(CONNECT_POLL_S)
    raise AssertionError("no connection was accepted")


@when("a caller connects to a node that is just starting and sends a read")
def step_early_caller(context):
    context.rig = NodeRig(context.resources.enter_context(Launcher()))
    context.rig.start({"reads": 1, "books": 1}, ready_event=None)
    caller = connect_early(context.rig)
    context.connected_at = time.time()
    context.answer = context.rig.send("GET", "/views/a", "e1", caller)


@then(
    "the read is answered with status 200, and the connection was older than the node's readiness"
)
def step_early_answer(context):
    assert context.answer[0] == 200, context.answer
    ready_at = context.rig.node.wait_for("ready").logged_at()
    assert context.connected_at < ready_at, (context.connected_at, ready_at)


@when("a caller connects to a node that is just starting and cannot reach its store")
def step_early_without_store(context):
    context.rig = NodeRig(context.resources.enter_context(Launcher()))
    settings = context.rig.node_settings()
    context.rig.node = context.rig.launcher.start("poplarlane-node", settings, None)
    context.caller = connect_early(context.rig)


@then("its connection is reset, and later ones are refused at once")
def step_reset(context):
    with contextlib.suppress(ConnectionResetError):
        assert context.caller.recv(1) == b""
    try:
        context.rig.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError("the node still accepts connections")


@given("targets that work for {work_ms:d} ms")
def step_work(context, work_ms):
    names = [name for found in context.rig.names.values() for name in found]
    context.rig.control(targets={name: {"work_ms": work_ms} for name in names})


@when('a caller sends "{method}" "{path}" with id "{request_id}"')
def step_send(context, method, path, request_id):
    sent_at = time.monotonic()
    context.answer = context.rig.send(method, path, request_id)
    context.took_s = time.monotonic() - sent_at


@given('the route "{prefix}" has a timeout of {timeout_s:f} s')
def step_timeout(context, prefix, timeout_s):
    routes = [
        (found, service, kind | {"timeout_s": timeout_s} if found == prefix else kind)
        for found, service, kind in context.rig.usual_routes()
    ]
    context.rig.control(configuration=context.rig.configuration(7, routes))
    context.rig.node.wait_for("configuration_applied", version="7")


@then("it came between {least:f} and {most:f} s after the request")
def step_took(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@then('the target was told that "{request_id}" has at most {most:d} ms')
def step_told(context, request_id, most):
    told = context.rig.ledger()["deadlines_ms"][request_id]
    assert 0 < int(told) <= most, told


@when("a caller sends {count:d} reads one after the other")
def step_reads(context, count):
    context.read_ids = [f"read-{number}" for number in range(count)]
    context.answers = [context.rig.send("GET", "/views/1", name) for name in context.read_ids]


@when('every target of "{service}" is set to "{mode}"')
def step_mode(context, service, mode):
    names = context.rig.names[service]
    context.rig.control(targets={name: {"mode": mode} for name in names})


@when('the target "{name}" is set to "{mode}"')
def step_target_mode(context, name, mode):
    context.rig.control(targets={name: {"mode": mode}})


@when('the configuration moves "{prefix}" to "{service}" in version {version:d}')
def step_move(context, prefix, service, version):
    routes = [*context.rig.usual_routes(), (prefix, service, SAFE_ROUTE)]
    routes = list({found[0]: found for found in routes}.values())
    context.rig.control(configuration=context.rig.configuration(version, routes))


@when('the store forgets its history and the configuration moves "/views/" to "books" in version 9')
def step_forget(context):
    routes = context.rig.usual_routes("books")
    configuration = context.rig.configuration(9, routes)
    context.rig.control(forget_history=True, configuration=configuration)


@when("the node has applied version {version:d}")
@then("the node applies version {version:d}")
def step_applied(context, version):
    context.rig.node.wait_for("configuration_applied", version=str(version))


@then("the node never applied version {version:d}")
def step_never_applied(context, version):
    found = [line.fields.get("version") for line in context.rig.node.lines]
    assert str(version) not in [
        line.fields.get("version")
        for line in context.rig.node.lines
        if line.fields.get("event") == "configuration_applied"
    ], found


@when('the target "{name}" drains and the node knows it')
def step_drain(context, name):
    context.rig.control(drain=[name])
    context.rig.node.wait_for("instance_changed", instance=name, state="leaving")


@when("the store is down")
def step_down(context):
    context.rig.control(down=True)


@when("the node has noticed that")
def step_noticed(context):
    context.rig.node.wait_for("store_lost")


@when("the store is up again")
def step_up(context):
    context.rig.control(down=False)


@when("the store holds entries with missing fields, wrong types and unknown states")
def step_bad_entries(context):
    good = {"address": "127.0.0.1:9", "info": {"service": "reads", "zone": "a", "slots": 6}}
    status = {"state": "ready", "sequence": 1, "cold_remaining_s": 0}
    entries = {
        "i-none": {"spec": None, "status": None},
        "i-number": {"spec": 7, "status": [1]},
        "i-no-address": {"spec": {"info": good["info"]}, "status": status},
        "i-bad-port": {"spec": good | {"address": "127.0.0.1:http"}, "status": status},
        "i-bad-host": {"spec": good | {"address": "a b:80"}, "status": status},
        "i-slots": {"spec": good | {"info": good["info"] | {"slots": "6"}}, "status": status},
        "i-state": {"spec": good, "status": status | {"state": "asleep"}},
        "i-service": {"spec": good | {"info": good["info"] | {"service": "x"}}, "status": status},
    }
    context.rig.control(entries=entries)
    context.rig.node.wait_for("instance_changed", instance="i-service")


@when("a caller sends a booking and the node is asked to stop while it runs")
def step_stop(context):
    caller = context.resources.enter_context(context.rig.connect())
    caller.sendall(request_bytes("POST", "/bookings/1", "s1"))
    wait_until(lambda: "s1" in context.rig.ledger()["ran"], "the booking runs")
    context.rig.node.terminate()
    context.rig.node.wait_for("draining")
    url = f"http://{context.rig.node_address}:{READY_PORT}/ready"
    try:
        with urllib.request.urlopen(url, timeout=5) as answer:
            context.ready_status = answer.status
    except urllib.error.HTTPError as error:
        context.ready_status = error.code
    context.answer = read_answer(caller)


@when("a caller sends a read and leaves while it runs")
def step_leave(context):
    caller = context.rig.connect()
    caller.sendall(request_bytes("GET", "/views/1", "l1"))
    wait_until(lambda: "l1" in context.rig.ledger()["ran"], "the read runs")
    caller.close()


@when('a caller sends raw bytes "{text}"')
def step_raw(context, text):
    caller = context.resources.enter_context(context.rig.connect())
    caller.sendall(text.encode().decode("unicode_escape").encode("latin-1"))
    try:
        context.raw = caller.recv(65_536)
    except ConnectionResetError:
        context.raw = b""


@given('node settings whose "{key}" is {value}')
def step_settings(context, key, value):
    launcher = context.resources.enter_context(Launcher())
    settings = NodeRig(launcher).node_settings() | {key: json.loads(value)}
    context.path = launcher.settings_path("node", settings)


@when("the node checks them")
def step_check(context):
    command = [binary_path("poplarlane-node"), "--settings", context.path, "--check"]
    context.checked = subprocess.run(command, capture_output=True, text=True, timeout=30)


@then('it ends with status {status:d} and names "{key}"')
def step_checked(context, status, key):
    assert context.checked.returncode == status, context.checked
    assert repr(key) in context.checked.stderr, context.checked.stderr


@then(
    'the answer has status {status:d}, the id "{request_id}" and the signature of a target of '
    '"{service}"'
)
def step_signed(context, status, request_id, service):
    found, headers, body = context.answer
    assert found == status, context.answer
    assert headers["x-attempt-id"] == request_id, headers
    target = headers["x-server-signature"].split(".")[0]
    assert target in context.rig.names[service], headers
    assert json.loads(body)["target"] == target, body


@then("the answer has status {status:d}")
def step_status(context, status):
    assert context.answer[0] == status, context.answer


@then("the answer has status {status:d} and names when to come back")
def step_retry_after(context, status):
    assert context.answer[0] == status, context.answer
    assert float(context.answer[1]["retry-after"]) > 0.0, context.answer


@then("every one of them is answered with status {status:d}")
def step_all(context, status):
    assert [answer[0] for answer in context.answers] == [status] * len(context.answers)


@then("every request ran at most once")
def step_once(context):
    ran = context.rig.ledger()["ran"]
    assert ran and all(len(targets) == 1 for targets in ran.values()), ran


@then('the request "{request_id}" ran on no target')
def step_nowhere(context, request_id):
    assert request_id not in context.rig.ledger()["ran"]


@then('the request "{request_id}" ran {count:d} times')
def step_ran(context, request_id, count):
    assert len(context.rig.ledger()["ran"][request_id]) == count


@then('none of them ran on "{name}"')
def step_not_on(context, name):
    ran = context.rig.ledger()["ran"]
    assert all(name not in ran[found] for found in context.read_ids), ran


@then('the booking is answered with status {status:d} and "connection: close"')
def step_close(context, status):
    assert context.answer[0] == status, context.answer
    assert context.answer[1]["connection"] == "close", context.answer


@then("the node is not ready any more")
def step_unready(context):
    assert context.ready_status == 503, context.ready_status


@then("the node ends with status {status:d}")
def step_ends(context, status):
    assert context.rig.node.exit_status() == status


@then("the target's work is cancelled")
def step_cancelled(context):
    wait_until(lambda: "l1" in context.rig.ledger()["cancelled"], "the work is cancelled")


@then("the node answers with a 4xx or closes the connection")
def step_refused(context):
    assert context.raw == b"" or context.raw.startswith(b"HTTP/1.1 4"), context.raw


@then("nothing ran on any target")
def step_nothing(context):
    assert not context.rig.ledger()["ran"]


@when('the settings file changes to "{key}" {value:d} and the node is told while a booking runs')
def step_reload(context, key, value):
    rig = context.rig
    caller = context.resources.enter_context(rig.connect())
    caller.sendall(request_bytes("POST", "/bookings/1", "h1"))
    wait_until(lambda: "h1" in rig.ledger()["ran"], "the booking runs")
    rig.launcher.settings_path("node-1", rig.node_settings() | {key: value})
    rig.node.signal(signal.SIGHUP)
    context.caller = caller


@then('the node takes "{key}" and the booking is answered with status {status:d}')
def step_taken(context, key, status):
    context.rig.node.wait_for("settings_reloaded", taken=key)
    assert read_answer(context.caller)[0] == status


def open_for_reader(path):
    """Open a pipe for writing, once another process reads it; return the descriptor."""
    until = time.monotonic() + ANSWER_LIMIT_S
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        time.sleep(CONNECT_POLL_S)
    raise AssertionError("nobody reads the pipe")


@given("a stand-in of the platform")
def step_fleet_alone(context):
    context.rig = NodeRig(context.resources.enter_context(Launcher()))
    context.rig.start_fleet({"reads": 1, "books": 1})


@when("a node gets SIGHUP while it reads its settings, which then change to " '"{key}" {value:d}')
def step_early_reload(context, key, value):
    rig = context.rig
    changed = rig.launcher.settings_path("changed", rig.node_settings() | {key: value})
    path = str(Path(changed).with_name("pipe.json"))
    os.mkfifo(path)
    rig.node = Process("node-1", [binary_path("poplarlane-node"), "--settings", path])
    rig.launcher.processes["node-1"] = rig.node
    with os.fdopen(open_for_reader(path), "w") as pipe:
        rig.node.signal(signal.SIGHUP)
        os.replace(changed, path)
        json.dump(rig.node_settings(), pipe)


@then('the node takes "{key}" and becomes ready')
def step_ready_with(context, key):
    context.rig.node.wait_for("settings_reloaded", taken=key)
    context.rig.node.wait_for("ready")


@when("the settings file becomes wrong without a signal")
def step_wrong_file(context):
    context.rig.launcher.settings_path("node-1", context.rig.node_settings() | {"front": 7})


@then("the node refuses it and goes on serving")
def step_refuses(context):
    context.rig.node.wait_for("settings_refused")
    assert context.rig.send("GET", "/views/1", "h2")[0] == 200


def run_trace(context, request_id):
    """Run poplarctl trace on the node's log."""
    path = Path(context.rig.launcher.directory.name) / "node.log"
    path.write_text("\n".join(line.text for line in context.rig.node.lines))
    command = [binary_path("poplarctl"), "trace", request_id, str(path), "--output", "json"]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


@then('poplarctl trace tells from the node\'s log that "{request_id}" ended as "{result}"')
def step_trace(context, request_id, result):
    context.rig.node.wait_for("request_refused", id=request_id)
    done = run_trace(context, request_id)
    assert done.returncode == 0, done
    cause = json.loads(done.stdout)["cause"]
    assert cause["result"] == result and cause["event"] == "request_refused", cause
    assert {"version", "tried", "budget", "age_ms", "detail"} <= cause.keys(), cause


@then("poplarctl trace of an unknown id fails with one line")
def step_trace_unknown(context):
    done = run_trace(context, "nobody")
    assert done.returncode == 1 and "no line about request nobody" in done.stdout + done.stderr


def read_metrics(context):
    """Read the node's metrics as lines."""
    url = f"http://{context.rig.node_address}:{ADMIN_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=ANSWER_LIMIT_S) as answer:
        return answer.read().decode().splitlines()


def metric_sum(lines, name, label):
    """Add up the series of a metric whose labels hold a text."""
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in lines
        if line.startswith(name + "{") and label in line
    )


@then(
    'the metrics count {answers:d} answers of the route "{route}" and {sent:d} of the targets of '
    '"{service}"'
)
def step_histograms(context, answers, route, sent, service):
    lines = read_metrics(context)
    assert metric_sum(lines, "answer_seconds_count", f'route="{route}"') == answers, lines
    assert metric_sum(lines, "target_seconds_count", f'target="{service}-') == sent, lines
    assert metric_sum(lines, "answer_seconds_bucket", 'le="+Inf"') == answers, lines


@then("they show the budgets, the avoided targets and the configuration's version")
def step_gauges(context):
    lines = read_metrics(context)
    assert metric_sum(lines, "repeat_budget", 'service="reads"') >= 1.0, lines
    assert metric_sum(lines, "avoided_targets", "service=") == 0.0, lines
    assert any(line.startswith("configuration_version") for line in lines), lines
    assert any(line.startswith("probe_budget") for line in lines), lines
