"""Steps that run simulated operators."""

from behave import then, when

from features.ctl_simulation import run_seed


@when("seeds {first:d} to {last:d} of simulated changes run")
def step_run(context, first, last):
    context.simulations = {seed: run_seed(seed) for seed in range(first, last + 1)}


def failures(context, check):
    """Collect the seeds in which a check fails."""
    found = {}
    for seed, simulation in context.simulations.items():
        try:
            check(simulation)
        except AssertionError as error:
            found[seed] = str(error)[:200]
    return found


@then("in no seed an accepted change was lost, applied twice or given the revision of another")
def step_accepted(context):
    assert not failures(context, lambda simulation: simulation.check_copies())
    assert not failures(context, lambda simulation: simulation.check_revisions())


@then("in every seed all readers ended with the stored object")
def step_readers(context):
    assert not failures(context, lambda simulation: simulation.check_readers())


@then("at least {done:d} changes were accepted and at least {bad:d} objects were written over")
def step_counts(context, done, bad):
    simulations = context.simulations.values()
    accepted = sum(len(simulation.done) for simulation in simulations)
    begun = sum(len(simulation.changes) for simulation in simulations)
    written_over = sum(simulation.bad_objects() for simulation in simulations)
    print(f"accepted {accepted} of {begun} changes, {written_over} objects written over")
    assert accepted >= done and written_over >= bad, (accepted, written_over)
