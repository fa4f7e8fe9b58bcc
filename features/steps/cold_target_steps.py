"""Steps about targets that are cold after a start."""

import json
import random
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when

from features.node_world import NOW, arrive, make_directory, make_instance, make_state, metadata
from features.steps import rate_limit_steps
from features.steps.node_exchange_steps import KeeperRig
from features.steps.node_path_steps import NodeRig
from features.steps.platform_translation_steps import CONFIGURATION
from features.steps.rate_limit_steps import play
from poplarlane.bench.model_targets import TargetShape
from poplarlane.bench.processes import Launcher
from poplarlane.bench.service_model import Pattern, ServiceModel
from poplarlane.decisions.choice import permissions, rate_limits, statements
from poplarlane.decisions.choice.statements import Source
from poplarlane.decisions.cold import cold_permits
from poplarlane.decisions.configuration.directory import Configuration, ServiceRecord
from poplarlane.decisions.effects import Count, Log
from poplarlane.decisions.membership import relays
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import ProbeTarget
from poplarlane.decisions.requests.entry_events import CatalogueChanged, ProbeAnswered, TimerFired
from poplarlane.decisions.requests.requests import dispatch_waiting
from poplarlane.platform import store
from poplarlane.platform.headers import PLATFORM_HEADERS
from poplarlane.platform.translation import configuration_of
from poplarlane.plumbing.heads import read_response_head
from poplarlane.plumbing.pauses import clock
from poplarlane.store_objects import UnreadableObject
from poplarlane.types import Permits, Verdict

RATE_PER_S = 4.5
LENGTH_S = 60.0
WAYS = {"whenever they have a permit": 0.0, "together after each pause": 1.0}


def most_in_a_second(sent_at):
    """Return the most requests in any window of one second."""
    ordered = sorted(sent_at)
    first, most = 0, 0
    for index, at in enumerate(ordered):
        while ordered[first] <= at - 1.0:
            first += 1
        most = max(most, index - first + 1)
    return most


def node_sends(nodes, rate_per_s, pause_s, generator):
    """List when one node sends: at each permit, or with all others after each pause."""
    found = Permits()
    found.heard_at = 0.0
    tolerance = cold_permits.cold_tolerance()
    rate_limits.set_rate(found, rate_per_s, nodes, generator.getrandbits(64), tolerance)
    sent_at, at = [], 0.0
    while at < LENGTH_S:
        permit_at = rate_limits.first_permit_at(found, at, cold_permits.PERMIT_VALID_S)
        if permit_at <= at:
            sent_at.append(at)
            rate_limits.use_permit(found, at, cold_permits.PERMIT_VALID_S)
        elif pause_s:
            at += pause_s
        else:
            at = permit_at
    return sent_at


@given(
    "{nodes:d} nodes whose callers ask for one target that is cold at {rate:g} requests a second"
)
def step_nodes(context, nodes, rate):
    context.nodes, context.rate = nodes, rate


@when("they send {how} for 60 s, with seeds {first:d} to {last:d}")
def step_send(context, how, first, last):
    context.sent = []
    for seed in range(first, last + 1):
        generator = random.Random(f"cold/{seed}")
        sends = [
            node_sends(context.nodes, context.rate, WAYS[how], generator)
            for _ in range(context.nodes)
        ]
        context.sent.append([at for node in sends for at in node])


@then("no second holds more requests than 1.5 times the rate and 8")
def step_within(context):
    found = [most_in_a_second(sent_at) for sent_at in context.sent]
    assert max(found) <= 1.5 * context.rate + 8.0, found


@then("the nodes use at least {least:g} of the rate")
def step_used(context, least):
    used = min(len(sent_at) for sent_at in context.sent) / LENGTH_S
    assert used >= least * context.rate, used


@given(
    "a service of {targets:d} targets of which {cold:d} are replaced by targets that are cold for "
    "{cold_s:d} s"
)
def step_service_for(context, targets, cold, cold_s):
    context.targets, context.cold, context.cold_s = targets, cold, float(cold_s)


@when("{rate:d} requests a second arrive at {nodes:d} nodes, with seed {seed:d}")
def step_arrive(context, rate, nodes, seed):
    pattern = Pattern(
        "cold-return",
        per_s=float(rate),
        service_time_s=0.3,
        aim_s=0.9,
        deadline_s=3.0,
        lost_targets=context.cold,
        cold_targets=context.cold,
        cold_per_s=RATE_PER_S,
        cold_for_s=context.cold_s,
        shape=TargetShape(slots=3, slow_share=0.0, crowded_from=9),
    )
    context.model = ServiceModel(pattern, "measured", nodes, context.targets, seed)
    context.model.run()


