"""Steps about customers' keys, from the bytes of a caller to those for a target."""

import json
from types import SimpleNamespace

import h11
from behave import given, then, when
from node_exchange_steps import CONFIGURATION, KeeperRig
from node_world import NOW, make_directory, make_state, metadata

from poplarlane.decisions.configuration.route_table import Route, WeightedService
from poplarlane.decisions.customers.keys import MAX_KEY_BYTES, Customer, digest_of_key
from poplarlane.decisions.reducer import reduce
from poplarlane.decisions.requests.entry_effects import CancelAttempt, RefuseRequest, SendRequest
from poplarlane.decisions.requests.entry_events import (
    AttemptFailed,
    AttemptSent,
    CatalogueChanged,
    FailureCause,
    RequestArrived,
    ResponseCompleted,
)
from poplarlane.decisions.requests.entry_state import RequestState
from poplarlane.platform import store
from poplarlane.platform.headers import PLATFORM_HEADERS
from poplarlane.platform.translation import configuration_of
from poplarlane.plumbing.entry_execute import request_bytes
from poplarlane.plumbing.heads import read_request_head
from poplarlane.plumbing.pauses import clock
from poplarlane.plumbing.request_reader import parser_fault
from poplarlane.types import Priority, RequestKind

READ = RequestKind("read", frozenset(), "/", True, Priority.NORMAL, 4_000, True)


def customer(keys, priority=None, rate_per_s=0.0, burst=0.0, name="c1"):
    """Describe a customer."""
    digests = [digest_of_key(key.encode()) for key in keys]
    return Customer(name, digests, priority, rate_per_s, burst)


def configure(state, version, customers, is_public=False, targets=3):
    """Put a configuration with customers into force; gives the effects."""
    directory = make_directory(targets)
    found = directory.configuration
    parts = [WeightedService("reads", 1.0)]
    found.version = version
    found.routes = [Route("r", "h.example", "/", READ, 0.5, 2, parts, is_public=is_public)]
    found.customers = customers
    return reduce(CatalogueChanged(NOW, 7, directory.catalogue(), 24), state)


def new_state(customers, targets=3, **options):
    """Create a node's state with customers."""
    state = make_state(targets)
    state.routes.version = 0
    state.routes = None
    configure(state, 2, customers, targets=targets, **options)
    return state


def arrive(state, digest, host="h.example", request_id=1, now=NOW):
    """Let a read with a key arrive and be sent to a target that answers its probe."""
    for service in state.services.values():
        for load in service.loads.values():
            load.measured_at, load.running = now, 0
            load.connection_share = 13
    event = RequestArrived(
        now, 5, request_id, host, "GET", "/x", "", 3_000.0, 1, False, False, "t", key_digest=digest
    )
    return reduce(event, state)


def choose_now(state, now=NOW):
    """End the probes of waiting requests, so that a target is chosen."""
    from poplarlane.decisions.requests.entry_events import ProbeAnswered

    effects = []
    for probe_id, probe in list(state.probes.items()):
        found = metadata(1.0, 0)
        found.instance = probe.load.target.instance
        effects += reduce(ProbeAnswered(now, 5, probe_id, found), state)
    return effects


def refusals(effects):
    """List the refusals among effects."""
    return [effect.outcome for effect in effects if isinstance(effect, RefuseRequest)]


def parse(lines):
    """Parse a caller's head with the real parser."""
    raw = b"GET /x HTTP/1.1\r\nHost: h.example\r\n"
    for line in lines.split(";"):
        if line.lower().startswith("host"):
            continue
        line = line.replace("{8000 bytes}", "k" * 8_000)
        line = line.replace("{257 bytes}", "k" * (MAX_KEY_BYTES + 1))
        raw += line.replace("{byte 195}", "\xc3").encode("latin-1") + b"\r\n"
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=16_384)
    parser.receive_data(raw + b"\r\n")
    event = parser.next_event()
    items = event.headers.raw_items()
    return read_request_head(event.method, event.target, items, True, PLATFORM_HEADERS)


@given('a node with the customer "{name}" whose keys are "{first}" and "{second}"')
def step_node(context, name, first, second):
    context.state = new_state([customer([first, second], name=name)])


@given("a node without customers")
def step_no_customers(context):
    context.state = new_state([])


