"""Steps about a store that comes back from a copy some seconds old."""

from behave import when

from features.steps.node_path_steps import wait_until

EXTRA_ENTRY = {"spec": {"info": {}}, "status": {}}


def write_entries(rig, count):
    """Write entries that name no target, which only raises the store's revision."""
    for number in range(count):
        rig.control(entries={f"extra-{number}": EXTRA_ENTRY})


@when("the store is copied, version {version:d} is applied and {count:d} entries are written")
def step_copy_and_change(context, version, count):
    rig = context.rig
    rig.control(copy=True)
    rig.control(configuration=rig.configuration(version, rig.usual_routes("books")))
    rig.node.wait_for("configuration_applied", version=str(version))
    write_entries(rig, count)


@when('the store is copied, "{name}" drains and ends, and {count:d} entries are written')
def step_copy_and_drain(context, name, count):
    rig = context.rig
    rig.control(copy=True)
    rig.control(drain=[name])
    rig.node.wait_for("instance_changed", state="leaving")
    rig.control(delete=[name])
    rig.node.wait_for("instance_changed", state="gone")
    write_entries(rig, count)


def restore(rig, count, **switches):
    """Let the store come back and pass its earlier revisions before a node can ask it."""
    entries = {f"extra-{number}": EXTRA_ENTRY for number in range(count)}
    rig.control(restore=True, entries=entries, **switches)


@when(
    'the store comes back from the copy, version {version:d} moves "/views/" to "{service}" and '
    "{count:d} entries are written"
)
def step_restore_and_change(context, version, service, count):
    rig = context.rig
    found = rig.configuration(version, rig.usual_routes(service))
    restore(rig, count, configuration=found)


@when("the store comes back from the copy, and {count:d} entries are written")
def step_restore(context, count):
    restore(context.rig, count)


@when("the node has listed the targets of the copy")
def step_listed(context):
    node = context.rig.node

    def lists():
        return sum(line.fields.get("event") == "targets_listed" for line in node.lines)

    wait_until(lambda: lists() > 1, "the node has listed anew")
