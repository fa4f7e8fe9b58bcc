"""Steps about hedges, decided against modelled targets."""

from behave import given, then, when

from features.hedge_world import HedgeWorld
from poplarlane.decisions.repeats import retries

SEED = 3
BOUND_S = 0.3
CONNECT_S = 0.03
FULL_S = 0.05


@given("an entry that has read 60 times from 2 modelled targets of 2 ms")
def step_warm(context):
    context.world = HedgeWorld(SEED)
    context.world.warm_up()
    context.p95_s = context.world.service.health.p95_s
    assert context.p95_s > 0.0


@when("target-1 takes 400 ms to answer and 30 ms to connect, and is chosen for a read")
def step_connecting(context):
    context.world.service_s["target-1"] = 0.4
    context.world.connect_s["target-1"] = CONNECT_S
    context.number, context.attempt = context.world.read_at_first_target()


@then("the read is hedged once, its delay after the first byte was sent")
def step_delay(context):
    world = context.world
    first_at = world.sent[context.attempt][1]
    name, at = world.sent[context.attempt + 1]
    assert name == "target-2" and max(world.sent) == context.attempt + 1, world.sent
    assert abs(at - first_at - retries.hedge_delay_s(context.p95_s)) < 1e-9, (first_at, at)


@when("target-1 takes {ms:d} ms, is chosen for a read, and target-2 has no room for 50 ms")
def step_full(context, ms):
    context.world.service_s["target-1"] = ms / 1000
    context.number, context.attempt = context.world.read_at_first_target(FULL_S)


@then("the read is answered by target-2 as soon as that has room")
def step_room(context):
    world = context.world
    assert world.sent[context.attempt + 1] == ("target-2", world.room_at), world.sent
    at, attempt = world.finished[context.number]
    assert attempt == context.attempt + 1 and context.attempt in world.cancelled
    assert abs(at - world.room_at - world.service_s["target-2"]) < 1e-9, at


@then("the read is answered by target-1 and no hedge is sent")
def step_no_hedge(context):
    world = context.world
    assert world.finished[context.number][1] == context.attempt, world.finished
    while world.now < world.room_at:
        world.step()
    assert max(world.sent) == context.attempt, world.sent
    assert not world.service.pending_hedges


@then("with any of the seeds 1 to 50, 40 reads past a target of 400 ms take less than 300 ms each")
def step_budget(context):
    for seed in range(1, 51):
        world = HedgeWorld(seed)
        world.warm_up()
        world.service_s["target-1"] = 0.4
        slowest_s = max(world.read() for _ in range(40))
        assert slowest_s < BOUND_S, (seed, slowest_s)
        assert world.cancelled, "no read went to the slow target"


@then("no more than 4 timers are left")
def step_timers(context):
    assert len(context.world.state.timers) <= 4, len(context.world.state.timers)


@when("a read of 400 ms ends after 200 reads that began later")
def step_long_read(context):
    world = context.world
    world.state.hedged_reads = False
    world.service_s = dict.fromkeys(world.service_s, 0.4)
    number = world.arrive()
    world.service_s = dict.fromkeys(world.service_s, 0.0005)
    for _ in range(200):
        world.read()
    assert number not in world.finished
    context.before = len(world.state.timers)
    assert context.before >= 200, context.before
    while number not in world.finished:
        world.step()


@then("at most 4 timers per read were dropped, and after 100 reads no more than 4 are left")
def step_dropped(context):
    timers = context.world.state.timers
    assert context.before - 4 <= len(timers) < context.before, (context.before, len(timers))
    for _ in range(100):
        context.world.read()
    step_timers(context)
