"""Steps about a long run of operators' changes through faults."""

import asyncio
import random

from behave import given, then, when

from features.ctl_world import PLATFORM_PORT, SERVICE, World, service_document, wait_until
from poplarlane.bench.processes import Launcher
from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.edits import EditConflict, EditInvalid, Sentinel
from poplarlane.plumbing.ctl_client import PlatformClient
from poplarlane.programs.ctl.change_outcomes import ChangeAccepted
from poplarlane.programs.ctl.change_procedure import Change

TARGETS = 6
SHARED_KEYS = ("role", "site")
CHANGE_TIMEOUT_S = 20
FAULT_PERIOD_CHANGES = 40
STALE_MS = 120
OUTAGE_REFUSALS = 12


class Operator:
    """Make random changes, one after the other."""

    def __init__(self, world: World, number: int, seed: int) -> None:
        self.client = PlatformClient(world.address, PLATFORM_PORT)
        self.name = f"o{number}"
        self.generator = random.Random(f"{seed}/{number}")
        self.results = []

    def edit(self) -> edits.Edit:
        """Draw a label to set or remove; some keys are shared and some the operator's own."""
        target = f"t{self.generator.randint(1, TARGETS)}"
        key = self.generator.choice((*SHARED_KEYS, f"{self.name}-a", f"{self.name}-b"))
        if self.generator.random() < 0.15:
            return edits.remove_label(target, key)
        return edits.set_label(target, key, f"v{self.generator.randint(0, 999)}")

    async def change(self, number: int) -> None:
        """Make one change."""
        edit = self.edit()
        change_id = f"{self.name}-{number}"
        change = Change(
            self.client,
            SERVICE,
            edit,
            operator=self.name,
            change_id=change_id,
            at=str(number),
            timeout_s=CHANGE_TIMEOUT_S,
            generator=self.generator,
        )
        self.results.append((change_id, edit, await change.run()))


