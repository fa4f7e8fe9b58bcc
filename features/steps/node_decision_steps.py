"""Steps about targets, waiting requests and repeats of a node."""

import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.node_world import (
    NOW,
    SLOTS,
    arrive,
    make_load,
    make_request,
    make_state,
    metadata,
    sent,
)
from poplarlane.decisions.admission import (
    admission,
    limits,
    queueing,
)
from poplarlane.decisions.choice import (
    completion,
    contention,
    dispatching,
)
from poplarlane.decisions.choice.policies import Measured
from poplarlane.decisions.effects import Log
from poplarlane.decisions.health import health
from poplarlane.decisions.probes.probe_allowance import ProbeTokenBucket
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.repeats import retries
from poplarlane.decisions.requests import requests
from poplarlane.decisions.requests.entry_effects import (
    DeliverAnswer,
    ProbeTarget,
    RefuseRequest,
    SendRequest,
    Stop,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    AttemptSent,
    FailureCause,
    ProbeAnswered,
    RequestArrived,
    ResponseCompleted,
    ResponseMetadata,
    StopSignalled,
    TimerFired,
)
from poplarlane.outcomes import NotRun, OutcomeUnknown, ResultCode

UNKNOWN = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "connection reset")


@given("a service with one target at pace 5 and one at pace 1 that has 2 requests")
def step_two_targets(context):
    context.slow = make_load("slow", 5.0)
    context.loads = [context.slow, make_load("calm", 1.0, 2)]


@when("a read with 300 ms to its aim and 100 ms of work chooses")
def step_choose(context):
    context.request = make_request(loads=context.loads)
    context.chosen = dispatching.choose_measured(context.request, context.loads, NOW)


@then("it goes to the target at pace 1")
def step_calm(context):
    assert context.chosen.target.name == "calm", context.chosen


@when("the only target left is at pace 5")
def step_only_slow(context):
    context.chosen = dispatching.choose_measured(context.request, [context.slow], NOW)


@then("the read waits")
def step_waits(context):
    assert context.chosen is None


@given("answers that take 1.0 times the usual up to 4 requests at a target and 1.7 times above")
def step_crowded(context):
    context.contention = contention.Contention()
    generator = random.Random(3)
    for _ in range(400):
        place = generator.randint(1, SLOTS)
        ratio = (1.0 if place <= 4 else 1.7) * generator.lognormvariate(0.0, 0.3)
        contention.observe(context.contention, place, ratio)


@given("answers that take 1.0 times the usual at any number of requests")
def step_uncrowded(context):
    context.contention = contention.Contention()
    generator = random.Random(4)
    for _ in range(600):
        contention.observe(
            context.contention, generator.randint(1, SLOTS), generator.lognormvariate(0, 0.1)
        )


@given("5 answers of the fifth request at a target that took 1.7 times the usual")
def step_few(context):
    context.contention = contention.Contention()
    for _ in range(5):
        contention.observe(context.contention, 5, 1.7)


@then("the limit for 6 slots is {limit:d}")
def step_limit(context, limit):
    found = contention.best_concurrency(context.contention, SLOTS)
    assert found == limit, (found, context.contention.means)


@given("a node state with 4 targets and a read that waits for probes")
def step_state(context):
    context.state = make_state(4)
    effects = arrive(context.state)
    context.probes = [effect for effect in effects if isinstance(effect, ProbeTarget)]
    assert len(context.probes) == 2 and not sent(effects), effects


@when("the probes tell of paces 5 and 1")
def step_paces(context):
    effects = []
    for probe, slowdown in zip(context.probes, (5.0, 1.0), strict=True):
        event = ProbeAnswered(NOW + 0.001, 3, probe.probe_id, metadata(slowdown))
        effects += reduce(event, context.state)
    context.best, context.effects = context.probes[1].target.name, effects


@when("one probe tells of pace 1 and the round's limit passes")
def step_one_probe(context):
    probe = context.probes[1]
    effects = reduce(ProbeAnswered(NOW + 0.001, 3, probe.probe_id, metadata(1.0)), context.state)
    assert not sent(effects)
    context.effects = reduce(TimerFired(NOW + 0.02, 3), context.state)
    context.best = probe.target.name


