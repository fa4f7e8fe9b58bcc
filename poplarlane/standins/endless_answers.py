"""Answers without end, as a target in trouble sends them until its caller closes."""

import asyncio

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
# Bytes that may wait in the stand-in; a caller that reads slowly slows the answer down.
WAITING_BYTES = 262_144
FAST_S = 0.0005
SLOW_S = 1.0

Headers = list[tuple[str, str]]


class EndlessShape:
    """Hold how an answer begins, what is sent again and again, and the time between in seconds.

    `is_signed` says that the beginning bears the headers of the target's own answer.
    """

    __slots__ = ("first", "repeated", "is_signed", "rest", "interval_s")

    def __init__(
        self, first: bytes, repeated: bytes, is_signed: bool, rest: bytes, interval_s: float
    ) -> None:
        self.first = first
        self.repeated = repeated
        self.is_signed = is_signed
        self.rest = rest
        self.interval_s = interval_s


LATE = HEAD + b"x-attempt-id: earlier\r\nx-server-signature: x\r\n" + CHUNKED
WHOLE = b"content-length: 2\r\n\r\nok"
SHAPES = {
    "endless-head-line": EndlessShape(HEAD + b"x-a: ", b"a" * 65_536, False, b"", FAST_S),
    "endless-head-lines": EndlessShape(HEAD, b"x-a: b\r\n" * 4_096, False, b"", FAST_S),
    "endless-interim": EndlessShape(
        b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 64, False, b"", FAST_S
    ),
    "endless-size-line": EndlessShape(HEAD, b"0" * 65_536, True, CHUNKED, FAST_S),
    "endless-extension": EndlessShape(HEAD, b"e" * 65_536, True, CHUNKED + b"5;", FAST_S),
    "endless-trailers": EndlessShape(HEAD, b"x-t: 1\r\n" * 4_096, True, CHUNKED + b"0\r\n", FAST_S),
    "endless-after-answer": EndlessShape(HEAD, b"x" * 65_536, True, WHOLE, FAST_S),
    "endless-late-answer": EndlessShape(LATE, CHUNK, False, b"", FAST_S),
    "endless-unframed": EndlessShape(HEAD, b"x" * 65_536, True, b"\r\n", FAST_S),
    "endless-chunks": EndlessShape(HEAD, CHUNK, True, CHUNKED, FAST_S),
    "endless-one-byte-chunks": EndlessShape(HEAD, b"1\r\nx\r\n" * 11_000, True, CHUNKED, FAST_S),
    "endless-held-chunks": EndlessShape(HEAD, b"1\r\nx\r\n", True, CHUNKED + CHUNK * 3, SLOW_S),
    "endless-slow-chunks": EndlessShape(HEAD, b"1\r\nx\r\n", True, CHUNKED, SLOW_S),
}


def start_endless(mode: str, transport: asyncio.Transport, headers: Headers) -> asyncio.Task:
    """Send an answer of a shape until the caller closes."""
    shape = SHAPES[mode]
    data = shape.first
    if shape.is_signed:
        data += "".join(f"{name}: {value}\r\n" for name, value in headers).encode()
    transport.write(data + shape.rest)
    return asyncio.get_running_loop().create_task(repeat(shape, transport))


async def repeat(shape: EndlessShape, transport: asyncio.Transport) -> None:
    """Send the same bytes again and again."""
    while not transport.is_closing():
        if transport.get_write_buffer_size() < WAITING_BYTES:
            transport.write(shape.repeated)
        await asyncio.sleep(shape.interval_s)
