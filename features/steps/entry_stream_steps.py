"""Steps about large answers to slow readers, and spans, through one entry."""

import json
import re
import signal
import time
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

from features.entry_rig import memory_bytes, request, start_raw_rig, wait_until

LARGE_BYTES = 16_000_000
RECEIVE_BUFFER_BYTES = 16_384
TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
PARENT_ID = "00f067aa0ba902b7"


@when("{count:d} callers ask for 16 MB each and read nothing until the entry holds back")
def step_slow_readers(context, count):
    rig = context.rig
    rig.ask("GET", "/", x_answer_bytes="1000000")
    context.memory = memory_bytes(rig.entry)
    # Small buffers keep these callers behind the entry up to the last byte.
    context.callers = [rig.caller(RECEIVE_BUFFER_BYTES) for _ in range(count)]
    for caller in context.callers:
        caller.send(request("GET", "/", x_answer_bytes=str(LARGE_BYTES), x_deadline_ms="20000"))
    # The entry holds back once its memory and the answers under way no longer change.
    seen = [(0, 0)]

    def unchanged():
        time.sleep(0.2)
        seen.append((memory_bytes(rig.entry), rig.status()["in_flight"]))
        return seen[-1] == seen[-2] and seen[-1][1] == count

    wait_until(unchanged)


@then("the entry's memory has grown by less than {limit:d} MB")
def step_memory(context, limit):
    grown = memory_bytes(context.rig.entry) - context.memory
    assert grown < limit * 1_000_000, grown


@then("each of those callers receives its whole answer")
def step_large_whole(context):
    for caller in context.callers:
        reply = caller.reply()
        # The body starts with the empty request id and a line feed.
        assert reply.whole and len(reply.body) == LARGE_BYTES + 1, reply


@then("further reads on the same target connections are answered")
def step_further(context):
    # As many at once as there were large answers, so that every pooled connection is used.
    for caller in context.callers:
        caller.send(request("GET", "/", x_deadline_ms="1500"))
    for caller in context.callers:
        reply = caller.reply()
        assert reply.status == 200 and reply.whole, reply


@given("an entry that traces every request before a raw target")
def step_traced(context):
    directory = context.resources.enter_context(TemporaryDirectory())
    context.spans = Path(directory) / "spans.jsonl"
    start_raw_rig(context, tracing={"sample_ratio": 1.0, "file": str(context.spans)})
    context.raw.answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


@when("a caller sends a traceparent and the entry stops")
def step_traceparent(context):
    reply = context.rig.ask("GET", "/", traceparent=f"00-{TRACE_ID}-{PARENT_ID}-01")
    assert reply.status == 200, reply
    context.rig.entry.signal(signal.SIGTERM)
    assert context.rig.entry.exit_status() == 0


@then("the raw target got a traceparent of the same trace with the entry's span")
def step_child(context):
    head = context.raw.heads[0].decode()
    context.span_id = re.search(f"traceparent: 00-{TRACE_ID}-([0-9a-f]{{16}})-01", head).group(1)
    assert context.span_id != PARENT_ID


@then("the span file holds that span with the caller's span as its parent")
def step_span(context):
    spans = [json.loads(line) for line in context.spans.read_text().splitlines()]
    assert len(spans) == 1, spans
    assert spans[0]["context"]["span_id"] == f"0x{context.span_id}", spans
    assert spans[0]["parent_id"] == f"0x{PARENT_ID}", spans
    assert spans[0]["attributes"]["poplarlane.result"] == 1000, spans
