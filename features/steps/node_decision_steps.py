"""Steps about the decisions of a node, without network, clock or process."""

import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from poplarlane.decisions import (
    admission,
    answers,
    catalogue,
    completion,
    crowding,
    limits,
    probe_events,
    relays,
    requests,
    retries,
    waiting,
)
from poplarlane.decisions.directory import (
    Configuration,
    Directory,
    InstanceRecord,
    ServiceRecord,
)
from poplarlane.decisions.effects import Log
from poplarlane.decisions.entry_effects import (
    DeliverAnswer,
    ProbeTarget,
    RefuseRequest,
    SendRequest,
)
from poplarlane.decisions.entry_events import (
    AnswerCompleted,
    AnswerNotes,
    AttemptFailed,
    AttemptSent,
    CatalogueChanged,
    FailureCause,
    ProbeAnswered,
    RequestArrived,
    TimerFired,
)
from poplarlane.decisions.entry_state import EntryState
from poplarlane.decisions.policies import Measured
from poplarlane.decisions.probe_allowance import ProbeAllowance
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.route_table import Route, RouteTable, WeightedService, choose_service
from poplarlane.outcomes import NotRun
from poplarlane.types import Priority, RequestKind, Target, TargetLoad

HANDLERS = (answers, catalogue, probe_events, requests)
NOW = 100.0
SLOTS = 6
READ = RequestKind("read", frozenset(), "/", True, Priority.NORMAL, 4_000, True)


def make_load(name, pace=1.0, running=0):
    """Create a target that reported just now."""
    load = TargetLoad(Target(name, "127.0.0.1", 80, "dc", {}, name, "/healthz"))
    load.connection_share = 13
    completion.observe_details(load, running, 0, pace, NOW)
    return load


def make_request(arrived_at=NOW, aim_s=0.3, deadline_s=1.2, work_s=0.1, request_id=1, loads=()):
    """Create a read and the service that it belongs to."""
    bounds = limits.ServiceLimits(SLOTS, 330, 256, 24, list(loads))
    service = SimpleNamespace(
        limits=bounds, crowding=crowding.Crowding(), policy=Measured(), name="reads"
    )
    return SimpleNamespace(
        request_id=request_id,
        service=service,
        arrived_at=arrived_at,
        aim=arrived_at + aim_s,
        deadline=arrived_at + deadline_s,
        work_s=work_s,
        tried=[],
        priority=Priority.NORMAL,
    )


def make_instance(name, service="reads", leaving=False, started_ms=1):
    """Describe one process of a service."""
    number = int(name.split("-")[1])
    return InstanceRecord(
        name, service, "127.0.0.1", 9_000 + number, "dc", "v1", SLOTS, leaving, started_ms, 0.0
    )


def make_configuration(version=1, attempts=2):
    """Describe a configuration with one service and one route."""
    parts = [WeightedService("reads", 1.0)]
    route = Route("r", "h.example", "/", READ, 0.5, attempts, parts)
    return Configuration(version, [route], [ServiceRecord("reads", "/healthz", 330)], None)


def make_directory(count, attempts=2):
    """Create a directory with a configuration and instances."""
    directory = Directory(0.2, "measured")
    directory.take_configuration(make_configuration(attempts=attempts))
    directory.take_listing([make_instance(f"i-{number}") for number in range(count)], NOW)
    return directory


def make_state(count, attempts=2):
    """Create the state of a node that serves a directory."""
    state = EntryState("node", 1)
    state.policy_name = "measured"
    state.probes_per_target_s = 60.0
    state.extra_sends = 81.0
    found = make_directory(count, attempts).catalogue()
    reduce(CatalogueChanged(NOW, 7, found, 24), state)
    return state


def arrive(state, now=NOW):
    """Let a read arrive; gives the effects."""
    return reduce(RequestArrived(now, 5, 1, "h.example", "GET", "/x", "", 3_000.0, 1, False), state)


def sent(effects):
    """List the targets that a request was sent to."""
    return [effect.target.name for effect in effects if isinstance(effect, SendRequest)]


def notes(pace, running=1):
    """Create the notes of a probe's answer."""
    found = AnswerNotes()
    found.status = 200
    found.running, found.waiting, found.pace = running, 0, pace
    return found


@given("a service with one target at pace 5 and one at pace 1 that has 2 requests")
def step_two_targets(context):
    context.slow = make_load("slow", 5.0)
    context.loads = [context.slow, make_load("calm", 1.0, 2)]


@when("a read with 300 ms to its aim and 100 ms of work chooses")
def step_choose(context):
    context.request = make_request(loads=context.loads)
    context.chosen = requests.choose_measured(context.request, context.loads, NOW)


@then("it goes to the target at pace 1")
def step_calm(context):
    assert context.chosen.target.name == "calm", context.chosen


@when("the only target left is at pace 5")
def step_only_slow(context):
    context.chosen = requests.choose_measured(context.request, [context.slow], NOW)


@then("the read waits")
def step_waits(context):
    assert context.chosen is None


