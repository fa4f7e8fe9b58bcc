"""Steps about data centres that operators evacuate."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when

from features.node_world import NOW, arrive, make_configuration, make_instance, metadata
from features.node_world import make_state as make_node_state
from features.steps import rate_limit_steps
from features.steps.cold_target_steps import most_in_a_second
from features.steps.node_exchange_steps import CONFIGURATION, INSTANCES, KeeperRig
from features.steps.node_path_steps import NodeRig
from features.steps.rate_limit_steps import play
from poplarlane import relay_messages
from poplarlane.bench.model_targets import TargetShape
from poplarlane.bench.processes import Launcher
from poplarlane.bench.service_model import Pattern, ServiceModel
from poplarlane.change_encoding import encode_changes
from poplarlane.decisions.configuration.directory import Directory
from poplarlane.decisions.effects import Log
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import (
    DeliverAnswer,
    ProbeTarget,
    RefuseRequest,
)
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    CatalogueChanged,
    ProbeAnswered,
    ResponseCompleted,
)
from poplarlane.outcomes import NotRun
from poplarlane.platform import store
from poplarlane.plumbing.object_follower import ObjectFollower
from poplarlane.plumbing.platform_client import PlatformResponse
from poplarlane.store_objects import ObjectChange, StoredObject, revision_in
from poplarlane.types import Verdict

EVACUATIONS = "evacuations"


def make_directory(places):
    """Create a directory with targets in data centres."""
    directory = Directory(0.2, "measured")
    directory.update_configuration(make_configuration())
    records = []
    for number, place in enumerate(places):
        record = make_instance(f"i-{number}")
        record.data_centre = place
        records.append(record)
    directory.replace_instances(records, NOW)
    return directory


def publish(context, now):
    """Put the directory's catalogue in force."""
    event = CatalogueChanged(now, 7, context.directory.catalogue(), 24)
    effects = reduce(event, context.state)
    context.effects += effects
    return effects


@given('a node with {near:d} targets in "dc-a" and {far:d} in "dc-b"')
def step_node(context, near, far):
    context.directory = make_directory(["dc-a"] * near + ["dc-b"] * far)
    context.state = make_node_state(0)
    context.effects = []
    publish(context, NOW)
    context.service = context.state.services["reads"]
    context.service.health.p95_s = 0.1
    context.targets = list(context.service.loads.values())
    context.sends, context.probed, context.barred = [], [], set()


def evacuate(context, name, now=NOW):
    """Evacuate a data centre."""
    context.directory.evacuations.write(name, 50)
    effects = publish(context, now)
    context.evacuated_at = len(context.sends)
    play(context, effects, now)


@when('"{name}" is evacuated')
def step_evacuate(context, name):
    evacuate(context, name)


@when('{what} while "dc-b" is evacuated')
def step_while(context, what):
    ways = {
        "a read arrives": step_read,
        'a read arrives and a trial in "dc-b" is due': step_trial,
        'a read in "dc-a" is overdue': step_overdue,
        'a booking is refused in "dc-a"': step_refused,
        'a read waits for room in "dc-a"': step_waiting,
        "a read waits for probes of all targets": step_probing,
    }
    ways[what](context)


def step_read(context):
    """Let a read arrive after the evacuation."""
    evacuate(context, "dc-b")
    play(context, arrive(context.state), NOW + 2.0)
    assert context.sends


def step_trial(context):
    """Let a read arrive while a trial of an avoided target was due."""
    for load in context.targets[2:]:
        load.verdict = Verdict.AVOIDED
        load.trials_passed = 1
        load.next_trial_at = NOW - 60.0
    step_read(context)


def step_overdue(context):
    """Evacuate before a read is hedged."""
    evacuate(context, "dc-b")
    rate_limit_steps.step_overdue(context)
    assert len(context.sends) >= 2, context.sends


def step_refused(context):
    """Evacuate before a refused booking is sent again."""
    evacuate(context, "dc-b")
    rate_limit_steps.step_refused(context)
    assert len(context.sends) >= 2, context.sends


def fill(context, loads):
    """Leave no room at targets."""
    for load in loads:
        load.outstanding = load.connection_share


def step_waiting(context):
    """Let a read wait, and evacuate while it does; room comes in both data centres."""
    fill(context, context.targets)
    play(context, arrive(context.state), NOW + 0.05)
    assert context.service.limits.queued == 1
    evacuate(context, "dc-b", NOW + 0.05)
    for load in context.targets:
        load.outstanding = 0
    play(context, [], NOW + 2.0)
    assert context.sends


