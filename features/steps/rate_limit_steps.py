"""Steps about targets that name the rate of requests that they take from all nodes together."""

from behave import given, then, when

from features.node_world import (
    NOW,
    arrive,
    make_directory,
    make_instance,
    make_state,
    metadata,
)
from poplarlane.bench.arrival_record import most_allowed
from poplarlane.bench.service_model import Pattern, ServiceModel
from poplarlane.decisions.choice import (
    rate_limits,
    statements,
)
from poplarlane.decisions.choice.policies import policy_by_name
from poplarlane.decisions.choice.statements import Source
from poplarlane.decisions.effects import Count
from poplarlane.decisions.health import health
from poplarlane.decisions.membership import relays
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import ProbeTarget, RefuseRequest, SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    CatalogueChanged,
    ProbeAnswered,
    ResponseCompleted,
    TimerFired,
)
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.outcomes import NotRun
from poplarlane.plumbing.header_names import HeaderNames
from poplarlane.plumbing.heads import read_response_head
from poplarlane.types import Verdict

LENGTH_S = 16.0


@given(
    "{nodes:d} nodes before {targets:d} targets, of which {limited:d} name {limit:f} requests a "
    "second"
)
def step_fleet(context, nodes, targets, limited, limit):
    context.nodes, context.targets = nodes, targets
    context.limited, context.limit = limited, limit


@when("{rate:d} requests a second arrive for 16 s, with seeds {first:d} to {last:d}")
def step_play(context, rate, first, last):
    pattern = Pattern(
        "limited",
        per_s=float(rate),
        length_s=LENGTH_S,
        limited_targets=context.limited,
        rate_limit_per_s=context.limit,
    )
    context.models = []
    for seed in range(first, last + 1):
        model = ServiceModel(pattern, "measured", context.nodes, context.targets, seed)
        model.run()
        context.models.append(model)


@then(
    "no target gets more than one and a half times its limit and 5 requests in 4 s from nodes that "
    "it has told"
)
def step_within_limit(context):
    allowed = most_allowed(context.limit)
    found = {
        (seed, name): model.arrivals.most_in_window(name, LENGTH_S)
        for seed, model in enumerate(context.models, 1)
        for name in list(model.targets)[: context.limited]
    }
    above = {key: count for key, count in found.items() if count > allowed}
    assert not above, f"{allowed} allowed, found {above}"


@then("the targets begin at least half of the requests that their limits allow")
def step_used(context):
    begin, end = LENGTH_S / 2.0, LENGTH_S
    for model in context.models:
        targets = list(model.targets.values())
        begun = sum(begin <= at < end for target in targets for at in target.begun_at)
        allowed = context.limit * len(targets) * (end - begin)
        assert begun >= 0.5 * allowed, (begun, allowed)


def name_rate(state, load, rate_per_s, source=Source.RESPONSE):
    """Let a target name a rate."""
    found = metadata(1.0)
    found.rate_limit_per_s = rate_per_s
    effects = []
    statements.observe(state, load, found, source, 5 << 40, effects)
    return effects


def bar_targets(context, wait_s, policy="measured"):
    """Set up a node whose targets have named rates, with no permit for a while."""
    context.state = make_state(4)
    context.service = context.state.services["reads"]
    context.service.policy = policy_by_name(policy)
    # A service whose latency is unknown is not hedged.
    context.service.health.p95_s = 0.1
    context.state.now = NOW
    context.targets = list(context.service.loads.values())
    context.sends, context.probed = [], []
    for load in context.targets:
        name_rate(context.state, load, 1.0)
        load.statements.next_permit_at = NOW + wait_s
    context.barred = {load.target.name for load in context.targets}


def play(context, effects, until):
    """Execute timers and probes until an instant, and record what is sent to whom."""
    now = context.state.now
    pending = list(effects)
    while True:
        for effect in pending:
            if isinstance(effect, SendRequest):
                context.sends.append((now, effect.target.name))
            if isinstance(effect, RefuseRequest):
                context.refusal = effect
        probes = [effect for effect in pending if isinstance(effect, ProbeTarget)]
        context.probed += [effect.target.name for effect in probes]
        pending = []
        for effect in probes:
            found = metadata(1.0, 0)
            found.rate_limit_per_s = 1.0 if effect.target.name in context.barred else None
            pending += reduce(ProbeAnswered(now, 7, effect.probe_id, found), context.state)
        if pending:
            continue
        timers = context.state.timers
        if not timers or timers[0][0] > until:
            return
        now = max(now, timers[0][0])
        pending = reduce(TimerFired(now, 11), context.state)


