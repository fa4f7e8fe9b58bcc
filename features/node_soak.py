"""Seeded soak of real node processes under faults that overlap.

By hand, three seeds at a time: seq 1 50 | xargs -P 3 -I{} .venv/bin/python -m features.node_soak {}
[--seconds 60] [--checkout PATH]. Each seed prints one line of counts; the logs of one that failed
are kept in out/node-soak.
"""

import argparse
import asyncio
import contextlib
import json
import random
import resource
import signal
import sys
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from subprocess import Popen
from urllib.request import urlopen

from features.node_soak_callers import LOSS_SLACK_S, Caller, Sent, check_losses, check_runs
from features.steps.node_path_steps import ADMIN_PORT, FRONT_PORT, READY_PORT, STORE_PORT, NodeRig
from poplarlane.bench.processes import Launcher, Process
from poplarlane.outcomes import REFUSAL_STATUSES

ROOT = Path(__file__).resolve().parent.parent
EXCHANGE_PORTS = [24_010, 24_013]
# The store may be away while a node starts.
READY_LIMIT_S = 20.0
# Requests that run late have run by then.
QUIET_S = 6.0
# Nodes notice pauses from 1.5 s on.
NOTICED_S = (1.53, 1.7)
POLL_S = 0.01
METRICS_GAP_S = 0.1
CONTROL_TRIES = 6
# Over this time a node's waits for a processor are compared with the time that passed.
STARVED_S = 0.4
BUSY_WAIT_S = 0.05
BUSY_POLL_S = 0.001
# Seeds in which a node logs one of the first three are kept as well.
FAULT_EVENTS = ("effect_failed", "event_failed", "timer_failed")
EVENTS = (*FAULT_EVENTS, "paused", "drain_cut", "view_unconfirmed", "withdrawn_attempt_sent")


