"""Bare h11 pass-through with pooled connections: the baseline of CPU per request.

It takes each request whole, sends it to the one upstream and returns the answer, with h11 for
both reading and writing. It makes no decision and checks nothing beyond what h11 checks.
"""

import argparse
import asyncio
import sys

import h11

DROPPED = frozenset({b"connection", b"transfer-encoding", b"keep-alive"})


class Upstream(asyncio.Protocol):
    """Carry one exchange at a time to the upstream."""

    __slots__ = ("proxy", "transport", "parser", "caller", "head", "parts")

    def __init__(self, proxy: "PassThrough") -> None:
        self.proxy = proxy
        self.transport: asyncio.Transport
        self.parser = h11.Connection(h11.CLIENT)
        self.caller: Caller | None = None
        self.head: h11.Response | None = None
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(self, caller: "Caller") -> None:
        """Write the caller's request."""
        self.caller = caller
        self.parts = []
        data = self.parser.send(caller.request)
        if caller.parts:
            data += self.parser.send(h11.Data(data=b"".join(caller.parts)))
        self.transport.write(data + self.parser.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """Collect an answer and return it."""
        self.parser.receive_data(data)
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Response):
                self.head = event
            elif isinstance(event, h11.Data):
                self.parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                caller, self.caller = self.caller, None
                parts = self.parts
                self.parser.start_next_cycle()
                self.proxy.idle.append(self)
                caller.answer(self.head, parts)
                return
            else:
                return

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop the connection from the pool."""
        if self in self.proxy.idle:
            self.proxy.idle.remove(self)
        if self.caller is not None:
            self.caller.transport.close()


class Caller(asyncio.Protocol):
    """Read requests of one caller."""

    __slots__ = ("proxy", "transport", "parser", "request", "parts")

    def __init__(self, proxy: "PassThrough") -> None:
        self.proxy = proxy
        self.transport: asyncio.Transport
        self.parser = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Collect a request and forward it."""
        self.parser.receive_data(data)
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Request):
                headers = [pair for pair in event.headers if pair[0] not in DROPPED]
                self.request = h11.Request(
                    method=event.method, target=event.target, headers=headers
                )
                self.parts = []
            elif isinstance(event, h11.Data):
                self.parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.proxy.forward(self)
                return
            else:
                return

    def answer(self, head: h11.Response, parts: list[bytes]) -> None:
        """Write an answer."""
        headers = [pair for pair in head.headers if pair[0] not in DROPPED]
        response = h11.Response(status_code=head.status_code, headers=headers, reason=head.reason)
        data = self.parser.send(response)
        if parts:
            data += self.parser.send(h11.Data(data=b"".join(parts)))
        self.transport.write(data + self.parser.send(h11.EndOfMessage()))
        self.parser.start_next_cycle()


class PassThrough:
    """Keep the pool of upstream connections."""

    __slots__ = ("address", "port", "idle", "tasks")

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.idle: list[Upstream] = []
        self.tasks: set[asyncio.Task] = set()

    def forward(self, caller: Caller) -> None:
        """Send on an idle connection or open one."""
        if self.idle:
            self.idle.pop().send(caller)
            return
        task = asyncio.get_running_loop().create_task(self.connect(caller))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, caller: Caller) -> None:
        """Open a connection and send."""
        _, upstream = await asyncio.get_running_loop().create_connection(
            lambda: Upstream(self), self.address, self.port
        )
        upstream.send(caller)


async def serve(listen: str, upstream: str) -> None:
    """Serve until the process is ended."""
    address, _, port = upstream.rpartition(":")
    proxy = PassThrough(address, int(port))
    address, _, port = listen.rpartition(":")
    server = await asyncio.get_running_loop().create_server(
        lambda: Caller(proxy), address, int(port)
    )
    print("event=ready", file=sys.stderr, flush=True)
    await server.serve_forever()


def main() -> None:
    """Run the pass-through."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, metavar="ADDRESS:PORT")
    parser.add_argument("--upstream", required=True, metavar="ADDRESS:PORT")
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.listen, arguments.upstream))


if __name__ == "__main__":
    main()
