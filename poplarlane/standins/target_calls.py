"""Nested calls of the stand-in target through an entry."""

import asyncio
import json
import math

import h11

MAX_CHAIN_DEPTH = 26
DEFAULT_TIMEOUT_S = 30.0
READ_BYTES = 65_536
PASSED_HEADERS = (
    "x-attempt",
    "x-poplar-hedged",
    "x-poplar-retried",
    "x-caller-labels",
    "x-call-entry",
    "traceparent",
)


class NestedAnswer:
    """Hold the answer to a nested call; status 0 means that there was none."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers


def chain_of(headers: dict[str, str]) -> list[str]:
    """Read the hosts that are still to be called."""
    text = headers.get("x-call-chain")
    if not text or "x-call-entry" not in headers:
        return []
    return json.loads(text)[:MAX_CHAIN_DEPTH]


async def call_next(
    method: str, path: str, headers: dict[str, str], chain: list[str], deadline: float
) -> NestedAnswer:
    """Call the first host of the chain through the entry; the deadline is an instant."""
    loop = asyncio.get_running_loop()
    left_s = min(deadline - loop.time(), DEFAULT_TIMEOUT_S)
    try:
        async with asyncio.timeout(max(left_s, 0.0)):
            return await exchange(method, path, nested_headers(headers, chain, deadline))
    except (OSError, TimeoutError, h11.ProtocolError):
        return NestedAnswer(0, {})


def nested_headers(headers: dict[str, str], chain: list[str], deadline: float) -> dict[str, str]:
    """Build the headers of a nested call; the request id gains the depth."""
    passed = {name: headers[name] for name in PASSED_HEADERS if name in headers}
    passed["host"] = chain[0]
    passed["x-request-id"] = f"{headers.get('x-request-id', 'none')}.{len(chain)}"
    if len(chain) > 1:
        passed["x-call-chain"] = json.dumps(chain[1:])
    if deadline < math.inf:
        left_s = deadline - asyncio.get_running_loop().time()
        passed["x-deadline-ms"] = str(max(int(left_s * 1000), 1))
    return passed


async def exchange(method: str, path: str, headers: dict[str, str]) -> NestedAnswer:
    """Send one request on a new connection and read the whole answer."""
    address, _, port = headers["x-call-entry"].rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    try:
        connection = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method=method, target=path, headers=[*headers.items(), ("connection", "close")]
        )
        writer.write(connection.send(head) + connection.send(h11.EndOfMessage()))
        return await read_answer(connection, reader)
    finally:
        writer.transport.abort()


async def read_answer(connection: h11.Connection, reader: asyncio.StreamReader) -> NestedAnswer:
    """Read one answer."""
    answer = NestedAnswer(0, {})
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers
            }
        elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
            return answer
