"""Steps about members at the agents."""

import random
import signal

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from features.control_support import (
    assert_no_faults,
    logged_at,
    make_service,
    wait_until,
)
from poplarlane.bench.layout import ENTRY_PORT, TARGET_PORT
from poplarlane.bench.processes import Launcher
from poplarlane.bench.relayed_fleet import RelayedFleet
from poplarlane.bench.standin_client import call
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.membership.membership import has_same_state, merge, merge_fact, precedence
from poplarlane.types import MemberFact, MemberKind, MemberState

SEED = 11
SERVICE = "visits"
LEAVING_S = 2.0
IN_FORCE_S = 4.0
EXAMPLES = 300
MAX_REQUESTS = 400

FACTS = st.builds(
    MemberFact,
    st.just("member"),
    st.just(MemberKind.TARGET),
    st.integers(0, 3),
    st.sampled_from(list(MemberState)),
    st.floats(0, 100, allow_nan=False),
    st.sampled_from(["platform", "agent-1", "entry-2"]),
)
deterministic = hypothesis_settings(max_examples=EXAMPLES)


def equal(first, second):
    return precedence(first) == precedence(second)


@given("random facts about members from several sources")
def step_facts(context):
    context.facts = FACTS


@then("merging them is commutative, associative and idempotent")
def step_merge(context):
    @deterministic
    @for_all(context.facts, context.facts, context.facts)
    def check(a, b, c):
        assert equal(merge(a, b), merge(b, a))
        assert equal(merge(merge(a, b), c), merge(a, merge(b, c)))
        assert equal(merge(a, a), a)

    check()


@then("leaving is never undone within an incarnation")
def step_leaving_kept(context):
    @deterministic
    @for_all(st.lists(context.facts, min_size=1, max_size=8), st.randoms(use_true_random=False))
    def check(facts, shuffler):
        shuffled = facts + facts
        shuffler.shuffle(shuffled)
        first, second = (AgentState("a", 1, "dc", "127.0.0.1", 1) for _ in range(2))
        left: set[int] = set()
        for fact in facts:
            merge_fact(first, fact)
            if fact.state == MemberState.LEAVING:
                left.add(fact.incarnation)
            known = first.facts[(MemberKind.TARGET, "member")]
            assert not (
                known.incarnation in left and known.state in (MemberState.LIVE, MemberState.SUSPECT)
            )
        # Incarnation 0 is unknown, so its leaving may carry over to the next; order matters there.
        if all(fact.incarnation > 0 for fact in facts):
            for fact in shuffled:
                merge_fact(second, fact)
            key = (MemberKind.TARGET, "member")
            assert has_same_state(first.facts[key], second.facts[key])
            assert first.fact_index.hashes == second.fact_index.hashes

    check()


def start_fleet(context, agents, targets, entries):
    launcher = context.resources.enter_context(Launcher())
    fleet = context.fleet = RelayedFleet(launcher, SEED, ["dc-0", "dc-1"])
    context.resources.callback(assert_no_faults, fleet)
    # No target changes its service here; the wait for that (16.3 s) exceeds the time for a probe.
    fleet.extra = {"moved_target_wait_ms": 0}
    fleet.start(agents)
    for number in range(targets):
        fleet.layout.start_target(f"target-{number}", "dc-0")
    if entries:
        fleet.start_entries()
    context.shuffler = random.Random(SEED)


@given(
    "a membership fleet of {agents:d} agents with entries and {targets:d} targets in 2 data centres"
)
def step_fleet(context, agents, targets):
    start_fleet(context, agents, targets, True)


@given(
    "a membership fleet of {agents:d} agents without entries and {targets:d} targets in 2 data "
    "centres"
)
def step_fleet_plain(context, agents, targets):
    start_fleet(context, agents, targets, False)


@given("20 percent of the membership messages are lost")
def step_loss(context):
    context.fleet.lose_messages(0.2)
    write_service(context, 1)


def write_service(context, revision):
    """Write the service with probes allowed, and wait until every agent holds it."""
    budget = {"per_target_per_s": 5.0, "target_time_share": 0.5, "probe_cost_ms": 1.0}
    service = make_service(context.fleet.layout, SERVICE, revision, probe_budget=budget)
    at = context.fleet.write(service)
    for vm in context.fleet.running:
        vm.agent.wait_for("object_accepted", revision=str(revision))
    return at


@when("the first target is leaving in the platform's list of VMs")
def step_list(context):
    layout = context.fleet.layout
    vm = {
        "address": layout.targets["target-0"],
        "data_centre": "dc-0",
        "role": "target",
        "state": "leaving",
    }
    context.fleet.platform("PUT", "/v1/vms/target-0", vm)


