"""Steps about failed reads at faulty targets, on the reducer alone."""

import math

from behave import given, then, when

import poplarlane.decisions.configuration.views  # noqa: F401  registers the handlers
from poplarlane.decisions.health import health
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import DeliverAnswer, SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    RequestArrived,
    ResponseCompleted,
    ResponseMetadata,
    ViewReceived,
)
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.messages import ServiceBody, ViewUpdate
from poplarlane.objects import (
    RequestKindObject,
    SelectorObject,
    ServiceObject,
    TargetObject,
    encode_service,
)
from poplarlane.types import Verdict

NOW = 100.0


def sent(effects):
    """List the attempts that effects send."""
    return [effect for effect in effects if isinstance(effect, SendRequest)]


@given("an entry that has sent a {method} to one of 3 targets")
def step_sent(context, method):
    kinds = [
        RequestKindObject(name="read", methods=["GET"], idempotent=True),
        RequestKindObject(name="book", methods=["POST"]),
    ]
    targets = {
        f"t-{n}": TargetObject(address="127.0.0.1", port=1 + n, data_centre="a") for n in range(3)
    }
    found = ServiceObject(
        service="s",
        revision=1,
        change_id="c",
        hosts=["s.example"],
        requests=kinds,
        targets=targets,
        selectors={"all": SelectorObject(callers="", targets="")},
    )
    body = ServiceBody("s", 1, encode_service(found))
    context.state = EntryState("entry-1", 1)
    reduce(ViewReceived(NOW, 1, ViewUpdate("agent", 1, 1, True, [body], [], [], 24)), context.state)
    service = context.state.services["s"]
    for load in service.loads.values():
        health.observe_answer(load, 0.02, True, NOW)
    health.review(service.health, service.limits.loads, NOW)
    # No review is due during the scenario.
    service.health.review_at = math.inf
    arrived = RequestArrived(NOW, 7, 1, "s.example", method, "/", "", None, 1, False)
    (context.attempt,) = sent(reduce(arrived, context.state))
    reduce(AttemptSent(NOW, 0, context.attempt.attempt_id), context.state)


@given("{count:d} peers call that target avoided")
def step_peers(context, count):
    load = context.state.services["s"].loads[context.attempt.target.name]
    for _ in range(count):
        health.observe_peer_verdict(load, Verdict.AVOIDED, NOW + 5.0, NOW)


@when("that target answers with status 500")
def step_fails(context):
    metadata = ResponseMetadata()
    metadata.status = 500
    answered = ResponseCompleted(NOW + 0.01, 9, context.attempt.attempt_id, metadata)
    context.effects = reduce(answered, context.state)


@then("the request is sent to another target")
def step_elsewhere(context):
    (again,) = sent(context.effects)
    assert again.target.name != context.attempt.target.name, again.target.name


@then("the request is answered with the failure")
def step_answered(context):
    assert not sent(context.effects)
    assert any(isinstance(effect, DeliverAnswer) for effect in context.effects), context.effects
