"""Compare the entry with the bare pass-through: CPU per request, and added p99 at half capacity.

Run: python -m poplarlane.bench.entry_cost [--seed N] [--rounds N] [--seconds S] [--rate N]
Every figure is a ratio or a difference within one run, with the rounds interleaved.
"""

import argparse
import asyncio
import json
import os
import random
import statistics
import sys
import time

from poplarlane.bench.processes import Launcher, Process
from poplarlane.bench.publisher import PUBLISHER_PORT, Publisher

SINK_PORT = 22_000
PASS_PORT = 22_100
ENTRY_PORT = 23_000
# The number of availability's targets.
TARGETS = 17
CALLERS = 16
OPEN_LOOP_CALLERS = 64
POLL_S = 0.0015
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_CPU_RATIO = 1.3
MAX_ADDED_P99_MS = 1.7
REQUEST = (
    b"GET /slots HTTP/1.1\r\nhost: climbs.example\r\nuser-agent: bench\r\naccept: */*\r\n"
    b"x-request-id: 0123456789abcdef\r\nx-caller-labels: kind=kiosk,site=brasov\r\n"
    b"x-deadline-ms: 2000\r\n\r\n"
)


class Client(asyncio.Protocol):
    """Send requests on one connection; `done` is called with each latency in seconds."""

    def __init__(self, done) -> None:
        self.done = done
        self.left = 0
        self.started = 0.0
        self.buffer = b""
        self.answered = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(self, started: float) -> None:
        """Send one request whose latency counts from `started`."""
        self.started = started
        self.transport.write(REQUEST)

    def data_received(self, data: bytes) -> None:
        """Wait for a whole answer of 256 body bytes."""
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or len(self.buffer) < end + 260:
            return
        if not self.buffer.startswith(b"HTTP/1.1 200"):
            raise ValueError(self.buffer[:300])
        self.buffer = b""
        self.done(self, time.monotonic() - self.started)


async def connect(address: str, port: int, count: int, done) -> list[Client]:
    """Open the connections of a round."""
    loop = asyncio.get_running_loop()
    pairs = [
        await loop.create_connection(lambda: Client(done), address, port) for _ in range(count)
    ]
    return [client for _, client in pairs]


async def closed_loop(address: str, port: int, seconds: float) -> int:
    """Keep every connection busy for a time; return the number of answers."""
    answers = 0
    end = time.monotonic() + seconds

    def done(client: Client, _latency_s: float) -> None:
        nonlocal answers
        answers += 1
        now = time.monotonic()
        if now < end:
            client.send(now)

    clients = await connect(address, port, CALLERS, done)
    for client in clients:
        client.send(time.monotonic())
    await asyncio.sleep(seconds + 0.1)
    for client in clients:
        client.transport.close()
    return answers


async def open_loop(
    address: str, port: int, rate: float, seconds: float, generator: random.Random
) -> list[float]:
    """Send at Poisson times; latencies count from the planned time."""
    latencies: list[float] = []
    idle: list[Client] = []
    waiting: list[float] = []

    def done(client: Client, latency_s: float) -> None:
        latencies.append(latency_s)
        if waiting:
            client.send(waiting.pop(0))
        else:
            idle.append(client)

    clients = await connect(address, port, OPEN_LOOP_CALLERS, done)
    idle += clients
    at = time.monotonic()
    end = at + seconds
    while at < end:
        at += generator.expovariate(rate)
        while (left := at - time.monotonic()) > 0:
            # The event loop rounds sleeps up to 1 ms, which would send requests in bursts.
            await asyncio.sleep(left - POLL_S if left > POLL_S else 0)
        if idle:
            idle.pop().send(at)
        else:
            waiting.append(at)
    await asyncio.sleep(0.2)
    for client in clients:
        client.transport.close()
    return latencies