@when("the second target announces in its answers that it is leaving to one entry")
def step_answers(context):
    layout = context.fleet.layout
    drain(layout.targets["target-1"])
    vm = context.shuffler.choice(context.fleet.running)
    headers = {"host": f"{SERVICE}.example"}
    for _ in range(MAX_REQUESTS):
        call(vm.address, ENTRY_PORT, "GET", "/read", None, headers)
        if any(seen_leaving(vm.entry, "target-1")):
            return
    raise AssertionError("the entry did not see the target leaving")


def seen_leaving(process, target):
    """List the log lines in which a process learns that a target is leaving."""
    wanted = {"event": "target_leaving", "target": target}
    return [line for line in list(process.lines) if wanted.items() <= line.fields.items()]


def drain(address):
    """Let a target announce that it is leaving."""
    switches = {"drain": True, "drain_notice_ms": 60_000}
    answer = call(address, TARGET_PORT, "POST", "/_control", switches)
    assert answer.status == 200, answer.body


@when("the platform is unavailable and the third target tells a probe that it is leaving")
def step_probe(context):
    fleet = context.fleet
    wait_until("the third target is probed", lambda: fleet.probes_at("target-2"), 15)
    drain(fleet.layout.targets["target-2"])
    fleet.platform_faults(outage=True)


@then("every entry marks the {word} target as leaving within 2 s of the first agent")
def step_all_entries(context, word):
    name = f"target-{('first', 'second', 'third').index(word)}"
    running = context.fleet.running
    agents = [logged_at(vm.agent.wait_for("target_leaving", target=name)) for vm in running]
    entries = [logged_at(vm.entry.wait_for("target_leaving", target=name)) for vm in running]
    taken = max(entries) - min(agents)
    assert taken <= LEAVING_S, f"{name}: {taken:.3f} s"
    print(f"leaving_{word}_s={taken:.3f}")


@given("a membership service is in force at revision 1")
def step_service(context):
    write_service(context, 1)


@when("the second data centre loses the first one and the platform")
def step_partition(context):
    set_partition(context.fleet, True)


def set_partition(fleet, cut):
    """Cut or restore everything between the data centres, and the second one's platform."""
    for vm in fleet.vms:
        other = "dc-1" if vm.data_centre == "dc-0" else "dc-0"
        fleet.proxy(f"{other}-{vm.name}", partition=cut)
    fleet.proxy("platform-dc-1", partition=cut)


@then("its agents suspect their own network and stay ready")
def step_suspect_own(context):
    for vm in context.fleet.running:
        vm.agent.wait_for("own_network_suspected", 25)
        assert context.fleet.is_ready(vm)


@when("revision 2 of the membership service is accepted and the regions meet again")
def step_heal(context):
    fleet = context.fleet
    fleet.write(make_service(fleet.layout, SERVICE, 2))
    for vm in fleet.running:
        if vm.data_centre == "dc-0":
            vm.agent.wait_for("object_accepted", revision="2")
        else:
            assert fleet.status(vm)["services"] == {SERVICE: 1}
    set_partition(fleet, False)


@then("revision 2 of the membership service is in force at every entry within 4 s")
def step_converged(context):
    for vm in context.fleet.running:
        vm.entry.wait_for("service_applied", IN_FORCE_S, service=SERVICE, revision="2")


@then("no agent declared another one suspect or gone")
def step_none_gone(context):
    for vm in context.fleet.running:
        events = [line.fields.get("event") for line in vm.agent.lines]
        assert not {"agent_suspected", "agent_gone"} & set(events), events


@when("6 agents are asked to stop at once and started again")
def step_wave(context):
    fleet = context.fleet
    context.stopped = fleet.running[2:]
    context.before = list_count(fleet)
    context.old = [vm.agent for vm in context.stopped]
    for process in context.old:
        process.signal(signal.SIGTERM)
    context.statuses = [process.exit_status() for process in context.old]
    for vm in context.stopped:
        fleet.start_agent(vm, None)
    for vm in context.stopped:
        vm.agent.wait_for("ready")


def list_count(fleet):
    """Count the lists of services and copies that agents made."""
    kinds = fleet.platform("GET", "/v1/calls")["by_kind"]
    return kinds.get("list services", 0) + kinds.get("list service-copies", 0)


@then("they ended with status 0 and told the others that they leave")
def step_wave_ended(context):
    assert context.statuses == [0] * 6, context.statuses
    for process in context.old:
        process.wait_for("leaving")


@then("all agents are ready again with revision 1 and made at most {limit:d} lists together")
def step_wave_ready(context, limit):
    for vm in context.stopped:
        held = vm.agent.wait_for("object_accepted", revision="1")
        assert vm.agent.lines.index(held) < vm.agent.lines.index(vm.agent.wait_for("ready"))
    made = list_count(context.fleet) - context.before
    assert made <= limit, f"{made} lists"
    print(f"lists={made}")
