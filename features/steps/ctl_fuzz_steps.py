"""Steps that feed mutated objects and messages to the code that reads them."""

import json
import time

import msgspec
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.ctl_generated import services
from poplarlane import exchange_messages, messages
from poplarlane.decisions.access.selectors import compile_access
from poplarlane.decisions.configuration.validation import ObjectFault, check_service
from poplarlane.objects import MAX_VALUE_BYTES, ServiceObject, encode_service

NAME = "availability"
CHECK_LIMIT_S = 2.0
SAMPLES = (
    messages.EntryHello("entry-1", 3, {"availability": 7}),
    messages.EntryReport("entry-1", 3, True, False, {"availability": 7}, {}, ["t1"], []),
)
VIEW = messages.ViewUpdate(
    "agent-1",
    5,
    1,
    True,
    [messages.ServiceBody("availability", 7, b"{}")],
    [messages.MemberNotice("t1", "target", 1, "live", 1.5, "agent-1")],
    [messages.VerdictNotice("availability", "t1", "suspect", "entry-1", 2.0, 3, 1)],
    4,
)
SENDER = exchange_messages.Sender("agent-1", 1, "brasov", "10.0.0.1", 7400, True)
EXCHANGED = (
    exchange_messages.FetchServices(SENDER, ["availability"]),
    exchange_messages.RevisionList(SENDER, [1], [("availability", 7)], True, 9),
)
KINDS = (
    (messages.ENTRY_MESSAGE_DECODER, SAMPLES, (messages.EntryHello, messages.EntryReport)),
    (messages.VIEW_DECODER, (VIEW,), (messages.ViewUpdate,)),
    (
        exchange_messages.EXCHANGE_DECODER,
        EXCHANGED,
        (
            exchange_messages.Digest,
            exchange_messages.RevisionList,
            exchange_messages.FactList,
            exchange_messages.FetchServices,
            exchange_messages.StateUpdate,
        ),
    ),
)
wrong_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False),
    st.text(max_size=8),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=4), st.none(), max_size=2),
)


def places(document, path=()):
    """List the path of every value in a document."""
    yield path
    steps = document.items() if isinstance(document, dict) else enumerate(document)
    for step, value in steps:
        if isinstance(value, dict | list):
            yield from places(value, (*path, step))
        else:
            yield (*path, step)


@st.composite
def mutated_documents(draw):
    """Draw a valid service and replace, remove or add up to three values."""
    document = json.loads(encode_service(draw(services())))
    for _ in range(draw(st.integers(1, 3))):
        paths = [path for path in places(document) if path]
        *containers, last = draw(st.sampled_from(paths))
        holder = document
        for step in containers:
            holder = holder[step]
        action = draw(st.sampled_from(("replace", "remove", "add")))
        if action == "remove":
            del holder[last]
        elif action == "add" and isinstance(holder, dict):
            holder[draw(st.text(max_size=6))] = draw(wrong_values)
        else:
            holder[last] = draw(wrong_values)
        if not document:
            break
    return document


@st.composite
def mutated_bytes(draw, bodies):
    """Draw a body and change, cut or insert bytes."""
    body = bytearray(draw(bodies))
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, max(0, len(body) - 1)))
        action = draw(st.sampled_from(("change", "cut", "insert", "truncate")))
        if action == "insert":
            body[at:at] = draw(st.binary(min_size=1, max_size=4))
        elif action == "truncate":
            del body[at:]
        elif action == "cut":
            del body[at : at + draw(st.integers(1, 20))]
        elif body:
            body[at] = draw(st.integers(0, 255))
    return bytes(body)


def check_body(body):
    """Check one body; a valid result must encode, validate and compile again."""
    result = check_service(body, NAME)
    if isinstance(result, ServiceObject):
        assert check_service(encode_service(result), NAME) == result
        compile_access(result)
        return
    assert result and all(isinstance(fault, ObjectFault) for fault in result)
    assert all(fault.field and fault.reason for fault in result), result
    for fault in result:
        str(fault).encode("utf-8", "surrogatepass")


@for_all(mutated_documents())
def mutated_objects(document):
    check_body(json.dumps(document).encode())


@for_all(mutated_bytes(services().map(encode_service)))
def changed_bytes(body):
    check_body(body)


def run(test, cases):
    settings(max_examples=cases)(test)()


@then("of {cases:d} mutated service objects each is refused with named faults or safe to apply")
def step_objects(context, cases):
    run(mutated_objects, cases)


@then(
    "of {cases:d} service objects with changed bytes each is refused with named faults or safe to "
    "apply"
)
def step_bytes(context, cases):
    run(changed_bytes, cases)


@st.composite
def mutated_messages(draw):
    """Draw a kind of message and a mutated body of it."""
    decoder, samples, types = draw(st.sampled_from(KINDS))
    encoded = st.sampled_from([messages.ENCODER.encode(sample) for sample in samples])
    bodies = st.one_of(encoded, st.binary(max_size=60))
    return decoder, types, draw(mutated_bytes(bodies))


@for_all(mutated_messages())
def decodes_or_refuses(drawn):
    decoder, types, body = drawn
    try:
        decoded = decoder.decode(body)
    except msgspec.DecodeError:
        # Every reader of these messages logs and drops what raises this.
        return
    assert isinstance(decoded, types), decoded


@then("of {cases:d} mutated messages between our processes each is decoded to its type or refused")
def step_messages(context, cases):
    run(decodes_or_refuses, cases)


@then("each hostile document is refused with a fault within 2 s")
def step_hostile(context):
    documents = (
        b"[" * 500_000,
        b'{"a":' * 150_000,
        b'{"revision":' + b"9" * 900_000 + b"}",
        b'{"service":"availability","service":"bookings"}',
        b'{"hosts":[' + b'"a",' * 200_000 + b'"a"]}',
        b"\xff\xfe",
        b'"' + b"a" * MAX_VALUE_BYTES + b'"',
        b'{"revision": NaN}',
        b'{"service": "\\ud800"}',
    )
    for document in documents:
        began = time.monotonic()
        faults = check_service(document, NAME)
        elapsed_s = time.monotonic() - began
        assert isinstance(faults, list) and faults, document[:40]
        assert elapsed_s <= CHECK_LIMIT_S, (document[:40], elapsed_s)