@then("the read is sent to the target at pace 1")
def step_best(context):
    assert sent(context.effects) == [context.best], sent(context.effects)


@then(
    "200 nodes that ask for 5 probes each 10 ms over 36 targets send at most 60 per target and "
    "second, with 1 second's worth saved"
)
def step_probe_rate(context):
    nodes = [ProbeTokenBucket() for _ in range(200)]
    for node in nodes:
        node.set_rate(60.0 * 36 / 200, 0.0)
    taken = 0
    for step in range(1, 501):
        taken += sum(node.take(5, step * 0.01) for node in nodes)
    assert taken <= 36 * 60 * (5 + 1), taken
    assert taken >= 36 * 60 * 5 * 0.9, taken


@given("waiting reads that arrived 0, 50 and 200 ms ago with an aim of 300 ms and work of 120 ms")
def step_waiting(context):
    first = make_request(NOW)
    context.service = first.service
    for index, ago_ms in enumerate((200, 0, 50)):
        request = make_request(NOW - ago_ms / 1000.0, service_time_s=0.12, request_id=index + 1)
        limits.enqueue(context.service.limits, request)


@then("they are sent in the order 0, 50, 200")
def step_order(context):
    found = queueing.dispatch_order(context.service, NOW)
    ages = [round((NOW - request.arrived_at) * 1000) for request in found]
    assert ages == [0, 50, 200], ages


@given("a read with an aim of 300 ms, a deadline of 1200 ms and work of 120 ms")
def step_patience(context):
    context.request = make_request(service_time_s=0.12)


@then("it gives up after 360 ms at the latest and before its deadline less its work")
def step_gives_up(context):
    at = queueing.give_up_at(context.request)
    assert NOW < at <= NOW + 0.36 + 1e-9, at - NOW
    assert at <= context.request.deadline - context.request.service_time_s


@given("a read with a deadline of {deadline:d} ms and work of 120 ms")
def step_deadline(context, deadline):
    context.request = make_request(deadline_s=deadline / 1000.0, service_time_s=0.12)


@then("it is {decision} on arrival")
def step_decided(context, decision):
    found = admission.admit(Measured(), context.request.service, context.request, NOW)
    assert isinstance(found, NotRun) == (decision == "refused"), found
    # A refusal as not run names when to come back.
    assert decision == "admitted" or found.retry_after_s > 0.0


@then(
    "for {cases:d} drawn loads of 24 nodes, no window of 10 s holds more than 0.2 of its requests "
    "+ 81 repeats"
)
def step_budget(context, cases):
    @settings(max_examples=cases)
    @for_all(st.integers(0, 10_000), st.floats(5.0, 60.0))
    def rule(seed, per_node_s):
        generator = random.Random(seed)
        states = [make_state(4) for _ in range(24)]
        budgets = [state.services["reads"].retry_budget for state in states]
        arrivals, repeats = [], []
        for step in range(300):
            now = NOW + step * 0.1
            for index, state in enumerate(states):
                for _ in range(round(per_node_s * 0.1 + generator.random())):
                    service = state.services["reads"]
                    retries.observe_request(service.retry_budget)
                    if service.hedge_budget is not service.retry_budget:
                        retries.observe_request(service.hedge_budget)
                    arrivals.append(now)
                retries.refill(budgets[index], now)
                while retries.take(budgets[index]):
                    repeats.append(now)
        for start in range(0, 200, 5):
            window = (NOW + start * 0.1, NOW + start * 0.1 + 10.0)
            asked = sum(window[0] <= at < window[1] for at in arrivals)
            extra = sum(window[0] <= at < window[1] for at in repeats)
            assert extra <= 0.2 * asked + 81, (extra, asked)

    rule()


