"""Steps about the grammar of numbers."""

import signal
import tempfile
from pathlib import Path

import msgspec
from behave import then, when

from features.node_world import make_state
from features.steps.node_path_steps import NodeRig
from poplarlane.addresses import is_socket_address
from poplarlane.decisions.choice import statements
from poplarlane.decisions.effects import Log
from poplarlane.decisions.requests.entry_events import ResponseMetadata
from poplarlane.platform import store, translation
from poplarlane.platform.headers import PLATFORM_HEADERS, read_load
from poplarlane.plumbing.header_names import (
    MAX_REPORTED_IN_FLIGHT,
    read_idle_limit,
    read_in_flight,
)
from poplarlane.plumbing.heads import head_fault, read_request_head, read_response_head
from poplarlane.plumbing.message_bodies import BodyFault, ChunkedBody
from poplarlane.settings import NodeSettings, SettingsError, load
from poplarlane.store_objects import StoredObject

MARKS = {
    "<10^400>": "1" + "0" * 400,
    "<10^5000>": "1" + "0" * 5_000,
    "<100 zeros and 1>": "0" * 100 + "1",
    "<spaces>": "  ",
    "<tab>": "\t",
    "<empty>": "",
}


MAX_TRAILER_BYTES = 16_384


def expanded(text):
    """Replace marks by what they stand for."""
    for mark, value in MARKS.items():
        text = text.replace(mark, value)
    return text


def metadata_of(name, value):
    """Read the head of an answer that turns a request away, with one header."""
    headers = [(name.encode(), value.encode())]
    return read_response_head(503, b"-", headers, PLATFORM_HEADERS).metadata


def request_head(name, value):
    """Read the head of a request with one header."""
    headers = [(b"host", b"a.example"), (name, value.encode())]
    return read_request_head(b"GET", b"/", headers, True, PLATFORM_HEADERS)


def load_of(value):
    """Read a load report."""
    found = ResponseMetadata()
    read_load(found, value.encode())
    return found.waiting if found.running is not None else None


def sum_of(value):
    """Read a load report of another form."""
    found = ResponseMetadata()
    read_in_flight(found, value.encode())
    return found.in_flight


def length_of(value):
    """Read the length of a body."""
    head = b"POST / HTTP/1.1\r\ncontent-length:%b\r\n\r\n" % value.encode()
    return None if head_fault(head) else request_head(b"content-length", value).length


def port_of(value):
    """Read the port of an entry."""
    spec = {"address": f"127.0.0.1:{value}", "info": {"service": "s", "zone": "z", "slots": 6}}
    record = translation.instance_of(StoredObject("i-1", 3, spec, {"state": "ready"}))
    return None if isinstance(record, str) else record.port


def size_of(value):
    """Read the size of a chunk."""
    body = ChunkedBody(MAX_TRAILER_BYTES)
    try:
        body.feed(value.encode() + b"\r\n")
    except BodyFault:
        return None
    return body.announced


# Places of whole numbers, each with its highest value, and whether 0 is none of them.
WHOLE = {
    "load": (lambda text: load_of(f"3,{text},6"), 999_999_999, False),
    "in_flight": (lambda text: sum_of(f"in_flight={text};queued=0"), 999_999_999, False),
    "keep-alive": (lambda text: keep_alive_of(text), 999_999_999, False),
    "attempt": (lambda text: attempt_of(text), 999_999_999, False),
    "length": (length_of, 2**63 - 1, False),
    "era": (lambda text: store.era_of({store.ERA_HEADER: text.encode()}), 9_999, False),
    "port": (port_of, 65_535, True),
    "settings": (
        lambda text: int(text) if is_socket_address(f"127.0.0.1:{text}") else None,
        65_535,
        True,
    ),
}
DECIMAL = {
    "server-limit": lambda text: metadata_of("server-limit", text).rate_limit_per_s,
    "retry-after": lambda text: metadata_of("retry-after", text).retry_after_s,
    "x-cold-remaining-ms": lambda text: scaled(metadata_of("x-cold-remaining-ms", text).cold_s),
    "x-deadline-ms": lambda text: request_head(b"x-deadline-ms", text).deadline_ms,
}


