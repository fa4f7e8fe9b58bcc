"""Steps with two nodes, and targets whose processes exit because of a request."""

import json
import re
import socket
import subprocess
import threading
import time
import urllib.request

from behave import given, then, when

from features.steps.node_path_steps import (
    ADMIN_PORT,
    FRONT_PORT,
    HOST,
    STORE_PORT,
    TARGET_PORT,
    NodeRig,
    read_answer,
    request_bytes,
    wait_until,
)
from poplarlane.bench.processes import Launcher, binary_path
from poplarlane.decisions.quarantine import fingerprints

DEADLY = "/views/deadly"
# A caller repeats a read that failed about this long after the answer.
REPEAT_S = 0.01
OTHER_INTERVAL_S = 0.01


class FleetRig(NodeRig):
    """Two nodes, a store, and a process for each target."""

    def __init__(self, launcher):
        super().__init__(launcher)
        self.addresses = [self.node_address, launcher.new_host()]
        self.targets = {}
        # Other reads: when they were sent and their status.
        self.others = []
        self.stopped = threading.Event()
        self.deadly_statuses = []

    def start_all(self, count):
        """Start the store, the targets and the nodes."""
        placed = {}
        for number in range(count):
            address, name = self.launcher.new_host(), f"reads-{number}"
            target = {"service": "reads", "address": f"{address}:{TARGET_PORT}"}
            self.targets[name] = self.launcher.start(
                "poplarlane-standin-signed-fleet",
                {
                    "name": name,
                    "listen_address": address,
                    "listen_port": STORE_PORT,
                    "targets": {name: target},
                    "deadly_prefix": DEADLY,
                },
            )
            placed[name] = target | {"is_external": True}
        self.launcher.start(
            "poplarlane-standin-signed-fleet",
            {
                "name": "fleet",
                "listen_address": self.fleet_address,
                "listen_port": STORE_PORT,
                "targets": placed,
                "configuration": self.configuration(5, self.usual_routes()),
            },
        )
        for number, address in enumerate(self.addresses):
            settings = self.node_settings() | {
                "name": f"node-{number}",
                "front": f"{address}:{FRONT_PORT}",
                "ready": f"{address}:24002",
                "exchange_ports": [24_010, 24_020],
                "seeds": [f"{found}:24011" for found in self.addresses],
                "fleet_size": 2,
                "bootstrap": True,
            }
            self.launcher.start("poplarlane-node", settings, None)
        for number in range(len(self.addresses)):
            self.launcher.processes[f"node-{number}"].wait_for("ready")
            self.launcher.processes[f"node-{number}"].wait_for("member_found")

    def ask(self, node, path, request_id):
        """Send a read to a node."""
        self.node_address = self.addresses[node % len(self.addresses)]
        return self.send("GET", path, request_id)

    def send_others(self):
        """Send other reads to both nodes in turn."""
        number = 0
        while not self.stopped.is_set():
            number += 1
            sent_at = time.monotonic()
            try:
                status = self.ask_alone(number, f"/views/other-{number}")
            except (OSError, AssertionError):
                status = 0
            self.others.append((sent_at, status))
            self.stopped.wait(OTHER_INTERVAL_S)

    def ask_alone(self, number, path):
        """Send a read on a connection of its own, and return the status."""
        address = self.addresses[number % len(self.addresses)]
        with socket.create_connection((address, FRONT_PORT), timeout=5.0) as caller:
            caller.sendall(request_bytes("GET", path, f"other-{path}-{number}"))
            return read_answer(caller)[0]

    def ended(self):
        """Name the targets whose processes have ended."""
        return [name for name, process in self.targets.items() if process.popen.poll() is not None]

    def status(self, address):
        """Read the status of a node."""
        with urllib.request.urlopen(f"http://{address}:{ADMIN_PORT}/status", timeout=5) as answer:
            return json.load(answer)


@given("two nodes and four targets that exit when they get a deadly read")
def step_fleet(context):
    context.rig = FleetRig(context.resources.enter_context(Launcher()))
    context.rig.start_all(4)