@given("a node state with 4 targets and a read with at most 2 attempts that was sent twice")
def step_sent_twice(context):
    context.state = make_state(4)
    arrive(context.state)
    context.now = NOW
    first = next_sending(context)
    reduce(AttemptSent(context.now, 0, first.attempt_id), context.state)
    cause = FailureCause.CLOSED_BEFORE_ANSWER
    failed = AttemptFailed(context.now, 3, first.attempt_id, cause, "x")
    effects = reduce(failed, context.state)
    context.second = next_sending(context, effects)
    reduce(AttemptSent(context.now, 0, context.second.attempt_id), context.state)


def next_sending(context, effects=()):
    """Let timers fire, without any answer to a probe, until the request is sent."""
    for _ in range(40):
        for effect in effects:
            if isinstance(effect, SendRequest):
                return effect
        context.now += 0.02
        effects = reduce(TimerFired(context.now, 3), context.state)
    raise AssertionError("the request was not sent")


@when("both attempts fail")
def step_both_fail(context):
    event = AttemptFailed(
        context.now, 3, context.second.attempt_id, FailureCause.CLOSED_BEFORE_ANSWER, "x"
    )
    context.effects = reduce(event, context.state)


@then("the read is not sent again")
def step_not_again(context):
    assert not sent(context.effects), sent(context.effects)
    assert any(isinstance(effect, RefuseRequest) for effect in context.effects)


@given("a node state with 4 targets and a read that was sent without an answer to any probe")
def step_unmeasured(context):
    context.state = make_state(4)
    arrive(context.state)
    context.now = NOW
    sending = next_sending(context)
    reduce(AttemptSent(context.now, 0, sending.attempt_id), context.state)
    context.sending = sending


@when("its answer comes after the aim")
def step_late_answer(context):
    found = ResponseMetadata()
    found.status = 200
    event = ResponseCompleted(NOW + 0.9, 3, context.sending.attempt_id, found)
    context.effects = reduce(event, context.state)


@then("the answer is delivered and logged as late")
def step_logged_late(context):
    assert any(isinstance(effect, DeliverAnswer) for effect in context.effects)
    events = [effect.event for effect in context.effects if isinstance(effect, Log)]
    assert "request_late" in events, events


@given("a node state with 4 targets and a read that was sent to one of them")
def step_sent(context):
    context.state = make_state(4)
    effects = arrive(context.state)
    answer_probes(context, effects, NOW + 0.001)
    (request,) = context.state.requests.values()
    (attempt,) = request.attempts
    context.first = attempt.load.target.name
    # Second copies need to know how long answers usually take.
    request.service.health.p95_s = 0.2
    reduce(AttemptSent(NOW + 0.001, 3, attempt.attempt_id), context.state)
    context.request = request


def answer_probes(context, effects, at, left_out=""):
    """Let targets but one answer their probes, at pace 1; gives what follows."""
    following = []
    for effect in effects:
        if isinstance(effect, ProbeTarget) and effect.target.name != left_out:
            following += reduce(ProbeAnswered(at, 3, effect.probe_id, metadata(1.0)), context.state)
    return following


@given("another read waits for room")
def step_other_waits(context):
    other = RequestArrived(NOW, 5, 99, "h.example", "GET", "/x", "", 3_000.0, 1, False)
    service = context.request.service
    waiting_request = requests.new_request(
        other, service, context.state.routes.find("h.example", "/x")
    )
    limits.enqueue(service.limits, waiting_request)


@when("the read is overdue and the other targets tell of pace 1")
def step_overdue(context):
    context.effects = []
    at = NOW + 0.001
    while not any(isinstance(effect, ProbeTarget) for effect in context.effects):
        at += 0.02
        context.effects += reduce(TimerFired(at, 3), context.state)
    context.now = at
    context.effects += answer_probes(context, context.effects, at + 0.001, context.first)
    context.effects += reduce(TimerFired(at + 0.02, 3), context.state)


@then("its target is asked as well and the read is not sent again")
def step_asked(context):
    asked = [effect.target.name for effect in context.effects if isinstance(effect, ProbeTarget)]
    assert context.first in asked, asked
    assert not sent(context.effects), sent(context.effects)


