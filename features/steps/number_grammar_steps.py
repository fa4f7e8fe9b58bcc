"""Steps about the grammar of numbers."""

import signal

from behave import then, when

from poplarlane.plumbing.chunk_sizes import ChunkSizes


def give_up(_number, _frame):
    """End a loop that does not end."""
    raise AssertionError("the parser does not end")


@then('the body "{body}" in chunks is refused as "{reason}"')
@then('the body "{body}" in chunks is refused as ""')
def step_chunks(context, body, reason=""):
    before = signal.signal(signal.SIGALRM, give_up)
    signal.alarm(10)
    try:
        sizes = ChunkSizes()
        sizes.feed(body.replace("\\r\\n", "\r\n").encode())
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, before)
    assert sizes.fault.startswith(reason) and bool(sizes.fault) == bool(
        reason
    ), sizes.fault


@when('a caller sends a body in chunks with the size line "{line}"')
def step_size_line(context, line):
    head = "POST /bookings/1 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a\r\nx-deadline-ms: 900\r\n"
    with context.rig.connect() as caller:
        caller.sendall(
            f"{head}transfer-encoding: chunked\r\n\r\n{line}\r\nXX\r\n0\r\n\r\n".encode()
        )
        assert caller.recv(100).startswith(b"HTTP/1.1 400"), "not refused"
