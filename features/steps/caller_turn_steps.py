"""Steps about several requests in turn on one caller's connection."""

import random
from types import SimpleNamespace

from behave import given, then, when

from features.recording_transport import RecordingTransport
from poplarlane.decisions.requests.entry_effects import StopAccepting
from poplarlane.plumbing.callers import CallerConnection
from poplarlane.plumbing.entry_execute import execute
from poplarlane.plumbing.header_names import DEFAULT_HEADERS
from poplarlane.plumbing.memory_account import MemoryAccount

MALFORMED = b"GET / HTTP/1.1\r\nhost: h\r\n folded: x\r\n\r\n"


class TurnShell:
    """Stand for the shell: keep what is worked on, and answer when a test says so."""

    def __init__(self, limit):
        self.settings = SimpleNamespace(max_requests_in_turn=limit, stream_buffer_bytes=65_536)
        self.head_timeout_s = self.body_timeout_s = self.idle_timeout_s = 5.0
        self.max_head_bytes = self.max_body_bytes = 10_000
        self.header_names = DEFAULT_HEADERS
        self.memory = MemoryAccount(152_000_000)
        self.time = 1.0
        self.next_id = 1
        self.working = self.requests_by_id = {}
        self.results = {}
        self.started = []
        self.deadlines_ms = {}
        self.gone = []
        self.draining = False

    def now(self):
        return self.time

    def count_result(self, code):
        self.results[code] = self.results.get(code, 0) + 1

    def caller_opened(self, caller):
        caller.trusted = True

    def caller_closed(self, caller):
        self.gone += [request for request in caller.requests if request.request_id in self.working]
        held = caller.reserved + caller.unread_bytes
        held += sum(found.body_bytes + found.buffered_bytes for found in caller.requests)
        self.memory.release(held)
        caller.requests.clear()

    def may_run_pipelined(self, request):
        return request.head.method == b"GET"

    def request_read(self, request):
        self.next_id += 1
        request.request_id = self.next_id
        name = request.head.path.decode()
        assert name not in self.started, name
        if request.head.method == b"POST":
            # A booking is worked on only when all answers before it are written.
            assert request.is_first(), name
        self.started.append(name)
        self.working[request.request_id] = request
        if request.head.deadline_ms is not None:
            waited_ms = (self.time - request.read_at) * 1000.0
            self.deadlines_ms[name] = request.head.deadline_ms - waited_ms

    def malformed(self, caller, refusal):
        caller.respond_and_close(b"HTTP/1.1 %d refused\r\n\r\n" % refusal.status)

    def answer(self, request):
        """Write the whole answer of a request; its status line names the request."""
        del self.working[request.request_id]
        close = b"connection: close\r\n" if request.closes_connection(self.draining) else b""
        if close:
            request.caller.close_after = True
        request.write(b"HTTP/1.1 200 %b\r\n%b\r\n" % (request.head.path, close))
        request.finish(self.draining)


def open_connection(limit):
    """Open a caller's connection without a network."""
    shell = TurnShell(limit)
    caller = CallerConnection(shell)
    caller.connection_made(RecordingTransport())
    return shell, caller


def message(method, path, deadline_ms=0):
    """Write a request."""
    lines = f"{method} {path} HTTP/1.1\r\nhost: h\r\n"
    if deadline_ms:
        lines += f"{DEFAULT_HEADERS.deadline.decode()}: {deadline_ms}\r\n"
    return f"{lines}content-length: 0\r\n\r\n".encode()


def answers(caller):
    """List the paths of the answers that were written, and whether each ends the connection."""
    found = []
    for text in caller.transport.written.split(b"\r\n\r\n")[:-1]:
        status = text.split(b"\r\n")[0].split(b" ")
        found.append((status[2].decode() if status[1] == b"200" else "", b"close" in text))
    return found