@given("answers that take 1.0 times the usual up to 4 requests at a target and 1.7 times above")
def step_crowded(context):
    context.crowding = crowding.Crowding()
    draws = random.Random(3)
    for _ in range(400):
        place = draws.randint(1, SLOTS)
        ratio = (1.0 if place <= 4 else 1.7) * draws.lognormvariate(0.0, 0.3)
        crowding.observe(context.crowding, place, ratio)


@given("answers that take 1.0 times the usual at any number of requests")
def step_uncrowded(context):
    context.crowding = crowding.Crowding()
    draws = random.Random(4)
    for _ in range(600):
        crowding.observe(context.crowding, draws.randint(1, SLOTS), draws.lognormvariate(0, 0.1))


@given("5 answers of the fifth request at a target that took 1.7 times the usual")
def step_few(context):
    context.crowding = crowding.Crowding()
    for _ in range(5):
        crowding.observe(context.crowding, 5, 1.7)


@then("the limit for 6 slots is {limit:d}")
def step_limit(context, limit):
    found = crowding.best_concurrency(context.crowding, SLOTS)
    assert found == limit, (found, context.crowding.factors)


@given("a node state with 4 targets and a read that waits for probes")
def step_state(context):
    context.state = make_state(4)
    effects = arrive(context.state)
    context.probes = [effect for effect in effects if isinstance(effect, ProbeTarget)]
    assert len(context.probes) == 2 and not sent(effects), effects


@when("the probes tell of paces 5 and 1")
def step_paces(context):
    effects = []
    for probe, pace in zip(context.probes, (5.0, 1.0), strict=True):
        event = ProbeAnswered(NOW + 0.001, 3, probe.probe_id, notes(pace))
        effects += reduce(event, context.state)
    context.best, context.effects = context.probes[1].target.name, effects


@when("one probe tells of pace 1 and the round's limit passes")
def step_one_probe(context):
    probe = context.probes[1]
    effects = reduce(ProbeAnswered(NOW + 0.001, 3, probe.probe_id, notes(1.0)), context.state)
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
    nodes = [ProbeAllowance() for _ in range(200)]
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
        request = make_request(NOW - ago_ms / 1000.0, work_s=0.12, request_id=index + 1)
        limits.enqueue(context.service.limits, request)


@then("they are sent in the order 0, 50, 200")
def step_order(context):
    found = waiting.in_order(context.service, NOW)
    ages = [round((NOW - request.arrived_at) * 1000) for request in found]
    assert ages == [0, 50, 200], ages


@given("a read with an aim of 300 ms, a deadline of 1200 ms and work of 120 ms")
def step_patience(context):
    context.request = make_request(work_s=0.12)


@then("it gives up after 360 ms at the latest and before its deadline less its work")
def step_gives_up(context):
    at = waiting.give_up_at(context.request)
    assert NOW < at <= NOW + 0.36 + 1e-9, at - NOW
    assert at <= context.request.deadline - context.request.work_s


@given("a read with a deadline of {deadline:d} ms and work of 120 ms")
def step_deadline(context, deadline):
    context.request = make_request(deadline_s=deadline / 1000.0, work_s=0.12)


@then("it is {decision} on arrival")
def step_decided(context, decision):
    found = admission.admit(context.request.service, context.request, NOW)
    assert isinstance(found, NotRun) == (decision == "refused"), found


@then(
    "for {cases:d} drawn loads of 24 nodes, no window of 10 s holds more than 0.2 of its requests "
    "+ 81 repeats"
)
def step_budget(context, cases):
    @settings(max_examples=cases)
    @for_all(st.integers(0, 10_000), st.floats(5.0, 60.0))
    def rule(seed, per_node_s):
        draws = random.Random(seed)
        states = [make_state(4) for _ in range(24)]
        budgets = [state.services["reads"].retry_budget for state in states]
        arrivals, repeats = [], []
        for step in range(300):
            now = NOW + step * 0.1
            for index, state in enumerate(states):
                for _ in range(round(per_node_s * 0.1 + draws.random())):
                    service = state.services["reads"]
                    retries.observe_request(service.retry_budget)
                    if service.hedge_budget is not service.retry_budget:
                        retries.observe_request(service.hedge_budget)
                    arrivals.append(now)
                retries.fill(budgets[index], now)
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


@then('"/a/b/c/" of "/a/", "/a/b/" and "/" leads to "/a/b/"')
def step_longest(context):
    routes = [
        Route(prefix, "h", prefix, READ, 0.5, 2, [WeightedService("s", 1.0)])
        for prefix in ("/a/", "/a/b/", "/")
    ]
    assert RouteTable(1, routes).find("h", "/a/b/c/").name == "/a/b/"


@then("24 nodes with 20 requests each split 90 to 10 within 0.05")
def step_split(context):
    draws = random.Random(9)
    chosen = []
    for _ in range(24):
        parts = [WeightedService("a", 90.0), WeightedService("b", 10.0)]
        route = Route("r", "h", "/", READ, 0.5, 2, parts)
        chosen += [choose_service(route, draws.getrandbits(64)) for _ in range(20)]
    share = chosen.count("b") / len(chosen)
    assert abs(share - 0.1) <= 0.05, share


