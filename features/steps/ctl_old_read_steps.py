"""Steps about old reads and old proofs, with scripted platforms in virtual time."""

import json
import random

from behave import given, then, when

from features.ctl_interleaving import FakePlatform, VirtualLoop
from features.ctl_world import SERVICE, service_document
from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.validation import check_service
from poplarlane.objects import MAX_RECORDED_CHANGES, SERVICE_COPIES_KIND, SERVICES_KIND
from poplarlane.plumbing.ctl_client import PlatformFailure, StoredValue
from poplarlane.programs.ctl.change_outcomes import ChangeAccepted, FleetView, Unfinished
from poplarlane.programs.ctl.change_procedure import Change

KINDS = (SERVICES_KIND, SERVICE_COPIES_KIND)


class ScriptedPlatform(FakePlatform):
    """Answer at once and truthfully, but for reads of kinds that show nothing."""

    def __init__(self):
        super().__init__(random.Random(1))
        self.loop = VirtualLoop()
        self.calm = True
        self.hidden = ()
        self.outdated = ()
        for kind in KINDS:
            self.put(kind, json.dumps(service_document()).encode(), "initial")

    def now(self):
        """Give the time of this platform's loop, which need not run yet."""
        return self.loop.time()

    async def delay(self):
        """Take no time."""

    async def read(self, kind, name):
        """Read; a hidden kind shows that there is nothing yet."""
        if kind in self.outdated:
            return self.show(self.log[kind][0])
        return StoredValue(name) if kind in self.hidden else await super().read(kind, name)

    def spoil(self, *kinds):
        """Write over objects as another tool would."""
        for kind in kinds:
            self.put(kind, b"{", "tool")


def new_platform(context):
    """Make a platform whose loop is closed after the scenario."""
    context.platform = ScriptedPlatform()
    context.resources.callback(context.platform.loop.close)
    return context.platform


class Client:
    """Call a scripted platform; `after_write` runs once, after this client's first write."""

    def __init__(self, platform, kind="", after_write=None):
        self.platform = platform
        self.kind = kind
        self.after_write = after_write

    async def read(self, kind, name):
        return await self.platform.read(kind, name)

    async def write(self, kind, name, body, version):
        result = await self.platform.write(kind, name, body, version)
        if kind != self.kind or self.after_write is None:
            return result
        hook, self.after_write = self.after_write, None
        await hook()
        return PlatformFailure("answer lost", True)


async def change(client, change_id, value, expected=edits.Sentinel.UNSEEN, ask_fleet=None):
    """Set the role of a target."""
    edit = edits.set_label("t1", "role", value, expected)
    more = {"ask_fleet": ask_fleet} if ask_fleet else {}
    made = Change(client, SERVICE, edit, change_id, change_id, "", 60.0, random.Random(2), **more)
    return await made.run()


@when("the answer to a change is lost, 55 other changes follow and another tool writes over them")
def step_beyond_history(context):
    platform = new_platform(context)

    async def others():
        for number in range(MAX_RECORDED_CHANGES + 5):
            value = "serving" if number % 2 else "resting"
            assert isinstance(await change(platform, f"other-{number}", value), ChangeAccepted)
        assert isinstance(await change(platform, "back", "serving"), ChangeAccepted)
        platform.spoil(SERVICES_KIND)

    client = Client(platform, SERVICES_KIND, others)
    work = change(client, "own", "first", "serving")
    context.outcome = platform.loop.run_until_complete(work)


@then("its outcome is reported as unknown")
def step_unknown(context):
    assert isinstance(context.outcome, Unfinished) and context.outcome.maybe_written


@then("the change was accepted exactly once")
def step_once(context):
    revisions = {
        made.revision
        for _, _, body, _ in context.platform.log[SERVICE_COPIES_KIND]
        for made in check_service(body, SERVICE).changes
        if made.change_id == "own"
    }
    assert len(revisions) == 1, revisions


@given("reads show the platform as of before the service existed")
def step_hidden(context):
    platform = new_platform(context)
    platform.hidden = KINDS


@given("reads of the object show the time before the service existed")
def step_hidden_object(context):
    platform = new_platform(context)
    platform.hidden = (SERVICES_KIND,)


@given("a writer that wrote revision 2 but not its copy, and reads of the object show revision 1")
def step_outdated(context):
    platform = new_platform(context)
    document = service_document() | {"revision": 2, "change_id": "other"}
    document["targets"]["t1"]["labels"]["role"] = "two"
    platform.put(SERVICES_KIND, json.dumps(document).encode(), "operator")
    platform.outdated = (SERVICES_KIND,)


@when("an operator who saw revision 2 expects its label")
def step_expects(context):
    work = change(Client(context.platform), "own", "three", "two")
    context.outcome = context.platform.loop.run_until_complete(work)


@when("an operator sets a label")
def step_set(context):
    work = change(Client(context.platform), "own", "first")
    context.outcome = context.platform.loop.run_until_complete(work)


@then("the change is accepted in revision {revision:d}")
def step_accepted(context, revision):
    assert isinstance(context.outcome, ChangeAccepted), context.outcome
    assert context.outcome.revision == revision, context.outcome.revision


@when("a recovery from the agents is overtaken by another one, and both objects turn bad again")
def step_overtaken(context):
    platform = new_platform(context)
    context.held = check_service(json.dumps(service_document()).encode(), SERVICE)

    async def ask_fleet(_name):
        return FleetView(context.held, context.held.revision)

    async def overtake():
        for number in range(3):
            done = await change(platform, f"other-{number}", f"v{number}", ask_fleet=ask_fleet)
            assert isinstance(done, ChangeAccepted), done
            context.held = done.service
        platform.spoil(*KINDS)

    platform.spoil(*KINDS)
    # The first write of a recovery with a bad copy raises the copy.
    client = Client(platform, SERVICE_COPIES_KIND, overtake)
    work = change(client, "own", "first", ask_fleet=ask_fleet)
    context.outcome = platform.loop.run_until_complete(work)


@then("the change is accepted in a revision above all that agents held")
def step_above(context):
    assert isinstance(context.outcome, ChangeAccepted), context.outcome
    assert context.outcome.revision > context.held.revision, context.outcome.revision