class SoakNode:
    """One node, its processes one after the other, and when it was disturbed."""

    def __init__(self, rig: "SoakRig", number: int) -> None:
        self.rig = rig
        self.name = f"node-{number + 1}"
        self.address = rig.addresses[number]
        self.settings = rig.settings_of(number)
        self.processes: list[Process] = []
        self.disturbed: list[list[float]] = []
        self.stopped_at: list[float] = []
        self.is_replaced = False
        self.is_starting = True
        # The counter of withdrawn attempts of each process.
        self.withdrawn: dict[int, float] = {}

    def is_disturbed(self, began: float, ended: float) -> bool:
        """Return whether a kill, a start or a stop falls into a time."""
        return any(since <= ended and began <= until for since, until in self.disturbed)

    def stopped_before(self, at: float, within_s: float) -> float:
        """Return when the last SIGTERM came within a time before an instant, else 0."""
        return max((found for found in self.stopped_at if 0 <= at - found <= within_s), default=0.0)

    async def start(self) -> None:
        """Start a process and wait until it is ready, which counts as a disturbance."""
        self.is_starting = True
        began = time.monotonic()
        path = self.rig.launcher.settings_path(self.name, self.settings)
        process = self.rig.start_module("poplarlane.programs.node", self.name, path)
        self.processes.append(process)
        try:
            await asyncio.to_thread(process.wait_for, "ready", READY_LIMIT_S)
        except TimeoutError:
            self.rig.failures.append(f"NOT-READY {self.name} after {READY_LIMIT_S} s")
        self.disturbed.append([began, time.monotonic()])
        self.is_starting = False

    def read_withdrawn(self, popen: Popen) -> None:
        """Read the counter of withdrawn attempts until the process ends."""
        while popen.poll() is None:
            with contextlib.suppress(OSError):
                with urlopen(f"http://{self.address}:{ADMIN_PORT}/metrics", timeout=1.0) as answer:
                    lines = answer.read().decode().splitlines()
                found = [line.split()[-1] for line in lines if line.startswith("withdrawn_attempt")]
                self.withdrawn[popen.pid] = sum(float(value) for value in found)
            time.sleep(METRICS_GAP_S)

    async def replace(self, graceful: bool, again: bool = True) -> None:
        """End the process and start another."""
        if self.is_replaced:
            return
        self.is_replaced = True
        popen = self.processes[-1].popen
        if popen.poll() is None:
            await asyncio.gather(
                self.end(popen, graceful), asyncio.to_thread(self.read_withdrawn, popen)
            )
        else:
            self.rig.failures.append(f"ENDED {self.name} by itself with {popen.returncode}")
        if again:
            await self.start()
        self.is_replaced = False

    async def end(self, popen: Popen, graceful: bool) -> None:
        """End the process as the platform does: with SIGTERM, and SIGKILL after the grace."""
        limit = now = time.monotonic()
        if graceful:
            self.stopped_at.append(now)
            popen.terminate()
            limit += self.rig.grace_s
        else:
            self.disturbed.append([now, now])
        while popen.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(POLL_S)
        if popen.poll() is None:
            self.rig.counts["killed_after_grace"] += graceful
            popen.kill()
            while popen.poll() is None:
                await asyncio.sleep(POLL_S)
        elif popen.returncode:
            self.rig.failures.append(f"ENDED {self.name} with {popen.returncode} at SIGTERM")

    def waited_s(self) -> float:
        """Return how long the process was ready to run and waited for a processor."""
        with contextlib.suppress(OSError):
            path = Path(f"/proc/{self.processes[-1].popen.pid}/schedstat")
            return int(path.read_text().split()[1]) / 1e9
        return 0.0

    async def wait_busy(self) -> None:
        """Wait until the process is running on a processor, for BUSY_WAIT_S at most."""
        limit = time.monotonic() + BUSY_WAIT_S
        stat = Path(f"/proc/{self.processes[-1].popen.pid}/stat")
        with contextlib.suppress(OSError):
            while time.monotonic() < limit and ") R" not in stat.read_text():
                await asyncio.sleep(BUSY_POLL_S)

    async def freeze(self, seconds: float) -> None:
        """Stop the process for a time; one that is starting would not be ready in time."""
        if self.is_starting:
            await asyncio.sleep(seconds)
            return
        process = self.processes[-1]
        began = [time.monotonic(), float("inf")]
        self.disturbed.append(began)
        process.pause()
        await asyncio.sleep(seconds)
        process.resume()
        began[1] = time.monotonic()


