"""Steps about the memory that many answers without end, and bytes that are no messages, take."""

import asyncio
import contextlib
import itertools
import random
import socket
import threading
import time
import tracemalloc
from pathlib import Path

from behave import given, then, when

from features.steps.endless_answer_steps import booking, read_some, resident_kb
from poplarlane.bench.processes import Launcher
from poplarlane.plumbing.peer_sockets import PeerSockets
from poplarlane.plumbing.platform_client import PlatformClient, PlatformFailure
from poplarlane.plumbing.probe_client import probe
from poplarlane.standins.endless_answers import start_endless

MB = 1_000_000
PORTS = itertools.count(21_030)
CALL_TIMEOUT_S = 1.0


@when("{count:d} callers send a booking with {deadline_ms:d} ms and {reading} for {time_s:d} s")
def step_many(context, count, deadline_ms, reading, time_s):
    context.memory_kb = resident_kb(context)
    callers = [context.resources.enter_context(context.rig.connect()) for _ in range(count)]
    for number, caller in enumerate(callers):
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.sendall(booking(f"m{number}", deadline_ms))
    # Readers from the first booking on would slow down the sending of the others.
    for caller in callers if reading == "read all" else []:
        threading.Thread(target=read_quietly, args=(caller, 1 << 40), daemon=True).start()
    time.sleep(time_s)


def read_quietly(caller, limit):
    """Read until the end of the test, whatever ends the connection."""
    with contextlib.suppress(OSError):
        read_some(caller, limit)


@then("at least {count:d} of the bookings ran")
def step_ran(context, count):
    ran = len(context.rig.ledger()["ran"])
    assert ran >= count, ran


@then("the node's memory grew by at most {most_mb:d} MB")
def step_grown(context, most_mb):
    grown_kb = resident_kb(context) - context.memory_kb
    assert grown_kb <= most_mb * 1024, grown_kb


@given("a socket for messages that {side}")
def step_socket(context, side):
    context.host = context.resources.enter_context(Launcher()).new_host()
    context.side = side
    context.port = next(PORTS)


def own_kb():
    """Read the resident memory of this process."""
    return int(Path("/proc/self/status").read_text().partition("VmRSS:")[2].split()[0])


def flood(context, text):
    """Send bytes to the socket until it closes or the limit is reached."""
    sockets = PeerSockets(context.host)
    if context.side == "listens":
        sockets.bind_peer_router(context.host, context.port)
        sockets.start_receiving(lambda *_: None)
        peer = socket.create_connection((context.host, context.port))
    else:
        with socket.create_server((context.host, context.port)) as server:
            sockets.connect("peer", context.host, context.port)
            peer, _ = server.accept()
    peer.settimeout(CALL_TIMEOUT_S)
    sent = 0
    try:
        with peer:
            while sent < context.limit_bytes:
                sent += peer.send(text * 8_192)
    except (ConnectionError, TimeoutError) as error:
        return isinstance(error, ConnectionError)
    finally:
        context.grown_kb = own_kb() - context.memory_kb
        sockets.close()
    return False


@when('the other side sends up to {size_mb:d} MB of "{text}"')
def step_flood(context, size_mb, text):
    context.limit_bytes = size_mb * MB
    context.memory_kb = own_kb()

    async def run():
        return flood(context, text.encode())

    context.is_closed = asyncio.run(run())


@then("the connection is closed and the process has grown by at most {most_mb:d} MB")
def step_flood_closed(context, most_mb):
    assert context.is_closed and context.grown_kb <= most_mb * 1024, context.grown_kb


@then("two nodes exchange a message")
def step_exchange(context):
    port = next(PORTS)

    async def run():
        found = asyncio.get_running_loop().create_future()
        near, far = PeerSockets(context.host), PeerSockets(context.host)
        near.bind_peer_router(context.host, port)
        near.start_receiving(lambda _, data: found.set_result(data))
        far.connect("near", context.host, port)
        far.send("near", b"news")
        try:
            return await asyncio.wait_for(found, CALL_TIMEOUT_S * 5)
        finally:
            far.close()
            near.close()

    assert asyncio.run(run()) == b"news"


async def serve_endlessly(host, port, shape):
    """Listen with a target that answers everything in one shape."""
    tasks, writers = set(), []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        tasks.add(start_endless(shape, writer.transport, []))
        writers.append(writer)

    return await asyncio.start_server(serve, host, port), tasks, writers


async def call(kind, host, port):
    """Make one call as an agent's probe, or as a node's client of the store."""
    if kind == "probes":
        outcome = await probe(host, port, host, CALL_TIMEOUT_S, time.monotonic, lambda _: True)
        return outcome.response is None
    generator = random.Random(1)
    client = PlatformClient(
        host, port, host, "t", CALL_TIMEOUT_S, 9.0, time.monotonic, generator, 1.0, 4 * MB
    )
    # A call with a wait is not repeated.
    return isinstance(await client.read("watch", "/x", wait_s=0.5), PlatformFailure)


@when('a client of {kind} gets "{shape}"')
def step_client(context, kind, shape):
    host = context.resources.enter_context(Launcher()).new_host()
    port = next(PORTS)

    async def run():
        server, tasks, writers = await serve_endlessly(host, port, shape)
        context.started_at = time.monotonic()
        context.has_failed = await call(kind, host, port)
        context.took_s = time.monotonic() - context.started_at
        server.close()
        for task in tasks:
            task.cancel()
        for writer in writers:
            writer.transport.abort()

    tracemalloc.start()
    try:
        asyncio.run(run())
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then("the call fails before {limit_s:d} s and held at most {most_mb:d} MB")
def step_client_failed(context, limit_s, most_mb):
    assert context.has_failed and context.took_s < limit_s, context.took_s
    # The server of this test holds up to 2 MB as well.
    assert context.peak_bytes <= (most_mb + 2) * MB, context.peak_bytes
