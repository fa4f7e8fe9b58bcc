"""The callers' side of an entry: one h11 server connection per caller."""

import asyncio
from typing import TYPE_CHECKING

import h11

from poplarlane.outcomes import Malformed, NotRun, ResultCode
from poplarlane.plumbing.chunk_sizes import ChunkSizes
from poplarlane.plumbing.heads import (
    CONTINUE,
    HEAD_END,
    RequestHead,
    ends_cleanly,
    head_fault,
    partial_head_fault,
    read_request_head,
)

if TYPE_CHECKING:
    from poplarlane.plumbing.entry_shell import EntryShell

# Chunk headers and extensions of a body may take this many bytes beyond the body itself.
CHUNK_OVERHEAD_BYTES = 262_144
# Bound over all callers; 2000 callers with the largest accepted body would hold 2 GB.
MAX_HELD_BODY_BYTES = 67_108_864
STATUS_CODES = {
    408: ResultCode.REQUEST_TIMEOUT,
    413: ResultCode.BODY_TOO_LARGE,
    431: ResultCode.HEAD_TOO_LARGE,
    501: ResultCode.METHOD_UNSUPPORTED,
}


class CallerConnection(asyncio.Protocol):
    """Read requests of one caller, one at a time, and write their answers.

    `expires_at` is the instant at which the connection is given up unless the current step (idle,
    head, body) has ended; 0 while a request is being worked on.
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
        "raw_bytes",
        "before",
        "recent",
        "head",
        "body",
        "request_id",
        "expires_at",
        "close_after",
        "closing",
        "is_pipelining",
        "paused_target",
        "stream_chunked",
        "span",
        "chunk_sizes",
    )

    def __init__(self, shell: "EntryShell") -> None:
        self.shell = shell
        self.caller_id = 0
        self.transport: asyncio.Transport
        self.source = ""
        self.trusted = False
        self.parser: h11.Connection | None = None
        self.buffer = b""
        self.event: h11.Request | None = None
        self.parts: list[bytes] = []
        self.body_bytes = 0
        self.raw_bytes = 0
        # The last input, and the end of the input before it.
        self.before = b""
        self.recent = b""
        self.head: RequestHead | None = None
        self.body = b""
        self.request_id = 0
        self.expires_at = 0.0
        self.close_after = False
        self.closing = False
        self.is_pipelining = False
        self.paused_target = None
        self.stream_chunked = False
        self.span = None
        # Sizes that a chunked body has announced; None for other bodies.
        self.chunk_sizes: ChunkSizes | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the caller, or close the connection when there are too many."""
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self.source = peer[0] if peer else ""
        transport.set_write_buffer_limits(high=self.shell.settings.stream_buffer_bytes)
        self.shell.caller_opened(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Tell the shell that the caller is gone."""
        self.closing = True
        self.shell.caller_closed(self)

    def eof_received(self) -> bool:
        """Take the end of input as the caller's leaving."""
        return False

    def pause_writing(self) -> None:
        """Stop reading from the streamed target, and from a caller that does not read answers."""
        self.transport.pause_reading()
        self.shell.caller_paused(self)

    def resume_writing(self) -> None:
        """Read again from the streamed target and from the caller."""
        if not self.is_pipelining:
            self.transport.resume_reading()
        self.shell.caller_resumed(self)

    def data_received(self, data: bytes) -> None:
        """Feed bytes to the parser; heads are checked first."""
        if self.closing:
            return
        if self.request_id:
            self.pipelined()
            return
        parser = self.parser
        if parser is None:
            buffer = self.buffer + data if self.buffer else data
            parser = self.start_parser(buffer)
            if parser is None:
                return
            data = buffer
        self.raw_bytes += len(data)
        self.before = (self.before + self.recent[-4:])[-4:]
        self.recent = data
        if self.chunk_sizes is not None and not self.check_chunks(data):
            return
        parser.receive_data(data)
        self.read_events(parser)

    def check_chunks(self, data: bytes) -> bool:
        """Refuse a body as soon as its chunks announce more than is accepted."""
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
        """Check the head and start a parser for one request; None until the head is whole."""
        limit = self.shell.max_head_bytes
        end = buffer.find(HEAD_END)
        if end > limit or (end < 0 and len(buffer) > limit):
            return self.refuse(431, f"head larger than {limit} bytes")
        fault = partial_head_fault(buffer) if end < 0 else head_fault(buffer[: end + 4])
        if fault is not None:
            return self.refuse(400, fault)
        if end < 0:
            if not self.buffer:
                self.expires_at = self.shell.now() + self.shell.head_timeout_s
            self.buffer = buffer
            return None
        self.buffer = b""
        self.raw_bytes = 0
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit + 4)
        return self.parser

    def read_events(self, parser: h11.Connection) -> None:
        """Take every event that the parser has."""
        try:
            while True:
                event = parser.next_event()
                kind = type(event)
                if kind is h11.Request:
                    if not self.take_head(event, parser):
                        return
                    if not self.head.length and not self.head.chunked:
                        # The next event could only be the end; asking for it takes 2% of a request.
                        self.take_end(parser)
                        return
                elif kind is h11.Data:
                    if not self.take_data(event.data):
                        return
                elif kind is h11.EndOfMessage:
                    self.take_end(parser)
                    return
                else:
                    break
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))
            return
        shell = self.shell
        if self.raw_bytes > shell.max_body_bytes + shell.max_head_bytes + CHUNK_OVERHEAD_BYTES:
            self.refuse(413, "body framing larger than accepted")

    def take_head(self, event: h11.Request, parser: h11.Connection) -> bool:
        """Check a parsed head; tell whether its body may be read."""
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
        self.close_after = self.close_after or head.close or event.http_version < b"1.1"
        self.expires_at = self.shell.now() + self.shell.body_timeout_s
        if head.chunked:
            self.chunk_sizes = ChunkSizes()
            end = self.recent.find(HEAD_END)
            if not self.check_chunks(self.recent[end + len(HEAD_END) :]):
                return False
        if head.expects and parser.they_are_waiting_for_100_continue:
            self.transport.write(CONTINUE)
        return True

    def take_data(self, data: bytes) -> bool:
        """Collect body bytes; tell whether more may be read."""
        self.body_bytes += len(data)
        self.shell.held_body_bytes += len(data)
        if self.shell.held_body_bytes > MAX_HELD_BODY_BYTES:
            detail = "too many bytes of request bodies are held"
            self.shell.malformed(self, NotRun(ResultCode.QUEUE_FULL, detail))
            return False
        if self.body_bytes > self.shell.max_body_bytes:
            self.refuse(413, f"body larger than {self.shell.max_body_bytes} bytes")
            return False
        self.parts.append(bytes(data))
        return True

    def take_end(self, parser: h11.Connection) -> None:
        """Hand a whole request to the shell."""
        trailing = parser.trailing_data[0]
        if self.head.chunked and not ends_cleanly(self.before + self.recent, len(trailing)):
            self.refuse(400, "bare LF at the end of a chunked body")
            return
        if trailing:
            self.pipelined()
        parts = self.parts
        self.body = b"".join(parts) if parts else b""
        self.expires_at = 0.0
        self.shell.request_read(self)

    def pipelined(self) -> None:
        """Stop reading: bytes after a request close the connection once it is answered."""
        if not self.is_pipelining:
            self.is_pipelining = True
            self.shell.note_pipelining(self)
        self.close_after = True
        self.transport.pause_reading()

    def refuse(self, status: int, detail: str) -> None:
        """Report malformed input; the reducer answers it."""
        code = STATUS_CODES.get(status, ResultCode.BAD_REQUEST)
        self.shell.malformed(self, Malformed(code, detail, status))

    def write_and_close(self, data: bytes) -> None:
        """Write a last answer and close."""
        self.closing = True
        self.transport.write(data)
        self.transport.close()

    def write_body(self, data: bytes) -> None:
        """Write a piece of a streamed answer."""
        if self.stream_chunked:
            self.transport.writelines((b"%x\r\n" % len(data), data, b"\r\n"))
        else:
            self.transport.write(bytes(data))

    def answered(self, close: bool) -> None:
        """Get ready for the next request after a whole answer was written."""
        self.request_id = 0
        if close or self.close_after:
            self.closing = True
            self.transport.close()
            return
        self.parser = None
        self.event = None
        self.chunk_sizes = None
        self.head = None
        self.body = b""
        if self.parts:
            self.parts = []
            self.shell.held_body_bytes -= self.body_bytes
            self.body_bytes = 0
        self.before = b""
        self.recent = b""
        self.expires_at = self.shell.now() + self.shell.idle_timeout_s

    def is_idle(self) -> bool:
        """Tell whether no byte of a request has arrived."""
        return not self.request_id and self.parser is None and not self.buffer

    def expire(self) -> None:
        """Close an idle connection, or refuse a request that arrives too slowly."""
        self.expires_at = 0.0
        if self.is_idle():
            self.closing = True
            if self.transport.get_write_buffer_size():
                # A close would wait for a caller that does not read its answer.
                self.transport.abort()
            else:
                self.transport.close()
        else:
            self.refuse(408, "the request arrived too slowly")