class SoakRig(NodeRig):
    """Hold the nodes and the stand-in fleet, and run callers and lanes of faults."""

    def __init__(self, launcher: Launcher, seed: int, checkout: Path) -> None:
        super().__init__(launcher)
        self.seed = seed
        self.checkout = checkout
        draw = random.Random(f"{seed}/profile")
        self.kind = "wide" if seed % 10 == 9 else ("mixed", "drains", "stops")[seed % 3]
        count = {"wide": 40, "stops": draw.randint(12, 16)}.get(self.kind, draw.randint(3, 8))
        self.callers = count * draw.randint(6, 12)
        self.books = max(2, count // draw.randint(2, 4))
        self.work_ms = draw.choice((60.0, 120.0, 200.0))
        # A node stops 0.4 s before the end of the grace, which must lie in the last sixth of it.
        self.grace_s = draw.choice((3.0, 4.0) if self.kind == "drains" else (3.0, 6.0))
        self.drain_accept_ms = draw.choice((300, 1_000))
        if self.kind in ("stops", "wide"):
            # Nodes that run are busy without a break, and bookings wait in them for few targets.
            self.callers, self.books = count * 6, draw.randint(2, 3)
            self.work_ms = draw.choice((10.0, 20.0))
        self.version = 10
        self.think_s = 0.05
        self.sent: list[Sent] = []
        self.mixed: list[str] = []
        self.failures: list[str] = []
        self.counts: Counter[str] = Counter()
        self.addresses = [launcher.new_host() for _ in range(count)]
        self.nodes = [SoakNode(self, number) for number in range(count)]
        # The other nodes are only asked to stop and to reload.
        self.rough = self.nodes[2 if count > 8 else count // 2 :]

    def start_module(self, module: str, name: str, path: str) -> Process:
        """Start a program; those of the product come from the checkout under test."""
        folder = self.checkout if module.startswith("poplarlane") else ROOT
        command = ["env", "-C", str(folder), sys.executable, "-m", module, "--settings", path]
        process = self.launcher.processes[name] = Process(name, command)
        return process

    def start_standin(self, settings: dict) -> None:
        """Start the stand-in fleet of the soak."""
        changes = {"name": f"fleet-{self.seed}", "slots": 4, "work_ms": self.work_ms}
        path = self.launcher.settings_path("fleet", settings | changes)
        self.start_module("features.node_soak_fleet", "fleet", path).wait_for("ready")

    def control(self, **switches) -> None:
        """Change the stand-in, which may take long under load; twice is as good as once."""
        for _ in range(CONTROL_TRIES):
            with contextlib.suppress(TimeoutError):
                super().control(**switches)
                return
        raise TimeoutError(f"the stand-in did not take {switches}")

    def settings_of(self, number: int) -> dict:
        """Give the settings of a node."""
        address = self.addresses[number]
        return self.node_settings() | {
            "name": f"node-{number + 1}",
            "log_level": "info",
            "front": f"{address}:{FRONT_PORT}",
            "ready": f"{address}:{READY_PORT}",
            "exchange_ports": EXCHANGE_PORTS,
            "seeds": [f"{found}:{EXCHANGE_PORTS[0]}" for found in self.addresses[:3]],
            "fleet_size": len(self.addresses),
            "bootstrap": True,
            "apply_limit_s": 2.0,
            "drain_accept_ms": self.drain_accept_ms,
            "grace_s": self.grace_s,
        }

    def lanes(self) -> list:
        """Give the coroutines of all lanes."""
        rough = self.rough
        lanes = [
            (self.restart, 0.5, 3.0, self.nodes, True),
            (self.restart, 2.0, 8.0, rough, False),
            (self.reload, 0.5, 3.0),
            (self.store_away, 3.0, 10.0),
            (self.configure, 1.0, 5.0),
            (self.press, 1.0, 4.0),
            (self.watch_starvation, 0.0, 0.0),
        ]
        if self.kind in ("stops", "wide"):
            lanes += [(self.freeze_in_work, 0.0, 0.02, [node]) for node in rough]
        else:
            lanes += [(self.stop_in_series, 0.0, 0.3, 20, 0.3)]
            lanes += [(self.stop_in_series, 0.2, 2.0, 2, 4.0)] * 2
        if self.kind == "mixed":
            lanes += [(self.freeze_in_work, 0.0, 0.3, rough), lanes[0]]
        if self.kind == "drains":
            lanes += [(self.drain_with_stops, 0.0, 0.5)] * 3
        return [self.lane(number, *lane) for number, lane in enumerate(lanes)]

    async def lane(self, number: int, fault, least_s: float, most_s: float, *arguments) -> None:
        """Make one fault after the other."""
        generator = random.Random(f"{self.seed}/lane/{number}")
        while time.monotonic() + 1.0 < self.until:
            await asyncio.sleep(generator.uniform(least_s, most_s))
            self.counts[fault.__name__] += 1
            await fault(generator, *arguments)

    async def restart(self, generator: random.Random, nodes: list, graceful: bool) -> None:
        """End some nodes and start others in their place."""
        found = generator.sample(nodes, min(generator.choice((1, 1, 2, 3)), len(nodes) - 1))
        await asyncio.gather(*(node.replace(graceful) for node in found))

    async def drain_with_stops(self, generator: random.Random) -> None:
        """Send SIGTERM to a node and stop it for short times until it has ended."""
        node = generator.choice(self.rough)
        popen = node.processes[-1].popen
        replaced = asyncio.create_task(node.replace(graceful=True))
        await asyncio.sleep(generator.uniform(0.0, 0.8 * self.grace_s))
        while popen.poll() is None and not replaced.done():
            await node.freeze(generator.choice((0.02, 0.1, 0.3, 0.5)) * generator.uniform(0.5, 1.5))
            await asyncio.sleep(generator.uniform(0.0, 0.15))
        await replaced

    async def stop_in_series(self, generator: random.Random, most: int, most_s: float) -> None:
        """Stop a node some times."""
        node = generator.choice(self.rough)
        for _ in range(generator.randint(1, most)):
            await node.freeze(generator.uniform(0.005, most_s))
            await asyncio.sleep(generator.uniform(0.005, 0.1))

    async def freeze_in_work(self, generator: random.Random, nodes: list[SoakNode]) -> None:
        """Stop a node in the middle of its work, for long enough to be noticed."""
        node = generator.choice(nodes)
        # Requests are held for a median of 75 ms after the stop before.
        await asyncio.sleep(generator.uniform(0.02, 0.5))
        if generator.random() < 0.2:
            await node.freeze(generator.uniform(0.005, 0.1))
        await node.wait_busy()
        await node.freeze(generator.uniform(*NOTICED_S))

    async def reload(self, generator: random.Random) -> None:
        """Change a node's settings and send SIGHUP, sometimes twice."""
        node = generator.choice(self.nodes)
        if node.is_replaced:
            # A process that is starting would read half a file, or die of a signal before it runs
            # the program.
            return
        node.settings["extra_sends"] = generator.randint(60, 100)
        self.launcher.settings_path(node.name, node.settings)
        for _ in range(generator.randint(1, 2)):
            node.processes[-1].signal(signal.SIGHUP)

    async def store_away(self, generator: random.Random) -> None:
        """Take the store down for a time."""
        await asyncio.to_thread(self.control, down=True)
        await asyncio.sleep(generator.uniform(0.5, 4.0))
        await asyncio.to_thread(self.control, down=False)

    async def configure(self, generator: random.Random) -> None:
        """Change routes, the pace of targets, or which of them leave."""
        name = generator.choice(self.names["books"][1:])
        self.version += generator.randint(1, 3)
        routes = [*self.usual_routes(), ("/other/", "reads", {"route_type": "safe"})]
        switches = [
            {"configuration": self.configuration(self.version, routes[: generator.randint(2, 3)])},
            {"targets": {name: {"slowdown": generator.choice((50, 100, 250))}}, "drain": [name]},
        ]
        await asyncio.to_thread(self.control, **generator.choice(switches))
        await asyncio.sleep(generator.uniform(0.5, 2.0))
        await asyncio.to_thread(self.control, register=[name])

    async def press(self, generator: random.Random) -> None:
        """Change the load."""
        self.think_s = generator.choice((0.005, 0.05, 0.3, 1.0))

    async def watch_starvation(self, _generator: random.Random) -> None:
        """Note as disturbed the nodes that waited for a processor, and all if the callers did."""
        waited = {node: node.waited_s() for node in self.nodes}
        since = time.monotonic()
        await asyncio.sleep(STARVED_S)
        now = time.monotonic()
        # Callers that read late see a cut late.
        are_callers_late = now - since > STARVED_S + LOSS_SLACK_S / 2
        for node, before_s in waited.items():
            # A wait is added once it has ended, and may be longer than the interval.
            waited_s = node.waited_s() - before_s
            if are_callers_late or waited_s > (now - since) / 2:
                self.counts["starved"] += 1
                node.disturbed.append([min(since, now - waited_s), now])

    async def run(self, seconds: float) -> None:
        """Run callers and faults for a time, and end the nodes after a quiet time."""
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.until = time.monotonic() + seconds
        callers = [Caller(self, number).run(self.until) for number in range(self.callers)]
        await asyncio.gather(*callers, *self.lanes())
        await asyncio.sleep(QUIET_S)
        await asyncio.gather(*(node.replace(graceful=True, again=False) for node in self.nodes))


def run_seed(seed: int, seconds: float, checkout: Path = ROOT, label: str = "") -> dict:
    """Run one seed; return its counts and failures, and keep the logs if there are failures."""
    with Launcher() as launcher:
        rig = SoakRig(launcher, seed, checkout)
        rig.start_fleet({"reads": rig.books, "books": rig.books})
        asyncio.run(rig.run(seconds))
        with urlopen(f"http://{rig.fleet_address}:{STORE_PORT}/_soak", timeout=30.0) as answer:
            ran = json.load(answer)
    nodes = {node.name: node for node in rig.nodes}
    losses, calm = check_losses(rig.sent, ran, nodes, rig.grace_s)
    mixed = [f"MIXED {text}" for text in rig.mixed]
    failures = check_runs(rig.sent, ran["began"]) + mixed + losses + rig.failures
    figures = summary(rig) | {"cut_in_calm": calm, "failures": failures}
    if failures or any(figures["logged"][name] for name in FAULT_EVENTS):
        keep(rig, ran, figures, f"{label}seed-{seed}")
    return figures


def summary(rig: SoakRig) -> dict:
    """Count what was done and what the nodes logged."""
    lines = [line for node in rig.nodes for found in node.processes for line in found.lines]
    logged = Counter(line.fields.get("event") for line in lines)
    bookings = [sent for sent in rig.sent if sent.is_booking]
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return {
        "seed": rig.seed,
        "kind": rig.kind,
        "nodes": len(rig.nodes),
        "requests": len(rig.sent),
        "bookings": len(bookings),
        "refused_bookings": sum(sent.status in REFUSAL_STATUSES for sent in bookings),
        "ends": Counter(str(sent.status or sent.end) for sent in rig.sent),
        "faults": rig.counts,
        "logged": {name: logged[name] for name in EVENTS},
        "unsent": sum(int(line.fields.get("unsent", "0")) for line in lines),
        "withdrawn": sum(sum(node.withdrawn.values()) for node in rig.nodes),
        "cpu_s": round(time.process_time() + usage.ru_utime + usage.ru_stime),
    }


def keep(rig: SoakRig, ran: dict, figures: dict, name: str) -> None:
    """Keep the logs of a failed seed."""
    folder = ROOT / "out" / "node-soak" / name
    folder.mkdir(parents=True, exist_ok=True)
    # Times of callers and targets are monotonic, those of the nodes' logs are of the wall clock.
    times = {node.name: [node.disturbed, node.stopped_at] for node in rig.nodes}
    times["wall_minus_monotonic_s"] = time.time() - time.monotonic()
    pages = {"figures": figures, "sent": [asdict(sent) for sent in rig.sent], "ran": ran}
    for page, document in (pages | {"times": times}).items():
        (folder / f"{page}.json").write_text(json.dumps(document).replace("}, ", "},\n"))
    for node in rig.nodes:
        for number, process in enumerate(node.processes):
            text = "\n".join(line.text for line in process.lines)
            (folder / f"{node.name}.{number}.log").write_text(text)


def main() -> int:
    """Run one seed by hand."""
    parser = argparse.ArgumentParser(description="Soak real nodes.")
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--checkout", type=Path, default=ROOT, help="where the nodes' code is")
    parser.add_argument("--label", default="", help="prefix of the folders of failed seeds")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    figures = run_seed(**vars(parser.parse_args()))
    print(json.dumps(figures), flush=True)
    return int(bool(figures["failures"]))


if __name__ == "__main__":
    sys.exit(main())