def run_sequence(seed):
    """Run one drawn sequence; gives how many requests were answered."""
    generator = random.Random(seed)
    shell, caller = open_connection(generator.randint(1, 5))
    sent = []
    has_left = is_bad = False
    stream = b""
    for number in range(generator.randint(1, 12)):
        method = "POST" if generator.random() < 0.25 else "GET"
        sent.append(f"/{number}")
        stream += message(method, sent[-1])
    if generator.random() < 0.3:
        is_bad = True
        stream += MALFORMED
    while (stream or shell.working) and not has_left:
        choice = generator.random()
        if stream and choice < 0.45 and caller.transport.is_reading:
            size = generator.randint(1, 120)
            piece, stream = stream[:size], stream[size:]
            caller.data_received(piece)
        elif shell.working and choice < 0.92:
            shell.answer(generator.choice(list(shell.working.values())))
        elif choice < 0.95:
            shell.draining = True
        elif choice < 0.97:
            has_left = True
            caller.connection_lost(None)
        elif caller.transport.ended or not shell.working:
            break
        if caller.transport.ended and not shell.working:
            break
    found = answers(caller)
    paths = [path for path, _ in found if path]
    assert paths == sent[: len(paths)], (seed, found)
    assert all(not ends for _, ends in found[:-1]), (seed, found)
    if not has_left:
        # Whatever was handed on has its answer, and nothing was handed on behind a last one.
        assert sorted(shell.started) == sorted(paths), (seed, shell.started, found)
    if any(path == "" for path, _ in found):
        assert is_bad and found[-1][0] == "" and caller.transport.ended, (seed, found)
    assert not shell.memory.held, seed
    return len(paths)


@then(
    "{cases:d} drawn sequences of requests, answers, stops, malformed input and departures keep "
    "the order"
)
def step_sequences(context, cases):
    answered = sum(run_sequence(seed) for seed in range(cases))
    assert answered > cases, answered


@given("a caller's connection that may have {limit:d} requests in turn")
def step_connection(context, limit):
    context.shell, context.caller = open_connection(limit)


@when("the caller sends {count:d} reads at once")
def step_reads(context, count):
    context.caller.data_received(b"".join(message("GET", f"/{n}") for n in range(count)))


@when("the caller sends a read and a booking with {deadline_ms:d} ms at once")
def step_booking(context, deadline_ms):
    context.caller.data_received(message("GET", "/0") + message("POST", "/1", deadline_ms))


@when("the caller sends a read and malformed input at once")
def step_malformed(context):
    context.caller.data_received(message("GET", "/0") + MALFORMED)


@when("the first read is answered")
@when("the first read is answered {time_ms:d} ms later")
def step_first_answered(context, time_ms=0):
    context.shell.time += time_ms / 1000.0
    context.shell.answer(context.caller.requests[0])


@when("the stop begins and the reads are answered, the last one first")
def step_stop(context):
    context.shell.draining = True
    for request in reversed(list(context.caller.requests)):
        context.shell.answer(request)


@then("the connection is read from")
def step_is_read(context):
    assert context.caller.transport.is_reading


@then("the connection is not read from")
def step_not_read(context):
    assert not context.caller.transport.is_reading
    assert len(context.caller.reader.buffer) < 200_000


@when("the caller sends {size_kb:d} KB more")
def step_more(context, size_kb):
    head = b"POST /late HTTP/1.1\r\nhost: h\r\ncontent-length: 9000\r\nx-a: "
    sent = 0
    while sent < size_kb * 1024 and context.caller.transport.is_reading:
        context.caller.data_received(head + b"a" * 1_000)
        sent += len(head) + 1_000
        head = b""


@when("all reads are answered in turn")
def step_all_answered(context):
    while context.caller.requests:
        context.shell.answer(context.caller.requests[0])


@then("{count:d} reads are worked on and the connection is read from")
def step_working(context, count):
    assert len(context.shell.started) == count, context.shell.started
    # What came behind them is a head that is too large; it was refused and the rest is discarded.
    assert b"HTTP/1.1 431" in context.caller.transport.written
    assert context.caller.transport.is_reading


@then("{count:d} reads are worked on")
def step_more_working(context, count):
    assert len(context.shell.started) == count, context.shell.started


@then("only the read is worked on")
def step_only_read(context):
    assert context.shell.started == ["/0"], context.shell.started


@then("the booking is worked on with at most {left_ms:d} ms left")
def step_booking_left(context, left_ms):
    assert context.shell.started == ["/0", "/1"], context.shell.started
    assert 0 < round(context.shell.deadlines_ms["/1"], 3) <= left_ms, context.shell.deadlines_ms