@when("{callers:d} callers send the deadly read and repeat it up to twice at another node")
def step_deadly(context, callers):
    rig = context.rig
    rig.thread = threading.Thread(target=rig.send_others, daemon=True)
    rig.thread.start()
    time.sleep(0.3)
    for caller in range(callers):
        for attempt in range(3):
            status = rig.ask_alone(caller + attempt, DEADLY)
            rig.deadly_statuses.append(status)
            if status not in (502, 503):
                break
            time.sleep(REPEAT_S)
    rig.last_crash_at = time.monotonic()


@when("other reads are sent all the time")
def step_others(context):
    rig = context.rig
    count = len(rig.others)
    wait_until(lambda: len(rig.others) >= count + 100, "100 further reads")
    rig.stopped.set()
    rig.thread.join()


@then("at most {limit:d} targets have ended")
def step_ended(context, limit):
    rig = context.rig
    assert 2 <= len(rig.ended()) <= limit, (rig.ended(), rig.deadly_statuses)
    print(f"ended: {rig.ended()}, deadly reads got {rig.deadly_statuses}")


@then("at least {good:d} of 100 other reads that were sent after the last crash are answered")
def step_good(context, good):
    rig = context.rig
    after = [status for at, status in rig.others if at >= rig.last_crash_at]
    answered = sum(status == 200 for status in after)
    assert answered * 100 >= good * len(after), (answered, len(after), after)
    print(f"other reads answered: {answered} of {len(after)}")


@then("a further deadly read is refused with 503 and code quarantined at both nodes")
def step_refused(context):
    for node in (0, 1):
        status, headers, body = context.rig.ask(node, DEADLY, f"late-{node}")
        assert status == 503 and json.loads(body)["result"] == "quarantined", (status, body)
        assert 0 < float(headers["retry-after"]) <= 31, headers


@then("pipelined deadly reads are refused in their turn, and a read between them is answered")
def step_pipelined(context):
    rig = context.rig
    rig.node_address = rig.addresses[0]
    paths = [DEADLY, "/views/between", DEADLY]
    with rig.connect() as caller:
        data = [request_bytes("GET", path, f"p-{index}") for index, path in enumerate(paths)]
        caller.sendall(b"".join(data))
        statuses = [read_answer_exactly(caller) for _ in paths]
    assert statuses == [503, 200, 503], statuses
    assert len(rig.ended()) <= 3, rig.ended()


def read_answer_exactly(caller):
    """Read one answer and not a byte of the next; return its status."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = caller.recv(1)
        assert byte, head
        head += byte
    lines = head.decode().lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    while length:
        length -= len(caller.recv(length))
    return int(lines[0].split()[1])


@then("poplarctl quarantine shows the request and its targets at both nodes")
def step_ctl(context):
    rig = context.rig
    digest = fingerprints.digest("", HOST, b"GET", DEADLY.encode(), [])
    nodes = [f"{address}:{ADMIN_PORT}" for address in rig.addresses]
    command = [binary_path("poplarctl"), "quarantine", *nodes]
    done = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert done.returncode == 0, done.stdout + done.stderr
    for node in nodes:
        # Other reads that were beside a crash are listed as well.
        lines = [found for found in done.stdout.splitlines() if found.startswith(node)]
        (line,) = [found for found in lines if digest.hex() in found]
        assert " route=r0 targets=reads-" in line and " terms=1 " in line, done.stdout
    bad = subprocess.run([*command[:2], "nowhere"], capture_output=True, text=True, timeout=20)
    assert bad.returncode == 2, bad.stdout


@then("the metrics of the nodes count the quarantine")
def step_metrics(context):
    texts = []
    for address in context.rig.addresses:
        url = f"http://{address}:{ADMIN_PORT}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            texts.append(answer.read().decode())
    gauges = [re.search(r"^quarantined(?:\{\})? ([0-9]+)", text, re.MULTILINE) for text in texts]
    assert all(found is not None and int(found[1]) >= 1 for found in gauges), texts
    assert any("quarantine_total" in text for text in texts)
    assert all("quarantined_requests_total" in text for text in texts)
