"""Steps about requests through one entry."""

import signal
import threading
import time
import urllib.error
import urllib.request

from behave import given, then, when

from features.entry_rig import (
    ENTRY_ADMIN_PORT,
    new_rig,
    request,
    start_rig,
    wait_until,
)
from poplarlane.bench.publisher import Publisher

UNKNOWN_CODES = {"1300", "1302", "1303"}
LOAD_S = 3.0
LEAVING_BOUND_S = 2.0


@given("an entry before {count:d} stand-in target")
@given("an entry before {count:d} stand-in targets")
def step_entry(context, count):
    start_rig(context, count)


@given("an entry before {count:d} stand-in target with a service time of {ms:d} ms")
def step_slow(context, count, ms):
    start_rig(context, count, service_ms=float(ms))


@given("an entry before 2 stand-in targets, the first behind the fault proxy")
def step_proxied_two(context):
    # Without verdicts every target keeps its share of the requests.
    start_rig(context, 2, {"policy": "round_robin"}, proxied=True)


@given("an entry before 1 stand-in target behind the fault proxy")
def step_proxied_one(context):
    start_rig(context, 1, proxied=True)


@given('an entry whose only selector allows callers with "{callers}"')
def step_selector(context, callers):
    pair = {"callers": callers, "targets": "role=serving"}
    start_rig(context, 1, service={"selectors": {"kiosks": pair}})


@given('an entry that trusts no source and allows callers with "{callers}"')
def step_untrusting(context, callers):
    pair = {"callers": callers, "targets": "role=serving"}
    service = {"selectors": {"kiosks": pair}}
    start_rig(context, 1, {"trusted_sources": []}, service=service)


@given("an entry whose agent has no view")
def step_no_view(context):
    rig = new_rig(context)
    rig.publisher.close()
    rig.start_entry()


@when('a caller reads "{path}" through the entry')
def step_read(context, path):
    context.reply = context.rig.ask("GET", path)


@then("the entry's answer has status {status:d} and code {code}")
def step_status(context, status, code):
    assert (context.reply.status, context.reply.code) == (status, code), context.reply


@then('the entry\'s answer carries the header "{name}"')
def step_header(context, name):
    assert name in context.reply.headers, context.reply


@then('a caller labelled "{labels}" gets status {status:d} and code {code} from the entry')
@then('a caller labelled "" gets status {status:d} and code {code} from the entry')
def step_labelled(context, status, code, labels=""):
    headers = {"x_caller_labels": labels} if labels else {}
    reply = context.rig.ask("GET", "/", **headers)
    assert (reply.status, reply.code) == (status, code), reply


@when("a caller's read is running at the target and the entry gets SIGTERM")
def step_sigterm(context):
    rig = context.rig
    caller = rig.caller()
    caller.send(request("GET", "/", x_request_id="in-flight"))
    wait_until(lambda: "in-flight" in rig.ledger("target-1")["executions"])
    rig.entry.signal(signal.SIGTERM)
    rig.entry.wait_for("draining")
    context.reply = caller.reply()
    assert caller.at_end()


@then("the entry's answer is whole and closes the connection")
def step_whole(context):
    assert context.reply.whole and context.reply.headers["connection"] == "close", context.reply


@then("the entry exits with status 0")
def step_exit(context):
    assert context.rig.entry.exit_status() == 0


@when("{count:d} {what} are made while the proxy resets every answer")
def step_resets(context, count, what):
    rig = context.rig
    rig.set_faults("target-1", reset_share=1.0)
    method = "POST" if what == "bookings" else "GET"
    context.replies = {
        f"call-{number}": rig.ask(method, "/", x_request_id=f"call-{number}")
        for number in range(count)
    }


@then("the entry reports an unknown outcome for every booking that met the proxy")
def step_unknown(context):
    rig = context.rig
    met = set(rig.ledger("target-1")["executions"])
    assert met, "no booking met the proxy"
    for name, reply in context.replies.items():
        if name in met:
            assert reply.status == 502 and reply.code in UNKNOWN_CODES, (name, reply)
        else:
            assert (reply.status, reply.code) == (200, "1000"), (name, reply)


@then("no target's ledger shows a booking twice")
def step_once(context):
    counts: dict[str, int] = {}
    for target in context.rig.targets:
        for name, executions in context.rig.ledger(target)["executions"].items():
            counts[name] = counts.get(name, 0) + len(executions)
    assert counts.keys() == context.replies.keys(), counts
    assert set(counts.values()) == {1}, counts


@then("every read is answered by the second target")
def step_moved(context):
    assert context.rig.ledger("target-1")["executions"], "no read met the proxy"
    for reply in context.replies.values():
        assert reply.status == 200 and reply.whole, reply
        assert reply.headers["x-target"] == "target-2", reply


@when("the proxy truncates an answer of {size:d} bytes to a booking")
def step_truncate(context, size):
    rig = context.rig
    if size > 262_144:
        # The first chunks pass, so that the answer is already being streamed when it is cut.
        rig.set_faults("target-1", truncate_share=0.1, truncate_after=700)
    else:
        rig.set_faults("target-1", truncate_share=1.0, truncate_after=700)
    context.reply = rig.ask("POST", "/", x_answer_bytes=str(size))


@then("the caller gets no answer of the target that looks whole")
def step_truncated(context):
    reply = context.reply
    if reply.whole:
        assert reply.status == 502 and reply.code in UNKNOWN_CODES, reply
    counts = context.rig.set_faults("target-1", clear=True)["counts"]
    assert counts["truncated"] == 1, counts


