"""Steps about the memory that is held for callers."""

import tracemalloc
from functools import partial

from behave import given, then, when

from features.recording_transport import RecordingTransport
from features.steps.caller_turn_steps import TurnShell, message
from poplarlane.decisions.requests.entry_effects import CancelAttempt, SendRequest
from poplarlane.decisions.requests.entry_events import ResponseStarted
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.entry_execute import execute
from poplarlane.plumbing.entry_shell import EntryShell
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.heads import ResponseHead
from poplarlane.plumbing.memory_account import COPIES, LARGE_SHARE, PROCESS_BYTES, MemoryAccount
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.targets import TargetConnection
from poplarlane.types import Target

MB = 1_000_000
PIECE = b"u" * 64_000
HIGH_WATER_BYTES = 65_536


class TargetTransport(RecordingTransport):
    """Buffer what is written as asyncio does, and count what the target has taken."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.buffer = bytearray()
        self.taken = 0

    def write(self, data):
        self.buffer.extend(data)
        if len(self.buffer) > HIGH_WATER_BYTES:
            self.protocol.pause_writing()

    def take(self):
        """Let the target take what is buffered."""
        self.taken += len(self.buffer)
        self.buffer = bytearray()
        self.protocol.resume_writing()


def memory_for(body_bytes):
    """Create an account with room for one body and a little more."""
    room = body_bytes / LARGE_SHARE + 10_000
    return MemoryAccount(PROCESS_BYTES + int(room * COPIES))


def open_caller(shell):
    """Open a caller's connection without a network."""
    caller = CallerConnection(shell)
    caller.connection_made(RecordingTransport())
    return caller


def send_body(caller, size):
    """Send a booking with a body as long as the connection is read from."""
    caller.data_received(b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % size)
    continue_body(caller, size)


def continue_body(caller, left):
    """Send the rest of a body as long as the connection is read from."""
    while left and caller.transport.is_reading:
        piece = PIECE[:left]
        left -= len(piece)
        caller.data_received(piece)


def make_shell(room_bytes):
    """Create a shell that accepts bodies up to the room."""
    shell = TurnShell(4)
    shell.max_body_bytes = room_bytes
    shell.memory = memory_for(room_bytes)
    shell.started = NoNames()
    return shell


class NoNames(list):
    """Record no names, because all callers here use the same ones."""

    def append(self, name):
        """Drop the name."""


@given("a caller's connection with room for a body of {size_mb:d} MB")
def step_one(context, size_mb):
    context.shell = make_shell(size_mb * MB)
    context.caller = open_caller(context.shell)


@given("two callers and room for one body of {size_mb:d} MB")
def step_two(context, size_mb):
    context.shell = make_shell(size_mb * MB)
    context.callers = [open_caller(context.shell) for _ in range(2)]


@when("the caller sends a body of {size_mb:d} MB and a target takes it")
def step_forward(context, size_mb):
    shell = context.shell
    shell.target_idle_s = 7.0
    shell.exchanges = {}
    shell.tracer = None
    shell.is_withdrawn = lambda *_attempt: False
    shell.attempt_sent = lambda _attempt: None
    target = Target("t-0", "127.0.0.1", 80, "dc", {}, "t-0", "/healthz")
    pool = ConnectionPool(target, 10)
    connection = TargetConnection(shell, pool)
    connection.connection_made(TargetTransport(connection))
    pool.release(connection)
    shell.pool = lambda target: pool
    context.size = size_mb * MB
    tracemalloc.start()
    send_body(context.caller, context.size)
    request = context.caller.requests[0]
    execute(SendRequest(request.request_id, 7, target, 1, False, False, shell.time + 3.0), shell)
    while connection.transport.buffer:
        connection.transport.take()
    context.peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.taken = connection.transport.taken


@then("at most {copies:f} times its size was allocated")
def step_copies(context, copies):
    assert context.peak <= copies * context.size, context.peak / context.size


@then("the target got it whole")
def step_whole(context):
    # The rest is the head.
    assert context.size < context.taken < context.size + 1_000, context.taken


@when("both send a body of {size_mb:d} MB")
def step_both(context, size_mb):
    context.size = size_mb * MB
    for caller in context.callers:
        send_body(caller, context.size)


@then("the first one is worked on and the second one is not read from")
def step_second_waits(context):
    assert len(context.shell.working) == 1
    assert not context.callers[1].transport.is_reading


@when("the first one is answered")
def step_answered(context):
    first = context.callers[0].requests[0]
    context.shell.answer(first)


@then("both are worked on and all memory is accounted for")
@then("the second one is worked on and all memory is accounted for")
def step_both_worked(context):
    second = context.callers[1]
    assert second.transport.is_reading
    continue_body(second, context.size)
    assert second.requests and second.requests[0].request_id in context.shell.working
    assert context.shell.memory.held == context.size


