"""Steps about the work that one connection may do in one turn of the loop."""

import asyncio
import random
import time
from types import SimpleNamespace

from behave import given, then, when

from features.recording_transport import RecordingTransport
from features.steps.caller_turn_steps import TurnShell, message
from poplarlane.decisions.requests.entry_events import FailureCause
from poplarlane.metrics import Metrics
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.exchanges import Exchange
from poplarlane.plumbing.header_names import DEFAULT_HEADERS
from poplarlane.plumbing.peer_sockets import PeerSockets
from poplarlane.plumbing.target_pools import ConnectionPool
from poplarlane.plumbing.targets import TargetConnection
from poplarlane.plumbing.turns import TURN_S, TurnQueue
from poplarlane.types import Target

# What a piece of input takes by the clock of the test.
PIECE_S = TURN_S / 2
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
REQUEST_HEAD = b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_READ = 100


class TurnLoop:
    """A loop that runs one turn when the test says so; looking at the clock costs a piece."""

    def __init__(self):
        self.time = 100.0
        self.ready = []

    def clock(self):
        self.time += PIECE_S
        return self.time

    def call_soon(self, function):
        self.call_at(self.time, function)

    def call_at(self, at, function):
        self.ready.append((at, function))

    def turn(self):
        """Run what is planned, and give how long it was waited for."""
        [(at, function)] = self.ready
        self.ready.clear()
        waited_s, self.time = at - self.time, max(self.time, at)
        function()
        return waited_s


def make_queue(shell):
    """Give a shell a queue on a loop of the test."""
    loop = shell.loop = TurnLoop()
    shell.turns = TurnQueue(loop, lambda _: None, loop.clock)
    shell.metrics = Metrics()
    return shell


def open_target():
    """Open a connection to a target that carries a read; `read` records what comes of it."""
    shell = make_queue(SimpleNamespace(header_names=DEFAULT_HEADERS, target_idle_s=7.0))
    shell.body, shell.ends = bytearray(), []
    shell.handle_response_data = lambda exchange, data: shell.body.extend(data)
    shell.response_read = lambda exchange: shell.ends.append("whole")
    shell.exchange_failed = lambda exchange, cause, detail: shell.ends.append((cause, detail))
    shell.interim_read = lambda exchange, event: shell.ends.append(event.status_code)
    shell.now = lambda: 1.0
    pool = ConnectionPool(Target("t", "127.0.0.1", 80, "dc", {}, "t", "/"), 10)
    connection = TargetConnection(shell, pool)
    connection.connection_made(RecordingTransport())
    connection.send(Exchange(7, 1, False, b"", b""))
    return shell, connection


def open_caller():
    """Open a caller's connection; `refusals` records what is refused."""
    shell = make_queue(TurnShell(4))
    shell.max_body_bytes = 1_000_000
    shell.refusals = []
    refuse = shell.malformed

    def malformed(caller, refusal):
        shell.refusals.append(refusal)
        refuse(caller, refusal)

    shell.malformed = malformed
    caller = CallerConnection(shell)
    caller.connection_made(RecordingTransport())
    return shell, caller


def deliver(shell, connection, stream, size):
    """Deliver a stream in reads of a size while the connection is read from; give the rest."""
    while stream or shell.loop.ready:
        if shell.loop.ready:
            shell.loop.turn()
        elif not connection.transport.is_reading or connection.transport.ended:
            break
        else:
            data, stream = stream[:size], stream[size:]
            connection.data_received(data)
    return stream


def draw_body(generator):
    """Draw a chunked body of many or few chunks, perhaps with trailers, extensions or an error."""
    chunks = []
    for _ in range(generator.choice((0, 3, 300, 1_500))):
        size = generator.choice((1, 1, 2, 7, 40)) if generator.random() < 0.99 else 3_000
        extension = b";x=1" if generator.random() < 0.1 else b""
        chunks.append(b"%x%b\r\n%b\r\n" % (size, extension, b"\n" * size))
    if generator.random() < 0.2:
        chunks.insert(generator.randint(0, len(chunks)), b"zz\r\n")
    trailers = b"x-t: 1\r\n" * generator.choice((0, 0, 2, 400))
    return b"".join(chunks) + b"0\r\n" + trailers + b"\r\n"


def read_requests(generator, size):
    """Deliver drawn requests to a caller's connection; give what was read of them."""
    shell, caller = open_caller()
    stream = b""
    for number in range(4):
        head = REQUEST_HEAD.replace(b"/b", b"/b%d" % number)
        if generator.random() < 0.7:
            stream += head + draw_body(generator)
        else:
            stream += message("GET", f"/g{number}") * generator.choice((1, 1, 0))
    stream = deliver(shell, caller, stream, size)
    while shell.working:
        shell.answer(next(iter(shell.working.values())))
        stream = deliver(shell, caller, stream, size)
    return shell.started, [found.status for found in shell.refusals], shell.memory.held


def read_response(generator, size):
    """Deliver a drawn response to a target's connection; give what was read of it."""
    shell, connection = open_target()
    interim = b"HTTP/1.1 103 Hints\r\n\r\n" * generator.choice((0, 0, 2))
    extra = b"x" * generator.choice((0, 0, 600))
    stream = interim + RESPONSE_HEAD + draw_body(generator) + extra
    deliver(shell, connection, stream, size)
    causes = [end[0] if isinstance(end, tuple) else end for end in shell.ends]
    body = bytes(shell.body) if "whole" in causes else b""
    # With bytes behind the response, both a close and, in reads of some bytes, a reuse are right.
    return body, causes, bool(extra) or connection in connection.pool.idle


@when("{count:d} drawn streams of {side} arrive in one read, and again in reads of 100 bytes")
def step_streams(context, count, side):
    read = read_requests if side == "requests" else read_response
    context.found = [
        [read(random.Random(seed), size) for size in (1 << 30, SMALL_READ)] for seed in range(count)
    ]


