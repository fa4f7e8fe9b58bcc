"""Client side of an entry: pooled connections to targets."""

import asyncio
import select
from collections.abc import Iterator
from typing import TYPE_CHECKING

import h11

from poplarlane.decisions.requests.entry_events import FailureCause
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.heads import (
    HEAD_END,
    ResponseHead,
    head_fault,
    partial_head_fault,
    read_response_head,
)
from poplarlane.plumbing.long_responses import LongResponse, put_off
from poplarlane.plumbing.message_bodies import Body, BodyFault, ChunkedBody, OpenBody
from poplarlane.plumbing.response_parsers import (
    MAX_RESPONSE_HEAD_BYTES,
    body_of,
    parse_head,
    response_fault,
)
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.turns import is_long

if TYPE_CHECKING:
    from poplarlane.plumbing.entry_shell import EntryShell

CONNECT_TIMEOUT_S = 1.0
# Reads of 256 KB would be held for each response whose caller does not read.
READ_BYTES = 65_536
MAX_INFORMATIONAL = 8
# Late responses to earlier requests that may be skipped before the expected one.
MAX_SKIPPED_RESPONSES = 2
# An endless skipped response would otherwise keep the connection until the deadline.
MAX_SKIPPED_BYTES = 262_144
# Responses to probes have almost no body.
MAX_PROBE_BYTES = 16_384
# Idle connections are closed well before the idle time-out that the target announced.
IDLE_LIMIT_FRACTION = 0.7


