"""Steps about malformed input from callers and targets."""

import contextlib
import threading
import time

from behave import given, then, when

from features.entry_raw_target import RAW_PORT, RawTarget
from features.entry_rig import HOST, Rig, request
from poplarlane.bench.processes import Launcher

HEAD = f"POST /bad HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: bad\r\n".encode()
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n"
MALFORMED = {
    "two content-lengths": HEAD + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    "two equal content-lengths": HEAD + b"content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
    "a content-length list": HEAD + b"content-length: 3, 3\r\n\r\nabc",
    "length with chunked": CHUNKED + b"content-length: 3\r\n\r\n0\r\n\r\n",
    "chunked then length": HEAD
    + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "a folded header": HEAD + b"x-a: b\r\n c\r\ncontent-length: 0\r\n\r\n",
    "a bare LF in the head": HEAD + b"x-a: b\ncontent-length: 0\r\n\r\n",
    "a bare CR in a value": HEAD + b"x-a: b\rc\r\ncontent-length: 0\r\n\r\n",
    "a space before the colon": HEAD + b"content-length : 0\r\n\r\n",
    "an oversized head": HEAD + b"x-a: " + b"a" * 20_000,
    "an oversized body": HEAD + b"content-length: 99999999\r\n\r\n",
    "a bad chunk size": CHUNKED + b"\r\nxyz\r\n",
    "chunked with a bare LF at end": CHUNKED + b"\r\n0\r\n\n",
    "an unknown transfer coding": HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n",
    "two hosts": HEAD + b"host: other.example\r\ncontent-length: 0\r\n\r\n",
    "CONNECT": b"CONNECT climbs.example:443 HTTP/1.1\r\nhost: climbs.example\r\n\r\n",
    "a request target without path": b"GET nowhere HTTP/1.1\r\nhost: climbs.example\r\n\r\n",
    "an unreadable deadline": HEAD + b"x-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n",
}
OK = b"HTTP/1.1 200 OK\r\n"
INVALID_ANSWERS = {
    "two content-lengths": OK + b"content-length: 2\r\ncontent-length: 3\r\n\r\nabc",
    "length with chunked": OK + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "a folded header": OK + b"x-a: b\r\n c\r\ncontent-length: 0\r\n\r\n",
    "a bare LF in the head": OK + b"x-a: b\ncontent-length: 0\r\n\r\n",
    "an answer without a length": OK + b"\r\nbody",
    "an answer of HTTP/1.0 by close": b"HTTP/1.0 200 OK\r\n\r\nbody",
    "status 101": b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    "a bad chunk": OK + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    "an answer to another request": OK + b"x-request-id: other\r\ncontent-length: 0\r\n\r\n",
    "an endless head": OK + b"x-a: b\r\n" * 20_000,
}
UNCLEAN_ANSWERS = {
    "extra bytes": OK + b"content-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
    "connection close": OK + b"connection: close\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.0 with a length": b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "an unexpected 100": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"content-length: 2\r\n\r\nok",
}
CLEAN_ANSWER = OK + b"content-length: 2\r\n\r\nok"
UNKNOWN_CODES = {"1300", "1301", "1302", "1303"}


@given("an entry with short timeouts before 1 stand-in target")
def step_rig(context):
    launcher = context.resources.enter_context(Launcher())
    rig = context.rig = Rig(launcher)
    context.resources.callback(rig.close)
    rig.start_target("target-1")
    context.raw = RawTarget(launcher.new_host())
    context.resources.callback(context.raw.close)
    address = context.raw.listener.getsockname()[0]
    stand_in = rig.service()
    raw = rig.service(service="raw", hosts=["raw.example"])
    raw["targets"] = {
        "raw-1": {
            "address": address,
            "port": RAW_PORT,
            "data_centre": "brasov",
            "labels": {"role": "serving"},
        }
    }
    rig.publisher.publish([stand_in, raw])
    rig.start_entry(head_timeout_ms=400, body_timeout_ms=600, idle_timeout_ms=900)


@then("each malformed request gets a 4xx, 501 or a closed connection, and a log line")
def step_malformed(context):
    rig = context.rig
    for row in context.table:
        start = len(rig.entry.lines)
        caller = rig.caller()
        with contextlib.suppress(OSError):
            caller.send(MALFORMED[row["shape"]])
        reply = caller.reply()
        accepted = {0, 400, 408, 413, 431, 501}
        assert reply.status in accepted, (row["shape"], reply)
        assert caller.at_end(), row["shape"]
        rig.entry.wait_for("malformed_input", start=start)
        caller.close()


@then("no malformed request is in the ledger of the target")
def step_not_run(context):
    assert not context.rig.ledger("target-1")["executions"]


@then("a well-formed request is answered by the entry")
def step_well_formed(context):
    reply = context.rig.ask("GET", "/", x_request_id="good")
    assert (reply.status, reply.code) == (200, "1000"), reply


def trickle(caller, pieces):
    with contextlib.suppress(OSError):
        for piece in pieces:
            caller.send(piece)
            time.sleep(0.02)


@when("a caller sends {shape} to the entry")
def step_slow(context, shape):
    pieces = {
        "a head byte by byte": [bytes([value]) for value in request("GET", "/" + "a" * 500)],
        "a body byte by byte": [HEAD + b"content-length: 500\r\n\r\n"] + [b"a"] * 500,
        "endless chunks": [CHUNKED + b"\r\n"] + [b"1;" + b"e" * 9_000 + b"\r\na\r\n"] * 500,
        "nothing at all": [],
    }[shape]
    context.caller = context.rig.caller()
    context.started = time.monotonic()
    threading.Thread(target=trickle, args=(context.caller, pieces), daemon=True).start()