@given("the route is public")
def step_public(context):
    context.state = new_state([customer(["key-1"])], is_public=True)


@when('a caller sends the header lines "{lines}"')
def step_send(context, lines):
    context.head = parse(lines)
    context.effects = arrive(context.state, context.head.key_digest)
    context.effects += choose_now(context.state)
    context.sends = [item for item in context.effects if isinstance(item, SendRequest)]


@when("a request without a key arrives for another host")
def step_other_host(context):
    context.effects = arrive(context.state, b"", "other.example")
    context.sends = []


@then("it is refused with status {status:d} and code {code:d}")
def step_refused(context, status, code):
    found = refusals(context.effects)
    assert [(item.status, int(item.code)) for item in found] == [(status, code)], found
    assert not [item for item in context.effects if isinstance(item, SendRequest)]


def target_lines(context):
    """Give the header lines that the target gets, in lower case."""
    shell = SimpleNamespace(now=lambda: NOW, header_names=PLATFORM_HEADERS)
    request = SimpleNamespace(head=context.head, body=[], body_bytes=0, span=None)
    data = request_bytes(context.sends[0], request, shell)
    assert b"key-" not in data.lower() and b"c9" not in data and b"c8" not in data, data
    names = [line.partition(b":")[0].replace(b"_", b"-") for line in data.lower().split(b"\r\n")]
    assert b"x-api-key" not in names, data
    return names, data.lower()


@then('the target gets the name "{name}" once and no key')
def step_target_name(context, name):
    names, data = target_lines(context)
    assert names.count(b"x-tenant-id") == 1, data
    assert b"\r\nx-tenant-id: %b\r\n" % name.encode() in data, data


@then("the target gets neither name nor key")
def step_target_nothing(context):
    names, _ = target_lines(context)
    assert b"x-tenant-id" not in names


@then("the parser's fault for a bad line with a key does not quote it")
def step_fault(context):
    for line in (b"X-Api-Key: secret\x00", b"X-Api Key: secret", b"X-Api-Key secret"):
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n" + line + b"\r\n\r\n")
        try:
            parser.next_event()
        except h11.RemoteProtocolError as error:
            assert "secret" in str(error)
            assert "secret" not in parser_fault(error) and parser_fault(error), parser_fault(error)
        else:
            raise AssertionError("the parser took the line")


@when('the store lists a configuration with the key "{key}"')
def step_list(context, key):
    spec = {"version": 3, "routes": [], "services": []}
    spec["tenants"] = [{"name": "c1", "api_keys": [key], "rate_per_s": 3, "burst": 4}]
    item = {"metadata": {"name": "main", "revision": 4}, "spec": spec}
    body = json.dumps({"current_rev": 4, "items": [item]}).encode()
    context.item = store.decode_page(body).items[0]


@when("the store lists a configuration whose tenants are {tenants}")
def step_list_malformed(context, tenants):
    spec = {"version": 3, "routes": [], "services": [], "tenants": json.loads(tenants)}
    item = {"metadata": {"name": "main", "revision": 4}, "spec": spec}
    body = json.dumps({"current_rev": 4, "items": [item]}).encode()
    context.item = store.decode_page(body).items[0]


@then("the object has no key and is refused")
def step_no_key(context):
    assert "key-1" not in json.dumps(context.item.spec)
    found = configuration_of(context.item)
    assert isinstance(found, str) and "key-1" not in found, found


@then('the object has no key and its translation knows the digest of "{key}"')
def step_digest(context, key):
    assert key not in json.dumps(context.item.spec)
    found = configuration_of(context.item).customers[0]
    assert found.key_digests == [digest_of_key(key.encode())]
    assert (found.name, found.rate_per_s, found.burst, found.priority) == ("c1", 3.0, 4.0, None)


@given('a node with the customer "{name}" of priority {high:d} on a route of priority {low:d}')
def step_priority(context, name, high, low):
    from poplarlane.decisions.configuration.route_table import priority_of_rank

    assert priority_of_rank(low) is READ.priority
    context.state = new_state([customer(["key-1"], priority_of_rank(high))], targets=1)


@when('a request of "{name}" arrives')
def step_request(context, name):
    arrive(context.state, digest_of_key(b"key-1"))


