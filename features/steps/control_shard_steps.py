"""Steps about the grants of shards: handovers, even spread, many targets, the last check."""

import asyncio
import os
import socket
from collections import Counter

from behave import given, then, when

from features.control_grant_contention import (
    GRANT_S,
    RATE_PER_S,
    World,
    make_service,
    short_intervals,
)
from features.control_handover import RUN_S, SERVICE, TARGETS, Handover, Reconnection, Release
from poplarlane.decisions.membership import agent_effects as effects
from poplarlane.decisions.membership import agent_events as events
from poplarlane.decisions.probes.grants import rank_candidates
from poplarlane.decisions.probes.probe_schedule import (
    GRANT_SHARDS,
    MAX_PROBE_FLIGHT_S,
    PROBE_TIMEOUT_S,
    shard_of,
)
from poplarlane.decisions.reducer import reduce
from poplarlane.objects import ProbeGrantObject
from poplarlane.plumbing.agent_shell import AgentShell, clock
from poplarlane.plumbing.platform_client import PlatformResponse
from poplarlane.plumbing.probe_client import probe

HANDOVERS = {"is cut off from renewal": Handover, "is released in a stop": Release}
SETTLED_S = 60.0
TICK_S = 0.1
CALL_S = 0.01


@given(
    "a holder whose grant of 10 seconds {ends} while it probes {count:d} targets"
    " {rate:d} times a second"
)
def step_handover(context, ends, count, rate):
    assert count == len(TARGETS)
    context.rate = float(rate)
    context.world = HANDOVERS[ends.strip()](context.rate)


@when("the second agent takes the grant over")
def step_take_over(context):
    context.world.run(RUN_S)


@then("two probes never arrived closer together than the rate allows")
def step_intervals(context):
    short = short_intervals(context.world, 1 / context.rate)
    assert not short, f"{len(short)} targets, shortest gap {min(gap for _, gap in short):.4f} s"


@then("both agents probed every target")
def step_both(context):
    world = context.world
    assert len(world.terms) == 2, world.terms
    for agent in (world.first, world.second):
        shard = agent.state.shards[shard_of(SERVICE)]
        assert shard.sent >= len(TARGETS), (agent.state.name, shard.sent)
    assert len(world.arrivals) == len(TARGETS), len(world.arrivals)


@given(
    "a holder that is cut off for {seconds:g} seconds while its only target moves to another shard"
)
def step_cut_off(context, seconds):
    assert seconds == Reconnection.cut_s
    context.world = Reconnection(1)


@when("both agents run for {seconds:d} seconds of virtual time")
def step_reconnect(context, seconds):
    context.world.run(seconds)


@then("the target was probed by both agents and never twice within the interval")
def step_reconnected(context):
    world = context.world
    assert not short_intervals(world, 1 / RATE_PER_S)
    for agent in (world.first, world.second):
        assert sum(probes.sent for probes in agent.state.shards.values()) > 0, agent.state.name
    assert world.first.state.shards[shard_of(world.left)].is_held(world.first.clock())


@given("a target that records the probes that it gets")
def step_recording(context):
    context.requests = []


@when("a probe is made whose grant ends while the connection is opened, and one in time")
def step_probes(context):
    asyncio.run(probe_twice(context))


async def probe_twice(context):
    """Probe a recording server with a grant that ends at 1.5 by a clock of whole seconds."""

    async def serve(reader, writer):
        try:
            context.requests.append(await reader.readuntil(b"\r\n\r\n"))
        except (asyncio.IncompleteReadError, ConnectionError):
            # The probe was withheld and its connection reset.
            writer.close()
            return
        writer.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    context.outcomes = []
    context.flight_limits = []
    for times in ([1.0, 2.0, 3.0], [1.0, 1.0, 3.0]):
        clock = iter(times).__next__

        def in_grant(now):
            context.flight_limits.append(flight_limit_ms(port))
            return now < 1.5

        outcome = await probe("127.0.0.1", port, "127.0.0.1", PROBE_TIMEOUT_S, clock, in_grant)
        context.outcomes.append(outcome)
    server.close()
    await server.wait_closed()


def flight_limit_ms(port):
    """Read after what time the kernel drops unacknowledged bytes of this process to a port."""
    for number in os.listdir("/proc/self/fd"):
        try:
            with socket.socket(fileno=os.dup(int(number))) as copy:
                if copy.getpeername()[1:2] == (port,):
                    return copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        except OSError:
            # No socket, or one without a peer.
            continue
    return None


@then("the kernel drops a probe that is not acknowledged within {limit_ms:d} ms")
def step_kernel(context, limit_ms):
    assert context.flight_limits == [limit_ms, limit_ms], context.flight_limits
    assert PROBE_TIMEOUT_S + limit_ms / 1000 <= MAX_PROBE_FLIGHT_S


@then("the target got only the probe in time")
def step_one_probe(context):
    assert len(context.requests) == 1, context.requests
    late, timely = context.outcomes
    assert (late.sent, late.reason) == (False, "deadline"), (late.sent, late.reason)
    assert timely.sent and timely.arrived, timely.reason


class NotingPlatform:
    """Note the writes of grants and accept them."""

    def __init__(self):
        self.writes = []

    async def write(self, _operation, _path, _body, version):
        """Note the condition and the time of a write."""
        self.writes.append((version, clock()))
        return PlatformResponse(200, b'{"version": 8}')


class RecordingShell(AgentShell):
    """Record events instead of handling them."""

    def step(self, kind, *fields):
        """Record an event."""
        self.state.append((kind, *fields))