@then("what was read of each is the same both times")
def step_same(context):
    for seed, (whole, small) in enumerate(context.found):
        assert whole == small, (seed, whole, small)


@given("a response that arrives from a target")
def step_target(context):
    context.shell, context.connection = open_target()
    context.connection.data_received(RESPONSE_HEAD)


@given("a caller that sends a request in chunks")
def step_caller(context):
    context.shell, context.connection = open_caller()
    context.connection.data_received(REQUEST_HEAD)


@when("{count:d} chunks of 1 byte arrive at once")
def step_chunks(context, count):
    context.connection.data_received(b"1\r\nx\r\n" * count)


@when("{count:d} chunks of 1 byte arrive, {some:d} at a time")
def step_slow_chunks(context, count, some):
    for _ in range(count // some):
        context.connection.data_received(b"1\r\nx\r\n" * some)


@when("chunks of 1 byte arrive without end")
def step_endless(context):
    context.sent = 0
    transport = context.connection.transport
    while not transport.ended and context.sent < 400_000:
        if transport.is_reading:
            context.connection.data_received(b"1\r\nx\r\n" * 1_000)
            context.sent += 6_000
        else:
            context.shell.loop.turn()


@then(
    "at most {most_kb:d} KB of the body is read at once and in each turn, with pauses of twice its "
    "work"
)
def step_in_turns(context, most_kb):
    shell, read_before = context.shell, 0
    while shell.loop.ready:
        assert len(shell.body) - read_before <= most_kb * 1_000, len(shell.body)
        read_before, began_at = len(shell.body), shell.loop.time
        assert not context.connection.transport.is_reading
        waited_s = shell.loop.turn()
        # The first turn is planned at once; a turn takes at least its share and one piece more.
        assert read_before == 0 or waited_s >= 2 * TURN_S - 1e-9, waited_s
        assert shell.loop.time - began_at - waited_s <= TURN_S + 3 * PIECE_S


@then("the target is not read from before all {count:d} bytes are read")
def step_all_read(context, count):
    assert len(context.shell.body) == count and context.connection.transport.is_reading


@then("all {count:d} bytes are read and the connection is open")
def step_open(context, count):
    assert len(context.shell.body) == count and not context.connection.closed


@then(
    "the attempt fails as an invalid answer after at most {most_kb:d} KB and the connection is "
    "closed"
)
def step_fault(context, most_kb):
    [(cause, detail)] = context.shell.ends
    assert cause is FailureCause.ANSWER_INVALID and "proportion" in detail, detail
    assert context.sent <= most_kb * 1_000 and context.connection.closed, context.sent


@then("it is counted as excessive framing of the target")
def step_counted(context):
    assert b'excessive_framing_total{side="target"} 1' in context.shell.metrics.render()


@then("it is refused with {status:d} and code {code:d} after at most {most_kb:d} KB")
def step_refused(context, status, code, most_kb):
    [refusal] = context.shell.refusals
    assert (refusal.status, refusal.code) == (status, code), refusal
    assert context.sent <= most_kb * 1_000 and not context.shell.memory.held, context.sent


@given("a caller whose booking waits behind a read, with {count:d} chunks of 1 byte")
def step_behind(context, count):
    context.shell, context.connection = open_caller()
    # Behind the booking no further request is read.
    head = message("GET", "/0") + message("POST", "/1")
    context.connection.data_received(head)
    data = REQUEST_HEAD + b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    for start in range(0, len(data), SMALL_READ):
        context.connection.data_received(data[start : start + SMALL_READ])
    assert len(context.connection.reader.buffer) == len(data) and not context.shell.loop.ready


@when("the read is answered")
def step_read_answered(context):
    for name in ("/0", "/1"):
        [request] = context.shell.working.values()
        assert request.head.path == name.encode()
        context.shell.answer(request)


@then("the booking is read in many turns and then worked on")
def step_many_turns(context):
    turns = 0
    while context.shell.loop.ready:
        context.shell.loop.turn()
        turns += 1
    assert turns > 15 and context.shell.started == ["/0", "/1", "/b"], turns


@when("a head of {count:d} lines arrives from {sender}, {whole}")
def step_head(context, count, sender, whole):
    lines = b"a:b\r\n" * count + (b"\r\n" if whole == "complete" else b"")
    if sender == "a caller":
        context.shell, connection = open_caller()
        deliver(context.shell, connection, b"GET / HTTP/1.1\r\nhost: h\r\n" + lines, 1 << 30)
        context.refused = [found.detail for found in context.shell.refusals]
    else:
        context.shell, connection = open_target()
        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + lines)
        context.refused = [detail for _, detail in context.shell.ends]


@then("it is refused as having too many lines")
def step_too_many(context):
    assert context.refused == ["head of more than 256 lines"], context.refused


@when("{count:d} messages arrive that take {work_ms:d} ms each")
def step_messages(context, count, work_ms):
    async def run():
        sockets = PeerSockets(context.host)
        handled = []

        def handle(_, payload):
            time.sleep(work_ms / 1000.0)
            handled.append(payload)

        sockets.bind_peer_router(context.host, context.port)
        sockets.start_receiving(handle)
        sockets.connect("self", context.host, context.port)
        for _ in range(count):
            sockets.send("self", b"news")
        most = 0
        while len(handled) < count:
            before = len(handled)
            # Continues in the next turn of the loop.
            await asyncio.sleep(0)
            most = max(most, len(handled) - before)
        sockets.close()
        return most

    context.most = asyncio.run(run())


@then("at most {most:d} of them are handled in one turn")
def step_messages_in_turn(context, most):
    assert 1 <= context.most <= most, context.most
