"""A request on a caller's connection, until its response is complete."""

from typing import TYPE_CHECKING

from poplarlane.decisions.quarantine import fingerprints
from poplarlane.plumbing.heads import RequestHead, service_host

if TYPE_CHECKING:
    from poplarlane.plumbing.callers import CallerConnection
    from poplarlane.plumbing.exchanges import Exchange
    from poplarlane.plumbing.targets import TargetConnection

# A streamed response is held up to this size while requests behind it are processed. See
# docs/design/requests-in-turn.md.
HELD_RESPONSE_BYTES = 4 << 20


class CallerRequest:
    """A complete request; responses are written in the order of the requests.

    The body is kept in the parts that were read; each further copy would count as much memory.
    `read_at` is in seconds of the shell's clock. `buffered` holds the part of the response that was
    produced before it may be written. Once a part was written (`is_begun`), the response can fail
    only by a reset of the connection, which takes the requests behind it with it.
    """

    __slots__ = (
        "caller",
        "head",
        "body",
        "body_bytes",
        "is_http_11",
        "read_at",
        "request_id",
        "span",
        "stream_chunked",
        "source",
        "buffered",
        "buffered_bytes",
        "refused_on",
        "is_begun",
        "is_done",
    )

    def __init__(
        self,
        caller: "CallerConnection",
        head: RequestHead,
        body: list[bytearray],
        body_bytes: int,
        is_http_11: bool,
        read_at: float,
    ) -> None:
        self.caller = caller
        self.head = head
        self.body = body
        self.body_bytes = body_bytes
        self.is_http_11 = is_http_11
        self.read_at = read_at
        # 0 until the request has been passed to the reducer.
        self.request_id = 0
        self.span = None
        self.stream_chunked = False
        # The exchange whose response is streamed to the caller.
        self.source: Exchange | None = None
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        # Connections on which a target has refused this request as not run.
        self.refused_on: tuple[TargetConnection, ...] = ()
        self.is_begun = False
        self.is_done = False

    def fingerprint(self, customer: str) -> bytes:
        """Return the digest of the content; the request id is not part of it."""
        head = self.head
        return fingerprints.digest(
            customer, service_host(head.host), head.method, head.path, self.body
        )

    def is_first(self) -> bool:
        """Return whether no earlier response on the connection is outstanding."""
        return self.caller.requests[0] is self

    def closes_connection(self, close: bool) -> bool:
        """Return whether to close the connection after this response; only the last one may."""
        caller = self.caller
        is_last = caller.requests[-1] is self and not caller.pending_refusal
        return (close or caller.close_after) and is_last

    def is_held(self) -> bool:
        """Return whether nothing of the response may be written yet."""
        requests = self.caller.requests
        if requests[0] is not self:
            return True
        if self.is_begun or self.source is None or len(requests) == 1:
            return False
        memory = self.caller.shell.memory
        return (
            requests[1].request_id != 0
            and self.buffered_bytes < HELD_RESPONSE_BYTES
            and memory.held <= memory.large_limit
        )

    def write(self, data: bytes) -> None:
        """Write part of the response, or buffer it while the response is held."""
        if self.is_held():
            self.buffered.append(data)
            self.buffered_bytes += len(data)
            self.caller.shell.memory.take(len(data))
            return
        self.write_buffered()
        self.is_begun = True
        self.transmit(data)

    def transmit(self, data: bytes) -> None:
        """Write to the connection, and count what the caller does not read in time."""
        caller = self.caller
        caller.transport.write(data)
        if caller.is_writing_paused:
            caller.count_unread(caller.transport.get_write_buffer_size())

    def write_buffered(self) -> None:
        """Write the buffered part of the response unless it is still held."""
        if self.buffered and not self.is_held():
            buffered, self.buffered = self.buffered, []
            self.release_buffered()
            self.is_begun = True
            for data in buffered:
                self.transmit(data)

    def discard_buffered(self) -> None:
        """Drop a response of which nothing was written."""
        self.source = None
        self.buffered = []
        self.release_buffered()

    def release_buffered(self) -> None:
        """Take the buffered part of the response out of the memory account."""
        size, self.buffered_bytes = self.buffered_bytes, 0
        self.caller.shell.memory.release(size)

    def write_body(self, data: bytes) -> None:
        """Write a piece of a streamed body, as a chunk if the response is chunked."""
        if self.stream_chunked:
            self.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.write(bytes(data))

    def stream_from(self, exchange: "Exchange") -> None:
        """Stream a response; its target is not read while earlier ones are due or unread."""
        self.source = exchange
        if not self.is_first() or self.caller.is_writing_paused:
            self.pause_source()

    def pause_source(self) -> None:
        """Stop reading from the target of the streamed response."""
        if self.source is not None and self.source.connection is not None:
            self.source.connection.transport.pause_reading()

    def resume_source(self) -> None:
        """Resume reading from the target of the streamed response."""
        if self.source is not None and self.source.connection is not None:
            self.source.connection.transport.resume_reading()

    def finish(self, close: bool) -> None:
        """Mark the response as complete and continue with the next one."""
        self.is_done = True
        self.source = None
        if self.is_first():
            self.write_buffered()
        self.caller.close_after = self.caller.close_after or close
        self.caller.advance()