def cold_arrivals(model):
    """List the arrivals at each cold target while it was cold."""
    return [
        [at for at, _ in model.arrivals.arrivals[name] if at <= target.cold_until]
        for name, target in model.targets.items()
        if target.cold_until
    ]


@then("no cold target gets more than {most:d} requests in any second")
def step_cold_bound(context, most):
    found = [most_in_a_second(sent_at) for sent_at in cold_arrivals(context.model)]
    assert len(found) == context.cold and max(found) <= most, found


@then("the cold targets get at least {least:d} request a second each")
def step_cold_share(context, least):
    found = [len(sent_at) for sent_at in cold_arrivals(context.model)]
    assert sum(found) >= least * context.cold_s * context.cold, found


@then("at most {most:d} of 100 requests are refused")
def step_few_refused(context, most):
    outcome = context.model.outcome
    assert outcome.refused + outcome.failed <= most / 100.0 * outcome.asked, outcome


def cold_state(context, count, cold_per_s=RATE_PER_S):
    """Set up a node whose service has a cold rate."""
    context.state = make_state(count)
    context.directory = make_directory(count)
    before = context.directory.configuration
    services = [ServiceRecord("reads", "/healthz", 330, cold_per_s, 3.0)]
    context.directory.update_configuration(Configuration(2, before.routes, services, None))
    publish(context, NOW, 24)
    context.service = context.state.services["reads"]
    context.service.health.p95_s = 0.1
    context.targets = list(context.service.loads.values())
    context.sends, context.probed, context.barred, context.effects = [], [], set(), []


def publish(context, now, nodes, is_known=True):
    """Put the directory's catalogue in force."""
    catalogue = context.directory.catalogue()
    event = CatalogueChanged(now, 7, catalogue, nodes, False, is_known)
    return reduce(event, context.state)


def say_cold(context, load, cold_s, now=NOW):
    """Let a target say in a response to a probe how long it stays cold."""
    context.state.now = now
    found = metadata(1.0, 0)
    found.cold_s = cold_s
    statements.observe(context.state, load, found, Source.PROBE, 5 << 40, context.effects)


def cool(context, load, cold_s=10.0):
    """Make a target cold, with no permit of this node while it is."""
    say_cold(context, load, cold_s)
    load.statements.cold_permits.next_permit_at = NOW + 60.0


@given("a node whose {count:d} targets are cold for 10 s and that has no permit")
def step_cold(context, count):
    cold_state(context, count)
    for load in context.targets:
        cool(context, load)
    context.cold = [load.target.name for load in context.targets]


def warm_first(context):
    """Let the first target be warm."""
    say_cold(context, context.targets[0], 0.0)
    context.cold = context.cold[1:]


def step_read(context):
    """Let a read arrive."""
    play(context, arrive(context.state), NOW + 2.0)


@when("with cold targets, {what}")
def step_with_cold(context, what):
    ways = {
        "a read arrives": step_read,
        "a read arrives and an avoided target's trial is due": step_trial,
        "a read at a warm target is overdue": step_overdue,
        "a booking is refused by a warm target": step_refused,
        "a read waits for a warm target": step_waiting,
    }
    ways[what](context)


def step_trial(context):
    """Let a read arrive while a trial of an avoided target is due."""
    context.targets[1].verdict = Verdict.AVOIDED
    context.targets[1].trials_passed = 1
    context.targets[1].next_trial_at = NOW - 60.0
    step_read(context)


def step_overdue(context):
    """Let a read at the only warm target take long."""
    warm_first(context)
    rate_limit_steps.step_overdue(context)
    assert context.sends


def step_refused(context):
    """Let the only warm target refuse a booking."""
    warm_first(context)
    rate_limit_steps.step_refused(context)
    assert context.sends


def step_waiting(context):
    """Let a read wait for the only warm target, which is full."""
    warm_first(context)
    first = context.targets[0]
    first.outstanding = first.connection_share
    play(context, arrive(context.state), NOW + 0.02)
    effects = []
    dispatch_waiting(context.state, context.service, NOW + 0.02, 3, effects)
    play(context, effects, NOW + 0.1)
    assert context.service.limits.queued == 1


@then("no request is sent to a cold target")
def step_none_sent(context):
    wrong = [name for _, name in context.sends if name in context.cold]
    assert not wrong, wrong


@then("it is refused at once with a Retry-After between {least:d} and {most:d} s")
def step_refused_at_once(context, least, most):
    outcome = context.refusal.outcome
    assert int(outcome.code) == 1212 and least <= outcome.retry_after_s <= most, outcome
    assert context.state.now == NOW