@then("that caller is refused or closed within 3 s")
def step_ended(context):
    reply = context.caller.reply()
    assert reply.status in {0, 400, 408, 413, 431}, reply
    assert context.caller.at_end()
    assert time.monotonic() - context.started < 3.0


@when("a caller pipelines a booking behind a read")
def step_pipeline(context):
    context.caller = context.rig.caller()
    context.caller.send(
        request("GET", "/", x_request_id="first") + request("POST", "/", x_request_id="second")
    )


@when("a caller pipelines a booking behind a read that is the last of its connection")
def step_pipeline_closing(context):
    context.caller = context.rig.caller()
    context.caller.send(
        request("GET", "/", x_request_id="first", connection="close")
        + request("POST", "/", x_request_id="second")
    )


@then("the caller gets both answers in their order on one connection")
def step_both_answers(context):
    for expected in ("first", "second"):
        reply = context.caller.reply()
        assert reply.status == 200 and reply.headers["x-request-id"] == expected, reply
        assert "connection" not in reply.headers, reply


@then("the ledger of the target holds the read and then the booking, once each")
def step_both_ran(context):
    assert list(context.rig.ledger("target-1")["executions"]) == ["first", "second"]
    runs = context.rig.ledger("target-1")["executions"].values()
    assert all(count == 1 or len(count) == 1 for count in runs), runs


@then("the caller gets one answer and a closed connection")
def step_one_answer(context):
    reply = context.caller.reply()
    assert reply.status == 200 and reply.headers["x-request-id"] == "first", reply
    assert reply.headers["connection"] == "close", reply
    assert context.caller.at_end()


@then("only the read is in the ledger of the target")
def step_only_read(context):
    assert list(context.rig.ledger("target-1")["executions"]) == ["first"]


@when("a caller sends a header that its connection header names")
def step_hop(context):
    raw = context.raw
    raw.answer = OK + b"connection: x-own\r\nx-own: 1\r\nx-kept: 1\r\ncontent-length: 0\r\n\r\n"
    caller = context.rig.caller()
    head = b"GET / HTTP/1.1\r\nhost: raw.example\r\nconnection: x-private, keep-alive\r\n"
    caller.send(head + b"x-private: 1\r\nkeep-alive: 5\r\nte: trailers\r\nx-end: 1\r\n\r\n")
    context.reply = caller.reply()


@then("the target of the entry got neither of them")
def step_hop_gone(context):
    sent = context.raw.heads[0].lower()
    for name in (b"x-private", b"connection:", b"keep-alive", b"\r\nte:", b"x-caller-labels"):
        assert name not in sent, (name, sent)
    assert b"x-end: 1" in sent, sent
    headers = context.reply.headers
    assert "x-kept" in headers and "x-own" not in headers, headers


def ask_raw(context, answer, close_after=False):
    raw = context.raw
    raw.answer, raw.close_after = answer, close_after
    caller = context.rig.caller()
    head = b"POST / HTTP/1.1\r\nhost: raw.example\r\nx-request-id: mine\r\n"
    caller.send(head + b"x-deadline-ms: 2000\r\ncontent-length: 0\r\n\r\n")
    reply = caller.reply()
    caller.close()
    return reply


@then("each invalid answer gives status 502 with an unknown outcome and a closed connection")
def step_invalid(context):
    for number, row in enumerate(context.table, start=1):
        answer = INVALID_ANSWERS[row["shape"]]
        reply = ask_raw(context, answer, close_after=row["shape"].endswith("by close"))
        assert reply.status in (502, 504) and reply.code in UNKNOWN_CODES, (row["shape"], reply)
        assert context.raw.wait_until_closed(number), row["shape"]
        assert context.raw.connections == number, row["shape"]


@then("each of these answers is delivered and its connection closed")
def step_unclean(context):
    for number, row in enumerate(context.table, start=1):
        reply = ask_raw(context, UNCLEAN_ANSWERS[row["shape"]])
        assert (reply.status, reply.body) == (200, b"ok"), (row["shape"], reply)
        assert context.raw.wait_until_closed(number), row["shape"]
        assert context.raw.connections == number, row["shape"]


@then("bytes on an idle connection close it before the next request")
def step_idle_bytes(context):
    raw = context.raw
    closed, opened = raw.closed, raw.connections
    assert ask_raw(context, CLEAN_ANSWER).body == b"ok"
    assert ask_raw(context, CLEAN_ANSWER).body == b"ok"
    assert raw.connections == opened + 1, "a clean connection is used again"
    raw.sockets[-1].sendall(CLEAN_ANSWER)
    assert raw.wait_until_closed(closed + 1)
    context.rig.entry.wait_for("target_connection_fault")
    assert ask_raw(context, CLEAN_ANSWER).body == b"ok"
    assert raw.connections == opened + 2


@when("a caller sends a read to the raw target, which refuses each attempt")
def step_refusing(context):
    context.raw.answer = (
        b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-request-id: twice\r\ncontent-length: 0\r\n\r\n"
    )
    caller = context.rig.caller()
    caller.send(b"GET / HTTP/1.1\r\nhost: raw.example\r\nx-request-id: twice\r\n\r\n")
    context.reply = caller.reply()
    caller.close()


@then("the caller is told that it was not run")
def step_told_not_run(context):
    assert context.reply.status == 503 and context.reply.code == "1207", context.reply


@then("no two attempts of it used one connection of the raw target")
def step_own_connections(context):
    raw = context.raw
    assert len(raw.heads) > 1, "the read was not sent again"
    assert raw.connections == len(raw.heads), (raw.connections, len(raw.heads))
