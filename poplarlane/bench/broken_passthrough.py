"""Bare h11 pass-through with pooled connections: the baseline, and the checkers' broken variants.

`broken` makes it violate one invariant on purpose, which a checker then has to notice.
"""

import asyncio
from collections import deque
from typing import Literal

import h11

from poplarlane.settings import Port, Settings, settings_from_arguments
from poplarlane.standins.daemon import run_daemon
from poplarlane.standins.http_server import Exchange, HttpServer

BROKEN_EVERY = 20
MAX_TRIES = 3
# As long as the balancer needs to notice that readiness fails, twice over.
DRAIN_ACCEPT_S = 1.0
HOLD_S = 0.5
DRAIN_POLL_S = 0.02
SKIPPED_HEADERS = frozenset({"connection", "content-length", "transfer-encoding"})


class PassthroughSettings(Settings, kw_only=True):
    """Hold the targets per host, and which invariant to violate."""

    listen_address: str
    listen_port: Port
    admin_port: Port
    targets: dict[str, list[tuple[str, int]]]
    broken: Literal["", "repeat", "mix", "false_not_run", "cut"] = ""


class UpstreamConnection(asyncio.Protocol):
    """Send one request at a time to a target."""

    __slots__ = ("transport", "parser", "exchange", "answer", "body", "owner", "address")

    def __init__(self, owner: "Passthrough", address: tuple[str, int]) -> None:
        self.owner = owner
        self.address = address
        self.parser = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.answer: h11.Response | None = None
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def send(self, exchange: Exchange) -> None:
        """Forward a request."""
        self.exchange = exchange
        exchange.on_cancel = self.cancel
        headers = list(exchange.headers.items())
        head = h11.Request(method=exchange.method, target=exchange.path, headers=headers)
        data = self.parser.send(head)
        if exchange.body:
            data += self.parser.send(h11.Data(data=exchange.body))
        self.transport.write(data + self.parser.send(h11.EndOfMessage()))

    def cancel(self) -> None:
        """Close the connection when the caller has left."""
        self.exchange = None
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.parser.receive_data(data)
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self.answer = event
            elif isinstance(event, h11.Data):
                self.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.finish()
                return
            else:
                return

    def finish(self) -> None:
        """Return the connection to the pool and pass the answer on."""
        exchange, answer, body = self.exchange, self.answer, self.body
        self.exchange, self.answer, self.body = None, None, b""
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
            self.owner.idle[self.address].append(self)
        else:
            self.transport.close()
        if exchange is not None:
            headers = [(name.decode(), value.decode()) for name, value in answer.headers]
            self.owner.answer(exchange, answer.status_code, headers, body)

    def connection_lost(self, error: Exception | None) -> None:
        idle = self.owner.idle[self.address]
        if self in idle:
            idle.remove(self)
        if self.exchange is not None:
            self.exchange.reply(502, [("x-poplar-result", "1300")], b"connection closed")


