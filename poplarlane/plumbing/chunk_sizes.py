"""Parse the sizes of the chunks of a body before their data arrives.

h11 reports a chunk only when part of its data has arrived; a caller could announce an endless chunk
and keep the connection busy with it.
"""

from poplarlane.number_grammar import chunk_size

MAX_SIZE_LINE_BYTES = 256


class ChunkSizes:
    """Track the framing of one chunked body; `announced` is the sum of the sizes so far."""

    __slots__ = ("announced", "remaining", "line", "fault", "has_ended")

    def __init__(self) -> None:
        self.announced = 0
        # Bytes of the current chunk, including the CRLF after it, that have not arrived yet.
        self.remaining = 0
        self.line = b""
        # Error in a size line; empty if there is none.
        self.fault = ""
        # Whether the last chunk was announced, behind which there are only trailer lines.
        self.has_ended = False

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the body."""
        position = 0
        while position < len(data) and not self.fault:
            if self.remaining:
                step = min(self.remaining, len(data) - position)
                self.remaining -= step
                position += step
                continue
            end = data.find(b"\n", position)
            stop = len(data) if end < 0 else end + 1
            self.line += data[position:stop]
            position = stop
            if len(self.line) > MAX_SIZE_LINE_BYTES:
                self.fault = "chunk size line too long"
            elif end >= 0:
                self.handle_size_line()

    def handle_size_line(self) -> None:
        """Parse a complete size line; trailer lines after the last chunk are left to h11."""
        if self.has_ended:
            self.line = b""
            return
        size = chunk_size(self.line.partition(b";")[0].rstrip(b"\r\n"))
        self.line = b""
        if isinstance(size, str):
            self.fault = f"chunk size is {size}"
        elif size:
            self.announced += size
            self.remaining = size + 2
        else:
            self.has_ended = True