@when("{count:d} callers leave before their answers and 30 others ask at the same time")
def step_leavers(context, count):
    rig = context.rig
    context.replies = {}

    def stay(name):
        context.replies[name] = rig.ask("GET", "/", x_request_id=name)

    threads = []
    for number in range(count):
        leaver = rig.caller()
        leaver.send(request("GET", "/", x_request_id=f"leaver-{number}"))
        threads.append(threading.Thread(target=stay, args=(f"stayer-{number}",)))
        threads[-1].start()
        leaver.close()
    for thread in threads:
        thread.join()


@then("each remaining caller of the entry has the answer to its own request")
def step_own(context):
    assert len(context.replies) == 30
    for name, reply in context.replies.items():
        assert reply.status == 200 and reply.whole, (name, reply)
        assert reply.headers["x-request-id"] == name, (name, reply)
        assert reply.body.startswith(name.encode() + b"\n"), (name, reply)


@when("one target starts to drain during a steady load through the entry")
def step_drain(context):
    rig = context.rig
    context.replies = []
    end = time.monotonic() + LOAD_S

    def load():
        while time.monotonic() < end:
            context.replies.append(rig.ask("GET", "/"))

    threads = [threading.Thread(target=load) for _ in range(4)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(context.replies) >= 50)
    # The target announces that it leaves and still accepts work for longer than the bound.
    rig.control("target-1", drain=True, drain_notice_ms=60_000)
    for thread in threads:
        thread.join()


@then("every answer of that load is whole with status 200")
def step_all_whole(context):
    bad = [reply for reply in context.replies if reply.status != 200 or not reply.whole]
    assert not bad and len(context.replies) > 100, (len(context.replies), bad[:3])


@then("the leaving target got no request later than 2 s after it started to leave")
def step_left(context):
    ledger = context.rig.ledger("target-1")
    late = max(ledger["arrivals"]) - ledger["drain_started_at"]
    assert late < LEAVING_BOUND_S, late


@when("its agent is replaced by one that holds an older revision")
def step_older(context):
    rig = context.rig
    rig.publisher.publish([rig.service(revision=2, hosts=["second.example"])])
    rig.publisher.wait_for(lambda report: report.applied.get("climbs") == 2)
    rig.publisher.close()
    reply = rig.ask("GET", "http://second.example/")
    assert reply.status == 200, reply
    rig.publisher = Publisher(rig.entry_address, incarnation=2)
    rig.publisher.publish([rig.service(revision=1)])


@then("the entry still serves the revision that it had applied")
def step_still(context):
    rig = context.rig
    # The entry asks the new agent for a view within its hello interval and gets the older one.
    rig.publisher.wait_for(lambda report: rig.publisher.sequence > 0)
    assert rig.ask("GET", "http://second.example/").status == 200
    assert rig.ask("GET", "/").code == "1201"


@then("the entry reports revision {revision:d} to the new agent")
def step_reports(context, revision):
    start = len(context.rig.publisher.reports)
    context.rig.publisher.wait_for(
        lambda report: report.applied.get("climbs") == revision
        and len(context.rig.publisher.reports) > start
    )


@when("the agent sends revision 2 with a selector that does not parse")
def step_bad(context):
    rig = context.rig
    pair = {"callers": "a in (", "targets": ""}
    rig.publisher.publish([rig.service(revision=2, selectors={"broken": pair})])


@then("the entry reports the bad object with its reason")
def step_rejected(context):
    report = context.rig.publisher.wait_for(lambda report: "climbs" in report.rejected)
    assert "selector" in report.rejected["climbs"], report
    assert report.applied["climbs"] == 1, report


@then("the readiness page of the entry answers {status:d}")
def step_ready_page(context, status):
    url = f"http://{context.rig.entry_address}:{ENTRY_ADMIN_PORT}/_ready"
    try:
        found = urllib.request.urlopen(url, timeout=10).status
    except urllib.error.HTTPError as error:
        found = error.code
    assert found == status, found


@when("two signals reach the entry while {count:d} reads run")
def step_two_signals(context, count):
    rig = context.rig
    context.callers = [rig.caller() for _ in range(count)]
    for number, caller in enumerate(context.callers):
        caller.send(request("GET", "/", x_request_id=f"read-{number}"))
    wait_until(lambda: len(rig.ledger("target-1")["executions"]) == count)
    rig.entry.signal(signal.SIGTERM)
    rig.entry.wait_for("draining")
    rig.entry.signal(signal.SIGTERM)


@then("the entry logs {count:d} cut requests and exits with status 0")
def step_cut(context, count):
    context.rig.entry.wait_for("drain_cut", cut=str(count))
    assert context.rig.entry.exit_status() == 0


@when("the entry is replaced {count:d} times by one on the same port during a steady load")
def step_replaced(context, count):
    rig = context.rig
    context.replies = []
    ended = threading.Event()

    def load():
        while not ended.is_set():
            context.replies.append(rig.ask("GET", "/"))

    threads = [threading.Thread(target=load) for _ in range(4)]
    for thread in threads:
        thread.start()
    for number in range(count):
        old = rig.entry
        rig.start_entry(name=f"entry-{number + 2}", admin_port=ENTRY_ADMIN_PORT + number + 1)
        old.signal(signal.SIGTERM)
        assert old.exit_status() == 0
    ended.set()
    for thread in threads:
        thread.join()


@then("a caller's connection to the entry is refused")
def step_connection_refused(context):
    try:
        context.rig.caller()
    except ConnectionRefusedError:
        return
    raise AssertionError("an entry that is not ready accepted a connection")
