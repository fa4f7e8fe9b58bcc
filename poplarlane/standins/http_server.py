"""HTTP/1.1 server of the stand-ins: callbacks over h11, one exchange at a time per connection."""

import asyncio
import json
import select
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from poplarlane.plumbing.resets import reset

MAX_ACCEPT_ROUNDS = 1_000
# asyncio drops an accepted connection without closing it when its listener is closed before the
# connection's transport is made, which takes up to two rounds of the loop.
QUIET_ROUNDS = 4
# A linger time of zero makes close() send a reset in place of an orderly end.
Headers = list[tuple[str, str]]


class Exchange:
    """Hold one request and the means to answer it; `on_cancel` runs if the caller leaves first."""

    __slots__ = (
        "connection",
        "method",
        "path",
        "query",
        "headers",
        "body",
        "received_at",
        "on_cancel",
        "finished",
    )

    def __init__(self, connection: "HttpConnection", head: h11.Request, now: float) -> None:
        parts = urlsplit(head.target.decode("latin-1"))
        self.connection = connection
        self.method = head.method.decode("latin-1")
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query))
        self.headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
        }
        self.body = b""
        self.received_at = now
        self.on_cancel: Callable[[], None] | None = None
        self.finished = False

    @property
    def source(self) -> str:
        """Give the address of the peer."""
        return self.connection.source

    def reply(self, status: int, headers: Headers, body: bytes, close: bool = False) -> None:
        """Answer the request; does nothing once the caller is gone."""
        if self.finished:
            return
        self.finished = True
        self.connection.send_response(status, headers, body, close)

    def reply_json(self, status: int, document: Any) -> None:
        """Answer with a JSON document."""
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.reply(status, [("content-type", "application/json")], body)

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.finished = True
        self.connection.abort()


class HttpConnection(asyncio.Protocol):
    """Serve one connection; `handler` receives each complete request."""

    __slots__ = ("server", "transport", "parser", "exchange", "source", "opened_at", "loop")

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = h11.Connection(h11.SERVER)
        self.exchange: Exchange | None = None
        self.source = ""
        self.opened_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.source = transport.get_extra_info("peername")[0]
        self.opened_at = self.loop.time()
        if len(self.server.connections) >= self.server.max_connections:
            self.server.refused_connections += 1
            self.abort()
            return
        self.server.connections.add(self)
        self.server.opened_connections += 1

    def data_received(self, data: bytes) -> None:
        self.parser.receive_data(data)
        self.read_events()

    def read_events(self) -> None:
        """Hand complete requests to the handler."""
        try:
            while True:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self.handle_event(event)
                if isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as error:
            self.reject(error.error_status_hint)

    def handle_event(self, event: h11.Event) -> None:
        """Collect one request."""
        if isinstance(event, h11.Request):
            self.exchange = Exchange(self, event, self.loop.time())
        elif isinstance(event, h11.Data):
            self.exchange.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self.server.handler(self.exchange)

    def reject(self, status: int) -> None:
        """Answer malformed HTTP and close."""
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.send_response(status, [], b"", close=True)
        else:
            self.abort()

    def is_head(self) -> bool:
        """Tell whether the request being answered is a HEAD."""
        return self.exchange is not None and self.exchange.method == "HEAD"

    def send_response(self, status: int, headers: Headers, body: bytes, close: bool) -> None:
        """Write a complete answer and go on to the next request."""
        if self.transport.is_closing():
            return
        headers = [*headers, ("content-length", str(len(body)))]
        if close or self.server.closing:
            headers.append(("connection", "close"))
        data = self.parser.send(h11.Response(status_code=status, headers=headers))
        # An answer to HEAD has the length of a body and none.
        if body and not self.is_head():
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        self.transport.write(data)
        self.exchange = None
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.our_state is h11.ERROR:
            self.transport.close()
        elif self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
            self.read_events()

    def has_input(self) -> bool:
        """Tell whether bytes or an end of stream wait to be read."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Reset the connection."""
        reset(self.transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        if self.exchange is not None and not self.exchange.finished:
            self.exchange.finished = True
            if self.exchange.on_cancel is not None:
                self.exchange.on_cancel()


class HttpServer:
    """Accept connections and bound their number."""

    __slots__ = (
        "handler",
        "max_connections",
        "connections",
        "opened_connections",
        "refused_connections",
        "listener",
        "closing",
    )

    def __init__(
        self, handler: Callable[[Exchange], None], max_connections: int = 1_000_000
    ) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.connections: set[HttpConnection] = set()
        self.opened_connections = 0
        self.refused_connections = 0
        self.listener: asyncio.Server | None = None
        # Whether each connection is closed after its next answer.
        self.closing = False

    async def listen(self, address: str, port: int) -> None:
        """Start to accept connections."""
        self.closing = False
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: HttpConnection(self), address, port, backlog=1024
        )

    async def close_idle(self) -> None:
        """Stop accepting, close idle connections now and busy ones after their answers.

        A connection whose next request has arrived but was not read yet counts as busy, and
        connections that wait to be accepted are accepted first: closing the listener resets them.
        """
        poll = select.poll()
        poll.register(self.listener.sockets[0], select.POLLIN)
        quiet_rounds = 0
        for _ in range(MAX_ACCEPT_ROUNDS):
            quiet_rounds = 0 if poll.poll(0) else quiet_rounds + 1
            if quiet_rounds == QUIET_ROUNDS:
                break
            await asyncio.sleep(0)
        self.listener.close()
        self.closing = True
        for connection in list(self.connections):
            if connection.exchange is None and not connection.has_input():
                connection.transport.close()

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.close()
