"""Server side of an entry: connections from callers, with one h11 parser per request."""

import asyncio
import re
from collections import deque
from typing import TYPE_CHECKING

import h11

from poplarlane.outcomes import MalformedRequest, NotRun, ResultCode
from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.chunk_sizes import ChunkSizes
from poplarlane.plumbing.heads import (
    CONTINUE,
    HEAD_END,
    TOO_MANY_LINES,
    RequestHead,
    ends_cleanly,
    head_fault,
    partial_head_fault,
    read_request_head,
)
from poplarlane.plumbing.long_requests import (
    FRAMING_REFUSAL,
    MAX_PENDING_INPUT_BYTES,
    LongRequests,
    is_put_off,
)
from poplarlane.plumbing.resets import reset
from poplarlane.plumbing.unsent import unsent_bytes

if TYPE_CHECKING:
    from poplarlane.plumbing.entry_shell import EntryShell

# Chunk headers and extensions of a body may take this many bytes beyond the body itself.
CHUNK_OVERHEAD_BYTES = 262_144
# Larger reads of 256 KB would be held for each caller whose body waits for memory.
READ_BYTES = 65_536
# Parts of a body are merged up to this size; small chunks would cost more than their bytes.
BODY_PART_BYTES = 65_536
# Time that a body waits for memory before its request is refused, at most half of its deadline.
MEMORY_WAIT_S = 2.0
MEMORY_RETRY_AFTER_S = 1.0
# Time to wait for the caller to close the connection once the last response has been sent.
LINGER_S = 1.0
# Interval at which unsent bytes of a connection that is to be closed are checked.
FLUSH_CHECK_S = 0.1
STATUS_CODES = {
    408: ResultCode.REQUEST_TIMEOUT,
    413: ResultCode.BODY_TOO_LARGE,
    431: ResultCode.HEAD_TOO_LARGE,
    501: ResultCode.METHOD_UNSUPPORTED,
}


# The parser quotes the line that it refuses, which may hold a customer's key.
QUOTED_INPUT = re.compile(r":? *(bytearray\(|b['\"]).*", re.DOTALL)


def parser_fault(error: h11.RemoteProtocolError) -> str:
    """Return the text of a parser's error without the input that it quotes."""
    return QUOTED_INPUT.sub("", str(error))


