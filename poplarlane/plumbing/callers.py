"""Server side of an entry: connections from callers."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from poplarlane.plumbing.caller_requests import CallerRequest
from poplarlane.plumbing.long_requests import LongRequests, is_put_off
from poplarlane.plumbing.request_reader import RequestReader
from poplarlane.plumbing.resets import reset
from poplarlane.plumbing.unsent import unsent_bytes

if TYPE_CHECKING:
    from poplarlane.plumbing.entry_shell import EntryShell

# Larger reads of 256 KB would be held for each caller whose body waits for memory.
READ_BYTES = 65_536
# Time to wait for the caller to close the connection once the last response has been sent.
LINGER_S = 1.0
# Interval at which unsent bytes of a connection that is to be closed are checked.
FLUSH_CHECK_S = 0.1


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
        "reader",
        "reserved",
        "is_awaiting_memory",
        "unread_bytes",
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
        "long_input",
    )

    def __init__(self, shell: "EntryShell") -> None:
        self.shell = shell
        self.caller_id = 0
        self.transport: asyncio.Transport
        self.source = ""
        self.trusted = False
        self.reader = RequestReader(self)
        # Bytes of the body being read in the memory account, and whether it waits for room there.
        self.reserved = 0
        self.is_awaiting_memory = False
        # Bytes of responses in the memory account that the caller has not read in time.
        self.unread_bytes = 0
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
        self.reader.read_pending()

    def data_received(self, data: bytes) -> None:
        """Read requests from the input, in later turns if it may hold much work."""
        if not is_put_off(self, data):
            self.reader.read(data)

    def request_read(self, request: CallerRequest) -> None:
        """Pass a complete request to the shell, unless it has to wait for its turn."""
        self.requests.append(request)
        requests = self.requests
        # A response that was begun can fail only by a reset, which would take this one with it.
        if len(requests) == 1 or (
            not requests[0].is_begun and self.shell.may_run_pipelined(request)
        ):
            self.shell.request_read(request)

    def respond_and_close(self, data: bytes) -> None:
        """Write an error response after the outstanding responses, then close."""
        self.expires_at = 0.0
        if self.is_awaiting_memory:
            self.is_awaiting_memory = False
            self.shell.memory.stop_waiting(self)
        reserved, self.reserved = self.reserved, 0
        self.reader.reset()
        if reserved:
            self.shell.memory.release(reserved)
        self.reader.buffer = b""
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
                requests[0].write_buffered()
                if not self.is_writing_paused:
                    requests[0].resume_source()
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
        elif not self.reader.is_reading() or self.is_unread():
            self.expires_at = self.shell.now() + self.shell.idle_timeout_s
        self.read_pending()

    def linger(self) -> None:
        """Shut down writing after the last response and wait for the caller to close.

        Closing a socket with unread bytes resets the connection, and the caller may lose the
        response to the reset.
        """
        self.closing = True
        self.is_lingering = True
        self.expires_at = self.shell.now() + LINGER_S
        self.reader.buffer = b""
        if self.transport.is_closing():
            return
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection, and the loop has not told yet.
            self.transport.abort()
            return
        self.transport.resume_reading()

    def cut(self) -> None:
        """Reset the connection once the responses before the truncated one have been sent."""
        self.closing = True
        self.is_lingering = True
        self.is_cut = True
        self.reader.buffer = b""
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

    def is_idle(self) -> bool:
        """Return whether no request is outstanding or partly read."""
        return not self.requests and not self.reader.is_reading()

    def is_unread(self) -> bool:
        """Return whether the input behind the last response waits until the caller reads that."""
        return not self.requests and self.reader.body is None and self.is_writing_paused

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
            self.reader.refuse_for_memory()
        else:
            self.reader.refuse(408, "the request arrived too slowly")
