"""Read the requests of one caller's connection: heads, bodies, and the memory for them."""

import re
from typing import TYPE_CHECKING

import h11

from poplarlane.outcomes import MalformedRequest, NotRun, ResultCode
from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.heads import (
    CONTINUE,
    HEAD_END,
    TOO_MANY_LINES,
    RequestHead,
    head_fault,
    partial_head_fault,
    read_request_head,
)
from poplarlane.plumbing.long_requests import (
    FRAMING_REFUSAL,
    MAX_PENDING_INPUT_BYTES,
    is_put_off,
)
from poplarlane.plumbing.message_bodies import (
    BodyFault,
    ChunkedBody,
    ExcessiveFraming,
    LengthBody,
)

if TYPE_CHECKING:
    from poplarlane.plumbing.callers import CallerConnection

# Chunk headers and extensions of a body may take this many bytes beyond the body itself.
CHUNK_OVERHEAD_BYTES = 262_144
# Parts of a body are merged up to this size; small chunks would cost more than their bytes.
BODY_PART_BYTES = 65_536
# Time that a body waits for memory before its request is refused, at most half of its deadline.
MEMORY_WAIT_S = 2.0
MEMORY_RETRY_AFTER_S = 1.0
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


class RequestReader:
    """Read one request after the other; h11 parses the heads, message_bodies.py frames the bodies.

    `body` is None until the head of the request is complete. `buffer` holds an incomplete head, or
    input behind a request that may not be read yet.
    """

    __slots__ = (
        "caller",
        "shell",
        "buffer",
        "head",
        "is_http_11",
        "awaits_continue",
        "body",
        "parts",
        "body_bytes",
    )

    def __init__(self, caller: "CallerConnection") -> None:
        self.caller = caller
        self.shell = caller.shell
        self.buffer = b""
        self.head: RequestHead | None = None
        self.is_http_11 = True
        # Whether the caller may wait for an interim response before it sends the body.
        self.awaits_continue = False
        self.body: LengthBody | ChunkedBody | None = None
        self.parts: list[bytearray] = []
        self.body_bytes = 0

    def is_reading(self) -> bool:
        """Return whether part of a request has arrived."""
        long_input = self.caller.long_input
        if long_input is not None and not long_input.is_done():
            return True
        return self.body is not None or bool(self.buffer)

    def read(self, data: bytes) -> None:
        """Read requests until the input is used up or no further request may be read."""
        caller = self.caller
        while data:
            if caller.closing:
                return
            if self.body is not None and not caller.is_awaiting_memory:
                data = self.read_body(data)
            elif caller.may_read():
                data = self.read_head(data)
            else:
                self.buffer += data
                if len(self.buffer) > MAX_PENDING_INPUT_BYTES:
                    caller.transport.pause_reading()
                return

    def read_pending(self) -> None:
        """Read the input buffered behind the last request."""
        data, self.buffer = self.buffer, b""
        if data and not is_put_off(self.caller, data, is_buffered=True):
            self.read(data)

    def read_head(self, data: bytes) -> bytes:
        """Read a head once it is complete; return the bytes that are still to be read."""
        buffer = self.buffer + data if self.buffer else data
        limit = self.shell.max_head_bytes
        end = buffer.find(HEAD_END)
        if end > limit or (end < 0 and len(buffer) > limit):
            return self.refuse(431, f"head larger than {limit} bytes")
        if end < 0:
            fault = partial_head_fault(buffer)
            if fault is not None:
                return self.refuse_head(fault)
            if not self.buffer:
                self.caller.expires_at = self.shell.now() + self.shell.head_timeout_s
            self.buffer = buffer
            return b""
        end += len(HEAD_END)
        raw, rest = buffer[:end], buffer[end:]
        fault = head_fault(raw)
        if fault is not None:
            return self.refuse_head(fault)
        self.buffer = b""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit + len(HEAD_END))
        parser.receive_data(raw)
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError as error:
            return self.refuse(error.error_status_hint, parser_fault(error))
        self.awaits_continue = parser.they_are_waiting_for_100_continue
        return self.handle_head(event, rest)

    def handle_head(self, event: h11.Request, rest: bytes) -> bytes:
        """Check a parsed head and begin its body; return the bytes that are still to be read."""
        shell = self.shell
        if event.method == b"CONNECT":
            return self.refuse(501, "CONNECT is not supported")
        self.is_http_11 = event.http_version >= b"1.1"
        self.head = head = read_request_head(
            event.method,
            event.target,
            event.headers.raw_items(),
            self.caller.trusted,
            shell.header_names,
        )
        if head.fault:
            return self.refuse(400, head.fault)
        if head.length > shell.max_body_bytes:
            return self.refuse(413, f"body larger than {shell.max_body_bytes} bytes")
        memory = shell.memory
        if memory.held > memory.limit:
            return self.refuse_for_memory()
        if not head.length and not head.chunked:
            return self.handle_end(rest)
        if head.chunked:
            max_head, max_body = shell.max_head_bytes, shell.max_body_bytes
            max_wire_bytes = max_body + max_head + CHUNK_OVERHEAD_BYTES
            self.body = ChunkedBody(max_head, max_body, max_wire_bytes)
        else:
            self.body = LengthBody(head.length)
            if not memory.try_take(head.length):
                self.buffer = rest
                return self.await_memory()
        self.begin_body()
        return rest

    def begin_body(self) -> None:
        """Expect a body, for which the memory is reserved if its length is known."""
        caller = self.caller
        caller.reserved = self.head.length
        caller.expires_at = self.shell.now() + self.shell.body_timeout_s
        if self.awaits_continue and not caller.requests:
            # A 100 cannot be sent before an outstanding response; the caller sends the body anyway.
            caller.transport.write(CONTINUE)

    def await_memory(self) -> bytes:
        """Stop reading until there is memory for the body, or refuse one that never fits."""
        memory, head, caller = self.shell.memory, self.head, self.caller
        if head.length > memory.large_limit:
            return self.refuse_for_memory()
        wait_s = MEMORY_WAIT_S
        if head.deadline_ms is not None:
            wait_s = min(wait_s, head.deadline_ms / 2000.0)
        caller.expires_at = self.shell.now() + wait_s
        caller.is_awaiting_memory = True
        memory.waiting.append(caller)
        caller.transport.pause_reading()
        return b""

    def resume_body(self) -> None:
        """Read a body that waited, once the memory for it is reserved."""
        caller = self.caller
        caller.is_awaiting_memory = False
        self.begin_body()
        if not caller.is_writing_paused:
            caller.transport.resume_reading()
        self.read_pending()

    def read_body(self, data: bytes) -> bytes:
        """Read a part of the body; return the bytes behind its end."""
        body = self.body
        try:
            part = body.feed(data)
        except ExcessiveFraming:
            self.shell.malformed(self.caller, FRAMING_REFUSAL)
            return b""
        except BodyFault as fault:
            return self.refuse(fault.status, str(fault))
        if part and not self.add_part(part):
            return b""
        return self.handle_end(body.rest) if body.is_complete else b""

    def add_part(self, part: bytes) -> bool:
        """Collect body bytes; return whether more may be read."""
        shell = self.shell
        self.body_bytes += len(part)
        if self.head.chunked:
            if not shell.memory.try_extend(len(part), self.body_bytes):
                self.refuse_for_memory()
                return False
            self.caller.reserved += len(part)
        if self.body_bytes > shell.max_body_bytes:
            self.refuse(413, f"body larger than {shell.max_body_bytes} bytes")
            return False
        parts = self.parts
        if parts and len(parts[-1]) + len(part) <= BODY_PART_BYTES:
            parts[-1] += part
        else:
            parts.append(bytearray(part))
        return True

    def handle_end(self, rest: bytes) -> bytes:
        """Pass on a complete request; return the bytes behind it."""
        caller, head = self.caller, self.head
        is_http_11 = self.is_http_11
        request = CallerRequest(
            caller, head, self.parts, self.body_bytes, is_http_11, self.shell.now()
        )
        self.reset()
        # The request releases its bytes.
        caller.reserved = 0
        caller.expires_at = 0.0
        caller.close_after = caller.close_after or head.close or not is_http_11
        caller.request_read(request)
        return rest

    def reset(self) -> None:
        """Reset the state for the next request."""
        self.body = None
        self.head = None
        self.parts = []
        self.body_bytes = 0

    def refuse(self, status: int, detail: str) -> bytes:
        """Report malformed input to the reducer, which produces the error response."""
        code = STATUS_CODES.get(status, ResultCode.BAD_REQUEST)
        self.shell.malformed(self.caller, MalformedRequest(code, detail, status))
        return b""

    def refuse_head(self, fault: str) -> bytes:
        """Report a malformed head."""
        return self.refuse(431 if fault is TOO_MANY_LINES else 400, fault)

    def refuse_for_memory(self) -> bytes:
        """Refuse a request for lack of memory."""
        detail = "no memory is left for this request"
        outcome = NotRun(ResultCode.QUEUE_FULL, detail, retry_after_s=MEMORY_RETRY_AFTER_S)
        self.shell.malformed(self.caller, outcome)
        return b""
