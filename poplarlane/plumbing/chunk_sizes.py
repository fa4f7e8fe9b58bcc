"""Read the sizes that the chunks of a message announce, before their bytes arrive.

h11 tells of a chunk only once some of it is there; a caller could announce an endless chunk and
hold its connection with it.
"""

MAX_SIZE_LINE_BYTES = 256
SIZE_DIGITS = 16


class ChunkSizes:
    """Follow the framing of one chunked body; `announced` is the sum of the sizes so far."""

    __slots__ = ("announced", "remaining", "line", "fault")

    def __init__(self) -> None:
        self.announced = 0
        # Bytes of chunk data, with the line end after it, that are still to come.
        self.remaining = 0
        self.line = b""
        # What is wrong with a size line; empty while nothing is.
        self.fault = ""

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the body."""
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
        """Take a whole size line; the lines after the last chunk are left to h11."""
        digits = self.line.partition(b";")[0].strip()
        self.line = b""
        try:
            size = int(digits, 16)
        except ValueError:
            return
        if len(digits) > SIZE_DIGITS:
            self.fault = "chunk size too large"
        elif size:
            self.announced += size
            self.remaining = size + 2
