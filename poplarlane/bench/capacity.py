"""Measure the slopes that docs/CAPACITY.md is worked out from.

Each measurement varies one size over at least four points, fits a line, and writes the points, the
fit and a plot.
"""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil

from poplarlane.bench import control_cost, control_fleet, entry_cost
from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.publisher import Publisher
from poplarlane.bench.slopes import Slope, format_slope, write_slope

# Targets and services of the generated views; the last is the planned scale.
VIEW_SIZES = ((300, 20), (1_500, 100), (3_000, 200), (5_300, 350))
VIEW_AGENTS = 6
FLEET_SIZES = (6, 12, 18, 24, 36)
FLEET_SERVICES = 3
FLEET_TARGETS = 36
CALL_RATES_PER_S = (250.0, 500.0, 750.0, 1_000.0, 1_250.0)
SAMPLING_RATIOS = (0.0, 0.01, 0.1, 0.5, 1.0)
SAMPLING_RATE_PER_S = 750.0
CALLER_CONNECTIONS = (250, 500, 750, 1_000, 1_250, 1_500)
TARGET_CONNECTIONS = (200, 400, 600, 800, 1_000)
# Below the deadline of a request, and long enough for all requests of a point to be in flight.
ANSWER_DELAY_MS = 1_500.0
SLOTS = 330
ANSWERS_TIMEOUT_S = 30.0
CONTROL_SECONDS = 20.0
RATE_SECONDS = 6.0
CHANGES_PER_SIZE = 12


class ControlFigures:
    """Hold the mean cost of one agent and the platform calls of the whole fleet."""

    __slots__ = ("cpu_share", "memory_mb", "kb_per_s", "platform_calls_per_s", "ready_s")

    def __init__(
        self,
        cpu_share: float,
        memory_mb: float,
        kb_per_s: float,
        platform_calls_per_s: float,
        ready_s: float,
    ) -> None:
        self.cpu_share = cpu_share
        self.memory_mb = memory_mb
        self.kb_per_s = kb_per_s
        self.platform_calls_per_s = platform_calls_per_s
        self.ready_s = ready_s


def control_figures(agents: int, services: int, targets: int, seed: int) -> ControlFigures:
    """Measure a fleet of agents under the planned rate of changes."""
    with Launcher() as launcher:
        fleet = control_fleet.Fleet(launcher, seed, 0.0)
        ready_s = fleet.start(agents, services, targets)
        time.sleep(control_fleet.SETTLE_S)
        before = [control_fleet.Usage(vm) for vm in fleet.vms]
        calls = fleet.platform_calls()
        began = time.monotonic()
        control_fleet.keep_changing(fleet, CONTROL_SECONDS)
        elapsed_s = time.monotonic() - began
        calls = fleet.platform_calls() - calls
        after = [control_fleet.Usage(vm) for vm in fleet.vms]
    cpu_s = sum(last.cpu_s - first.cpu_s for first, last in zip(before, after, strict=True))
    kb = sum(
        last.sent_kb + last.received_kb - first.sent_kb - first.received_kb
        for first, last in zip(before, after, strict=True)
    )
    return ControlFigures(
        cpu_s / elapsed_s / agents,
        sum(usage.memory_mb for usage in after) / agents,
        kb / elapsed_s / agents,
        calls / elapsed_s,
        ready_s,
    )


def agent_by_targets(seed: int) -> list[Slope]:
    """Measure one agent's cost against the number of targets in the view."""
    found = [
        (targets, control_figures(VIEW_AGENTS, services, targets, seed))
        for targets, services in VIEW_SIZES
    ]
    return control_slopes("agent-by-targets", "targets", found)


def agent_by_vms(seed: int) -> list[Slope]:
    """Measure one agent's cost, and the platform's calls, against the number of VMs."""
    found = [
        (size, control_figures(size, FLEET_SERVICES, FLEET_TARGETS, seed)) for size in FLEET_SIZES
    ]
    calls = [(size, figures.platform_calls_per_s) for size, figures in found]
    slopes = control_slopes("agent-by-vms", "VMs", found)
    return [*slopes, Slope("platform-calls-by-vms", "VMs", "calls/s", calls)]


def control_slopes(name: str, unit: str, found: list[tuple[int, ControlFigures]]) -> list[Slope]:
    """Fit the three budgets of control."""
    return [
        Slope(f"{name}-cpu", unit, "% of a core", [(x, f.cpu_share * 100) for x, f in found]),
        Slope(f"{name}-memory", unit, "MB", [(x, f.memory_mb) for x, f in found]),
        Slope(f"{name}-bytes", unit, "KB/s", [(x, f.kb_per_s) for x, f in found]),
    ]


