"""Steps for the decisions under the load patterns of heavy days."""

import math
import random

from behave import given, then, when

from features.node_world import (
    NOW,
    arrive,
    make_load,
    make_request,
    make_state,
    metadata,
    sent,
)
from poplarlane.decisions.admission import queueing
from poplarlane.decisions.choice import (
    completion,
    contention,
    dispatching,
    slowdowns,
)
from poplarlane.decisions.health import health
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests import requests
from poplarlane.decisions.requests.entry_effects import ProbeTarget, SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    CallerDisconnected,
    ProbeAnswered,
    RequestArrived,
    TimerFired,
)
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.types import Verdict

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


def choose(context):
    """Let the read of the context choose among its targets."""
    targets = context.request.service.limits.loads
    return dispatching.choose_measured(context.request, targets, NOW)


@given("a target seen idle 200 ms ago and one seen full just now")
def step_old_and_full(context):
    context.old, full = make_load("old"), make_load("full", running=6)
    context.old.measured_at = NOW - 0.2
    context.request = make_request(loads=[context.old, full])


@when("a read chooses between them in time to its aim")
def step_choose_in_time(context):
    context.chosen = choose(context)


@then("the read waits for a probe")
def step_waits(context):
    assert context.chosen is None, context.chosen


@when("the targets cannot be probed")
def step_no_probes(context):
    context.request.may_use_old_reports = True


@then("the read goes to the target seen idle 200 ms ago")
def step_goes_old(context):
    assert choose(context) is context.old


@given("two targets seen idle 200 ms ago")
def step_both_old(context):
    loads = [make_load("one"), make_load("two")]
    for load in loads:
        load.measured_at = NOW - 0.2
    context.request = make_request(loads=loads)


@then("it goes to one of them")
def step_goes_to_one(context):
    assert context.chosen in context.request.service.limits.loads


@given("a node with 12 targets of which the first 8 probed are slow")
def step_many_slow(context):
    context.state = make_state(12)


@when("a read arrives and its probes are answered")
def step_probes_answered(context):
    effects = arrive(context.state)
    context.rounds, context.asked = 0, []
    now = NOW
    while not sent(effects) and context.rounds < 20:
        context.rounds += 1
        now += 0.001
        probes = [effect for effect in effects if isinstance(effect, ProbeTarget)]
        effects = []
        for probe in probes:
            context.asked.append(probe.target.name)
            slowdown = 5.0 if len(context.asked) <= 8 else 1.0
            event = ProbeAnswered(now, 5, probe.probe_id, metadata(slowdown))
            effects += reduce(event, context.state)
    context.goes_to = sent(effects)


@then("it goes to a fast target, after at most {limit:d} rounds")
def step_fast_target(context, limit):
    assert context.goes_to and context.goes_to[0] in context.asked[8:], context.goes_to
    assert context.rounds <= limit, context.rounds


@given("a node with 4 full targets whose route allows 1 attempt and a read that waits and probes")
def step_full_targets(context):
    state = context.state = make_state(4, attempts=1)
    service = state.services["reads"]
    service.health.p95_s = 0.2
    for load in service.loads.values():
        completion.observe_load_report(load, SLOTS * 2, 0, 1.0, NOW)
    context.sent = []
    advance(context, arrive(state))
    request = next(iter(state.requests.values()))
    for step in range(1, 20):
        if request.pending_probes:
            break
        advance(context, reduce(TimerFired(NOW + 0.006 * step, 3), state))
    assert not context.sent, context.sent
    context.probes = list(request.pending_probes)
    assert context.probes


def advance(context, effects):
    """Record what was sent, and report each sending to the reducer."""
    for effect in effects:
        if isinstance(effect, SendRequest):
            context.sent.append(effect.target.name)
            reduce(AttemptSent(context.state.now, 0, effect.attempt_id), context.state)


@when("one target has room and the read is sent to it")
def step_room(context):
    state = context.state
    load = next(iter(state.services["reads"].loads.values()))
    now = state.now + 0.001
    completion.observe_load_report(load, 0, 0, 1.0, now)
    effects = []
    dispatch_waiting(state, state.services["reads"], now, 5, effects)
    advance(context, effects)
    assert len(context.sent) == 1, context.sent


@when("its probes are answered and 0.9 s pass")
def step_probes_end(context):
    state = context.state
    now = state.now
    for probe_id in context.probes:
        advance(context, reduce(ProbeAnswered(now + 0.001, 5, probe_id, metadata(1.0)), state))
    for step in range(1, 46):
        for probe_id in list(state.probes):
            answered = ProbeAnswered(now + 0.02 * step, 5, probe_id, metadata(1.0))
            advance(context, reduce(answered, state))
        advance(context, reduce(TimerFired(now + 0.02 * step, 3), state))


@then("the read was sent once")
def step_sent_once(context):
    assert len(context.sent) == 1, context.sent


def read_with(state, left_s, now=NOW, request_id=1):
    """Create the request of a read that arrives with a time left."""
    left_ms = left_s * 1000.0
    event = RequestArrived(now, 5, request_id, "h.example", "GET", "/x", "", left_ms, 1, False)
    route = state.routes.find("h.example", "/x")
    return requests.new_request(event, state.services["reads"], route)


@given("a node whose callers have 2 s left at first")
def step_patient(context):
    context.state = make_state(2)
    for number in range(40):
        read_with(context.state, 2.0, NOW + 0.01 * number)


