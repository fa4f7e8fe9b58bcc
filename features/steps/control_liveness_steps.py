"""Steps about what agents tell each other of the fleet, with the reducer driven directly."""

import random

from behave import given, then, when

from poplarlane.decisions.configuration import (
    distribution,
    platform_watch,
)
from poplarlane.decisions.membership import (
    agent_handlers,
    liveness,
    membership,
)
from poplarlane.decisions.membership.agent_effects import ListVms, SendToPeer
from poplarlane.decisions.membership.agent_events import EntryMessageReceived, ListedVm, PeerMessage
from poplarlane.decisions.membership.agent_state import AgentState, Peer
from poplarlane.decisions.reducer import reduce
from poplarlane.exchange_messages import FactList, Sender, StateUpdate
from poplarlane.messages import EntryReport, MemberNotice
from poplarlane.types import MemberKind, MemberState

assert agent_handlers.register  # The handlers are registered when the module is imported.

OTHERS = 84
NOW_S = 1_000.0
AGE_UNIT_S = 0.1
ROUNDING_S = 1e-6


def make_agent(name, ages_s):
    """Create a ready agent that heard from each other agent the given time ago."""
    state = AgentState(name, 1, "dc-0", "10.0.0.1", 24_000)
    state.now = state.wall = NOW_S
    state.verification.ready = True
    for number, age_s in enumerate(ages_s):
        other = f"agent-{number}"
        peer = Peer(other, f"dc-{number % 7}", f"10.0.1.{number}", 24_000, NOW_S - age_s)
        peer.advertised = peer.address
        peer.contacted = peer.ready = True
        peer.incarnation = 1
        state.peers[other] = peer
    return state


def digest_of(state, generator):
    """Make the digest that an agent would send now."""
    return distribution.make_digest(state, generator)


def receive(state, message):
    """Let an agent handle a message of a peer."""
    return reduce(PeerMessage(NOW_S, NOW_S, 1, message), state)


def peers_told(effects):
    """Name the peers to which facts are sent."""
    return {
        effect.name
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, StateUpdate)
    }


@given("an agent that heard from 84 others up to 7 s ago, seed {seed:d}")
def step_agent(context, seed):
    context.generator = random.Random(seed)
    context.ages = [context.generator.uniform(0.0, 7.0) for _ in range(OTHERS)]
    context.agent = make_agent("first", context.ages)


@when("another agent that heard from all of them {age:d} s ago handles its digest")
def step_handles(context, age):
    context.other = make_agent("second", [float(age)] * OTHERS)
    receive(context.other, digest_of(context.agent, context.generator))


@then("the other agent knows for each of the 84 when it was heard from, at most 0.1 s older")
def step_known(context):
    for name, peer in context.agent.peers.items():
        late_s = peer.heard_at - context.other.peers[name].heard_at
        assert -ROUNDING_S <= late_s <= AGE_UNIT_S + ROUNDING_S, (name, late_s)


@then("it would suspect none of them")
def step_no_suspicion(context):
    assert not membership.peers_past_silence_limit(context.other)


@when("its digest passes on through {count:d} agents without any time in between")
def step_chain(context, count):
    context.other = context.agent
    for number in range(count):
        following = make_agent(f"hop-{number}", [20.0] * OTHERS)
        receive(following, digest_of(context.other, context.generator))
        context.other = following


@then("no agent was heard from later than the first one knew")
def step_not_younger(context):
    for name, peer in context.agent.peers.items():
        assert context.other.peers[name].heard_at <= peer.heard_at + ROUNDING_S, name


@then("every prefix of its ages is accepted, and unknown marks change nothing")
def step_prefixes(context):
    packed = liveness.pack_ages(context.agent, context.generator)
    for length in range(len(packed)):
        other = make_agent("second", [20.0] * OTHERS)
        liveness.merge_ages(other, packed[:length])
        heard = sum(peer.heard_at > NOW_S - 8.0 for peer in other.peers.values())
        assert heard == length // liveness.RECORD_BYTES, (length, heard)
    unknown = make_agent("second", [20.0] * OTHERS)
    liveness.merge_ages(unknown, b"\0\0\0\0\0" * 10)
    assert all(peer.heard_at == NOW_S - 20.0 for peer in unknown.peers.values())


def lists_in_turns(state, turns):
    """Count the lists that an agent fetches while time passes by a number of turns."""
    interval_s = platform_watch.vm_list_interval_s(state, len(state.peers) + 1)
    fetched = 0
    for _ in range(turns):
        state.now += interval_s
        state.wall += interval_s
        for peer in state.peers.values():
            peer.heard_at = state.now
        fetched += sum(isinstance(effect, ListVms) for effect in platform_watch.list_vms(state))
        state.watch.vm_list_pending = False
    return fetched


@when("40 turns to fetch the list of VMs pass while it is not ready")
def step_turns_unready(context):
    context.agent.verification.ready = False
    # Nobody has been heard from since the start.
    for peer in context.agent.peers.values():
        peer.contacted = False
    context.fetched = lists_in_turns(context.agent, 40)


@then("it has fetched no list")
def step_no_list(context):
    assert context.fetched == 0, context.fetched


@when("85 turns pass while it is ready")
def step_turns_ready(context):
    context.agent.verification.ready = True
    for peer in context.agent.peers.values():
        peer.contacted = True
    context.fetched = lists_in_turns(context.agent, OTHERS + 1)


@then("it has fetched the list once")
def step_one_list(context):
    assert context.fetched == 1, context.fetched


@when("digests of 12 peers that know other facts arrive within 0.3 s")
def step_digests(context):
    context.compared = set()
    for number in range(12):
        peer = context.agent.peers[f"agent-{number}"]
        other = make_agent(peer.name, [1.0] * OTHERS)
        listed = ListedVm(f"target-{number}", "10.0.2.1", "dc-0", "target", "live", 1)
        membership.merge_listed_target(other, listed, NOW_S)
        at = NOW_S + number * 0.025
        effects = reduce(PeerMessage(at, at, 1, digest_of(other, context.generator)), context.agent)
        context.compared |= {
            effect.name
            for effect in effects
            if isinstance(effect, SendToPeer) and isinstance(effect.message, FactList)
        }


@then("it compares facts with {count:d} of them")
def step_compared(context, count):
    assert len(context.compared) == count, context.compared


@when("it learns from its entry that a target is leaving")
def step_first_hand(context):
    report = EntryReport("entry-1", 1, True, False, {}, {}, ["target-1"], [])
    context.effects = reduce(EntryMessageReceived(NOW_S, NOW_S, 1, b"e", report), context.agent)


@when("another agent that heard from all of them {age:d} s ago receives it from a peer")
def step_second_hand(context, age):
    context.other = make_agent("second", [float(age)] * OTHERS)
    kind, state = MemberKind.TARGET.value, MemberState.LEAVING.value
    fact = MemberNotice("target-1", kind, 0, state, NOW_S, "first")
    sender = Sender("agent-1", 1, "dc-1", "10.0.1.1", 24_000, True)
    context.news = StateUpdate(sender, [], [fact], [], [])
    context.effects = receive(context.other, context.news)


@when("it receives the same fact again")
def step_again(context):
    context.effects = receive(context.other, context.news)


@then("the fact goes to {count:d} different peers")
def step_spread(context, count):
    assert len(peers_told(context.effects)) == count, len(peers_told(context.effects))
