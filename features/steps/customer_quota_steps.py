"""Steps about customers' quotas, in virtual time and at one node."""

import json
import subprocess
import tempfile
from contextlib import ExitStack
from pathlib import Path
from unittest.mock import patch

import quota_trials
from behave import given, then, when
from customer_key_steps import arrive, choose_now, customer, new_state, refusals
from node_world import NOW, metadata
from quota_model import TOLERANCE, ModelFleet, customers_of

from poplarlane.bench.processes import binary_path
from poplarlane.decisions.customers import quotas, section
from poplarlane.decisions.customers.keys import CustomerTable, digest_of_key
from poplarlane.decisions.customers.members import LostTable
from poplarlane.decisions.customers.section import CustomersSection
from poplarlane.decisions.customers.usage_report import request_counts
from poplarlane.decisions.effects import Log
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats.hedging import hedge
from poplarlane.decisions.requests.entry_effects import SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    AttemptSent,
    CallerDisconnected,
    FailureCause,
    ResponseCompleted,
)
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.plumbing.fleet_exchange import MAX_SECTION_BYTES
from poplarlane.programs.ctl.trace_command import trace

FAULTS = {
    "silent nodes are not charged": [
        (LostTable, "charged_per_s", lambda *_: 0.0),
        (CustomersSection, "charge_silence", lambda *_: None),
    ],
    "isolated nodes are not limited": [(quotas, "isolated_refusal", lambda *_: None)],
    "buckets are full after a restart": [
        (CustomersSection, "first_tokens", lambda _self, found, _now: found.burst),
        (section, "START_S", 0.0),
    ],
}
# Trials in which a surge and a fault coincide, out of the first 200.
TRIALS = range(24)
MOST_TRIALS = 120
# Nodes that start anew at 5 s find live seeds this much later, and then within the time in which
# every node has read its settings; all have met, and none counts as new any more, by MET_S.
ALONE_S = 6.0
SETTINGS_CHECK_S = 2.0
MET_S = 5.0 + ALONE_S + SETTINGS_CHECK_S + section.JOIN_S


@then("in {count:d} drawn trials no window of a customer exceeds its bound")
def step_trials(context, count):
    for seed in range(count):
        fleet, trial = quota_trials.run_trial(seed)
        worst, name, began_at = fleet.worst_window()
        assert worst <= 1.0, f"seed {seed}: {worst:.3f} of {name} from {began_at:.2f}: {trial}"


@when("a fault is put in: {fault}")
def step_fault(context, fault):
    context.faults = FAULTS[fault]


@then("a window of a drawn trial exceeds its bound")
def step_found(context):
    with ExitStack() as stack:
        for place, name, replacement in context.faults:
            stack.enter_context(patch.object(place, name, replacement))
        for seed in range(MOST_TRIALS):
            if quota_trials.run_trial(seed)[0].worst_window()[0] > 1.0:
                context.found = seed
                return
    raise AssertionError(f"no window over the bound in {MOST_TRIALS} trials")


@given("{nodes:d} nodes and customers that use 1 / 1.6 of their quotas")
def step_fleet(context, nodes):
    context.model = ModelFleet(3, nodes, customers_of([142, 40, 12, 3, 1]), loss=0.01)
    context.model.run(5.0)


@when("{time_s:d} seconds pass in the model")
def step_pass(context, time_s):
    context.model.run(5.0 + time_s)


@when('"{name}" sends {factor:g} times as much for {time_s:d} seconds')
def step_surge(context, name, factor, time_s):
    model = context.model
    model.set_demand(5.0, name, model.demand[name] * factor)
    model.run(5.0 + time_s)


