"""Steps about connections that a target closes."""

from behave import then, when

from features.entry_rig import request, wait_until

CLOSED_MS = 50


@when("the target closes its connections after a booking reached the stopped entry")
def step_close_behind_booking(context):
    rig = context.rig
    caller = rig.caller()
    context.resources.callback(caller.close)
    caller.send(request("GET", "/"))
    assert caller.reply().status == 200
    rig.entry.pause()
    try:
        # The entry reads the booking first and has not seen yet that its idle connection is closed.
        caller.send(request("POST", "/", b"x"))
        rig.control("target-1", closed_ms=CLOSED_MS)
        wait_until(lambda: listens(rig))
    finally:
        rig.entry.resume()
    context.reply = caller.reply("POST")


def listens(rig):
    """Tell whether the target accepts connections again."""
    try:
        return rig.control("target-1")["closed_ms"] == 0
    except OSError:
        return False


@then("that booking is answered with status 200 and was executed once")
def step_booked(context):
    assert context.reply.status == 200 and context.reply.whole, context.reply
    runs = [run for runs in context.rig.ledger("target-1")["executions"].values() for run in runs]
    assert [run["method"] for run in runs] == ["GET", "POST"], runs
