"""Steps about configuration at the agents."""

import json
import time

from behave import given, then, when

from features.control_support import (
    assert_no_faults,
    logged_at,
    make_service,
    show,
    wait_until,
)
from poplarlane.bench.processes import Launcher
from poplarlane.bench.relayed_fleet import RelayedFleet

SEED = 7
IN_FORCE_S = 4.0
SERVICE = "availability"
BURST_SERVICES = 100


def start_fleet(context, agents, centres, spare=0, **platform):
    launcher = context.resources.enter_context(Launcher())
    context.fleet = RelayedFleet(launcher, SEED, [f"dc-{number}" for number in range(centres)])
    context.resources.callback(assert_no_faults, context.fleet)
    context.fleet.start(agents, spare, **platform)
    context.changes = []


@given("a control fleet of {agents:d} agents in {centres:d} data centres")
def step_fleet(context, agents, centres):
    start_fleet(context, agents, centres, writes_per_s=5_000)


@given("a control fleet of {agents:d} agents with entries in {centres:d} data centres")
def step_fleet_entries(context, agents, centres):
    start_fleet(context, agents, centres)
    context.fleet.start_entries()


@given("a control fleet of {agents:d} agents and {spare:d} spare VMs in {centres:d} data centres")
def step_fleet_spare(context, agents, spare, centres):
    start_fleet(context, agents, centres, spare)


@given("control revisions {first:d} to {last:d} of a service are in force")
def step_revisions(context, first, last):
    for revision in range(first, last + 1):
        context.fleet.write(make_service(context.fleet.layout, SERVICE, revision))
    for vm in context.fleet.running:
        vm.agent.wait_for("object_accepted", service=SERVICE, revision=str(last))


@when("{share:d} percent of the messages between the agents are lost")
def step_loss(context, share):
    context.fleet.lose_messages(share / 100)
    context.share = share


@when(
    "{count:d} changes are accepted one after the other and the platform is {state} after "
    "each write"
)
def step_changes(context, count, state):
    fleet = context.fleet
    for revision in range(1, count + 1):
        at = fleet.write(make_service(fleet.layout, SERVICE, revision))
        if state == "unavailable":
            fleet.platform_faults(outage=True)
        for vm in fleet.running:
            vm.entry.wait_for("service_applied", service=SERVICE, revision=str(revision))
        context.changes.append((revision, at))
        if state == "unavailable":
            fleet.platform_faults(outage=False)
            # The next change must be a new one for a watch that waits again.
            wait_for_watchers(fleet)
    if context.share:
        assert fleet.dropped() > 0


def wait_for_watchers(fleet):
    """Wait until a call of every watcher was answered since the platform came back."""
    began = time.monotonic()

    def answered():
        shown = [fleet.status(vm) for vm in fleet.running]
        elapsed = time.monotonic() - began
        watchers = [each for each in shown if each["watching"]]
        ages = [each["platform"] for each in watchers]
        return watchers and all(a["answered_age_s"] < elapsed and a["failures"] == 0 for a in ages)

    wait_until("watchers reach the platform again", answered, 15)


@then("each control change was in force at every entry within 4 s")
def step_in_force(context):
    slowest = 0.0
    for revision, at in context.changes:
        for vm in context.fleet.running:
            line = vm.entry.wait_for("service_applied", service=SERVICE, revision=str(revision))
            taken = logged_at(line) - at
            slowest = max(slowest, taken)
            assert taken <= IN_FORCE_S, f"{vm.name} revision {revision}: {taken:.3f} s"
    print(f"slowest_in_force_s={slowest:.3f}")


@then("no agent and no entry ever took a lower revision")
def step_monotonic(context):
    for process in context.fleet.launcher.processes.values():
        taken = [
            int(line.fields["revision"])
            for line in process.lines
            if line.fields.get("event") in ("object_accepted", "service_applied")
        ]
        assert taken == sorted(set(taken)), (process.name, taken)


@when("500 control changes to 100 services are written at once")
def step_burst(context):
    fleet = context.fleet
    context.last = 500 // BURST_SERVICES
    for revision in range(1, context.last + 1):
        for number in range(BURST_SERVICES):
            fleet.write(make_service(fleet.layout, f"burst-{number}", revision), copy=False)


@then("every agent holds the last of the burst within {limit:d} s")
def step_burst_held(context, limit):
    wanted = {f"burst-{number}": context.last for number in range(BURST_SERVICES)}
    for vm in context.fleet.running:
        wait_until(
            f"{vm.name} holds the burst",
            lambda vm=vm: context.fleet.status(vm)["services"] == wanted,
            limit,
        )


@when("the platform answers reads as of a minute ago")
def step_stale(context):
    context.fleet.platform_faults(stale_reads_ms=60_000, lose_answers=3)