@then("less than {percent:g}% of the requests are refused, and at most {few:d} of a small customer")
def step_hardly(context, percent, few):
    model = context.model
    refused = {
        name: round(model.refused_share(name, 2.0, 25.0) * len(model.arrived[name]))
        for name in model.ran
    }
    arrived = sum(len(times) for times in model.arrived.values())
    assert sum(refused.values()) < percent / 100.0 * arrived, (refused, arrived)
    # A share would say nothing about customers with some dozen requests.
    assert all(refused[name] <= few for name in ("c3", "c4")), refused


@then("it gets {least:g} to {most:g} of its quota in that time")
def step_gets(context, least, most):
    found = context.model.table.by_name["c0"]
    ran = sum(at >= 5.0 for at in context.model.ran["c0"])
    share = ran / (found.rate_per_s * 6.0 + found.burst)
    assert least <= share <= most, share


@then("less than {percent:g}% of the requests of the other customers are refused")
def step_others(context, percent):
    for name in list(context.model.ran)[1:]:
        share = context.model.refused_share(name, 2.0, 11.0)
        assert share < percent / 100.0, (name, share)


@when('all start anew without a live seed and "{name}" sends {factor:g} times as much')
def step_restart_alone(context, name, factor):
    model = context.model
    model.restart_alone(5.0, ALONE_S, ALONE_S + SETTINGS_CHECK_S)
    model.set_demand(5.0, name, model.demand[name] * factor)
    model.run(MET_S + 2.0 * TOLERANCE.window_s)


@then("no window of a customer exceeds its bound before, while and after they find each other")
def step_alone_bound(context):
    worst, name, began_at = context.model.worst_window()
    assert worst <= 1.0, f"{worst:.3f} of {name} from {began_at:.2f}"


@then('"{name}" gets {least:g} of its quota at least once they have met')
def step_met_share(context, name, least):
    found = context.model.table.by_name[name]
    ran = sum(at >= MET_S + TOLERANCE.window_s for at in context.model.ran[name])
    assert ran >= least * found.rate_per_s * TOLERANCE.window_s, ran


def new_section(name, customers, bootstrap=True):
    """Create the section of a node."""
    state = EntryState(name, 1)
    state.customers = CustomerTable(customers)
    return CustomersSection(state, TOLERANCE, bootstrap, 7)


@when("two of three reports in a row are lost")
def step_lost(context):
    customers = customers_of([100])
    child, context.parent = new_section("child", customers), new_section("parent", customers)
    context.parent.merge_report("child", child.take_report(1.0), 1.0)
    reports = []
    for number in range(3):
        for _ in range(number + 1):
            child.admit(customers[0], 5, 1.1 + number)
        reports.append(child.take_report(1.2 + number))
    context.parent.merge_report("child", reports[2], 4.0)
    context.parent.merge_report("child", reports[2], 4.1)
    context.parent.merge_report("child", reports[1], 4.2)


@then("the receiver counts all requests once, also if the last one arrives twice")
def step_counted(context):
    assert context.parent.pending["c0"][1] == 6, context.parent.pending


@when("a node has counted requests of {count:d} customers with names of {length:d} bytes")
def step_many(context, count, length):
    customers = customers_of([50.0] * count)
    for number, found in enumerate(customers):
        found.name = f"{number:0{length}d}"
    context.customers = customers
    context.section, context.root = new_section("n", customers), new_section("r", customers)
    context.root.make_digest(0.0)
    for found in customers:
        for _ in range(3):
            context.section.admit(found, 5, 1.0)


@then("its report and its digest are smaller than a section may be")
def step_small(context):
    for number in range(10):
        report = context.section.take_report(1.0 + number)
        assert len(report) < MAX_SECTION_BYTES, len(report)
        context.root.merge_report("n", report, 1.0 + number)
    assert len(context.root.make_digest(11.0)) < MAX_SECTION_BYTES


@then("the requests of all customers are reported in the end")
def step_all(context):
    assert not context.section.pending
    assert len(context.root.buckets) == len(context.customers)


@given('a node whose customer "{name}" has used up its quota')
def step_used_up(context, name):
    context.state = limited_state(name)
    usage = quotas.Usage(NOW, 0)
    usage.share = usage.late_share = 0.0
    context.state.quotas.usages[name] = usage