@given("a node with {count:d} warm targets of a service with a cold rate")
def step_warm(context, count):
    cold_state(context, count)


@given("a node with {count:d} warm targets of a service without a cold rate")
def step_warm_without(context, count):
    cold_state(context, count, 0.0)


@when("a read arrives and both targets answer their probes as cold for {cold_s:d} s")
def step_probed_cold(context, cold_s):
    context.cold = [load.target.name for load in context.targets]
    effects = arrive(context.state)
    probes = [effect for effect in effects if isinstance(effect, ProbeTarget)]
    assert len(probes) == 2, effects
    for probe in probes:
        found = metadata(1.0, 0)
        found.cold_s = float(cold_s)
        # The largest random value gives the latest permit.
        event = ProbeAnswered(NOW + 0.001, (1 << 64) - 1, probe.probe_id, found)
        context.effects += reduce(event, context.state)
    play(context, context.effects, NOW + 0.5)


@then("the log says {name} for both")
def step_logged(context, name):
    lines = [effect for effect in context.effects if isinstance(effect, Log)]
    found = {line.fields["target"] for line in lines if line.event == name}
    assert len(found) == 2, lines


@when("both targets say that they are cold for {cold_s:g} s and a read arrives without a permit")
def step_briefly_cold(context, cold_s):
    for load in context.targets:
        cool(context, load, cold_s)
    effects = arrive(context.state)
    play(context, effects, NOW + cold_s - 0.01)
    assert not context.sends, context.sends
    context.effects += reduce(TimerFired(NOW + cold_s, 11), context.state)
    play(context, context.effects, NOW + 2.0)


@then("the read waits and is sent within {limit_s:g} s")
def step_sent_within(context, limit_s):
    assert context.sends and context.sends[0][0] <= NOW + limit_s, context.sends


@then("the read is sent")
def step_sent(context):
    assert len(context.sends) == 1, context.sends


@given("a node that has not heard of the others and {cold:d} of 2 targets are cold")
def step_unknown(context, cold):
    cold_state(context, 2)
    publish(context, NOW, 24, False)
    for load in context.targets[:cold]:
        say_cold(context, load, 5.0)


@then("it {may} send a cold target requests, as one of at least {nodes:d} nodes")
def step_part(context, may, nodes):
    load = context.targets[0]
    now = context.state.now
    held = load.statements
    if may == "may":
        assert not held.is_cold_held
        held.cold_permits.next_permit_at = now
    else:
        assert held.is_cold_held
    assert permissions.may_send(load, now) == (may == "may")
    tolerance = context.state.cold_tolerance
    share = rate_limits.used_share(RATE_PER_S, nodes, tolerance)
    assert held.cold_permits.permit_interval_s >= nodes / (share * RATE_PER_S) - 1e-9


@when("it hears that there are {nodes:d} nodes")
def step_hears(context, nodes):
    publish(context, NOW + 2.0, nodes)


@given("a node whose exchange started {age:g} s ago and that has heard of {members:d} others")
def step_exchange(context, age, members):
    context.keeper = KeeperRig().keeper
    context.keeper.make_relay = lambda: None
    state = context.keeper.relay.state
    state.started_at = clock() - age
    for number in range(members):
        relays.record_member(state, relays.Member(f"n-{number}", f"10.0.1.{number}", "dc", clock()))


@then("it {knows} the number of nodes")
def step_knows_others(context, knows):
    assert context.keeper.is_fleet_known() == (knows == "knows")


@given("a node that knew {nodes:d} nodes, with a cold target")
def step_knew(context, nodes):
    cold_state(context, 2)
    publish(context, NOW, nodes)


@when("it knows only {nodes:d} nodes for {time_s:d} s")
def step_knows(context, nodes, time_s):
    publish(context, NOW + 40.0, nodes)
    say_cold(context, context.targets[0], 5.0, NOW + time_s)


@given("a target whose record said {first:g} s at second 0")
def step_record(context, first):
    cold_state(context, 0)
    context.record = make_instance("i-0")
    context.record.warm_up_s, context.record.sequence = first, 1
    context.directory.update_instance(context.record, 0.0)


@when("its record with sequence {sequence:d} says {second:g} s at second 1")
def step_next_record(context, sequence, second):
    found = make_instance("i-0")
    found.warm_up_s, found.sequence = second, sequence
    context.has_changed = context.directory.update_instance(found, 1.0)


@then("the catalogue {changes} and the target is cold until second {until:g}")
def step_catalogue(context, changes, until):
    assert context.has_changed == (changes == "changes")
    (found,) = context.directory.catalogue().cold.values()
    assert abs(found[0] - until) < 1e-6, found


