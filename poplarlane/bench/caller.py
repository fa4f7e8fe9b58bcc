"""Callers of the load generator: connections with a light reader for answers."""

import asyncio
import zlib
from collections.abc import Callable

from poplarlane.bench.records import Seen

HEAD_END = b"\r\n\r\n"
NOT_RUN_CODES = range(1200, 1300)
UNKNOWN_CODES = range(1300, 1400)
MALFORMED_CODES = range(1400, 1500)


class Call:
    """Hold one request on the wire; `done` receives the call when it has ended."""

    __slots__ = (
        "request_id",
        "data",
        "done",
        "status",
        "code",
        "seen",
        "connection",
        "timer",
        "entry",
    )

    def __init__(self, request_id: str, data: bytes, done: Callable[["Call"], None]) -> None:
        self.request_id = request_id
        self.data = data
        self.done = done
        self.status = 0
        self.code = 0
        self.seen = Seen.MISSING
        self.connection: CallerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.entry = -1


class Head:
    """Hold the parsed head of an answer; `length` is -1 when the body ends with the connection."""

    __slots__ = ("status", "headers", "length", "close", "chunked")

    def __init__(self, data: bytes) -> None:
        first, *lines = data.split(b"\r\n")
        self.status = int(first[9:12])
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(b":")
            self.headers[name.lower()] = value.strip()
        self.length = int(self.headers.get(b"content-length", b"-1"))
        self.chunked = self.headers.get(b"transfer-encoding") == b"chunked"
        self.close = self.headers.get(b"connection", b"").lower() == b"close"


class CallerConnection(asyncio.Protocol):
    """Send one request at a time; `idle` receives the connection when it can be used again."""

    __slots__ = ("transport", "call", "buffer", "head", "idle", "entry")

    def __init__(self, entry: int, idle: list["CallerConnection"]) -> None:
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.buffer = b""
        self.head: Head | None = None
        self.idle = idle
        self.entry = entry

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def send(self, call: Call) -> None:
        """Send a request."""
        self.call = call
        call.connection = self
        self.transport.write(call.data)

    def data_received(self, data: bytes) -> None:
        self.buffer = self.buffer + data if self.buffer else data
        if self.call is None:
            # Bytes without a request belong to nobody; the connection is not used again.
            self.transport.abort()
            return
        if self.head is None and not self.read_head():
            return
        self.read_body(ended=False)

    def read_head(self) -> bool:
        """Parse the head once it is complete."""
        end = self.buffer.find(HEAD_END)
        if end < 0:
            return False
        self.head = Head(self.buffer[:end])
        self.buffer = self.buffer[end + 4 :]
        return True

    def read_body(self, ended: bool) -> None:
        """End the call once the body is complete."""
        head = self.head
        if head.chunked:
            body = dechunk(self.buffer)
            if body is not None:
                self.finish(body, leftover=b"")
        elif head.length < 0:
            if ended:
                self.finish(self.buffer, leftover=b"")
        elif len(self.buffer) >= head.length:
            self.finish(self.buffer[: head.length], self.buffer[head.length :])

    def finish(self, body: bytes, leftover: bytes) -> None:
        """Judge a complete answer and free the connection."""
        call, head = self.call, self.head
        judge(call, head, body)
        if leftover:
            call.seen = Seen.MIXED
        self.call, self.head, self.buffer = None, None, b""
        if head.close or leftover:
            self.transport.close()
        elif not self.transport.is_closing():
            self.idle.append(self)
        call.done(call)

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.idle:
            self.idle.remove(self)
        if self.call is not None and self.head is not None and self.head.length < 0:
            self.read_body(ended=True)
        if self.call is not None:
            call, self.call = self.call, None
            started = self.head is not None or self.buffer
            call.seen = Seen.TRUNCATED if started else Seen.MISSING
            call.done(call)

    def abandon(self) -> None:
        """Close the connection under a running call, which then never ends by itself."""
        self.call = None
        self.transport.abort()


def dechunk(data: bytes) -> bytes | None:
    """Decode a chunked body; None while it is incomplete."""
    body = b""
    while True:
        size_text, found, data = data.partition(b"\r\n")
        if not found:
            return None
        size = int(size_text.split(b";")[0], 16)
        if len(data) < size + 2:
            return None
        if size == 0:
            return body
        body += data[:size]
        data = data[size + 2 :]


def judge(call: Call, head: Head, body: bytes) -> None:
    """Classify a complete answer and check that it belongs to the request."""
    call.status = head.status
    code = head.headers.get(b"x-poplar-result", b"0")
    call.code = int(code) if code.isdigit() else 0
    if not belongs(call, head, body):
        call.seen = Seen.MIXED
    elif call.code in NOT_RUN_CODES:
        call.seen = Seen.NOT_RUN
    elif call.code in UNKNOWN_CODES:
        call.seen = Seen.UNKNOWN
    elif call.code in MALFORMED_CODES:
        call.seen = Seen.MALFORMED
    else:
        call.seen = Seen.OK if head.status == 200 else Seen.TARGET_FAILED


def belongs(call: Call, head: Head, body: bytes) -> bool:
    """Check request id and checksum; an answer of a target must carry both."""
    wanted = call.request_id.encode()
    if head.headers.get(b"x-request-id", wanted) != wanted:
        return False
    checksum = head.headers.get(b"x-body-crc")
    if checksum is not None and checksum != b"%08x" % zlib.crc32(body):
        return False
    if head.status == 200:
        return checksum is not None and body.startswith(wanted + b"\n")
    return True