@given('a node that counts the requests of "{name}"')
def step_counts(context, name):
    context.state = limited_state(name)


def limited_state(name):
    """Create the state of a node that is the root of its fleet, with a customer and its quota."""
    state = new_state([customer(["key-1"], None, 100.0, 100.0, name)], targets=2)
    state.quotas = CustomersSection(state, TOLERANCE, True, 7)
    state.fleet.digest_at = state.quotas.digest_at = NOW
    return state


@given('a node that counts the requests of "{name}" and has queued {count:d} without a limit')
def step_unlimited(context, name, count):
    state = context.state = limited_state(name)
    found = state.customers.by_name[name]
    rate_per_s, found.rate_per_s = found.rate_per_s, 0.0
    for number in range(count):
        arrive(state, digest_of_key(b"key-1"), request_id=number + 1)
    found.rate_per_s = rate_per_s
    state.quotas.usages[name] = quotas.Usage(NOW, 0)


@when("the {count:d} requests are refused after the customer got a limit")
def step_refuse_queued(context, count):
    assert len(context.state.requests) == count
    for number in range(count):
        reduce(CallerDisconnected(NOW, 5, number + 1), context.state)


@given("a node without others whose customer may have {count:d} requests together")
def step_alone(context, count):
    context.customer = customer(["key-1"], None, 1.0, float(count))
    context.usage = quotas.Usage(NOW, 0)
    context.usage.local_tokens = float(count)
    context.around = quotas.Circumstances(True, True, 1, 0.0)


@when("one of {first:d} requests never runs and {more:d} more arrive")
def step_one_unrun(context, first, more):
    parts = context.usage, context.customer, context.around, 5, NOW
    context.found = [quotas.admit(*parts) for _ in range(first)]
    quotas.credit_back(context.usage)
    context.found += [quotas.admit(*parts) for _ in range(more)]


@then('nothing is credited to "{name}"')
def step_no_credit(context, name):
    found = context.state.quotas
    assert found.usages[name].used == 0 and not found.pending, found.pending


@then("none of them is refused")
def step_none_refused(context):
    assert not any(context.found), context.found


@when('a request of "{name}" arrives with a valid key')
def step_valid(context, name):
    context.effects = arrive(context.state, digest_of_key(b"key-1"))


@when('a request of "{name}" arrives with an unknown key')
def step_unknown(context, name):
    context.effects = arrive(context.state, digest_of_key(b"other"))


@then("it is refused with status {status:d} and code {code:d} and a time to come back")
def step_later(context, status, code):
    (found,) = refusals(context.effects)
    assert (found.status, int(found.code)) == (status, code)
    assert quotas.MIN_RETRY_AFTER_S <= found.retry_after_s <= 2.0 * quotas.MAX_RETRY_AFTER_S


@when('a request of "{name}" {way}')
def step_way(context, name, way):
    state = context.state
    if way == "finds no target":
        for service in state.services.values():
            service.service_time_s["read"] = 60.0
    effects = arrive(state, digest_of_key(b"key-1"))
    if way == "is abandoned before it is sent":
        reduce(CallerDisconnected(NOW, 5, 1), state)
        return
    effects += choose_now(state)
    attempts = [item.attempt_id for item in effects if isinstance(item, SendRequest)]
    if not attempts:
        return
    reduce(AttemptSent(NOW, 0, attempts[0]), state)
    if way == "is abandoned while it runs":
        reduce(CallerDisconnected(NOW, 5, 1), state)
    elif way == "fails after it was sent":
        cause = FailureCause.CLOSED_BEFORE_ANSWER
        reduce(AttemptFailed(NOW, 5, attempts[0], cause, "x"), state)
    elif way == "is hedged":
        hedge(state, state.requests[1], NOW + 0.4, 5, effects)
        choose_now(state, NOW + 0.4)
    else:
        answer(state, attempts[0], way)


