"""Input of targets' responses that is worked on in later turns of the event loop."""

from typing import TYPE_CHECKING

from poplarlane.decisions.requests.entry_events import FailureCause
from poplarlane.plumbing.message_bodies import ChunkedBody
from poplarlane.plumbing.turns import LongInput

if TYPE_CHECKING:
    from poplarlane.plumbing.targets import TargetConnection


class LongResponse(LongInput):
    """Long input of one response; its connection is not read from while some of it waits."""

    __slots__ = ("connection", "has_ended")

    def __init__(self, connection: "TargetConnection") -> None:
        super().__init__()
        self.connection = connection
        # Whether the target has ended its side meanwhile.
        self.has_ended = False

    def add_later(self, data: bytes) -> None:
        """Append input that arrived because the caller has resumed the reading."""
        self.add(data)
        self.connection.transport.pause_reading()

    def is_clean(self) -> bool:
        """Return whether nothing is left that would belong to the next response."""
        return self.is_done() and not self.has_ended

    def work(self) -> bool:
        """Work on one piece; return whether there is more."""
        connection = self.connection
        if connection.long_input is not self or connection.exchange is None:
            return False
        if connection.body is None:
            piece = self.take_head()
        else:
            piece = self.take() if type(connection.body) is ChunkedBody else self.take_all()
        connection.take(piece)
        if connection.long_input is not self:
            return False
        if type(connection.body) is ChunkedBody and self.has_excessive_framing():
            connection.shell.metrics.count("excessive_framing_total", {"side": "target"})
            detail = "framing out of proportion to the body"
            connection.fail(FailureCause.ANSWER_INVALID, detail)
            return False
        if self.is_done():
            self.read_on()
        return not self.is_done()

    def give_up(self) -> None:
        """Close the connection after an unexpected error."""
        self.connection.transport.abort()

    def read_on(self) -> None:
        """Read further input, unless the caller has to take something first."""
        connection = self.connection
        if self.has_ended:
            connection.eof_received()
            connection.transport.close()
            return
        request = connection.exchange.streaming_to
        if request is None or request.is_first() and not request.caller.is_writing_paused:
            connection.transport.resume_reading()


def put_off(connection: "TargetConnection", data: bytes) -> None:
    """Take what costs little of long input at once, and leave chunks to later turns."""
    found = connection.long_input
    if found is None:
        found = connection.long_input = LongResponse(connection)
    found.add(connection.buffer + data)
    connection.buffer = b""
    while type(connection.body) is not ChunkedBody:
        if not found.work():
            return
    connection.transport.pause_reading()
    connection.shell.turns.add(found)
