"""Steps about the markers that travel along a call chain, refusals and HEAD."""

import urllib.request

from behave import given, then, when

from features.entry_rig import ENTRY_ADMIN_PORT, start_raw_rig

HEDGED_KINDS = [{"name": "read", "methods": ["GET"], "idempotent": True, "hedge": True}]
RAW_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def metric_lines(rig, name):
    """Read the entry's metric lines of one name."""
    url = f"http://{rig.entry_address}:{ENTRY_ADMIN_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=10) as answer:
        lines = answer.read().decode().splitlines()
    return [line for line in lines if line.startswith(name + "{")]


@when("one target is 200 times slower and {count:d} reads that are hedged above go through it")
def step_hedged_above(context, count):
    rig = context.rig
    context.hedges_before = metric_lines(rig, "hedge_total")
    rig.control("target-1", slow_factor=200.0)
    replies = [
        rig.ask("GET", "/", x_request_id=f"read-{number}", x_poplar_hedged="1")
        for number in range(count)
    ]
    assert all(reply.status in (200, 504) for reply in replies), replies


@then("the entry has counted no hedges")
def step_no_hedges(context):
    assert metric_lines(context.rig, "hedge_total") == context.hedges_before
    assert len(context.rig.ledger("target-1")["executions"]) > 0


@given("an entry that hedges reads before a raw target")
def step_raw_hedged(context):
    start_raw_rig(context, service={"requests": HEDGED_KINDS})
    context.raw.answer = RAW_ANSWER


@when("a read and a booking go through the entry to the raw target")
def step_read_and_booking(context):
    replies = [context.rig.ask("GET", "/"), context.rig.ask("POST", "/")]
    assert [reply.status for reply in replies] == [200, 200], replies


@then("the raw target got the hedge marker with the read only")
def step_marker(context):
    marked = [b"x-poplar-hedged: 1" in head.lower() for head in context.raw.heads]
    assert marked == [True, False], context.raw.heads


@when("target-1 sheds every request and {count:d} bookings go through the entry")
def step_shed(context, count):
    rig = context.rig
    rig.control("target-1", shed=1.0)
    context.replies = [
        rig.ask("POST", "/", x_request_id=f"booking-{number}") for number in range(count)
    ]


@then("all {count:d} bookings are answered and each was run once, after at least 1 refusal")
def step_run_once(context, count):
    assert all(reply.status == 200 for reply in context.replies), context.replies
    refused = context.rig.ledger("target-1")
    executions = context.rig.ledger("target-2")["executions"]
    assert not refused["executions"] and refused["arrivals"], refused
    assert sorted(executions) == sorted(f"booking-{number}" for number in range(count))
    assert all(len(found) == 1 for found in executions.values()), executions


@when("a HEAD and then a read go through the entry")
def step_head_and_read(context):
    context.replies = [context.rig.ask("HEAD", "/"), context.rig.ask("GET", "/")]


@then("both answers have status 200 and only the read has a body")
def step_bodies(context):
    head, read = context.replies
    assert (head.status, read.status) == (200, 200), context.replies
    assert not head.body and read.body, context.replies