def step_probing(context):
    """Evacuate between the probes of a read and the choice."""
    fill(context, context.targets[:2])
    effects = arrive(context.state)
    probes = [effect for effect in effects if isinstance(effect, ProbeTarget)]
    assert probes, effects
    evacuate(context, "dc-b")
    found = []
    for probe in probes:
        found += reduce(ProbeAnswered(NOW, 7, probe.probe_id, metadata(1.0, 0)), context.state)
    play(context, found, NOW + 2.0)


@then('no request was sent to "dc-b" after that')
def step_none(context):
    names = {load.target.name for load in context.targets if load.target.data_centre == "dc-b"}
    wrong = [name for _, name in context.sends[context.evacuated_at :] if name in names]
    assert not wrong, wrong


@when('a read runs in "dc-b", "dc-b" is evacuated and the read is answered')
def step_in_flight(context):
    fill(context, context.targets[:1])
    play(context, arrive(context.state), NOW + 0.02)
    (attempt,) = context.state.attempts.values()
    assert attempt.load.target.data_centre == "dc-b"
    reduce(AttemptSent(NOW + 0.02, 3, attempt.attempt_id), context.state)
    evacuate(context, "dc-b", NOW + 0.03)
    event = ResponseCompleted(NOW + 0.2, 5, attempt.attempt_id, metadata(1.0))
    context.answered = reduce(event, context.state)


@then("its caller gets the answer")
def step_answered(context):
    assert any(isinstance(effect, DeliverAnswer) for effect in context.answered)


@then("a read is refused at once as not run with result code {code:d}")
def step_refused_code(context, code):
    effects = arrive(context.state, NOW + 1.0)
    (refusal,) = [effect for effect in effects if isinstance(effect, RefuseRequest)]
    outcome = refusal.outcome
    assert isinstance(outcome, NotRun) and (int(outcome.code), outcome.status) == (code, 503)


@then('the log has "{first}" and "{second}"')
def step_log_both(context, first, second):
    step_log(context, first)
    step_log(context, second)


@then('the log has "{name}"')
def step_log(context, name):
    found = [effect.event for effect in context.effects if isinstance(effect, Log)]
    assert name in found, found


@when('the evacuation of "{name}" ends')
def step_end(context, name):
    context.directory.evacuations.remove(name, False, NOW + 2.0)
    publish(context, NOW + 2.0)


def chosen(context):
    """Let reads arrive; gives the data centres that they are sent to."""
    context.sends = []
    play(context, arrive(context.state, NOW + 3.0), NOW + 4.0)
    by_name = {load.target.name: load for load in context.service.loads.values()}
    return {by_name[name].target.data_centre for _, name in context.sends}


@then('a read is sent to "{name}"')
def step_sent_to(context, name):
    assert chosen(context) == {name}


@when('a read waits for room and "dc-b" is evacuated')
def step_wait_last(context):
    fill(context, context.targets)
    play(context, arrive(context.state), NOW + 0.05)
    assert context.service.limits.queued == 1
    evacuate(context, "dc-b", NOW + 0.05)


@then("the waiting read is refused at once as not run")
def step_waiting_refused(context):
    assert isinstance(context.refusal.outcome, NotRun), context.refusal.outcome
    assert not context.service.limits.queued and context.state.now <= NOW + 0.05


@when('"dc-a" and "dc-b" are evacuated, and then the evacuation of "dc-a" ends')
def step_two(context):
    evacuate(context, "dc-a")
    evacuate(context, "dc-b")
    assert not context.service.loads
    step_end(context, "dc-a")


@when('the object "{name}" asks for an evacuation')
def step_odd_name(context, name):
    evacuate(context, name)


@then('both data centres are used and the log has "{name}"')
def step_both_used(context, name):
    assert {load.target.data_centre for load in context.service.loads.values()} == {"dc-a", "dc-b"}
    step_log(context, name)