@when("two agents in turn are killed and started again")
def step_restarts(context):
    fleet = context.fleet
    context.restarted = fleet.running[:2]
    for vm in context.restarted:
        vm.agent.kill()
        fleet.start_agent(vm)


@then("the restarted agents hold control revision {revision:d} when they are ready")
def step_restarted_hold(context, revision):
    for vm in context.restarted:
        assert_ready_after(vm, revision)


def assert_ready_after(vm, revision):
    """Check that an agent accepted the revision before it became ready."""
    ready = vm.agent.wait_for("ready")
    held = vm.agent.wait_for("object_accepted", service=SERVICE, revision=str(revision))
    lines = vm.agent.lines
    assert lines.index(held) < lines.index(ready), [line.text for line in lines]


def cut_off(fleet, vm, cut):
    """Drop all messages to a VM, or let them pass again."""
    for centre in fleet.data_centres:
        fleet.proxy(f"{centre}-{vm.name}", partition=cut)


@when(
    "one agent is stopped, control revision {revision:d} is accepted, its entry starts and it "
    "continues"
)
def step_pause(context, revision):
    fleet = context.fleet
    context.paused = next(vm for vm in fleet.running if fleet.status(vm)["watching"])
    context.paused.agent.pause()
    # What peers push must not wait in its sockets, or it might be handled before the hello.
    cut_off(fleet, context.paused, True)
    fleet.write(make_service(fleet.layout, SERVICE, revision))
    for vm in fleet.running:
        if vm is not context.paused:
            vm.agent.wait_for("object_accepted", revision=str(revision))
    cut_off(fleet, context.paused, False)
    entry = fleet.layout.start_entry(context.paused, "listening")
    # The agent detects a gap of 1.5 s; the entry's hello waits in its socket meanwhile.
    time.sleep(2.5)
    context.paused.agent.resume()
    entry.wait_for("ready")


@then("that agent reports its pause and the first revision of its entry is {revision:d}")
def step_pause_seen(context, revision):
    context.paused.agent.wait_for("paused")
    first = context.paused.entry.wait_for("service_applied", service=SERVICE)
    assert first.fields["revision"] == str(revision), first.text


@when("the platform is unavailable to everyone and a spare VM starts")
def step_spare(context):
    fleet = context.fleet
    fleet.platform_faults(outage=True)
    context.spare = fleet.vms[4]
    fleet.start_agent(context.spare)


@then("the new agent is ready with control revision {revision:d} and did not ask the platform")
def step_spare_ready(context, revision):
    assert_ready_after(context.spare, revision)
    ready = context.spare.agent.wait_for("ready")
    assert ready.fields["platform"] == "0" and ready.fields["peers"] != "none", ready.text


@when("a second spare VM without reachable peers starts")
def step_lonely(context):
    fleet = context.fleet
    context.lonely = fleet.vms[5]
    for centre in fleet.data_centres:
        for vm in fleet.vms:
            fleet.proxy(f"{centre}-{vm.name}", partition=True)
    fleet.start_agent(context.lonely, "listening")


@then("it stays unready while it keeps trying")
def step_lonely_unready(context):
    def tried():
        calls = context.fleet.status(context.lonely)["platform"]["calls"]
        return calls.get("list_services", 0) >= 3

    wait_until("three tries at the platform", tried, 20)
    assert not context.fleet.is_ready(context.lonely)


@when("the stored object is replaced by one with a wrong field")
def step_bad(context):
    fleet = context.fleet
    bad = make_service(fleet.layout, SERVICE, 4) | {"colour": "blue"}
    fleet.write_raw(SERVICE, json.dumps(bad).encode())


@then(
    "every agent reports the bad object with its field within 4 s and holds control revision "
    "{revision:d}"
)
def step_bad_reported(context, revision):
    for vm in context.fleet.running:
        assert_rejected(context.fleet, vm, revision)


def assert_rejected(fleet, vm, revision):
    """Check that an agent reports the bad object and keeps the last accepted one."""
    wait_until(
        f"{vm.name} reports the bad object",
        lambda: SERVICE in fleet.status(vm)["rejected"],
        IN_FORCE_S,
    )
    shown = fleet.status(vm)
    rejected = shown["rejected"][SERVICE]
    assert rejected["object"] == f"services/{SERVICE}" and rejected["field"] == "colour", rejected
    assert "unknown field" in rejected["reason"], rejected
    assert shown["services"][SERVICE] == revision, show(shown)


@when("a spare VM starts with peers and another one with the platform only")
def step_spares(context):
    fleet = context.fleet
    context.spares = fleet.vms[4:6]
    fleet.start_agent(context.spares[0])
    fleet.start_agent(context.spares[1], seed_peers=[])


@then("both are ready with control revision {revision:d} and report the bad object")
def step_spares_ready(context, revision):
    for vm in context.spares:
        assert_ready_after(vm, revision)
        vm.agent.wait_for("object_rejected", field="colour")
        assert_rejected(context.fleet, vm, revision)