class TargetConnection(asyncio.Protocol):
    """Connection to a target that carries one exchange at a time."""

    __slots__ = (
        "shell",
        "pool",
        "transport",
        "body",
        "exchange",
        "reusable",
        "buffer",
        "informational",
        "idle_since",
        "idle_limit_s",
        "skipped_responses",
        "is_skipping",
        "skipped_bytes",
        "closed",
        "unsent",
        "is_writing_paused",
        "long_input",
    )

    def __init__(self, shell: "EntryShell", pool: "ConnectionPool") -> None:
        self.shell = shell
        self.pool = pool
        self.transport: asyncio.Transport
        # Exists from the head of a response to its end.
        self.body: Body | None = None
        self.exchange: Exchange | None = None
        self.reusable = True
        # A head that is not complete yet.
        self.buffer = b""
        self.informational = 0
        self.idle_since = 0.0
        # Idle time after which the entry closes the connection.
        self.idle_limit_s = shell.target_idle_s
        # Responses to earlier requests that arrived in place of the expected one.
        self.skipped_responses = 0
        self.is_skipping = False
        self.skipped_bytes = 0
        self.closed = False
        # Parts of the request's body that are still to be written.
        self.unsent: Iterator[bytearray] | None = None
        self.is_writing_paused = False
        # Input of this response that is worked on in later turns.
        self.long_input: LongResponse | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection in its pool."""
        self.transport = transport
        transport.max_size = READ_BYTES
        self.pool.open += 1

    def send(self, exchange: Exchange) -> None:
        """Send the request of an exchange."""
        self.exchange = exchange
        exchange.connection = self
        self.body = None
        self.informational = 0
        data, exchange.data = exchange.data, b""
        self.transport.write(data)
        if exchange.body:
            self.unsent = iter(exchange.body)
            self.write_body()

    def write_body(self) -> None:
        """Write parts of the body while the target takes them."""
        while self.unsent is not None and not self.is_writing_paused and not self.closed:
            part = next(self.unsent, None)
            if part is None:
                self.unsent = None
            else:
                self.transport.write(part)

    def pause_writing(self) -> None:
        """Stop writing parts of the body until the target has taken some."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Continue to write the body."""
        self.is_writing_paused = False
        self.write_body()

    def data_received(self, data: bytes) -> None:
        """Read the response to the current exchange, in later turns if it may be much work."""
        if self.exchange is None:
            if not self.closed:
                self.shell.log_connection_fault(self.pool.target, "bytes on an idle connection")
                self.abort()
            return
        found = self.long_input
        if found is not None and not found.is_done():
            found.add_later(data)
        elif (self.body is None or type(self.body) is ChunkedBody) and is_long(data):
            put_off(self, data)
        else:
            self.take(data)

    def take(self, data: bytes) -> None:
        """Read input of bounded work."""
        while data:
            data = self.read_head(data) if self.body is None else self.read_body(data)

    def read_head(self, data: bytes) -> bytes:
        """Read a head once it is complete; return the bytes that are still to be read."""
        buffer = self.buffer + data if self.buffer else data
        end = buffer.find(HEAD_END)
        if end < 0:
            fault = partial_head_fault(buffer)
            if len(buffer) > MAX_RESPONSE_HEAD_BYTES:
                fault = "answer head too large"
            self.buffer = buffer
            return b"" if fault is None else self.fail(FailureCause.ANSWER_INVALID, fault)
        self.buffer = b""
        end += len(HEAD_END)
        raw, rest = buffer[:end], buffer[end:]
        fault = head_fault(raw)
        if fault is not None:
            return self.fail(FailureCause.ANSWER_INVALID, fault)
        try:
            event = parse_head(raw)
        except h11.RemoteProtocolError as error:
            return self.fail(FailureCause.ANSWER_INVALID, str(error))
        if type(event) is h11.InformationalResponse:
            return self.handle_informational(event, rest)
        exchange = self.exchange
        if not self.handle_head(exchange, event):
            return b""
        if self.body.is_complete:
            self.body.rest = rest
            return self.handle_end(exchange)
        return rest

    def read_body(self, data: bytes) -> bytes:
        """Read a part of the body; return the bytes that are still to be read."""
        exchange, body, long_input = self.exchange, self.body, self.long_input
        chunks = body.chunks if long_input is not None and type(body) is ChunkedBody else 0
        try:
            part = body.feed(data)
        except BodyFault as fault:
            return self.fail(FailureCause.ANSWER_INVALID, str(fault))
        if long_input is not None and type(body) is ChunkedBody:
            long_input.note_body(len(part), body.chunks - chunks)
        if part and not self.handle_data(exchange, part):
            return b""
        return self.handle_end(exchange) if body.is_complete else b""

    def handle_data(self, exchange: Exchange, data: bytes) -> bool:
        """Pass on or skip a part of a body; return false if it ended the exchange."""
        if self.is_skipping:
            self.skipped_bytes += len(data)
            if self.skipped_bytes > MAX_SKIPPED_BYTES:
                self.fail(FailureCause.ANSWER_INVALID, "answer to another request without end")
                return False
            return True
        if exchange.is_probe and exchange.buffered_bytes + len(data) > MAX_PROBE_BYTES:
            self.fail(FailureCause.ANSWER_INVALID, "answer to a probe too large")
            return False
        self.shell.handle_response_data(exchange, data)
        return not exchange.cancelled

    def handle_informational(self, event: h11.InformationalResponse, rest: bytes) -> bytes:
        """Skip an unrequested interim response; the connection is not reused."""
        self.reusable = False
        self.informational += 1
        self.shell.interim_read(self.exchange, event)
        if event.status_code == 101 or self.informational > MAX_INFORMATIONAL:
            return self.fail(FailureCause.ANSWER_INVALID, f"unexpected status {event.status_code}")
        return rest if self.exchange is not None else b""

    def handle_head(self, exchange: Exchange, event: h11.Response) -> bool:
        """Check the head of a response; return whether its body may be read."""
        names = self.shell.header_names
        headers = event.headers.raw_items()
        head = read_response_head(event.status_code, event.reason, headers, names)
        exchange.head = head
        if head.idle_limit_s:
            target_limit_s = head.idle_limit_s * IDLE_LIMIT_FRACTION
            self.idle_limit_s = min(self.shell.target_idle_s, target_limit_s)
        if event.http_version != b"1.1":
            head.reusable = False
        bodiless = exchange.is_head or event.status_code in (204, 304)
        self.body = body_of(head, bodiless)
        if head.length is None and not head.chunked and not bodiless:
            if not names.signature:
                # The end of the response could not be distinguished from a lost connection.
                self.fail(FailureCause.ANSWER_INVALID, "answer without a length")
                return False
            head.reusable = False
        if exchange.is_probe:
            # A response to a probe has no request ID; one that has belongs to an earlier request.
            return not head.request_id or self.skip_stale_response(head, bodiless)
        sent_id = exchange.request_header_id
        if sent_id and head.request_id != sent_id and (head.request_id or names.signature):
            return self.skip_stale_response(head, bodiless)
        if names.signature and not head.metadata.not_run:
            fault = response_fault(head)
            if fault:
                self.fail(FailureCause.ANSWER_INVALID, fault)
                return False
        return True

    def skip_stale_response(self, head: ResponseHead, bodiless: bool) -> bool:
        """Skip a response to an earlier request; return whether the exchange continues."""
        if head.request_id and self.skipped_responses < MAX_SKIPPED_RESPONSES and not bodiless:
            self.skipped_responses += 1
            self.is_skipping = True
            self.reusable = False
            return True
        self.fail(FailureCause.ANSWER_INVALID, "answer to another request")
        return False

    def handle_end(self, exchange: Exchange) -> bytes:
        """Pass on a complete response and return a reusable connection to the pool."""
        rest = self.body.rest
        self.body = None
        if self.is_skipping:
            # The expected response follows.
            self.is_skipping = False
            return rest
        head = exchange.head
        clean = (
            self.reusable
            and head.reusable
            and not rest
            and (self.long_input is None or self.long_input.is_clean())
            and self.unsent is None
            and not self.transport.get_write_buffer_size()
        )
        if head.metadata.not_run and exchange.request is not None:
            exchange.request.refused_on += (self,)
        self.exchange = None
        exchange.connection = None
        was_long, self.long_input = self.long_input is not None, None
        if was_long or exchange.streaming_to is not None:
            # A slow caller may have paused reading, and nothing else would resume it.
            self.transport.resume_reading()
        if clean:
            self.pool.release(self)
        else:
            self.abort()
        self.shell.response_read(exchange)
        return b""

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the close; connection_lost handles others."""
        if self.exchange is None:
            return False
        if self.long_input is not None and not self.long_input.is_done():
            self.long_input.has_ended = True
            return True
        if type(self.body) is OpenBody:
            self.handle_end(self.exchange)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss of the connection during an exchange."""
        self.closed = True
        self.pool.discard(self)
        if self.exchange is not None:
            started = self.body is not None or bool(self.buffer)
            cause = FailureCause.CLOSED_BEFORE_ANSWER
            if started:
                cause = FailureCause.ANSWER_TRUNCATED
            self.fail(cause, str(error) if error else "connection closed")

    def fail(self, cause: FailureCause, detail: str) -> bytes:
        """Report a failed exchange and close the connection; return that nothing is to be read."""
        exchange, self.exchange = self.exchange, None
        self.abort()
        if exchange is not None:
            exchange.connection = None
            self.shell.exchange_failed(exchange, cause, detail)
        return b""

    def is_open(self) -> bool:
        """Return whether an idle connection can carry a request.

        The target may have closed it while the event loop was busy; a non-idempotent request sent
        on it would have an unknown outcome. Unexpected input also makes it unusable.
        """
        if self.closed or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def abort(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        self.unsent = None
        self.long_input = None
        if not self.closed:
            self.closed = True
            self.pool.discard(self)
            self.transport.abort()
