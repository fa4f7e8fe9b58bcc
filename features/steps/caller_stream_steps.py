"""Steps about streamed answers among several in turn on one caller's connection."""

import re
import socket
import time
from types import SimpleNamespace

from behave import then, when

from features.recording_transport import RecordingTransport
from features.steps.caller_turn_steps import message
from features.steps.node_path_steps import ANSWER_LIMIT_S, HOST
from poplarlane.decisions.requests.attempts import finish_refused
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.outcomes import OutcomeUnknown, ResultCode
from poplarlane.plumbing.entry_execute import execute

HELD_LIMIT = 300_000
LONG_BODY = b"x" * 600_000


STREAMED = SimpleNamespace(
    request_id=0,
    possibly_started=1,
    hedged=False,
    service=SimpleNamespace(policy=None),
    attempts=[],
    streaming=True,
    retried=False,
    retried_below=False,
)


def streaming_state(request):
    """Make the state of an entry that streams the answer of one request."""
    state = EntryState("entry", 1)
    STREAMED.request_id = request.request_id
    state.requests[request.request_id] = STREAMED
    return state


@when("the second one is answered in part and then fails with {status:d}")
def step_part(context, status):
    shell = context.shell
    request = context.caller.requests[-1]
    request.write(b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n")
    request.write_body(b"x" * 262_144)
    request.stream_from(EndlessSource())
    outcome = OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, "connection closed", status)
    effects = []
    finish_refused(streaming_state(request), STREAMED, outcome, effects)
    for effect in effects:
        execute(effect, shell)


@then("the answer and then status {status:d} are written and the connection stays open")
def step_failed_in_turn(context, status):
    written = context.caller.transport.written
    assert written.startswith(b"HTTP/1.1 200 /0\r\n"), written[:80]
    assert written.count(b"HTTP/1.1") == 2 and b"HTTP/1.1 %d " % status in written, written
    assert b"xxx" not in written
    assert not context.caller.transport.ended


class EndlessSource:
    """Stand for the exchange of an answer whose body never ends."""

    def __init__(self):
        self.connection = SimpleNamespace(transport=RecordingTransport())


@when("the last three are answered with a body without end while the first one is not")
def step_endless(context):
    context.sources = []
    for request in list(context.caller.requests)[1:]:
        source = EndlessSource()
        context.sources.append(source)
        request.stream_chunked = True
        request.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        # What the shell holds before it passes an answer on, and then what the target sends.
        request.write_body(b"x" * 262_144)
        request.stream_from(source)
        while source.connection.transport.is_reading:
            request.write_body(b"x" * 65_536)


@then("at most 300 KB of each are held and their targets are not read from")
def step_held(context):
    for request in list(context.caller.requests)[1:]:
        assert sum(map(len, request.buffered)) <= HELD_LIMIT
    assert not any(source.connection.transport.is_reading for source in context.sources)


@then("the second one's target is read from and it is written once {size_mb:d} MB of it are held")
def step_second_written(context, size_mb):
    reading = [source.connection.transport.is_reading for source in context.sources]
    assert reading == [True, False, False], reading
    second = context.caller.requests[0]
    # The third one is worked on as well, so the second one must not end in a reset yet.
    while not (written := context.caller.transport.written).count(b"x"):
        assert second.buffered_bytes < (size_mb << 20) + 70_000
        second.write_body(b"x" * 65_536)
    assert len(written) > size_mb << 20 and not second.buffered


@when("the others are answered while the first one is answered in part")
def step_first_in_part(context):
    first, *others = context.caller.requests
    first.stream_from(EndlessSource())
    first.write(b"HTTP/1.1 200 /0\r\ncontent-length: %d\r\n\r\n" % len(LONG_BODY))
    first.write_body(LONG_BODY[:262_144])
    for request in others:
        context.shell.answer(request)
    first.write_body(LONG_BODY[262_144:-1])


@when("the first one fails with {status:d}")
def step_first_fails(context, status):
    request = context.caller.requests[0]
    outcome = OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, "connection closed", status)
    effects = []
    finish_refused(streaming_state(request), STREAMED, outcome, effects)
    for effect in effects:
        execute(effect, context.shell)


@when("the rest of the first answer arrives")
def step_first_whole(context):
    first = context.caller.requests[0]
    del context.shell.working[first.request_id]
    first.write_body(LONG_BODY[-1:])
    first.finish(False)


@when("the caller sends another read")
def step_another(context):
    context.caller.data_received(message("GET", "/1"))


@then("{count:d} answers are written in order, the first one with status {status:d}")
def step_all_in_order(context, count, status):
    written = context.caller.transport.written
    body = LONG_BODY if status == 200 else b""
    found = re.findall(rb"HTTP/1.1 200 (\S+)\r\n", written)
    first = [b"/0"] if body else []
    assert found == first + [b"/%d" % number for number in range(1, count)], found
    assert written.startswith(b"HTTP/1.1 %d " % status) and body in written
    assert len(written) < len(body) + 1_000
    assert not context.caller.transport.ended and not context.shell.working


@then("no memory is held for the connection")
def step_no_memory(context):
    assert not context.shell.memory.held, context.shell.memory.held


@when("the first read is answered, its caller takes nothing of it, and the second one is streamed")
def step_stream_behind_unread(context):
    context.shell.answer(context.caller.requests[0])
    context.caller.pause_writing()
    context.caller.requests[0].stream_from(EndlessSource())


@when("the caller takes the first answer")
def step_takes_first(context):
    context.caller.resume_writing()


@then("the streamed one's target is {state} from")
def step_source_state(context, state):
    source = context.caller.requests[0].source
    assert source.connection.transport.is_reading == (state == "read")


@when("a caller sends {count:d} reads at once on one connection")
def step_node_reads(context, count):
    heads = [
        f"GET /views/{n} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: p{n}\r\n"
        "X-Deadline-Ms: 3500\r\n\r\n"
        for n in range(count)
    ]
    context.caller = context.rig.connect()
    context.started = time.monotonic()
    context.caller.sendall("".join(heads).encode())


@then("{count:d} answers come back in order on that connection within {limit_s:f} s")
def step_node_answers(context, count, limit_s):
    with context.caller, context.caller.makefile("rb") as stream:
        ids = []
        for _ in range(count):
            assert stream.readline().startswith(b"HTTP/1.1 200"), ids
            headers = {}
            while (line := stream.readline().strip()) != b"":
                name, _, value = line.partition(b": ")
                headers[name.lower()] = value
            stream.read(int(headers[b"content-length"]))
            ids.append(headers[b"x-attempt-id"].decode())
    assert ids == [f"p{n}" for n in range(count)], ids
    # One after the other they would take 0.2 s each.
    assert time.monotonic() - context.started < limit_s


@when("a caller sends a read that is the last of its connection and 200 KB behind it")
def step_unread(context):
    context.caller = context.rig.connect()
    head = f"GET /views/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: u1\r\nConnection: close\r\n"
    context.caller.sendall((head + "X-Deadline-Ms: 3500\r\n\r\n").encode() + b"x" * 200_000)


@then("the read is answered whole")
def step_unread_answered(context):
    context.caller.settimeout(ANSWER_LIMIT_S)
    data = b""
    with context.caller:
        while more := context.caller.recv(65_536):
            data += more
        context.caller.shutdown(socket.SHUT_RDWR)
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and body.endswith(b"}"), data