@when("its target does not answer for 0.25 s and the read is looked at again")
def step_silent(context):
    context.effects = look_again(context, context.first)


@when("its target answers its probe and the read is looked at again after 0.25 s")
def step_answers(context):
    context.effects += answer_probes(context, context.effects, context.now + 0.02)
    context.effects = look_again(context, "")


def look_again(context, left_out):
    """Let 0.35 s pass in which targets but one answer their probes."""
    effects = []
    for step in range(18):
        at = context.now + 0.02 + step * 0.02
        found = reduce(TimerFired(at, 3), context.state)
        effects += found + answer_probes(context, found, at + 0.001, left_out)
    return effects


@then("the read is sent to another target")
def step_elsewhere(context):
    found = sent(context.effects)
    assert len(found) == 1 and found[0] != context.first, found


@then("no second copy is sent")
def step_no_copy(context):
    assert not sent(context.effects), sent(context.effects)


@given("a service with one idle target that failed 4 of 8 requests and one with 2 requests")
def step_failing(context):
    context.failing, context.busy = make_load("failing"), make_load("busy", running=2)
    for number in range(8):
        health.observe_answer(context.failing, 0.1, number % 2 == 0, NOW)
    context.loads = [context.failing, context.busy]
    context.request = make_request(service_time_s=0.1, loads=context.loads)


@then("it goes to the target with 2 requests")
def step_goes_busy(context):
    assert context.chosen is context.busy


@when("30 s have passed since the failures and the other one has become slower")
def step_much_later(context):
    now = NOW + 30.0
    request = make_request(now, service_time_s=0.1, loads=context.loads)
    for load, running, slowdown in ((context.failing, 0, 1.0), (context.busy, 2, 1.2)):
        completion.observe_load_report(load, running, 0, slowdown, now)
    context.chosen = dispatching.choose_measured(request, context.loads, now)


@then("the read goes to the idle target")
def step_goes_idle(context):
    assert context.chosen is context.failing


@given("a budget of {saved:f} saved repeats of which {left:f} are left")
def step_saved(context, saved, left):
    context.budget = retries.retry_budget(0.2)
    retries.set_timed_refill(context.budget, 2.0 * saved, 10.0, NOW)
    context.budget.tokens = left


@then("a second copy is allowed")
def step_copy_allowed(context):
    assert may_copy(context.budget)


def may_copy(budget):
    """Ask for a second copy of a read that has time."""
    read = SimpleNamespace(idempotent=True, attempt=1, deadline=NOW + 1.0)
    return retries.may_hedge(budget, read, 0.1, NOW)


@when("{failed:d} of the last {count:d} requests needed a repeat and {left:f} are left")
def step_needed(context, failed, count, left):
    for number in range(count):
        retries.observe_request(context.budget)
        if number < failed:
            retries.decide_retry(context.budget, failed_read(), UNKNOWN, NOW)
    context.budget.tokens = left


def failed_read():
    """Create a read that may be repeated."""
    return SimpleNamespace(idempotent=True, attempt=1, retried_below=False, deadline=NOW + 1.0)


@then("a second copy is not allowed and a repeat is")
def step_repeat_only(context):
    assert not may_copy(context.budget)
    decision = retries.decide_retry(context.budget, failed_read(), UNKNOWN, NOW)
    assert decision is retries.RetryDecision.RETRY


@when("the budget is full again")
def step_full(context):
    context.budget.tokens = context.budget.capacity


@given("{nodes:d} nodes that share {most:d} repeats in a window of {window_s:d} s")
def step_large(context, nodes, most, window_s):
    context.budgets = [retries.retry_budget(0.2) for _ in range(nodes)]
    for budget in context.budgets:
        retries.set_timed_refill(budget, most / nodes, window_s, NOW)


@then("each can repeat at once, and all together at most {most:d} in any window without requests")
def step_large_bound(context, most):
    taken = []
    for step in range(400):
        for budget in context.budgets:
            retries.refill(budget, NOW + step * 0.1)
            taken.append(retries.take(budget))
        assert step or all(taken)
    nodes = len(context.budgets)
    windows = [sum(taken[begin * nodes : (begin + 100) * nodes]) for begin in range(300)]
    assert max(windows) <= most, max(windows)