def cpu_s(process: Process) -> float:
    """Read the user and system time of a process."""
    with open(f"/proc/{process.popen.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def p99(latencies: list[float]) -> float:
    """Give the 99th percentile."""
    return sorted(latencies)[int(len(latencies) * 0.99)]


class Bench:
    """Hold the processes of one run."""

    def __init__(self, launcher: Launcher, seed: int, answer_delay_ms: float = 0.0) -> None:
        self.launcher = launcher
        self.host = launcher.new_host()
        self.seed = seed
        self.publisher = Publisher(self.host)
        self.sink = self.module(
            "sink",
            *("--listen", f"{self.host}:{SINK_PORT}", "--ports", str(TARGETS)),
            *("--delay-ms", str(answer_delay_ms)),
        )
        self.passthrough = self.module(
            "passthrough",
            *("--listen", f"{self.host}:{PASS_PORT}", "--upstream", f"{self.host}:{SINK_PORT}"),
        )
        self.publisher.publish([self.service()])
        self.entry = launcher.start("poplarlane-entry", self.settings())

    def module(self, name: str, *words: str) -> Process:
        """Start one of the bench's own servers."""
        process = Process(name, [sys.executable, "-m", f"poplarlane.bench.{name}", *words])
        self.launcher.processes[name] = process
        process.wait_for("ready")
        return process

    def settings(self) -> dict:
        """Build the entry's settings."""
        return {
            "name": "entry-1",
            "data_centre": "brasov",
            "listen_address": self.host,
            "listen_port": ENTRY_PORT,
            "admin_port": ENTRY_PORT + 1,
            "agent_address": self.host,
            "agent_port": PUBLISHER_PORT,
            "trusted_sources": ["127.0.0.0/8"],
            "seed": self.seed,
        }

    def service(self) -> dict:
        """Build a service whose targets are all the one sink."""
        targets = {
            f"tower-{number}": {
                "address": self.host,
                "port": SINK_PORT + number,
                "data_centre": "brasov",
                "labels": {"role": "serving"},
            }
            for number in range(TARGETS)
        }
        return {
            "service": "climbs",
            "revision": 1,
            "change_id": "bench",
            "hosts": ["climbs.example"],
            "requests": [{"name": "read", "methods": ["GET"], "idempotent": True}],
            "targets": targets,
            "selectors": {"all": {"callers": "kind=kiosk", "targets": "role=serving"}},
        }


async def measure(bench: Bench, rounds: int, seconds: float, rate: float = 0.0) -> dict:
    """Run interleaved rounds; the added p99 is that at `rate`, or at half capacity without one."""
    systems = {"passthrough": (bench.passthrough, PASS_PORT), "entry": (bench.entry, ENTRY_PORT)}
    cost: dict[str, list[float]] = {name: [] for name in systems}
    rates: dict[str, list[float]] = {name: [] for name in systems}
    for name in list(systems) * (rounds + 1):
        process, port = systems[name]
        before = cpu_s(process)
        answers = await closed_loop(bench.host, port, seconds)
        cost[name].append((cpu_s(process) - before) / answers * 1e6)
        rates[name].append(answers / seconds)
    # The first round of each warms caches and connections up.
    cost = {name: values[1:] for name, values in cost.items()}
    rate = rate or statistics.median(rates["entry"][1:]) / 2.0
    added = {}
    generator = random.Random(bench.seed)
    found: dict[str, list[float]] = {"direct": [], "passthrough": [], "entry": []}
    ports = {"direct": SINK_PORT, "passthrough": PASS_PORT, "entry": ENTRY_PORT}
    for name in list(ports) * rounds:
        latencies = await open_loop(bench.host, ports[name], rate, seconds, generator)
        found[name].append(p99(latencies) * 1e3)
    medians = {name: statistics.median(values) for name, values in found.items()}
    for name in ("passthrough", "entry"):
        added[name] = medians[name] - medians["direct"]
    ratios = [mine / base for mine, base in zip(cost["entry"], cost["passthrough"], strict=True)]
    return {
        "seed": bench.seed,
        "cpu_us_per_request": {name: statistics.median(cost[name]) for name in cost},
        "cpu_ratio": statistics.median(ratios),
        "cpu_ratios": [round(ratio, 3) for ratio in ratios],
        "capacity_per_s": {name: statistics.median(rates[name][1:]) for name in rates},
        "rate_of_p99": rate,
        "p99_ms": medians,
        "added_p99_ms": added["entry"],
        "added_p99_ms_passthrough": added["passthrough"],
    }


def main() -> int:
    """Print the figures as JSON; the exit status tells whether both targets were met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rate", type=float, default=0.0)
    arguments = parser.parse_args()
    with Launcher() as launcher:
        bench = Bench(launcher, arguments.seed)
        figures = asyncio.run(measure(bench, arguments.rounds, arguments.seconds, arguments.rate))
        bench.publisher.close()
    print(json.dumps(figures, indent=1))
    met = figures["cpu_ratio"] <= MAX_CPU_RATIO and figures["added_p99_ms"] <= MAX_ADDED_P99_MS
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
