"""Steps about routes whose requests stay in certain regions."""

import json
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.node_world import NOW, READ, arrive, make_state
from features.steps import evacuation_steps, rate_limit_steps
from features.steps.evacuation_steps import fill, make_directory, publish
from features.steps.platform_translation_steps import CONFIGURATION
from features.steps.rate_limit_steps import play
from poplarlane.decisions.configuration.directory import Configuration, ServiceRecord
from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.customers.keys import digest_of_key
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_events import RequestArrived
from poplarlane.outcomes import NotRun
from poplarlane.platform.translation import TenantDocument, configuration_of, customer_of
from poplarlane.store_objects import StoredObject
from poplarlane.types import Verdict

REGION_OF = {"dc-a": "ro", "dc-b": "cz"}


@given('a route that allows region "{region}" before {home:d} targets in "ro" and {away:d} in "cz"')
def step_route(context, region, home, away):
    context.directory = make_directory(["dc-a"] * home + ["dc-b"] * away)
    parts = [WeightedService("reads", 1.0)]
    route = Route("r", "h.example", "/", READ, 0.5, 2, parts, frozenset([region]))
    services = [ServiceRecord("reads", "/healthz", 330)]
    context.directory.update_configuration(Configuration(2, [route], services, None))
    context.state = make_state(0)
    context.state.region_of = dict(REGION_OF)
    context.effects = []
    publish(context, NOW)
    context.service = context.state.services["reads"]
    context.service.health.p95_s = 0.1
    context.targets = list(context.service.loads.values())
    context.sends, context.probed, context.barred = [], [], set()
    context.region_of = {
        load.target.name: REGION_OF[load.target.data_centre] for load in context.targets
    }


@given("a customer that allows {own} on a route that allows {route}")
def step_customer(context, own, route):
    step_route(context, "ro", 2, 2)
    found = context.directory.configuration
    found.version += 1
    found.routes[0].allowed_regions = regions_of(route)
    document = {
        "name": "c1",
        "api_keys": ["key-1"],
        "allowed_regions": sorted(regions_of(own) or ()),
    }
    found.customers = [customer_of(msgspec.convert(document, TenantDocument))]
    publish(context, NOW)


def regions_of(text):
    """Read a list of regions; None stands for all."""
    return None if text == "all" else frozenset(text.split(" + "))


@when('a read of that customer finds room only in "cz"')
def step_customer_read(context):
    fill(context, context.targets[:2])
    key = digest_of_key(b"key-1")
    event = RequestArrived(
        NOW, 5, 1, "h.example", "GET", "/x", "", 3_000.0, 1, False, key_digest=key
    )
    play(context, reduce(event, context.state), NOW + 4.0)


@then('a target in "cz" gets it')
def step_away(context):
    assert {context.region_of[name] for _, name in context.sends} == {"cz"}, context.sends


@when("{what} on that route")
def step_what(context, what):
    ways = {
        "a read arrives": read,
        'a trial in "cz" is due': trial,
        "a read is overdue": rate_limit_steps.step_overdue,
        "a booking is refused": rate_limit_steps.step_refused,
        "a read waits until all have room": wait_for_room,
        'a read arrives and all in "ro" have left': leave,
        'a read arrives and "ro" is evacuated': evacuate,
        'a read finds no room in "ro"': find_no_room,
        'a read waits and "ro" is evacuated': wait_and_evacuate,
        'a read on trial finds no room in "ro"': try_after_conviction,
        "a read arrives and no region is known": forget_regions,
    }
    ways[what](context)


def read(context):
    """Let a read arrive, and nothing else happen."""
    play(context, arrive(context.state), NOW + 4.0)


def trial(context):
    """Let a read arrive while a trial of a target elsewhere is due."""
    for load in context.targets[2:]:
        load.verdict = Verdict.AVOIDED
        load.trials_passed = 1
        load.next_trial_at = NOW - 60.0
    read(context)


def wait_for_room(context):
    """Let a read wait until all targets have room."""
    fill(context, context.targets)
    play(context, arrive(context.state), NOW + 0.05)
    assert context.service.limits.queued == 1
    for load in context.targets:
        load.outstanding = 0
    play(context, [], NOW + 2.0)


def leave(context):
    """Let the targets at home leave before a read arrives."""
    for load in context.targets[:2]:
        context.directory.remove_instance(load.target.instance, NOW + 10.0)
    publish(context, NOW)
    read(context)


def evacuate(context):
    """Evacuate the data centre at home before a read arrives."""
    evacuation_steps.evacuate(context, "dc-a")
    read(context)


def find_no_room(context):
    """Let a read find room only elsewhere."""
    fill(context, context.targets[:2])
    read(context)


def wait_and_evacuate(context):
    """Evacuate the data centre at home while a read waits."""
    fill(context, context.targets[:2])
    play(context, arrive(context.state), NOW + 0.05)
    assert context.service.limits.queued == 1
    evacuation_steps.evacuate(context, "dc-a", NOW + 0.05)


def try_after_conviction(context):
    """Let a read whose conviction has expired arrive while there is room only elsewhere."""
    fill(context, context.targets[:2])
    for load in context.targets:
        # Targets with recent reports are chosen without a probe.
        load.measured_at = NOW
    digest = bytes(16)
    item = context.state.quarantine.item(digest, "r")
    item.crashes = {load.target.name: NOW - 60.0 for load in context.targets[:2]}
    item.terms, item.convicted_at = 1, NOW - 60.0
    event = RequestArrived(NOW, 5, 1, "h.example", "GET", "/x", "", 3_000.0, 1, False)
    event.content = SimpleNamespace(fingerprint=lambda customer: digest)
    play(context, reduce(event, context.state), NOW + 4.0)


def forget_regions(context):
    """Let a read arrive at a node that knows no regions."""
    context.state.region_of = {}
    for load in context.targets:
        load.region = ""
    context.service.reachable.clear()
    read(context)


@then('a target in "ro" gets it and no target in "cz"')
def step_at_home(context):
    regions = {context.region_of[name] for _, name in context.sends}
    assert regions == {"ro"}, context.sends


@then("it is refused with code {code:d} and no target gets it")
def step_refused(context, code):
    outcome = context.refusal.outcome
    assert isinstance(outcome, NotRun) and (int(outcome.code), outcome.status) == (code, 503)
    assert not context.sends, context.sends


@when("a route of the configuration has the allowed regions {value}")
def step_configured(context, value):
    document = json.loads(json.dumps(CONFIGURATION))
    document["routes"][0]["allowed_regions"] = json.loads(value)
    context.found = configuration_of(StoredObject("main", 1, document, None))


@then("it allows {regions}")
def step_allows(context, regions):
    found = context.found.routes[0].allowed_regions
    assert found == (None if regions == "all" else frozenset(regions.split(" and "))), found


@then("the configuration is refused")
def step_configuration_refused(context):
    assert isinstance(context.found, str), context.found
