"""Input of callers that is worked on in later turns of the event loop."""

from typing import TYPE_CHECKING

from poplarlane.outcomes import MalformedRequest, ResultCode
from poplarlane.plumbing.message_bodies import ChunkedBody, LengthBody
from poplarlane.plumbing.turns import LongInput, is_long

if TYPE_CHECKING:
    from poplarlane.plumbing.callers import CallerConnection

# Pipelined input to buffer; without reading, a disconnect of the caller would go unnoticed.
MAX_PENDING_INPUT_BYTES = 65_536
FRAMING_REFUSAL = MalformedRequest(
    ResultCode.FRAMING_EXCESSIVE, "framing out of proportion to the body", 413
)


class LongRequests(LongInput):
    """Long input of one caller, which may hold the rest of one request and further ones."""

    __slots__ = ("caller",)

    def __init__(self, caller: "CallerConnection") -> None:
        super().__init__()
        self.caller = caller

    def work(self) -> bool:
        """Work on one piece; return whether there is more."""
        caller, reader = self.caller, self.caller.reader
        if caller.closing or caller.long_input is not self:
            return False
        if caller.is_awaiting_memory:
            # It waits for a body of known length, which costs little to read.
            reader.read(self.take_all())
            return False
        requests, chunked_bytes = len(caller.requests), reader.body_bytes
        if reader.body is None and caller.may_read():
            reader.read(self.take_head())
        elif type(reader.body) is not ChunkedBody:
            reader.read(self.take_all())
        else:
            reader.read(self.take())
            self.note_progress(requests, chunked_bytes)
        return self.finish_step()

    def note_progress(self, requests: int, chunked_bytes: int) -> None:
        """Record the body bytes of a piece, and begin anew behind a complete request."""
        caller, reader = self.caller, self.caller.reader
        if type(reader.body) is not ChunkedBody or len(caller.requests) != requests:
            self.taken_bytes = self.body_bytes = 0
            return
        self.body_bytes += reader.body_bytes - chunked_bytes
        if self.has_excessive_framing():
            caller.shell.metrics.count("excessive_framing_total", {"side": "caller"})
            caller.shell.malformed(caller, FRAMING_REFUSAL)

    def give_up(self) -> None:
        """Close the connection after an unexpected error."""
        self.caller.transport.abort()

    def finish_step(self) -> bool:
        """Return whether there is more; read further input if there is not."""
        caller = self.caller
        if caller.closing or caller.long_input is not self or caller.pending_refusal:
            return False
        if not self.is_done():
            return True
        is_full = len(caller.reader.buffer) > MAX_PENDING_INPUT_BYTES
        if not is_full and not caller.is_writing_paused and not caller.is_awaiting_memory:
            caller.transport.resume_reading()
        return False


def is_put_off(caller: "CallerConnection", data: bytes, is_buffered: bool = False) -> bool:
    """Leave input that may hold much work, and what follows it, to later turns.

    Input that was buffered goes before what waits; it is taken at once unless it is long itself.
    """
    found = caller.long_input
    is_waiting = found is not None and not found.is_done()
    if is_buffered or not is_waiting:
        # A body of known length costs little whatever is in it.
        is_known = type(caller.reader.body) is LengthBody
        if is_known or not is_long(data):
            return False
    if found is None:
        found = caller.long_input = LongRequests(caller)
    if is_buffered:
        found.prepend(data)
    else:
        found.add(data)
    caller.transport.pause_reading()
    if not is_waiting:
        caller.shell.turns.add(found)
    return True