@then("nothing is written yet")
def step_nothing(context):
    assert not context.caller.transport.written


@then("the answer and then status 400 are written and the connection ends")
def step_refused_last(context):
    assert [path for path, _ in answers(context.caller)] == ["/0", ""]
    assert b"HTTP/1.1 400" in context.caller.transport.written
    assert context.caller.transport.ended


@then("{count:d} answers are written in order and only the last one says that the connection ends")
def step_stop_answers(context, count):
    expected = [(f"/{n}", n == count - 1) for n in range(count)]
    # The last answer was ready before the stop was known to end with it.
    assert answers(context.caller) == expected, answers(context.caller)
    assert context.caller.transport.ended


@when("the first read is answered and the caller has not read it")
def step_unread_first(context):
    context.shell.answer(context.caller.requests[0])
    context.caller.transport.waiting = 5_000


@then("the connection is still open")
def step_still_open(context):
    assert not context.caller.transport.aborted


@when("the caller has read the first answer")
def step_first_read(context):
    context.caller.transport.waiting = 0
    context.shell.time = context.caller.expires_at
    context.caller.expire()


@then("the connection is reset")
def step_is_reset(context):
    assert context.caller.transport.aborted


def pass_time(context, duration_s, taken_per_s=0):
    """Let time pass in steps of the sweep; the caller takes bytes meanwhile."""
    transport = context.caller.transport
    ends_at = context.shell.time + duration_s
    while context.shell.time < ends_at and not transport.aborted:
        context.shell.time += 0.1
        transport.waiting = max(0, transport.waiting - int(taken_per_s * 0.1))
        if 0.0 < context.caller.expires_at <= context.shell.time:
            context.caller.expire()


def begin_stop(context):
    """Close the listener as the end of the time for accepting does."""
    context.shell.draining = True
    context.shell.acceptor = SimpleNamespace(stop=lambda: None)
    context.shell.callers = {1: context.caller}
    execute(StopAccepting(), context.shell)


@when("the read is answered {when} the stop and its caller reads it for {duration_s:d} s")
def step_reads_on(context, when, duration_s):
    if when == "after":
        begin_stop(context)
    context.shell.answer(context.caller.requests[0])
    context.caller.transport.waiting = 100_000
    if when == "before":
        begin_stop(context)
    pass_time(context, duration_s, taken_per_s=10_000)


@when("the read is answered after the stop and its caller takes nothing of it")
def step_takes_nothing(context):
    begin_stop(context)
    context.shell.answer(context.caller.requests[0])
    context.caller.transport.waiting = 100_000


@when("the caller sends a read and {more}, and takes nothing of its answer")
def step_takes_nothing_more(context, more):
    following = message("GET", "/1")
    context.rest = following[20:] if more.startswith("half") else b""
    context.caller.data_received(message("GET", "/0") + following[: -len(context.rest) or None])
    # The transport calls this as soon as its buffer is full.
    context.caller.pause_writing()
    context.shell.answer(context.caller.requests[0])
    context.caller.transport.waiting = 100_000


@when("it reads the answer for {duration_s:d} s and sends the other half")
def step_reads_slowly(context, duration_s):
    pass_time(context, duration_s, taken_per_s=4_000)
    context.caller.resume_writing()
    pass_time(context, 1, taken_per_s=4_000)
    context.caller.data_received(context.rest)


@when("the caller has read the answer")
def step_answer_read(context):
    context.caller.transport.waiting = 0


@then("the connection ends within {limit_s:f} s")
@then("the connection ends within {limit_s:d} s")
def step_ends_within(context, limit_s):
    pass_time(context, limit_s)
    assert context.caller.transport.aborted


@when("the caller resets the connection as its last answer is written")
def step_reset_at_end(context):
    def write_eof():
        raise OSError(107, "Transport endpoint is not connected")

    context.caller.transport.write_eof = write_eof
    context.shell.draining = True
    context.shell.answer(context.caller.requests[0])


@then("the connection is closed and no memory is held")
def step_closed_without_memory(context):
    assert context.caller.transport.aborted and not context.shell.memory.held