@given("a node that may send its targets nothing for {wait_s:g} s by the rates that they named")
def step_barred(context, wait_s):
    bar_targets(context, wait_s)


@given('a node with the policy "{policy}" that may send its targets nothing for {wait_s:g} s')
def step_barred_policy(context, policy, wait_s):
    bar_targets(context, wait_s, policy)


def free_first_target(context):
    """Let the first target take requests without a rate; gives its load."""
    load = context.targets[0]
    load.statements.rate_limit_per_s = None
    context.barred.discard(load.target.name)
    return load


@when("a read arrives")
def step_read(context):
    play(context, arrive(context.state), NOW + 2.0)


@when("a read arrives and {wait_s:g} s pass")
def step_read_and_wait(context, wait_s):
    play(context, arrive(context.state), NOW + wait_s)


@when("a read arrives and an avoided target's trial is due")
def step_trial(context):
    context.targets[1].verdict = Verdict.AVOIDED
    context.targets[1].trials_passed = 1
    context.targets[1].next_trial_at = NOW - 60.0
    play(context, arrive(context.state), NOW + 2.0)


@when("a read at a target without a rate is overdue")
def step_overdue(context):
    free_first_target(context)
    play(context, arrive(context.state), NOW + 0.02)
    attempt = next(iter(context.state.attempts.values()))
    effects = reduce(AttemptSent(NOW + 0.02, 3, attempt.attempt_id), context.state)
    play(context, effects, NOW + 2.5)


@when("a booking is refused by a target without a rate")
def step_refused(context):
    free_first_target(context)
    play(context, arrive(context.state), NOW + 0.02)
    attempt = next(iter(context.state.attempts.values()))
    attempt.request.idempotent = False
    reduce(AttemptSent(NOW + 0.02, 3, attempt.attempt_id), context.state)
    found = metadata(1.0, 0)
    found.status, found.not_run = 503, True
    event = ResponseCompleted(NOW + 0.03, 9, attempt.attempt_id, found)
    play(context, reduce(event, context.state), NOW + 2.5)


@when("a read waits and the targets become idle")
def step_waiting(context):
    first = free_first_target(context)
    first.outstanding = first.connection_share
    play(context, arrive(context.state), NOW + 0.02)
    effects = []
    dispatch_waiting(context.state, context.service, NOW + 0.02, 3, effects)
    play(context, effects, NOW + 0.1)


@then("no request is sent to these targets")
def step_none_sent(context):
    wrong = [name for _, name in context.sends if name in context.barred]
    assert not wrong, wrong


@then(
    "it is refused as not run with result code {code:d} and a time to come back of at least "
    "{after_s:g} s"
)
def step_refused_at_once(context, code, after_s):
    outcome = context.refusal.outcome
    assert isinstance(outcome, NotRun) and int(outcome.code) == code, outcome
    assert outcome.retry_after_s >= after_s, outcome
    assert context.state.now == NOW, context.state.now


@then("the read is sent once")
def step_sent_once(context):
    assert len(context.sends) == 1, context.sends


@then("the read is sent once, after {wait_s:g} s")
def step_sent_after(context, wait_s):
    assert len(context.sends) == 1, context.sends
    assert context.sends[0][0] >= NOW + wait_s, context.sends


def source_of(word):
    """Translate the kind of a response."""
    return Source.PROBE if word == "probe" else Source.RESPONSE


@given("a node whose target named a rate in a response to a {kind}")
def step_named(context, kind):
    context.state = make_state(2)
    context.state.now = NOW
    context.load = next(iter(context.state.services["reads"].loads.values()))
    name_rate(context.state, context.load, 2.0, source_of(kind))


@when("a response to a {kind} names none")
def step_names_none(context, kind):
    name_rate(context.state, context.load, None, source_of(kind))


@then("the rate is {state}")
def step_rate_state(context, state):
    loads = context.state.services["reads"].loads
    found = loads[context.load.target.name].statements.rate_limit_per_s
    assert (found is None) == (state == "ended"), found


def publish(context, directory):
    """Put a directory's catalogue in force."""
    catalogue = directory.catalogue()
    reduce(CatalogueChanged(NOW + 1.0, 7, catalogue, 24), context.state)


