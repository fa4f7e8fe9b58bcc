"""Client for the platform's object API, using h11 over asyncio streams."""

import asyncio
import random
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from poplarlane.error_text import error_text
from poplarlane.plumbing.turns import WorkPauses, has_excessive_framing

READ_BYTES = 65_536
MAX_RESPONSE_BYTES = 64_000_000
MAX_IDLE_CONNECTIONS = 4
# zlib `wbits` value for the gzip format.
GZIP_WBITS = 31
GZIP = b"gzip"
CALLER_HEADER = "x-poplarlane-caller"
# A read is retried at most once, and at most 10% of reads on average.
RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 3.0
RETRY_JITTER_S = (0.05, 0.3)
# Time-outs grow while the platform is slow; a fixed one would cut off every call.
MAX_TIMEOUT_FACTOR = 5.0
# Tokens that probe-grant calls leave for watches and lists, because changes have priority.
RESERVED_TOKENS = 2.0
LOW_PRIORITY = frozenset({"read_grant", "write_grant"})


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """A response with its complete body; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[bytes, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """A call without a response; with `sent`, a write may have taken effect."""

    reason: str
    sent: bool


class CallRateLimiter:
    """Token bucket that limits the rate of calls; holds tokens for one second."""

    __slots__ = ("rate", "tokens", "refilled_at")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = max(1.0, rate)
        self.refilled_at = now

    def wait_s(self, now: float) -> float:
        """Take a token and return the time to wait until it is available."""
        self.tokens = min(max(1.0, self.rate), self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        self.tokens -= 1.0
        return max(0.0, -self.tokens / self.rate)

    def allows_low_priority(self, now: float) -> bool:
        """Return whether a low-priority call may be made."""
        tokens = min(max(1.0, self.rate), self.tokens + (now - self.refilled_at) * self.rate)
        return tokens >= min(self.rate, 1.0 + RESERVED_TOKENS)

    def return_token(self) -> None:
        """Return an unused token."""
        self.tokens += 1.0


class PlatformClient:
    """Make calls with time-outs, within a call rate and a retry budget."""

    __slots__ = (
        "address",
        "port",
        "source",
        "caller",
        "timeout_s",
        "clock",
        "generator",
        "rate",
        "retry_tokens",
        "max_timeout_factor",
        "max_response_bytes",
        "idle",
        "counts",
        "timeouts",
        "sent_bytes",
        "received_bytes",
    )

    def __init__(
        self,
        address: str,
        port: int,
        source: str,
        caller: str,
        timeout_s: float,
        calls_per_s: float,
        clock: Callable[[], float],
        generator: random.Random,
        max_timeout_factor: float = MAX_TIMEOUT_FACTOR,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self.max_timeout_factor = max_timeout_factor
        self.address = address
        self.port = port
        self.source = source
        self.caller = caller
        self.timeout_s = timeout_s
        self.clock = clock
        self.generator = generator
        self.rate = CallRateLimiter(calls_per_s, clock())
        self.retry_tokens = MAX_RETRY_TOKENS
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, h11.Connection]] = []
        self.counts: Counter[str] = Counter()
        self.timeouts = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    async def read(
        self, operation: str, path: str, wait_s: float = 0.0
    ) -> PlatformResponse | PlatformFailure:
        """Read; a failed call is retried once if the retry budget allows it.

        `wait_s` is how long the platform may delay the response (long polling).
        """
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_RATIO)
        response = await self.call(operation, "GET", path, b"", {}, wait_s)
        if isinstance(response, PlatformResponse) or wait_s > 0 or self.retry_tokens < 1.0:
            return response
        self.retry_tokens -= 1.0
        self.counts["retries"] += 1
        await asyncio.sleep(self.generator.uniform(*RETRY_JITTER_S))
        return await self.call(operation, "GET", path, b"", {}, wait_s)

    async def write(
        self, operation: str, path: str, body: bytes, version: int
    ) -> PlatformResponse | PlatformFailure:
        """Write if the stored version is still `version`; 0 creates. Never retried here."""
        condition = {"if-match": str(version)} if version else {"if-none-match": "*"}
        return await self.call(operation, "PUT", path, body, condition, 0.0)

    async def call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        wait_s: float,
    ) -> PlatformResponse | PlatformFailure:
        """Make one call within the rate limit."""
        if operation in LOW_PRIORITY and not self.rate.allows_low_priority(self.clock()):
            self.counts["withheld"] += 1
            return PlatformFailure("call rate limit: no tokens for low-priority calls", False)
        delay_s = self.rate.wait_s(self.clock())
        if delay_s > self.timeout_s:
            self.rate.return_token()
            self.counts["withheld"] += 1
            return PlatformFailure("call rate limit: the wait exceeds the time-out", False)
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self.counts[operation] += 1
        timeout_factor = min(self.max_timeout_factor, 1.0 + self.timeouts)
        sent: list[bool] = []
        try:
            async with asyncio.timeout(self.timeout_s * timeout_factor + wait_s):
                response = await self.exchange(method, path, body, headers, sent)
        except TimeoutError:
            self.timeouts += 1
            self.counts["failures"] += 1
            return PlatformFailure("no response within the time-out", bool(sent))
        except (OSError, h11.ProtocolError, asyncio.IncompleteReadError) as error:
            self.counts["failures"] += 1
            return PlatformFailure(error_text(error), bool(sent))
        self.timeouts = 0
        if response.status >= 429:
            self.counts["refused"] += 1
        return response

    async def exchange(
        self, method: str, path: str, body: bytes, headers: dict[str, str], sent: list[bool]
    ) -> PlatformResponse:
        """Send a request on an idle or new connection and read the complete response."""
        reader, writer, connection = await self.connection()
        finished = False
        try:
            data = self.encode(connection, method, path, body, headers)
            writer.write(data)
            sent.append(True)
            self.sent_bytes += len(data)
            status, headers, content = await read_content(
                reader, connection, self.max_response_bytes
            )
            self.received_bytes += len(content)
            encoding = headers.get(b"content-encoding", b"").strip().lower()
            content = decode_content(encoding, content, self.max_response_bytes)
            response = PlatformResponse(status, content, headers)
            finished = connection.our_state is connection.their_state is h11.DONE
            return response
        finally:
            if finished and len(self.idle) < MAX_IDLE_CONNECTIONS:
                connection.start_next_cycle()
                self.idle.append((reader, writer, connection))
            else:
                writer.transport.abort()

    async def connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, h11.Connection]:
        """Return an idle connection that is still open, or a new one."""
        while self.idle:
            reader, writer, connection = self.idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer, connection
            writer.transport.abort()
        reader, writer = await asyncio.open_connection(
            self.address, self.port, local_addr=(self.source, 0)
        )
        return reader, writer, h11.Connection(h11.CLIENT)

    def encode(
        self,
        connection: h11.Connection,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> bytes:
        """Encode a request with its headers and body."""
        fields = [("host", self.address), (CALLER_HEADER, self.caller), *headers.items()]
        if method == "GET":
            fields.append(("accept-encoding", GZIP.decode()))
        if body:
            fields += [("content-type", "application/json"), ("content-length", str(len(body)))]
        data = connection.send(h11.Request(method=method, target=path, headers=fields))
        if body:
            data += connection.send(h11.Data(data=body))
        return data + (connection.send(h11.EndOfMessage()) or b"")

    def close(self) -> None:
        """Close idle connections."""
        for _, writer, _ in self.idle:
            writer.transport.abort()
        self.idle.clear()


async def read_response(
    reader: asyncio.StreamReader, connection: h11.Connection, limit: int
) -> PlatformResponse:
    """Read a complete response to a request that accepted no content encoding."""
    status, headers, content = await read_content(reader, connection, limit)
    return PlatformResponse(status, content, headers)


async def read_content(
    reader: asyncio.StreamReader, connection: h11.Connection, limit: int
) -> tuple[int, dict[bytes, bytes], bytes]:
    """Read a complete response of at most `limit` bytes; return status, headers and content.

    Raises h11.RemoteProtocolError for a malformed or truncated response.
    """
    status = 0
    headers: dict[bytes, bytes] = {}
    content = bytearray()
    read_bytes = 0
    pauses = WorkPauses()
    while True:
        event = connection.next_event()
        await pauses.step()
        if event is h11.NEED_DATA:
            if has_excessive_framing(read_bytes, len(content)):
                raise h11.RemoteProtocolError("framing out of proportion to the body")
            pauses.stop()
            data = await reader.read(READ_BYTES)
            pauses.resume()
            read_bytes += len(data)
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            content += event.data
            if len(content) > limit:
                raise h11.RemoteProtocolError("the response is too large")
        elif isinstance(event, h11.EndOfMessage):
            return status, headers, bytes(content)
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("connection closed before the end of the response")


def decode_content(encoding: bytes, content: bytes, limit: int) -> bytes:
    """Decode the content of a response; raises h11.RemoteProtocolError when that fails."""
    if encoding in (b"", b"identity"):
        return content
    if encoding != GZIP:
        raise h11.RemoteProtocolError(f"unknown content encoding {encoding!r}")
    return decompress(content, limit)


def decompress(content: bytes, limit: int) -> bytes:
    """Decompress gzip into at most `limit` bytes; raises h11.RemoteProtocolError.

    The limit is checked while decompressing: 64 KB of gzip can expand to 64 MB.
    """
    body = bytearray()
    while content:
        stream = zlib.decompressobj(GZIP_WBITS)
        try:
            body += stream.decompress(content, limit + 1 - len(body))
        except zlib.error as error:
            raise h11.RemoteProtocolError(f"malformed gzip: {error}") from error
        if len(body) > limit:
            raise h11.RemoteProtocolError("the platform's response is too large")
        if not stream.eof:
            raise h11.RemoteProtocolError("the gzip content is incomplete")
        # A gzip file may have several members.
        content = stream.unused_data
    return bytes(body)
