"""Steps about the planned fleet, simulated."""

from collections import Counter

from behave import given, then, when

from features.fleet_simulation import SimulatedFleet
from poplarlane.decisions import membership
from poplarlane.decisions.agent_events import AgentTick, ListedVm
from poplarlane.messages import ENCODER
from poplarlane.types import MemberKind, MemberState

SEED = 1
START_S = 20.0
USUAL_S = 10.0
STEP_S = 0.05
SUSPICIONS = ("agent_suspected", "agent_gone", "own_network_suspected")


def service_object(name):
    """Build a service object with one target."""
    target = {"address": "127.0.0.1", "port": 20_000, "data_centre": "dc-n1", "labels": {}}
    return {
        "service": name,
        "revision": 1,
        "change_id": f"{name}-1",
        "hosts": [f"{name}.example"],
        "requests": [{"name": "read", "methods": ["GET"], "idempotent": True}],
        "targets": {f"{name}-target": target},
        "selectors": {"everyone": {"callers": "", "targets": ""}},
    }


def busiest_second(times):
    """Give the highest number of times within a second."""
    return max(sum(start <= at < start + 1.0 for at in times) for start in times)


@given("{agents:d} agents with {services:d} services, {targets:d} targets, {loss:d} percent loss")
def step_fleet(context, agents, services, targets, loss):
    fleet = context.fleet = SimulatedFleet(agents, SEED, loss / 100)
    for number in range(services):
        fleet.write(service_object(f"service-{number}"))
    for agent in fleet.agents.values():
        vm = agent.name.replace("agent", "vm")
        fleet.rows.append(ListedVm(vm, agent.address, agent.centre, "poplarlane", "live", 1))
    for number in range(targets):
        row = ListedVm(f"target-{number}", "127.0.0.1", "dc-n1", "target", "live", 1)
        fleet.rows.append(row)
    for agent in fleet.agents.values():
        fleet.start(agent)
    fleet.run(START_S)
    assert all(agent.ready_at for agent in fleet.agents.values())


@when("{seconds:d} simulated seconds pass")
def step_pass(context, seconds):
    for agent in context.fleet.agents.values():
        agent.bytes = 0
    context.fleet.run(seconds)
    context.seconds = seconds


@then("no simulated agent suspected another or its own network")
def step_calm(context):
    lines = context.fleet.logged(*SUSPICIONS)
    assert not lines, (Counter(line[2] for line in lines), lines[:3])


@then("the agents exchanged at most {kb:d} KB/s each")
def step_bytes(context, kb):
    most = max(agent.bytes for agent in context.fleet.agents.values())
    assert most <= kb * 1000 * context.seconds, most / 1000 / context.seconds


@when("one simulated agent learns from traffic that a target is leaving")
def step_leaving(context):
    agent = context.fleet.agents["agent-0"]
    membership.leave_target(agent.state, "target-0", "traffic")
    context.fleet.step(agent, agent.life, AgentTick)


@then("all agents know within {seconds:d} s that the target is leaving")
def step_know(context, seconds):
    fleet, key = context.fleet, (MemberKind.TARGET, "target-0")
    began = fleet.now
    states = [agent.state for agent in fleet.agents.values()]
    while any(state.facts[key].state != MemberState.LEAVING for state in states):
        assert fleet.now < began + seconds, "some agents do not know"
        fleet.run(STEP_S)


@when("a quarter of the simulated agents restart at once")
def step_wave(context):
    fleet = context.fleet
    fleet.calls.clear()
    fleet.run(USUAL_S)
    context.usual = len(fleet.calls) / USUAL_S
    fleet.calls.clear()
    context.restarted = list(fleet.agents.values())[::4]
    context.began = fleet.now
    for agent in context.restarted:
        agent.bytes = 0
        fleet.restart(agent)
    fleet.run(USUAL_S)


@then("they are ready within {seconds:d} s and no second has over {times:d} times the usual calls")
def step_herd(context, seconds, times):
    late = [a.name for a in context.restarted if not a.ready_at]
    late += [a.name for a in context.restarted if a.ready_at > context.began + seconds]
    assert not late, late
    peak = busiest_second([at for at, _ in context.fleet.calls])
    assert peak <= times * context.usual, (peak, context.usual)


@then("they fetched the list of VMs at most {lists:d} times")
def step_lists(context, lists):
    fetched = sum(call == "vms" for _, call in context.fleet.calls)
    assert fetched <= lists, fetched


@then("they exchanged at most {times:d} times the size of all facts each")
def step_facts(context, times):
    state = context.fleet.agents["agent-1"].state
    notices = [membership.to_notice(fact) for fact in state.facts.values()]
    allowed = times * len(ENCODER.encode(notices))
    most = max(agent.bytes for agent in context.restarted)
    assert most <= allowed, (most, allowed)
