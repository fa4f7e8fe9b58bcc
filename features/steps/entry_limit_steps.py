"""Steps about deadlines, hedges, queues and HEAD through one entry."""

import time
import urllib.request

from behave import given, then, when

from features.entry_rig import (
    ENTRY_ADMIN_PORT,
    memory_bytes,
    request,
    start_raw_rig,
    start_rig,
    wait_until,
)

WARM_UP_READS = 60
SLOW_FACTOR = 200
GREEDY_READS = 100


@when("a caller books with {left:d} ms left through the entry")
def step_deadline(context, left):
    context.reply = context.rig.ask("POST", "/", x_request_id="late", x_deadline_ms=str(left))


@given("an entry before a raw target that never answers")
def step_silent(context):
    start_raw_rig(context)


@then("the raw target's connection was closed")
def step_raw_closed(context):
    assert context.raw.wait_until_closed(1)


@given("an entry before a raw target that answers HEAD with a length of 5")
def step_raw_head(context):
    start_raw_rig(context)
    context.raw.answer = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"


@given("an entry before 2 stand-in targets that hedges reads")
def step_hedging(context):
    kinds = [{"name": "read", "methods": ["GET"], "idempotent": True, "hedge": True}]
    limits = {"hedge_ratio": 0.5}
    start_rig(context, 2, service={"requests": kinds, "limits": limits})
    for _ in range(WARM_UP_READS):
        context.rig.ask("GET", "/")


@when("one target is 200 times slower and {count:d} reads go through the entry")
def step_slow_target(context, count):
    rig = context.rig
    rig.control("target-1", slow_factor=float(SLOW_FACTOR))
    context.replies, context.latencies = [], []
    for number in range(count):
        start = time.monotonic()
        context.replies.append(rig.ask("GET", "/", x_request_id=f"read-{number}"))
        context.latencies.append(time.monotonic() - start)


@then("every read is answered within 300 ms")
def step_fast(context):
    assert all(reply.status == 200 for reply in context.replies), context.replies
    assert max(context.latencies) < 0.3, max(context.latencies)


@then("the entry counts hedges and cancelled reads at the slow target")
def step_hedges(context):
    rig = context.rig
    url = f"http://{rig.entry_address}:{ENTRY_ADMIN_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=10) as answer:
        lines = answer.read().decode().splitlines()
    hedges = [line for line in lines if line.startswith("hedge_total{")]
    assert hedges, lines
    executions = rig.ledger("target-1")["executions"].values()
    ended = [execution["ended"] for found in executions for execution in found]
    assert "cancelled" in ended, ended


@given("an entry before 1 slow target with 2 places in flight and a queue of 4")
def step_small_queue(context):
    limits = {"slots_per_target": 1, "queue_length": 4}
    start_rig(context, 1, service={"limits": limits}, service_ms=300.0)


@when("{count:d} bookings arrive at once")
def step_at_once(context, count):
    context.callers = [context.rig.caller() for _ in range(count)]
    for number, caller in enumerate(context.callers):
        caller.send(request("POST", "/", x_request_id=f"b-{number}", x_deadline_ms="9000"))
    context.replies = [caller.reply("POST") for caller in context.callers]


@then("at most {most:d} of them run, and the others are refused with code {code}")
def step_refused(context, most, code):
    ran = [reply for reply in context.replies if reply.status == 200]
    refused = [reply for reply in context.replies if (reply.status, reply.code) == (503, code)]
    assert 2 <= len(ran) <= most and len(ran) + len(refused) == len(
        context.replies
    ), context.replies
    assert len(context.rig.ledger("target-1")["executions"]) == len(ran)


@when("HEAD is asked twice on one connection to the entry")
def step_head(context):
    caller = context.rig.caller()
    context.replies = []
    for number in range(2):
        caller.send(request("HEAD", "/", x_call=str(number)))
        context.replies.append(caller.reply("HEAD"))
    caller.close()


@then("both answers have a length of 5 and no body, on one target connection")
def step_head_length(context):
    for reply in context.replies:
        assert reply.status == 200 and reply.headers["content-length"] == "5", reply
    assert context.raw.connections == 1


@when("a caller sends reads of 200 kB one after another and takes no answer")
def step_greedy(context):
    rig = context.rig
    rig.ask("GET", "/", x_answer_bytes="200000")
    context.memory = memory_bytes(rig.entry)
    caller = rig.caller(receive_buffer=16_384)
    context.resources.callback(caller.close)
    for number in range(GREEDY_READS):
        name = f"greedy-{number}"
        caller.send(request("GET", "/", x_request_id=name, x_answer_bytes="200000"))
        limit = time.monotonic() + 0.3
        while name not in rig.ledger("target-1")["executions"]:
            if time.monotonic() > limit:
                context.held_back = True
                return
        # The answer has left the entry's request state when nothing is in flight.
        wait_until(lambda: rig.status()["in_flight"] == 0)
    context.held_back = False


@then("the entry has stopped reading that caller's requests")
def step_held_back(context):
    assert context.held_back