def answer(state, attempt_id, way):
    """Answer an attempt, and the further ones if all targets refuse."""
    for _ in range(4):
        found = metadata(1.0, 0)
        if way != "is answered":
            found.status, found.not_run = 503, True
        effects = reduce(ResponseCompleted(NOW, 5, attempt_id, found), state)
        effects += choose_now(state)
        sends = [item.attempt_id for item in effects if isinstance(item, SendRequest)]
        if not sends:
            break
        attempt_id = sends[0]
        reduce(AttemptSent(NOW, 0, attempt_id), state)
        if way == "is retried after a refusal of its target":
            way = "is answered"
    for request in list(state.requests.values()):
        from poplarlane.decisions.probes.probe_events import refuse_queued

        refuse_queued(state, request, NOW, [])


@then("{used:d} requests count as used")
def step_used(context, used):
    assert context.state.quotas.pending["c1"][0] == used, context.state.quotas.pending


@then("poplarctl explain {text} names the code {code} and needs no settings")
def step_explain(context, text, code):
    command = [binary_path("poplarctl"), "explain", text]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0 and done.stdout.startswith(code), done


@given('the log line of a request that got 429 with the cause "{cause}"')
def step_line(context, cause):
    state = limited_state("c1")
    state.fleet.digest_at = -1_000.0
    state.reached_nodes_needed = 500
    (logged,) = [item for item in arrive(state, digest_of_key(b"key-1")) if isinstance(item, Log)]
    fields = " ".join(
        f"{key}={json.dumps(value) if ' ' in str(value) else value}"
        for key, value in logged.fields.items()
    )
    context.line = f"time=2026-01-01T00:00:00 process=n event={logged.event} {fields}"
    assert cause in context.line, context.line


@when("poplarctl trace reads it")
def step_trace(context):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "node.log"
        path.write_text(context.line)
        context.report = trace("t", [str(path)])


@then("it names the customer, the cause and what to look at")
def step_named(context):
    text = "\n".join(context.report.lines)
    assert "customer=c1" in text and "isolated" in text and "poplarctl customers" in text, text


@given("a node that got requests of {count:d} customers")
def step_customers(context, count):
    customers = customers_of([1.0 + number for number in range(count)])
    context.section = new_section("n", customers)
    context.section.make_digest(NOW)
    for found in customers:
        context.section.admit(found, 5, NOW)


@then("its metrics name {count:d} customers and count the others together")
def step_labels(context, count):
    counts = request_counts(context.section)
    labels = {label for label, _ in counts}
    assert len(labels) == count + 1 and "other" in labels, labels
    assert sum(counts.values()) == len(context.section.usages)


@when(
    "{nodes:d} nodes start for the first time and each gets {count:d} requests of a customer "
    "in {time_s:g} s"
)
def step_start(context, nodes, count, time_s):
    (found,) = context.customers = customers_of([100.0])
    context.ran = 0
    for number in range(nodes):
        node = new_section(f"n{number}", [found])
        node.state.reached_nodes_needed = 1
        for request in range(count):
            now = NOW + time_s * request / count
            if request % 5 == 0:
                node.state.fleet.digest_at = now
                node.adopt_digest(node.make_digest(now), 0.0, now)
            context.ran += node.admit(found, number * 7_919 + request, now) is None


@then("no more than its burst run")
def step_start_bound(context):
    (found,) = context.customers
    assert context.ran <= found.burst, context.ran


@given("a node whose customers have no quotas")
def step_no_quotas(context):
    context.section = new_section("n", customers_of([0.0]))


@then("it sends reports and digests, and limits nobody")
def step_takes_part(context):
    found = context.section
    assert found.is_active() and found.take_report(NOW) and found.make_digest(NOW)
    assert all(found.admit(customers_of([0.0])[0], 5, NOW) is None for _ in range(100))
