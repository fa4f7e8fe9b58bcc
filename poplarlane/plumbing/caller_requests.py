"""One request of a caller's connection, from its reading to the end of its answer."""

from typing import TYPE_CHECKING

from poplarlane.plumbing.heads import RequestHead

if TYPE_CHECKING:
    from poplarlane.plumbing.callers import CallerConnection
    from poplarlane.plumbing.exchanges import Exchange


class CallerRequest:
    """Hold a request that was read; its answer is written once those before it are.

    `read_at` is seconds of the shell's clock. `held` keeps what is written of the answer while an
    earlier answer of the connection is not complete.
    """

    __slots__ = (
        "caller",
        "head",
        "body",
        "is_http_11",
        "read_at",
        "request_id",
        "span",
        "stream_chunked",
        "source",
        "buffered",
        "is_done",
    )

    def __init__(
        self,
        caller: "CallerConnection",
        head: RequestHead,
        body: bytes,
        is_http_11: bool,
        read_at: float,
    ) -> None:
        self.caller = caller
        self.head = head
        self.body = body
        self.is_http_11 = is_http_11
        self.read_at = read_at
        # 0 until the request was handed to the reducer.
        self.request_id = 0
        self.span = None
        self.stream_chunked = False
        # The exchange whose answer is passed on while it arrives.
        self.source: Exchange | None = None
        self.buffered: list[bytes] = []
        self.is_done = False

    def is_first(self) -> bool:
        """Tell whether no earlier answer of the connection is due."""
        return self.caller.requests[0] is self

    def closes_connection(self, close: bool) -> bool:
        """Tell whether the connection ends with this answer; only the last one may end it."""
        caller = self.caller
        is_last = caller.requests[-1] is self and not caller.pending_refusal
        return (close or caller.close_after) and is_last

    def write(self, data: bytes) -> None:
        """Write a part of the answer, now or in its turn."""
        if self.is_first():
            self.caller.transport.write(data)
        else:
            self.buffered.append(data)

    def write_body(self, data: bytes) -> None:
        """Write a piece of an answer that is passed on while it arrives."""
        if self.stream_chunked:
            self.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.write(bytes(data))

    def stream_from(self, exchange: "Exchange") -> None:
        """Pass an answer on while it arrives; its target waits while its turn has not come."""
        self.source = exchange
        if not self.is_first():
            self.pause_source()

    def pause_source(self) -> None:
        """Stop reading from the target of an answer that cannot be written."""
        if self.source is not None and self.source.connection is not None:
            self.source.connection.transport.pause_reading()

    def resume_source(self) -> None:
        """Read from the target again."""
        if self.source is not None and self.source.connection is not None:
            self.source.connection.transport.resume_reading()

    def finish(self, close: bool) -> None:
        """Note that the whole answer was written, and go on with the next one."""
        self.is_done = True
        self.source = None
        self.caller.close_after = self.caller.close_after or close
        self.caller.advance()
