"""Steps about an agent that starts while messages wait for it."""

import asyncio
import random

import zmq
from behave import given, then, when

from poplarlane.bench.processes import Launcher
from poplarlane.decisions.membership import agent_events as events
from poplarlane.decisions.membership import agent_handlers  # noqa: F401  registers the handlers
from poplarlane.decisions.membership.agent_state import AgentState
from poplarlane.decisions.reducer import reduce
from poplarlane.exchange_messages import Digest, RevisionList, Sender
from poplarlane.messages import ENCODER
from poplarlane.metrics import Metrics
from poplarlane.plumbing.agent_shell import AgentShell
from poplarlane.plumbing.peer_sockets import PeerSockets

EXCHANGE_PORT, ENTRY_PORT = 24_000, 24_001
PEER = Sender("agent-old", 1, "dc", "127.0.0.1", 1, True)
MESSAGES = {
    "a digest": Digest(PEER, 0, 0, bytes(128), bytes(128), [], [], [], 1.0, 1.0),
    "a revision list": RevisionList(PEER, [], [], False, 0),
}


@given("an agent that has not started, without peers and platform")
def step_new(context):
    context.state = AgentState("agent-new", 1, "dc", "127.0.0.1", 1)


@given("an agent that has started, without peers and platform")
def step_started(context):
    step_new(context)
    reduce(events.AgentStarted(100.0, 100.0, 1), context.state)


@when("a ready peer sends {message} that nobody asked for")
def step_sends(context, message):
    reduce(events.PeerMessage(103.0, 103.0, 1, MESSAGES[message]), context.state)


@then("the agent is not ready and nobody has verified its view")
def step_not_ready(context):
    found = context.state.verification
    assert not found.ready and not found.verified_by, found.verified_by


class RecordingShell(AgentShell):
    """Record which events come, without a platform."""

    __slots__ = ("steps",)

    def step(self, kind, *_fields):
        """Record an event; the second tick ends the run."""
        self.steps.append(kind)
        if self.steps.count(events.PeerMessage):
            self.stopped.set()


@given("an agent with bound sockets, for which a digest waits")
def step_waits(context):
    context.host = context.resources.enter_context(Launcher()).new_host()
    context.outside = zmq.Context()
    context.resources.callback(context.outside.term)
    dealer = context.outside.socket(zmq.DEALER)
    context.resources.callback(dealer.close, 0)
    dealer.connect(f"tcp://{context.host}:{EXCHANGE_PORT}")
    dealer.send(ENCODER.encode(MESSAGES["a digest"]))


@when("it waits {time_ms:d} ms before its start, as for its admin page")
def step_start(context, time_ms):
    async def start():
        sockets = PeerSockets(context.host)
        shell = RecordingShell(None, sockets, None, Metrics(), random.Random(1), context.host)
        shell.steps = context.steps = []
        sockets.bind(context.host, EXCHANGE_PORT, ENTRY_PORT)
        await asyncio.sleep(time_ms / 1000.0)
        async with asyncio.timeout(5.0):
            await shell.run()
        sockets.close()

    asyncio.run(start())


@then("it handles the digest after its start and not before")
def step_order(context):
    assert context.steps[0] is events.AgentStarted, context.steps
    assert events.PeerMessage in context.steps
