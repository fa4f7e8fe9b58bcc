"""Steps for requests that wait for slots, and for rejections by targets with free slots."""

from behave import given, then, when
from node_world import NOW, SLOTS, make_directory, metadata

from poplarlane.decisions.configuration.catalogue import reduce
from poplarlane.decisions.configuration.directory import Catalogue
from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.customers.keys import Customer
from poplarlane.decisions.overload.priorities import mark_mixed_services
from poplarlane.decisions.requests import entry_handlers  # noqa: F401  registers the handlers
from poplarlane.decisions.requests.entry_effects import ProbeTarget, RefuseRequest, SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptSent,
    CatalogueChanged,
    ProbeAnswered,
    RequestArrived,
    ResponseCompleted,
    TimerFired,
)
from poplarlane.decisions.requests.entry_state import EntryState
from poplarlane.types import Priority, RequestKind

LONG_MS = 30_000


def catalogue_of(priorities: list[str]) -> Catalogue:
    """Build a catalogue whose only service carries a route of each priority."""
    directory = make_directory(4)
    parts = [WeightedService("reads", 1.0)]
    directory.configuration.routes = [
        Route(
            name,
            "h.example",
            f"/{name}/",
            RequestKind(name, frozenset(), f"/{name}/", True, Priority(name), LONG_MS, False),
            20.0,
            1,
            parts,
        )
        for name in priorities
    ]
    return directory.catalogue()


@given("a service whose routes have the priorities {names}")
def step_service(context, names):
    context.priorities = names.split()
    context.state = EntryState("node", 1)
    context.state.policy_name = "measured"
    context.state.probes_per_target_s = 1_000.0
    reduce(CatalogueChanged(NOW, 7, catalogue_of(context.priorities), 24), context.state)
    context.service = context.state.services["reads"]


def arrive(context, priority):
    """Let a read of a priority arrive."""
    return reduce(
        RequestArrived(NOW, 5, 1, "h.example", "GET", f"/{priority}/x", "", LONG_MS, 1, False),
        context.state,
    )


def answer_probes(context, effects, now, running):
    """Answer the probes among effects with a number of running requests."""
    found = []
    for effect in effects:
        if isinstance(effect, ProbeTarget):
            report = metadata(1.0, running)
            report.instance = effect.target.instance
            found += reduce(ProbeAnswered(now, 5, effect.probe_id, report), context.state)
    return found


@when("a request of priority {priority} that can {timing} waits {time_s:g} s for a slot")
def step_wait(context, priority, timing, time_s):
    now = NOW
    effects = arrive(context, priority)
    request = context.state.requests[1]
    if timing == "be late":
        request.soft_deadline = NOW - 1.0
    effects = answer_probes(context, effects, now, SLOTS)
    answer_probes(context, effects, now, SLOTS)
    context.rounds = 0
    while context.state.timer_at <= NOW + time_s:
        now = context.state.timer_at
        effects = reduce(TimerFired(now, 5), context.state)
        probes = [effect for effect in effects if isinstance(effect, ProbeTarget)]
        context.rounds += bool(probes)
        answer_probes(context, probes, now, SLOTS)


@then("it probes targets {rounds:d} times, give or take {margin:d}")
def step_rounds(context, rounds, margin):
    assert abs(context.rounds - rounds) <= margin, context.rounds


def reject(context, report):
    """Let the target that a read is sent to reject it."""
    effects = arrive(context, context.priorities[-1])
    effects += answer_probes(context, effects, NOW, 0)
    effects += answer_probes(context, effects, NOW, 0)
    attempt = next(effect for effect in effects if isinstance(effect, SendRequest))
    reduce(AttemptSent(NOW, 5, attempt.attempt_id), context.state)
    context.load = context.service.loads[attempt.target.name]
    report.status, report.not_run = 503, True
    done = reduce(ResponseCompleted(NOW, 5, attempt.attempt_id, report), context.state)
    context.refusals = [item.outcome for item in done if isinstance(item, RefuseRequest)]


@when("a target with {busy:d} of 6 slots in use rejects the only attempt of a read")
def step_reject(context, busy):
    assert SLOTS == 6
    context.service.retry_budget.tokens = 0.0
    reject(context, metadata(1.0, busy))


@when("a target that tells no load rejects the only attempt of a read")
def step_reject_silently(context):
    context.service.retry_budget.tokens = 0.0
    report = metadata(1.0, 0)
    report.running = None
    reject(context, report)


@then("the target is {state} and the caller may return within {least:d} to {most:d} ms")
def step_state(context, state, least, most):
    assert (context.load.shed_until > NOW) == (state == "paused")
    [refusal] = context.refusals
    assert least <= refusal.retry_after_s * 1000.0 <= most, refusal


@given("a service with customers of the priorities {first} and {second}")
def step_customers(context, first, second):
    step_service(context, "normal")
    context.customers = [Customer(name, [], Priority(name), 0.0, 0.0) for name in (first, second)]


@then("its requests count as competing, and without customers they do not")
def step_competing(context):
    routes = catalogue_of(["normal"]).routes
    mark_mixed_services(context.state, routes, context.customers)
    assert context.service.has_mixed_priorities
    mark_mixed_services(context.state, routes, [])
    assert not context.service.has_mixed_priorities
