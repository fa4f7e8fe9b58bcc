"""Steps that compare the framing of messages on both sides of an entry with a model.

By hand: PYTHONPATH=. .venv/bin/python -m features.steps.framing_steps FIRST_SEED SEQUENCES
"""

import random
import sys

from behave import then

from features.framing_model import (
    MAX_BODY,
    MAX_HEAD,
    Incomplete,
    Malformed,
    draw_cuts,
    draw_message,
    read_all,
    read_message,
)
from features.recording_transport import RecordingTransport
from features.steps.entry_fuzz_steps import FakeShell
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.targets import TargetConnection
from poplarlane.types import Target

CHUNKED_BOOKING = (
    b"POST /b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)


class AnsweringShell(FakeShell):
    """Answer each request as soon as it is read."""

    def __init__(self):
        super().__init__()
        self.max_head_bytes, self.max_body_bytes = MAX_HEAD, MAX_BODY
        self.found = []

    def request_read(self, request):
        request.request_id = 1
        head = request.head
        self.found.append((head.method + b" " + head.path, b"".join(request.body)))
        request.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        request.finish(False)


def read_requests(pieces):
    """Feed pieces to a caller's connection; give the requests and whether input was refused."""
    shell = AnsweringShell()
    caller = CallerConnection(shell)
    caller.connection_made(RecordingTransport())
    for piece in pieces:
        if not caller.closing:
            caller.data_received(piece)
    assert shell.refused or not shell.memory.held or caller.reader.is_reading()
    return shell.found, shell.refused


def read_responses(generator, messages):
    """Feed responses to a target's connection, one for each request, up to the first fault."""
    shell = FakeShell()
    pool = ConnectionPool(Target("t", "127.0.0.1", 1, "dc", {}), 5)
    connection = TargetConnection(shell, pool)
    connection.connection_made(RecordingTransport())
    found = []
    for message in messages:
        shell.answer, shell.parts = None, b""
        connection.send(Exchange(1, 1, False, b"id", b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"))
        for piece in draw_cuts(generator, message):
            if not connection.closed:
                connection.data_received(piece)
        if shell.answer is not None:
            found.append((b"%d" % shell.answer[0], shell.answer[1]))
        if connection.closed:
            break
        assert pool.take() is connection or shell.answer is None
    return found, connection.closed, shell.failed


def check_requests(seed):
    """Compare one sequence; give the number of requests that were read."""
    generator = random.Random(f"requests/{seed}")
    count = generator.randint(1, 4)
    stream = b"".join(draw_message(generator, True, n) for n in range(count))
    if generator.random() < 0.2:
        stream = stream[: generator.randint(1, len(stream))]
    expected = read_all(stream, True)
    pieces = draw_cuts(generator, stream)
    assert read_requests(pieces) == expected, (seed, expected, read_requests(pieces), pieces)
    return len(expected[0])


def check_responses(seed):
    """Compare one sequence; give the number of responses that were read."""
    generator = random.Random(f"responses/{seed}")
    messages = [draw_message(generator, False, n) for n in range(generator.randint(1, 3))]
    expected, is_closed, is_failed = [], False, False
    for message in messages:
        try:
            name, body, end = read_message(message, 0, False)
        except (Malformed, Incomplete) as reason:
            is_closed = is_failed = isinstance(reason, Malformed)
            break
        expected.append((name, body))
        # Anything behind the response ends the connection, but not the response.
        is_closed = end < len(message)
        if is_closed:
            break
    sent = messages if is_closed else messages[: len(expected) + 1]
    seen = read_responses(generator, sent)
    assert seen == (expected, is_closed, is_failed), (
        seed,
        expected,
        is_closed,
        is_failed,
        seen,
        sent,
    )
    return len(expected)


@then("a read with a header of 300 bytes behind a booking in chunks is read")
def step_long_header(context):
    read = b"GET /r HTTP/1.1\r\nhost: a\r\ncookie: " + b"c" * 300 + b"\r\n\r\n"
    assert read_requests([CHUNKED_BOOKING + read]) == (
        [(b"POST /b", b"abc"), (b"GET /r", b"")],
        False,
    )


@then("a read behind a booking in chunks is read though its body begins with a large size")
def step_large_size(context):
    read = b"POST /r HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nffff\r\n"
    expected = ([(b"POST /b", b"abc"), (b"POST /r", b"ffff\r\n")], False)
    assert read_requests([CHUNKED_BOOKING + read]) == expected


@then("{count:d} drawn sequences of requests are read as the model reads them")
def step_requests(context, count):
    # A comparison is worth little when little input is accepted.
    assert sum(check_requests(seed) for seed in range(count)) > count


@then("{count:d} drawn sequences of responses are read as the model reads them")
def step_responses(context, count):
    assert sum(check_responses(seed) for seed in range(count)) > count


if __name__ == "__main__":
    first, number = map(int, sys.argv[1:])
    seeds = range(first, first + number)
    print("requests read:", sum(map(check_requests, seeds)))
    print("responses read:", sum(map(check_responses, seeds)))
