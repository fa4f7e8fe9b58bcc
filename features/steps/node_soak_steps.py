"""Steps about the soak of real nodes and about its checks."""

from types import SimpleNamespace

from behave import then, when

from features.node_soak import run_seed
from features.node_soak_callers import Sent, check_losses, check_runs

FAULTS = ("restart", "reload", "store_away", "configure", "press", "stop_in_series")
SENT_AT, STOPPED_AT, ENDED_AT, DEADLINE_AT = 100.0, 100.5, 101.5, 104.0
GRACE_S = 6.0


@when("a soak of real nodes with seed {seed:d} runs for {seconds:d} s")
def step_soak(context, seed, seconds):
    context.figures = run_seed(seed, seconds)
    print(context.figures)


@then("it finds no failure")
def step_no_failure(context):
    assert not context.figures["failures"], context.figures


@then(
    "it sent at least {requests:d} requests, refused at least {refused:d} bookings and made each "
    "kind of fault"
)
def step_enough(context, requests, refused):
    figures = context.figures
    assert figures["requests"] >= requests, figures
    assert figures["refused_bookings"] >= refused, figures
    assert all(figures["faults"][name] for name in FAULTS), figures


@when("a booking gets {status:d} and is {end} 1 s after SIGTERM, and runs {runs:d} times")
def step_booking(context, status, end, runs):
    sent = Sent("b", True, "node", DEADLINE_AT, SENT_AT, status, status == 200, end, ENDED_AT)
    began = {"b": [("target", SENT_AT)] * runs} if runs else {}
    ran = {"began": began, "broken_off": [], "cancelled": ["b"] if status == 502 else []}
    node = SimpleNamespace(
        is_disturbed=lambda _began, _ended: False, stopped_before=lambda _at, _within: STOPPED_AT
    )
    context.found = (
        check_runs([sent], began) + check_losses([sent], ran, {"node": node}, GRACE_S)[0]
    )


@then('the checks find "{failure}"')
def step_found(context, failure):
    assert [text.split()[0] for text in context.found] == [failure], context.found


@then('the checks find ""')
def step_nothing_found(context):
    assert not context.found, context.found