@given("a directory with {count:d} instances")
def step_directory(context, count):
    context.directory = make_directory(count)
    context.now = NOW


def target_count(context):
    """Count the targets of the directory's catalogue."""
    return len(context.directory.catalogue().services["reads"].targets)


@when("the store returns after an outage and lists 1 of them")
def step_outage(context):
    context.directory.contact_regained(context.now)
    context.directory.take_listing([make_instance("i-0")], context.now)


@then("all {count:d} are still targets")
@then("{count:d} of them is a target")
@then("{count:d} of them are targets")
def step_targets(context, count):
    assert target_count(context) == count, target_count(context)


@when("2.1 seconds have passed")
def step_passed(context):
    assert context.directory.expire_lapsed(context.now + 2.1)


@when("the store returns after an outage and one instance drains")
def step_drains(context):
    context.directory.contact_regained(context.now)
    context.directory.take_instance(make_instance("i-1", leaving=True))


@when("the instance starts again under its identity")
def step_restarts(context):
    context.before = set(context.directory.catalogue().services["reads"].targets)
    context.directory.take_instance(make_instance("i-0", started_ms=2))


@then("the target has another name")
def step_renamed(context):
    after = set(context.directory.catalogue().services["reads"].targets)
    assert len(after) == 1 and not after & context.before, after


@then(
    "for {cases:d} drawn orders of versions 1 to 8, a directory holds the highest that it was given"
)
def step_versions(context, cases):
    @settings(max_examples=cases)
    @for_all(st.permutations(range(1, 9)))
    def rule(versions):
        directory = Directory(0.2, "measured")
        highest = 0
        for version in versions:
            directory.take_configuration(make_configuration(version))
            highest = max(highest, version)
            assert directory.configuration.version == highest

    rule()


def member(name, data_centre="dc", heard_at=NOW):
    """Create a node as heard of."""
    return relays.Member(name, f"10.0.0.{abs(hash(name)) % 250}", data_centre, heard_at)


@given("a node that hears of one that follows the store")
def step_relay(context):
    context.relay = relays.RelayState(member("node-1"), NOW - 10.0)
    names = (f"node-{number}" for number in range(2, 20))
    found = (member(name) for name in names)
    for other in found:
        relays.hear_of(context.relay, other)
        if context.relay.me.name not in relays.followers(context.relay):
            break
    assert context.relay.me.name not in relays.followers(context.relay)
    context.sender = next(iter(relays.followers(context.relay)))


@when("a beat says that the store answered {age:f} s ago")
def step_beat(context, age):
    relays.take_beat(context.relay, context.sender, age, {}, NOW)
    context.now = NOW


@when("the beat is {age:f} s old")
def step_old_beat(context, age):
    context.now = NOW + age


@then("the node relies on it")
def step_relies(context):
    assert not relays.must_follow(context.relay, context.now)


@then("the node follows the store itself")
def step_follows(context):
    assert relays.must_follow(context.relay, context.now)


def relay_states():
    """Create 24 nodes in 3 data centres that have all heard of each other."""
    members = [member(f"node-{number}", f"dc-{number % 3}") for number in range(24)]
    states = [relays.RelayState(found, NOW) for found in members]
    for state in states:
        for found in members:
            relays.hear_of(state, found)
    return states


@then("24 nodes in 3 data centres agree on 3 that follow the store")
def step_agree(context):
    context.states = relay_states()
    chosen = {frozenset(relays.followers(state)) for state in context.states}
    assert len(chosen) == 1 and len(next(iter(chosen))) == 3, chosen


@then("without one of them the others of its data centre agree on another")
def step_replaced(context):
    lost = sorted(relays.followers(context.states[0]))[0]
    left = [state for state in context.states if state.me.name != lost]
    for state in left:
        del state.members[lost]
    chosen = {frozenset(relays.followers(state)) for state in left}
    assert len(chosen) == 1 and lost not in next(iter(chosen)), chosen


@given("a node at revision 40 that hears of revision 42")
def step_behind(context):
    context.relay = relays.RelayState(member("node-1"), NOW - 10.0)
    relays.take_beat(context.relay, "node-2", 0.1, {"kind": 42}, NOW)


@then("it asks the store after 0.25 s and only once")
def step_asks(context):
    asked = [relays.is_behind(context.relay, "kind", 40, NOW + step * 0.1) for step in range(8)]
    assert asked.count(True) == 1 and asked.index(True) == 3, asked
    assert not relays.is_behind(context.relay, "kind", 42, NOW + 0.9)


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
    found = AnswerNotes()
    found.status = 200
    event = AnswerCompleted(NOW + 0.9, 3, context.sending.attempt_id, found)
    context.effects = reduce(event, context.state)


@then("the answer is delivered and logged as late")
def step_logged_late(context):
    assert any(isinstance(effect, DeliverAnswer) for effect in context.effects)
    events = [effect.event for effect in context.effects if isinstance(effect, Log)]
    assert "request_late" in events, events
