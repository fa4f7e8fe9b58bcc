"""A request on a caller's connection, until its response is complete."""

from typing import TYPE_CHECKING

from poplarlane.decisions.quarantine import fingerprints
from poplarlane.plumbing.heads import RequestHead, service_host

if TYPE_CHECKING:
    from poplarlane.plumbing.callers import CallerConnection
    from poplarlane.plumbing.exchanges import Exchange
    from poplarlane.plumbing.targets import TargetConnection


class CallerRequest:
    """A complete request; responses are written in the order of the requests.

    The body is kept in the parts that were read; each further copy would count as much memory.
    `read_at` is in seconds of the shell's clock. `buffered` holds the part of the response that was
    produced while an earlier response on the connection was incomplete.
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

    def write(self, data: bytes) -> None:
        """Write part of the response, or buffer it while an earlier response is outstanding."""
        caller = self.caller
        if caller.requests[0] is self:
            caller.transport.write(data)
            if caller.is_writing_paused:
                caller.count_unread(caller.transport.get_write_buffer_size())
        else:
            self.buffered.append(data)
            self.buffered_bytes += len(data)
            caller.shell.memory.take(len(data))

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
        """Stream a response; its target is not read while earlier responses are outstanding."""
        self.source = exchange
        if not self.is_first():
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
        self.caller.close_after = self.caller.close_after or close
        self.caller.advance()
