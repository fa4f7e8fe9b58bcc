"""Drawn runs of a node's shell with its real effects, in virtual time and without sockets.

Callers and targets are recording transports. The process may be preempted whenever it reads a
clock, so that seconds pass in the middle of an event, and timers that are due fire late and
together. What callers are told is checked against what was written to targets.
"""

import asyncio
import random
import socket
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from unittest.mock import patch

from features.node_world import SLOTS
from poplarlane.decisions.configuration.directory import (
    Configuration,
    Directory,
    InstanceRecord,
    ServiceRecord,
)
from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.requests.entry_events import CatalogueChanged
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.metrics import Metrics
from poplarlane.outcomes import REFUSAL_STATUSES
from poplarlane.platform.headers import PLATFORM_HEADERS
from poplarlane.plumbing import pauses
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.entry_shell import EntryShell
from poplarlane.plumbing.targets import TargetConnection
from poplarlane.plumbing.turns import TurnQueue
from poplarlane.settings import EntrySettings
from poplarlane.types import Priority, RequestKind

HOST = "h.example"
TARGETS = 4
STEPS = 400
DEADLINE_MS = 1_500
# For each reading of a clock.
PREEMPTION_CHANCE = 0.0008
READ = RequestKind("read", frozenset(), "/", True, Priority.NORMAL, DEADLINE_MS, True)
BOOKING = RequestKind("book", frozenset(), "/", False, Priority.HIGH, DEADLINE_MS, False)
# Preemptions last longer than the shortest gap that counts as a pause.
MIN_PREEMPTION_S = pauses.PAUSE_THRESHOLD_S + 0.1


class Transport:
    """A transport that passes what is written to a function."""

    def __init__(self, world: "ShellWorld", written: Callable[[bytes], None]) -> None:
        self.world = world
        self.on_write = written
        self.protocol: asyncio.Protocol
        self.is_closed = False

    def get_extra_info(self, name: str) -> object:
        """Give an open socket on which nothing arrives."""
        return self.world.idle_socket if name == "socket" else ("127.0.0.1", 1)

    def set_write_buffer_limits(self, high: int) -> None:
        """Take the bound of the write buffer."""

    def get_write_buffer_size(self) -> int:
        """Return that everything was sent."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection is being closed."""
        return self.is_closed

    def write(self, data: bytes) -> None:
        """Pass on what is written to an open connection."""
        if not self.is_closed:
            self.on_write(bytes(data))

    def abort(self) -> None:
        """Close the connection; the protocol is told in a later turn of the loop."""
        if not self.is_closed:
            self.is_closed = True
            self.world.later.append(lambda: self.protocol.connection_lost(None))

    close = abort

    def write_eof(self) -> None:
        """Close the connection, as a caller does after the last response."""
        self.abort()

    def pause_reading(self) -> None:
        """Ignore the bound on reading."""

    def resume_reading(self) -> None:
        """Ignore the bound on reading."""


class Booking:
    """What is known of a request that is not idempotent."""

    def __init__(self) -> None:
        self.writes = 0
        self.not_run = 0
        # Statuses that the caller was answered.
        self.statuses: list[int] = []


class TargetSide:
    """The target's end of one connection, with the requests that are not answered yet."""

    def __init__(self, world: "ShellWorld") -> None:
        self.world = world
        self.transport = Transport(world, self.written)
        self.waiting: list[str] = []

    def written(self, data: bytes) -> None:
        """Note a request or a probe."""
        path = data.split(b" ", 2)[1].decode()
        self.waiting.append(path)
        if path.startswith("/book/"):
            self.world.bookings[path].writes += 1

    def answer(self, status: str, headers: str, body: bytes = b"ok") -> None:
        """Write a whole answer."""
        head = f"HTTP/1.1 {status}\r\n{headers}content-length: {len(body)}\r\n\r\n"
        self.transport.protocol.data_received(head.encode() + body)


class CallerSide:
    """The caller's end of one connection."""

    def __init__(self, world: "ShellWorld") -> None:
        self.world = world
        self.transport = Transport(world, self.written)
        self.protocol = CallerConnection(world.shell)
        self.transport.protocol = self.protocol
        # Paths that are not answered yet, and the number of those sent.
        self.unanswered: list[str] = []
        self.protocol.connection_made(self.transport)

    def written(self, data: bytes) -> None:
        """Note the answer to the oldest request."""
        for line in data.split(b"\r\n"):
            if line.startswith(b"HTTP/1.1 ") and self.unanswered:
                path = self.unanswered.pop(0)
                if path in self.world.bookings:
                    self.world.bookings[path].statuses.append(int(line.split(b" ")[1]))

    def send(self, paths: list[str]) -> None:
        """Send requests in turn."""
        self.unanswered += paths
        data = b""
        for path in paths:
            method = "POST" if path in self.world.bookings else "GET"
            data += (
                f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {path}\r\n"
                f"x-deadline-ms: {DEADLINE_MS}\r\ncontent-length: 0\r\n\r\n"
            ).encode()
        self.protocol.data_received(data)