class Passthrough:
    """Forward requests to targets in turn."""

    def __init__(self, settings: PassthroughSettings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.turns = dict.fromkeys(settings.targets, 0)
        self.idle: dict[tuple[str, int], deque[UpstreamConnection]] = {
            tuple(address): deque() for hosts in settings.targets.values() for address in hosts
        }
        self.count = 0
        self.draining = False
        self.held: tuple[Exchange, int, list, bytes] | None = None
        self.tasks: set[asyncio.Task] = set()

    def handle(self, exchange: Exchange) -> None:
        """Forward one request."""
        self.count += 1
        broken = self.settings.broken if self.count % BROKEN_EVERY == 0 else ""
        self.spawn(self.forward(exchange))
        if broken == "repeat":
            self.spawn(self.repeat(exchange))
        elif broken == "false_not_run":
            self.loop.call_later(0.005, self.refuse_falsely, exchange)

    def spawn(self, coroutine) -> None:
        """Run a coroutine to its end."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def forward(self, exchange: Exchange) -> None:
        """Send a request on a pooled connection; refused connections lead to the next target."""
        addresses = self.settings.targets.get(exchange.headers.get("host", ""), [])
        for _ in range(MAX_TRIES if addresses else 0):
            turn = self.turns[exchange.headers["host"]]
            self.turns[exchange.headers["host"]] = turn + 1
            connection = await self.connection_to(tuple(addresses[turn % len(addresses)]))
            if connection is not None:
                if exchange.finished:
                    connection.transport.close()
                else:
                    connection.send(exchange)
                return
        self.answer(exchange, 503, [("x-poplar-result", "1206")], b"no target")

    async def connection_to(self, address: tuple[str, int]) -> UpstreamConnection | None:
        """Take an idle connection or open one."""
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                return connection
        source = (self.settings.listen_address, 0)
        try:
            _, connection = await self.loop.create_connection(
                lambda: UpstreamConnection(self, address), *address, local_addr=source
            )
        except OSError:
            return None
        return connection

    def answer(self, exchange: Exchange, status: int, headers: list, body: bytes) -> None:
        """Answer the caller."""
        headers = [pair for pair in headers if pair[0] not in SKIPPED_HEADERS]
        if self.settings.broken == "mix" and self.hold(exchange, status, headers, body):
            return
        exchange.reply(status, headers, body, close=self.draining)

    async def repeat(self, exchange: Exchange) -> None:
        """Execute the request a second time, on purpose."""
        second = Exchange.__new__(Exchange)
        for name in ("connection", "method", "path", "query", "headers", "body", "received_at"):
            setattr(second, name, getattr(exchange, name))
        second.on_cancel, second.finished = None, True
        addresses = self.settings.targets[exchange.headers["host"]]
        connection = await self.connection_to(tuple(addresses[0]))
        connection.send(second)

    def hold(self, exchange: Exchange, status: int, headers: list, body: bytes) -> bool:
        """Exchange every twentieth answer with the next one, on purpose."""
        if self.held is not None:
            other, *answer = self.held
            self.held = None
            other.reply(status, headers, body)
            exchange.reply(*answer)
            return True
        if self.count % BROKEN_EVERY == 0:
            self.held = (exchange, status, headers, body)
            asyncio.get_running_loop().call_later(HOLD_S, self.release, exchange)
            return True
        return False

    def release(self, exchange: Exchange) -> None:
        """Give a held answer to its own caller when no other answer came.

        Without this the last held answer of a run was never given, which counted as cut.
        """
        if self.held is not None and self.held[0] is exchange:
            _, *answer = self.held
            self.held = None
            exchange.reply(*answer)

    def refuse_falsely(self, exchange: Exchange) -> None:
        """Claim that a request was not run although it was sent, on purpose."""
        exchange.reply(503, [("x-poplar-result", "1207")], b"not run")

    def handle_admin(self, exchange: Exchange) -> None:
        """Answer the readiness check."""
        exchange.reply_json(503 if self.draining else 200, {})

    async def drain(self, server: HttpServer) -> None:
        """Fail the readiness check, finish what runs, and stop."""
        if self.settings.broken == "cut":
            return
        self.draining = True
        limit = self.loop.time() + DRAIN_ACCEPT_S
        while self.loop.time() < limit or busy(server):
            await asyncio.sleep(DRAIN_POLL_S)


def busy(server: HttpServer) -> bool:
    """Tell whether a request is still unanswered."""
    return any(connection.exchange is not None for connection in server.connections)


def main() -> None:
    """Run the pass-through."""
    settings = settings_from_arguments(PassthroughSettings, "Pass requests to targets in turn.")

    async def start():
        passthrough = Passthrough(settings)
        server = HttpServer(passthrough.handle)
        admin = HttpServer(passthrough.handle_admin)
        await server.listen(settings.listen_address, settings.listen_port)
        await admin.listen(settings.listen_address, settings.admin_port)

        async def stop() -> None:
            await passthrough.drain(server)
            server.close()
            admin.close()

        return stop

    run_daemon(settings, start)


if __name__ == "__main__":
    main()