@given("a node state with 4 targets of which none has room")
def step_no_room(context):
    context.state = make_state(4)
    for load in next(iter(context.state.services.values())).loads.values():
        load.connection_share = 0


@when("{count:d} reads arrive and wait in vain")
def step_in_vain(context, count):
    context.effects = []
    for number in range(1, count + 1):
        asked = ("h.example", "GET", "/x", "", 3_000.0, 1, False)
        context.effects += reduce(RequestArrived(NOW, 5, number, *asked), context.state)
    for step in range(1, 200):
        context.effects += reduce(TimerFired(NOW + step * 0.02, 3), context.state)


@then("the times at which they may come back are spread over at least {spread_s:f} s")
def step_spread(context, spread_s):
    found = [
        effect.outcome.retry_after_s
        for effect in context.effects
        if isinstance(effect, RefuseRequest)
    ]
    assert len(found) == 40, len(found)
    assert max(found) - min(found) >= spread_s, sorted(found)


@given("its service has {left:f} repeats left")
def step_repeats_left(context, left):
    context.request.service.retry_budget.tokens = left
    context.now = NOW + 0.001


@when("the read is overdue and is looked at for 0.3 s")
def step_look(context):
    context.now += 0.3
    context.effects = look_again(context, "")
    context.now += 0.35


@when("its service has {left:f} repeats left and the read's deadline comes near")
def step_last_chance(context, left):
    context.request.service.retry_budget.tokens = left
    context.now = context.request.deadline - 3.0 * context.request.service_time_s
    context.effects = look_again(context, "")


@given("a node that was asked to stop and has {left_s:f} s left")
def step_stopping(context, left_s):
    context.state = make_state(4)
    reduce(StopSignalled(NOW, 3), context.state)
    context.now = context.state.drain_ends_at - left_s


@given("a node that drains for {drain_s:f} s and a read that waits for its full target")
def step_full(context, drain_s):
    context.state = make_state(1)
    context.state.drain_limit_s = drain_s
    context.state.services["reads"].limits.held = True
    context.now = NOW
    step_arrives_late(context, 4.0, 0.05)
    context.refused = {}


@when("the node is asked to stop and the target stays full")
def step_stop_full(context):
    effects = reduce(StopSignalled(context.now, 3), context.state)
    ends_at = context.state.drain_ends_at
    while not any(isinstance(effect, Stop) for effect in effects):
        for effect in effects:
            if isinstance(effect, RefuseRequest):
                context.refused[effect.request_id] = (context.now, effect.outcome)
        context.now = min(ends_at, context.state.timer_at or ends_at)
        effects = reduce(TimerFired(context.now, 5), context.state)


@then("the read is refused as not run by the stopping node {least_s:f} s before the end or earlier")
def step_refused_in_time(context, least_s):
    assert list(context.refused) == [1], "the read was not refused before the end of the drain"
    at, outcome = context.refused[1]
    assert context.state.drain_ends_at - at >= least_s - 1e-6, at
    assert isinstance(outcome, NotRun) and outcome.status == 503, outcome


@when("a request with {deadline_s:f} s to its deadline and usually {work_s:f} s of work arrives")
def step_arrives_late(context, deadline_s, work_s):
    context.state.services["reads"].service_time_s["read"] = work_s
    event = RequestArrived(
        context.now, 5, 1, "h.example", "GET", "/x", "", deadline_s * 1000.0, 1, False
    )
    context.effects = reduce(event, context.state)


@then("it is {decision} by the stopping node")
def step_decided(context, decision):
    refused = [found for found in context.effects if isinstance(found, RefuseRequest)]
    assert bool(refused) == (decision == "refused"), context.effects
    if refused:
        outcome = refused[0].outcome
        assert isinstance(outcome, NotRun) and outcome.code is ResultCode.SHUTTING_DOWN
        assert refused[0].close