class Loop:
    """What the shell uses of its event loop, in virtual time."""

    def __init__(self, world: "ShellWorld") -> None:
        self.world = world
        self.real = asyncio.get_running_loop()
        # The one pending timer: an instant and what is called.
        self.timer: tuple[float, Callable[[], None]] | None = None

    def call_at(self, at: float, function: Callable[[], None]) -> "Loop":
        """Set the shell's timer."""
        self.timer = (at, function)
        return self

    def call_later(self, delay_s: float, function: Callable[[], None]) -> "Loop":
        """Set the shell's timer after a failure."""
        return self.call_at(self.world.now + delay_s, function)

    def cancel(self) -> None:
        """Cancel the shell's timer."""
        self.timer = None

    def create_task(self, coroutine: object) -> asyncio.Task:
        """Start a task of the real loop."""
        return self.real.create_task(coroutine)

    async def create_connection(
        self, factory: Callable[[], TargetConnection], address: str, port: int, local_addr: object
    ) -> tuple[Transport, TargetConnection]:
        """Open a connection to a target once the world lets it."""
        opened = self.real.create_future()
        self.world.opening.append(opened)
        await opened
        protocol = self.world.open_target(factory)
        return protocol.transport, protocol


class ShellWorld:
    """Run one drawn sequence; `broken` lists the promises that were not kept.

    `has_unproven_refusals` lets targets answer 503, 429 and 408 without saying "not run".
    """

    def __init__(self, seed: int, has_unproven_refusals: bool = False) -> None:
        self.has_unproven_refusals = has_unproven_refusals
        self.generator = random.Random(f"shell/{seed}")
        self.now = 100.0
        self.idle_socket, self.peer = socket.socketpair()
        self.later: list[Callable[[], None]] = []
        self.opening: list[asyncio.Future] = []
        self.targets: list[TargetSide] = []
        self.callers: list[CallerSide] = []
        self.bookings: dict[str, Booking] = {}
        self.sent = 0
        self.is_preemptible = False
        self.preemptions = 0

    def clock(self) -> float:
        """Read the clock; the process may be preempted just before."""
        if self.is_preemptible and self.generator.random() < PREEMPTION_CHANCE:
            self.preemptions += 1
            self.now += MIN_PREEMPTION_S + self.generator.random()
        return self.now

    def start(self) -> None:
        """Build the shell, with the decisions' state in front of a catalogue."""
        settings = EntrySettings(
            name="node",
            data_centre="dc",
            listen_address="127.0.0.1",
            listen_port=8000,
            admin_port=8001,
            agent_address="127.0.0.1",
            agent_port=8002,
            trusted_sources=["0.0.0.0/0"],
        )
        state = EntryState("node", 1)
        state.policy_name = "measured"
        state.probes_per_target_s = 60.0
        state.extra_sends = 200.0
        state.drain_accept_s, state.drain_limit_s = 0.2, 1.0
        metrics = Metrics(defer_load=True)
        trusted = [SimpleNamespace(contains=lambda _source: True)]
        self.shell = shell = EntryShell(
            settings, state, metrics, None, trusted, None, PLATFORM_HEADERS
        )
        shell.now = self.clock
        shell.loop = Loop(self)
        shell.stopped = asyncio.Event()
        shell.link = Link()
        shell.acceptor = SimpleNamespace(start=lambda: None, stop=lambda: None, tasks=set())
        shell.turns = TurnQueue(shell.loop.real, shell.meter.note)
        shell.pauses.stepped_at = shell.halts.stepped_at = self.now
        directory = Directory(0.2, "measured")
        directory.update_configuration(self.configuration())
        directory.replace_instances(list(self.instances()), self.now)
        shell.feed(CatalogueChanged(self.now, 7, directory.catalogue(), 24))

    def configuration(self) -> Configuration:
        """Describe two services with a route each."""
        names = {"reads": READ, "books": BOOKING}
        routes = [
            Route(name, HOST, f"/{kind.name}/", kind, 0.4, 2, [WeightedService(name, 1.0)])
            for name, kind in names.items()
        ]
        services = [ServiceRecord(name, "/healthz", 330) for name in names]
        return Configuration(1, routes, services, None)

    def instances(self):
        """Describe the targets."""
        for number in range(2 * TARGETS):
            service = ("reads", "books")[number % 2]
            name, port = f"i-{number}", 9_000 + number
            yield InstanceRecord(name, service, "127.0.0.1", port, "dc", "v1", SLOTS, False, 1, 0.0)

    def open_idle_connections(self, count: int) -> None:
        """Keep idle connections to each target of the bookings."""
        for load in self.shell.state.services["books"].loads.values():
            pool = self.shell.pool(load.target)
            for _ in range(count):
                pool.release(self.open_target(partial(TargetConnection, self.shell, pool)))

    def open_target(self, factory: Callable[[], TargetConnection]) -> TargetConnection:
        """Open a connection to a target."""
        side = TargetSide(self)
        protocol = factory()
        side.transport.protocol = protocol
        protocol.connection_made(side.transport)
        self.targets.append(side)
        return protocol

    def answer_probes(self, running: int) -> None:
        """Answer all probes with the same load."""
        for side in list(self.targets):
            while "/healthz" in side.waiting:
                side.waiting.remove("/healthz")
                side.answer("200 OK", load_header(running))

    async def run(self) -> None:
        """Take all steps, then let every deadline pass."""
        with patch.object(pauses, "clock", self.clock):
            self.start()
            self.callers = [CallerSide(self) for _ in range(4)]
            steps = [
                (self.caller_sends, 12),
                (self.connection_opens, 16),
                (self.target_acts, 44),
                (self.time_passes, 14),
                (self.caller_connects, 1),
            ]
            functions, weights = zip(*steps, strict=True)
            stops_at = self.generator.randrange(STEPS // 2, STEPS)
            for number, step in enumerate(self.generator.choices(functions, weights, k=STEPS)):
                if number == stops_at:
                    self.shell.stop_signalled()
                self.is_preemptible = True
                step()
                await self.settle()
                self.is_preemptible = False
                self.now += self.generator.random() * 0.001
            for _ in range(60):
                self.now += DEADLINE_MS / 20_000.0
                self.fire()
                await self.settle()
        self.end()

    async def settle(self) -> None:
        """Let the tasks and the closed connections go on."""
        for _ in range(3):
            await asyncio.sleep(0)
        later, self.later = self.later, []
        for function in later:
            function()
        self.targets = [side for side in self.targets if not side.transport.is_closed]
        self.callers = [side for side in self.callers if not side.transport.is_closed]

    def caller_connects(self) -> None:
        """Open another connection."""
        self.callers.append(CallerSide(self))

    def caller_sends(self) -> None:
        """Send some requests in turn."""
        if not self.callers:
            self.caller_connects()
        paths = []
        for _ in range(self.generator.choice((1, 1, 2, 3))):
            self.sent += 1
            kind = "book" if self.generator.random() < 0.6 else "read"
            paths.append(f"/{kind}/{self.sent}")
            if kind == "book":
                self.bookings[paths[-1]] = Booking()
        self.generator.choice(self.callers).send(paths)

    def connection_opens(self) -> None:
        """Let a connection to a target open, or be refused."""
        waiting = [found for found in self.opening if not found.done()]
        self.opening = waiting
        if waiting:
            found = self.generator.choice(waiting)
            if self.generator.random() < 0.9:
                found.set_result(None)
            else:
                found.set_exception(ConnectionRefusedError("refused"))

    def target_acts(self) -> None:
        """Answer a request or a probe, refuse it, or break off."""
        busy = [side for side in self.targets if side.waiting and not side.transport.is_closed]
        if not busy:
            return
        side = self.generator.choice(busy)
        path = side.waiting.pop(0)
        head = load_header(self.generator.choice((0, 1, SLOTS, SLOTS + 2)))
        status = "200 OK"
        chance = self.generator.random()
        if path != "/healthz":
            head += f"x-attempt-id: {path}\r\n"
            if chance < 0.06:
                side.transport.abort()
                return
            if chance < 0.3:
                status, head = "503 Busy", head + "x-not-executed: 1\r\n"
                if path in self.bookings:
                    self.bookings[path].not_run += 1
            elif chance < 0.34 and self.has_unproven_refusals:
                # Whether the target has run the request is not said.
                status = self.generator.choice(("503 Broken", "429 Slow Down", "408 Too Late"))
        side.answer(status, head)

    def time_passes(self) -> None:
        """Let time pass, and the timer fire if it is due."""
        self.now += self.generator.expovariate(1.0 / 0.02)
        self.fire()

    def fire(self) -> None:
        """Fire the shell's timer if it is due."""
        timer = self.shell.loop.timer
        if timer is not None and timer[0] <= self.now:
            self.shell.loop.timer = None
            timer[1]()

    def end(self) -> None:
        """Close what is open."""
        for found in self.opening:
            found.cancel()
        self.idle_socket.close()
        self.peer.close()

    def broken(self) -> list[str]:
        """List the promises to callers that were not kept."""
        found = []
        for path, booking in self.bookings.items():
            may_have_run = booking.writes - booking.not_run
            if may_have_run > 1:
                found.append(f"{path} was sent to {may_have_run} targets")
            if may_have_run > 0 and any(code in REFUSAL_STATUSES for code in booking.statuses):
                found.append(f"{path} was refused as not run and may have run")
            if len(booking.statuses) > 1:
                found.append(f"{path} has {len(booking.statuses)} answers")
        return found


def load_header(running: int) -> str:
    """Write the headers of a target that runs some requests."""
    return f"x-server-signature: s\r\nx-server-load: {running},0,{SLOTS},100\r\n"


class Link:
    """Ignores what the decisions send, so that nobody confirms a view after a pause."""

    def send(self, message: object) -> None:
        """Ignore a message."""

    def notify_fleet(self) -> None:
        """Ignore a notification."""


def run_world(seed: int, has_unproven_refusals: bool = False) -> ShellWorld:
    """Run one drawn sequence."""

    async def run() -> ShellWorld:
        world = ShellWorld(seed, has_unproven_refusals)
        await world.run()
        return world

    return asyncio.run(run())