@when("a read with 0.7 s left and one with 2 s left arrive")
def step_returning(context):
    context.returning = read_with(context.state, 0.7, NOW + 1.0)
    context.fresh = read_with(context.state, 2.0, NOW + 1.0)


@then("the first counts as late, and the other has its whole latency objective")
def step_told_apart(context):
    assert not queueing.can_meet_soft_deadline(context.returning, NOW + 1.0)
    # The route's objective is 0.5 s, less the time to reach the caller.
    assert context.fresh.soft_deadline > NOW + 1.0 + 0.48, context.fresh.soft_deadline


@when("one of them states 600 s")
def step_very_patient(context):
    read_with(context.state, 600.0, NOW + 1.0)


@then("a read with 2 s left has its whole latency objective")
def step_whole_objective(context):
    read = read_with(context.state, 2.0, NOW + 1.1)
    assert read.soft_deadline > NOW + 1.1 + 0.48, read.soft_deadline


@given("a node whose callers have between 0.5 s and 2 s left at first")
def step_varied(context):
    context.state = make_state(2)
    context.generator = random.Random(11)


@when("{count:d} reads of them arrive")
def step_many(context, count):
    context.reads = [
        (
            NOW + 0.1 * number,
            read_with(context.state, context.generator.uniform(0.5, 2.0), NOW + 0.1 * number),
        )
        for number in range(count)
    ]


@then("at most 1 in 10 of the last 100 counts as under way")
def step_few_under_way(context):
    under_way = [read for now, read in context.reads[-100:] if read.soft_deadline < now + 0.48]
    assert len(under_way) <= 10, len(under_way)


@given("a target with 1 of 2 usable places taken")
def step_half_full(context):
    context.load = make_load("half", running=1)
    context.late = make_request(arrived_at=NOW - 0.4, loads=[context.load])
    context.fresh = make_request(loads=[context.load])
    for request in (context.late, context.fresh):
        request.service.limits.slots_per_target = 2


@when("a read that can only be late and a fresh one choose")
def step_late_and_fresh(context):
    context.late_choice = dispatching.choose_measured(context.late, [context.load], NOW)
    context.fresh_choice = dispatching.choose_measured(context.fresh, [context.load], NOW)


@then("the late one waits and the fresh one goes there")
def step_late_waits(context):
    assert context.late_choice is None and context.fresh_choice is context.load


@when("the target is idle")
def step_idle(context):
    completion.observe_load_report(context.load, 0, 0, 1.0, NOW)


@then("the late one goes there")
def step_late_goes(context):
    assert dispatching.choose_measured(context.late, [context.load], NOW) is context.load


@given("a node with 2 targets whose read is cancelled before its sending is reported")
def step_cancelled(context):
    context.state = make_state(2)
    effects = arrive(context.state)
    for probe in [effect for effect in effects if isinstance(effect, ProbeTarget)]:
        effects += reduce(ProbeAnswered(NOW, 5, probe.probe_id, metadata(1.0)), context.state)
    context.sending = next(effect for effect in effects if isinstance(effect, SendRequest))
    reduce(CallerDisconnected(NOW, 5, context.sending.request_id), context.state)


@when("the sending is reported")
def step_reported(context):
    event = AttemptSent(NOW, 0, context.sending.attempt_id)
    context.effects = reduce(event, context.state)


@then("nothing else happens")
def step_nothing(context):
    assert context.effects == [] and not context.state.attempts, context.effects


@given(
    "targets whose speed is drawn anew every {interval:d} ms, one in four slow, and 3,000 reports"
)
def step_speeds(context, interval):
    generator = random.Random(interval)
    context.slowdowns = slowdowns.Slowdowns()
    now, changes_at, slowdown = 0.0, 0.0, 1.0
    for _ in range(3_000):
        before, gap_s = slowdown, generator.expovariate(10.0)
        now += gap_s
        while changes_at <= now:
            slowdown = 5.0 if generator.random() < 0.25 else 1.0
            changes_at += interval / 1000.0
        slowdowns.observe(context.slowdowns, before, slowdown, gap_s)


@then("a report counts as recent for between {least:d} and {most:d} ms")
def step_recent(context, least, most):
    recent_ms = slowdowns.recent_s(context.slowdowns) * 1000.0
    assert least <= recent_ms <= most, recent_ms


@given("an avoided target that usually takes 120 ms")
def step_avoided_target(context):
    context.load = make_load("avoided")
    context.load.verdict, context.load.typical_s = Verdict.AVOIDED, 0.12


@when("a trial takes 600 ms and the target reports {slowdown}")
def step_trial(context, slowdown):
    factor = 5.0 if slowdown == "a slowdown of 5" else 1.0
    health.observe_answer(context.load, 0.6, True, NOW, factor)


@then("the trial has passed")
def step_passed(context):
    assert (context.load.trials_passed, context.load.trials_failed) == (1, 0)


@then("the trial has failed")
def step_failed(context):
    assert (context.load.trials_passed, context.load.trials_failed) == (0, 1)


@given("targets at their usual speed that sent 100 reports")
def step_usual_speed(context):
    context.slowdowns = slowdowns.Slowdowns()
    for _ in range(100):
        slowdowns.observe(context.slowdowns, 1.0, 1.0, 0.1)


@when("one of them reports a slowdown of 1e300")
def step_absurd(context):
    slowdowns.observe(context.slowdowns, 1.0, 1e300, 0.1)


@then("the slowdown expected of a target without a report stays below 3")
def step_mean_bounded(context):
    assert slowdowns.expected(context.slowdowns, 1.0, math.inf) < 3.0, context.slowdowns.mean
