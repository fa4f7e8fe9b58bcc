"""Steps with targets that send without end, and with late copies of answers."""

import contextlib
import socket
import threading
import time
import urllib.request
from pathlib import Path

from behave import then, when

from features.steps.node_path_steps import ADMIN_PORT, ANSWER_LIMIT_S, HOST, wait_until


def resident_kb(context):
    """Read the largest resident memory that the node had."""
    text = Path(f"/proc/{context.rig.node.popen.pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0])


def booking(request_id, deadline_ms):
    """Write a booking with a deadline."""
    head = f"POST /bookings/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
    return f"{head}X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 3\r\n\r\nx=1".encode()


def read_some(caller, limit):
    """Read until the end, a reset or a limit of bytes; gives the bytes and whether it was reset."""
    data = bytearray()
    whole = limit
    try:
        while len(data) < whole:
            more = caller.recv(65_536)
            if not more:
                return data, False
            data += more
            if whole == limit:
                whole = announced_size(bytes(data[:4_096])) or limit
    except ConnectionResetError:
        return data, True
    return data, False


def announced_size(start):
    """Give the size of an answer by its head; 0 while that is unknown."""
    head, found, _ = start.partition(b"\r\n\r\n")
    _, named, rest = head.lower().partition(b"content-length: ")
    return len(head) + 4 + int(rest.split(b"\r\n")[0]) if found and named else 0


@when("a caller sends a booking with {deadline_ms:d} ms")
@when("a caller of HTTP/{version} sends a booking with {deadline_ms:d} ms")
def step_booking(context, deadline_ms, version="1.1"):
    context.memory_kb = resident_kb(context)
    with context.rig.connect() as caller:
        caller.sendall(booking("e1", deadline_ms).replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
        context.data, context.was_reset = read_some(caller, 1 << 30)


@then("the booking ends with {status:d}")
def step_status(context, status):
    assert context.data.startswith(b"HTTP/1.1 %d " % status), context.data[:200]


@then("the booking is cut and not whole")
def step_cut(context):
    assert context.data.startswith(b"HTTP/1.1 200 "), context.data[:200]
    assert context.was_reset and not context.data.endswith(b"0\r\n\r\n"), context.data[-40:]


@then(
    "it ran once, the target's connection is closed and the node's memory grew by at most "
    "{most_mb:d} MB"
)
def step_closed(context, most_mb):
    assert len(context.rig.ledger()["ran"]["e1"]) == 1
    step_memory(context, most_mb)


@then("the target's connection is closed and the node's memory grew by at most {most_mb:d} MB")
def step_memory(context, most_mb):
    wait_until(lambda: context.rig.ledger()["endless"] == 0, "the connections are closed")
    grown_kb = resident_kb(context) - context.memory_kb
    assert grown_kb <= most_mb * 1024, grown_kb


@then("a read is answered with status 200")
def step_read(context):
    assert context.rig.send("GET", "/views/1", "after")[0] == 200


@when('the target "{name}" answers probes with "{shape}"')
def step_probe_shape(context, name, shape):
    context.memory_kb = resident_kb(context)
    context.rig.control(targets={name: {"probe_mode": shape}})


@then("every one of them is answered with status 200 within {limit_ms:d} ms")
def step_in_time(context, limit_ms):
    assert [status for status, _, _ in context.answers] == [200] * len(context.answers)
    for number in range(8):
        sent_at = time.monotonic()
        assert context.rig.send("GET", "/views/1", f"timed-{number}")[0] == 200
        assert time.monotonic() - sent_at <= limit_ms / 1000.0


@when(
    "{count:d} callers take bookings without end while {reads:d} reads are sent one after the other"
)
def step_beside(context, count, reads):
    callers = [context.resources.enter_context(context.rig.connect()) for _ in range(count)]
    threads = []
    for number, caller in enumerate(callers):
        caller.sendall(booking(f"b{number}", 3_500))
        thread = threading.Thread(target=read_some, args=(caller, 1 << 40), daemon=True)
        thread.start()
        threads.append(thread)
    wait_until(lambda: context.rig.ledger()["endless"] == count, "all targets send")
    context.times_s = []
    for number in range(reads):
        sent_at = time.monotonic()
        assert context.rig.send("GET", "/views/1", f"r{number}")[0] == 200
        context.times_s.append(time.monotonic() - sent_at)
    for caller in callers:
        # A booking whose deadline has passed meanwhile was cut, and its connection reset.
        with contextlib.suppress(OSError):
            caller.shutdown(socket.SHUT_RDWR)
    for thread in threads:
        thread.join(ANSWER_LIMIT_S)


@when(
    "{count:d} callers send booking after booking while {reads:d} reads are sent, one after the "
    "other"
)
def step_beside_repeated(context, count, reads):
    stopped = threading.Event()
    context.resources.callback(stopped.set)

    def repeat(number):
        sent = 0
        while not stopped.is_set():
            with contextlib.suppress(OSError), context.rig.connect() as caller:
                caller.sendall(booking(f"b{number}-{sent}", 3_500))
                read_some(caller, 1 << 20)
            sent += 1

    for number in range(count):
        threading.Thread(target=repeat, args=(number,), daemon=True).start()
    context.times_s = []
    for number in range(reads):
        sent_at = time.monotonic()
        assert context.rig.send("GET", "/views/1", f"r{number}")[0] == 200
        context.times_s.append(time.monotonic() - sent_at)


def framing_faults(context):
    """Read how many messages of targets the node has cut for their framing."""
    url = f"http://{context.rig.node_address}:{ADMIN_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=ANSWER_LIMIT_S) as answer:
        lines = answer.read().decode().splitlines()
    found = [line for line in lines if line.startswith("excessive_framing_total{")]
    return sum(float(line.split()[-1]) for line in found)


@then("at least {least:d} bookings are cut for their framing")
def step_framing(context, least):
    wait_until(lambda: framing_faults(context) >= least, "bookings are cut")


@then("the 99th percentile of the reads is at most {limit_ms:d} ms")
def step_percentile(context, limit_ms):
    found = sorted(context.times_s)[int(0.99 * len(context.times_s))]
    assert found <= limit_ms / 1000.0, found


@when("a caller sends {count:d} bookings with short pauses")
def step_bookings(context, count):
    context.replies = {}
    for number in range(count):
        request_id = f"c{number}"
        context.replies[request_id] = context.rig.send("POST", "/bookings/1", request_id)
        # The copy arrives before, in the middle of or after the next booking's probe.
        time.sleep(0.004 * (number % 4))


@then("each booking has its own answer with status 200 and ran once")
def step_own(context):
    ran = context.rig.ledger()["ran"]
    for request_id, (status, headers, _) in context.replies.items():
        assert status == 200 and headers["x-attempt-id"] == request_id, (request_id, status)
        assert len(ran[request_id]) == 1, ran[request_id]