@then("it waits with high priority")
def step_high(context):
    assert context.state.requests[1].priority is Priority.HIGH


@given('a request with "{key}" that {state}')
def step_request_state(context, key, state):
    digest = digest_of_key(key.encode())
    if state == "waits in the queue":
        for service in context.state.services.values():
            service.limits.held = True
    effects = arrive(context.state, digest) + choose_now(context.state)
    request = context.request = context.state.requests[1]
    context.sent = [item for item in effects if isinstance(item, SendRequest)]
    if state == "waits in the queue":
        assert request.state is RequestState.QUEUED and not context.sent
        return
    assert len(context.sent) == 1
    if state.startswith("runs"):
        reduce(AttemptSent(NOW, 0, context.sent[0].attempt_id), context.state)
    context.then = state


@when('the key "{key}" is removed')
def step_removed(context, key):
    reconfigure(context, [customer(["key-2"])])


@when('the first customer gets the key "{key}"')
def step_introduced(context, key):
    reconfigure(context, [customer([key])])


@when('the key "{key}" becomes one of "{name}"')
def step_moved(context, key, name):
    reconfigure(context, [customer(["key-2"]), customer([key], name=name)])


def reconfigure(context, customers):
    """Put other customers into force, and let happen to the request what is due then."""
    state = context.state
    context.effects = configure(state, 3, customers)
    attempt_id = context.sent[0].attempt_id if context.sent else 0
    ended = getattr(context, "then", "")
    if ended.endswith("fails"):
        cause = FailureCause.CLOSED_BEFORE_ANSWER
        context.effects += reduce(AttemptFailed(NOW + 0.1, 5, attempt_id, cause, "x"), state)
    elif ended.endswith("executed"):
        found = metadata(1.0, 0)
        found.status, found.not_run = 503, True
        context.effects += reduce(ResponseCompleted(NOW + 0.1, 5, attempt_id, found), state)
    elif ended.endswith("hedged"):
        from poplarlane.decisions.repeats.hedging import hedge

        hedge(state, context.request, NOW + 0.3, 5, context.effects)


@then("the request is still running")
def step_running(context):
    assert not refusals(context.effects)
    assert not [item for item in context.effects if isinstance(item, SendRequest)]
    assert context.state.attempts


@then("the request is refused with {status:d}")
def step_refused_status(context, status):
    assert [item.status for item in refusals(context.effects)] == [status]
    assert not [item for item in context.effects if isinstance(item, SendRequest)]
    assert not context.state.requests and not context.state.attempts


@then("the request is refused with 401 and cancelled")
def step_cancelled(context):
    assert [item.status for item in refusals(context.effects)] == [401]
    assert [item for item in context.effects if isinstance(item, CancelAttempt)]


@given("the configuration was last confirmed {age_s:g} s ago by {reached:d} of {nodes:d} nodes")
def step_confirmed(context, age_s, reached, nodes):
    state = context.state
    state.apply_limit_s = 2.5
    state.confirmed_at = NOW - age_s
    state.reached_nodes_needed = nodes
    state.fleet.nodes = reached
    if reached:
        state.fleet.digest_at = NOW


@when('a request with "{key}" arrives for {host}')
def step_arrives(context, key, host):
    context.effects = arrive(context.state, digest_of_key(key.encode()), f"{host}.example")


@then("it gets code {code:d}")
def step_code(context, code):
    assert [int(item.code) for item in refusals(context.effects)] == ([code] if code else [])
    assert all(item.status == 503 for item in refusals(context.effects) if code == 1216)


@given("a directory whose call to the store began {age_s:g} s ago")
def step_directory(context, age_s):
    context.rig = KeeperRig()
    follower = context.rig.keeper.followers[0]
    follower.is_current = True
    follower.called_at = clock() - age_s
    context.rig.keeper.shell.state.confirmed_at = float("-inf")


@when("the response arrives")
def step_response(context):
    context.rig.keeper.store_call_finished(CONFIGURATION, True)


@then("the configuration counts as last confirmed {age_s:g} s ago")
def step_confirmed_ago(context, age_s):
    found = context.rig.keeper.shell.state.confirmed_at
    assert abs(context.rig.now - found - age_s) < 1.0, found


@given("revocation is {mode}")
def step_mode(context, mode):
    context.state.strict_revocation = mode == "strict"