class CallerConnection(asyncio.Protocol):
    """Read the requests of one caller and write the responses in the order of the requests.

    Callers may pipeline. Idempotent pipelined requests are processed at once, up to a limit; a
    non-idempotent one waits until the responses before it are written, because a caller repeats the
    requests that it sent behind one whose response closes the connection.

    `expires_at` is the deadline of the current phase (idle, head, body); 0 while a request is being
    processed.
    """

    __slots__ = (
        "shell",
        "caller_id",
        "transport",
        "source",
        "trusted",
        "parser",
        "buffer",
        "event",
        "parts",
        "body_bytes",
        "reserved",
        "is_awaiting_memory",
        "unread_bytes",
        "raw_bytes",
        "previous_tail",
        "last_input",
        "head",
        "requests",
        "expires_at",
        "close_after",
        "closing",
        "is_lingering",
        "is_cut",
        "has_responded",
        "unsent",
        "stalls_at",
        "is_writing_paused",
        "pending_refusal",
        "chunk_sizes",
        "long_input",
    )

    def __init__(self, shell: "EntryShell") -> None:
        self.shell = shell
        self.caller_id = 0
        self.transport: asyncio.Transport
        self.source = ""
        self.trusted = False
        # Parser and body parts of the request that is being read.
        self.parser: h11.Connection | None = None
        self.buffer = b""
        self.event: h11.Request | None = None
        self.parts: list[bytearray] = []
        self.body_bytes = 0
        # Bytes of that body in the memory account, and whether it waits for room there.
        self.reserved = 0
        self.is_awaiting_memory = False
        # Bytes of responses in the memory account that the caller has not read in time.
        self.unread_bytes = 0
        self.raw_bytes = 0
        # The last input, and the last bytes of the input before it.
        self.previous_tail = b""
        self.last_input = b""
        self.head: RequestHead | None = None
        # Requests whose responses are not complete, oldest first.
        self.requests: deque[CallerRequest] = deque()
        self.expires_at = 0.0
        # Whether to close the connection after the last outstanding response.
        self.close_after = False
        self.closing = False
        # Whether the last response was written and the caller's close is awaited.
        self.is_lingering = False
        # Whether the last response was truncated and the connection ends with a reset.
        self.is_cut = False
        # Whether a response was completed on this connection; the caller may still be reading it.
        self.has_responded = False
        # Unsent bytes at the last check, and when a caller that takes none of them is given up.
        self.unsent = 0
        self.stalls_at = 0.0
        self.is_writing_paused = False
        # Error response to malformed input, to be sent after the outstanding responses.
        self.pending_refusal = b""
        # Chunk sizes announced by a chunked body; None for other bodies.
        self.chunk_sizes: ChunkSizes | None = None
        # Input that is worked on in later turns.
        self.long_input: LongRequests | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the caller, or close the connection when the limit is reached."""
        self.transport = transport
        transport.max_size = READ_BYTES
        peer = transport.get_extra_info("peername")
        self.source = peer[0] if peer else ""
        transport.set_write_buffer_limits(high=self.shell.settings.stream_buffer_bytes)
        self.shell.caller_opened(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Report the disconnect to the shell."""
        self.closing = True
        self.shell.caller_closed(self)

    def eof_received(self) -> bool:
        """Treat the end of input as a disconnect: a false result closes the transport."""
        return False

    def pause_writing(self) -> None:
        """Apply backpressure: stop reading from the caller and from the streamed target."""
        self.is_writing_paused = True
        self.count_unread(self.transport.get_write_buffer_size())
        self.transport.pause_reading()
        if self.requests:
            self.requests[0].pause_source()

    def resume_writing(self) -> None:
        """Resume reading from the streamed target and from the caller."""
        self.is_writing_paused = False
        self.count_unread(0)
        if self.requests:
            self.requests[0].resume_source()
        self.read_pending()

    def count_unread(self, size: int) -> None:
        """Count the bytes of responses that the caller does not read in time."""
        change, self.unread_bytes = size - self.unread_bytes, size
        if change > 0:
            self.shell.memory.take(change)
        elif change:
            self.shell.memory.release(-change)

    def may_read(self) -> bool:
        """Return whether another request may be read now."""
        if self.closing or self.is_writing_paused or self.is_awaiting_memory:
            return False
        requests = self.requests
        if not requests:
            return True
        if self.close_after or self.pending_refusal or not requests[-1].request_id:
            return False
        return len(requests) < self.shell.settings.max_requests_in_turn

    def read_pending(self) -> None:
        """Process the input buffered behind the last request, if another one may be read."""
        if not self.may_read():
            return
        self.transport.resume_reading()
        data, self.buffer = self.buffer, b""
        if data and not is_put_off(self, data, is_buffered=True):
            self.take(data)

    def data_received(self, data: bytes) -> None:
        """Take input, in later turns if it may hold much work."""
        if not is_put_off(self, data):
            self.take(data)

    def take(self, data: bytes) -> None:
        """Parse requests until the input is used up or no further request may be read."""
        while data:
            if self.closing:
                return
            if self.parser is None and not self.may_read():
                self.buffer += data
                if len(self.buffer) > MAX_PENDING_INPUT_BYTES:
                    self.transport.pause_reading()
                return
            data = self.feed_parser(data)

    def feed_parser(self, data: bytes) -> bytes:
        """Check heads, feed bytes to the parser and return those behind a complete request."""
        parser = self.parser
        if parser is None:
            buffer = self.buffer + data if self.buffer else data
            parser = self.start_parser(buffer)
            if parser is None:
                return b""
            data = buffer
        self.raw_bytes += len(data)
        self.previous_tail = (self.previous_tail + self.last_input[-4:])[-4:]
        self.last_input = data
        if self.chunk_sizes is not None and not self.check_chunks(data):
            return b""
        parser.receive_data(data)
        return self.read_events(parser)

    def check_chunks(self, data: bytes) -> bool:
        """Refuse a body as soon as its chunk sizes add up to more than the limit."""
        sizes = self.chunk_sizes
        sizes.feed(data)
        if sizes.fault:
            self.refuse(400, sizes.fault)
            return False
        if sizes.announced > self.shell.max_body_bytes:
            self.refuse(413, f"body larger than {self.shell.max_body_bytes} bytes")
            return False
        return True

    def start_parser(self, buffer: bytes) -> h11.Connection | None:
        """Check the head and start a parser for one request; None until the head is complete."""
        limit = self.shell.max_head_bytes
        end = buffer.find(HEAD_END)
        if end > limit or (end < 0 and len(buffer) > limit):
            return self.refuse(431, f"head larger than {limit} bytes")
        fault = partial_head_fault(buffer) if end < 0 else head_fault(buffer[: end + 4])
        if fault is not None:
            return self.refuse(431 if fault is TOO_MANY_LINES else 400, fault)
        if end < 0:
            if not self.buffer:
                self.expires_at = self.shell.now() + self.shell.head_timeout_s
            self.buffer = buffer
            return None
        self.buffer = b""
        self.raw_bytes = 0
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit + 4)
        return self.parser

    def read_events(self, parser: h11.Connection) -> bytes:
        """Handle all parser events; return the bytes behind a complete request."""
        try:
            while True:
                event = parser.next_event()
                kind = type(event)
                if kind is h11.Request:
                    if not self.handle_head(event, parser):
                        return b""
                    if not self.head.length and not self.head.chunked:
                        # Only EndOfMessage can follow; fetching it takes 2% of a request.
                        return self.handle_end(parser)
                elif kind is h11.Data:
                    if not self.handle_data(event.data):
                        return b""
                elif kind is h11.EndOfMessage:
                    return self.handle_end(parser)
                else:
                    break
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, parser_fault(error))
            return b""
        shell = self.shell
        if self.raw_bytes > shell.max_body_bytes + shell.max_head_bytes + CHUNK_OVERHEAD_BYTES:
            self.shell.malformed(self, FRAMING_REFUSAL)
        return b""

    def handle_head(self, event: h11.Request, parser: h11.Connection) -> bool:
        """Check a parsed head; return whether its body may be read."""
        self.event = event
        if event.method == b"CONNECT":
            self.refuse(501, "CONNECT is not supported")
            return False
        self.head = head = read_request_head(
            event.method,
            event.target,
            event.headers.raw_items(),
            self.trusted,
            self.shell.header_names,
        )
        if head.fault:
            self.refuse(400, head.fault)
            return False
        limit = self.shell.max_body_bytes
        if head.length > limit:
            self.refuse(413, f"body larger than {limit} bytes")
            return False
        memory = self.shell.memory
        if memory.held > memory.limit:
            self.refuse_for_memory()
            return False
        if head.length and not memory.try_take(head.length):
            self.await_memory()
            return False
        self.reserved = head.length
        self.expires_at = self.shell.now() + self.shell.body_timeout_s
        if head.chunked:
            self.chunk_sizes = ChunkSizes()
            end = self.last_input.find(HEAD_END)
            if not self.check_chunks(self.last_input[end + len(HEAD_END) :]):
                return False
        if head.expects:
            self.invite_body(parser)
        return True

    def invite_body(self, parser: h11.Connection) -> None:
        """Send the interim response that a caller may wait for before it sends the body."""
        if parser.they_are_waiting_for_100_continue and not self.requests:
            # A 100 cannot be sent before an outstanding response; the caller sends the body anyway.
            self.transport.write(CONTINUE)

    def await_memory(self) -> None:
        """Stop reading until there is memory for the body, or refuse one that never fits."""
        memory, head = self.shell.memory, self.head
        if head.length > memory.large_limit:
            self.refuse_for_memory()
            return
        wait_s = MEMORY_WAIT_S
        if head.deadline_ms is not None:
            wait_s = min(wait_s, head.deadline_ms / 2000.0)
        self.expires_at = self.shell.now() + wait_s
        self.is_awaiting_memory = True
        memory.waiting.append(self)
        self.transport.pause_reading()

    def read_body(self) -> None:
        """Read a body that waited, once the memory for it is reserved."""
        self.is_awaiting_memory = False
        self.reserved = self.head.length
        self.expires_at = self.shell.now() + self.shell.body_timeout_s
        if self.head.expects:
            self.invite_body(self.parser)
        if not self.is_writing_paused:
            self.transport.resume_reading()
        data = self.read_events(self.parser)
        if data:
            self.take(data)

    def refuse_for_memory(self) -> None:
        """Refuse a request for lack of memory."""
        detail = "no memory is left for this request"
        outcome = NotRun(ResultCode.QUEUE_FULL, detail, retry_after_s=MEMORY_RETRY_AFTER_S)
        self.shell.malformed(self, outcome)

    def handle_data(self, data: bytearray) -> bool:
        """Collect body bytes; return whether more may be read."""
        self.body_bytes += len(data)
        if self.head.chunked:
            if not self.shell.memory.try_extend(len(data), self.body_bytes):
                self.refuse_for_memory()
                return False
            self.reserved += len(data)
        if self.body_bytes > self.shell.max_body_bytes:
            self.refuse(413, f"body larger than {self.shell.max_body_bytes} bytes")
            return False
        parts = self.parts
        if parts and len(parts[-1]) + len(data) <= BODY_PART_BYTES:
            parts[-1] += data
        else:
            parts.append(data)
        return True

    def handle_end(self, parser: h11.Connection) -> bytes:
        """Pass a complete request to the shell; return the bytes behind it."""
        trailing = bytes(parser.trailing_data[0])
        head = self.head
        if head.chunked and not ends_cleanly(self.previous_tail + self.last_input, len(trailing)):
            self.refuse(400, "bare LF at the end of a chunked body")
            return b""
        is_http_11 = self.event.http_version >= b"1.1"
        request = CallerRequest(
            self, head, self.parts, self.body_bytes, is_http_11, self.shell.now()
        )
        self.reset_input()
        self.expires_at = 0.0
        self.close_after = self.close_after or head.close or not is_http_11
        self.requests.append(request)
        if len(self.requests) == 1 or self.shell.may_run_pipelined(request):
            self.shell.request_read(request)
        return trailing

    def reset_input(self) -> None:
        """Reset the input state for the next request."""
        self.parser = None
        self.event = None
        self.chunk_sizes = None
        self.head = None
        self.parts = []
        self.body_bytes = 0
        self.reserved = 0
        self.raw_bytes = 0
        self.previous_tail = b""
        self.last_input = b""

    def refuse(self, status: int, detail: str) -> None:
        """Report malformed input to the reducer, which produces the error response."""
        code = STATUS_CODES.get(status, ResultCode.BAD_REQUEST)
        self.shell.malformed(self, MalformedRequest(code, detail, status))

    def respond_and_close(self, data: bytes) -> None:
        """Write an error response after the outstanding responses, then close."""
        self.expires_at = 0.0
        if self.is_awaiting_memory:
            self.is_awaiting_memory = False
            self.shell.memory.stop_waiting(self)
        reserved = self.reserved
        self.reset_input()
        if reserved:
            self.shell.memory.release(reserved)
        self.buffer = b""
        if self.requests:
            self.pending_refusal = data
        else:
            self.transport.write(data)
            self.linger()

    def advance(self) -> None:
        """Write buffered responses that are next in order, and start requests that waited."""
        requests = self.requests
        while requests and requests[0].is_done:
            done = requests.popleft()
            self.has_responded = True
            if done.body_bytes:
                self.shell.memory.release(done.body_bytes)
            if requests:
                self.write_buffered(requests[0])
        if requests:
            first = requests[0]
            if not first.request_id:
                self.shell.request_read(first)
        elif self.pending_refusal:
            self.transport.write(self.pending_refusal)
            self.linger()
            return
        elif self.close_after:
            self.linger()
            return
        elif not self.is_reading() or self.is_unread():
            self.expires_at = self.shell.now() + self.shell.idle_timeout_s
        self.read_pending()

    def write_buffered(self, request: CallerRequest) -> None:
        """Write the buffered part of a response that is next in order, and resume its target."""
        if request.buffered:
            buffered, request.buffered = request.buffered, []
            request.release_buffered()
            for data in buffered:
                request.write(data)
        if not self.is_writing_paused:
            request.resume_source()

    def linger(self) -> None:
        """Shut down writing after the last response and wait for the caller to close.

        Closing a socket with unread bytes resets the connection, and the caller may lose the
        response to the reset.
        """
        self.closing = True
        self.is_lingering = True
        self.expires_at = self.shell.now() + LINGER_S
        self.buffer = b""
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        self.transport.resume_reading()

    def cut(self) -> None:
        """Reset the connection once the responses before the truncated one have been sent."""
        self.closing = True
        self.is_lingering = True
        self.is_cut = True
        self.buffer = b""
        if self.has_responded and self.is_flushing():
            self.expires_at = self.shell.now() + FLUSH_CHECK_S
        else:
            reset(self.transport)

    def is_flushing(self) -> bool:
        """Return whether written bytes are unsent and the caller has not stopped taking them."""
        unsent = unsent_bytes(self.transport)
        if unsent != self.unsent:
            self.unsent = unsent
            self.stalls_at = self.shell.now() + self.shell.idle_timeout_s
        return unsent > 0 and self.shell.now() < self.stalls_at

    def is_reading(self) -> bool:
        """Return whether part of a request has arrived."""
        if self.long_input is not None and not self.long_input.is_done():
            return True
        return self.parser is not None or bool(self.buffer)

    def is_idle(self) -> bool:
        """Return whether no request is outstanding or partly read."""
        return not self.requests and not self.is_reading()

    def is_unread(self) -> bool:
        """Return whether the input behind the last response waits until the caller reads that."""
        return not self.requests and self.parser is None and self.is_writing_paused

    def expire(self) -> None:
        """Handle the deadline: close an idle connection or refuse a slow request."""
        self.expires_at = 0.0
        if self.is_cut:
            self.cut()
        elif self.is_lingering:
            if self.is_flushing():
                self.expires_at = self.shell.now() + LINGER_S
            else:
                self.transport.abort()
        elif self.is_idle() or self.is_unread():
            if self.is_flushing():
                self.expires_at = self.shell.now() + FLUSH_CHECK_S
                return
            self.closing = True
            if self.transport.get_write_buffer_size():
                # close() would wait for a caller that has stopped reading its response.
                self.transport.abort()
            else:
                self.transport.close()
        elif self.is_awaiting_memory:
            self.refuse_for_memory()
        else:
            self.refuse(408, "the request arrived too slowly")