def entry_by_rate(seed: int) -> list[Slope]:
    """Measure the CPU of one entry, and of the bare pass-through, against the rate of calls."""
    generator = random.Random(seed)
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "passthrough": []}
    with Launcher() as launcher:
        bench = entry_cost.Bench(launcher, seed)
        systems = {
            "entry": (bench.entry, entry_cost.ENTRY_PORT),
            "passthrough": (bench.passthrough, entry_cost.PASS_PORT),
        }
        for rate in CALL_RATES_PER_S:
            for name, (process, port) in systems.items():
                before = entry_cost.cpu_s(process)
                began = time.monotonic()
                loop = entry_cost.open_loop(bench.host, port, rate, RATE_SECONDS, generator)
                answers = len(asyncio.run(loop))
                elapsed_s = time.monotonic() - began
                used_s = entry_cost.cpu_s(process) - before
                points[name].append((answers / elapsed_s, used_s / elapsed_s))
        bench.publisher.close()
    return [
        Slope(f"{name}-cpu-by-rate", "calls/s", "cores", found) for name, found in points.items()
    ]


class TracedBench(entry_cost.Bench):
    """Run an entry that traces a share of its requests."""

    def __init__(self, launcher: Launcher, seed: int, ratio: float) -> None:
        self.ratio = ratio
        super().__init__(launcher, seed)

    def settings(self) -> dict[str, Any]:
        """Add tracing to the entry's settings."""
        spans = str(Path(self.launcher.directory.name) / "spans.jsonl")
        return super().settings() | {"tracing": {"sample_ratio": self.ratio, "file": spans}}


def entry_by_sampling(seed: int) -> list[Slope]:
    """Measure the CPU of one call against the share of requests that are traced."""
    generator = random.Random(seed)
    points = []
    for ratio in SAMPLING_RATIOS:
        with Launcher() as launcher:
            bench = TracedBench(launcher, seed, ratio)
            before = entry_cost.cpu_s(bench.entry)
            port = entry_cost.ENTRY_PORT
            loop = entry_cost.open_loop(
                bench.host, port, SAMPLING_RATE_PER_S, RATE_SECONDS, generator
            )
            answers = len(asyncio.run(loop))
            points.append((ratio * 100, (entry_cost.cpu_s(bench.entry) - before) / answers * 1e6))
            bench.publisher.close()
    return [Slope("entry-cpu-by-sampling", "% of calls traced", "us/call", points)]


def entry_by_targets(seed: int) -> list[Slope]:
    """Measure the memory of one entry against the number of targets in its view."""
    points = []
    for targets, services in VIEW_SIZES:
        with Launcher() as launcher:
            host = launcher.new_host()
            publisher = Publisher(host)
            fleet = control_fleet.Fleet(launcher, seed, 0.0)
            publisher.publish(generated_services(fleet, services, targets))
            settings: dict[str, Any] = {
                "name": "entry-1",
                "data_centre": "dc-a",
                "listen_address": host,
                "listen_port": entry_cost.ENTRY_PORT,
                "admin_port": entry_cost.ENTRY_PORT + 1,
                "agent_address": host,
                "agent_port": entry_cost.PUBLISHER_PORT,
            }
            entry = launcher.start("poplarlane-entry", settings)
            points.append((targets, memory_mb(entry)))
            publisher.close()
    return [Slope("entry-memory-by-targets", "targets", "MB", points)]


class HeldBench(entry_cost.Bench):
    """Run targets that answer late and accept many requests at once."""

    def __init__(self, launcher: Launcher, seed: int) -> None:
        super().__init__(launcher, seed, ANSWER_DELAY_MS)

    def service(self) -> dict[str, Any]:
        """Allow each target as many requests as the largest point needs."""
        limits = {"slots_per_target": SLOTS, "connections_per_target": SLOTS}
        return super().service() | {"limits": limits}


def entry_by_connections(seed: int) -> list[Slope]:
    """Measure the memory of one entry against its connections to callers and to targets.

    A connection of either side has carried a request, so its part of the peak is included.
    """
    with Launcher() as launcher:
        bench = entry_cost.Bench(launcher, seed)
        callers = asyncio.run(caller_points(bench))
        bench.publisher.close()
    with Launcher() as launcher:
        bench = HeldBench(launcher, seed)
        targets = asyncio.run(target_points(bench))
        bench.publisher.close()
    return [
        Slope("entry-memory-by-callers", "connections", "MB", callers),
        Slope("entry-memory-by-target-connections", "connections", "MB", targets),
    ]