def scaled(cold_s):
    """Return a time in milliseconds."""
    return None if cold_s is None else cold_s * 1_000.0


def keep_alive_of(text):
    """Read an idle time-out; None if it is set aside."""
    found = ResponseMetadata()
    limit_s = read_idle_limit(found, f"timeout={text}, max=5".encode())
    return None if found.malformed_reports else limit_s


def attempt_of(text):
    """Read the number of an attempt; None if it is refused."""
    head = request_head(b"x-attempt", text)
    return None if head.fault else (head.attempt if head.attempt > 1 else int(text))


@then('every place that reads a number takes "{text}" as whole {whole} and decimal {decimal}')
def step_places(context, text, whole, decimal):
    text = expanded(text)
    for name, read in DECIMAL.items():
        found, expected = read(text), None if decimal == "no" else float(decimal)
        assert found == expected or abs(found - expected) < 1e-9, (name, found, expected)
    for name, (read, highest, is_positive) in WHOLE.items():
        is_number = text.strip(" \t").isascii() and text.strip(" \t").isdigit()
        number = int(text) if is_number and len(text) <= 100 else None
        expected = number if number is not None and is_positive <= number <= highest else None
        assert highest != 999_999_999 or str(expected) == whole.replace("no", "None"), text
        if name == "in_flight" and expected:
            expected = min(expected, MAX_REPORTED_IN_FLIGHT)
        assert read(text) == expected, (name, read(text), expected)


@when('a target sends the header "{header}" with "{value}"')
def step_header(context, header, value):
    state = make_state(2)
    load = next(iter(state.services["reads"].loads.values()))
    context.effects = []
    metadata = metadata_of(header, expanded(value))
    source = statements.Source.RESPONSE
    statements.observe(state, load, metadata, source, 1, context.effects)


@then('one line with the header "{header}" and the reason "{reason}" is logged')
def step_line(context, header, reason):
    lines = [effect.fields for effect in context.effects if isinstance(effect, Log)]
    assert [(line["header"], line["reason"]) for line in lines] == [(header, reason)], lines


def give_up(_number, _frame):
    """End a loop that does not end."""
    raise AssertionError("the parser does not end")


@then('the body "{body}" in chunks is refused as "{reason}"')
@then('the body "{body}" in chunks is refused as ""')
def step_chunks(context, body, reason=""):
    before = signal.signal(signal.SIGALRM, give_up)
    signal.alarm(10)
    try:
        ChunkedBody(MAX_TRAILER_BYTES).feed(body.replace("\\r\\n", "\r\n").encode())
        fault = ""
    except BodyFault as error:
        fault = str(error)
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, before)
    assert fault.startswith(reason) and bool(fault) == bool(reason), fault


@when('a caller sends a body in chunks with the size line "{line}"')
def step_size_line(context, line):
    head = (
        "POST /bookings/1 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: a\r\nx-deadline-ms: 900\r\n"
    )
    with context.rig.connect() as caller:
        caller.sendall(
            f"{head}transfer-encoding: chunked\r\n\r\n{line}\r\nXX\r\n0\r\n\r\n".encode()
        )
        assert caller.recv(100).startswith(b"HTTP/1.1 400"), "not refused"


class Hosts:
    """Give addresses for settings that are only read."""

    def new_host(self):
        """Give an address."""
        return "127.0.0.1"


@when('a node\'s settings have "{key}" as {value}')
def step_settings(context, key, value):
    settings = NodeRig(Hosts()).node_settings()
    text = msgspec.json.encode(settings | {key: "@"}).decode().replace('"@"', expanded(value))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(text)
        context.found = load(str(path), NodeSettings)


@then('they are refused with "{named}"')
def step_refused(context, named):
    assert isinstance(context.found, SettingsError) and named in context.found.text, context.found
    assert "\n" not in context.found.text and len(context.found.text) < 300
