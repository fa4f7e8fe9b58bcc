"""Steps that run interleaved operators."""

from behave import then, when

from features.ctl_interleaving import EVERYTHING, EVERYTHING_ALONE, LABELS_ALONE, run_seed


@when("seeds {first:d} to {last:d} of interleaved changes run")
def step_run(context, first, last):
    context.runs = {seed: run_seed(seed) for seed in range(first, last + 1)}


@when("seeds {first:d} to {last:d} of interleaved changes run without another tool")
def step_run_alone(context, first, last):
    context.runs = {seed: run_seed(seed, LABELS_ALONE) for seed in range(first, last + 1)}


@when("seeds {first:d} to {last:d} of interleaved edits of every kind by paused writers run")
def step_run_everything(context, first, last):
    context.runs = {seed: run_seed(seed, EVERYTHING) for seed in range(first, last + 1)}


@when(
    "seeds {first:d} to {last:d} of interleaved edits of every kind by paused writers run "
    "without another tool"
)
def step_run_everything_alone(context, first, last):
    context.runs = {seed: run_seed(seed, EVERYTHING_ALONE) for seed in range(first, last + 1)}


def failures(context, check):
    """Collect the seeds in which a check fails."""
    found = {}
    for seed, run in context.runs.items():
        try:
            check(run)
        except AssertionError as error:
            found[seed] = str(error)[:200]
    return found


@then("in no seed an accepted change was lost, applied twice or given the revision of another")
def step_accepted(context):
    assert not failures(context, lambda run: run.check_copies())
    assert not failures(context, lambda run: run.check_revisions())


@then("in no seed a revision was skipped")
def step_no_gaps(context):
    found = failures(context, lambda run: run.check_gaps())
    assert not found, found


@then("in every seed all readers ended with the stored object")
def step_readers(context):
    assert not failures(context, lambda run: run.check_readers())


@then("at least {done:d} changes were accepted and at least {bad:d} objects were written over")
def step_counts(context, done, bad):
    runs = context.runs.values()
    accepted = sum(len(run.done) for run in runs)
    begun = sum(len(run.changes) for run in runs)
    written_over = sum(run.bad_objects() for run in runs)
    print(f"accepted {accepted} of {begun} changes, {written_over} objects written over")
    assert accepted >= done and written_over >= bad, (accepted, written_over)