async def caller_points(bench: entry_cost.Bench) -> list[tuple[float, float]]:
    """Open connections of callers in steps; each makes one request after the other's answer."""
    points = []
    count = 0
    for size in CALLER_CONNECTIONS:
        clients = await connect_callers(bench, size - count)
        for client in clients:
            await ask_at_once([client])
        count = size
        points.append((float(size), memory_mb(bench.entry)))
    return points


async def target_points(bench: entry_cost.Bench) -> list[tuple[float, float]]:
    """Make more and more requests at once; every one needs a connection to a target."""
    clients = await connect_callers(bench, TARGET_CONNECTIONS[-1])
    points = []
    for size in TARGET_CONNECTIONS:
        await ask_at_once(clients[:size])
        points.append((float(target_connections(bench)), memory_mb(bench.entry)))
    return points


async def connect_callers(bench: entry_cost.Bench, count: int) -> list[entry_cost.Client]:
    """Open connections to the entry; a client is not asked again before its answer."""
    return await entry_cost.connect(
        bench.host, entry_cost.ENTRY_PORT, count, lambda client, _: client.answered.set()
    )


async def ask_at_once(clients: list[entry_cost.Client]) -> None:
    """Send a request on each connection and wait for all answers."""
    for client in clients:
        client.answered = asyncio.Event()
        client.send(time.monotonic())
    async with asyncio.timeout(ANSWERS_TIMEOUT_S):
        for client in clients:
            await client.answered.wait()


def target_connections(bench: entry_cost.Bench) -> int:
    """Count the entry's open connections to targets, from its sockets."""
    ports = range(entry_cost.SINK_PORT, entry_cost.SINK_PORT + entry_cost.TARGETS)
    sockets = psutil.Process(bench.entry.popen.pid).net_connections("tcp")
    return sum(1 for found in sockets if found.raddr and found.raddr.port in ports)


def memory_mb(process: Process) -> float:
    """Read the resident memory of a process; the kernel's socket buffers are not part of it."""
    return psutil.Process(process.popen.pid).memory_info().rss / 1e6


def generated_services(
    fleet: control_fleet.Fleet, services: int, targets: int
) -> list[dict[str, Any]]:
    """Generate the services of a view."""
    share, rest = divmod(targets, services)
    return [
        fleet.generated(f"service-{number}", share + (number < rest)) for number in range(services)
    ]


def in_force_by_vms(seed: int) -> list[Slope]:
    """Measure the slowest of some changes until in force at every entry, against the VMs."""
    points = []
    for size in FLEET_SIZES[:4]:
        with Launcher() as launcher:
            fleet = control_fleet.Fleet(launcher, seed, 0.0)
            fleet.start(size, FLEET_SERVICES, FLEET_TARGETS)
            for vm in fleet.vms:
                fleet.layout.start_entry(vm, None)
            for vm in fleet.vms:
                vm.entry.wait_for("ready", control_fleet.START_TIMEOUT_S)
            points.append((size, slowest_change_s(fleet)))
    return [Slope("in-force-by-vms", "VMs", "s", points)]


def slowest_change_s(fleet: control_fleet.Fleet) -> float:
    """Make changes one after the other; give the longest time until one was in force."""
    slowest_s = 0.0
    for _ in range(CHANGES_PER_SIZE):
        name = fleet.generator.choice(list(fleet.services))
        revision, at = fleet.change(name)
        applied = max(control_cost.applied_at(vm.entry, name, revision) for vm in fleet.vms)
        slowest_s = max(slowest_s, applied - at)
    return slowest_s


MEASUREMENTS: dict[str, Callable[[int], list[Slope]]] = {
    "agent-by-targets": agent_by_targets,
    "agent-by-vms": agent_by_vms,
    "entry-by-connections": entry_by_connections,
    "entry-by-rate": entry_by_rate,
    "entry-by-sampling": entry_by_sampling,
    "entry-by-targets": entry_by_targets,
    "in-force-by-vms": in_force_by_vms,
}


def run(name: str, seed: int, directory: Path) -> list[str]:
    """Run one measurement, write its slopes, and give a key=value line for each."""
    slopes = MEASUREMENTS[name](seed)
    for slope in slopes:
        write_slope(slope, directory)
    return [format_slope(slope) for slope in slopes]
