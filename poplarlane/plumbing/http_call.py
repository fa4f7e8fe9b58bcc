"""A single HTTP/1.1 call on a new connection, with a time-out."""

import asyncio
from dataclasses import dataclass

import h11

READ_BYTES = 65_536
# Enough for a stored value of 1 MB in its JSON envelope, and a list of some hundred services.
MAX_RESPONSE_BYTES = 64_000_000


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a complete response; with `sent`, the server may have executed it."""

    reason: str
    sent: bool


class Exchange:
    """One request on one connection; `sent` is set before the first byte is written."""

    __slots__ = ("connection", "reader", "writer", "sent")

    def __init__(self) -> None:
        self.connection = h11.Connection(h11.CLIENT)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.sent = False

    async def run(
        self, address: str, port: int, request: h11.Request, body: bytes
    ) -> CallResponse | CallFailure:
        """Connect, send the request and read the response."""
        self.reader, self.writer = await asyncio.open_connection(address, port)
        pieces = [self.connection.send(request)]
        if body:
            pieces.append(self.connection.send(h11.Data(data=body)))
        pieces.append(self.connection.send(h11.EndOfMessage()))
        self.sent = True
        self.writer.write(b"".join(pieces))
        await self.writer.drain()
        return await self.read_response()

    async def read_response(self) -> CallResponse | CallFailure:
        """Read until the response is complete."""
        status, size, pieces = 0, 0, []
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_RESPONSE_BYTES:
                    return CallFailure(f"response exceeds {MAX_RESPONSE_BYTES} bytes", True)
                pieces.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return CallResponse(status, b"".join(pieces))
            elif isinstance(event, h11.ConnectionClosed):
                return CallFailure("connection closed before the response", True)

    def close(self) -> None:
        """Close the connection without waiting for the peer."""
        if self.writer is not None:
            self.writer.close()


async def call(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> CallResponse | CallFailure:
    """Make one call; network errors are returned as CallFailure, never raised."""
    host = f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
    fields = {"host": host, "connection": "close", **headers}
    if body or method in ("PUT", "POST"):
        fields |= {"content-type": "application/json", "content-length": str(len(body))}
    request = h11.Request(method=method, target=path, headers=list(fields.items()))
    exchange = Exchange()
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange.run(address, port, request, body)
    except TimeoutError:
        return CallFailure(f"no response from {host} in {timeout_s:.1f} s", exchange.sent)
    except OSError as error:
        return CallFailure(f"{host}: {error.strerror or error}", exchange.sent)
    except h11.RemoteProtocolError as error:
        return CallFailure(f"{host} sent a malformed response: {error}", True)
    finally:
        exchange.close()
