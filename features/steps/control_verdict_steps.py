"""Steps about verdicts that spread between agents, on the real reducer."""

import random

from behave import given, then, when

from poplarlane.decisions.configuration.distribution import sender
from poplarlane.decisions.membership import agent_handlers  # noqa: F401  registers the handlers
from poplarlane.decisions.membership.agent_effects import SendToPeer
from poplarlane.decisions.membership.agent_events import EntryMessageReceived, PeerMessage
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.membership.membership import register_sender
from poplarlane.decisions.reducer import reduce
from poplarlane.exchange_messages import StateUpdate
from poplarlane.messages import EntryReport, VerdictNotice

NOW_S = 100.0
KEY = ("availability", "t1", "entry-1")


@given("{count:d} agents in one process whose messages arrive in random order with seed {seed:d}")
def step_agents(context, count, seed):
    context.generator = random.Random(seed)
    names = [f"agent-{number}" for number in range(count)]
    context.agents = {name: AgentState(name, 1, "dc", "127.0.0.1", 1) for name in names}
    for state in context.agents.values():
        state.now = NOW_S
        state.verification.ready = True
    for state in context.agents.values():
        for other in context.agents.values():
            register_sender(state, sender(other))
        state.changed_facts.clear()
    context.in_flight = []
    context.delivered = 0


def keep_sent(context, effects):
    """Put the sent verdicts in flight."""
    for effect in effects:
        should_notify_peers = isinstance(effect, SendToPeer) and isinstance(
            effect.message, StateUpdate
        )
        if should_notify_peers and effect.message.verdicts:
            context.in_flight.append((effect.name, effect.message))


def random_value(context):
    """Draw the random bits of an event."""
    return context.generator.getrandbits(64)


@when("an entry reports a target avoided, healthy, avoided and healthy again")
def step_report(context):
    for sequence, verdict in enumerate(("avoided", "healthy", "avoided", "healthy"), 1):
        notice = VerdictNotice("availability", "t1", verdict, "entry-1", 5.0, 1, sequence)
        report = EntryReport("entry-1", 1, True, False, {}, {}, [], [notice])
        event = EntryMessageReceived(NOW_S, NOW_S, random_value(context), b"entry-1", report)
        keep_sent(context, reduce(event, context.agents["agent-0"]))


@then("the messages end within {agents:d} agents times {peers:d} peers times {count:d} verdicts")
def step_end(context, agents, peers, count):
    limit = agents * peers * count
    while context.in_flight and context.delivered <= limit:
        position = context.generator.randrange(len(context.in_flight))
        peer, message = context.in_flight.pop(position)
        context.delivered += 1
        event = PeerMessage(NOW_S, NOW_S, random_value(context), message)
        keep_sent(context, reduce(event, context.agents[peer]))
    assert context.delivered > 0
    assert not context.in_flight, f"{len(context.in_flight)} in flight after {limit} messages"


@then("every agent holds the last verdict")
def step_last(context):
    for name, state in context.agents.items():
        held = state.verdicts[KEY][0]
        assert (held.verdict, held.sequence) == ("healthy", 4), (name, held)
