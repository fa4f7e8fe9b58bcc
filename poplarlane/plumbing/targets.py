"""Client side of an entry: pooled h11 connections to targets."""

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
    ends_cleanly,
    head_fault,
    partial_head_fault,
    read_response_head,
)
from poplarlane.plumbing.long_responses import LongResponse, put_off
from poplarlane.plumbing.response_parsers import new_parser, response_fault
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.turns import is_long

if TYPE_CHECKING:
    from poplarlane.plumbing.entry_shell import EntryShell

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_HEAD_BYTES = 65_536
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
        "parser",
        "exchange",
        "reusable",
        "buffer",
        "in_body",
        "informational",
        "previous_tail",
        "last_input",
        "idle_since",
        "idle_limit_s",
        "skipped_responses",
        "is_skipping",
        "skipped_bytes",
        "closed",
        "refused_id",
        "unsent",
        "is_writing_paused",
        "long_input",
    )

    def __init__(self, shell: "EntryShell", pool: "ConnectionPool") -> None:
        self.shell = shell
        self.pool = pool
        self.transport: asyncio.Transport
        # Exists from the head of a response to its end.
        self.parser: h11.Connection | None = None
        self.exchange: Exchange | None = None
        self.reusable = True
        self.buffer = b""
        self.in_body = False
        self.informational = 0
        # The last input of the exchange, and the last bytes of the input before it.
        self.previous_tail = b""
        self.last_input = b""
        self.idle_since = 0.0
        # Idle time after which the entry closes the connection.
        self.idle_limit_s = shell.target_idle_s
        # Responses to earlier requests that arrived in place of the expected one.
        self.skipped_responses = 0
        self.is_skipping = False
        self.skipped_bytes = 0
        self.closed = False
        # Request ID of the last response if the target refused the request as not run.
        self.refused_id = b""
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
        self.in_body = False
        self.informational = 0
        self.previous_tail = b""
        self.last_input = b""
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
        """Take input, in later turns if it may hold much work."""
        exchange = self.exchange
        if exchange is None:
            if not self.closed:
                self.shell.log_connection_fault(self.pool.target, "bytes on an idle connection")
                self.abort()
            return
        found = self.long_input
        if found is not None and not found.is_done():
            found.add_later(data)
        elif (not self.in_body or exchange.head.chunked) and is_long(data):
            put_off(self, data)
        else:
            self.take(exchange, data)

    def take(self, exchange: Exchange, data: bytes) -> None:
        """Check heads and feed input of bounded work to the parser."""
        if not self.in_body:
            buffer = self.buffer + data if self.buffer else data
            if not self.check_head(buffer):
                return
            data = buffer
            self.parser = new_parser(data, exchange.is_head)
        self.last_input = data
        self.parser.receive_data(data)
        self.read_events(exchange)
        # Only the end of the input can belong to the end of the message; the rest is not kept.
        self.previous_tail = (self.previous_tail + self.last_input[-4:])[-4:]
        self.last_input = b""

    def check_head(self, buffer: bytes) -> bool:
        """Check the raw head; return whether it is complete."""
        end = buffer.find(HEAD_END)
        if end < 0:
            fault = partial_head_fault(buffer)
            if len(buffer) > MAX_RESPONSE_HEAD_BYTES:
                fault = "answer head too large"
            self.buffer = buffer
        else:
            fault = head_fault(buffer[: end + 4])
            self.buffer = b""
        if fault is not None:
            self.fail(FailureCause.ANSWER_INVALID, fault)
            return False
        return end >= 0

    def read_events(self, exchange: Exchange) -> None:
        """Handle all parser events."""
        parser = self.parser
        body: bytearray | None = None
        chunks = 0
        try:
            while True:
                event = parser.next_event()
                kind = type(event)
                if kind is h11.Data and exchange.head.chunked:
                    # Chunks are handed on together: a write for each would cost more than it.
                    chunks += 1
                    if body is None:
                        body = event.data
                    else:
                        body += event.data
                    continue
                if body is not None:
                    data, body = body, None
                    if self.long_input is not None:
                        self.long_input.note_body(len(data), chunks)
                    if not self.handle_data(exchange, data) and self.exchange is not exchange:
                        return
                if kind is h11.Response:
                    if not self.handle_head(exchange, event):
                        return
                elif kind is h11.Data:
                    if not self.handle_data(exchange, event.data):
                        if self.exchange is None:
                            return
                        continue
                    if exchange.is_complete():
                        # Only EndOfMessage can follow; fetching it takes 2% of a request.
                        self.handle_end(exchange, parser)
                        return
                elif kind is h11.EndOfMessage:
                    self.handle_end(exchange, parser)
                    return
                elif kind is h11.InformationalResponse:
                    if not self.handle_informational(event, parser):
                        return
                else:
                    return
        except h11.RemoteProtocolError as error:
            self.fail(FailureCause.ANSWER_INVALID, str(error))

    def handle_data(self, exchange: Exchange, data: bytes) -> bool:
        """Handle body bytes; return false if they were skipped or ended the exchange."""
        if self.is_skipping:
            self.skipped_bytes += len(data)
            if self.skipped_bytes > MAX_SKIPPED_BYTES:
                self.fail(FailureCause.ANSWER_INVALID, "answer to another request without end")
            return False
        if exchange.is_probe and exchange.buffered_bytes + len(data) > MAX_PROBE_BYTES:
            self.fail(FailureCause.ANSWER_INVALID, "answer to a probe too large")
            return False
        self.shell.handle_response_data(exchange, data)
        return not exchange.cancelled

    def handle_informational(
        self, event: h11.InformationalResponse, parser: h11.Connection
    ) -> bool:
        """Skip an unrequested interim response; the connection is not reused."""
        self.reusable = False
        self.informational += 1
        self.shell.interim_read(self.exchange, event)
        if event.status_code == 101 or self.informational > MAX_INFORMATIONAL:
            self.fail(FailureCause.ANSWER_INVALID, f"unexpected status {event.status_code}")
            return False
        trailing = parser.trailing_data[0]
        if trailing:
            # The head of the final response gets the same checks as a first head.
            self.take(self.exchange, trailing)
        return False

    def handle_head(self, exchange: Exchange, event: h11.Response) -> bool:
        """Check the head of a response; return whether its body may be read."""
        self.in_body = True
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

    def handle_end(self, exchange: Exchange, parser: h11.Connection) -> None:
        """Pass on a complete response and return a reusable connection to the pool."""
        if self.is_skipping:
            self.end_skipped_response(parser)
            return
        head = exchange.head
        trailing = len(parser.trailing_data[0])
        chunked = head.chunked and not exchange.is_head
        if chunked and not ends_cleanly(self.previous_tail + self.last_input, trailing):
            self.fail(FailureCause.ANSWER_INVALID, "bare LF at the end of a chunked body")
            return
        clean = (
            self.reusable
            and head.reusable
            and not trailing
            and (self.long_input is None or self.long_input.is_clean())
            and self.unsent is None
            and not self.transport.get_write_buffer_size()
        )
        self.refused_id = head.request_id if head.metadata.not_run else b""
        self.exchange = None
        exchange.connection = None
        self.parser = None
        self.last_input = b""
        was_long, self.long_input = self.long_input is not None, None
        if was_long or exchange.streaming_to is not None:
            # A slow caller may have paused reading, and nothing else would resume it.
            self.transport.resume_reading()
        if clean:
            self.pool.release(self)
        else:
            self.abort()
        self.shell.response_read(exchange)

    def end_skipped_response(self, parser: h11.Connection) -> None:
        """Finish a skipped response and continue with the bytes after it."""
        self.is_skipping = False
        self.in_body = False
        self.parser = None
        self.previous_tail = b""
        self.last_input = b""
        trailing = parser.trailing_data[0]
        if trailing:
            self.take(self.exchange, trailing)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the close; connection_lost handles others."""
        exchange = self.exchange
        if exchange is not None and self.long_input is not None and not self.long_input.is_done():
            self.long_input.has_ended = True
            return True
        if exchange is not None and self.in_body and exchange.head is not None:
            head = exchange.head
            if head.length is None and not head.chunked:
                self.parser.receive_data(b"")
                self.read_events(exchange)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss of the connection during an exchange."""
        self.closed = True
        self.pool.discard(self)
        if self.exchange is not None:
            started = self.in_body or bool(self.buffer)
            cause = FailureCause.CLOSED_BEFORE_ANSWER
            if started:
                cause = FailureCause.ANSWER_TRUNCATED
            self.fail(cause, str(error) if error else "connection closed")

    def fail(self, cause: FailureCause, detail: str) -> None:
        """Report a failed exchange and close the connection."""
        exchange, self.exchange = self.exchange, None
        self.abort()
        if exchange is not None:
            exchange.connection = None
            self.shell.exchange_failed(exchange, cause, detail)

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
