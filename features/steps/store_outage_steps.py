"""Steps about which failures of the store count as an outage."""

from behave import given, then, when

from features.store_world import make_sync, target_entry
from poplarlane.platform import store
from poplarlane.store_objects import ObjectChange, StoredObject

KIND = store.INSTANCES_KIND


@given('a node with the targets "i-0" and "i-1" that reaches the store')
def step_node(context):
    context.sync = make_sync()
    context.sync.store_call_finished(KIND, True)
    context.sync.listed(KIND, [target_entry("i-0", 9000), target_entry("i-1", 9001)])


def fail_and_remove(context, failures, returns):
    """Let calls fail, the next one succeed if it is to, and an entry be removed."""
    for _ in range(failures):
        context.sync.store_call_finished(KIND, False)
    if returns:
        context.sync.store_call_finished(KIND, True)
    gone = ObjectChange(StoredObject("i-1", 4, None, None), True)
    context.sync.apply_changes(KIND, [gone])


@when(
    '{failures:d} of its watches fail in a row, the next one succeeds and "i-1" is removed',
)
def step_returns(context, failures):
    fail_and_remove(context, failures, True)


@when('{failures:d} of its watches fail in a row and "i-1" is removed')
def step_away(context, failures):
    fail_and_remove(context, failures, False)


@then('its targets are "{names}"')
def step_targets(context, names):
    directory = context.sync.directory
    assert sorted({*directory.instances, *directory.expired}) == names.split(",")