@when("the target vanishes from the lists and comes back")
def step_vanishes(context):
    publish(context, make_directory(0))
    assert not context.state.services["reads"].loads
    publish(context, make_directory(2))


@when("another process takes the target's place")
def step_replaced(context):
    directory = make_directory(0)
    instance = context.load.target.instance
    directory.replace_instances([make_instance(instance, started_ms=2)], NOW)
    publish(context, directory)


@then("the rate of the new process is ended")
def step_new_process(context):
    (load,) = context.state.services["reads"].loads.values()
    assert load.target.name != context.load.target.name
    assert load.statements.rate_limit_per_s is None


@when("a target sends the rates {values}")
def step_values(context, values):
    names = HeaderNames(rate_limit=b"x-rate-limit")
    lines = [(b"X-Rate-Limit", value.encode()) for value in values.split(" and again ")]
    context.metadata = read_response_head(200, b"OK", lines, names).metadata


@then("the rate read is {rate} and {malformed:d} headers are counted as malformed")
def step_value_read(context, rate, malformed):
    expected = None if rate == "none" else float(rate)
    assert context.metadata.rate_limit_per_s == expected, context.metadata.rate_limit_per_s
    state = make_state(2)
    load = next(iter(state.services["reads"].loads.values()))
    effects = []
    statements.observe(state, load, context.metadata, Source.RESPONSE, 1, effects)
    counted = [effect for effect in effects if isinstance(effect, Count)]
    assert len(counted) == malformed, counted
    assert (load.statements.rate_limit_per_s is None) == (expected is None)


@given("a node whose target named the rate 0")
def step_zero(context):
    step_named(context, "request")
    name_rate(context.state, context.load, 0.0)


@then("it may send the target a request within {minutes:d} minutes")
def step_within(context, minutes):
    at = rate_limits.next_permit_at(context.load, NOW)
    assert at <= NOW + 60.0 * minutes, at - NOW


@given("a node whose target named a rate while it knew of {nodes:d} nodes")
def step_knew(context, nodes):
    step_named(context, "request")
    assert context.state.fleet_entries == nodes
    context.interval_s = context.load.statements.permit_interval_s


@when("it hears of {nodes:d} nodes and the target names the rate again")
def step_hears(context, nodes):
    reduce(CatalogueChanged(NOW, 7, make_directory(2).catalogue(), nodes), context.state)
    name_rate(context.state, context.load, 2.0)


@then("its permits come ten times less often")
def step_less_often(context):
    ratio = context.load.statements.permit_interval_s / context.interval_s
    assert abs(ratio - 10.0) < 1e-6, ratio


@then("parts taken for {applied:d} nodes are {decision} when {known:d} nodes are known")
def step_adapted(context, applied, decision, known):
    assert relays.is_fleet_resized(applied, known) == (decision == "adapted")


@then("{nodes:d} nodes use between {least:g} and {most:g} of a rate of {rate:g} requests a second")
def step_share_used(context, nodes, least, most, rate):
    assert least <= rate_limits.used_share(rate, nodes) <= most


@given("a node with a read at the first of 4 targets, of which the last {names} a rate")
def step_read_at_first(context, names):
    context.state = make_state(4)
    context.state.now = NOW
    context.service = context.state.services["reads"]
    context.targets = list(context.service.loads.values())
    context.service.health.p95_s = 0.1
    context.sends, context.probed, context.barred = [], [], set()
    for load in context.targets[1:]:
        load.outstanding = load.connection_share
    play(context, arrive(context.state), NOW + 0.02)
    (context.attempt,) = context.state.attempts.values()
    assert context.attempt.load is context.targets[0]
    effects = reduce(AttemptSent(NOW + 0.02, 3, context.attempt.attempt_id), context.state)
    play(context, effects, NOW + 0.03)
    for load in context.targets[1:]:
        load.outstanding = 0
    if names == "names":
        name_rate(context.state, context.targets[-1], 1.0)
        context.barred = {context.targets[-1].target.name}


@when("the read is overdue and its target {answers} probes")
def step_read_overdue(context, answers):
    if answers == "does not answer":
        health.observe_unreachable(context.attempt.load, NOW + 0.1)
        context.attempt.load.shed_until = NOW + 5.0
    play(context, [], NOW + 2.5)


@then("the read was sent {count:d} times")
def step_sent_times(context, count):
    assert len(context.sends) == count, context.sends