@given("an agent whose platform notes when a grant is written and on what condition")
def step_noting(context):
    context.platform = NotingPlatform()
    context.events = []
    context.shell = RecordingShell(context.events, None, context.platform, None, None, "")


@when("the agent writes a grant over version {version:d}")
def step_write(context, version):
    grant = ProbeGrantObject(shard=3, holder="a", process=1, term=1, duration_ms=1000)
    asyncio.run(context.shell.write_grant(effects.WriteGrant(3, version, grant)))


@then("the write was on condition of version {version:d}")
def step_condition(context, version):
    assert [condition for condition, _ in context.platform.writes] == [version]


@then("the grant counts from a time before the write")
def step_before(context):
    [(kind, shard, written, version, grant, sent_at)] = context.events
    assert (kind, shard, written, version) == (events.GrantRead, 3, True, 8)
    assert sent_at <= context.platform.writes[0][1], (sent_at, context.platform.writes)
    assert grant.term == 1


@given("64 shards of services and fleets of 3, 24 and 85 agents")
def step_fleets(context):
    assert GRANT_SHARDS == 64
    context.fleets = [[f"agent-vm-{number}" for number in range(size)] for size in (3, 24, 85)]


def first_choices(names):
    """Give the first choice for each shard."""
    ranked = rank_candidates(list(range(GRANT_SHARDS)), names)
    return {shard: order[0] for shard, order in ranked.items()}


@then("no agent is the first choice for two shards more than another one")
def step_even(context):
    for names in context.fleets:
        held = Counter(first_choices(names).values())
        counts = [held[name] for name in names]
        assert sum(counts) == GRANT_SHARDS
        assert max(counts) - min(counts) <= 1, counts


@then("the loss of an agent moves at most {count:d} shards of others")
def step_stable(context, count):
    for names in context.fleets:
        before = first_choices(names)
        for lost in names:
            after = first_choices([name for name in names if name != lost])
            moved = [each for each in before if after[each] != before[each] != lost]
            assert len(moved) <= count, (len(names), lost, moved)


class QuietWorld(World):
    """Run one agent that nothing disturbs."""

    agent_count = 1
    lost_share = 0.0

    def disturb(self):
        """Disturb nothing."""

    def delay(self):
        """Deliver everything fast."""
        return CALL_S


@when("an agent holds the grant of a shard whose last service stops to be probed")
def step_last_service(context):
    context.world = QuietWorld(1)
    context.world.run(SETTLED_S)
    agent = context.world.agents[0]
    assert agent.state.shards[shard_of("contended")].is_held(agent.clock())
    agent.hold(make_service("contended", 2, ["t"], 0.0), agent.clock())
    context.version = context.world.stored[shard_of("contended")][0]


@then("it releases the grant and seeks it again only when a service may be probed")
def step_released(context):
    world, shard = context.world, shard_of("contended")
    agent = world.agents[0]
    arrived = len(world.arrivals["t"])
    world.run(SETTLED_S)
    version, grant = world.stored[shard]
    assert grant.released and version <= context.version + 2, (version, context.version)
    # A probe may have been under way when the change was accepted.
    assert len(world.arrivals["t"]) <= arrived + 1
    agent.hold(make_service("contended", 3, ["t"], 4.0), agent.clock())
    world.run(SETTLED_S)
    assert agent.state.shards[shard].is_held(agent.clock())
    assert len(world.arrivals["t"]) > arrived + 1


@given(
    "an agent that holds a grant for {count:d} targets and may probe each {rate:d} times a second"
)
def step_many(context, count, rate):
    world = QuietWorld(1)
    context.agent = world.agents[0]
    targets = [f"t-{number}" for number in range(count)]
    context.agent.hold(make_service("contended", 2, targets, float(rate)), 0.0)
    context.shard = shard_of("contended")
    context.ticks = []
    context.probed = Counter(dict.fromkeys(targets, 0))


@when("it runs for {seconds:d} seconds of virtual time")
def step_run_many(context, seconds):
    state = context.agent.state
    now = 200.0
    end = now + seconds
    while now < end:
        state.watch.answered_at = now
        sent = []
        for effect in reduce(events.AgentTick(now, now, 1), state):
            if isinstance(effect, effects.ReadGrant):
                reduce(events.GrantRead(now, now, 1, effect.shard, False, 0, None, now), state)
            elif isinstance(effect, effects.WriteGrant):
                fields = (effect.shard, True, effect.version + 1, effect.grant, now)
                reduce(events.GrantRead(now, now, 1, *fields), state)
            elif isinstance(effect, effects.SendProbe):
                sent.append(effect)
        for effect in sent:
            context.probed[effect.target] += 1
            result = (True, True, False, -1, -1, False, now, 0.001, "status 503")
            finished = events.ProbeFinished(now, now, 1, effect.service, effect.target, *result)
            reduce(finished, state)
        context.ticks.append(len(sent))
        now += TICK_S
    assert state.shards[context.shard].is_held(now - TICK_S) and state.grant_duration_s == GRANT_S


@then("no tick sent more than {count:d} probes")
def step_tick_bound(context, count):
    assert max(context.ticks) == count, max(context.ticks)


@then("every target got as many probes as any other, give or take one")
def step_fair(context):
    counts = context.probed.values()
    assert min(counts) > 0 and max(counts) - min(counts) <= 1, (min(counts), max(counts))
    print(f"probes={sum(counts)} per_target={min(counts)} to {max(counts)}")