@when("a target says that it is cold for 5 s, and then a record that it is warm arrives")
def step_late_record(context):
    load = context.targets[0]
    for sequence, (warm_up_s, at) in enumerate([(3.0, NOW), (0.0, NOW + 1.0)], 1):
        if sequence == 2:
            say_cold(context, load, 5.0, NOW + 0.9)
        found = make_instance(load.target.instance)
        found.warm_up_s, found.sequence = warm_up_s, sequence
        assert context.directory.update_instance(found, at)
        publish(context, at, 24)


@then("the target is still cold")
def step_still_cold(context):
    assert context.targets[0].statements.cold_until == NOW + 5.9


@when("a target answers a probe with the cold times {values}")
def step_values(context, values):
    lines = [(b"X-Cold-Remaining-Ms", value.encode()) for value in values.split(" and again ")]
    found = read_response_head(200, b"OK", lines, PLATFORM_HEADERS).metadata
    cold_state(context, 2)
    context.state.now = NOW
    load = context.targets[0]
    statements.observe(context.state, load, found, Source.PROBE, 1, context.effects)


@then("it counts as cold for {cold_s} s and {malformed:d} headers as malformed")
def step_value_read(context, cold_s, malformed):
    counted = [effect for effect in context.effects if isinstance(effect, Count)]
    assert len(counted) == malformed, counted
    until = context.targets[0].statements.cold_until
    if cold_s == "none":
        assert until < NOW, until
    else:
        assert abs(until - NOW - float(cold_s)) < 1e-6, until


@when(
    "a service of the configuration sustains {value} requests a second while its targets are cold"
)
def step_configured(context, value):
    document = json.loads(json.dumps(CONFIGURATION))
    document["services"][0]["cold_per_s"] = "VALUE"
    body = json.dumps({"metadata": {"name": "main"}, "spec": document})
    item = store.stored_object(msgspec.Raw(body.replace('"VALUE"', value).encode()))
    context.found = item.reason if isinstance(item, UnreadableObject) else configuration_of(item)


@then("its cold targets get {rate:g} a second")
def step_cold_rate(context, rate):
    assert context.found.services[0].cold_per_s == rate
    found = Permits()
    found.heard_at = 0.0
    rate_limits.set_rate(found, rate, 24, 7, cold_permits.cold_tolerance())
    # A lapsed permit of long ago leads to one that has not lapsed.
    assert rate_limits.first_permit_at(found, 1e9, 0.5) >= 1e9 - 0.5 - 1e-6


@then("its cold targets are not limited")
def step_cold_unlimited(context):
    assert context.found.services[0].cold_per_s == 0.0


@then("the configuration cannot be used")
def step_unusable(context):
    assert isinstance(context.found, str), context.found


class ColdRig(NodeRig):
    """Hold a node whose services have a cold rate."""

    cold_per_s = 0.0

    def configuration(self, version, routes):
        """Build a configuration whose services name the rate that cold targets sustain."""
        found = super().configuration(version, routes)
        if self.cold_per_s:
            for service in found["services"]:
                service["cold_per_s"] = self.cold_per_s
        return found


def start_cold(context, count, cold_per_s):
    """Start a node, and targets that crash above their cold rate."""
    context.rig = ColdRig(context.resources.enter_context(Launcher()))
    context.rig.cold_per_s = cold_per_s
    context.rig.start({"reads": count, "books": 1})


@given(
    'a node whose {count:d} targets of "reads" sustain {rate:g} requests a second while they '
    "are cold"
)
def step_real(context, count, rate):
    start_cold(context, count, rate)


@given(
    'a node whose {count:d} targets of "reads" sustain any number of requests, and crash while '
    "they are cold"
)
def step_real_unprotected(context, count):
    start_cold(context, count, 0.0)


@when("all of them say that they are cold for {cold_s:d} s, and {callers:d} callers send reads")
def step_real_reads(context, cold_s, callers):
    rig = context.rig
    names = rig.names["reads"]
    rig.control(targets={name: {"cold_per_s": RATE_PER_S, "cold_s": cold_s} for name in names})
    rig.control(register=names)
    with ThreadPoolExecutor(callers) as pool:
        sends = [
            pool.submit(rig.send, "GET", "/views/1", f"cold-{number}") for number in range(callers)
        ]
    context.statuses = [send.result()[0] for send in sends]


@then("no target has crashed, and each caller was answered by a target or refused as not run")
def step_none_crashed(context):
    assert context.rig.ledger()["crashed"] == []
    assert set(context.statuses) <= {200, 503} and 200 in context.statuses, context.statuses


@then("a target has crashed")
def step_crashed(context):
    assert context.rig.ledger()["crashed"], context.statuses
