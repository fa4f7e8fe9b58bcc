"""Steps about compressed answers of the platform."""

import asyncio
import gzip
import json
import random
import time
import tracemalloc

from behave import given, then, when

from poplarlane.bench.layout import PLATFORM_PORT, Layout, register_vm
from poplarlane.bench.processes import Launcher
from poplarlane.bench.standin_client import call
from poplarlane.plumbing.platform_client import (
    MAX_RESPONSE_BYTES,
    PlatformClient,
    PlatformFailure,
    PlatformResponse,
)
from poplarlane.standins.http_server import HttpServer

SEED = 9
SERVER_PORT = 21_020
MEGABYTE = 1_000_000
INTACT = json.dumps({"as_of": 1.0, "vms": [{"name": "vm", "address": "x"}] * 100}).encode()
PACKED = gzip.compress(INTACT, mtime=0)
CONTENTS = {
    "gzip cut off in the middle": lambda: PACKED[: len(PACKED) // 2],
    "gzip with a wrong checksum": lambda: PACKED[:-8] + b"\0\0\0\0" + PACKED[-4:],
    "bytes that are not gzip": lambda: INTACT,
    "bytes after the end of gzip": lambda: PACKED + b"more",
    "100 MB in 100 KB of gzip": lambda: gzip.compress(bytes(100 * MEGABYTE), mtime=0),
    "100 MB in two members of gzip": lambda: gzip.compress(bytes(50 * MEGABYTE), mtime=0) * 2,
    "an encoding never asked for": lambda: PACKED,
}


def make_client(host, port):
    """Build a platform client."""
    generator = random.Random(SEED)
    return PlatformClient(host, port, host, "test", 10.0, 100.0, time.monotonic, generator)


@given("a stand-in platform with {count:d} VMs on its list and gzip {setting}")
def step_platform(context, count, setting):
    launcher = context.resources.enter_context(Launcher())
    layout = Layout(launcher, SEED)
    layout.start_platform(gzip=setting == "true", vm_list_lag_ms=1)
    context.host = layout.platform_address
    for number in range(count):
        register_vm(context.host, f"target-{number}", f"127.9.8.{number % 250}", "dc", "target")
    context.plain = call(context.host, PLATFORM_PORT, "GET", "/v1/vms").body


@when("the platform client reads the list of VMs")
def step_read(context):
    context.client = make_client(context.host, PLATFORM_PORT)
    context.answer = asyncio.run(context.client.read("list_vms", "/v1/vms"))


@then("it gets all {count:d} VMs in {low:d} to {high:d} percent of their bytes")
def step_bytes(context, count, low, high):
    assert isinstance(context.answer, PlatformResponse), context.answer
    assert len(json.loads(context.answer.body)["vms"]) == count
    percent = 100 * context.client.received_bytes / len(context.answer.body)
    assert low <= percent <= high, (percent, context.client.received_bytes, len(context.plain))


@given("a platform that answers with {content}")
def step_broken(context, content):
    context.content = CONTENTS[content]()
    context.encoding = "br" if content == "an encoding never asked for" else "gzip"
    context.host = context.resources.enter_context(Launcher()).new_host()


@when("the platform client reads twice, the second answer being intact")
def step_read_twice(context):
    answers = [(context.encoding, context.content), ("gzip", PACKED)]

    def handle(exchange):
        encoding, content = answers.pop(0)
        exchange.reply(200, [("content-encoding", encoding)], content)

    async def read_twice():
        server = HttpServer(handle)
        await server.listen(context.host, SERVER_PORT)
        client = make_client(context.host, SERVER_PORT)
        # A read whose wait is not zero is never repeated.
        found = [await client.read("list_vms", "/v1/vms", wait_s=1.0) for _ in range(2)]
        client.close()
        server.close()
        return found

    tracemalloc.start()
    try:
        context.found = asyncio.run(read_twice())
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then('the first call failed because of "{reason}" and the second call succeeded')
def step_failed(context, reason):
    first, second = context.found
    assert isinstance(first, PlatformFailure) and reason in first.reason, first
    assert isinstance(second, PlatformResponse) and second.body == INTACT, second
    # Decompression stops at the bound; growing a buffer holds it twice for a moment.
    assert context.peak_bytes < 3 * MAX_RESPONSE_BYTES, context.peak_bytes
