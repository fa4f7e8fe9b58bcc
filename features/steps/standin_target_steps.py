"""Steps about the switches of the stand-in target."""

import http.client
import json
import time
import zlib

from behave import given, then

from poplarlane.bench.processes import Launcher
from poplarlane.bench.standin_client import call

TARGET_PORT = 21020
NEXT_PORT = 21021
SERVICE_S = 0.1


def target(context, method, path, document=None, **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(context.host, TARGET_PORT, method, path, document, headers)


def switch(context, **switches):
    answer = target(context, "POST", "/_control", switches)
    assert answer.status == 200, answer.body
    return answer.json()


def ledger(context, port=TARGET_PORT):
    return call(context.host, port, "GET", "/_ledger").json()


def wait_for_ledger(context, holds):
    deadline = time.monotonic() + 5
    while not holds(found := ledger(context)):
        assert time.monotonic() < deadline, found
    return found


def open_request(context, request_id, **headers):
    """Send a request without waiting for its answer."""
    connection = http.client.HTTPConnection(context.host, TARGET_PORT, timeout=5)
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request("GET", "/work", headers={"x-request-id": request_id, **headers})
    return connection


def answers(connections):
    found = [connection.getresponse() for connection in connections]
    for answer in found:
        answer.read()
    return found


def duration_of(context, request_id):
    execution = ledger(context)["executions"][request_id][0]
    return execution["ended_at"] - execution["started_at"]


@given("a stand-in target with {slots:d} slots of fixed {service_ms:d} ms")
def step_target(context, slots, service_ms):
    context.launcher = context.resources.enter_context(Launcher())
    context.host = context.launcher.new_host()
    settings = {
        "name": "target-1",
        "listen_address": context.host,
        "listen_port": TARGET_PORT,
        "slots": slots,
        "service_ms": service_ms,
        "service_distribution": "fixed",
        "probe_ms": 50.0,
    }
    context.process = context.launcher.start("poplarlane-standin-target", settings)
    settings |= {"name": "target-2", "listen_port": NEXT_PORT, "service_ms": 1.0}
    context.launcher.start("poplarlane-standin-target", settings)


@then("its answer carries the request id, the checksum of the body and the load")
def step_answer(context):
    answer = target(context, "GET", "/a", x_request_id="r-1")
    assert answer.status == 200 and answer.headers["x-request-id"] == "r-1"
    assert answer.body.startswith(b"r-1\n")
    assert answer.headers["x-body-crc"] == f"{zlib.crc32(answer.body):08x}"
    assert answer.headers["x-load"] == "in_flight=0;queued=0"
    assert answer.headers["x-target"] == "target-1"


@then("four requests at once take two service times")
def step_queue(context):
    answers([open_request(context, f"q-{number}") for number in range(4)])
    runs = [ledger(context)["executions"][f"q-{number}"][0] for number in range(4)]
    first = min(run["started_at"] for run in runs)
    assert max(run["ended_at"] for run in runs) - first >= 2 * SERVICE_S


@then("slow factor {factor:d} triples the service time")
def step_slow(context, factor):
    switch(context, slow_factor=factor)
    target(context, "GET", "/a", x_request_id="slow")
    switch(context, slow_factor=1)
    assert duration_of(context, "slow") >= factor * SERVICE_S


@then("fail-fast answers 500 at once")
def step_fail_fast(context):
    switch(context, fail_fast=1)
    answer = target(context, "GET", "/a", x_request_id="failed")
    switch(context, fail_fast=0)
    assert answer.status == 500 and "x-not-run" not in answer.headers
    assert duration_of(context, "failed") < SERVICE_S / 2


@then("shedding refuses with x-not-run")
def step_shed(context):
    switch(context, shed=1)
    answer = target(context, "GET", "/a", x_request_id="shed")
    switch(context, shed=0)
    assert answer.status == 503 and answer.headers["x-not-run"] == "1"
    assert "shed" not in ledger(context)["executions"]


@then("a frozen, a lying and a lagging report differ from the load")
def step_reports(context):
    switch(context, report="frozen")
    first, second = open_request(context, "f-1"), open_request(context, "f-2")
    assert answers([first, second])[0].headers["x-load"] == "in_flight=0;queued=0"
    switch(context, report="lying", lie_in_flight=4)
    assert target(context, "GET", "/a").headers["x-load"] == "in_flight=4;queued=0"
    switch(context, report="true", report_lag_ms=60_000)
    first, second = open_request(context, "l-1"), open_request(context, "l-2")
    assert answers([first, second])[0].headers["x-load"] == "in_flight=0;queued=0"
    switch(context, report_lag_ms=0)
    first, second = open_request(context, "t-1"), open_request(context, "t-2")
    assert answers([first, second])[0].headers["x-load"] == "in_flight=1;queued=0"


@then("a closed connection cancels a running request and drops a queued one")
def step_cancel(context):
    switch(context, slow_factor=20)
    running = [open_request(context, f"c-{number}") for number in range(2)]
    wait_for_ledger(context, lambda found: found["in_flight"] == 2)
    queued = open_request(context, "c-queued")
    wait_for_ledger(context, lambda found: found["queued"] == 1)
    for connection in (queued, *running):
        connection.close()
    found = wait_for_ledger(context, lambda found: found["in_flight"] == found["queued"] == 0)
    switch(context, slow_factor=1)
    assert found["executions"]["c-0"][0]["ended"] == "cancelled"
    assert "c-queued" not in found["executions"]
    assert found["dropped_in_queue"] == 1


@then("a passed deadline ends a running request and refuses a queued one")
def step_deadline(context):
    switch(context, slow_factor=20)
    running = [open_request(context, f"d-{number}", x_deadline_ms="400") for number in range(2)]
    wait_for_ledger(context, lambda found: found["in_flight"] == 2)
    queued = open_request(context, "d-queued", x_deadline_ms="100")
    (refused,) = answers([queued])
    assert refused.status == 503 and refused.headers["x-not-run"] == "1"
    assert [answer.status for answer in answers(running)] == [504, 504]
    switch(context, slow_factor=1)
    assert ledger(context)["executions"]["d-0"][0]["ended"] == "expired"


@then("a probe takes time in a slot and is counted")
def step_probe(context):
    started = time.monotonic()
    answer = target(context, "GET", "/_probe")
    assert time.monotonic() - started >= 0.05
    assert answer.json() == {"in_flight": 0, "queued": 0, "leaving": False}
    assert len(ledger(context)["probes"]) == 1


@then("a call chain calls the next host with a smaller deadline")
def step_chain(context):
    entry = f"{context.host}:{NEXT_PORT}"
    chain = json.dumps(["next"])
    headers = {"x_call_chain": chain, "x_call_entry": entry, "x_attempt": "2"}
    answer = target(context, "GET", "/a", x_request_id="chain", x_deadline_ms="5000", **headers)
    assert answer.status == 200, answer.body
    ((nested,),) = ledger(context, NEXT_PORT)["executions"].values()
    assert nested["attempt"] == "2" and 0 < nested["deadline_ms"] < 5000 - SERVICE_S * 1000


@then("draining announces itself, then refuses new work and finishes the old")
def step_drain(context):
    switch(context, slow_factor=5)
    running = open_request(context, "drain-old")
    wait_for_ledger(context, lambda found: found["in_flight"] == 1)
    switch(context, drain=True, drain_notice_ms=60_000, slow_factor=1)
    announced = target(context, "GET", "/a", x_request_id="drain-notice")
    assert announced.status == 200 and announced.headers["x-leaving"] == "1"
    switch(context, drain_notice_ms=0)
    refused = target(context, "GET", "/a", x_request_id="drain-new")
    assert refused.status == 503 and refused.headers["x-not-run"] == "1"
    assert [answer.status for answer in answers([running])] == [200]
    found = ledger(context)
    assert found["arrivals"][-1] >= found["drain_started_at"]


@then("it exits with status 0 when it is stopped")
def step_stop(context):
    context.process.terminate()
    assert context.process.exit_status() == 0
