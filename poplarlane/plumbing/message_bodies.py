"""Framing of message bodies on both sides of an entry: the one place that finds where a body ends.

h11 is given complete heads only. It reports a chunk when part of its data has arrived, so a caller
could announce an endless chunk and keep the connection busy, and it accepts bare LF in trailers.
A second reader of the same bytes that checks for these may disagree with it about the end.
"""

import re
from math import inf

from poplarlane.number_grammar import WHITE_SPACE, chunk_size

CRLF = b"\r\n"
MAX_SIZE_LINE_BYTES = 256
# RFC 9112 lets recipients accept white space around extensions; bare CR and controls are refused.
TEXT = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
TRAILER_LINE = re.compile(rb"[!#-'*+.^_`|~0-9A-Za-z-]+:" + TEXT.pattern + rb"\r\n")


class BodyFault(Exception):
    """Invalid framing, with the status for a caller that sent it."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ExcessiveFraming(BodyFault):
    """Framing out of proportion to the body."""

    def __init__(self) -> None:
        super().__init__(413, "body framing larger than accepted")


class LengthBody:
    """Body with a content-length; `rest` holds the bytes behind its end."""

    __slots__ = ("remaining", "is_complete", "rest")

    def __init__(self, length: int) -> None:
        self.remaining = length
        self.is_complete = not length
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the part of the next bytes that belongs to the body."""
        remaining = self.remaining
        if len(data) < remaining:
            self.remaining = remaining - len(data)
            return data
        self.remaining = 0
        self.is_complete = True
        if len(data) == remaining:
            return data
        self.rest = data[remaining:]
        return data[:remaining]


class OpenBody:
    """Body that ends with its connection."""

    __slots__ = ("is_complete", "rest")

    def __init__(self) -> None:
        self.is_complete = False
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the next bytes, which all belong to the body."""
        return data


class ChunkedBody:
    """Body in chunks; `rest` holds the bytes behind its end.

    `announced` is the sum of the sizes so far, which may not exceed `max_bytes`. `wire_bytes` is
    data and framing together, which may not exceed `max_wire_bytes`.
    """

    __slots__ = (
        "max_bytes",
        "max_wire_bytes",
        "max_trailer_bytes",
        "announced",
        "wire_bytes",
        "remaining",
        "line",
        "read_line",
        "trailer_bytes",
        "chunks",
        "is_complete",
        "rest",
    )

    def __init__(
        self, max_trailer_bytes: int, max_bytes: float = inf, max_wire_bytes: float = inf
    ) -> None:
        self.max_bytes = max_bytes
        self.max_wire_bytes = max_wire_bytes
        self.max_trailer_bytes = max_trailer_bytes
        self.announced = 0
        self.wire_bytes = 0
        # Bytes of the current chunk's data that have not arrived yet.
        self.remaining = 0
        # Start of a line whose end has not arrived yet, and the function that reads the line.
        self.line = b""
        self.read_line = ChunkedBody.read_size
        self.trailer_bytes = 0
        # Number of chunks so far.
        self.chunks = 0
        self.is_complete = False
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the data in the next bytes of the body; raise BodyFault if they are invalid."""
        parts: list[bytes] = []
        position, size = 0, len(data)
        self.wire_bytes += size
        while position < size:
            if self.remaining:
                part = data[position : position + self.remaining]
                parts.append(part)
                position += len(part)
                self.remaining -= len(part)
                continue
            end = data.find(b"\n", position) + 1 or size
            line = data[position:end]
            position = end
            if self.line:
                line = self.line + line
            self.line = b""
            self.read_line(self, line)
            if self.is_complete:
                self.rest = data[position:]
                return b"".join(parts)
        if self.wire_bytes > self.max_wire_bytes:
            raise ExcessiveFraming
        return b"".join(parts)

    def read_size(self, line: bytes) -> None:
        """Parse the line before a chunk, and refuse its size before the data arrives."""
        if len(line) > MAX_SIZE_LINE_BYTES:
            raise BodyFault(400, "chunk size line too long")
        if not line.endswith(b"\n"):
            self.line = line
            return
        digits, _, extension = line[:-2].partition(b";")
        size = chunk_size(digits)
        if isinstance(size, str):
            raise BodyFault(400, f"chunk size is {size}")
        if not line.endswith(CRLF) or line[:1] in WHITE_SPACE or not TEXT.fullmatch(extension):
            raise BodyFault(400, "malformed chunk size line")
        self.chunks += 1
        self.announced += size
        if self.announced > self.max_bytes:
            raise BodyFault(413, f"body larger than {self.max_bytes} bytes")
        self.remaining = size
        self.read_line = ChunkedBody.read_data_end if size else ChunkedBody.read_trailer

    def read_data_end(self, line: bytes) -> None:
        """Check the line end behind the data of a chunk."""
        if line == CRLF:
            self.read_line = ChunkedBody.read_size
        elif line == b"\r":
            self.line = line
        else:
            raise BodyFault(400, "chunk data longer than its size")

    def read_trailer(self, line: bytes) -> None:
        """Check a line behind the last chunk; an empty one ends the body."""
        if self.trailer_bytes + len(line) > self.max_trailer_bytes:
            raise BodyFault(431, f"trailers larger than {self.max_trailer_bytes} bytes")
        if not line.endswith(b"\n"):
            self.line = line
        elif line == CRLF:
            self.is_complete = True
        elif TRAILER_LINE.fullmatch(line):
            self.trailer_bytes += len(line)
        else:
            raise BodyFault(400, "malformed trailer")


Body = LengthBody | OpenBody | ChunkedBody
