"""Steps about old values: a stale platform, and peers that are behind."""

import time

from behave import then, when

from features.control_support import make_service, wait_until
from features.steps.control_configuration_steps import (
    IN_FORCE_S,
    SERVICE,
    assert_ready_after,
)

# Longer than an agent waits for a second peer before one suffices.
UNREADY_S = 4.0
# Within this time an agent that starts has read the platform.
QUIET_S = 8.0


@when("control revisions {first:d} to {last:d} follow, but all reads show the time before them")
def step_stale(context, first, last):
    context.as_of = time.monotonic()
    # What reads show moves on with the clock, so that time must hold no write for a while.
    time.sleep(QUIET_S)
    for revision in range(first, last + 1):
        context.fleet.write(make_service(context.fleet.layout, SERVICE, revision))
    for vm in context.fleet.running:
        vm.agent.wait_for("object_accepted", revision=str(last))
    show_old_values(context)


def show_old_values(context):
    """Make reads show the time before the last revisions."""
    stale_s = time.monotonic() - context.as_of
    context.fleet.platform_faults(stale_reads_ms=stale_s * 1000)


@when("every agent in turn is killed and started again")
def step_replace_all(context):
    context.restarted = list(context.fleet.running)
    for vm in context.restarted:
        vm.agent.kill()
        show_old_values(context)
        context.fleet.start_agent(vm)


@when("control revision {revision:d} is accepted")
def step_accept(context, revision):
    at = context.fleet.write(make_service(context.fleet.layout, SERVICE, revision))
    context.changes.append((revision, at))


@then("control revision {revision:d} was in force at every entry within 4 s")
def step_in_force(context, revision):
    accepted, at = context.changes[-1]
    assert accepted == revision
    for vm in context.fleet.running:
        line = vm.entry.wait_for("service_applied", service=SERVICE, revision=str(revision))
        assert line.logged_at() - at <= IN_FORCE_S, line.text


def cut_sending(fleet, cut):
    """Set whether the first data centre cannot send to the others."""
    own = fleet.data_centres[0]
    for vm in fleet.vms:
        if vm.data_centre != own:
            fleet.proxy(f"{own}-{vm.name}", partition=cut)


def cut_receiving(fleet, vm, cut):
    """Set whether a VM receives nothing from the other data centres."""
    for centre in fleet.data_centres[1:]:
        fleet.proxy(f"{centre}-{vm.name}", partition=cut)


@when("the first data centre is cut off and control revision {revision:d} is accepted elsewhere")
def step_cut(context, revision):
    fleet = context.fleet
    cut_sending(fleet, True)
    for vm in (fleet.vms[0], fleet.vms[3]):
        cut_receiving(fleet, vm, True)
    fleet.proxy(f"platform-{fleet.data_centres[0]}", partition=True)
    fleet.write(make_service(fleet.layout, SERVICE, revision))
    for vm in fleet.running[1:]:
        vm.agent.wait_for("object_accepted", revision=str(revision))


@when(
    "the platform is down, a spare VM there starts and hears of control revision {revision:d} only"
)
def step_spare(context, revision):
    fleet = context.fleet
    fleet.platform_faults(outage=True)
    context.spare = fleet.vms[3]
    assert context.spare.data_centre == fleet.data_centres[0]
    # The way to the agent of its own data centre opens only once it has heard of the revision.
    fleet.proxy(f"{fleet.data_centres[0]}-{fleet.vms[0].name}", partition=True)
    fleet.proxy(f"{fleet.data_centres[0]}-{context.spare.name}", partition=True)
    fleet.start_agent(context.spare, "listening")
    # It now gets digests, but its requests for the object do not arrive.
    cut_receiving(fleet, context.spare, False)
    wait_until(
        "the spare VM hears of the revision",
        lambda: SERVICE in fleet.status(context.spare)["behind"],
        15,
    )


@when("the spare VM reaches the agent of its data centre, which holds control revision 3")
def step_reach(context):
    fleet = context.fleet
    for vm in (fleet.vms[0], context.spare):
        fleet.proxy(f"{fleet.data_centres[0]}-{vm.name}", partition=False)
    assert fleet.status(fleet.vms[0])["services"] == {SERVICE: 3}
    assert fleet.is_ready(fleet.vms[0])


@then("the spare VM holds control revision {revision:d} and stays unready")
def step_unready(context, revision):
    fleet, spare = context.fleet, context.spare
    spare.agent.wait_for("object_accepted", revision=str(revision))
    end = time.monotonic() + UNREADY_S
    while time.monotonic() < end:
        assert not fleet.is_ready(spare), fleet.status(spare)
        time.sleep(0.1)


@when("the first data centre can send to the others again")
def step_heal(context):
    cut_sending(context.fleet, False)


@then("the spare VM is ready with control revision {revision:d}")
def step_spare_ready(context, revision):
    assert_ready_after(context.spare, revision)