class EvacuationRig(KeeperRig):
    """Hold the keeper of a node that follows evacuations as well."""

    def __init__(self):
        super().__init__()
        keeper = self.keeper
        keeper.translation.evacuations_kind = EVACUATIONS
        keeper.translation.instance_of = self.instance_of
        follower = ObjectFollower(None, store, EVACUATIONS, keeper, 100, random.Random(1))
        keeper.followers.append(follower)
        keeper.relay.followers[EVACUATIONS] = follower
        self.follower = follower

    def instance_of(self, item):
        """Translate an instance of the second data centre."""
        record = make_instance(item.name)
        record.data_centre = "dc-b"
        return record

    def list_required(self):
        """List the configuration and the targets."""
        old = {
            CONFIGURATION: StoredObject("main", 30, {"version": 3}, None),
            INSTANCES: StoredObject("i-0", 30, {}, None),
        }
        for follower in self.keeper.followers:
            if follower.kind in old:
                follower.replace_all(30, [old[follower.kind]])
                follower.is_current = True
                self.keeper.listed(follower.kind, [old[follower.kind]])

    def list_evacuations(self, revision, items):
        """Take a list of the evacuations."""
        self.follower.replace_all(revision, items)
        self.follower.is_current = True
        self.keeper.listed(EVACUATIONS, items)

    def receive(self, revision, changes):
        """Take changes from another node."""
        message = relay_messages.Update(EVACUATIONS, 30, revision, encode_changes(changes))
        self.keeper.relay.handle(message)

    def evacuated(self):
        """Give what the last catalogue calls evacuated."""
        return set(self.fed[-1].catalogue.evacuated)


def evacuation(name, revision):
    """Create the object of an evacuation."""
    return StoredObject(name, revision, {}, None)


@given("a new node that has listed the configuration and the targets")
def step_new(context):
    context.rig = EvacuationRig()
    context.rig.list_required()


@then("it does not serve")
def step_not_serving(context):
    assert not context.rig.fed


@when('it lists the evacuation of "{name}"')
def step_lists(context, name):
    context.rig.list_evacuations(30, [evacuation(name, 20)])


@then('it serves without "{name}"')
def step_serves_without(context, name):
    catalogue = context.rig.fed[-1].catalogue
    assert catalogue.evacuated == {name} and not catalogue.services["reads"].targets


@when("{time_s:g} s pass at the node")
def step_pass(context, time_s):
    context.rig.now += time_s
    context.rig.keeper.check_expired_targets()


@then("it serves all data centres")
def step_serves_all(context):
    assert len(context.rig.fed[-1].catalogue.services["reads"].targets) == 1


@given("a node that has listed everything at revision 30")
def step_listed(context):
    context.rig = EvacuationRig()
    context.rig.list_required()
    context.rig.list_evacuations(30, [])
    state = context.rig.keeper.shell.state
    state.ready, state.fleet_entries, state.is_fleet_known = True, 24, False


@when('another node passes on at revision {revision:d} that "{name}" is evacuated')
def step_passed_on(context, revision, name):
    change = ObjectChange(evacuation(name, revision), False)
    context.rig.receive(revision, [change])


@when("another node passes on at revision {revision:d} that nothing is evacuated")
def step_passed_on_none(context, revision):
    context.rig.receive(revision, [ObjectChange(evacuation("dc-b", revision), True)])


@when("another node sends all evacuations as of revision {revision:d}, which are none")
def step_snapshot(context, revision):
    context.rig.keeper.relay.handle(relay_messages.Snapshot(EVACUATIONS, revision, []))


@then('the node has evacuated "{name}"')
def step_has(context, name):
    assert context.rig.evacuated() == {name}, context.rig.evacuated()


@then("the node has evacuated nothing")
def step_has_nothing(context):
    assert not context.rig.evacuated(), context.rig.evacuated()


@when("nothing else happens")
def step_nothing(context):
    pass


def apply(context, revision, *changes):
    """Take changes from the store."""
    rig = context.rig
    found = [ObjectChange(evacuation("dc-b", at), deleted) for at, deleted in changes]
    rig.follower.apply_changes(revision, found)
    rig.keeper.changed(EVACUATIONS, rig.follower.revision, revision, found)


@when('the evacuation of "dc-b" is ended')
def step_ended(context):
    apply(context, 45, (41, True))


@when("the store comes back in era 2 at revision {number:d} and lists nothing")
def step_back_empty(context, number):
    context.rig.list_evacuations(revision_in(2, number), [])


@when("the store comes back in era 2 at revision {number:d} and lists it")
def step_back_with(context, number):
    context.number = number
    context.rig.list_evacuations(revision_in(2, 60), [evacuation("dc-b", revision_in(2, 41))])


@when("it lists the same again")
def step_same_again(context):
    context.rig.list_evacuations(revision_in(2, 70), [evacuation("dc-b", revision_in(2, 41))])


@when('"dc-b" is written and deleted in era 2')
def step_written_deleted(context):
    apply(context, revision_in(2, 81), (revision_in(2, 80), False))
    apply(context, revision_in(2, 83), (revision_in(2, 80), True))