@when("{time_s:f} s pass for the callers")
def step_time(context, time_s):
    context.shell.time += time_s
    for caller in context.callers:
        if 0.0 < caller.expires_at <= context.shell.time:
            caller.expire()


@then("the second one gets status 503 and was not worked on")
def step_refused(context):
    written = context.callers[1].transport.written
    assert written.startswith(b"HTTP/1.1 503"), written
    assert len(context.shell.working) == 1


@then("another caller's body of 1 KB is worked on")
def step_small(context):
    send_body(open_caller(context.shell), 1_000)
    assert len(context.shell.working) == 2
    for request in list(context.shell.working.values()):
        if request.caller is not context.callers[0]:
            context.shell.answer(request)


@then("no memory is held")
def step_none(context):
    assert context.shell.memory.held == 0, context.shell.memory.held


@when("the first caller leaves")
def step_leaves(context):
    context.callers[0].connection_lost(None)


@when("the caller sends {size_kb:d} KB in chunks of one byte")
def step_chunks(context, size_kb):
    context.caller.data_received(
        b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    # More of them in one read would be put off to later turns, and refused for their framing.
    for _ in range(size_kb * 10):
        context.caller.data_received(b"1\r\nx\r\n" * 100)


@then("the parts of the body are at most {count:d}")
def step_parts(context, count):
    assert 1 <= len(context.caller.reader.parts) <= count, len(context.caller.reader.parts)


@when("the caller does not read {size_mb:d} MB of its response")
def step_unread(context, size_mb):
    context.caller.data_received(message("GET", "/0"))
    context.caller.transport.waiting = size_mb * MB
    context.caller.pause_writing()


@then("{size_mb:d} MB are held and another caller's read is refused with 503")
def step_held(context, size_mb):
    assert context.shell.memory.held == size_mb * MB
    other = open_caller(context.shell)
    other.data_received(message("GET", "/1"))
    assert other.transport.written.startswith(b"HTTP/1.1 503"), other.transport.written


@when("the caller has read it")
def step_read(context):
    context.caller.transport.waiting = 0
    context.caller.resume_writing()


@when("{size_kb:d} KB of the response to its read have arrived")
@when("{size_kb:d} KB of the response to its read have arrived in chunks of {chunk:d} bytes")
def step_arrived(context, size_kb, chunk=1_000):
    shell = context.shell
    shell.events = []
    shell.feed = shell.events.append
    shell.random_value = lambda: 0
    shell.settings.hold_answer_bytes = 262_144
    shell.release_parts = partial(EntryShell.release_parts, shell)
    exchange = Exchange(7, 1, False, b"", b"")
    shell.exchanges = {7: exchange}
    exchange.head = ResponseHead(200, b"OK")
    for _ in range(size_kb * 1_000 // chunk):
        EntryShell.handle_response_data(shell, exchange, bytearray(b"x" * chunk))


@when("{held_mb:d} MB are held and {size_kb:d} KB of the response to its read have arrived")
def step_short(context, held_mb, size_kb):
    context.shell.memory.take(held_mb * MB)
    step_arrived(context, size_kb)


@then("the response is streamed from then on")
def step_streamed(context):
    # The reducer is not here, so that each further piece asks again.
    assert [type(event) for event in context.shell.events] == [ResponseStarted] * 5


@then("the parts of the response are at most {count:d}")
def step_response_parts(context, count):
    parts = context.shell.exchanges[7].parts
    assert 1 <= len(parts) <= count and not context.shell.events, len(parts)


@then("{size_kb:d} KB are held")
def step_kb_held(context, size_kb):
    assert context.shell.memory.held == size_kb * 1_000, context.shell.memory.held


@when("that attempt is cancelled")
def step_cancelled(context):
    execute(CancelAttempt(7), context.shell)


@when("the caller sends chunks of {size_kb:d} KB until it is refused")
def step_until_refused(context, size_kb):
    shell, caller = context.shell, context.caller
    shell.max_body_bytes = 10 * MB
    caller.data_received(b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (size_kb * 1_000, b"x" * size_kb * 1_000)
    context.held_most = 0
    while not caller.transport.written:
        caller.data_received(chunk)
        context.held_most = max(context.held_most, shell.memory.held)


@then("it got status 503 and another caller's body of {size_kb:d} KB found room meanwhile")
def step_room_left(context, size_kb):
    assert context.caller.transport.written.startswith(b"HTTP/1.1 503")
    memory = context.shell.memory
    assert memory.limit - context.held_most >= size_kb * 1_000, (memory.limit, context.held_most)
    assert memory.held == 0
