"""Steps for the decisions under the load patterns of heavy days."""

from behave import given, then, when

from features.node_world import NOW, make_load, make_request
from poplarlane.decisions import contention, dispatching

SLOTS = 3


@given("targets of 3 slots and 4 answers at each place, the third 1.7 times slower")
def step_full_is_slow(context):
    context.contention = contention.Contention()
    contention.age(context.contention, NOW)
    for place in (1, 2, 3):
        for _ in range(4):
            contention.observe(context.contention, place, 1.7 if place == SLOTS else 1.0)


@given("targets of 3 slots and no answer yet")
def step_nothing_known(context):
    context.contention = contention.Contention()


@then("at most {limit:d} requests are sent to such a target")
def step_limit(context, limit):
    found = contention.best_concurrency(context.contention, SLOTS)
    assert found == limit, (found, context.contention.means)


@then("when nothing was observed for 120 s, the third slot is tried again")
def step_tried_again(context):
    contention.age(context.contention, NOW + 120.0)
    assert contention.best_concurrency(context.contention, SLOTS) == SLOTS


@given("an idle target and one with 2 of 3 slots in use, both at pace 1")
def step_idle_and_busy(context):
    context.busy, context.idle = make_load("busy", running=2), make_load("idle")
    context.request = make_request(loads=[context.busy, context.idle])
    context.request.service.limits.slots_per_target = SLOTS


@when("a read chooses between them before contention is known")
def step_choose(context):
    targets = [context.busy, context.idle]
    context.chosen = dispatching.choose_measured(context.request, targets, NOW)


@then("it goes to the idle one")
def step_goes_idle(context):
    assert context.chosen is context.idle, context.chosen