@when('"dc-b" is deleted in era 2')
def step_deleted(context):
    apply(context, revision_in(2, 81), (revision_in(2, 41), True))


@when('"dc-b" is written in era 2')
def step_written(context):
    apply(context, revision_in(2, 81), (revision_in(2, 80), False))


@given("a follower whose store lists nothing at revision 0")
def step_never_held(context):
    context.lists = []

    class EmptyClient:
        """Answer each list with nothing."""

        async def read(self, operation, _path, _wait_s=0.0):
            """Answer a call."""
            assert operation == "list"
            await asyncio.sleep(0)
            return PlatformResponse(200, b'{"items":[],"current_rev":0}', {})

    listener = SimpleNamespace(
        store_call_finished=lambda _kind, _succeeded: None,
        confirmed=lambda _kind: None,
        listed=lambda _kind, items: context.lists.append(items),
    )
    context.follower = ObjectFollower(
        EmptyClient(), store, EVACUATIONS, listener, 100, random.Random(1)
    )


@when("it runs for {time_s:g} s")
def step_follower_runs(context, time_s):
    async def run():
        context.follower.start()
        context.follower.set_enabled(True)
        await asyncio.sleep(time_s)
        context.follower.close()

    asyncio.run(run())


@then("it has listed once and its listener knows that nothing is evacuated")
def step_listed_once(context):
    assert context.lists == [[]], len(context.lists)


@when("the link between the data centres of the first two seeds is cut for {time_s:g} s")
def step_cut_link(context, time_s):
    context.fleet.cut_links.add(frozenset(["dc-0", "dc-1"]))
    context.fleet.run(time_s)


@given("a fleet of 24 nodes and 18 targets in 3 data centres")
def step_fleet(context):
    context.targets = 18


class EmptiedModel(ServiceModel):
    """Evacuate one data centre when other patterns let things go wrong."""

    def go_wrong(self, now):
        """Evacuate a data centre."""
        self.directory.evacuations.write("dc-b", 50)
        self.publish()


@when(
    "one is evacuated at {before:d}% load and the load rises to {after:d}% of what is left, with "
    "seed {seed:d}"
)
def step_surge(context, before, after, seed):
    shape = TargetShape(slots=3, slow_share=0.0, crowded_from=9)
    # 10 requests a second and target; two thirds of the targets are left.
    full_per_s = 10.0 * context.targets * 2.0 / 3.0
    pattern = Pattern(
        "emptied",
        per_s=full_per_s * before / 100.0,
        burst=(4.0, 12.0, after / before),
        service_time_s=0.3,
        aim_s=0.9,
        deadline_s=3.0,
        shape=shape,
    )
    context.model = EmptiedModel(pattern, "measured", 24, context.targets, seed)
    context.model.run()


@then("no target there gets a request from then on")
def step_emptied(context):
    model = context.model
    late = [
        at
        for name, target in model.targets.items()
        if target.data_centre == "dc-b"
        for at, _ in model.arrivals.arrivals[name]
        if at > model.pattern.length_s / 3.0 + 0.001
    ]
    assert not late, late
    assert most_in_a_second(at for at, _ in model.arrivals.arrivals["t0.1"])


@then("at most {most:d} of 100 requests are refused or fail")
def step_few_lost(context, most):
    outcome = context.model.outcome
    assert outcome.refused + outcome.failed <= most / 100.0 * outcome.asked, outcome


class EvacuatingRig(NodeRig):
    """Hold a node that follows evacuations."""

    def node_settings(self):
        """Give the settings of the node."""
        return super().node_settings() | {"evacuate_within_s": 5.0}


@given(
    'a node that follows evacuations, with {reads:d} targets of the service "reads" and {books:d} '
    'of "books"'
)
def step_real_node(context, reads, books):
    context.rig = EvacuatingRig(context.resources.enter_context(Launcher()))
    context.rig.start({"reads": reads, "books": books})


@when("the data centre of the targets is evacuated and the node knows it")
def step_real_evacuate(context):
    context.rig.control(evacuate=["zone-a"])
    context.rig.node.wait_for("evacuation_started", data_centre="zone-a")


@when("the evacuation ends and the node knows it")
def step_real_end(context):
    context.rig.control(end_evacuation=["zone-a"])
    context.rig.node.wait_for("evacuation_ended", data_centre="zone-a")


@then("the read gets status {status:d}")
def step_status(context, status):
    assert context.answer[0] == status, context.answer
