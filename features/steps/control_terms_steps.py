"""Steps about messages that carry an old term or incarnation."""

from behave import given, then, when

from features.control_grant_contention import SERVICE, World, make_service
from poplarlane.decisions.membership import agent_effects as effects
from poplarlane.decisions.membership import agent_events as events
from poplarlane.decisions.membership.agent_state import EntryLink
from poplarlane.decisions.probes.probe_schedule import shard_of
from poplarlane.decisions.reducer import reduce
from poplarlane.exchange_messages import Sender, StateUpdate
from poplarlane.messages import MemberNotice, ProbeNotice
from poplarlane.types import MemberKind


def deliver(state, incarnation, probes, facts=()):
    """Deliver a message of the peer; give the probe results that reach the entry."""
    sender = Sender("peer", incarnation, "dc", "127.0.0.9", 1, True)
    message = StateUpdate(sender, [], list(facts), [], probes)
    results = reduce(events.PeerMessage(200.0, 200.0, 7, message), state)
    updates = [each.update for each in results if isinstance(each, effects.SendToEntry)]
    return [(probe.term, probe.target) for update in updates for probe in update.probes]


def result(term, service=SERVICE):
    return ProbeNotice(service, "t", True, False, 1, 0, 0.001, 0.0, term, "peer")


def neighbour_of(service):
    """Give the name of another service of the same shard."""
    shard = shard_of(service)
    names = (f"neighbour-{number}" for number in range(10_000))
    return next(name for name in names if shard_of(name) == shard)


@given("an agent that heard of a grant with term 5 from a peer with incarnation 9")
def step_agent(context):
    agent = World(1).agents[0]
    context.state = agent.state
    context.neighbour = neighbour_of(SERVICE)
    agent.hold(make_service(context.neighbour, 1, ["t"], 1.0), 0.0)
    context.state.entries["entry"] = EntryLink("entry", b"id", 1, 200.0)
    assert deliver(context.state, 9, [result(5)]) == [(5, "t")]


@when("results with terms 5, 4 and 6 arrive and then a message of incarnation 8")
def step_results(context):
    context.passed = [deliver(context.state, 9, [result(term)]) for term in (5, 4, 6)]
    leaving = MemberNotice("t", "target", 1, "leaving", 1.0, "peer")
    context.late = deliver(context.state, 8, [result(7)], [leaving])


@then("a result of another service of the shard with term 5 is refused, and one with 6 is not")
def step_neighbour(context):
    passed = [deliver(context.state, 9, [result(term, context.neighbour)]) for term in (5, 6)]
    assert passed == [[], [(6, "t")]], passed
    assert context.state.counts["old_terms_refused"] == 2


@then("only the results with terms 5 and 6 are passed on")
def step_passed(context):
    assert context.passed == [[(5, "t")], [], [(6, "t")]], context.passed
    assert context.state.counts["old_terms_refused"] == 1


@then("the message of incarnation 8 changes nothing")
def step_late(context):
    assert context.late == [], context.late
    assert (MemberKind.TARGET, "t") not in context.state.facts
    assert context.state.counts["old_incarnations_refused"] == 1
