"""Steps about targets that join a service or restart, on the reducer alone."""

from behave import given, then, when

import poplarlane.decisions.configuration.views  # noqa: F401  registers the handler of views
from poplarlane.decisions.health import health
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_events import ViewReceived
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.messages import MemberNotice, ServiceBody, ViewUpdate
from poplarlane.objects import ServiceObject, TargetObject, encode_service
from poplarlane.types import Verdict

SERVICE_S = 0.02


def view_event(now, revision, count, members=()):
    """Give a view with one service of `count` targets."""
    targets = {
        f"t-{n}": TargetObject(address="127.0.0.1", port=1 + n, data_centre="a")
        for n in range(count)
    }
    found = ServiceObject(
        service="s", revision=revision, change_id="c", hosts=["s.example"], targets=targets
    )
    body = ServiceBody("s", revision, encode_service(found))
    view = ViewUpdate("agent", 1, revision, True, [body], list(members), [], 24)
    return ViewReceived(now, 1, view)


@given("an entry whose service runs on 3 targets and that heard of their incarnations")
def step_running(context, standing="live"):
    context.state = EntryState("entry-1", 1)
    members = [MemberNotice("t-0", "target", 1, standing, 0.0, "list")] if standing else []
    reduce(view_event(100.0, 1, 3, members), context.state)
    service = context.state.services["s"]
    service.health.typical_s = SERVICE_S
    for load in service.loads.values():
        health.observe_answer(load, SERVICE_S, True, 100.0)
    service.loads["t-0"].verdict = Verdict.AVOIDED


@given("an entry whose service runs on 3 targets, one of which is leaving")
def step_running_with_one_leaving(context):
    step_running(context, "leaving")


@given("an entry whose service runs on 3 targets and that did not hear of their incarnations")
def step_running_unheard(context):
    step_running(context, "")


@given("the first one is avoided because it refused connections")
def step_refused_connections(context):
    service = context.state.services["s"]
    load = service.loads["t-0"]
    load.verdict = Verdict.HEALTHY
    for _ in range(4):
        health.observe_failure(load, 100.0)
    health.review(service.health, service.limits.loads, 100.0)
    assert load.verdict is Verdict.AVOIDED


@when("the first one returns from a restart")
def step_restart(context):
    members = [MemberNotice("t-0", "target", 2, "live", 1.0, "list")]
    reduce(view_event(110.0, 1, 3, members), context.state)


@then("it is ramped up, and nothing old is held against it")
def step_judged_anew(context):
    loads = context.state.services["s"].loads
    load = loads["t-0"]
    assert [name for name, other in loads.items() if other.ramp_until > 110.0] == ["t-0"]
    assert (load.verdict, load.suspicion, load.consecutive_failures) == (Verdict.HEALTHY, 0.0, 0)


@when("a fourth target is configured and the first one returns from a restart")
def step_join(context):
    members = [MemberNotice("t-0", "target", 2, "live", 1.0, "list")]
    reduce(view_event(110.0, 2, 4, members), context.state)


@then("both are ramped up, the others keep their share, and nothing old is held against them")
def step_ramped(context):
    loads = context.state.services["s"].loads
    ramped = {name for name, load in loads.items() if load.ramp_until > 110.0}
    assert ramped == {"t-0", "t-3"}, ramped
    assert not loads["t-0"].leaving and loads["t-0"].verdict is Verdict.HEALTHY