class Soak:
    """Run operators side by side and vary the faults with their progress."""

    def __init__(self, world: World, operators: int, changes: int, seed: int) -> None:
        self.world = world
        self.operators = [Operator(world, number, seed) for number in range(operators)]
        self.left = changes
        self.done = 0

    async def run(self) -> None:
        """Make all changes."""
        await asyncio.gather(*(self.work(operator) for operator in self.operators))

    async def work(self, operator: Operator) -> None:
        """Take changes until none is left."""
        while self.left > 0:
            self.left -= 1
            await operator.change(self.left)
            self.done += 1
            if self.done % FAULT_PERIOD_CHANGES == 0:
                await self.next_fault(self.done // FAULT_PERIOD_CHANGES)

    async def next_fault(self, period: int) -> None:
        """Turn to stale reads, to current reads, or through an outage."""
        loop = asyncio.get_running_loop()
        # An outage ends by the calls that it refuses, so others must still be at work.
        if period % 3 == 0 and self.left > FAULT_PERIOD_CHANGES:
            await loop.run_in_executor(None, self.outage)
        stale_ms = STALE_MS if period % 2 else 0
        await loop.run_in_executor(None, lambda: self.world.faults(stale_reads_ms=stale_ms))

    def outage(self) -> None:
        """Begin an outage and end it after some refused calls."""
        before = self.world.calls()["total"]
        self.world.faults(outage=True)
        wait_until(
            lambda: self.world.calls()["total"] >= before + OUTAGE_REFUSALS, "calls in the outage"
        )
        self.world.faults(outage=False)

    def results(self) -> list:
        """List (change id, edit, outcome) of every change."""
        return [result for operator in self.operators for result in operator.results]


@given("a platform for a soak with {rate:d} writes per second and seed {seed:d}")
def step_platform(context, rate, seed):
    launcher = context.resources.enter_context(Launcher())
    context.world = World(launcher, writes_per_s=rate, seed=seed)
    context.initial = service_document(TARGETS)
    context.since = context.world.put("services", context.initial)
    context.world.put("service-copies", context.initial)


@given("a share of {share:f} of its write answers is lost")
def step_lossy(context, share):
    context.world.faults(lose_answers=share)


@when(
    "{operators:d} operators make {changes:d} random label changes with seed {seed:d} while reads "
    "turn stale and outages come"
)
def step_soak(context, operators, changes, seed):
    context.soak = Soak(context.world, operators, changes, seed)
    asyncio.run(context.soak.run())
    context.world.faults(stale_reads_ms=0, lose_answers=0)


@then("every change ended as done, as a conflict or as the removal of an absent label")
def step_ended(context):
    other = [
        result
        for result in context.soak.results()
        if not isinstance(result[2], ChangeAccepted | EditConflict | EditInvalid)
    ]
    assert not other, other


@then("at least {done:d} changes are done and at least {lost:d} answers were lost")
def step_counts(context, done, lost):
    outcomes = [result[2] for result in context.soak.results()]
    counted = sum(isinstance(outcome, ChangeAccepted) for outcome in outcomes)
    losses = sum(line.fields.get("event") == "answer_lost" for line in context.world.process.lines)
    conflicts = sum(isinstance(outcome, EditConflict) for outcome in outcomes)
    print(f"done {counted}, conflicts {conflicts}, of {len(outcomes)}; answers lost {losses}")
    assert counted >= done and losses >= lost, (counted, losses)


@then("no operator got a conflict about a label that only that operator changes")
def step_no_false_conflict(context):
    wrong = [
        (change_id, outcome)
        for change_id, edit, outcome in context.soak.results()
        if isinstance(outcome, EditConflict | EditInvalid)
        and edit.path[3] not in SHARED_KEYS
        and (isinstance(outcome, EditConflict) or edit.value is not Sentinel.ABSENT)
    ]
    assert not wrong, wrong


def history(context) -> dict[int, dict]:
    """Map every stored revision to its object; a revision must never change its content."""
    found = {}
    for change in context.world.written("services", context.since):
        document = change["value"]
        revision = document["revision"]
        assert found.setdefault(revision, document) == document, f"revision {revision} differs"
        assert revision == max(found), f"revision {revision} was written after {max(found)}"
    return found


@then("each done change has one revision, and no other change has any")
def step_once_each(context):
    revisions = history(context)
    assert sorted(revisions) == list(range(2, 2 + len(revisions))), sorted(revisions)
    by_id = {document["change_id"]: revision for revision, document in revisions.items()}
    assert len(by_id) == len(revisions), "a change id has two revisions"
    done = {
        change_id: outcome.revision
        for change_id, _, outcome in context.soak.results()
        if isinstance(outcome, ChangeAccepted)
    }
    differing = done.items() ^ by_id.items()
    assert not differing, [
        result for result in context.soak.results() if result[0] in dict(differing)
    ] + sorted(differing)
    for document in revisions.values():
        ids = [change["change_id"] for change in document["changes"]]
        assert len(set(ids)) == len(ids), "a change is recorded twice"


@then("replaying the done changes by revision gives the stored labels")
def step_replay(context):
    labels = {name: dict(target["labels"]) for name, target in context.initial["targets"].items()}
    done = [result for result in context.soak.results() if isinstance(result[2], ChangeAccepted)]
    for _, edit, _ in sorted(done, key=lambda result: result[2].revision):
        target, key = edit.path[1], edit.path[3]
        if edit.value is Sentinel.ABSENT:
            del labels[target][key]
        else:
            labels[target][key] = edit.value
    stored = context.world.stored()
    assert labels == {name: target["labels"] for name, target in stored["targets"].items()}


@then("the copy was never more than one revision behind and is equal at the end")
def step_copy_behind(context):
    writes = [
        (change["version"], kind, change["value"]["revision"])
        for kind in ("services", "service-copies")
        for change in context.world.written(kind, context.since)
    ]
    held = {"services": 1, "service-copies": 1}
    for _, kind, revision in sorted(writes):
        assert revision >= held[kind], f"{kind} fell back to {revision}"
        held[kind] = revision
        assert held["services"] - held["service-copies"] in (0, 1), held
    assert context.world.stored("service-copies") == context.world.stored()
