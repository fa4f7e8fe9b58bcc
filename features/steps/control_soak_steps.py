"""Steps about the soak of the control work and about its checks."""

import msgspec
from behave import given, then, when

from features.ctl_world import SERVICE, service_document
from poplarlane.bench import control_soak
from poplarlane.bench.soak_checks import Record, Served, Version, count_all
from poplarlane.decisions.configuration import edits
from poplarlane.decisions.configuration.edits import Sentinel
from poplarlane.objects import ChangeObject, ServiceObject

# The last change of the record takes its target out at this time.
REMOVED_AT = 103.0
REMOVED = "t1"
VIOLATIONS = (
    "went_back",
    "lost",
    "applied_twice",
    "differing_at_end",
    "stale_answers",
    "process_faults",
)
LANES = (
    ("kill_agent", "restart_agent", "pause_agent", "pause_entry", "pause_vm"),
    ("stale_reads", "lost_answers", "outage", "slow"),
    ("partition", "bad_object"),
)


@when(
    "a soak with {agents:d} agents, {operators:d} operators and seed {seed:d} runs for "
    "{seconds:d} s while {loss:d} percent of messages are lost"
)
def step_soak(context, agents, operators, seed, seconds, loss):
    context.figures, context.within = control_soak.measure(
        agents, operators, seconds, loss / 100, seed
    )
    print(context.figures)


@then("all its counts of violations are 0")
def step_no_violations(context):
    assert context.within, context.figures
    assert not any(context.figures[name] for name in VIOLATIONS), context.figures


@then(
    "it made at least {accepted:d} accepted changes, {answered:d} answered reads and {pauses:d} "
    "noticed pauses of entries"
)
def step_enough(context, accepted, answered, pauses):
    figures = context.figures
    assert figures["accepted"] >= accepted, figures
    assert figures["answered"] >= answered, figures
    assert figures["entry_pauses"] >= pauses, figures


@then("each lane of faults made at least {count:d}")
def step_lanes(context, count):
    for lane in LANES:
        assert sum(context.figures.get(name, 0) for name in lane) >= count, context.figures


def changed(service: ServiceObject, number: int, target: str, value: str, change_id="") -> tuple:
    """Give the next revision, with a role set, and the edit bound to what it replaces."""
    old = service.targets[target].labels["role"]
    change_id = change_id or f"c{number}"
    edit = edits.set_label(target, "role", value, old)
    edited = edits.apply_edit(edit, service, SERVICE)
    revision = service.revision + 1
    made = ChangeObject(revision=revision, change_id=change_id, operator="o", at="", summary="s")
    fields = {"revision": revision, "change_id": change_id, "changes": [*service.changes, made]}
    return msgspec.structs.replace(edited, **fields), edit


@given("the record of a soak without violations")
def step_record(context):
    record = context.record = Record()
    service = msgspec.convert(service_document(), ServiceObject)
    versions = [Version(service, 100.0)]
    for number, (target, value) in enumerate((("t2", "resting"), ("t2", "serving")), 1):
        service, edit = changed(service, number, target, value)
        versions.append(Version(service, 100.0 + number))
        record.edits[f"c{number}"] = edit
    service, record.edits["c3"] = changed(service, 3, REMOVED, "resting")
    versions.append(Version(service, REMOVED_AT))
    record.objects = {SERVICE: list(versions)}
    record.copies = {SERVICE: list(versions)}
    record.done = {"c1", "c2", "c3"}
    for process in ("agent-vm-0", "entry-vm-0"):
        record.taken[process] = [(SERVICE, revision) for revision in (1, 2, 4)]
        record.final[process] = {SERVICE: 4}
    record.served = [Served(SERVICE, "vm-0", "t2", 101.5), Served(SERVICE, "vm-0", REMOVED, 102.5)]
    assert not any(count_all(record).values()), count_all(record)


def append(record, service, at=104.0):
    """Store one more version of the object and its copy."""
    for versions in (record.objects, record.copies):
        versions[SERVICE].append(Version(service, at))
    for held in record.final.values():
        held[SERVICE] = service.revision


@when("an agent takes an older revision again")
def step_older(context):
    context.record.taken["agent-vm-0"].append((SERVICE, 3))


@when("an entry applies one revision twice")
def step_again(context):
    context.record.taken["entry-vm-0"].append((SERVICE, 4))


@when("a writer writes over the last change without its version")
def step_overwrite(context):
    record = context.record
    base = record.copies[SERVICE][-2].service
    service, record.edits["blind"] = changed(base, 4, "t3", "resting", "blind")
    append(record, msgspec.structs.replace(service, revision=5))


@when("an accepted change is in no version of the copy")
def step_absent(context):
    context.record.done.add("c4")


@when("an edit is applied to another value than it expected")
def step_other_value(context):
    edit = context.record.edits["c2"]
    context.record.edits["c2"] = edits.Edit(edit.path, edit.value, Sentinel.ABSENT, edit.summary)


@when("a writer repeats a change whose answer was lost")
def step_repeat(context):
    record = context.record
    base = record.copies[SERVICE][-1].service
    service, _ = changed(base, 3, REMOVED, "resting", "c3")
    append(record, service)


@when("one entry does not hold the last revision at the end")
def step_behind(context):
    context.record.final["entry-vm-0"] = {SERVICE: 3}


@when("a request reaches a removed target {seconds:f} s after the change")
def step_late(context, seconds):
    late = Served(SERVICE, "vm-0", REMOVED, REMOVED_AT + seconds)
    context.record.served.append(late)


@when("an entry serves by its old view {seconds:f} s after its agent is up")
def step_late_after_agent(context, seconds):
    context.record.down["vm-0"] = [(102.0, 110.0)]
    context.record.served.append(Served(SERVICE, "vm-0", REMOVED, 110.0 + seconds))


@when("an entry serves by its old view while its agent is dead")
def step_agent_dead(context):
    context.record.down["vm-0"] = [(102.0, 120.0)]
    context.record.served.append(Served(SERVICE, "vm-0", REMOVED, 119.0))


@then('only the count "{name}" is above 0')
def step_only(context, name):
    counts = count_all(context.record)
    assert counts[name] > 0, counts
    assert not any(count for other, count in counts.items() if other != name), counts


@then("no count is above 0")
def step_none(context):
    counts = count_all(context.record)
    assert not any(counts.values()), counts
